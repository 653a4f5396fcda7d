// Scheduling rounds over the queue of a shard.
#include "shardplacement_p.h"

#include "guaranteedshare_p.h"
#include "powerpolicy.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int maxEntriesPerRound = 1000; // Keeps one tick within a few milliseconds; the rest follows in the next tick.
constexpr Duration roundInterval{1000}; // Ageing and the guaranteed share of requests change with time, without an event.

} // namespace

ShardPlacement::ShardPlacement(ShardState &state, ShardJobs &jobs) : m_state(state), m_jobs(jobs) { }

void ShardPlacement::run(TimePoint now)
{
    m_state.updateUnreadReserve();
    enforceLimits(now);
    expireGang(now);
    preemptForRequests(now);
    if (now >= m_nextRetry || now - m_lastRound >= roundInterval) {
        m_nextRetry = TimePoint::max();
        m_state.needsRound = true;
        m_state.teamsToCheck.merge(m_recheckTeams);
        m_recheckTeams.clear();
    }
    if (!m_state.needsRound) {
        return;
    }
    m_state.needsRound = false;
    m_lastRound = now;
    m_state.queue.beginRound(now);
    for (int handled = 0; handled < maxEntriesPerRound; ++handled) {
        const std::optional<QueueEntry> entry = m_state.queue.next();
        if (!entry) {
            return;
        }
        scheduleEntry(*entry, now);
    }
    m_state.needsRound = true;
}

void ShardPlacement::scheduleEntry(const QueueEntry &entry, TimePoint now)
{
    ShardJob *job = m_state.job(entry.job);
    if (job == nullptr || job->finalState || job->tasks.count(TaskPhase::Queued) == 0) {
        m_state.queue.remove(entry.job);
        return;
    }
    if (mustWait(*job, entry, now)) {
        m_state.queue.skip(entry.job);
        return;
    }
    if (job->spec.startOnce && !job->startPersisted) {
        m_jobs.requestStartPersist(*job);
        m_state.queue.skip(entry.job);
        return;
    }
    if (entry.allAtOnce) {
        placeAllAtOnce(*job, entry, now);
    } else {
        placeOne(*job, entry, now);
    }
}

bool ShardPlacement::mustWait(const ShardJob &job, const QueueEntry &entry, TimePoint now) const
{
    if (!mayStart(m_state.power(), job.spec.workClass, job.spec.priority) || now < job.retryAt) {
        return true;
    }
    if (job.spec.partition == PartitionPolicy::Move && !m_state.leaseConfirmed) {
        return true;
    }
    const bool holdsReservation = m_state.gang.isActive() && m_state.gang.entry().job == entry.job;
    if (m_state.gang.isActive() && !holdsReservation && !m_state.gang.mayBackfill(entry, now)) {
        return true;
    }
    return !leavesRequestShare(entry.demand * (entry.allAtOnce ? entry.tasks : 1), now);
}

bool ShardPlacement::leavesRequestShare(const Resources &demand, TimePoint now) const
{
    const bool requestsIdle = !m_state.grantRequested || now - m_state.lastGrantRequest >= requestIdleTime;
    return requestsIdle || leavesGuaranteedShare(m_state.committedByTasks + demand, m_state.totalCapacity);
}

PlacementOptions ShardPlacement::optionsFor(const ShardJob &job) const
{
    PlacementOptions options;
    options.packTightly = m_state.power() == PowerSource::Generator;
    // The list is ignored if it may contain every worker, since no worker would be left to choose.
    if (job.failedOn.size() < m_state.readWorkerCount()) {
        options.avoid = job.failedOn;
    }
    return options;
}

void ShardPlacement::takeFromQueue(const ShardJob &job, std::uint32_t tasks)
{
    m_state.queue.dequeue(job.spec.id); // Also charges the team in the queue.
    m_state.teams[job.spec.team].running += job.spec.demand * tasks;
}

