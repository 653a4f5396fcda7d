// Answers each SyncWorker of a shard as accepted and ends tasks after their run time. It does not model machines: no capacity
// check, no failure, no delay except that a reply is handed over by the caller.
#pragma once

#include "core/messages.h"

#include <cstddef>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

class Answerer
{
public:
    /// @p listAlways: every answer lists the running tasks, not only answers to an inventory request.
    explicit Answerer(bool listAlways);

    /// Applies the request and answers it.
    [[nodiscard]] WorkerReply answer(const SyncWorker &sync, TimePoint now);
    [[nodiscard]] std::size_t running() const;

private:
    struct Worker {
        std::unordered_map<TaskId, RunningTask> running;
        std::unordered_map<TaskId, EndedTask> ended; ///< Not acknowledged.
    };
    struct End {
        TimePoint at;
        WorkerId worker;
        TaskId task;
        friend bool operator>(const End &a, const End &b)
        {
            return a.at > b.at;
        }
    };

    void endDue(TimePoint now);
    void end(Worker &worker, const TaskId &task, TaskOutcome outcome);
    void apply(Worker &worker, const SyncWorker &sync, TimePoint now);

    bool m_listAlways;
    std::size_t m_running = 0;
    std::unordered_map<WorkerId, Worker> m_workers;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
};

} // namespace KingCupLadder
