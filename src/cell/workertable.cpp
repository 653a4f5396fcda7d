// Determines when a run counts as started, ended or gone, and maintains the workers' clocks and leases. What is stored about workers is in
// workerrecords.cpp, evacuations of failure domains in workerevacuations.cpp.
#include "workertable.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration stopRetryInterval{400}; // A stop takes effect within 200 ms.
constexpr Duration registryDelay{500}; // Delay until a change of the registry is read here.
constexpr int minObservedPercent = 25; // Progress that is enough for an extrapolation of the duration.
constexpr int maxObservedPercentBeforeEnd = 60; // The remainder of a run is observed only if it is long compared with the delay of the lists.
constexpr WorkerClockMs minOverrunMs = 300; // A run that progresses too little is observed only after this time, since lists are delayed.
constexpr int overrunFactor = 2; // A run progresses too little if it will take this many times its expected duration.

/// Extrapolates the progress between the previous report and this one. Estimates of task durations are rough, progress is not.
void updateExpectedEnd(Run &run, int percent, TimePoint now)
{
    // A service reports completePercent while it works, and has no expected end.
    if (percent >= completePercent || percent <= run.percent || run.percentChangedAt == TimePoint()) {
        return;
    }
    const Duration passed = now - run.percentChangedAt;
    run.expectedEnd = now + passed * (completePercent - percent) / (percent - run.percent);
}

/// What became of a run that is released with the proof.
RunEvent::Kind outcomeOf(const Run &run, RunProof proof)
{
    switch (proof.kind()) {
    case RunProof::Kind::ListedEnd:
        return RunEvent::Kind::Ended;
    case RunProof::Kind::RejectedStart:
    case RunProof::Kind::ExpiredStart:
        return RunEvent::Kind::NeverRan;
    case RunProof::Kind::MissingInLists:
        // The end of a run that existed would have been listed. If the run was to be stopped, the stop came before its start.
        return run.phase == RunPhase::Stopping && !run.mayHaveRunBefore ? RunEvent::Kind::NeverRan : RunEvent::Kind::Lost;
    default:
        return RunEvent::Kind::Lost;
    }
}

} // namespace

WorkerTable::WorkerTable(const WorkerTableSettings &settings, DomainEvacuations evacuations) : m_settings(settings), m_evacuations(std::move(evacuations)) { }

