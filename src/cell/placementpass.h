// State of one placement pass, shared by the source files that place tasks and gangs.
#pragma once

#include "cellscheduler_p.h"

#include <algorithm>
#include <map>
#include <vector>

namespace KingCupLadder {

/// A run that is due or is being stopped is assumed to continue for at least this time.
constexpr Duration overrunEstimate{200};
/// Offsets added to the priority of a route. The tiers do not overlap as long as route priorities are below 20. Work above its workspace's
/// rate that also misses a deadline gets both offsets. This one is for work that will miss its soft deadline, so that work that can meet it goes
/// first; see also CellScheduler::rankLateGangsBeforeSlack().
constexpr int missedSoftDeadlineTierOffset = 50;
/// For work that will miss its firm deadline and be worthless; it goes after late work.
constexpr int missedFirmDeadlineTierOffset = 70;
/// Gangs per pass that may reserve capacity for a later start; reservations withhold it from other steps.
constexpr int maxGangReservations = 8;

/// State of one placement pass.
struct CellScheduler::PlacementPass {
    CellOrders &orders;
    CellTime time;
    Reservations reservations;
    Resources gangTaskDemand; ///< Mean demand of the tasks of the waiting gangs.
    int reservingGangs = 0; ///< Gangs that have reserved capacity for a later start.
    int startingGangs = 0; ///< Gangs that have reserved capacity while their tickets are renewed.
    bool isFullPass = false;
    int preemptionPlans = 0; ///< Steps for which runs to stop were looked for.
    int idleReservations = 0; ///< Workers that are reserved for a suspect as soon as they have no runs.
    std::map<WorkerIndex, std::vector<TimedResources>> idleReleases; ///< Like releases, with one entry: the whole worker after its last run.
    std::map<WorkerIndex, std::vector<TimedResources>> releases; ///< Filled on demand. Candidates point to the entries, whose addresses are stable.

    const std::vector<TimedResources> &releasesOf(const Worker &worker)
    {
        const auto [entry, isNew] = releases.try_emplace(worker.index);
        if (isNew) {
            for (const auto &[key, run] : worker.runs) {
                const TimePoint soon = time.now + overrunEstimate;
                if (run.phase == RunPhase::Stopping) {
                    entry->second.push_back(TimedResources{soon, run.demand});
                } else if (!run.isLongRunning) {
                    // An overrun run is expected to last as long again as it has overrun.
                    const TimePoint expectedEnd = std::max(run.expectedEnd, time.now + (time.now - run.expectedEnd));
                    entry->second.push_back(TimedResources{std::max(expectedEnd, soon), run.demand});
                }
            }
            std::sort(entry->second.begin(), entry->second.end(), [](const TimedResources &a, const TimedResources &b) { return a.at < b.at; });
        }
        return entry->second;
    }

    const std::vector<TimedResources> &idleReleaseOf(const Worker &worker)
    {
        std::vector<TimedResources> &release = idleReleases[worker.index];
        if (release.empty()) {
            const bool isNeverIdle = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &entry) { return entry.second.isLongRunning; });
            const std::vector<TimedResources> &all = releasesOf(worker);
            release.push_back(TimedResources{isNeverIdle ? TimePoint::max() : all.empty() ? time.now : all.back().at, worker.info.capacity});
        }
        return release;
    }
};

} // namespace KingCupLadder
