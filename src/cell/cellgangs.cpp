// Placement of gangs by CellScheduler: starts, reservations of capacity for a later start, and members whose start was rejected.
#include "placementpass.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int minAllowedSlotsOfStarving = 8; // A starving gang has room, possibly only on workers that it has not asked about.
constexpr int maxStartingGangReservations = 16; // Gangs per pass, other than starving ones, that may reserve capacity while their tickets are renewed.
constexpr Duration gangRepairTimeout{1200}; // How long a gang member whose start was rejected may be moved to another worker; then the gang restarts.

} // namespace

void CellScheduler::limitToReservations(const StepInstance &step, std::vector<CandidateWorker> &candidates, const PlacementPass &pass) const
{
    for (CandidateWorker &candidate : candidates) {
        candidate.maxTasks = pass.reservations.tasksAllowed(candidate, step.spec->demand, pass.time.now + step.spec->estimate);
    }
}

void CellScheduler::placeGang(StepInstance &step, PlacementPass &pass)
{
    const TimePoint now = pass.time.now;
    const int count = step.spec->count;
    const bool areAllStartable = std::all_of(step.tasks.begin(), step.tasks.end(), [now](const CellTask &task) {
        return task.phase == CellTaskPhase::Waiting && task.liveRuns == 0 && task.notBefore <= now;
    });
    if (!areAllStartable || !isWithinWorkspaceMaximum(step, count)) {
        return;
    }
    std::vector<CandidateWorker> candidates = candidatesFor(step, pass, CandidateSet::WorkersWithValidTicket);
    int fittingWithoutReservations = 0;
    for (const CandidateWorker &candidate : candidates) {
        fittingWithoutReservations += tasksThatFit(step.spec->demand, candidate.free, std::min(candidate.maxTasks, count));
    }
    limitToReservations(step, candidates, pass);
    step.withheldTasks = fittingWithoutReservations;
    for (const CandidateWorker &candidate : candidates) {
        step.withheldTasks -= std::min(candidate.maxTasks, count);
    }
    const auto fit = fitGang(candidates, step.spec->demand, count);
    if (!fit) {
        reserveForGang(step, candidatesFor(step, pass, CandidateSet::AllowedWorkersWithReleases), pass);
        return;
    }
    RunNumber run;
    for (const CellTask &task : step.tasks) {
        run = std::max(run, nextRun(task), [](RunNumber a, RunNumber b) { return a < b; });
    }
    step.gangRun = run;
    step.gangStarted = now;
    step.gangStopping = false;
    int index = 0;
    for (const TaskAllocation &allocation : *fit) {
        for (int i = 0; i < allocation.tasks; ++i) {
            startTask(step, index++, *m_workers.at(allocation.worker), run, pass);
        }
    }
    log("gang " + TaskRef{step.ref, 0}.text() + " run " + std::to_string(run.value()) + " placed: " + std::to_string(count) + " tasks on "
        + std::to_string(fit->size()) + " workers, " + std::to_string((now - step.readySince).count()) + " ms after it was ready, "
        + std::to_string(step.advice.evaluated.size()) + " workers asked");
}

void CellScheduler::reserveForGang(StepInstance &step, const std::vector<CandidateWorker> &candidates, PlacementPass &pass)
{
    const TimePoint now = pass.time.now;
    const AdviceSettings *settings = adviceSettings(step);
    step.advice.workersToRenew.clear(); // A queued renewal is dropped unless it is still useful.
    // For a later start: without the capacity that other gangs have reserved.
    std::vector<CandidateWorker> unreservedCandidates;
    unreservedCandidates.reserve(candidates.size());
    for (const CandidateWorker &candidate : candidates) {
        unreservedCandidates.push_back(pass.reservations.withoutReserved(candidate));
    }
    // For a start now: with the reserved capacity that the gang will release in time for the reservations.
    std::vector<CandidateWorker> availableNow = candidates;
    limitToReservations(step, availableNow, pass);
    const auto fit = fitGang(availableNow, step.spec->demand, step.spec->count);
    std::optional<GangForecast> forecast;
    int fitting = 0;
    int fittingWhenIdle = 0;
    for (const CandidateWorker &candidate : availableNow) {
        fitting += candidate.maxTasks;
        fittingWhenIdle += tasksThatFit(step.spec->demand, m_workers.at(candidate.worker)->info.capacity, step.spec->count);
    }
    if (!fit && settings != nullptr && fittingWhenIdle < step.spec->count * (step.isStarving ? minAllowedSlotsOfStarving : minAllowedSlotsPerTask)) {
        // Workers that have not been asked about may have the capacity that the allowed ones lack now. With enough allowed workers, a call
        // about further ones would only delay the renewal of tickets once there is room.
        step.missingTasks = std::max(step.spec->count - fitting, 1);
        requestAdvice(step, now);
    }
    if (fit) {
        forecast = GangForecast{now, *fit}; // The gang only lacks valid tickets.
    } else if (pass.reservingGangs < maxGangReservations) {
        // The gang lacks capacity: at most maxGangReservations of these gangs reserve it for a later start.
        forecast = forecastGang(unreservedCandidates, step.spec->demand, step.spec->count, now);
        pass.reservingGangs += forecast ? 1 : 0;
    }
    if (!forecast) {
        return;
    }
    if (settings != nullptr) {
        renewTicketsForGang(step, *forecast, candidates, now);
    }
    if (fit) {
        // Many gangs whose renewals are far back in the queue would withhold most of the free capacity although none of them can start soon.
        const StepAdvice &advice = step.advice;
        const bool isFarBack = advice.renewalInFlight && !advice.isRenewalSentSoon;
        const bool startsSoon = !isFarBack && pass.startingGangs < maxStartingGangReservations;
        if (!startsSoon && !step.isStarving) {
            return;
        }
        ++pass.startingGangs;
    }
    const bool needsIdle = needsIdleWorker(step, 0, now);
    for (const TaskAllocation &allocation : forecast->allocations) {
        const Resources reserved = needsIdle ? m_workers.at(allocation.worker)->info.capacity : step.spec->demand * allocation.tasks;
        pass.reservations.add(allocation.worker, forecast->start, reserved);
    }
}

void CellScheduler::placeMissingMembers(StepInstance &step, PlacementPass &pass)
{
    const TimePoint now = pass.time.now;
    if (step.gangStopping) {
        return;
    }
    if (now > step.gangStarted + gangRepairTimeout) {
        stopGang(step, now);
        return;
    }
    // Unlike for a new gang, reservations, CellTask::notBefore and the workspace's maximum are not checked here.
    std::vector<CandidateWorker> candidates = candidatesFor(step, pass, CandidateSet::WorkersWithValidTicket);
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        const CellTask &task = step.tasks[static_cast<std::size_t>(index)];
        if (task.phase != CellTaskPhase::Waiting || task.liveRuns > 0) {
            continue;
        }
        const auto candidate = std::find_if(candidates.begin(), candidates.end(), [&step](const CandidateWorker &option) {
            return option.maxTasks > 0 && step.spec->demand.fitsIn(option.free);
        });
        if (candidate == candidates.end()) {
            return;
        }
        startTask(step, index, *m_workers.at(candidate->worker), step.gangRun, pass);
        candidate->free -= step.spec->demand;
        --candidate->maxTasks;
    }
}

} // namespace KingCupLadder
