// Processes replies of workers: starts that took effect, tasks that ended, and inventories.
#include "shardsync_p.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

AttemptOutcome attemptOutcomeOf(TaskOutcome outcome)
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
        return AttemptOutcome::Succeeded;
    case TaskOutcome::Failed:
        return AttemptOutcome::Failed;
    case TaskOutcome::Stopped:
        return AttemptOutcome::Stopped;
    case TaskOutcome::Checkpointed:
        return AttemptOutcome::Checkpointed;
    case TaskOutcome::Expired:
        return AttemptOutcome::Expired;
    }
    return AttemptOutcome::Lost;
}

} // namespace

void ShardSync::onReply(const WorkerReply &reply, TimePoint now)
{
    const auto known = m_state.workerIndexes.find(reply.worker);
    if (known == m_state.workerIndexes.end()) {
        return;
    }
    const WorkerIndex index = known->second;
    switch (m_state.workers[index]->session.onReply(reply, now)) {
    case ReplyEffect::Ignored:
        return;
    case ReplyEffect::Lost:
        onLost(index, now);
        break;
    case ReplyEffect::Refused:
        onRefused(index, now);
        break;
    case ReplyEffect::Accepted:
        onAccepted(index, *reply.reply, now);
        break;
    }
    if (m_state.workers[index]) {
        m_state.markDue(index);
    }
}

void ShardSync::onLost(WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    worker.resendControls = true;
    for (const TaskId &id : worker.session.takeStarts()) {
        ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job == nullptr) {
            continue;
        }
        if (!m_state.settings.safetyChecks.proveStoppedBeforeRestart) {
            m_jobs.endAttempt(*job, id.index, AttemptOutcome::NotStarted, {}, now);
            continue;
        }
        job->tasks.markUncertain(id.index);
    }
    requeueUnsentStarts(index, now);
    m_state.refreshWorker(index);
}

void ShardSync::onRefused(WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    worker.resendControls = true;
    for (const TaskId &id : worker.session.takeStarts()) {
        ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job != nullptr) {
            m_jobs.endAttempt(*job, id.index, AttemptOutcome::NotStarted, {}, now);
        }
    }
    requeueUnsentStarts(index, now);
    m_state.refreshWorker(index);
}

void ShardSync::requeueUnsentStarts(WorkerIndex index, TimePoint now)
{
    for (const TaskId &id : std::exchange(m_state.workers[index]->starts, {})) {
        ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job != nullptr && job->tasks.at(id.index).phase == TaskPhase::Reserved) {
            m_jobs.endAttempt(*job, id.index, AttemptOutcome::NotStarted, {}, now);
        }
    }
}

void ShardSync::onAccepted(WorkerIndex index, const SyncReply &reply, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    worker.maxConnections = reply.connections;
    worker.ledger.setCapacity(reply.capacity);
    confirmStarts(index);
    for (const EndedTask &ended : reply.ended) {
        applyEnded(index, ended, now);
    }
    const bool isConclusive = reply.inventory && worker.session.isInventoryConclusive();
    const bool firstRead = isConclusive && worker.countedAsUnread;
    if (isConclusive) {
        applyInventory(index, reply, now);
    }
    if (firstRead) {
        worker.countedAsUnread = false;
        m_state.setUnreadWorkers(m_state.unreadWorkers - 1);
    }
    updatePriorEpochSlots(index, reply, firstRead, now);
    m_state.refreshWorker(index);
    if (firstRead) {
        releaseHeldTasksIfAllRead(now);
        m_state.scheduleLimitChecks();
    }
}

void ShardSync::releaseHeldTasksIfAllRead(TimePoint now)
{
    if (m_state.allWorkersRead() && m_state.recoveredOnce) {
        m_jobs.releaseHeld(now);
    }
}

void ShardSync::confirmStarts(WorkerIndex index)
{
    for (const TaskId &id : m_state.workers[index]->session.takeStarts()) {
        ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job != nullptr) {
            (void)job->tasks.advance(id.index, TaskPhase::Running);
        }
        ++m_state.counters.taskStarts;
    }
}