void ShardPlacement::placeOne(ShardJob &job, const QueueEntry &entry, TimePoint now)
{
    if (placeOnPreemptedWorker(job, now)) {
        return;
    }
    const std::optional<WorkerId> chosen = m_state.placementIndex.choose(entry.demand, optionsFor(job));
    if (chosen && m_state.place(job, m_state.workerIndexes.at(*chosen), now)) {
        takeFromQueue(job, 1);
        return;
    }
    const std::string neverFitsReason = chosen ? std::string() : m_jobs.whyNeverFits(job.spec);
    if (!neverFitsReason.empty()) {
        m_jobs.setFinalState(job, JobState::Parked, neverFitsReason, now);
        return;
    }
    if (job.spec.priority == Priority::Urgent) {
        preemptFor(job, entry.tasks, now);
    }
    // Other jobs with the same demand are skipped as well, unless the cause may lie in this job, which avoids workers, or in the chosen
    // worker, on which the task could not be placed.
    if (chosen || !job.failedOn.empty()) {
        m_state.queue.skip(entry.job);
    } else {
        m_state.queue.skipDemand(entry.priority, entry.demand);
    }
}

bool ShardPlacement::placeOnPreemptedWorker(ShardJob &job, TimePoint now)
{
    const auto it = m_state.preemptedWorkers.find(job.spec.id);
    if (it == m_state.preemptedWorkers.end()) {
        return false;
    }
    for (const WorkerIndex index : it->second) {
        ShardWorker *worker = m_state.workers[index].get();
        const bool isForJob = worker != nullptr && worker->preemptedFor == job.spec.id;
        if (!isForJob || worker->vm.leaving || worker->health.state() != HealthState::Healthy || !m_state.place(job, index, now)) {
            continue;
        }
        takeFromQueue(job, 1);
        worker->preemptedFor.reset();
        it->second.erase(std::find(it->second.begin(), it->second.end(), index));
        if (it->second.empty() || job.tasks.count(TaskPhase::Queued) == 0) {
            m_state.releasePreemptedWorkers(job.spec.id);
        }
        m_state.refreshWorker(index);
        return true;
    }
    return false;
}

void ShardPlacement::placeAllAtOnce(ShardJob &job, const QueueEntry &entry, TimePoint now)
{
    const auto chosen = m_state.placementIndex.chooseAll(entry.demand, entry.tasks, optionsFor(job));
    if (!chosen) {
        const std::string neverFitsReason = m_jobs.whyNeverFits(job.spec);
        if (!neverFitsReason.empty()) {
            m_jobs.setFinalState(job, JobState::Parked, neverFitsReason, now);
            return;
        }
        // No estimate is made of when the resources become free; the end of the reservation is used as the expected time.
        (void)m_state.gang.begin(entry, now + m_state.settings.gangTimeout, now);
        m_state.queue.skip(entry.job);
        return;
    }
    takeFromQueue(job, entry.tasks);
    std::uint32_t placed = 0;
    while (placed < entry.tasks && m_state.place(job, m_state.workerIndexes.at((*chosen)[placed]), now)) {
        ++placed;
    }
    if (placed < entry.tasks) {
        rollBackAllAtOnce(job, placed, entry.tasks, now);
        m_state.queue.skip(entry.job);
    }
    if (m_state.gang.isActive() && m_state.gang.entry().job == entry.job) {
        m_state.gang.end();
        m_state.needsRound = true;
    }
}

void ShardPlacement::rollBackAllAtOnce(ShardJob &job, std::uint32_t placed, std::uint32_t taken, TimePoint now)
{
    // takeFromQueue() charged all tasks. endAttempt() discharges and requeues the placed ones.
    const std::uint32_t unplaced = taken - placed;
    m_state.discharge(job.spec.team, job.spec.demand * unplaced);
    m_state.enqueueTasks(job, unplaced, now);
    for (std::uint32_t task = 0; placed > 0 && task < job.tasks.size(); ++task) {
        if (job.tasks.at(task).phase == TaskPhase::Reserved) {
            m_jobs.endAttempt(job, task, AttemptOutcome::NotStarted, {}, now);
        }
    }
}

void ShardPlacement::expireGang(TimePoint now)
{
    if (!m_state.gang.isActive() || !m_state.gang.isExpired(now)) {
        return;
    }
    if (ShardJob *job = m_state.job(m_state.gang.entry().job); job != nullptr) {
        job->retryAt = now + m_state.settings.gangTimeout;
        m_nextRetry = std::min(m_nextRetry, job->retryAt);
    }
    m_state.gang.end();
    m_state.needsRound = true;
}

} // namespace KingCupLadder