Worker *WorkerTable::find(const WorkerId &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const Worker *WorkerTable::find(const WorkerId &id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

Worker *WorkerTable::at(WorkerIndex index)
{
    return index < m_byIndex.size() ? m_byIndex[index] : nullptr;
}

const Worker *WorkerTable::at(WorkerIndex index) const
{
    return index < m_byIndex.size() ? m_byIndex[index] : nullptr;
}

Worker &WorkerTable::findOrAdd(const WorkerId &id)
{
    const auto [entry, isNew] = m_workers.try_emplace(id);
    if (isNew) {
        entry->second.leases = WorkerLeases(m_settings.leases);
        entry->second.index = m_byIndex.size();
        m_byIndex.push_back(&entry->second);
    }
    return entry->second;
}

std::map<WorkerId, Worker> &WorkerTable::all()
{
    return m_workers;
}

const std::map<WorkerId, Worker> &WorkerTable::all() const
{
    return m_workers;
}

std::vector<RunEvent> WorkerTable::onRegistry(const std::vector<WorkerInfo> &workers, TimePoint now)
{
    std::vector<RunEvent> events;
    std::set<WorkerId> listed;
    std::map<VmId, WorkerId> latestOnVm;
    std::map<VmId, WorkerIncarnation> latestIncarnations;
    for (const WorkerInfo &info : workers) {
        WorkerIncarnation &latest = latestIncarnations[info.vm];
        if (!info.vm.isEmpty() && latest < info.incarnation) {
            latest = info.incarnation;
            latestOnVm[info.vm] = info.id;
        }
    }
    explainExpiredLeases(workers, now);
    for (const WorkerInfo &info : workers) {
        const auto latest = latestOnVm.find(info.vm);
        const bool isUnknown = find(info.id) == nullptr;
        if (isUnknown && latest != latestOnVm.end() && latest->second != info.id && isAnswering(latest->second)) {
            continue; // The entry of a worker that was forgotten after its VM had run another one.
        }
        Worker &worker = findOrAdd(info.id);
        if (proofOfReplacement(worker, latestOnVm)) {
            continue; // Its registry entry has not expired yet.
        }
        listed.insert(info.id);
        const bool isNew = worker.info.id.isEmpty();
        if (isNew || worker.info.incarnation < info.incarnation) {
            beginIncarnation(worker, info.incarnation, now, events);
        }
        if (info.incarnation < worker.info.incarnation) {
            continue; // The registry is older than the worker's own answers.
        }
        if (info.draining && (!worker.info.draining || worker.info.sequence != info.sequence)) {
            worker.expectedDeparture = now + info.remaining - registryDelay;
        }
        worker.info = info;
        worker.registeredIncarnation = info.incarnation;
        worker.registered = true;
        worker.replaced = false;
    }
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        Worker &worker = entry->second;
        if (listed.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        worker.registered = false;
        if (const auto proof = proofOfReplacement(worker, latestOnVm)) {
            worker.replaced = true;
            reportCrash(worker, true);
            releaseAll(worker, *proof, events);
        }
        const bool forget = worker.runs.empty() && !worker.holdInFlight && (worker.replaced || (worker.leases.haveExpired(now) && !isAwaited(worker, now)));
        if (forget) {
            m_byIndex[worker.index] = nullptr;
            m_forgotWorker = true;
        }
        entry = forget ? m_workers.erase(entry) : std::next(entry);
    }
    if (m_evacuations.isActive(now)) {
        applyEvacuations(now);
    }
    return events;
}

std::vector<Worker *> WorkerTable::workersRunning(const JobId &job) const
{
    std::vector<Worker *> runningWorkers;
    const auto found = m_runCounts.find(job);
    if (found != m_runCounts.end()) {
        for (const auto &[index, runs] : found->second) {
            runningWorkers.push_back(m_byIndex.at(index));
        }
    }
    return runningWorkers;
}

void WorkerTable::incrementRunCount(const Worker &worker, const JobId &job)
{
    ++m_runCounts[job][worker.index];
}

void WorkerTable::decrementRunCount(const Worker &worker, const JobId &job)
{
    const auto found = m_runCounts.find(job);
    const auto runs = found->second.find(worker.index);
    if (--runs->second == 0) {
        found->second.erase(runs);
    }
    if (found->second.empty()) {
        m_runCounts.erase(found);
    }
}

bool WorkerTable::isUsable(const Worker &worker, TimePoint now) const
{
    const bool answers = worker.listsRead && now - worker.lastAnswer < m_settings.unresponsiveAfter && worker.unresponsiveSince == TimePoint();
    return worker.registered && worker.registeredIncarnation == worker.info.incarnation && !worker.info.draining && worker.idStored && answers
        && worker.blockedUntil <= now && !worker.isEvacuated && worker.returnsAt <= now;
}

void WorkerTable::updateUsability(TimePoint now)
{
    for (auto &[id, worker] : m_workers) {
        const bool usable = isUsable(worker, now);
        if (usable && !worker.wasUsable) {
            worker.availabilityGeneration = ++m_generation;
        }
        worker.wasUsable = usable;
    }
}

std::uint64_t WorkerTable::generation() const
{
    return m_generation;
}

void WorkerTable::beginIncarnation(Worker &worker, WorkerIncarnation incarnation, TimePoint now, std::vector<RunEvent> &events)
{
    if (worker.info.incarnation != WorkerIncarnation()) {
        reportRestart(worker);
        // Runs of previous leaders ended with the previous incarnation, unless a start of them reaches the new one late.
        worker.earlierRunsOverBy = isAwaited(worker, now) ? worker.earlierRunsOverBy : std::nullopt;
    }
    // A run that the previous incarnation listed, and of which no start is unanswered, is lost. Any other run may exist in the new
    // incarnation, because a start of it may have reached that one or may still do so. Such a run is set to Stopping, since the answer to
    // a stop order determines whether it exists.
    for (auto run = worker.runs.begin(); run != worker.runs.end();) {
        const auto next = std::next(run);
        if (const auto proof = RunProof::fromLaterIncarnation(run->second)) {
            events.push_back(release(worker, run, *proof));
        } else {
            run->second.phase = RunPhase::Stopping;
            run->second.mayHaveRunBefore = true;
            run->second.listed = false;
            run->second.confirmedClock = 0;
            run->second.stopConfirmed = false;
            run->second.stopInFlight = false;
            run->second.nextStop = now;
        }
        run = next;
    }
    worker.info.incarnation = incarnation;
    worker.leases.beginIncarnation(now, !worker.runs.empty());
    worker.latestClock = 0;
    worker.listsRead = false;
    worker.mayHaveUnreadEnds = false;
    worker.lastSeenEnd = EndNumber();
    worker.acknowledged = EndNumber();
    worker.ends.clear();
    worker.nextHold = TimePoint();
    worker.blockedUntil = TimePoint();
    worker.failureStreak = 0;
    worker.speed = WorkerSpeed();
    worker.nextProbe = TimePoint();
}

RunEvent WorkerTable::release(Worker &worker, std::map<RunKey, Run>::iterator run, RunProof proof)
{
    if (run->second.pendingCrash && proof.kind() != RunProof::Kind::ListedEnd) {
        m_runsOnCrashedWorkers.push_back(std::move(*run->second.pendingCrash));
    }
    RunEvent event;
    event.kind = outcomeOf(run->second, proof);
    event.proof = proof.kind();
    event.run = std::move(run->second);
    event.worker = worker.info.id;
    worker.allocated -= event.run.demand;
    worker.runsOfUnknownDemand -= event.run.isDemandKnown ? 0 : 1;
    worker.isolatedRuns -= event.run.isIsolated ? 1 : 0;
    decrementRunCount(worker, event.run.task.step.job);
    worker.availabilityGeneration = ++m_generation;
    worker.runs.erase(run);
    return event;
}

void WorkerTable::releaseAll(Worker &worker, RunProof proof, std::vector<RunEvent> &events)
{
    while (!worker.runs.empty()) {
        events.push_back(release(worker, worker.runs.begin(), proof));
    }
}

StartOrder WorkerTable::addRun(Worker &worker, const Run &run, StartOrder order, TimePoint now)
{
    Run added = run;
    order.worker = worker.info.id;
    order.address = worker.info.address;
    order.incarnation = worker.info.incarnation;
    order.task = run.task;
    order.run = run.number;
    order.deadline = worker.leases.beginOrder(m_settings.startValidity, now);
    added.phase = RunPhase::Starting;
    added.sentAt = now;
    added.startsSent = 1;
    added.startsInFlight = 1;
    added.order = order;
    worker.allocated += added.demand;
    added.isIsolated = added.isolation != RunIsolation::None;
    worker.isolatedRuns += added.isIsolated ? 1 : 0;
    incrementRunCount(worker, run.task.step.job);
    worker.runs[{run.task, run.number}] = added;
    return order;
}

std::optional<StartOrder> WorkerTable::retryStart(Worker &worker, Run &run, TimePoint now)
{
    if (worker.leases.clockLowerBound(now) >= run.order.deadline) {
        return std::nullopt;
    }
    worker.leases.repeatOrder();
    ++run.startsSent;
    ++run.startsInFlight;
    return run.order;
}

Worker *WorkerTable::findAnsweringWorker(const WorkerId &id, WorkerIncarnation incarnation, const OrderAnswer &answer, TimePoint now)
{
    Worker *worker = find(id);
    if (worker == nullptr || worker->info.incarnation != incarnation) {
        return nullptr;
    }
    if (answer.clock > 0) {
        worker->leases.observeClock(answer.clock, now);
    }
    return worker;
}

void WorkerTable::endOrder(const WorkerId &id, WorkerIncarnation incarnation, bool isAnswered, TimePoint now)
{
    if (Worker *worker = find(id)) {
        worker->leases.endOrder(worker->info.incarnation == incarnation, isAnswered, now);
    }
}

std::vector<RunEvent> WorkerTable::onStartAnswer(const StartOrder &order, const OrderAnswer &answer, TimePoint now)
{
    std::vector<RunEvent> events;
    endOrder(order.worker, order.incarnation, answer.outcome != OrderOutcome::NoAnswer, now);
    Worker *worker = findAnsweringWorker(order.worker, order.incarnation, answer, now);
    if (worker == nullptr) {
        return events;
    }
    const auto found = worker->runs.find({order.task, order.run});
    if (found == worker->runs.end()) {
        return events;
    }
    Run &run = found->second;
    run.startsInFlight = std::max(run.startsInFlight - 1, 0);
    if (answer.outcome == OrderOutcome::NoAnswer) {
        run.startUnanswered = true;
        return events;
    }
    if (answer.outcome == OrderOutcome::Done) {
        if (run.confirmedClock == 0) {
            run.confirmedClock = answer.clock;
            // The progress of a run that continues from a checkpoint is not known before it is listed.
            run.observedClock = run.order.checkpoint.empty() ? answer.clock : 0;
        }
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
        }
        return events;
    }
    if (const auto proof = RunProof::fromRejectedStart(run)) {
        events.push_back(release(*worker, found, *proof));
        events.back().rejection = answer.outcome;
    } else if (run.phase == RunPhase::Starting) {
        requestStop(*worker, run, now);
    }
    return events;
}

void WorkerTable::requestStop(Worker & /*worker*/, Run &run, TimePoint now)
{
    if (run.phase != RunPhase::Stopping) {
        run.phase = RunPhase::Stopping;
        run.stopConfirmed = false;
        run.nextStop = now;
    }
}

std::vector<StopOrder> WorkerTable::dueStops(TimePoint now)
{
    std::vector<StopOrder> orders;
    for (auto &[id, worker] : m_workers) {
        if (worker.info.address.empty()) {
            continue;
        }
        for (auto &[key, run] : worker.runs) {
            if (run.phase == RunPhase::Stopping && !run.stopConfirmed && !run.stopInFlight && run.nextStop <= now) {
                run.stopInFlight = true;
                run.nextStop = now + stopRetryInterval;
                orders.push_back(StopOrder{id, worker.info.address, worker.info.incarnation, run.task, run.number});
            }
        }
    }
    return orders;
}

std::vector<RunEvent> WorkerTable::onStopAnswer(const StopOrder &order, const OrderAnswer &answer, TimePoint now)
{
    std::vector<RunEvent> events;
    Worker *worker = findAnsweringWorker(order.worker, order.incarnation, answer, now);
    if (worker == nullptr) {
        return events;
    }
    const auto found = worker->runs.find({order.task, order.run});
    if (found == worker->runs.end()) {
        return events;
    }
    found->second.stopInFlight = false;
    if (answer.outcome == OrderOutcome::Done) {
        found->second.stopConfirmed = true;
        found->second.confirmedAt = now;
        worker->nextHold = std::min(worker->nextHold, now); // The lists of a hold sent after the stop show whether the run is gone.
    }
    return events;
}

HoldOrder WorkerTable::createHold(Worker &worker, Duration wait, TimePoint now)
{
    HoldOrder order;
    order.worker = worker.info.id;
    order.address = worker.info.address;
    order.incarnation = worker.info.incarnation;
    order.acknowledged = worker.acknowledged;
    order.wait = wait;
    // A renewal without an answer may still take effect. An unresponsive worker's leases are therefore not renewed, since they could
    // otherwise never be proven to have expired.
    if (worker.leases.isBounded() && worker.unresponsiveSince == TimePoint()) {
        order.deadline = worker.leases.beginOrder(m_settings.leases.maxLease, now);
    }
    worker.holdInFlight = true;
    return order;
}

std::vector<RunEvent> WorkerTable::onHoldAnswer(const HoldOrder &order,
                                                const HoldReply *reply,
                                                TimePoint sent,
                                                TimePoint now,
                                                std::vector<DiscoveredRun> &discovered,
                                                std::vector<EndedEntry> &unmatchedEnds)
{
    std::vector<RunEvent> events;
    Worker *worker = find(order.worker);
    if (worker == nullptr) {
        return events;
    }
    worker->holdInFlight = false;
    if (order.deadline > 0) {
        endOrder(order.worker, order.incarnation, reply != nullptr, now);
    }
    if (reply == nullptr) {
        if (worker->unresponsiveSince == TimePoint()) {
            worker->unresponsiveSince = now;
        }
        return events;
    }
    if (reply->incarnation < worker->info.incarnation) {
        return events; // The reply comes from a previous incarnation.
    }
    if (worker->info.incarnation < reply->incarnation) {
        beginIncarnation(*worker, reply->incarnation, now, events);
    }
    const auto expired = m_expiredLeases.find(order.worker);
    if (expired != m_expiredLeases.end() && expired->second.incarnation == reply->incarnation) {
        // The worker was cut off; it has not crashed.
        for (RunOnCrashedWorker &entry : expired->second.runs) {
            entry.isRetracted = true;
            m_runsOnCrashedWorkers.push_back(std::move(entry));
        }
        m_expiredLeases.erase(expired);
    }
    worker->leases.onHoldAnswered(reply->clock, !worker->listsRead, now);
    worker->latestClock = std::max(worker->latestClock, reply->clock);
    worker->lastAnswer = now;
    worker->unresponsiveSince = TimePoint();
    worker->mayHaveUnreadEnds = reply->mayOmitEnds;
    worker->listsRead = worker->listsRead || !reply->mayOmitEnds;
    readEnds(*worker, *reply, events, unmatchedEnds);
    readRunning(*worker, *reply, sent, now, events, discovered);
    return events;
}

void WorkerTable::readEnds(Worker &worker, const HoldReply &reply, std::vector<RunEvent> &events, std::vector<EndedEntry> &unmatchedEnds)
{
    for (const EndedEntry &entry : reply.ended) {
        if (entry.number <= worker.lastSeenEnd) {
            continue;
        }
        worker.lastSeenEnd = entry.number;
        worker.ends.push_back(UnacknowledgedEnd{entry.number, entry.task.step.job, 0});
        const auto run = worker.runs.find({entry.task, entry.run});
        if (run == worker.runs.end()) {
            unmatchedEnds.push_back(entry);
            continue;
        }
        if (entry.end == RunEnd::Succeeded) {
            observeEnd(worker, run->second, reply.clock);
        }
        events.push_back(release(worker, run, RunProof::fromListedEnd()));
        events.back().entry = entry;
    }
}

void WorkerTable::readRunning(
    Worker &worker, const HoldReply &reply, TimePoint sent, TimePoint now, std::vector<RunEvent> &events, std::vector<DiscoveredRun> &discovered)
{
    std::set<RunKey> listed;
    for (const RunningEntry &entry : reply.running) {
        const RunKey key{entry.task, entry.run};
        listed.insert(key);
        const auto known = worker.runs.find(key);
        if (known == worker.runs.end()) {
            discovered.push_back(DiscoveredRun{worker.info.id, entry});
            continue;
        }
        Run &run = known->second;
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
        }
        updateExpectedEnd(run, entry.percent, now);
        if (run.percent != entry.percent || run.percentChangedAt == TimePoint()) {
            run.percentChangedAt = now;
        }
        run.listed = true;
        run.pendingCrash.reset();
        if (run.confirmedClock == 0) {
            run.confirmedClock = reply.clock;
        }
        const Duration isolatedFor = run.isolation == RunIsolation::Long ? m_settings.soonAfterStart : m_settings.startSurvival;
        if (run.isIsolated && Duration(reply.clock - run.confirmedClock) >= isolatedFor) {
            run.isIsolated = false;
            --worker.isolatedRuns;
            worker.availabilityGeneration = ++m_generation;
        }
        observeProgress(worker, run, entry.percent, reply.clock);
        run.percent = entry.percent;
        run.load = entry.load;
        run.checkpoint = entry.checkpoint;
    }
    for (auto run = worker.runs.begin(); run != worker.runs.end();) {
        const auto next = std::next(run);
        // A run that is not listed, and about which the lists prove nothing, keeps its capacity, which limits how many ends can pile up on
        // the worker while the list of ends is incomplete.
        if (listed.count(run->first) == 0) {
            const auto missing = RunProof::fromMissingInLists(run->second, reply, sent);
            if (const auto proof = missing ? missing : RunProof::fromExpiredStart(run->second, reply)) {
                events.push_back(release(worker, run, *proof));
            }
        }
        run = next;
    }
}