void ShardSync::applyEnded(WorkerIndex index, const EndedTask &ended, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    ShardJob *job = m_state.job(ended.id.job);
    if (job == nullptr) {
        m_state.releaseOrphan(index, ended.id);
        if (m_state.hasEnded(ended.id.job)) {
            worker.acks.push_back(ended.id);
        }
        return;
    }
    if (ended.id.index >= job->tasks.size()) {
        worker.acks.push_back(ended.id);
        return;
    }
    // The worker keeps the report until the final state of the job is durable; before that, a new owner learns the result only from it.
    // Reports of attempts before the current one have no effect, so they are acknowledged at once.
    const bool isReportNeeded = job->spec.startOnce || (ended.outcome == TaskOutcome::Succeeded && job->spec.workClass != WorkClass::Service);
    const bool current = job->tasks.isCurrent(ended.id.index, ended.id.attempt);
    if (!isReportNeeded || ended.id.attempt < job->tasks.at(ended.id.index).attempt) {
        worker.acks.push_back(ended.id);
    }
    if (m_state.jobOfLiveAttempt(ended.id, index) != nullptr) {
        m_jobs.endAttempt(*job, ended.id.index, attemptOutcomeOf(ended.outcome), ended.reason, now);
        return;
    }
    m_state.releaseOrphan(index, ended.id);
    if (!current) {
        m_jobs.endEarlierAttempt(*job, ended.id, ended.outcome, ended.reason, now);
    }
}

void ShardSync::applyInventory(WorkerIndex index, const SyncReply &reply, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    InventoryTasks seen;
    worker.observed = Resources{};
    for (const RunningTask &running : reply.running) {
        seen.tasks.insert(running.id);
        worker.observed += running.usage;
        applyRunning(index, running, now);
    }
    for (const EndedTask &ended : reply.ended) {
        seen.tasks.insert(ended.id);
    }
    endMissingTasks(index, seen, now);
    worker.resendControls = false;
}

void ShardSync::applyRunning(WorkerIndex index, const RunningTask &running, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    ShardJob *job = m_state.jobOfLiveAttempt(running.id, index);
    if (job != nullptr) {
        job->tasks.confirm(running.id.index);
        resendControl(index, *job, running.id, now);
        return;
    }
    if (adopt(index, running, now)) {
        return;
    }
    if (!worker.ledger.contains(running.id)) {
        worker.ledger.adopt(running.id, running.demand);
        worker.orphans.emplace(running.id, running.team);
        m_state.committedByTasks += running.demand;
        m_state.charge(running.team, running.demand);
    }
    if (m_state.job(running.id.job) != nullptr || m_state.hasEnded(running.id.job)) {
        worker.controls.push_back(TaskControl{running.id, TaskAction::Stop});
    }
}

bool ShardSync::adopt(WorkerIndex index, const RunningTask &running, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    ShardJob *job = m_state.job(running.id.job);
    if (job == nullptr || running.id.index >= job->tasks.size()) {
        return false;
    }
    const bool wasQueued = job->tasks.at(running.id.index).phase == TaskPhase::Queued;
    if (!job->tasks.adopt(running.id.index, running.id.attempt, index, now)) {
        return false;
    }
    const bool wasOrphan = worker.orphans.erase(running.id) > 0;
    if (!wasOrphan) {
        worker.ledger.adopt(running.id, running.demand);
        m_state.committedByTasks += running.demand;
        m_state.charge(job->spec.team, running.demand);
    }
    if (wasQueued) {
        m_state.rebuildQueueEntry(*job, now);
    }
    if (job->finalState) {
        m_jobs.stopAttempt(*job, running.id.index, now);
    } else if (job->tasks.count(TaskPhase::Held) == 0) {
        m_state.heldJobs.erase(job->spec.id);
    }
    return true;
}

