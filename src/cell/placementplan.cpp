// Gang placement, start forecasts and reservations.
#include "placementplan.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

/// Returns how many times @p demand fits into @p available, at most @p limit.
int countThatFits(std::int64_t available, std::int64_t demand, int limit)
{
    if (demand <= 0) {
        return limit;
    }
    return static_cast<int>(std::clamp<std::int64_t>(available / demand, 0, limit));
}

} // namespace

int tasksThatFit(const Resources &demand, const Resources &available, int limit)
{
    // Slots are not considered: the tasks and workers of a cell have none.
    int fits = countThatFits(available.cpu.value(), demand.cpu.value(), limit);
    fits = std::min(fits, countThatFits(available.memory.value(), demand.memory.value(), limit));
    return std::min(fits, countThatFits(available.accelerators.value(), demand.accelerators.value(), limit));
}

std::optional<std::vector<TaskAllocation>> fitGang(const std::vector<CandidateWorker> &candidates, const Resources &demand, int count)
{
    std::vector<TaskAllocation> allocations;
    for (const CandidateWorker &candidate : candidates) {
        const int fits = tasksThatFit(demand, candidate.free, candidate.maxTasks);
        if (fits > 0) {
            allocations.push_back(TaskAllocation{candidate.worker, fits});
        }
    }
    std::stable_sort(allocations.begin(), allocations.end(), [](const TaskAllocation &a, const TaskAllocation &b) { return a.tasks > b.tasks; });
    int left = count;
    std::size_t used = 0;
    for (; used < allocations.size() && left > 0; ++used) {
        allocations[used].tasks = std::min(allocations[used].tasks, left);
        left -= allocations[used].tasks;
    }
    if (left > 0) {
        return std::nullopt;
    }
    allocations.resize(used);
    return allocations;
}

std::optional<GangForecast> forecastGang(const std::vector<CandidateWorker> &candidates, const Resources &demand, int count, TimePoint now)
{
    std::vector<TimePoint> moments{now};
    static const std::vector<TimedResources> none;
    const auto releasesOf = [](const CandidateWorker &candidate) -> const std::vector<TimedResources> & {
        return candidate.releases != nullptr ? *candidate.releases : none;
    };
    for (const CandidateWorker &candidate : candidates) {
        for (const TimedResources &release : releasesOf(candidate)) {
            moments.push_back(std::max(release.at, now));
        }
    }
    std::sort(moments.begin(), moments.end());
    moments.erase(std::unique(moments.begin(), moments.end()), moments.end());
    const auto candidatesAt = [&candidates, &releasesOf](TimePoint at) {
        std::vector<CandidateWorker> later;
        for (const CandidateWorker &candidate : candidates) {
            CandidateWorker copy{candidate.worker, candidate.free, candidate.maxTasks, nullptr};
            for (const TimedResources &release : releasesOf(candidate)) {
                if (release.at <= at) {
                    copy.free += release.amount;
                }
            }
            later.push_back(copy);
        }
        return later;
    };
    // Without new placements free capacity only grows, so a binary search finds the first time at which the gang fits.
    const auto first =
        std::partition_point(moments.begin(), moments.end(), [&](TimePoint at) { return !fitGang(candidatesAt(at), demand, count).has_value(); });
    if (first == moments.end()) {
        return std::nullopt;
    }
    return GangForecast{*first, *fitGang(candidatesAt(*first), demand, count)};
}

void Reservations::add(std::size_t worker, TimePoint at, const Resources &amount)
{
    std::vector<TimedResources> &reserved = m_reserved[worker];
    reserved.push_back(TimedResources{at, amount});
    std::stable_sort(reserved.begin(), reserved.end(), [](const TimedResources &a, const TimedResources &b) { return a.at < b.at; });
}

bool Reservations::hasReservation(std::size_t worker) const
{
    return m_reserved.count(worker) > 0;
}

bool Reservations::allows(const CandidateWorker &candidate, const Resources &demand, TimePoint end) const
{
    const auto found = m_reserved.find(candidate.worker);
    if (found == m_reserved.end()) {
        return true;
    }
    // If the task still runs at the time of a reservation, its demand and everything reserved up to that time must fit together.
    Resources needed = demand;
    for (const TimedResources &reservation : found->second) {
        needed += reservation.amount;
        if (end <= reservation.at) {
            continue;
        }
        Resources then = candidate.free;
        for (std::size_t i = 0; candidate.releases != nullptr && i < candidate.releases->size(); ++i) {
            const TimedResources &release = (*candidate.releases)[i];
            if (release.at <= reservation.at) {
                then += release.amount;
            }
        }
        if (!needed.fitsIn(then)) {
            return false;
        }
    }
    return true;
}

int Reservations::tasksAllowed(const CandidateWorker &candidate, const Resources &demand, TimePoint end) const
{
    int tasks = tasksThatFit(demand, candidate.free, candidate.maxTasks);
    while (tasks > 0 && !allows(candidate, demand * tasks, end)) {
        --tasks;
    }
    return tasks;
}

CandidateWorker Reservations::withoutReserved(CandidateWorker candidate) const
{
    const auto found = m_reserved.find(candidate.worker);
    if (found != m_reserved.end()) {
        for (const TimedResources &reservation : found->second) {
            candidate.free -= reservation.amount;
        }
        candidate.free = candidate.free.clampedToNonNegative();
    }
    return candidate;
}

} // namespace KingCupLadder
