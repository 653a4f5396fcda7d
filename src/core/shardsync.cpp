// Sends batches to workers, and handles deadlines and workers that are gone.
#include "shardsync_p.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxStartsPerBatch = 200;
constexpr std::uint32_t maxBackoffDoublings = 3; // An unreachable worker is retried every 2 s at the default interval.
constexpr Duration fencedInterval{5000}; // Between two batches to a worker that accepts only a newer owner; it refuses them, so it is rarely tried.

} // namespace

ShardSync::ShardSync(ShardState &state, ShardJobs &jobs) : m_state(state), m_jobs(jobs) { }

void ShardSync::setWorkers(const std::vector<VmInfo> &vms, TimePoint now)
{
    std::unordered_set<WorkerId> listed;
    for (const VmInfo &vm : vms) {
        listed.insert(vm.id);
        ShardWorker *known = m_state.worker(vm.id);
        if (known == nullptr || known->session.phase() == WorkerPhase::Gone) {
            const Sequence last = known != nullptr ? known->session.lastSequence() : Sequence();
            const WorkerIndex index = m_state.addWorker(vm, now);
            m_state.workers[index]->session.continueAfter(last);
            m_state.markDue(index);
            continue;
        }
        const bool changed = known->vm.leaving != vm.leaving;
        known->vm = vm;
        if (changed) {
            m_state.refreshWorker(m_state.workerIndexes[vm.id]);
        }
    }
    std::vector<WorkerIndex> gone;
    for (const auto &[id, index] : m_state.workerIndexes) {
        const bool newlyGone = listed.count(id) == 0 && m_state.workers[index]->session.phase() != WorkerPhase::Gone;
        if (newlyGone) {
            gone.push_back(index);
        }
    }
    for (const WorkerIndex index : gone) {
        ShardWorker &worker = *m_state.workers[index];
        worker.session.setGone();
        worker.goneSince = now;
        m_state.refreshWorker(index);
        m_state.markDue(index);
    }
}

void ShardSync::tick(TimePoint now)
{
    while (!m_state.timers.empty() && m_state.timers.top().at <= now) {
        const ShardState::Timer timer = m_state.timers.top();
        m_state.timers.pop();
        // A timer that an earlier one replaced is stale.
        if (m_state.workers[timer.workerIndex] && m_state.workers[timer.workerIndex]->timerAt == timer.at) {
            m_state.workers[timer.workerIndex]->timerAt = TimePoint::max();
            processWorker(timer.workerIndex, now);
        }
    }
    const std::vector<WorkerIndex> due = std::exchange(m_state.dueWorkers, {});
    for (const WorkerIndex index : due) {
        if (m_state.workers[index]) {
            m_state.workers[index]->isMarkedDue = false;
            processWorker(index, now);
        }
    }
}

void ShardSync::processWorker(WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    if (worker.session.phase() == WorkerPhase::Gone) {
        processGoneWorker(index, now);
        return;
    }
    if (worker.session.onTimeout(now)) {
        onLost(index, now);
    }
    expireDeadlines(index, now);
    if (!worker.session.isInFlight() && (now >= nextSync(worker) || hasPendingMessages(worker))) {
        send(index, now);
    }
    scheduleNext(index, now);
}

void ShardSync::expireDeadlines(WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    if (worker.health.tick(now)) {
        m_state.refreshWorker(index);
        m_state.needsRound = true;
    }
    if (worker.preemptedFor && now >= worker.preemptedUntil) {
        m_state.releasePreemptedWorkers(JobId(*worker.preemptedFor));
    }
    if (now >= worker.checkpointDeadline) {
        worker.checkpointDeadline = TimePoint::max();
        std::vector<TaskId> late;
        for (const auto &[id, demand] : worker.ledger.tasks()) {
            late.push_back(id);
        }
        for (const TaskId &id : late) {
            ShardJob *job = m_state.jobOfLiveAttempt(id, index);
            if (job != nullptr && job->tasks.at(id.index).phase == TaskPhase::Checkpointing) {
                m_jobs.stopAttempt(*job, id.index, now);
            }
        }
    }
    if (worker.priorEpochSlots.value() > 0 && now >= worker.priorEpochSlotsUntil) {
        worker.priorEpochSlots = Slots(0);
        worker.ledger.setReserve({});
        m_state.refreshWorker(index);
        m_state.needsRound = true;
    }
    releaseTimedOutGrants(index, INT64_MAX, now); // Without a reply, all slots count as busy.
    const ShardSettings &settings = m_state.settings;
    // The time by which all leases on an unreachable worker have expired. Those that the last answered batch renewed end by lastReply() +
    // taskTerm. The first lost batch may have renewed them once more, but only before that time, since an expired lease can't be renewed. So
    // they end one taskTerm later at the latest. Batches after it renew no leases.
    const TimePoint leaseExpiry = worker.session.lastReply() + settings.taskTerm * 2 + settings.margin;
    if (worker.session.phase() == WorkerPhase::Unreachable && now >= leaseExpiry) {
        endStoppedAttempts(index, true, now);
    }
}

