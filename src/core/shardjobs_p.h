// Internal to the shard controller: admission, recovery, cancellation and the end of jobs and their attempts.
#pragma once

#include "shardstate_p.h"

namespace KingCupLadder {

/// How an attempt came to its end.
enum class AttemptEnd {
    Succeeded,
    Failed,
    Stopped,
    Checkpointed,
    Expired,
    Lost, ///< Proved stopped without a report, as by a restarted or removed VM.
    NotStarted, ///< The start never took effect.
};

class ShardJobs
{
public:
    explicit ShardJobs(ShardState &state);

    [[nodiscard]] Result<bool> enqueue(const JobSpec &spec, TimePoint now);
    void recover(const std::vector<JobRecord> &records, TimePoint now);
    void cancel(const JobId &id, TimePoint now);
    void recorded(const JobId &id, JobState state);

    /// The current, live attempt of the index is over.
    void endAttempt(ShardJob &job, std::uint32_t task, AttemptEnd end, const std::string &reason, TimePoint now);
    /// An attempt of an earlier epoch, not live here, is reported as over.
    void endEarlierAttempt(ShardJob &job, const TaskId &task, TaskOutcome outcome, const std::string &reason, TimePoint now);
    /// Held indexes are queued once every worker is read or proved stopped.
    void releaseHeld(TimePoint now);
    /// Decides the final state. Attempts that still run are stopped, except after Failed.
    void close(ShardJob &job, JobState state, const std::string &reason, TimePoint now);
    /// Why the demand can never be met; empty if it can, or if that is not known yet.
    [[nodiscard]] std::string neverFits(const JobSpec &spec) const;
    void requestStartRecord(ShardJob &job);
    /// Asks the attempt to save its state and stop; it waits again after that.
    void checkpoint(ShardJob &job, std::uint32_t task, TimePoint now);
    /// Throttles, checkpoints or resumes a running attempt as the pool's power source demands.
    void applyPower(ShardJob &job, std::uint32_t task, TimePoint now);
    void stopAttempt(ShardJob &job, std::uint32_t task, TimePoint now);

private:
    /// Queues a job of which nothing was started.
    void add(const JobSpec &spec, TimePoint now);
    void applySuccess(ShardJob &job, std::uint32_t task, TimePoint now);
    void applyFailure(ShardJob &job, std::uint32_t task, const std::string &reason, TimePoint now);
    void applyInterruption(ShardJob &job, std::uint32_t task, AttemptEnd end, TimePoint now);
    void chargeFailure(ShardJob &job, const TaskState &attempt, TimePoint now);
    void revokeFailures(const std::vector<JobId> &jobs, const WorkerId &worker);
    [[nodiscard]] bool shouldPark(const ShardJob &job) const;
    /// Records the final state when nothing of the job runs, and forgets the job when the record is durable.
    void settle(ShardJob &job);
    void forget(const JobId &id);

    ShardState &m_state;
};

} // namespace KingCupLadder
