// Simulates workers that accept every SyncWorker request and end tasks after their run time. There are no capacity checks, no
// failures and no delays, and throttling a task has no effect; the caller decides when a reply is delivered.
#pragma once

#include "core/messages.h"

#include <cstddef>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

class WorkerSimulator
{
public:
    /// With @p alwaysListRunning every reply lists the running tasks, not only replies to inventory requests.
    explicit WorkerSimulator(bool alwaysListRunning);

    /// Applies the request and returns the reply.
    [[nodiscard]] WorkerReply handleSync(const SyncWorker &sync, TimePoint now);
    [[nodiscard]] std::size_t running() const;

private:
    struct Worker {
        std::unordered_map<TaskId, RunningTask> running;
        std::unordered_map<TaskId, EndedTask> ended; ///< Ended tasks that are not acknowledged yet.
    };
    struct ScheduledEnd {
        TimePoint at;
        WorkerId worker;
        TaskId task;
        friend bool operator>(const ScheduledEnd &a, const ScheduledEnd &b)
        {
            return a.at > b.at;
        }
    };

    void endDueTasks(TimePoint now);
    void endTask(Worker &worker, const TaskId &task, TaskOutcome outcome);
    void apply(Worker &worker, const SyncWorker &sync, TimePoint now);

    bool m_alwaysListRunning;
    std::size_t m_running = 0;
    std::unordered_map<WorkerId, Worker> m_workers;
    std::priority_queue<ScheduledEnd, std::vector<ScheduledEnd>, std::greater<>> m_scheduledEnds;
};

} // namespace KingCupLadder
