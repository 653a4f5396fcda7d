// Counts each SLO in a ring of buckets that covers the window of its objective.
#include "slo.h"

#include "jsonfields.h"

#include <algorithm>
#include <cmath>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxSeries = 4000; // About 1.5 KB each; further pairs of route and team are not counted.

Duration bucketDuration(const Objective &objective, std::size_t bucketCount)
{
    return std::max(objective.window / static_cast<std::int64_t>(bucketCount), Duration(1));
}

std::int64_t bucketIndex(const Objective &objective, std::size_t bucketCount, TimePoint now)
{
    return now.time_since_epoch() / bucketDuration(objective, bucketCount);
}

bool isSameObjective(const Objective &a, const Objective &b)
{
    return a.targetWait == b.targetWait && a.share == b.share && a.window == b.window;
}

/// Returns the share of bad requests divided by the allowed share.
double burnRate(std::uint64_t good, std::uint64_t bad, const Objective &objective)
{
    const double allowedShare = std::max(1.0 - objective.share, 1e-9); // Avoids a division by zero for a share of 1.
    const std::uint64_t total = good + bad;
    return total == 0 ? 0.0 : static_cast<double>(bad) / static_cast<double>(total) / allowedShare;
}

} // namespace

void SloTracker::countRequest(const RouteName &route, const TeamId &team, const Objective &objective, bool good, TimePoint now)
{
    const std::pair<RouteName, TeamId> key(route, team);
    if (m_series.size() >= maxSeries && m_series.count(key) == 0) {
        return;
    }
    Series &series = m_series[key];
    if (!isSameObjective(series.objective, objective)) {
        series = Series{objective, {}}; // The counts were made for a different objective.
    }
    const std::int64_t index = bucketIndex(objective, bucketCount, now);
    Bucket &bucket = series.ring.at(static_cast<std::size_t>(index) % bucketCount);
    if (bucket.index != index) {
        bucket = Bucket{index, 0, 0};
    }
    ++(good ? bucket.good : bucket.bad);
}

SloReport SloTracker::makeReport(const RouteName &route, const TeamId &team, const Series &series, TimePoint now)
{
    SloReport report;
    report.route = route;
    report.team = team;
    report.objective = series.objective;
    const std::int64_t current = bucketIndex(series.objective, bucketCount, now);
    for (const Bucket &bucket : series.ring) {
        const std::int64_t age = current - bucket.index;
        if (bucket.index < 0 || age >= static_cast<std::int64_t>(bucketCount)) {
            continue;
        }
        report.good += bucket.good;
        report.bad += bucket.bad;
        if (age < static_cast<std::int64_t>(shortBucketCount)) {
            report.shortGood += bucket.good;
            report.shortBad += bucket.bad;
        }
    }
    report.burnLong = burnRate(report.good, report.bad, series.objective);
    report.burnShort = burnRate(report.shortGood, report.shortBad, series.objective);
    report.budgetUsed = report.burnLong; // Both divide the share of bad requests in the whole window by the allowed share.
    // A burn rate of 1 uses the whole budget in one window.
    const double remainingBudget = std::max(1.0 - report.budgetUsed, 0.0);
    if (report.burnShort > 0.0) {
        report.exhaustion = Duration(std::llround(remainingBudget / report.burnShort * static_cast<double>(series.objective.window.count())));
    }
    return report;
}

std::vector<SloReport> SloTracker::reports(TimePoint now) const
{
    std::vector<SloReport> reports;
    for (const auto &[key, series] : m_series) {
        reports.push_back(makeReport(key.first, key.second, series, now));
    }
    return reports;
}

std::string SloTracker::toJson(const DaemonId &daemon, TimePoint now) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const SloReport &report : reports(now)) {
        list.push_back({{"route", report.route.value()},
                        {"team", report.team.value()},
                        {"targetMs", report.objective.targetWait.count()},
                        {"share", report.objective.share},
                        {"windowMs", report.objective.window.count()},
                        {"good", report.good},
                        {"total", report.good + report.bad},
                        {"shortGood", report.shortGood},
                        {"shortBad", report.shortBad},
                        {"budgetUsed", report.budgetUsed},
                        {"burnShort", report.burnShort},
                        {"burnLong", report.burnLong},
                        {"exhaustionMs", report.exhaustion ? nlohmann::json(report.exhaustion->count()) : nlohmann::json()}});
    }
    return dumpJson({{"daemon", daemon.value()}, {"routes", std::move(list)}});
}

} // namespace KingCupLadder
