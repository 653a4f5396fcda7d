// Internal to the shard controller: sends command batches to workers and derives the state of their tasks from the replies.
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
    /// Processes the workers with a due timer and those marked as due, without visiting the others.
    void tick(TimePoint now);
    /// Withdraws the batches that were produced but not yet taken as outputs.
    void withdrawOutputs(TimePoint now);
    /// Adopts tasks that were found before their jobs were known, and stops those of jobs that have ended.
    void adoptOrphans(TimePoint now);
    /// Queues the held tasks if the inventory of every worker was read and the jobs were recovered.
    void releaseHeldTasksIfAllRead(TimePoint now);

private:
    struct InventoryTasks {
        std::unordered_set<TaskId> tasks; ///< Listed in the inventory as running or ended.
    };

    // Sending and timers of one worker.
    void processWorker(WorkerIndex index, TimePoint now);
    void expireDeadlines(WorkerIndex index, TimePoint now);
    void processGoneWorker(WorkerIndex index, TimePoint now);
    void scheduleNext(WorkerIndex index, TimePoint now);
    [[nodiscard]] TimePoint nextSync(const ShardWorker &worker);
    [[nodiscard]] bool hasPendingMessages(const ShardWorker &worker) const;
    void send(WorkerIndex index, TimePoint now);
    void addStarts(WorkerIndex index, SyncRequest &request);
    [[nodiscard]] TaskStart startOf(const ShardJob &job, const TaskId &id, const ShardWorker &worker) const;

    // Replies.
    void onLost(WorkerIndex index, TimePoint now);
    void onRefused(WorkerIndex index, TimePoint now);
    void onAccepted(WorkerIndex index, const SyncReply &reply, TimePoint now);
    void confirmStarts(WorkerIndex index);
    void requeueUnsentStarts(WorkerIndex index, TimePoint now);
    void applyEnded(WorkerIndex index, const EndedTask &ended, TimePoint now);
    void applyInventory(WorkerIndex index, const SyncReply &reply, TimePoint now);
    void applyRunning(WorkerIndex index, const RunningTask &running, TimePoint now);
    [[nodiscard]] bool adopt(WorkerIndex index, const RunningTask &running, TimePoint now);
    void resendControl(WorkerIndex index, ShardJob &job, const TaskId &task, TimePoint now);
    void endMissingTasks(WorkerIndex index, const InventoryTasks &seen, TimePoint now);
    /// Updates the reserve for slots that grants of earlier epochs may still use.
    void updatePriorEpochSlots(WorkerIndex index, const SyncReply &reply, bool firstRead, TimePoint now);
    void releaseTimedOutGrants(WorkerIndex index, std::int64_t busy, TimePoint now);
    void endStoppedAttempts(WorkerIndex index, bool leasesExpired, TimePoint now);

    ShardState &m_state;
    ShardJobs &m_jobs;
};

} // namespace KingCupLadder