void WorkerTable::observeProgress(const Worker &worker, Run &run, int percent, WorkerClockMs clock)
{
    if (run.isLongRunning || percent >= completePercent || run.phase != RunPhase::Running) {
        return;
    }
    if (run.observedClock == 0 || percent < run.observedPercent) {
        run.observedClock = clock;
        run.observedPercent = percent;
        return;
    }
    const WorkerClockMs passed = clock - run.observedClock;
    const int progress = percent - run.observedPercent;
    DurationObservation observation{run.task, worker.index, worker.info.incarnation, Duration(0), 0, false, Duration(0)};
    if (progress >= minObservedPercent) {
        observation.duration = Duration(passed * completePercent / progress);
        observation.weight = static_cast<double>(progress) / completePercent;
    } else {
        // The lists contain whole percents, so the progress may be almost one percent more.
        observation.duration = Duration(passed * completePercent / (progress + 1));
        observation.isLowerBound = true;
        const bool isOverrun = run.expectedDuration > Duration(0) && passed >= minOverrunMs
            && Duration(passed) * completePercent > run.expectedDuration * minObservedPercent && observation.duration > run.expectedDuration * overrunFactor;
        if (!isOverrun) {
            return;
        }
        observation.weight = static_cast<double>(minObservedPercent) / completePercent;
    }
    run.observedClock = clock;
    run.observedPercent = percent;
    m_observedDurations.push_back(std::move(observation));
}

