// Decides whether a task or a gang waits for a place near its data, or on one rack, where it takes less time than elsewhere.
#pragma once

#include "core/units.h"
#include "placementplan.h"

#include <vector>

namespace KingCupLadder {

/// Upper bound of a wait for a place, from the first decision to wait on. A step that has waited 2 s without a run counts as starving, and a wait
/// may not lead to that.
constexpr Duration maxLocalityWait{1500};

struct LocalityWaitInput {
    TimePoint now;
    Duration estimate{0}; ///< Duration in the preferred place.
    double spreadFactor = 1; ///< The work takes this many times as long elsewhere.
    TimePoint placeFree; ///< When the preferred place is expected to have room.
    TimePoint latestStart; ///< Latest start that still meets the objective.
    TimePoint waitingSince; ///< When the step first decided to wait; zero: it has not.
};

/// Whether the work is expected to end earlier in the preferred place than if it starts elsewhere now, and may still wait for it.
[[nodiscard]] bool shouldWaitForPlace(const LocalityWaitInput &input);

/// Times at which successive tasks of @p demand are expected to find room on the candidates, earliest first; at most @p limit, none after @p until.
[[nodiscard]] std::vector<TimePoint>
expectedSlots(const std::vector<CandidateWorker> &candidates, const Resources &demand, std::size_t limit, TimePoint now, TimePoint until);

} // namespace KingCupLadder
