// Order of the workers on which a single task may start, and what it depends on for each class of speed.
#pragma once

#include "core/resources.h"
#include "workerspeeds.h"

#include <array>
#include <tuple>

namespace KingCupLadder {

/// Order of the workers that a single task may start on; the lowest rank is the best.
struct PlacementRank {
    bool hasFailedThere = false; ///< The task has failed on the worker.
    bool isOtherRack = false; ///< The worker is in another rack than the preferred one.
    int speedOrder = 0; ///< See SpeedPreference::order.
    int lostGangTasks = 0; ///< How many fewer tasks of an average gang fit on the worker afterwards.
    MilliCores freeAfter; ///< Best fit: the fullest worker comes first.

    friend bool operator<(const PlacementRank &a, const PlacementRank &b)
    {
        return std::tie(a.hasFailedThere, a.isOtherRack, a.speedOrder, a.lostGangTasks, a.freeAfter)
            < std::tie(b.hasFailedThere, b.isOtherRack, b.speedOrder, b.lostGangTasks, b.freeAfter);
    }
};

/// Which classes of workers suit the tasks of one step now. Computed once for a step, not for each candidate.
struct SpeedPreference {
    std::array<Duration, speedClassCount> duration{}; ///< Expected duration of a task.
    std::array<bool, speedClassCount> isInTime{}; ///< Whether a task that starts now ends in time.
    std::array<int, speedClassCount> order{}; ///< Lower is better; equal for fast and slow workers if the cell has no separate groups.
    bool hasChoice = false; ///< Fast and slow workers differ.
    bool mayWaitForFast = false; ///< A task is late on a slow worker, and not yet on a fast one.

    [[nodiscard]] Duration durationOn(SpeedClass speed) const
    {
        return duration[static_cast<std::size_t>(speed)];
    }
    [[nodiscard]] bool isInTimeOn(SpeedClass speed) const
    {
        return isInTime[static_cast<std::size_t>(speed)];
    }
    [[nodiscard]] int orderOf(SpeedClass speed) const
    {
        return order[static_cast<std::size_t>(speed)];
    }
};

} // namespace KingCupLadder