void WorkerTable::observeEnd(const Worker &worker, const Run &run, WorkerClockMs clock)
{
    if (run.isLongRunning || run.observedClock == 0 || run.phase != RunPhase::Running) {
        return;
    }
    // The whole run is more accurate than its remainder, since ends are listed with a delay.
    const bool isWhole = !run.order.task.step.job.isEmpty() && run.order.checkpoint.empty() && run.confirmedClock != 0;
    if (!isWhole && run.observedPercent > maxObservedPercentBeforeEnd) {
        return; // Also of a run that was found with all of its work done, of which no remainder is left.
    }
    DurationObservation observation{run.task, worker.index, worker.info.incarnation, Duration(0), 0, false, Duration(0)};
    const int progress = completePercent - run.observedPercent;
    observation.weight = static_cast<double>(std::max(progress, minObservedPercent)) / completePercent;
    if (isWhole) {
        observation.wholeRun = Duration(clock - run.confirmedClock);
        observation.duration = observation.wholeRun;
    } else {
        observation.duration = Duration((clock - run.observedClock) * completePercent / progress);
    }
    m_observedDurations.push_back(std::move(observation));
}

std::vector<DurationObservation> WorkerTable::takeObservedDurations()
{
    return std::exchange(m_observedDurations, {});
}

