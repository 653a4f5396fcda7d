// Applies the workers' answers to jobs: ended, lost and discovered runs, and worker health. Also issues hold orders, retries starts
// and stops runs on draining workers.
#include "cellscheduler_p.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration estimateSlack{500}; // Estimates are rough: a run expected to end this long after its worker's departure may still end before it.
constexpr Duration departureStopMargin{250}; // Time before departure at which remaining runs are stopped; a stop takes up to 200 ms.

constexpr Duration checkpointStopMargin{1000}; // A stop that saves a checkpoint takes up to 900 ms.
constexpr int minMeasuredPercent = 10; // Progress from which on the expected end of a gang follows from that of a member.

constexpr std::int64_t milliCoresPerCore = 1000;
constexpr Duration minHoldInterval{6}; // Pause between two holds of a worker, so that ends at nearly the same time are read together.
constexpr Duration pendingEndsHoldInterval{100}; // Pause while ends are unacknowledged, unless the store confirms them earlier.
constexpr Duration unresponsiveHoldInterval{250}; // Pause between holds of a worker after one of them got no answer.
constexpr Duration isolatedRunPollTimeout{100}; // Long-poll timeout of a hold on a worker with an isolated run.
constexpr Duration startRetryInterval{350}; // A start without an answer is retried on a new connection after this time.
constexpr int maxStartsPerRun = 3; // After this many starts without an answer the run is stopped, which determines whether it exists.
constexpr Duration unhealthyBackoff{700}; // A worker that reports itself unhealthy gets no new work for this time.
constexpr Duration noRoomBackoff{400}; // Backoff of a worker after a rejection for lack of capacity; meanwhile the worker's list shows what it runs.
constexpr Duration unansweredStartBackoff{300}; // Backoff of a worker after a start without an answer; doubled for each further one in a row.
constexpr int failuresBeforeBackoff = 2; // Consecutive failed runs of different jobs after which a worker gets no new work; rare on a healthy worker.
constexpr Duration failureBackoff{1500};
constexpr int maxBackoffDoublings = 3;

} // namespace

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
    if (answer.outcome == OrderOutcome::Unhealthy) {
        worker->blockedUntil = std::max(worker->blockedUntil, time.now + unhealthyBackoff);
    }
    if (answer.outcome == OrderOutcome::NoAnswer) {
        const int doublings = std::min(worker->unansweredStarts++, maxBackoffDoublings);
        worker->blockedUntil = std::max(worker->blockedUntil, time.now + unansweredStartBackoff * (1 << doublings));
    } else {
        worker->unansweredStarts = 0;
    }
    if (answer.outcome == OrderOutcome::NoRoom) {
        worker->blockedUntil = std::max(worker->blockedUntil, time.now + noRoomBackoff);
    }
    StepInstance *step = m_jobs.findStep(order.task.step);
    if (step != nullptr && answer.outcome == OrderOutcome::Done) {
        step->job->hasRun = true;
    }
    Ticket *ticket = step != nullptr ? step->advice.find(worker->index) : nullptr;
    if (answer.outcome == OrderOutcome::InvalidTicket && ticket != nullptr) {
        ticket->validUntil = time.now;
    }
    onRunEvents(m_workers.onStartAnswer(order, answer, time.now), time);
}

void CellScheduler::onStopAnswer(const StopOrder &order, const OrderAnswer &answer, const CellTime &time)
{
    onRunEvents(m_workers.onStopAnswer(order, answer, time.now), time);
}

void CellScheduler::onHoldAnswer(const HoldOrder &order, const HoldReply *reply, TimePoint sent, const CellTime &time)
{
    Worker *worker = m_workers.find(order.worker);
    if (worker == nullptr) {
        return;
    }
    const bool hadAnswered = worker->hasAnswered() && worker->info.incarnation == order.incarnation;
    std::vector<DiscoveredRun> discovered;
    std::vector<EndedEntry> unmatchedEnds;
    const std::vector<RunEvent> events = m_workers.onHoldAnswer(order, reply, sent, time.now, discovered, unmatchedEnds);
    learnDurations(); // Before the ends are applied, since a job that has ended may be removed.
    onRunEvents(events, time);
    for (const EndedEntry &end : unmatchedEnds) {
        onUnmatchedEnd(order.worker, end, time);
    }
    for (const DiscoveredRun &run : discovered) {
        onDiscoveredRun(run, time);
    }
    if (reply == nullptr) {
        worker->nextHold = time.now + unresponsiveHoldInterval;
    } else if (!hadAnswered) {
        worker->nextHold = time.now; // The first hold of an incarnation renews no leases, since the worker's clock is unknown, so the next one is due at once.
    } else {
        // A worker with unacknowledged ends replies immediately, so the next hold waits until they are stored.
        worker->nextHold = time.now + (worker->ends.empty() ? minHoldInterval : pendingEndsHoldInterval);
    }
}

