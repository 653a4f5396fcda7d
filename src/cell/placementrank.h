// Order of the workers on which a single task may start.
#pragma once

#include "core/resources.h"

#include <tuple>

namespace KingCupLadder {

/// Order of the workers that a single task may start on; the lowest rank is the best.
struct PlacementRank {
    bool hasFailedThere = false; ///< The task has failed on the worker.
    bool isOtherRack = false; ///< The worker is in another rack than the preferred one.
    int lostGangTasks = 0; ///< How many fewer tasks of an average gang fit on the worker afterwards.
    MilliCores freeAfter; ///< Best fit: the fullest worker comes first.

    friend bool operator<(const PlacementRank &a, const PlacementRank &b)
    {
        return std::tie(a.hasFailedThere, a.isOtherRack, a.lostGangTasks, a.freeAfter)
            < std::tie(b.hasFailedThere, b.isOtherRack, b.lostGangTasks, b.freeAfter);
    }
};

} // namespace KingCupLadder
