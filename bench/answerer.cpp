// The life of tasks at synthetic workers.
#include "answerer.h"

#include "mix.h"

namespace KingCupLadder {

Answerer::Answerer(bool listAlways) : m_listAlways(listAlways) { }

std::size_t Answerer::running() const
{
    return m_running;
}

void Answerer::end(Worker &worker, const TaskId &task, TaskOutcome outcome)
{
    const auto found = worker.running.find(task);
    if (found == worker.running.end()) {
        return;
    }
    worker.ended.emplace(task, EndedTask{task, found->second.team, outcome, {}});
    worker.running.erase(found);
    --m_running;
}

void Answerer::endDue(TimePoint now)
{
    while (!m_ends.empty() && m_ends.top().at <= now) {
        end(m_workers[m_ends.top().worker], m_ends.top().task, TaskOutcome::Succeeded);
        m_ends.pop();
    }
}

void Answerer::apply(Worker &worker, const SyncWorker &sync, TimePoint now)
{
    for (const TaskId &task : sync.request.acknowledged) {
        worker.ended.erase(task);
    }
    for (const TaskStart &start : sync.request.starts) {
        worker.running.emplace(start.id, RunningTask{start.id, start.team, start.route, start.demand, start.demand, start.lease});
        ++m_running;
        if (start.runTime > Duration(0)) {
            m_ends.push(End{now + start.runTime, sync.worker, start.id});
        }
    }
    for (const TaskControl &control : sync.request.controls) {
        if (control.action == TaskAction::Stop || control.action == TaskAction::Checkpoint) {
            end(worker, control.id, control.action == TaskAction::Stop ? TaskOutcome::Stopped : TaskOutcome::Checkpointed);
        }
    }
}

WorkerReply Answerer::answer(const SyncWorker &sync, TimePoint now)
{
    endDue(now);
    Worker &worker = m_workers[sync.worker];
    apply(worker, sync, now);
    SyncReply reply;
    reply.epoch = sync.request.epoch;
    reply.sequence = sync.request.sequence;
    reply.capacity = workerCapacity();
    reply.connections = 60;
    reply.inventory = sync.request.inventory;
    if (m_listAlways || reply.inventory) {
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