void CellScheduler::onWorkersCrashed(const CellTime &time)
{
    for (const RunOnCrashedWorker &crashed : m_workers.takeRunsOnCrashedWorkers()) {
        StepInstance *step = m_jobs.findStep(crashed.task.step);
        if (step == nullptr || crashed.task.index >= static_cast<int>(step->tasks.size())) {
            continue;
        }
        CrashHistory &history = step->crashesOf(crashed.task.index);
        if (crashed.isRetracted) {
            m_jobs.onWorkerAnsweredAgain(*step, crashed.task.index, crashed.number);
            continue;
        }
        WorkerCrash crash = crashed.crash;
        crash.unixMs = time.unixMs;
        if (crashed.mayBeCause) {
            history.markSuspect();
            // A worker that crashes again may be the cause itself, so the next run should start elsewhere.
            const bool isNewWorker = step->tasks[static_cast<std::size_t>(crashed.task.index)].failedOn.insert(crashed.worker).second;
            crash.wasAlone = crash.wasAlone && isNewWorker;
        }
        const bool isGivenUp = m_jobs.onWorkerCrashed(*step, crashed.task.index, crashed.number, crash, time.now);
        m_counters.crashSuspicions += crashed.crash.isProven && crashed.mayBeCause ? 1 : 0;
        log("task " + crashed.task.text() + " run " + std::to_string(crashed.number.value()) + " was on " + crashed.worker.value()
            + (crashed.crash.isProven ? ", which crashed" : ", which is silent") + " with " + std::to_string(crashed.runsOnWorker) + " runs, "
            + toString(crashed.crash.timing) + (crash.wasAlone ? ", alone" : "") + "; crashes under the task: " + std::to_string(history.crashes().size())
            + "; "
            + (isGivenUp                                       ? "job given up"
                   : history.isolation() == RunIsolation::None ? "not suspected"
                                                               : "suspect, next run isolated"));
        if (isGivenUp) {
            ++m_counters.givenUp;
            stopRuns(crashed.task.step.job, time.now);
            stopGang(*step, time.now);
        }
    }
}

void CellScheduler::countWork(const RunEvent &event, TimePoint now)
{
    if (event.kind == RunEvent::Kind::NeverRan || event.run.sentAt == TimePoint()) {
        return;
    }
    const bool hasSucceeded = event.kind == RunEvent::Kind::Ended && event.entry.end == RunEnd::Succeeded;
    const auto coreMs = static_cast<std::uint64_t>(event.run.demand.cpu.value() * (now - event.run.sentAt).count() / milliCoresPerCore);
    m_counters.work.coreMs[{event.run.priority, event.run.timeliness, hasSucceeded}] += coreMs;
}

void CellScheduler::onRunEvents(const std::vector<RunEvent> &events, const CellTime &time)
{
    onWorkersCrashed(time);
    for (const RunEvent &event : events) {
        m_usage[event.run.workspace] -= event.run.demand;
        countWork(event, time.now);
        JobEntry *entry = m_jobs.find(event.run.task.step.job);
        StepInstance *step = m_jobs.findStep(event.run.task.step);
        if (step != nullptr && event.run.task.index >= static_cast<int>(step->tasks.size())) {
            step = nullptr; // The step has no task with the index of this run, which was discovered on a worker.
        }
        Worker *worker = m_workers.find(event.worker);
        if (entry != nullptr && (event.kind == RunEvent::Kind::Ended || event.run.confirmedClock != 0)) {
            entry->hasRun = true;
        }
        if (event.kind == RunEvent::Kind::Ended) {
            if (entry != nullptr && step != nullptr) {
                onRunEnded(event, *entry, step, time);
            }
            if (worker != nullptr) {
                setRequiredRevision(*worker, event.entry.number, entry);
            }
        } else if (event.kind == RunEvent::Kind::Lost) {
            ++m_counters.lost;
            log("task " + event.run.task.text() + " run " + std::to_string(event.run.number.value()) + " lost on " + event.worker.value() + ": "
                + toString(event.proof));
            if (step != nullptr) {
                m_jobs.onInterrupted(*step, event.run.task.index, event.run.checkpoint, time.now);
                stopGang(*step, time.now);
            }
        } else {
            ++m_counters.neverRan;
            if (event.proof == RunProof::Kind::ExpiredStart) {
                log("task " + event.run.task.text() + " run " + std::to_string(event.run.number.value()) + " did not start on " + event.worker.value() + ": "
                    + toString(event.proof));
            }
            if (step != nullptr && event.rejection == OrderOutcome::StaleRunNumber) {
                step->tasks.at(static_cast<std::size_t>(event.run.task.index)).lastRun = RunNumber(event.run.number.value() + staleRunNumberSkip);
            }
        }
        if (step != nullptr && event.kind != RunEvent::Kind::NeverRan) {
            CellTask &task = step->tasks.at(static_cast<std::size_t>(event.run.task.index));
            task.lastRunEnded = time.now;
            if (task.preemptedRun != event.run.number) {
                task.preemptedRun = RunNumber();
            }
        }
        if (entry != nullptr) {
            m_jobs.onRunGone(*entry, step, event.run.task.index);
        }
    }
}

