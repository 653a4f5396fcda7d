// Internal to the shard controller: admission, recovery, cancellation and completion of jobs and their attempts.
#pragma once

#include "shardstate_p.h"

namespace KingCupLadder {

/// How an attempt ended.
enum class AttemptOutcome {
    Succeeded,
    Failed,
    Stopped,
    Checkpointed,
    Expired,
    Lost, ///< Known to have stopped without a report, for example with a restarted or removed VM.
    NotStarted, ///< The start never took effect.
};

class ShardJobs
{
public:
    explicit ShardJobs(ShardState &state);

    [[nodiscard]] Result<bool> enqueue(const JobSpec &spec, TimePoint now);
    void recover(const std::vector<JobRecord> &records, TimePoint now);
    void cancel(const JobId &id, TimePoint now);
    void onJobStatePersisted(const JobId &id, JobState state);

    /// Call when the current, live attempt of the task has ended.
    void endAttempt(ShardJob &job, std::uint32_t task, AttemptOutcome outcome, const std::string &reason, TimePoint now);
    /// Call when a worker reports the end of an attempt of an earlier epoch that is not live here.
    void endEarlierAttempt(ShardJob &job, const TaskId &task, TaskOutcome outcome, const std::string &reason, TimePoint now);
    /// Queues the held tasks. Call once every worker has reported its inventory or is known to have stopped.
    void releaseHeld(TimePoint now);
    /// Sets the final state of the job. Cancelled and Parked also stop the attempts that still run.
    void setFinalState(ShardJob &job, JobState state, const std::string &reason, TimePoint now);
    /// The reason why the demand can never be met; empty if it can be met or if that is not known yet.
    [[nodiscard]] std::string whyNeverFits(const JobSpec &spec) const;
    void requestStartPersist(ShardJob &job);
    /// Asks the attempt to save its state and stop. The task is queued again afterwards.
    void checkpoint(ShardJob &job, std::uint32_t task, TimePoint now);
    /// Throttles, checkpoints or resumes a running attempt according to the pool's power source.
    void applyPower(ShardJob &job, std::uint32_t task, TimePoint now);
    void stopAttempt(ShardJob &job, std::uint32_t task, TimePoint now);

private:
    /// Queues a job of which no task has started.
    void add(const JobSpec &spec, TimePoint now);
    void applySuccess(ShardJob &job, std::uint32_t task, TimePoint now);
    void applyFailure(ShardJob &job, std::uint32_t task, const std::string &reason, TimePoint now);
    void applyInterruption(ShardJob &job, std::uint32_t task, AttemptOutcome outcome, TimePoint now);
    void countFailure(ShardJob &job, const TaskState &attempt, TimePoint now);
    void revokeFailures(const std::vector<JobId> &jobs, const WorkerId &worker);
    [[nodiscard]] bool shouldPark(const ShardJob &job) const;
    /// Requests that the final state is persisted once no attempt runs, and removes the job once it is durable.
    void updateCompletion(ShardJob &job);
    /// Removes a finished job and remembers its id, so that a repeated enqueue() of it is ignored.
    void removeJob(const JobId &id);

    ShardState &m_state;
};

} // namespace KingCupLadder
