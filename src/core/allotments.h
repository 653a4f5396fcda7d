// Divides the fleet-wide resource limit of each team among the shards. The row "allotments/<team>" holds one amount per shard,
// and their sum never exceeds the limit. The owner of a shard applies a smaller amount before it writes it, and a larger amount
// only after the row has it.
#pragma once

#include "messages.h"
#include "tables.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct AllotmentSettings {
    std::uint64_t seed = 1;
    Duration refreshInterval{1000}; ///< Time between two reads of the rows.
    /// Resources that no shard demands are given to idle shards, at most (limit / shards) / idleDivisor each, so that their first
    /// work can start while the store is down. 0 disables this.
    std::int64_t idleDivisor = 4;
    Duration operationTimeout{1500};
    bool growAfterConfirm = true; ///< Disabled only in tests, to show the failure it prevents: growth is then used before the row has it.
    bool shrinkBeforeGrow = true; ///< Disabled only in tests: a smaller amount then takes effect only after the row has it.
};

/// The current use and the demand of a shard of this daemon for one team.
struct AllotmentDemand {
    ShardId shard;
    TeamId team;
    Resources used; ///< Running or reserved; the allotment is shrunk below this only if the limit requires it.
    Resources wanted; ///< Includes the demand of queued work.
    /// Some workers have not been read, so more than "used" may be running. The row is not lowered until they have been.
    bool usageIncomplete = false;
};

/// From now on the shard may have this much of the team running.
struct AllotmentChanged {
    ShardId shard;
    TeamId team;
    Resources allotment;
};

using AllotmentOutput = std::variant<StoreTransaction, StoreRead, AllotmentChanged>;

class Allotments
{
public:
    using NextOp = std::function<OpId()>;

    Allotments(const AllotmentSettings &settings, NextOp nextOp, TimePoint now);
    ~Allotments();
    Allotments(const Allotments &) = delete;
    Allotments &operator=(const Allotments &) = delete;

    void setTables(const std::shared_ptr<const Tables> &tables, TimePoint now);
    /// Sets all existing shards and those owned by this daemon. Any daemon removes the row entries of shards that no longer exist.
    void setShards(const std::vector<ShardId> &all, const std::vector<ShardId> &owned, TimePoint now);
    void setDemands(const std::vector<AllotmentDemand> &demands, TimePoint now);
    /// Returns true if the reply belongs to an operation of this object.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<AllotmentOutput> takeOutputs();
    [[nodiscard]] Resources allotment(const ShardId &shard, const TeamId &team) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
