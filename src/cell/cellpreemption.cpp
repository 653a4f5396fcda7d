// Preemption by CellScheduler: stops runs of lower priorities for a step that would miss its objective for lack of room, and reserves the
// room until the stops have taken effect. See docs/design/preemption.md.
#include "placementpass.h"

#include <algorithm>
#include <climits>

namespace KingCupLadder {

namespace {

constexpr Duration minWaitForPreemption{60}; // Most steps that wait for less get room by the end of other runs.
constexpr Duration expectedStopTime{450}; // A stop takes up to 900 ms, or 200 ms, on the users' platform.
constexpr Duration restoreTime{250}; // Longest time that a run takes to continue from its checkpoint on the users' platform.
constexpr Duration reservationTime{1500}; // Longer than a stop, and the list that reports it, take.
constexpr Duration planPause{200}; // Pause between two plans for a step, since the room rarely changes much in between.
constexpr int maxPlansPerPass = 4; // Bounds the time that planning adds to a pass.
constexpr int maxLinesPerSecond = 10;
constexpr double preemptedShareOfCpuPerSecond = 0.05;

} // namespace

void CellScheduler::beginPreemptionPass(TimePoint now)
{
    for (auto entry = m_preemptions.pending.begin(); entry != m_preemptions.pending.end();) {
        const StepInstance *step = m_jobs.findStep(entry->first);
        const bool isOver = step == nullptr || step->waiting == 0 || step->job->outcome != CellJobState::Unknown;
        if (isOver || entry->second.deadline <= now) {
            m_counters.preemptionsLapsed += isOver ? 0 : 1;
            entry = m_preemptions.pending.erase(entry);
        } else {
            ++entry;
        }
    }
}

void CellScheduler::refillPreemptionBudget(TimePoint now)
{
    // Refilled in full passes only, since it sums over all workers.
    std::int64_t capacity = 0;
    std::int64_t largest = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        capacity += worker.wasUsable ? worker.info.capacity.cpu.value() : 0;
        largest = std::max(largest, worker.wasUsable ? worker.info.capacity.cpu.value() : 0);
    }
    if (capacity == 0) {
        return; // A new leader has not heard from any worker yet.
    }
    // On a small cell the bucket holds at least one worker, so that a task can be preempted at all.
    const double perSecond = static_cast<double>(capacity) * preemptedShareOfCpuPerSecond;
    const double limit = std::max(perSecond, static_cast<double>(largest));
    const double passed = static_cast<double>((now - m_preemptions.refilledAt).count()) / 1000;
    m_preemptions.milliCores = m_preemptions.refilledAt == TimePoint() ? limit : std::min(limit, m_preemptions.milliCores + passed * perSecond);
    m_preemptions.refilledAt = now;
}

bool CellScheduler::hasPendingPreemption(const StepInstance &step) const
{
    return m_preemptions.pending.count(step.ref) > 0;
}

void CellScheduler::onStartAfterPreemption(const StepInstance &step, const Worker &worker)
{
    const auto pending = m_preemptions.pending.find(step.ref);
    if (pending == m_preemptions.pending.end()) {
        return;
    }
    std::vector<TaskAllocation> &allocations = pending->second.allocations;
    auto used = std::find_if(allocations.begin(), allocations.end(), [&worker](const TaskAllocation &entry) { return entry.worker == worker.index; });
    // A task that started elsewhere needs the reserved room no longer either.
    used = used == allocations.end() ? allocations.begin() : used;
    if (--used->tasks == 0) {
        allocations.erase(used);
    }
    if (allocations.empty()) {
        m_preemptions.pending.erase(pending);
    }
}

