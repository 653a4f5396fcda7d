// Service level objectives (SLOs): counts good and bad requests per route and team in the window of the route's objective, and
// derives burn rates and the use of the error budget. Each daemon counts only its own requests; the client adds up the counts of all daemons.
#pragma once

#include "core/ids.h"
#include "core/tables.h"
#include "core/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// State of one SLO for one team.
struct SloReport {
    RouteName route;
    TeamId team;
    Objective objective;
    std::uint64_t good = 0; ///< In the whole window.
    std::uint64_t bad = 0;
    std::uint64_t shortGood = 0; ///< In the last twelfth of the window.
    std::uint64_t shortBad = 0;
    double budgetUsed = 0.0; ///< Share of bad requests divided by the allowed share, over the whole window; 1 is the whole budget.
    double burnLong = 0.0; ///< Burn rate over the whole window; a rate of 1 exhausts the budget exactly at the end of the window.
    double burnShort = 0.0; ///< Burn rate over the last twelfth of the window.
    std::optional<Duration> exhaustion; ///< Time until the budget is exhausted at the short burn rate; empty if that rate is 0.
};

class SloTracker
{
public:
    /// Counts one request. A request is good if it had no error, its status is below 500 and it waited no longer than the target.
    void countRequest(const RouteName &route, const TeamId &team, const Objective &objective, bool good, TimePoint now);
    [[nodiscard]] std::vector<SloReport> reports(TimePoint now) const;
    /// Returns the body of GET /v1/slo.
    [[nodiscard]] std::string toJson(const DaemonId &daemon, TimePoint now) const;

private:
    static constexpr std::size_t bucketCount = 60; ///< Buckets of one window.
    static constexpr std::size_t shortBucketCount = 5; ///< The last twelfth of the window.

    struct Bucket {
        std::int64_t index = -1; ///< Bucket number since the clock's epoch; distinguishes current buckets from expired ones.
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
    };
    struct Series {
        Objective objective;
        std::array<Bucket, bucketCount> ring;
    };
    [[nodiscard]] static SloReport makeReport(const RouteName &route, const TeamId &team, const Series &series, TimePoint now);

    std::map<std::pair<RouteName, TeamId>, Series> m_series;
};

} // namespace KingCupLadder
