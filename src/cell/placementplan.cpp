// Gang placement and reservations.
#include "placementplan.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

int divide(std::int64_t room, std::int64_t demand, int most)
{
    if (demand <= 0) {
        return most;
    }
    return static_cast<int>(std::clamp<std::int64_t>(room / demand, 0, most));
}

} // namespace

int tasksThatFit(const Resources &demand, const Resources &room, int most)
{
    int fits = divide(room.cpu.value(), demand.cpu.value(), most);
    fits = std::min(fits, divide(room.memory.value(), demand.memory.value(), most));
    return std::min(fits, divide(room.accelerators.value(), demand.accelerators.value(), most));
}

std::optional<std::vector<Share>> fitGang(const std::vector<CandidateWorker> &rooms, const Resources &demand, int count)
{
    std::vector<Share> shares;
    for (const CandidateWorker &room : rooms) {
        const int fits = tasksThatFit(demand, room.free, room.maxTasks);
        if (fits > 0) {
            shares.push_back(Share{room.worker, fits});
        }
    }
    std::stable_sort(shares.begin(), shares.end(), [](const Share &a, const Share &b) { return a.tasks > b.tasks; });
    int left = count;
    std::size_t used = 0;
    for (; used < shares.size() && left > 0; ++used) {
        shares[used].tasks = std::min(shares[used].tasks, left);
        left -= shares[used].tasks;
    }
    if (left > 0) {
        return std::nullopt;
    }
    shares.resize(used);
    return shares;
}

std::optional<GangForecast> forecastGang(const std::vector<CandidateWorker> &rooms, const Resources &demand, int count, TimePoint now)
{
    std::vector<TimePoint> moments{now};
    static const std::vector<Release> none;
    const auto releasesOf = [](const CandidateWorker &room) -> const std::vector<Release> & { return room.releases != nullptr ? *room.releases : none; };
    for (const CandidateWorker &room : rooms) {
        for (const Release &release : releasesOf(room)) {
            moments.push_back(std::max(release.at, now));
        }
    }
    std::sort(moments.begin(), moments.end());
    moments.erase(std::unique(moments.begin(), moments.end()), moments.end());
    const auto roomsAt = [&rooms, &releasesOf](TimePoint at) {
        std::vector<CandidateWorker> later;
        for (const CandidateWorker &room : rooms) {
            CandidateWorker copy{room.worker, room.free, room.maxTasks, nullptr};
            for (const Release &release : releasesOf(room)) {
                if (release.at <= at) {
                    copy.free += release.amount;
                }
            }
            later.push_back(copy);
        }
        return later;
    };
    // Room only grows over time, so the first moment at which the gang fits is found by bisection.
    const auto first = std::partition_point(moments.begin(), moments.end(), [&](TimePoint at) { return !fitGang(roomsAt(at), demand, count).has_value(); });
    if (first == moments.end()) {
        return std::nullopt;
    }
    return GangForecast{*first, *fitGang(roomsAt(*first), demand, count)};
}

void Reservations::add(std::size_t worker, TimePoint at, const Resources &amount)
{
    std::vector<Release> &reserved = m_reserved[worker];
    reserved.push_back(Release{at, amount});
    std::stable_sort(reserved.begin(), reserved.end(), [](const Release &a, const Release &b) { return a.at < b.at; });
}

bool Reservations::concern(std::size_t worker) const
{
    return m_reserved.count(worker) > 0;
}

bool Reservations::allows(const CandidateWorker &room, const Resources &demand, TimePoint end) const
{
    const auto found = m_reserved.find(room.worker);
    if (found == m_reserved.end()) {
        return true;
    }
    Resources needed = demand;
    for (const Release &reservation : found->second) {
        needed += reservation.amount;
        if (end <= reservation.at) {
            continue;
        }
        Resources then = room.free;
        for (std::size_t i = 0; room.releases != nullptr && i < room.releases->size(); ++i) {
            const Release &release = (*room.releases)[i];
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

int Reservations::tasksAllowed(const CandidateWorker &room, const Resources &demand, TimePoint end) const
{
    int tasks = tasksThatFit(demand, room.free, room.maxTasks);
    while (tasks > 0 && !allows(room, demand * tasks, end)) {
        --tasks;
    }
    return tasks;
}

CandidateWorker Reservations::without(CandidateWorker room) const
{
    const auto found = m_reserved.find(room.worker);
    if (found != m_reserved.end()) {
        for (const Release &reservation : found->second) {
            room.free -= reservation.amount;
        }
        room.free = room.free.clampedToNonNegative();
    }
    return room;
}

} // namespace KingCupLadder