void ShardSync::resendControl(WorkerIndex index, ShardJob &job, const TaskId &task, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    if (job.tasks.at(task.index).phase == TaskPhase::Running) {
        m_jobs.applyPower(job, task.index, now);
    }
    const TaskState &state = job.tasks.at(task.index);
    if (state.phase == TaskPhase::Stopping) {
        worker.controls.push_back(TaskControl{task, TaskAction::Stop});
    } else if (state.phase == TaskPhase::Checkpointing) {
        worker.controls.push_back(TaskControl{task, TaskAction::Checkpoint});
    } else if (worker.resendControls && m_state.everThrottled) {
        worker.controls.push_back(TaskControl{task, state.throttled ? TaskAction::Throttle : TaskAction::Resume});
    }
}

void ShardSync::endMissingTasks(WorkerIndex index, const InventoryTasks &seen, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    std::vector<TaskId> absent;
    for (const auto &[id, demand] : worker.ledger.tasks()) {
        if (seen.tasks.count(id) == 0) {
            absent.push_back(id);
        }
    }
    const std::uint64_t sequence = worker.session.lastSequence().value();
    for (const TaskId &id : absent) {
        ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job == nullptr) {
            m_state.releaseOrphan(index, id);
            continue;
        }
        const TaskState &state = job->tasks.at(id.index);
        // The inventory of the batch that contained the start may not list the task yet, so only a later one shows that the task is missing.
        const bool isLaterInventory = state.startSequence < sequence || !m_state.settings.safetyChecks.sequenceOrder;
        if (mayRun(state.phase) && isLaterInventory) {
            m_jobs.endAttempt(*job, id.index, AttemptOutcome::Lost, {}, now);
        }
    }
}

void ShardSync::adoptOrphans(TimePoint now)
{
    for (WorkerIndex index = 0; index < m_state.workers.size(); ++index) {
        if (!m_state.workers[index]) {
            continue;
        }
        ShardWorker &worker = *m_state.workers[index];
        const std::unordered_map<TaskId, TeamId> orphans = worker.orphans;
        for (const auto &[id, team] : orphans) {
            RunningTask running;
            running.id = id;
            running.team = team;
            if (!adopt(index, running, now) && (m_state.job(id.job) != nullptr || m_state.hasEnded(id.job))) {
                worker.controls.push_back(TaskControl{id, TaskAction::Stop});
            }
        }
        m_state.markDue(index);
    }
}

void ShardSync::updatePriorEpochSlots(WorkerIndex index, const SyncReply &reply, bool firstRead, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    if (firstRead) {
        worker.priorEpochSlots = reply.busySlots;
        worker.priorEpochSlotsUntil = now + m_state.settings.maxGrantTerm;
        m_state.scheduleTimer(index, worker.priorEpochSlotsUntil);
    }
    releaseTimedOutGrants(index, reply.busySlots.value(), now);
    worker.priorEpochSlots = std::min(worker.priorEpochSlots, reply.busySlots);
    // The previous reserve is removed first: free() excludes it, and the new reserve may use the same resources.
    worker.ledger.setReserve({});
    Resources reserve = m_state.largestRequestDemand * worker.priorEpochSlots.value();
    reserve.slots = worker.priorEpochSlots;
    worker.ledger.setReserve(reserve.limitedTo(worker.ledger.free()));
}

/// Releases grants of timed-out requests that the worker no longer serves: all whose time has ended, and others as long as more
/// remain than the worker has busy slots. The worker reports only that number, so which of the others are released is arbitrary.
void ShardSync::releaseTimedOutGrants(WorkerIndex index, std::int64_t busy, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    std::vector<GrantId> released;
    auto remaining = static_cast<std::int64_t>(worker.timedOutGrants.size());
    for (const auto &[id, until] : worker.timedOutGrants) {
        if (now >= until || remaining > busy) {
            released.push_back(id);
            --remaining;
        }
    }
    for (const GrantId &id : released) {
        m_state.releaseGrant(id);
    }
}

} // namespace KingCupLadder
