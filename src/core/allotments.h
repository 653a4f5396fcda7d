// Divides the fleet-wide limit of each team over the shards. The row "allotments/<team>" holds one amount per shard; their sum
// never passes the limit. A holder shrinks locally before it writes the smaller amount, and uses more only after the row has it.
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
    Duration refreshInterval{1000}; ///< Between two reads of the rows.
    /// Room that no shard wants is given to idle shards, up to (limit / shards) / idleDivisor each, so that their first work can
    /// start while the store is down. 0: idle shards hold nothing.
    std::int64_t idleDivisor = 4;
    Duration operationTimeout{1500};
    bool growAfterConfirm = true; ///< Off only in tests, to show what the guard prevents: growth is used before the row has it.
    bool shrinkBeforeGrow = true; ///< Off only in tests: the smaller amount takes force only after the row has it.
};

/// What a shard of this daemon uses and would like to use of a team's limit.
struct AllotmentDemand {
    ShardId shard;
    TeamId team;
    Resources used; ///< Running or reserved now; the allotment is not shrunk below it unless the limit demands it.
    Resources wanted; ///< Includes what is queued.
    /// Some workers have not been read, so more than "used" may be running. The row is not lowered before they are.
    bool usageIncomplete = false;
};

/// The shard may have this much of the team running from now on.
struct AllotmentChanged {
    ShardId shard;
    TeamId team;
    Resources allotment;
};

using AllotmentOutput = std::variant<StoreTransact, StoreRead, AllotmentChanged>;

class Allotments
{
public:
    using NextOp = std::function<OpId()>;

    Allotments(const AllotmentSettings &settings, NextOp nextOp, TimePoint now);
    ~Allotments();
    Allotments(const Allotments &) = delete;
    Allotments &operator=(const Allotments &) = delete;

    void setTables(const std::shared_ptr<const Tables> &tables, TimePoint now);
    /// Shards that exist, owned here or not. The entries of shards that are gone are removed from the rows by any daemon.
    void setShards(const std::vector<ShardId> &all, const std::vector<ShardId> &owned, TimePoint now);
    void setDemands(const std::vector<AllotmentDemand> &needs, TimePoint now);
    /// True if the operation was one of this object's.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<AllotmentOutput> takeOutputs();
    [[nodiscard]] Resources allotment(const ShardId &shard, const TeamId &team) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