void CellScheduler::onRunEnded(const RunEvent &event, JobEntry &entry, StepInstance *step, const CellTime &time)
{
    const EndedEntry &end = event.entry;
    Worker *worker = m_workers.find(event.worker);
    switch (end.end) {
    case RunEnd::Succeeded:
        ++m_counters.succeeded;
        if (step->spec->longRunning) {
            // Such a task runs until its job is cancelled, however its runs end.
            log("long-running task " + end.task.text() + " run " + std::to_string(end.run.value()) + " ended on " + event.worker.value() + ": restarted");
            m_jobs.onLongRunningTaskEnded(*step, end.task.index, time.now);
            if (worker != nullptr) {
                recordHealth(*worker, entry.job.id, true, time.now);
            }
            stopGang(*step, time.now);
            break;
        }
        m_jobs.onSucceeded(*step, end.task.index, time.now, time.unixMs);
        if (worker != nullptr) {
            recordHealth(*worker, entry.job.id, true, time.now);
        }
        if (step->spec->speculative && !step->spec->gang) {
            stopTask(*step, end.task.index, time.now);
        }
        break;
    case RunEnd::Failed: {
        ++m_counters.failed;
        if (worker != nullptr) {
            recordHealth(*worker, entry.job.id, false, time.now);
        }
        m_jobs.onInterrupted(*step, end.task.index, std::string(), time.now); // Keeps the checkpoint of an earlier run, if any.
        const bool jobFailed = m_jobs.onFailed(*step, end, event.worker, rulesOf(entry.job), time.now);
        log("task " + end.task.text() + " run " + std::to_string(end.run.value()) + " failed on " + event.worker.value()
            + (jobFailed ? ": attempts used up, the job has failed" : ""));
        if (jobFailed) {
            stopRuns(entry.job.id, time.now);
        }
        stopGang(*step, time.now);
        break;
    }
    default:
        ++m_counters.otherEnds;
        log("task " + end.task.text() + " run " + std::to_string(end.run.value()) + " ended on " + event.worker.value() + ": " + toString(end.end));
        m_jobs.onInterrupted(*step, end.task.index, end.checkpoint, time.now);
        stopGang(*step, time.now);
        break;
    }
}

void CellScheduler::onUnmatchedEnd(const WorkerId &worker, const EndedEntry &end, const CellTime &time)
{
    if (!m_loaded) {
        m_unmatchedEndsBeforeLoad.emplace_back(worker, end);
        return;
    }
    JobEntry *entry = m_jobs.find(end.task.step.job);
    StepInstance *step = m_jobs.findReportedStep(end.task.step);
    if (entry != nullptr && step != nullptr && end.task.index < static_cast<int>(step->tasks.size())) {
        entry->hasRun = true;
        RunEvent event;
        event.kind = RunEvent::Kind::Ended;
        event.worker = worker;
        event.entry = end;
        CellTask &task = step->tasks[static_cast<std::size_t>(end.task.index)];
        task.lastRun = std::max(task.lastRun, end.run, [](RunNumber a, RunNumber b) { return a < b; });
        // While another run of the task may exist, only a success or a failure counts. Any other end would replace the task's checkpoint
        // by that of this run, and would stop the other run if the step is a gang.
        const bool hasOtherRun = task.liveRuns > 0;
        if (end.end == RunEnd::Succeeded || end.end == RunEnd::Failed || !hasOtherRun) {
            onRunEnded(event, *entry, step, time);
        }
        if (end.end == RunEnd::Succeeded && hasOtherRun && !step->spec->longRunning) {
            stopTask(*step, end.task.index, time.now);
        }
    }
    if (Worker *reporter = m_workers.find(worker)) {
        setRequiredRevision(*reporter, end.number, entry);
    }
}