bool CellScheduler::mayPreempt(StepInstance &step, const PlacementPass &pass) const
{
    const TimePoint now = pass.time.now;
    if (!pass.isFullPass || pass.preemptionPlans >= maxPlansPerPass || step.nextPreemption > now || step.spec->longRunning || step.job->overRate) {
        return false;
    }
    const bool isSuspect = std::any_of(step.tasks.begin(), step.tasks.end(), [](const CellTask &task) {
        return task.phase == CellTaskPhase::Waiting && task.crashes.isolation() != RunIsolation::None;
    });
    if (isSuspect || now - step.readySince < minWaitForPreemption) {
        return false;
    }
    const auto [tier, latestStart] = priorityKey(step, now);
    return tier == rulesOf(step.job->job)->priority && now + expectedStopTime <= latestStart;
}

bool CellScheduler::isPreemptible(const Run &run, int priority, TimePoint now, PreemptibleRun &result)
{
    if (run.phase != RunPhase::Running || run.isGangMember || run.isLongRunning || run.isIsolated || run.isolation != RunIsolation::None || !run.isDemandKnown
        || !run.listed || run.pendingCrash) {
        return false;
    }
    const StepInstance *step = m_jobs.findStep(run.task.step);
    const RouteRules *rules = step != nullptr ? rulesOf(step->job->job) : nullptr;
    if (rules == nullptr || rules->priority <= priority || run.task.index >= static_cast<int>(step->tasks.size())) {
        return false;
    }
    const CellTask &task = step->tasks[static_cast<std::size_t>(run.task.index)];
    const bool isWanted = step->job->outcome == CellJobState::Unknown && task.phase == CellTaskPhase::Active && task.liveRuns == 1;
    if (!isWanted || step->spec->gang || step->spec->longRunning || task.preemptedRun != RunNumber()) {
        return false;
    }
    // A run that was found after a change of leader may have started long ago, so its progress counts too.
    const Duration done = std::max(now - run.sentAt, step->spec->estimate * run.percent / completePercent);
    const Duration lost = step->spec->checkpointing ? restoreTime : done;
    const auto cpu = static_cast<double>(run.demand.cpu.value());
    result.priority = rules->priority;
    result.demand = run.demand;
    result.untilEnd = std::max(run.expectedEnd - now, now - run.expectedEnd); // An overrun run is expected to last as long again.
    result.savesCheckpoint = step->spec->checkpointing;
    result.workLost = cpu * static_cast<double>(lost.count());
    // With and without the preemption, by the objective and by the time after which the result is worthless.
    const TimePoint endNow = now + result.untilEnd;
    const TimePoint endLater = endNow + expectedStopTime + reservationTime + lost;
    const Duration after = timingOf(*step).following;
    const Duration occurrence = step->job->job.interval * step->ref.occurrence;
    const auto becomesLate = [&](TimePoint deadline) { return endNow + after <= deadline + occurrence && endLater + after > deadline + occurrence; };
    result.becomesLate = becomesLate(step->job->softDeadline) || becomesLate(step->job->firmDeadline);
    if (result.becomesLate) {
        result.workLost = cpu * static_cast<double>((done + result.untilEnd).count());
    }
    return true;
}

bool CellScheduler::preemptFor(StepInstance &step, PlacementPass &pass)
{
    if (!hasPendingPreemption(step) && mayPreempt(step, pass)) {
        planPreemptionFor(step, pass);
    }
    const auto pending = m_preemptions.pending.find(step.ref);
    if (pending == m_preemptions.pending.end()) {
        return false;
    }
    const TimePoint now = pass.time.now;
    for (const TaskAllocation &allocation : pending->second.allocations) {
        pass.reservations.add(allocation.worker, now + overrunEstimate, step.spec->demand * allocation.tasks);
    }
    if (step.spec->gang && adviceSettings(step) != nullptr) {
        // The tickets have to be valid when the stopped runs have ended.
        renewTicketsForGang(step,
                            GangForecast{std::max(now, pending->second.expectedRoom), pending->second.allocations},
                            candidatesFor(step, pass, CandidateSet::AllowedWorkersWithReleases),
                            now);
    }
    return true;
}

