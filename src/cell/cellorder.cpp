// Order of late steps among the waiting steps of CellScheduler.
#include "placementpass.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

// About the duration of a task. Steps of the lowest priority whose latest start is nearer keep their place, so that they do not become late.
constexpr Duration minSlackToWait{2000};

} // namespace

void CellScheduler::rankLateStepsBeforeSlack(std::vector<OrderedStep> &steps, TimePoint now) const
{
    const auto isLate = [](int tier) { return tier >= missedSoftDeadlineTierOffset && tier < missedFirmDeadlineTierOffset; };
    int lowest = 0;
    for (const auto &[key, step] : steps) {
        lowest = std::max(lowest, key.first < missedSoftDeadlineTierOffset ? key.first : 0);
    }
    const int firstTierOfLowest = missedSoftDeadlineTierOffset + lowest;
    const bool hasLateStepOfHigherPriority =
        std::any_of(steps.begin(), steps.end(), [&](const OrderedStep &entry) { return isLate(entry.first.first) && entry.first.first < firstTierOfLowest; });
    if (!hasLateStepOfHigherPriority) {
        return;
    }
    for (auto &[key, step] : steps) {
        if (key.first == lowest && key.second > now + minSlackToWait) {
            key.first = firstTierOfLowest; // After the late steps of higher priorities.
        } else if (isLate(key.first) && key.first >= firstTierOfLowest) {
            ++key.first;
        }
    }
}

} // namespace KingCupLadder
