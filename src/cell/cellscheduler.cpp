// Jobs, answers of workers and housekeeping; placement is in cellplacement.cpp.
#include "cellscheduler_p.h"

#include <algorithm>
#include <climits>

namespace KingCupLadder {

namespace {

constexpr Duration holdPause{6}; // Between two renewals of a worker: ends that come together are read together.
constexpr Duration unacknowledgedPause{100}; // The longest wait for the store before a worker is asked again.
constexpr Duration silentHoldPause{250}; // Before a worker that did not answer is asked again.
constexpr Duration housekeepingInterval{1000};
constexpr Duration startRepeat{350}; // A start without an answer is repeated on a new connection after this time.
constexpr int mostStarts = 3; // Orders for one run; then it is stopped, which settles it.
constexpr Duration unhealthyPause{700}; // A worker that refuses as unhealthy gets no new work for this time.
constexpr Duration roomPause{400}; // After a refusal for want of room: the worker's own list shows what it runs.
constexpr Duration unansweredPause{300}; // After a start without an answer; doubled with each further one in a row.
constexpr int failuresToBlock = 2; // Failed runs of different jobs in a row; a sound worker rarely shows them.
constexpr Duration firstBlock{1500};
constexpr int longestBlockDoublings = 3;
constexpr double busyFactor = 1.15; // Gangs and labels leave part of the room unused.
constexpr Duration shortestRetryAfter{1000};
constexpr Duration longestRetryAfter{15000};
constexpr std::int64_t workUnit = 1000; // workOf() counts core milliseconds, the sum thousandths of these.
constexpr Duration loadInterval{50}; // The waiting work is summed up at most so often.
constexpr Duration runCheckInterval{20}; // Repeats of starts, stops and leases are looked at so often.
constexpr Duration rateInterval{250}; // Starts are counted over spans of this length.
constexpr double rateMemory = 0.7; // Of the earlier rate, when a new span is added.
constexpr double slowestRate = 100; // Starts a second that are assumed at least.
constexpr int backlogTasks = 150; // With fewer waiting tasks their number does not predict a wait.
constexpr double admissionMargin = 0.8; // Of the time that is left before a job helps nobody: predictions are rough.
constexpr Duration busyWait{400}; // Predicted wait from which on a workspace is held to its rate.

} // namespace

CellScheduler::CellScheduler(const CellSchedulerSettings &settings, DecisionLog log) : m_settings(settings), m_log(std::move(log)), m_workers(settings.workers)
{
}

void CellScheduler::log(const std::string &line) const
{
    if (m_log) {
        m_log(line);
    }
}

void CellScheduler::setConfig(std::shared_ptr<const CellConfig> config, TimePoint /*now*/)
{
    m_config = std::move(config);
}

void CellScheduler::beginTerm(Epoch epoch, TimePoint lapsedBy)
{
    m_epoch = epoch;
    m_loaded = false;
    m_fencedOff = false;
    m_lapsedBy = lapsedBy;
    m_jobs = JobTable();
    m_workers = WorkerTable(m_settings.workers);
    m_advice.clear();
    m_usage.clear();
    m_rates.clear();
    m_writing.clear();
    m_foundEarly.clear();
    m_strayEarly.clear();
    m_workersChanged = false;
    m_storingWorkers = false;
    m_waitingWorkAt = TimePoint();
}

void CellScheduler::addFormerWorkers(const std::vector<WorkerId> &ids)
{
    m_workers.addFormer(ids, m_lapsedBy);
}

RouteRules CellScheduler::rulesOf(const RouteName &name) const
{
    RouteRules rules;
    const CellRoute *route = m_config ? m_config->route(name) : nullptr;
    if (route != nullptr) {
        rules.attempts = route->attempts;
        rules.stretch = route->stretch;
        rules.targetLatency = route->targetLatency;
    }
    return rules;
}

void CellScheduler::load(const CellJob &job, const JobProgress *progress, bool cancelled, const CellTime &time)
{
    JobEntry &entry = m_jobs.add(job, rulesOf(job.route), time.now, time.unixMs);
    entry.stored = true;
    entry.unlocated = true;
    if (progress != nullptr) {
        m_jobs.restore(entry, *progress);
    }
    if (cancelled) {
        m_jobs.finish(entry, CellJobState::Cancelled, time.now);
    }
}

void CellScheduler::loadFinal(const JobId &id, const JobProgress &progress, TimePoint now)
{
    m_jobs.addFinal(id, progress.route, progress.workspace, progress.finalState, now);
}

void CellScheduler::finishLoading(TimePoint now)
{
    m_loaded = true;
    const CellTime time{now, 0};
    for (const FoundRun &found : std::exchange(m_foundEarly, {})) {
        onFoundRun(found, time);
    }
    for (const auto &[worker, end] : std::exchange(m_strayEarly, {})) {
        onStrayEnd(worker, end, time);
    }
}

bool CellScheduler::isLoaded() const
{
    return m_loaded;
}

AdmissionDecision CellScheduler::submit(const CellJob &job, const CellTime &time)
{
    AdmissionDecision decision;
    if (const JobEntry *known = m_jobs.find(job.id)) {
        decision.verdict = AdmissionVerdict::Known;
        decision.stored = known->stored;
        return decision;
    }
    const CellRoute *route = m_config ? m_config->route(job.route) : nullptr;
    const Workspace *workspace = m_config ? m_config->workspace(job.workspace) : nullptr;
    bool excess = false;
    if (workspace != nullptr && workspace->weight > 0) {
        RateBucket &rate = m_rates[job.workspace];
        const double passed = static_cast<double>((time.now - rate.filled).count()) / 1000;
        rate.tokens = rate.filled == TimePoint() ? workspace->weight : std::min(workspace->weight, rate.tokens + passed * workspace->weight);
        rate.filled = time.now;
        excess = rate.tokens < 1;
        if (!excess) {
            rate.tokens -= 1;
        }
    }
    const int priority = route != nullptr ? route->priority : 0;
    const Duration wait = predictedWait(excess ? INT_MAX : priority, time.now);
    const RouteRules rules = rulesOf(job.route);
    const auto chain = static_cast<double>(longestChain(job.steps).count());
    const auto objective = Duration(static_cast<std::int64_t>(chain * rules.stretch)) + rules.targetLatency;
    const Duration latest = objective * objectiveToLateLimit - Duration(static_cast<std::int64_t>(chain));
    if (excess && wait > busyWait) {
        decision.verdict = AdmissionVerdict::OverRate;
    } else if (wait > Duration(static_cast<std::int64_t>(static_cast<double>(latest.count()) * admissionMargin))) {
        decision.verdict = AdmissionVerdict::Busy;
    }
    if (decision.verdict != AdmissionVerdict::Admitted) {
        decision.retryAfter = std::clamp(wait, shortestRetryAfter, longestRetryAfter);
        ++m_counters.refused;
        log("job " + job.id.value() + " refused: " + (excess ? "workspace above its rate" : "predicted wait too long") + ", wait "
            + std::to_string(wait.count()) + " ms, limit " + std::to_string(latest.count()) + " ms");
        return decision;
    }
    ++m_counters.admitted;
    JobEntry &entry = m_jobs.add(job, rules, time.now, time.unixMs);
    entry.excess = excess;
    m_waitingWork[priority] += workOf(job.steps) * workUnit;
    log("job " + job.id.value() + " admitted: route " + job.route.value() + ", predicted wait " + std::to_string(wait.count()) + " ms");
    return decision;
}

Duration CellScheduler::predictedWait(int priority, TimePoint now)
{
    if (m_waitingWorkAt == TimePoint() || now - m_waitingWorkAt >= loadInterval) {
        m_waitingWorkAt = now;
        m_waitingWork.clear();
        m_waitingTasks.clear();
        m_capacity = 0;
        for (const auto &[id, worker] : m_workers.all()) {
            m_capacity += worker.registered && !worker.info.draining ? worker.info.capacity.cpu.value() : 0;
        }
        for (const auto &[id, entry] : m_jobs.open()) {
            const CellRoute *route = m_config ? m_config->route(entry->job.route) : nullptr;
            for (const auto &step : entry->steps) {
                const int level = route != nullptr ? route->priority : 0;
                m_waitingWork[level] += step->waiting * step->spec->demand.cpu.value() * step->spec->estimate.count();
                const bool isReady = step->readySince != TimePoint() && now < entry->lateBy;
                m_waitingTasks[level] += isReady ? step->waiting : 0;
            }
        }
    }
    std::int64_t work = 0;
    for (const auto &[level, waiting] : m_waitingWork) {
        work += level <= priority ? waiting : 0;
    }
    std::int64_t tasks = 0;
    for (const auto &[level, waiting] : m_waitingTasks) {
        tasks += level <= priority ? waiting : 0;
    }
    const double byRoom = m_capacity > 0 ? static_cast<double>(work) / static_cast<double>(m_capacity) * busyFactor : 0;
    // The leader itself or the policy service can be what holds starts up.
    const double byRate = tasks > backlogTasks ? static_cast<double>(tasks) / std::max(m_startRate, slowestRate) * 1000 : 0;
    return Duration(static_cast<std::int64_t>(std::max(byRoom, byRate)));
}

void CellScheduler::measureRate(TimePoint now)
{
    if (now < m_rateFrom + rateInterval) {
        return;
    }
    const double span = static_cast<double>((now - m_rateFrom).count()) / 1000;
    const double rate = static_cast<double>(m_counters.starts - m_rateStarts) / span;
    m_startRate = m_rateFrom == TimePoint() ? 0 : std::max(m_startRate * rateMemory + rate * (1 - rateMemory), rate);
    m_rateFrom = now;
    m_rateStarts = m_counters.starts;
}

void CellScheduler::onJobStored(const CellJob &job, const CellTime &time)
{
    JobEntry &entry = m_jobs.add(job, rulesOf(job.route), time.now, time.unixMs);
    entry.stored = true;
}

bool CellScheduler::onKnownJobStored(const JobId &id)
{
    JobEntry *entry = m_jobs.find(id);
    if (entry == nullptr) {
        return false;
    }
    entry->stored = true;
    return true;
}

void CellScheduler::onJobDropped(const JobId &id)
{
    const JobEntry *entry = m_jobs.find(id);
    if (entry != nullptr && !entry->stored) {
        m_jobs.drop(id);
    }
}

void CellScheduler::onCancelStored(const JobId &id, TimePoint now)
{
    JobEntry *entry = m_jobs.find(id);
    if (entry == nullptr || entry->outcome != CellJobState::Unknown) {
        return;
    }
    log("job " + id.value() + " cancelled: " + std::to_string(entry->liveRuns) + " runs to stop");
    m_jobs.finish(*entry, CellJobState::Cancelled, now);
    stopRuns(id, now);
}

CellJobState CellScheduler::state(const JobId &id) const
{
    const JobEntry *entry = m_jobs.find(id);
    return entry != nullptr && entry->stored ? entry->state : CellJobState::Unknown;
}

WorkspaceId CellScheduler::workspaceOf(const JobId &id) const
{
    const JobEntry *entry = m_jobs.find(id);
    return entry != nullptr ? entry->job.workspace : WorkspaceId();
}

void CellScheduler::onRegistry(const std::vector<WorkerInfo> &workers, const CellTime &time)
{
    onRunEvents(m_workers.onRegistry(workers, time.now), time);
    for (const auto &[id, worker] : m_workers.all()) {
        m_workersChanged = m_workersChanged || (worker.registered && !worker.durable);
    }
}

void CellScheduler::onWorkersStored(const std::vector<WorkerId> &ids)
{
    m_storingWorkers = false;
    m_workers.markDurable(ids);
}

void CellScheduler::onStartAnswer(const StartOrder &order, const OrderAnswer &answer, const CellTime &time)
{
    Worker *worker = m_workers.find(order.worker);
    if (worker == nullptr) {
        return;
    }
    if (answer.outcome != OrderOutcome::Done) {
        log("task " + order.task.text() + " run " + std::to_string(order.run.value()) + " not started on " + order.worker.value() + ": "
            + toString(answer.outcome));
    }
    if (answer.outcome == OrderOutcome::StaleFence) {
        m_fencedOff = true;
    }
    if (answer.outcome == OrderOutcome::Unhealthy) {
        worker->blockedUntil = std::max(worker->blockedUntil, time.now + unhealthyPause);
    }
    if (answer.outcome == OrderOutcome::NoAnswer) {
        const int doublings = std::min(worker->unansweredStarts++, longestBlockDoublings);
        worker->blockedUntil = std::max(worker->blockedUntil, time.now + unansweredPause * (1 << doublings));
    } else {
        worker->unansweredStarts = 0;
    }
    if (answer.outcome == OrderOutcome::NoRoom) {
        worker->blockedUntil = std::max(worker->blockedUntil, time.now + roomPause);
    }
    StepRun *step = m_jobs.findStep(order.task.step);
    Ticket *ticket = step != nullptr ? step->advice.find(worker->index) : nullptr;
    if (answer.outcome == OrderOutcome::BadTicket && ticket != nullptr) {
        ticket->validUntil = time.now;
    }
    onRunEvents(m_workers.onStartAnswer(order, answer, time.now), time);
}

void CellScheduler::onStopAnswer(const StopOrder &order, const OrderAnswer &answer, const CellTime &time)
{
    m_fencedOff = m_fencedOff || answer.outcome == OrderOutcome::StaleFence;
    onRunEvents(m_workers.onStopAnswer(order, answer, time.now), time);
}

void CellScheduler::onHoldAnswer(const HoldOrder &order, const HoldView *view, TimePoint sent, const CellTime &time)
{
    Worker *worker = m_workers.find(order.worker);
    if (worker == nullptr) {
        return;
    }
    const bool wasInventoried = worker->inventoried && worker->info.life == order.life;
    std::vector<FoundRun> found;
    std::vector<EndedEntry> strays;
    onRunEvents(m_workers.onHoldAnswer(order, view, sent, time.now, found, strays), time);
    for (const EndedEntry &end : strays) {
        onStrayEnd(order.worker, end, time);
    }
    for (const FoundRun &run : found) {
        onFoundRun(run, time);
    }
    if (view == nullptr) {
        worker->nextHold = time.now + silentHoldPause;
    } else if (!wasInventoried) {
        worker->nextHold = time.now;
    } else {
        // With ends that are not acknowledged a worker answers at once, so the next renewal waits until they are stored.
        worker->nextHold = time.now + (worker->ends.empty() ? holdPause : unacknowledgedPause);
    }
}

void CellScheduler::onRunEvents(const std::vector<RunEvent> &events, const CellTime &time)
{
    for (const RunEvent &event : events) {
        m_usage[event.run.workspace] -= event.run.demand;
        JobEntry *entry = m_jobs.find(event.run.task.step.job);
        StepRun *step = m_jobs.findStep(event.run.task.step);
        if (step != nullptr && event.run.task.index >= static_cast<int>(step->tasks.size())) {
            step = nullptr; // A run that was found on a worker and that the job does not have.
        }
        Worker *worker = m_workers.find(event.worker);
        if (event.kind == RunEvent::Kind::Ended) {
            if (entry != nullptr && step != nullptr) {
                onRunEnded(event, *entry, step, time);
            }
            if (worker != nullptr) {
                storeEndRevision(*worker, event.entry.number, entry);
            }
        } else if (event.kind == RunEvent::Kind::Lost) {
            ++m_counters.lost;
            log("task " + event.run.task.text() + " run " + std::to_string(event.run.number.value()) + " lost on " + event.worker.value());
            if (step != nullptr) {
                m_jobs.onReturned(*step, event.run.task.index, event.run.checkpoint, time.now);
                breakGang(*step, time.now);
            }
        } else {
            ++m_counters.neverRan;
            if (step != nullptr && event.refusal == OrderOutcome::OldRun) {
                step->tasks.at(static_cast<std::size_t>(event.run.task.index)).lastRun = RunNumber(event.run.number.value() + runsSkippedWhenOld);
            }
        }
        if (entry != nullptr) {
            m_jobs.onRunGone(*entry, step, event.run.task.index);
        }
    }
}

void CellScheduler::onRunEnded(const RunEvent &event, JobEntry &entry, StepRun *step, const CellTime &time)
{
    const EndedEntry &end = event.entry;
    Worker *worker = m_workers.find(event.worker);
    switch (end.end) {
    case RunEnd::Succeeded:
        ++m_counters.succeeded;
        m_jobs.onSucceeded(*step, end.task.index, time.now, time.unixMs);
        if (worker != nullptr) {
            noteHealth(*worker, entry.job.id, true, time.now);
        }
        if (step->spec->speculative && !step->spec->gang) {
            stopTask(*step, end.task.index, time.now);
        }
        break;
    case RunEnd::Failed: {
        ++m_counters.failed;
        if (worker != nullptr) {
            noteHealth(*worker, entry.job.id, false, time.now);
        }
        m_jobs.onReturned(*step, end.task.index, std::string(), time.now);
        const bool failedJob = m_jobs.onFailed(*step, end, event.worker, rulesOf(entry.job.route).attempts, time.now);
        log("task " + end.task.text() + " run " + std::to_string(end.run.value()) + " failed on " + event.worker.value()
            + (failedJob ? ": attempts used up, the job has failed" : ""));
        if (failedJob) {
            stopRuns(entry.job.id, time.now);
        }
        breakGang(*step, time.now);
        break;
    }
    default:
        ++m_counters.otherEnds;
        log("task " + end.task.text() + " run " + std::to_string(end.run.value()) + " ended on " + event.worker.value() + ": " + toString(end.end));
        m_jobs.onReturned(*step, end.task.index, end.checkpoint, time.now);
        breakGang(*step, time.now);
        break;
    }
}

void CellScheduler::onStrayEnd(const WorkerId &worker, const EndedEntry &end, const CellTime &time)
{
    if (!m_loaded) {
        m_strayEarly.emplace_back(worker, end);
        return;
    }
    JobEntry *entry = m_jobs.find(end.task.step.job);
    StepRun *step = m_jobs.findStep(end.task.step);
    if (entry != nullptr && step != nullptr && end.task.index < static_cast<int>(step->tasks.size())) {
        RunEvent event;
        event.kind = RunEvent::Kind::Ended;
        event.worker = worker;
        event.entry = end;
        CellTask &task = step->tasks[static_cast<std::size_t>(end.task.index)];
        task.lastRun = std::max(task.lastRun, end.run, [](RunNumber a, RunNumber b) { return a < b; });
        const bool wasActive = task.liveRuns > 0;
        if (end.end == RunEnd::Succeeded || end.end == RunEnd::Failed || !wasActive) {
            onRunEnded(event, *entry, step, time);
        }
        if (end.end == RunEnd::Succeeded && wasActive) {
            stopTask(*step, end.task.index, time.now);
        }
    }
    if (Worker *holder = m_workers.find(worker)) {
        storeEndRevision(*holder, end.number, entry);
    }
}

void CellScheduler::onFoundRun(const FoundRun &found, const CellTime &time)
{
    if (!m_loaded) {
        m_foundEarly.push_back(found);
        return;
    }
    Worker *worker = m_workers.find(found.worker);
    if (worker == nullptr || worker->runs.count({found.entry.task, found.entry.run}) > 0) {
        return;
    }
    JobEntry *entry = m_jobs.find(found.entry.task.step.job);
    StepRun *step = m_jobs.findStep(found.entry.task.step);
    const bool known = entry != nullptr && step != nullptr && found.entry.task.index < static_cast<int>(step->tasks.size());
    step = known ? step : nullptr;
    const Resources demand = known ? step->spec->demand : Resources{};
    const WorkspaceId workspace = entry != nullptr ? entry->job.workspace : WorkspaceId();
    Run &run = m_workers.adopt(*worker, found.entry, demand, workspace, time.now);
    m_usage[workspace] += demand;
    if (!known) {
        if (entry != nullptr) {
            ++entry->liveRuns;
        }
        m_workers.requestStop(*worker, run, time.now);
        return;
    }
    run.expectedEnd = time.now + step->spec->estimate / 2;
    const CellTask &task = step->tasks[static_cast<std::size_t>(found.entry.task.index)];
    const bool wanted = task.phase == CellTaskPhase::Waiting && task.liveRuns == 0 && entry->outcome == CellJobState::Unknown;
    m_jobs.onFound(*step, found.entry.task.index, found.entry.run);
    if (step->spec->gang && wanted) {
        if (step->gangRun < found.entry.run) {
            step->gangRun = found.entry.run;
            step->gangStarted = time.now;
        }
    }
    log("task " + found.entry.task.text() + " run " + std::to_string(found.entry.run.value()) + " found on " + found.worker.value()
        + (wanted ? ": adopted" : ": obsolete, stopped"));
    if (!wanted) {
        m_workers.requestStop(*worker, run, time.now);
    }
}

void CellScheduler::noteHealth(Worker &worker, const JobId &job, bool succeeded, TimePoint now)
{
    if (succeeded) {
        worker.failureStreak = 0;
        worker.lastFailedJob = JobId();
        return;
    }
    if (worker.lastFailedJob == job) {
        return; // The job may be at fault.
    }
    worker.lastFailedJob = job;
    ++worker.failureStreak;
    if (worker.failureStreak >= failuresToBlock) {
        const int doublings = std::min(worker.failureStreak - failuresToBlock, longestBlockDoublings);
        worker.blockedUntil = std::max(worker.blockedUntil, now + firstBlock * (1 << doublings));
        log("worker " + worker.info.id.value() + " gets no new work for a while: " + std::to_string(worker.failureStreak)
            + " failures of different jobs in a row");
    }
}

void CellScheduler::breakGang(StepRun &step, TimePoint now)
{
    if (!step.spec->gang || step.active == 0 || step.gangBroken) {
        return;
    }
    step.gangBroken = true;
    for (int i = 0; i < static_cast<int>(step.tasks.size()); ++i) {
        stopTask(step, i, now);
    }
}

void CellScheduler::stopTask(const StepRun &step, int index, TimePoint now)
{
    const TaskRef task{step.ref, index};
    for (auto &[id, worker] : m_workers.all()) {
        for (auto run = worker.runs.lower_bound({task, RunNumber()}); run != worker.runs.end() && run->first.first == task; ++run) {
            m_workers.requestStop(worker, run->second, now);
        }
    }
}

void CellScheduler::stopRuns(const JobId &job, TimePoint now)
{
    for (auto &[id, worker] : m_workers.all()) {
        for (auto &[key, run] : worker.runs) {
            if (run.task.step.job == job) {
                m_workers.requestStop(worker, run, now);
            }
        }
    }
}

void CellScheduler::storeEndRevision(Worker &worker, EndNumber number, const JobEntry *entry)
{
    for (auto end = worker.ends.rbegin(); end != worker.ends.rend(); ++end) {
        if (end->number == number) {
            end->revision = entry != nullptr ? entry->revision : 0;
            return;
        }
    }
}

void CellScheduler::acknowledgeEnds()
{
    if (!m_loaded) {
        return;
    }
    for (auto &[id, worker] : m_workers.all()) {
        m_workers.advanceAcknowledged(worker, [this](const UnacknowledgedEnd &end) {
            const JobEntry *entry = m_jobs.find(end.job);
            return entry == nullptr || entry->storedRevision >= end.revision;
        });
    }
}

void CellScheduler::setAdviceLanes(const std::vector<DaemonId> &lanes)
{
    m_advice.setLanes(lanes);
}

CellOrders CellScheduler::tick(const CellTime &time)
{
    CellOrders orders;
    const bool checkRuns = m_nextRunCheck <= time.now;
    if (checkRuns) {
        m_nextRunCheck = time.now + runCheckInterval;
        onRunEvents(m_workers.expireLeases(time.now), time);
        m_jobs.releaseDue(time.now, time.unixMs);
    }
    if (checkRuns || m_endsStored) {
        m_endsStored = false;
        acknowledgeEnds();
    }
    driveWorkers(orders, time, checkRuns);
    measureRate(time.now);
    if (m_loaded && m_config) {
        settleUnlocated(time.now);
        place(orders, time);
    }
    if (checkRuns) {
        orders.stops = m_workers.dueStops(time.now);
    }
    m_counters.stops += orders.stops.size();
    for (const AdviceCall &overdue : m_advice.expire(time.now)) {
        if (StepRun *step = m_jobs.findStep(overdue.step)) {
            step->advice.inFlight = false;
        }
    }
    orders.advice = m_advice.dispatch(time.now);
    m_counters.adviceCalls += orders.advice.size();
    if (m_workersChanged && !m_storingWorkers) {
        for (const auto &[id, worker] : m_workers.all()) {
            orders.workersToStore.push_back(id);
        }
        m_workersChanged = false;
        m_storingWorkers = true;
    }
    if (m_nextHousekeeping <= time.now) {
        m_nextHousekeeping = time.now + housekeepingInterval;
        (void)m_jobs.forgetEnded(time.now - m_settings.statusTerm);
        if (m_loaded && m_config) {
            logLongWaits(time.now);
        }
    }
    return orders;
}

void CellScheduler::driveWorkers(CellOrders &orders, const CellTime &time, bool checkRuns)
{
    for (auto &[id, worker] : m_workers.all()) {
        const bool needed = worker.registered || !worker.runs.empty();
        if (!needed || worker.info.address.empty()) {
            continue;
        }
        if (!worker.holdOpen && worker.nextHold <= time.now) {
            const bool busy = worker.inventoried && worker.firstSilent == TimePoint();
            orders.holds.push_back(m_workers.hold(worker, busy ? m_settings.holdWait : Duration(0), time.now));
            ++m_counters.holds;
        }
        if (checkRuns) {
            repeatStarts(worker, orders, time.now);
            watchRuns(worker, time.now);
        }
    }
}

void CellScheduler::repeatStarts(Worker &worker, CellOrders &orders, TimePoint now)
{
    for (auto &[key, run] : worker.runs) {
        if (run.phase != RunPhase::Starting || run.startsOpen > 0 || now < run.sentAt + startRepeat * run.startsSent) {
            continue;
        }
        auto repeated = run.startsSent < mostStarts ? m_workers.repeatStart(worker, run, now) : std::nullopt;
        if (repeated) {
            orders.starts.push_back(std::move(*repeated));
        } else {
            m_workers.requestStop(worker, run, now);
        }
    }
}

void CellScheduler::watchRuns(Worker &worker, TimePoint now)
{
    if (!worker.info.draining) {
        return;
    }
    // A task that can go on elsewhere from a checkpoint leaves a draining worker at once.
    for (auto &[key, run] : worker.runs) {
        const StepRun *step = m_jobs.findStep(run.task.step);
        const bool movable = step != nullptr && (step->spec->checkpointing || step->spec->longRunning) && !step->spec->gang;
        if (run.phase == RunPhase::Running && movable && run.expectedEnd > now + worker.info.remaining) {
            m_workers.requestStop(worker, run, now);
        }
    }
}

void CellScheduler::settleUnlocated(TimePoint now)
{
    if (m_lapsedBy == TimePoint() || m_workers.mayHideRuns(now)) {
        return;
    }
    m_lapsedBy = TimePoint();
    for (const auto &[id, entry] : m_jobs.all()) {
        entry->unlocated = false;
    }
}

std::vector<ProgressWrite> CellScheduler::takeProgress(std::size_t most, const std::function<bool(const JobId &)> &isWanted)
{
    std::vector<ProgressWrite> writes;
    for (const bool finals : {true, false}) {
        for (auto id = m_jobs.dirty().begin(); id != m_jobs.dirty().end() && writes.size() < most;) {
            const JobEntry *entry = m_jobs.find(*id);
            if (entry == nullptr) {
                id = m_jobs.dirty().erase(id);
                continue;
            }
            if (isFinal(entry->outcome) != finals || m_writing.count(*id) > 0 || (isWanted && !isWanted(*id))) {
                ++id;
                continue;
            }
            writes.push_back(ProgressWrite{*id, entry->revision, m_jobs.progressOf(*entry)});
            m_writing.insert(*id);
            id = m_jobs.dirty().erase(id);
        }
    }
    return writes;
}

void CellScheduler::onProgressStored(const JobId &id, std::uint64_t revision)
{
    m_writing.erase(id);
    m_jobs.onStored(id, revision);
    m_endsStored = true;
    const JobEntry *entry = m_jobs.find(id);
    if (entry != nullptr && isFinal(entry->state)) {
        log("job " + id.value() + " " + toString(entry->state) + ": stored");
    }
}

void CellScheduler::onProgressFailed(const JobId &id)
{
    m_writing.erase(id);
    if (m_jobs.find(id) != nullptr) {
        m_jobs.dirty().insert(id);
    }
}

void CellScheduler::onFoundFinal(const JobId &id, CellJobState state, TimePoint now)
{
    m_writing.erase(id);
    JobEntry *entry = m_jobs.find(id);
    if (entry == nullptr) {
        return;
    }
    m_jobs.finish(*entry, state, now);
    m_jobs.dirty().erase(id);
    m_jobs.onStored(id, entry->revision);
    stopRuns(id, now);
}

std::vector<JobId> CellScheduler::finalProgress() const
{
    std::vector<JobId> finals;
    for (const JobId &id : m_jobs.dirty()) {
        const JobEntry *entry = m_jobs.find(id);
        if (entry != nullptr && isFinal(entry->outcome) && m_writing.count(id) == 0) {
            finals.push_back(id);
        }
    }
    return finals;
}

std::map<RouteName, int> CellScheduler::queuedByRoute() const
{
    return m_jobs.queuedByRoute();
}

const CellCounters &CellScheduler::counters() const
{
    return m_counters;
}

const WorkerTable &CellScheduler::workers() const
{
    return m_workers;
}

std::size_t CellScheduler::unfinishedJobs() const
{
    return m_jobs.unfinished();
}

bool CellScheduler::isFencedOff() const
{
    return m_fencedOff;
}

} // namespace KingCupLadder
