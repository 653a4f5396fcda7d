// Internal to the shard controller: what is sent to each worker and when, and what its answers prove about the tasks on it.
#pragma once

#include "shardjobs_p.h"

#include <unordered_set>

namespace KingCupLadder {

class ShardSync
{
public:
    ShardSync(ShardState &state, ShardJobs &jobs);

    void setWorkers(const std::vector<VmInfo> &vms, TimePoint now);
    void onReply(const WorkerReply &reply, TimePoint now);
    /// Serves the workers whose time has come and those with something to send. Does not look at the others.
    void tick(TimePoint now);
    /// Takes back the batches that were produced and not handed out.
    void withdrawOutputs(TimePoint now);
    /// Adopts tasks that were found before the jobs were known; stops those of unknown jobs.
    void adoptOrphans(TimePoint now);
    void releaseHeldIfRead(TimePoint now);

private:
    struct Seen {
        std::unordered_set<TaskId> tasks; ///< Running or ended, as listed.
    };

    // Due work of one worker.
    void serve(WorkerIndex index, TimePoint now);
    void expireDeadlines(WorkerIndex index, TimePoint now);
    void serveGone(WorkerIndex index, TimePoint now);
    void scheduleNext(WorkerIndex index, TimePoint now);
    [[nodiscard]] TimePoint nextSync(const ShardWorker &worker);
    [[nodiscard]] bool hasPendingMessages(const ShardWorker &worker) const;
    void send(WorkerIndex index, TimePoint now);
    void addStarts(WorkerIndex index, SyncRequest &request);
    [[nodiscard]] TaskStart startOf(const ShardJob &job, const TaskId &id, const ShardWorker &worker) const;

    // Answers.
    void onLost(WorkerIndex index, TimePoint now);
    void onRefused(WorkerIndex index, TimePoint now);
    void onAccepted(WorkerIndex index, const SyncReply &reply, TimePoint now);
    void confirmStarts(WorkerIndex index);
    void returnUnsent(WorkerIndex index, TimePoint now);
    void applyEnded(WorkerIndex index, const EndedTask &ended, TimePoint now);
    void applyInventory(WorkerIndex index, const SyncReply &reply, TimePoint now);
    void applyRunning(WorkerIndex index, const RunningTask &running, TimePoint now);
    [[nodiscard]] bool adopt(WorkerIndex index, const RunningTask &running, TimePoint now);
    void resendControl(WorkerIndex index, ShardJob &job, const TaskId &task, TimePoint now);
    void endMissingTasks(WorkerIndex index, const Seen &seen, TimePoint now);
    void applySlots(WorkerIndex index, const SyncReply &reply, bool firstRead, TimePoint now);
    void releaseTimedOutGrants(WorkerIndex index, std::int64_t busy, TimePoint now);
    void endAll(WorkerIndex index, bool withLease, TimePoint now);

    ShardState &m_state;
    ShardJobs &m_jobs;
};

} // namespace KingCupLadder