void CellScheduler::onDiscoveredRun(const DiscoveredRun &discovered, const CellTime &time)
{
    if (!m_loaded) {
        m_discoveredBeforeLoad.push_back(discovered);
        return;
    }
    Worker *worker = m_workers.find(discovered.worker);
    if (worker == nullptr || worker->runs.count({discovered.entry.task, discovered.entry.run}) > 0) {
        return;
    }
    JobEntry *entry = m_jobs.find(discovered.entry.task.step.job);
    StepInstance *step = m_jobs.findReportedStep(discovered.entry.task.step);
    const bool known = entry != nullptr && step != nullptr && discovered.entry.task.index < static_cast<int>(step->tasks.size());
    step = known ? step : nullptr;
    // The demands of the steps are no longer stored once the job has ended.
    const auto demand = known ? std::optional<Resources>(step->spec->demand) : std::nullopt;
    const WorkspaceId workspace = entry != nullptr ? entry->job.workspace : WorkspaceId();
    Run &run = m_workers.adopt(*worker, discovered.entry, demand, workspace, time.now);
    m_usage[workspace] += run.demand;
    if (discovered.entry.run < firstRunOf(m_epoch)) {
        m_discoveredUsage[workspace] += run.demand;
    }
    if (!known) {
        if (entry != nullptr) {
            ++entry->liveRuns;
        }
        m_workers.requestStop(*worker, run, time.now);
        return;
    }
    run.isLongRunning = step->spec->longRunning;
    run.isGangMember = step->spec->gang;
    const RouteRules *rules = rulesOf(entry->job);
    run.priority = rules != nullptr ? rules->priority : 0;
    run.timeliness = timelinessOf(*step, time.now);
    run.expectedEnd = time.now + step->spec->estimate / 2; // The start time is unknown, so the run is assumed to be halfway through its estimate.
    const CellTask &task = step->tasks[static_cast<std::size_t>(discovered.entry.task.index)];
    const bool wanted = task.phase == CellTaskPhase::Waiting && task.liveRuns == 0 && entry->outcome == CellJobState::Unknown;
    entry->hasRun = true;
    m_jobs.onDiscovered(*step, discovered.entry.task.index, discovered.entry.run);
    if (step->spec->gang && wanted) {
        if (step->gangRun < discovered.entry.run) {
            step->gangRun = discovered.entry.run;
            step->gangStarted = time.now;
        }
    }
    log("task " + discovered.entry.task.text() + " run " + std::to_string(discovered.entry.run.value()) + " found on " + discovered.worker.value()
        + (wanted ? ": adopted" : ": obsolete, stopped"));
    if (!wanted) {
        m_workers.requestStop(*worker, run, time.now);
    }
}

void CellScheduler::recordHealth(Worker &worker, const JobId &job, bool succeeded, TimePoint now)
{
    if (succeeded) {
        worker.failureStreak = 0;
        worker.lastFailedJob = JobId();
        return;
    }
    if (worker.lastFailedJob == job) {
        return; // The failures may be caused by the job.
    }
    worker.lastFailedJob = job;
    ++worker.failureStreak;
    if (worker.failureStreak >= failuresBeforeBackoff) {
        const int doublings = std::min(worker.failureStreak - failuresBeforeBackoff, maxBackoffDoublings);
        worker.blockedUntil = std::max(worker.blockedUntil, now + failureBackoff * (1 << doublings));
        log("worker " + worker.info.id.value() + " gets no new work for a while: " + std::to_string(worker.failureStreak)
            + " failures of different jobs in a row");
    }
}

void CellScheduler::stopGang(StepInstance &step, TimePoint now)
{
    if (!step.spec->gang || step.active == 0 || step.gangStopping) {
        return;
    }
    step.gangStopping = true;
    for (int i = 0; i < static_cast<int>(step.tasks.size()); ++i) {
        stopTask(step, i, now);
    }
}

void CellScheduler::stopTask(const StepInstance &step, int index, TimePoint now)
{
    const TaskRef task{step.ref, index};
    for (Worker *worker : m_workers.workersRunning(step.ref.job)) {
        for (auto run = worker->runs.lower_bound({task, RunNumber()}); run != worker->runs.end() && run->first.first == task; ++run) {
            m_workers.requestStop(*worker, run->second, now);
        }
    }
}