void ShardSync::processGoneWorker(WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    const TimePoint leaseExpiry = worker.goneSince + m_state.settings.taskTerm + m_state.settings.margin;
    const bool assumeStopped = now >= leaseExpiry || !m_state.settings.safetyChecks.proveStoppedBeforeRestart;
    endStoppedAttempts(index, assumeStopped, now);
    if (!assumeStopped) {
        m_state.scheduleTimer(index, leaseExpiry);
        return;
    }
    if (std::exchange(worker.countedAsUnread, false)) {
        m_state.setUnreadWorkers(m_state.unreadWorkers - 1);
    }
    std::vector<GrantId> grants;
    for (const auto &[id, grant] : m_state.grants) {
        if (grant.workerIndex == index) {
            grants.push_back(id);
        }
    }
    for (const GrantId &id : grants) {
        m_state.releaseGrant(id);
    }
    const auto listed = m_state.workerIndexes.find(worker.vm.id);
    if (listed != m_state.workerIndexes.end() && listed->second == index) {
        m_state.workerIndexes.erase(listed);
    }
    m_state.removeWorker(index);
    releaseHeldTasksIfAllRead(now);
}

/// Ends the attempts that certainly do not run: those that were never sent; on a removed VM, those without a lease and, with
/// @p leasesExpired, those with one; on a listed VM, with @p leasesExpired, those with a lease whose start was confirmed. While the VM is
/// listed, a start whose reply was lost may still arrive, and its lease begins only then, so its attempt is not ended.
void ShardSync::endStoppedAttempts(WorkerIndex index, bool leasesExpired, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    const bool gone = worker.session.phase() == WorkerPhase::Gone;
    std::vector<TaskId> tasks;
    for (const auto &[id, demand] : worker.ledger.tasks()) {
        tasks.push_back(id);
    }
    for (const TaskId &id : tasks) {
        ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job == nullptr) {
            if (gone && leasesExpired) {
                m_state.releaseOrphan(index, id);
            }
            continue;
        }
        const bool leased = job->spec.partition == PartitionPolicy::Move;
        const TaskPhase phase = job->tasks.at(id.index).phase;
        const bool isStartAnswered = phase != TaskPhase::Uncertain && phase != TaskPhase::Starting;
        const bool isStartConfirmed = isStartAnswered && !job->tasks.at(id.index).uncertainStart;
        if (phase == TaskPhase::Reserved || (gone && (!leased || leasesExpired)) || (!gone && leased && leasesExpired && isStartConfirmed)) {
            m_jobs.endAttempt(*job, id.index, phase == TaskPhase::Reserved ? AttemptOutcome::NotStarted : AttemptOutcome::Lost, {}, now);
        }
    }
}

TimePoint ShardSync::nextSync(const ShardWorker &worker)
{
    if (worker.session.lastSent() == TimePoint{}) {
        return TimePoint{};
    }
    if (worker.session.isFenced()) {
        return worker.session.lastSent() + fencedInterval;
    }
    const std::uint32_t doublings = std::min(worker.session.consecutiveLosses(), maxBackoffDoublings);
    return worker.session.lastSent() + m_state.settings.syncInterval * (1U << doublings);
}

bool ShardSync::hasPendingMessages(const ShardWorker &worker) const
{
    return worker.session.mayCommit() && (!worker.starts.empty() || !worker.controls.empty() || !worker.acks.empty());
}

