// Order of late gangs among the waiting steps of CellScheduler.
#include "placementpass.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

// About the duration of a task. Steps of the lowest priority whose latest start is nearer keep their place, so that they do not become late.
constexpr Duration minSlackToWait{2000};
constexpr int lateGangTierOffset = 20; // For late gangs that come before work that can wait.
constexpr int canWaitTier = 45; // For work of the lowest priority that can wait for them; before all other late work.

} // namespace

void CellScheduler::rankLateGangsBeforeSlack(std::vector<OrderedStep> &steps, TimePoint now) const
{
    int lowest = 0;
    for (const auto &[key, step] : steps) {
        lowest = std::max(lowest, key.first < missedSoftDeadlineTierOffset ? key.first : 0);
    }
    const auto mayMove = [lowest](const OrderedStep &entry) {
        const int tier = entry.first.first;
        return entry.second->spec->gang && tier >= missedSoftDeadlineTierOffset && tier < missedSoftDeadlineTierOffset + lowest;
    };
    if (std::none_of(steps.begin(), steps.end(), mayMove)) {
        return;
    }
    for (OrderedStep &entry : steps) {
        int &tier = entry.first.first;
        if (mayMove(entry)) {
            tier += lateGangTierOffset - missedSoftDeadlineTierOffset;
        } else if (tier == lowest && entry.first.second > now + minSlackToWait) {
            tier = canWaitTier;
        }
    }
}

} // namespace KingCupLadder
