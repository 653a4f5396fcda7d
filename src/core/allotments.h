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
    /// Each shard may hold up to (limit / shards) / idleDivisor of the resources that no shard demands, so that its first work can
    /// start while the store is down. 0 disables these idle allotments.
    std::int64_t idleDivisor = 4;
    Duration operationTimeout{1500};
    /// If false, a larger amount takes effect before the row has it. Disabled only in tests that show the resulting failure.
    bool growAfterConfirm = true;
    bool shrinkBeforeGrow = true; ///< If false, a smaller amount takes effect only after the row has it. Disabled only in tests.
};

/// The current use and the demand of a shard of this daemon for one team.
struct AllotmentDemand {
    ShardId shard;
    TeamId team;
    Resources used; ///< Running or reserved; the allotment is shrunk below this only if the limit requires it.
    Resources wanted; ///< Includes the demand of queued work.
    /// Some workers have not been read, so more than "used" may be running. The entry of the shard is not lowered until they have been
    /// read.
    bool usageIncomplete = false;
};

/// Reports a new effective allotment: the resources that work of the team may use in the shard from now on.
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
