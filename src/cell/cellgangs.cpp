// Placement of gangs by CellScheduler: starts, reservations of capacity for a later start, and members whose start was rejected.
#include "placementpass.h"
#include "placementrank.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int minAllowedSlotsOfStarving = 8; // A starving gang has room, possibly only on workers that it has not asked about.
constexpr int maxStartingGangReservations = 16; // Gangs per pass, other than starving ones, that may reserve capacity while their tickets are renewed.
constexpr Duration gangRepairTimeout{1200}; // How long a gang member whose start was rejected may be moved to another worker; then the gang restarts.

constexpr int gangsInEveryPass = 24; // Up to this number of waiting gangs, every pass considers all of them.
constexpr Duration gangTurnInterval{200}; // Interval between two turns of a gang beyond the first gangsInEveryPass.

} // namespace

bool CellScheduler::isWaitingGang(const StepInstance &step)
{
    return step.spec->gang && step.active == 0;
}

bool CellScheduler::isGangDue(StepInstance &step, PlacementPass &pass)
{
    const bool isUrgent = pass.hasNews || step.isStarving || hasPendingPreemption(step) || pass.waitingGangs <= gangsInEveryPass;
    const bool isFirst = pass.isFullPass && pass.consideredGangs < gangsInEveryPass;
    const bool hasTurn = pass.isFullPass && step.lastGangTurn + gangTurnInterval <= pass.time.now;
    if (!isUrgent && !isFirst && !hasTurn) {
        return false;
    }
    ++pass.consideredGangs;
    step.lastGangTurn = pass.time.now;
    step.gangReservations.clear();
    return true;
}

void CellScheduler::reapplyReservations(const StepInstance &step, PlacementPass &pass) const
{
    for (const auto &[worker, reserved] : step.gangReservations) {
        if (m_workers.at(worker) != nullptr) {
            pass.reservations.add(worker, std::max(reserved.at, pass.time.now), reserved.amount);
        }
    }
    pass.reservingGangs += step.gangReservations.empty() ? 0 : 1;
}

void CellScheduler::limitToReservations(const StepInstance &step,
                                        const SpeedPreference &preference,
                                        std::vector<CandidateWorker> &candidates,
                                        const PlacementPass &pass) const
{
    for (CandidateWorker &candidate : candidates) {
        const TimePoint end = pass.time.now + preference.durationOn(m_workers.at(candidate.worker)->speed.speedClass);
        candidate.maxTasks = pass.reservations.tasksAllowed(candidate, step.spec->demand, end);
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
        step.gangWaits.waitFor(GangWaitCause::Other, now);
        return;
    }
    const SpeedPreference preference = speedPreference(step, now);
    std::vector<CandidateWorker> candidates = candidatesFor(step, pass, CandidateSet::WorkersWithValidTicket);
    const std::array<bool, speedClassCount> classes = classesForGang(step, preference);
    removeOtherClasses(classes, candidates);
    int fittingWithoutReservations = 0;
    for (const CandidateWorker &candidate : candidates) {
        fittingWithoutReservations += tasksThatFit(step.spec->demand, candidate.free, std::min(candidate.maxTasks, count));
    }
    limitToReservations(step, preference, candidates, pass);
    step.withheldTasks = fittingWithoutReservations;
    for (const CandidateWorker &candidate : candidates) {
        step.withheldTasks -= std::min(candidate.maxTasks, count);
    }
    auto fit = fitGangBySpeed(step, preference, candidates);
    if (!fit && preemptFor(step, pass)) {
        step.gangWaits.waitFor(GangWaitCause::Room, now);
        return;
    }
    if (!fit) {
        std::vector<CandidateWorker> allowed = candidatesFor(step, pass, CandidateSet::AllowedWorkersWithReleases);
        removeOtherClasses(classes, allowed);
        reserveForGang(step, allowed, pass);
        return;
    }
    if (step.spec->sameRack && m_settings.spreadFactor > 1) {
        if (auto fitOnRack = fitOnOneRack(step, candidates)) {
            fit = std::move(fitOnRack);
        } else if (mayWaitForPlace(step) && !needsIdleWorker(step, 0, now) && waitsForOneRack(step, pass)) {
            step.gangWaits.waitFor(GangWaitCause::Other, now);
            return;
        }
    }
    step.gangFactor = 0;
    for (const TaskAllocation &allocation : *fit) {
        step.gangFactor = std::max(step.gangFactor, factorOf(*m_workers.at(allocation.worker)));
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
        + std::to_string(step.advice.evaluated.size()) + " workers asked, " + toString(timelinessOf(step, now)) + ", " + step.gangWaits.describe(now));
    step.gangWaits.clear();
}

