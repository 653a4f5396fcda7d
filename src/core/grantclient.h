// The holder's side of request grants: finds a shard whose owner gives a slot, first shards owned here, then those of the own
// failure domain, then others. Bounds the wait by the term of the wish.
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
    std::size_t maxWaiting = 10000; ///< Wishes that wait for a slot.
    Duration answerTimeout{400}; ///< An owner that does not answer within this span is passed over.
    Duration retryInterval{25}; ///< Between two rounds over the shards while none has a free slot; jittered.
    Duration unresponsiveOwnerBackoff{2000}; ///< An owner that did not answer is asked last for this long.
};

/// A shard that may have slots for a wish, in the order in which they are tried.
struct GrantCandidate {
    ShardId shard;
    DaemonId owner;
    bool ownedLocally = false;
};

/// A request for a grant, to be sent to the owner of a shard.
struct SendGrantRequest {
    DaemonId owner;
    GrantRequest request;
};

/// A grant that nobody waits for any more.
struct ReturnGrant {
    DaemonId owner;
    GrantRelease release;
};

using GrantOutput = std::variant<SendGrantRequest, ReturnGrant, CallerAnswer>;

/// What the holder needs from the rest of the daemon.
struct GrantHooks {
    std::function<OpId()> nextOp;
    /// Shards of the pool whose owner is known and live, nearest first.
    std::function<std::vector<GrantCandidate>(const PoolName &, TimePoint)> sources;
    /// Asks a shard that is owned here.
    std::function<Result<Grant>(const ShardId &, const GrantWish &, TimePoint)> grantLocally;
};

class GrantClient
{
public:
    GrantClient(const GrantSettings &settings, GrantHooks hooks);
    ~GrantClient();
    GrantClient(const GrantClient &) = delete;
    GrantClient &operator=(const GrantClient &) = delete;

    /// Answered by a CallerAnswer with a Grant, or with an error at the latest when the term is over.
    void acquire(OpId caller, const GrantWish &wish, TimePoint now);
    /// The caller no longer waits; a grant that still arrives is returned unused.
    void abandon(OpId caller, TimePoint now);
    void onReply(const DaemonId &from, const GrantReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<GrantOutput> takeOutputs();
    [[nodiscard]] std::size_t waiting() const;
    /// Demand of the waiting wishes of a team in a pool.
    [[nodiscard]] Resources waitingDemand(const TeamId &team, const PoolName &pool) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