void CellScheduler::planPreemptionFor(StepInstance &step, PlacementPass &pass)
{
    const TimePoint now = pass.time.now;
    const int priority = rulesOf(step.job->job)->priority;
    const auto startable = static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(), [now](const CellTask &task) {
        return task.phase == CellTaskPhase::Waiting && task.notBefore <= now && task.liveRuns == 0;
    }));
    if (startable == 0 || !isWithinWorkspaceMaximum(step, step.spec->gang ? startable : 1)) {
        return;
    }
    step.nextPreemption = now + planPause;
    ++pass.preemptionPlans;
    std::vector<CandidateWorker> candidates = candidatesFor(step, pass, CandidateSet::AllowedWorkersWithReleases);
    int fitting = 0;
    for (CandidateWorker &candidate : candidates) {
        candidate = pass.reservations.withoutReserved(candidate);
        fitting += tasksThatFit(step.spec->demand, candidate.free, std::min(candidate.maxTasks, startable));
    }
    PreemptionDemand demand{priority, step.spec->demand, step.spec->gang ? startable : startable - fitting, step.spec->gang, step.spec->estimate};
    if (fitting >= startable) {
        return; // The step lacks tickets rather than room.
    }
    const auto forecast = forecastGang(candidates, step.spec->demand, startable, now);
    if (forecast && forecast->start <= priorityKey(step, now).second) {
        return;
    }
    std::vector<const Run *> runs;
    std::vector<PreemptionCandidate> options;
    options.reserve(candidates.size());
    for (const CandidateWorker &candidate : candidates) {
        PreemptionCandidate option{candidate, {}};
        if (!step.spec->gang) {
            // Only further room is wanted: the step's own placement uses what is free.
            option.worker.free -= step.spec->demand * tasksThatFit(step.spec->demand, candidate.free, std::min(candidate.maxTasks, startable));
        }
        for (const auto &[key, run] : m_workers.at(candidate.worker)->runs) {
            PreemptibleRun preemptible;
            if (isPreemptible(run, priority, now, preemptible)) {
                preemptible.id = runs.size();
                runs.push_back(&run);
                option.runs.push_back(preemptible);
            }
        }
        options.push_back(std::move(option));
    }
    const auto plan = planPreemption(demand, options, PreemptionBounds{static_cast<std::int64_t>(m_preemptions.milliCores), expectedStopTime});
    if (!plan) {
        return;
    }
    m_preemptions.milliCores -= static_cast<double>(plan->milliCores);
    for (const PreemptionChoice &choice : plan->stops) {
        const RunKey key{runs[choice.run]->task, runs[choice.run]->number};
        Worker &worker = *m_workers.at(choice.worker);
        m_jobs.findStep(key.first.step)->tasks[static_cast<std::size_t>(key.first.index)].preemptedRun = key.second;
        m_workers.requestStop(worker, worker.runs.at(key), now);
    }
    m_preemptions.pending[step.ref] = PendingPreemption{plan->allocations, now + expectedStopTime, now + reservationTime};
    ++m_counters.preemptions;
    m_counters.preempted += plan->stops.size();
    m_counters.preemptedCoreMs += static_cast<std::uint64_t>(plan->workLost / 1000);
    if (now - m_preemptions.linesSince >= Duration(1000)) {
        m_preemptions.linesSince = now;
        m_preemptions.lines = 0;
    }
    if (m_preemptions.lines++ < maxLinesPerSecond) {
        log("step " + TaskRef{step.ref, 0}.text() + " preempts " + std::to_string(plan->stops.size()) + " runs, " + std::to_string(plan->milliCores)
            + " millicores, for " + std::to_string(demand.tasks) + " tasks of priority " + std::to_string(priority) + ", "
            + std::to_string(static_cast<std::int64_t>(plan->workLost / 1000)) + " core-ms lost, waits for " + std::to_string((now - step.readySince).count())
            + " ms");
    }
}

} // namespace KingCupLadder
