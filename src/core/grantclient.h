// The requesting side of slot grants: asks the owners of the pool's shards one after the other until one of them grants a slot. Shards
// that this daemon owns are tried first, then shards of its failure domain, then the others. Gives up after the term in the GrantSpec.
#pragma once

#include "messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct GrantSettings {
    std::uint64_t seed = 1;
    std::size_t maxWaiting = 10000; ///< Limit on requests waiting for a slot.
    Duration replyTimeout{400}; ///< An owner that does not reply within this time is skipped in the round.
    Duration retryInterval{25}; ///< Average interval between two rounds over the shards while none has a free slot.
    Duration unresponsiveOwnerBackoff{2000}; ///< For this long after a missing reply, the owner is asked only after all others.
};

/// A shard that may have a free slot.
struct GrantCandidate {
    ShardId shard;
    DaemonId owner;
    bool ownedLocally = false;
};

/// Output: send the request to the owner of a shard.
struct SendGrantRequest {
    DaemonId owner;
    GrantRequest request;
};

/// Output: release a grant whose caller no longer waits.
struct SendGrantRelease {
    DaemonId owner;
    GrantRelease release;
};

using GrantOutput = std::variant<SendGrantRequest, SendGrantRelease, CallerAnswer>;

/// Callbacks into the rest of the daemon.
struct GrantHooks {
    std::function<OpId()> nextOp;
    /// The shards of the pool whose owner is known and live, nearest first.
    std::function<std::vector<GrantCandidate>(const PoolName &, TimePoint)> findCandidates;
    /// Requests a grant from a shard that this daemon owns.
    std::function<Result<Grant>(const ShardId &, const GrantSpec &, TimePoint)> grantLocally;
};

class GrantClient
{
public:
    GrantClient(const GrantSettings &settings, GrantHooks hooks);
    ~GrantClient();
    GrantClient(const GrantClient &) = delete;
    GrantClient &operator=(const GrantClient &) = delete;

    /// Produces a CallerAnswer with a Grant, or with an error once the term has passed.
    void acquire(OpId caller, const GrantSpec &spec, TimePoint now);
    /// The caller no longer waits. A grant that still arrives is released as unused.
    void abandon(OpId caller, TimePoint now);
    void onReply(const DaemonId &from, const GrantReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<GrantOutput> takeOutputs();
    [[nodiscard]] std::size_t waiting() const;
    /// Total demand of a team's waiting requests in a pool.
    [[nodiscard]] Resources waitingDemand(const TeamId &team, const PoolName &pool) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