void ShardSync::scheduleNext(WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    // Jitter of up to a quarter of the interval spreads the retries of workers that became unreachable at the same time.
    const auto span = static_cast<std::uint64_t>(m_state.settings.syncInterval.count() / 4 + 1);
    const Duration jitter{worker.session.consecutiveLosses() > 0 ? static_cast<std::int64_t>(m_state.random() % span) : 0};
    TimePoint next = worker.session.isInFlight() ? worker.session.timeoutAt() : std::max(nextSync(worker) + jitter, now);
    if (worker.health.state() == HealthState::Quarantined) {
        next = std::min(next, worker.health.quarantinedUntil());
    }
    if (worker.preemptedFor) {
        next = std::min(next, worker.preemptedUntil);
    }
    next = std::min(next, worker.checkpointDeadline);
    m_state.scheduleTimer(index, next);
}

void ShardSync::send(WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    // A worker without epochs can't reject a former owner, so nothing is started on it while this owner's lease is unconfirmed.
    if (!worker.session.supportsEpochs() && !m_state.leaseConfirmed) {
        requeueUnsentStarts(index, now);
    }
    SyncWorker output;
    output.op = m_state.nextOp();
    output.worker = worker.vm.id;
    output.address = worker.vm.address;
    const bool reachable = worker.session.phase() != WorkerPhase::Unreachable;
    output.request = worker.session.beginBatch(output.op, now);
    // Batches to an unreachable worker renew no leases, so that the time at which they expire is known.
    output.request.renewLease = m_state.leaseConfirmed && reachable ? m_state.settings.taskTerm : Duration(0);
    output.request.acknowledged = std::exchange(worker.acks, {});
    output.request.controls = std::exchange(worker.controls, {});
    if (worker.session.mayCommit()) {
        addStarts(index, output.request);
    }
    ++m_state.counters.syncs;
    m_state.outputs.emplace_back(std::move(output));
}

void ShardSync::addStarts(WorkerIndex index, SyncRequest &request)
{
    ShardWorker &worker = *m_state.workers[index];
    std::vector<TaskId> sent;
    std::size_t taken = 0;
    while (taken < worker.starts.size() && sent.size() < maxStartsPerBatch) {
        const TaskId &id = worker.starts[taken++];
        ShardJob *job = m_state.jobOfLiveAttempt(id, index);
        if (job == nullptr || !job->tasks.advance(id.index, TaskPhase::Starting)) {
            continue;
        }
        job->tasks.setStartSequence(id.index, request.sequence.value());
        request.starts.push_back(startOf(*job, id, worker));
        sent.push_back(id);
    }
    worker.starts.erase(worker.starts.begin(), worker.starts.begin() + static_cast<std::ptrdiff_t>(taken));
    worker.session.setStarts(std::move(sent));
}

TaskStart ShardSync::startOf(const ShardJob &job, const TaskId &id, const ShardWorker &worker) const
{
    TaskStart start;
    start.id = id;
    start.team = job.spec.team;
    start.route = job.spec.route;
    start.demand = job.spec.demand;
    start.runTime = job.spec.declaredRunTime;
    start.lease = job.spec.partition == PartitionPolicy::Move ? m_state.settings.taskTerm : Duration(0);
    start.voidAfter = worker.session.supportsEpochs() ? Duration(0) : m_state.settings.maxStartAge;
    start.payload = job.spec.payload;
    return start;
}

void ShardSync::withdrawOutputs(TimePoint now)
{
    std::vector<ShardOutput> kept;
    std::vector<WorkerIndex> withdrawn;
    for (ShardOutput &output : m_state.outputs) {
        const auto *sync = std::get_if<SyncWorker>(&output);
        const auto known = sync != nullptr ? m_state.workerIndexes.find(sync->worker) : m_state.workerIndexes.end();
        if (sync == nullptr) {
            kept.push_back(std::move(output));
        } else if (known != m_state.workerIndexes.end()) {
            ShardWorker &worker = *m_state.workers[known->second];
            worker.controls.insert(worker.controls.begin(), sync->request.controls.begin(), sync->request.controls.end());
            worker.session.withdraw(sync->op);
            withdrawn.push_back(known->second);
        }
    }
    m_state.outputs = std::move(kept);
    for (const WorkerIndex index : withdrawn) {
        onRefused(index, now);
    }
}

} // namespace KingCupLadder