std::vector<RunEvent> WorkerTable::expireLeases(TimePoint now)
{
    std::vector<RunEvent> events;
    for (auto &[id, worker] : m_workers) {
        const bool isSilent = now - worker.lastAnswer > m_settings.unresponsiveAfter;
        const auto proof = !worker.runs.empty() && isSilent ? RunProof::fromExpiredLeases(worker, now) : std::nullopt;
        if (proof) {
            if (!worker.info.draining) {
                m_expiredLeases[id] = ExpiredLeases{worker.info.vm, worker.info.incarnation, now, runsOnCrashed(worker)};
            }
            reportCrash(worker, false);
            releaseAll(worker, *proof, events);
        }
    }
    return events;
}

Run &WorkerTable::adopt(Worker &worker, const RunningEntry &entry, const std::optional<Resources> &demand, const WorkspaceId &workspace, TimePoint now)
{
    Run run;
    run.task = entry.task;
    run.number = entry.run;
    run.demand = demand.value_or(Resources{});
    run.isDemandKnown = demand.has_value();
    run.workspace = workspace;
    run.phase = RunPhase::Running;
    run.sentAt = now;
    run.confirmedAt = now;
    run.listed = true;
    run.checkpoint = entry.checkpoint;
    run.percent = entry.percent;
    run.percentChangedAt = now;
    run.observedClock = worker.latestClock;
    run.observedPercent = entry.percent;
    worker.allocated += run.demand;
    worker.runsOfUnknownDemand += run.isDemandKnown ? 0 : 1;
    incrementRunCount(worker, entry.task.step.job);
    return worker.runs[{entry.task, entry.run}] = run;
}

void WorkerTable::advanceAcknowledged(Worker &worker, const std::function<bool(const UnacknowledgedEnd &)> &isStored)
{
    while (!worker.ends.empty() && isStored(worker.ends.front())) {
        worker.acknowledged = worker.ends.front().number;
        worker.ends.pop_front();
        if (worker.ends.empty()) {
            // The next hold is due at once: without unacknowledged ends the worker no longer replies immediately, so the long poll is useful
            // again.
            worker.nextHold = TimePoint();
        }
    }
}

} // namespace KingCupLadder
