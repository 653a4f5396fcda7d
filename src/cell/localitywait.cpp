// Compares the expected ends in both places, and derives the expected room from the releases of capacity.
#include "localitywait.h"

#include <algorithm>

namespace KingCupLadder {

bool shouldWaitForPlace(const LocalityWaitInput &input)
{
    const TimePoint since = input.waitingSince == TimePoint() ? input.now : input.waitingSince;
    if (!(input.spreadFactor > 1) || input.now >= since + maxLocalityWait || input.placeFree > since + maxLocalityWait) {
        return false;
    }
    if (input.placeFree > input.latestStart || input.now > input.latestStart) {
        return false;
    }
    const double msElsewhere = static_cast<double>(input.estimate.count()) * input.spreadFactor;
    const double msThere = static_cast<double>((input.placeFree - input.now + input.estimate).count());
    return msThere < msElsewhere;
}

std::vector<TimePoint> expectedSlots(const std::vector<CandidateWorker> &candidates, const Resources &demand, std::size_t limit, TimePoint now, TimePoint until)
{
    std::vector<TimePoint> slots;
    const int perWorker = static_cast<int>(limit);
    for (const CandidateWorker &candidate : candidates) {
        const int most = std::min(candidate.maxTasks, perWorker);
        Resources free = candidate.free;
        int found = tasksThatFit(demand, free, most);
        slots.insert(slots.end(), static_cast<std::size_t>(std::max(found, 0)), now);
        if (candidate.releases == nullptr) {
            continue;
        }
        for (const TimedResources &release : *candidate.releases) {
            if (release.at > until || found >= most) {
                break;
            }
            free += release.amount;
            const int fitting = tasksThatFit(demand, free, most);
            slots.insert(slots.end(), static_cast<std::size_t>(std::max(fitting - found, 0)), std::max(release.at, now));
            found = std::max(found, fitting);
        }
    }
    std::sort(slots.begin(), slots.end());
    slots.resize(std::min(slots.size(), limit));
    return slots;
}

} // namespace KingCupLadder
