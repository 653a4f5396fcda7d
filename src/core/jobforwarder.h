// Forwards jobs and cancellations to shard owners: chooses a shard for a job, and resends stored jobs and cancellations until the
// owner acknowledges them.
#pragma once

#include "messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct JobForwarderSettings {
    Duration resendInterval{500}; ///< Between two attempts to forward the same job.
    Duration cancelRetryPeriod{30000}; ///< A cancellation is no longer resent after this time; the owner also finds it in the store.
    std::size_t maxJobsPerMessage = 100;
};

/// A shard to which a job may be assigned.
struct ShardCandidate {
    ShardId shard;
    FailureDomain domain;
    DaemonId owner; ///< Empty if it is not known.
    Epoch epoch;
    bool ownedLocally = false;
    bool ownerLive = false; ///< The owner is a live peer. For a shard of this daemon: false while the shard is being handed over.
    Resources free;
    std::uint32_t queuedTasks = 0;
};

/// The shard with the fewest queued tasks relative to its free resources; shards with a live owner are preferred. Empty if there
/// are no candidates.
[[nodiscard]] std::optional<ShardCandidate> chooseShard(const JobSpec &job, const std::vector<ShardCandidate> &candidates);

/// Output: enqueue jobs on a shard that this daemon owns.
struct DeliverLocally {
    ShardId shard;
    Epoch epoch; ///< The ownership epoch for which the jobs were admitted.
    std::vector<JobSpec> jobs;
};

/// Output: cancel jobs of a shard that this daemon owns.
struct CancelLocally {
    ShardId shard;
    std::vector<JobId> jobs;
};

/// Output: send a message to the owner of a shard.
struct SendToOwner {
    DaemonId owner;
    PeerMessage message;
};

using JobForwarderOutput = std::variant<DeliverLocally, CancelLocally, SendToOwner>;

class JobForwarder
{
public:
    /// Looks up the current owner of a shard as known to this daemon.
    using FindOwner = std::function<std::optional<ShardCandidate>(const ShardId &, TimePoint)>;
    using NextOp = std::function<OpId()>;

    JobForwarder(const JobForwarderSettings &settings, NextOp nextOp, FindOwner findOwner);
    ~JobForwarder();
    JobForwarder(const JobForwarder &) = delete;
    JobForwarder &operator=(const JobForwarder &) = delete;

    /// A job was stored durably and has to be forwarded to its shard's owner.
    void onJobStored(const JobRecord &record, TimePoint now);
    /// A cancellation was stored durably and has to be forwarded to the owner.
    void onJobCancelled(const JobId &job, const ShardId &shard, TimePoint now);
    void onForwardReply(const JobForwardReply &reply, TimePoint now);
    void onCancelReply(const CancelForwardReply &reply);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<JobForwarderOutput> takeOutputs();
    [[nodiscard]] std::size_t undelivered() const; ///< Number of jobs that no owner has acknowledged.

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
