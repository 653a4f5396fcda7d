// Task lifecycle on simulated workers.
#include "workersimulator.h"

#include "workload.h"

namespace KingCupLadder {

WorkerSimulator::WorkerSimulator(bool alwaysListRunning) : m_alwaysListRunning(alwaysListRunning) { }

std::size_t WorkerSimulator::running() const
{
    return m_running;
}

void WorkerSimulator::endTask(Worker &worker, const TaskId &task, TaskOutcome outcome)
{
    const auto found = worker.running.find(task);
    if (found == worker.running.end()) {
        return;
    }
    worker.ended.emplace(task, EndedTask{task, found->second.team, outcome, {}});
    worker.running.erase(found);
    --m_running;
}

void WorkerSimulator::endDueTasks(TimePoint now)
{
    while (!m_scheduledEnds.empty() && m_scheduledEnds.top().at <= now) {
        endTask(m_workers[m_scheduledEnds.top().worker], m_scheduledEnds.top().task, TaskOutcome::Succeeded);
        m_scheduledEnds.pop();
    }
}

void WorkerSimulator::apply(Worker &worker, const SyncWorker &sync, TimePoint now)
{
    for (const TaskId &task : sync.request.acknowledged) {
        worker.ended.erase(task);
    }
    for (const TaskStart &start : sync.request.starts) {
        worker.running.emplace(start.id, RunningTask{start.id, start.team, start.route, start.demand, start.demand, start.lease});
        ++m_running;
        // A task without a run time, such as that of a service, runs until it is stopped.
        if (start.runTime > Duration(0)) {
            m_scheduledEnds.push(ScheduledEnd{now + start.runTime, sync.worker, start.id});
        }
    }
    for (const TaskControl &control : sync.request.controls) {
        if (control.action == TaskAction::Stop || control.action == TaskAction::Checkpoint) {
            endTask(worker, control.id, control.action == TaskAction::Stop ? TaskOutcome::Stopped : TaskOutcome::Checkpointed);
        }
    }
}

WorkerReply WorkerSimulator::handleSync(const SyncWorker &sync, TimePoint now)
{
    endDueTasks(now);
    Worker &worker = m_workers[sync.worker];
    apply(worker, sync, now);
    SyncReply reply;
    reply.epoch = sync.request.epoch;
    reply.sequence = sync.request.sequence;
    reply.capacity = workerCapacity();
    reply.connections = 60; // As of a worker stand-in by default.
    reply.inventory = sync.request.inventory;
    if (m_alwaysListRunning || reply.inventory) {
        for (const auto &[id, task] : worker.running) {
            reply.running.push_back(task);
        }
    }
    for (const auto &[id, task] : worker.ended) {
        reply.ended.push_back(task);
    }
    return WorkerReply{sync.op, sync.worker, std::move(reply)};
}

} // namespace KingCupLadder
