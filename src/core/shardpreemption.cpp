// Preemption for urgent work, for requests below their guaranteed share, for lowered limits and on generator power.
#include "guaranteedshare_p.h"
#include "shardplacement_p.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxWorkersPerPlan = 32; // Workers examined for one plan; the next search begins after them.
constexpr std::uint32_t maxPlansPerCall = 8; // Bounds the plans that one call of preemptFor() makes.

} // namespace

void ShardPlacement::preemptFor(const ShardJob &job, std::uint32_t queuedTasks, TimePoint now)
{
    const auto known = m_state.preemptedWorkers.find(job.spec.id);
    const std::size_t preempted = known != m_state.preemptedWorkers.end() ? known->second.size() : 0;
    const std::size_t needed = queuedTasks > preempted ? queuedTasks - preempted : 0;
    for (std::size_t count = 0; count < std::min<std::size_t>(needed, maxPlansPerCall); ++count) {
        const std::optional<PreemptionPlan> found = findPreemptionPlan(job.spec.demand, now);
        if (!found) {
            return;
        }
        const WorkerIndex index = m_state.workerIndexes.at(found->worker);
        ShardWorker &worker = *m_state.workers[index];
        worker.preemptedFor = job.spec.id;
        // Victims that have not finished their checkpoint after half of the allowed wait are stopped. If the job is still not placed
        // after twice the allowed wait, the worker takes other work again.
        worker.preemptedUntil = now + m_state.settings.maxUrgentWait * 2;
        worker.checkpointDeadline = std::min(worker.checkpointDeadline, now + m_state.settings.maxUrgentWait / 2);
        m_state.preemptedWorkers[job.spec.id].push_back(index);
        evict(*found, now);
        m_state.refreshWorker(index);
        m_state.scheduleTimer(index, worker.checkpointDeadline);
    }
}

void ShardPlacement::preemptForRequests(TimePoint now)
{
    const std::optional<Resources> demand = std::exchange(m_state.refusedRequestDemand, std::nullopt);
    if (!demand || !isWithinGuaranteedShare(m_state.committedByRequests + *demand, m_state.totalCapacity)) {
        return;
    }
    if (const std::optional<PreemptionPlan> found = findPreemptionPlan(*demand, now)) {
        evict(*found, now);
    }
}

std::optional<PreemptionPlan> ShardPlacement::findPreemptionPlan(const Resources &demand, TimePoint now)
{
    std::vector<PreemptibleWorker> candidates;
    const std::size_t count = m_state.workers.size();
    for (std::size_t seen = 0; seen < std::min(count, maxWorkersPerPlan); ++seen) {
        m_cursor = (m_cursor + 1) % count;
        const ShardWorker *worker = m_state.workers[m_cursor].get();
        if (worker != nullptr && m_state.isPlaceable(*worker) && demand.fitsIn(worker->ledger.capacity())) {
            candidates.push_back(preemptibleWorker(static_cast<WorkerIndex>(m_cursor), now));
        }
    }
    return planPreemption(demand, candidates);
}

PreemptibleWorker ShardPlacement::preemptibleWorker(WorkerIndex index, TimePoint now) const
{
    const ShardWorker &worker = *m_state.workers[index];
    PreemptibleWorker result;
    result.worker = worker.vm.id;
    result.free = worker.ledger.free();
    for (const auto &[id, demand] : worker.ledger.tasks()) {
        const ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job != nullptr && job->tasks.at(id.index).phase == TaskPhase::Running) {
            result.tasks.push_back(preemptibleTask(*job, id.index, now));
        }
    }
    return result;
}

PreemptibleTask ShardPlacement::preemptibleTask(const ShardJob &job, std::uint32_t task, TimePoint now) const
{
    const TaskState &state = job.tasks.at(task);
    const Team *team = m_state.tables ? m_state.tables->team(job.spec.team) : nullptr;
    const double weight = team != nullptr ? team->share : 1.0;
    PreemptibleTask result;
    result.id = TaskId{job.spec.id, task, state.attempt};
    result.team = job.spec.team;
    result.worker = m_state.workers[state.workerIndex]->vm.id;
    result.demand = job.spec.demand;
    result.priority = job.spec.priority;
    result.workClass = job.spec.workClass;
    result.startOnce = job.spec.startOnce;
    result.teamShare = m_state.queue.usage(job.spec.team).dominantShareOf(m_state.totalCapacity) / weight;
    result.elapsed = now - state.placedAt;
    return result;
}

void ShardPlacement::evict(const PreemptionPlan &plan, TimePoint now)
{
    const WorkerIndex index = m_state.workerIndexes.at(plan.worker);
    for (const TaskId &id : plan.victims) {
        if (ShardJob *job = m_state.jobOfLiveAttempt(id, index); job != nullptr) {
            m_jobs.checkpoint(*job, id.index, now);
            ++m_state.counters.preemptions;
        }
    }
}

void ShardPlacement::enforceLimits(TimePoint now)
{
    const std::unordered_set<TeamId> due = std::exchange(m_state.teamsToCheck, {});
    for (const TeamId &team : due) {
        enforceLimit(team, now);
    }
}

void ShardPlacement::enforceLimit(const TeamId &team, TimePoint now)
{
    const TeamAccount &account = m_state.teams[team];
    if (account.running.fitsIn(account.allotment)) {
        return;
    }
    m_recheckTeams.insert(team);
    Resources usage = account.running;
    std::vector<PreemptibleTask> tasks;
    for (auto &[id, job] : m_state.jobs) {
        for (std::uint32_t task = 0; job->spec.team == team && task < job->tasks.size(); ++task) {
            const TaskPhase phase = job->tasks.at(task).phase;
            if (phase == TaskPhase::Stopping || phase == TaskPhase::Checkpointing) {
                usage -= job->spec.demand;
            } else if (phase == TaskPhase::Reserved || phase == TaskPhase::Running) {
                tasks.push_back(preemptibleTask(*job, task, now));
            }
        }
    }
    for (const TaskId &id : tasksOverLimit(usage, account.allotment, std::move(tasks))) {
        if (ShardJob *job = m_state.job(id.job); job != nullptr) {
            m_jobs.checkpoint(*job, id.index, now);
        }
    }
}

void ShardPlacement::applyPower(TimePoint now)
{
    for (auto &[id, job] : m_state.jobs) {
        for (std::uint32_t task = 0; task < job->tasks.size(); ++task) {
            if (job->tasks.at(task).phase == TaskPhase::Running) {
                m_jobs.applyPower(*job, task, now);
            }
        }
    }
    m_state.needsRound = true;
}

} // namespace KingCupLadder