void CellScheduler::stopRuns(const JobId &job, TimePoint now)
{
    for (Worker *worker : m_workers.workersRunning(job)) {
        for (auto &[key, run] : worker->runs) {
            if (run.task.step.job == job) {
                m_workers.requestStop(*worker, run, now);
            }
        }
    }
}

void CellScheduler::setRequiredRevision(Worker &worker, EndNumber number, const JobEntry *entry)
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

void CellScheduler::sendHoldsAndRetries(CellOrders &orders, const CellTime &time, bool checkRuns)
{
    for (auto &[id, worker] : m_workers.all()) {
        const bool needed = worker.registered || !worker.runs.empty();
        if (!needed || worker.info.address.empty()) {
            continue;
        }
        if (!worker.holdInFlight && worker.nextHold <= time.now) {
            const bool isResponsive = worker.listsRead && worker.unresponsiveSince == TimePoint();
            // Others wait for a worker with an isolated run, so its lists are read as soon as the run can have survived its start.
            const Duration wait = worker.isolatedRuns > 0 ? isolatedRunPollTimeout : m_settings.holdPollTimeout;
            orders.holds.push_back(m_workers.createHold(worker, isResponsive ? wait : Duration(0), time.now));
            ++m_counters.holds;
        }
        if (checkRuns) {
            retryStarts(worker, orders, time.now);
            evacuateDrainingWorker(worker, time.now);
        }
    }
}

void CellScheduler::retryStarts(Worker &worker, CellOrders &orders, TimePoint now)
{
    for (auto &[key, run] : worker.runs) {
        if (run.phase != RunPhase::Starting || now < run.sentAt + startRetryInterval * run.startsSent) {
            continue;
        }
        if (worker.isEvacuated) {
            // Also while a start is in flight: once the worker has acknowledged the stop, it rejects a start that arrives late.
            ++m_counters.startsStoppedInEvacuation;
            log("task " + run.task.text() + " run " + std::to_string(run.number.value()) + " is not confirmed by " + worker.info.id.value()
                + " in an evacuated failure domain: stopped");
            m_workers.requestStop(worker, run, now);
            continue;
        }
        if (run.startsInFlight > 0) {
            continue;
        }
        auto retry = run.startsSent < maxStartsPerRun ? m_workers.retryStart(worker, run, now) : std::nullopt;
        if (retry) {
            orders.starts.push_back(std::move(*retry));
        } else {
            m_workers.requestStop(worker, run, now);
        }
    }
}

void CellScheduler::evacuateDrainingWorker(Worker &worker, TimePoint now)
{
    if (!worker.info.draining) {
        return;
    }
    // If a worker leaves with a run, the run is known to be gone only when its lease has expired. Therefore all runs are ended or
    // stopped before the departure:
    // - A service that is expected to exceed the departure is stopped at once.
    // - A run with checkpoints loses nothing by a late stop. If it is expected to exceed the departure, it is stopped checkpointStopMargin before.
    // - Any other run is stopped at once if it is expected to exceed the departure by more than estimateSlack.
    // - What is left is stopped departureStopMargin before the departure.
    // All members of a gang are stopped together.
    std::vector<StepInstance *> gangsToStop;
    for (auto &[key, run] : worker.runs) {
        StepInstance *step = m_jobs.findStep(run.task.step);
        if (run.phase != RunPhase::Running || step == nullptr) {
            continue;
        }
        const TimePoint departure = worker.expectedDeparture;
        // The progress of a member shows the end of its gang, since the members wait for each other.
        const TimePoint expected = step->spec->gang && run.percent < minMeasuredPercent ? step->expectedEnd : run.expectedEnd;
        TimePoint stopAt = departure - departureStopMargin;
        if (step->spec->longRunning) {
            stopAt = expected > departure ? now : TimePoint::max();
        } else if (step->spec->checkpointing && expected > stopAt) {
            stopAt = departure - checkpointStopMargin;
        } else if (!step->spec->checkpointing && expected > departure + estimateSlack) {
            stopAt = now;
        }
        if (now < stopAt) {
            continue;
        }
        if (step->spec->gang) {
            gangsToStop.push_back(step);
        } else {
            m_workers.requestStop(worker, run, now);
        }
    }
    for (StepInstance *gang : gangsToStop) {
        stopGang(*gang, now);
    }
}

} // namespace KingCupLadder