void CellScheduler::logLateStart(StepInstance &step, TimePoint latestStart, TimePoint now) const
{
    if (!isWaitingGang(step) || step.spec->longRunning || step.isLateStartLogged || now <= latestStart) {
        return;
    }
    step.isLateStartLogged = true;
    int onAllowed = 0;
    int onRefused = 0;
    int onOthers = 0;
    for (const FreeRoom &room : freeRooms()) {
        if (isEligible(step, *room.worker)) {
            const WorkerIndex worker = room.worker->index;
            int &fitting = step.advice.find(worker) != nullptr ? onAllowed : step.advice.evaluated.count(worker) > 0 ? onRefused : onOthers;
            fitting += tasksThatFit(step.spec->demand, room.free, std::min(step.spec->count, maxFurtherTasks(step, *room.worker)));
        }
    }
    log("gang " + TaskRef{step.ref, 0}.text() + " can't start in time any more, " + std::to_string((now - step.readySince).count())
        + " ms after it was ready: " + std::to_string(step.spec->count) + " tasks, room for " + std::to_string(onAllowed) + " on "
        + std::to_string(step.advice.tickets.size()) + " allowed workers, for " + std::to_string(onRefused) + " on refused ones, for "
        + std::to_string(onOthers) + " on those not asked about, " + step.gangWaits.describe(now));
}

CellScheduler::GangRoom
CellScheduler::roomForGang(const StepInstance &step, const std::vector<CandidateWorker> &allowed, const std::vector<CandidateWorker> &availableNow) const
{
    GangRoom room;
    for (const CandidateWorker &candidate : allowed) {
        room.withReserved += tasksThatFit(step.spec->demand, candidate.free, std::min(candidate.maxTasks, step.spec->count));
        room.whenIdle += tasksThatFit(step.spec->demand, m_workers.at(candidate.worker)->info.capacity, step.spec->count);
    }
    for (const CandidateWorker &candidate : availableNow) {
        room.now += candidate.maxTasks;
    }
    return room;
}

void CellScheduler::askFurtherForGang(StepInstance &step, const GangRoom &room, const std::optional<GangForecast> &reserved, TimePoint now)
{
    const int missing = std::max(step.spec->count - room.now, 1);
    const bool lacksCapacity = room.whenIdle < step.spec->count * (step.isStarving ? minAllowedSlotsOfStarving : minAllowedSlotsPerTask);
    const bool startsBeforeAnswer = reserved && reserved->start <= now + expectedTimeToAnswer(step, now);
    // The capacity of idle workers says nothing about the room on a cell that is nearly full, so what the gang may expect now decides.
    if (lacksCapacity || (!startsBeforeAnswer && wouldFurtherWorkersSuffice(step, missing))) {
        step.missingTasks = missing;
        requestAdvice(step, now);
    }
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
    const SpeedPreference preference = speedPreference(step, now);
    limitToReservations(step, preference, availableNow, pass);
    const auto fit = fitGangBySpeed(step, preference, availableNow);
    const GangRoom room = roomForGang(step, candidates, availableNow);
    step.gangWaits.waitFor(fit ? GangWaitCause::Tickets : room.withReserved >= step.spec->count ? GangWaitCause::ReservedRoom : GangWaitCause::Room, now);
    std::optional<GangForecast> forecast;
    if (fit) {
        forecast = GangForecast{now, *fit}; // The gang only lacks valid tickets.
    } else if (pass.reservingGangs < maxGangReservations) {
        // The gang lacks capacity: at most maxGangReservations of these gangs reserve it for a later start.
        forecast = forecastGang(unreservedCandidates, step.spec->demand, step.spec->count, now);
        pass.reservingGangs += forecast ? 1 : 0;
    }
    if (!fit && settings != nullptr) {
        askFurtherForGang(step, room, forecast, now);
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
        step.gangReservations.emplace_back(allocation.worker, TimedResources{forecast->start, reserved});
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
        // The other members wait for the slowest one.
        auto candidate = candidates.end();
        for (auto option = candidates.begin(); option != candidates.end(); ++option) {
            const bool isFitting = option->maxTasks > 0 && step.spec->demand.fitsIn(option->free);
            if (isFitting
                && (candidate == candidates.end() || m_workers.at(option->worker)->speed.speedClass < m_workers.at(candidate->worker)->speed.speedClass)) {
                candidate = option;
            }
        }
        if (candidate == candidates.end()) {
            return;
        }
        step.gangFactor = std::max(step.gangFactor, factorOf(*m_workers.at(candidate->worker)));
        startTask(step, index, *m_workers.at(candidate->worker), step.gangRun, pass);
        candidate->free -= step.spec->demand;
        --candidate->maxTasks;
    }
}

} // namespace KingCupLadder
