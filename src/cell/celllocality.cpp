// Waits of CellScheduler for a place: of tasks for the rack with their data, and of gangs for one rack with room for all members.
#include "localitywait.h"
#include "placementpass.h"

#include <algorithm>

namespace KingCupLadder {

bool CellScheduler::mayWaitForPlace(const StepInstance &step) const
{
    // A starving step takes any place. The estimate of a service says nothing about its duration.
    return m_settings.spreadFactor > 1 && !step.isStarving && !step.spec->longRunning;
}

bool CellScheduler::waitsForPlace(StepInstance &step, TimePoint placeFree, const std::string &place, TimePoint now)
{
    LocalityWaitInput input;
    input.now = now;
    input.estimate = step.spec->estimate;
    input.spreadFactor = m_settings.spreadFactor;
    input.placeFree = placeFree;
    input.latestStart = priorityKey(step, now).second;
    input.waitingSince = step.placeWaitSince;
    if (!shouldWaitForPlace(input)) {
        return false;
    }
    if (step.placeWaitSince == TimePoint()) {
        step.placeWaitSince = now;
        ++m_counters.localityWaits;
        log("step " + TaskRef{step.ref, 0}.text() + " waits for " + place + ": expected to have room in " + std::to_string((placeFree - now).count())
            + " ms, estimate " + std::to_string(step.spec->estimate.count()) + " ms, latest start in "
            + std::to_string(std::chrono::duration_cast<Duration>(input.latestStart - now).count()) + " ms");
    }
    return true;
}

std::vector<TimePoint> CellScheduler::slotsOnPreferredRack(const StepInstance &step, const std::vector<CandidateWorker> &candidates, PlacementPass &pass)
{
    std::vector<CandidateWorker> onRack;
    for (const CandidateWorker &candidate : candidates) {
        const Worker &worker = *m_workers.at(candidate.worker);
        const std::vector<std::string> &labels = worker.info.labels;
        if (std::find(labels.begin(), labels.end(), step.spec->preferredRack) != labels.end()) {
            onRack.push_back(pass.reservations.withoutReserved(candidate));
            onRack.back().releases = &pass.releasesOf(worker);
        }
    }
    const TimePoint now = pass.time.now;
    return expectedSlots(onRack, step.spec->demand, static_cast<std::size_t>(step.spec->count), now, now + maxLocalityWait);
}

std::map<std::string, std::vector<CandidateWorker>> CellScheduler::candidatesByRack(const std::vector<CandidateWorker> &candidates) const
{
    std::map<std::string, std::vector<CandidateWorker>> racks;
    for (const CandidateWorker &candidate : candidates) {
        const std::string &rack = m_workers.at(candidate.worker)->info.rack;
        if (!rack.empty()) {
            racks[rack].push_back(candidate);
        }
    }
    return racks;
}

std::optional<std::vector<TaskAllocation>> CellScheduler::fitOnOneRack(const StepInstance &step, const std::vector<CandidateWorker> &candidates) const
{
    std::optional<std::vector<TaskAllocation>> best;
    for (const auto &[rack, members] : candidatesByRack(candidates)) {
        auto fit = fitGang(members, step.spec->demand, step.spec->count);
        if (fit && (!best || fit->size() < best->size())) {
            best = std::move(fit);
        }
    }
    return best;
}

bool CellScheduler::waitsForOneRack(StepInstance &step, PlacementPass &pass)
{
    if (pass.reservingGangs >= maxGangReservations) {
        return false;
    }
    const TimePoint now = pass.time.now;
    const std::vector<CandidateWorker> candidates = candidatesFor(step, pass, CandidateSet::AllowedWorkersWithReleases);
    std::vector<CandidateWorker> unreserved;
    unreserved.reserve(candidates.size());
    for (const CandidateWorker &candidate : candidates) {
        unreserved.push_back(pass.reservations.withoutReserved(candidate));
    }
    std::optional<GangForecast> best;
    std::string bestRack;
    for (const auto &[rack, members] : candidatesByRack(unreserved)) {
        auto forecast = forecastGang(members, step.spec->demand, step.spec->count, now);
        if (forecast && (!best || forecast->start < best->start)) {
            best = std::move(forecast);
            bestRack = rack;
        }
    }
    if (!best || !waitsForPlace(step, best->start, "rack " + bestRack, now)) {
        return false;
    }
    ++pass.reservingGangs;
    if (adviceSettings(step) != nullptr) {
        renewTicketsForGang(step, *best, candidates, now);
    }
    for (const TaskAllocation &allocation : best->allocations) {
        pass.reservations.add(allocation.worker, best->start, step.spec->demand * allocation.tasks);
    }
    return true;
}

} // namespace KingCupLadder
