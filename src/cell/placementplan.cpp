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
    // Without new placements free capacity only grows, so the releases are applied in the order of their times until the gang fits. The
    // candidates' lists are sorted, and only their next entries are compared, since the gang usually fits long before the last release.
    struct NextRelease {
        TimePoint at;
        std::size_t candidate;
        std::size_t index; ///< In CandidateWorker::releases.
        bool operator<(const NextRelease &other) const
        {
            return other.at < at; // The standard heap has its largest element first, which is to be the earliest release.
        }
    };
    std::vector<CandidateWorker> later = candidates;
    std::vector<NextRelease> next;
    int fitting = 0;
    const auto fitsOf = [&](const CandidateWorker &candidate) { return tasksThatFit(demand, candidate.free, std::min(candidate.maxTasks, count)); };
    const auto addNext = [&](std::size_t candidate, std::size_t index) {
        const std::vector<TimedResources> *releases = candidates[candidate].releases;
        if (releases != nullptr && index < releases->size()) {
            next.push_back(NextRelease{std::max((*releases)[index].at, now), candidate, index});
            std::push_heap(next.begin(), next.end());
        }
    };
    for (std::size_t i = 0; i < later.size(); ++i) {
        fitting += fitsOf(later[i]);
        addNext(i, 0);
    }
    TimePoint start = now;
    while (!next.empty() && (fitting < count || next.front().at <= start)) {
        std::pop_heap(next.begin(), next.end());
        const NextRelease release = next.back();
        next.pop_back();
        start = std::max(start, release.at);
        CandidateWorker &candidate = later[release.candidate];
        fitting -= fitsOf(candidate);
        candidate.free += (*candidate.releases)[release.index].amount;
        fitting += fitsOf(candidate);
        addNext(release.candidate, release.index + 1);
    }
    if (fitting < count) {
        return std::nullopt;
    }
    return GangForecast{start, *fitGang(later, demand, count)};
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
