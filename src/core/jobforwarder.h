// Takes jobs from admission to the owner of a shard: chooses the shard, delivers durable jobs until the owner has them, and
// delivers cancellations.
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
    Duration resendInterval{500}; ///< Between two deliveries of the same job.
    Duration cancelTerm{30000}; ///< A cancellation is no longer delivered after this span; the owner also sees it in the store.
    std::size_t maxJobsPerMessage = 100;
};

/// A shard as a possible home of a job.
struct ShardCandidate {
    ShardId shard;
    FailureDomain domain;
    DaemonId owner; ///< Empty if unknown.
    Epoch epoch;
    bool ownedLocally = false;
    bool ownerLive = false;
    Resources free;
    std::uint32_t queuedTasks = 0;
};

/// Where a job should go: the shard with the least queued work for its room, among those with a live owner if there are any.
/// Empty if the pool has no shard.
[[nodiscard]] std::optional<ShardCandidate> chooseShard(const JobSpec &job, const std::vector<ShardCandidate> &choices);

/// Jobs for a shard that is owned here.
struct DeliverLocally {
    ShardId shard;
    Epoch epoch; ///< The ownership term for which the jobs were admitted.
    std::vector<JobSpec> jobs;
};

/// Cancellations for a shard that is owned here.
struct CancelLocally {
    ShardId shard;
    std::vector<JobId> jobs;
};

/// A message to the owner of a shard.
struct SendToOwner {
    DaemonId owner;
    PeerMessage message;
};

using JobOutput = std::variant<DeliverLocally, CancelLocally, SendToOwner>;

class JobForwarder
{
public:
    /// The current owner of a shard as far as this daemon knows.
    using FindOwner = std::function<std::optional<ShardCandidate>(const ShardId &, TimePoint)>;
    using NextOp = std::function<OpId()>;

    JobForwarder(const JobForwarderSettings &settings, NextOp nextOp, FindOwner findOwner);
    ~JobForwarder();
    JobForwarder(const JobForwarder &) = delete;
    JobForwarder &operator=(const JobForwarder &) = delete;

    /// A job has become durable and has to reach its shard's owner.
    void stored(const JobRecord &record, TimePoint now);
    /// A cancellation has become durable and has to reach the owner.
    void cancelled(const JobId &job, const ShardId &shard, TimePoint now);
    void onForwardReply(const JobForwardReply &reply, TimePoint now);
    void onCancelReply(const CancelForwardReply &reply);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<JobOutput> takeOutputs();
    [[nodiscard]] std::size_t undelivered() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
