// Service levels: windowed counts of good and bad requests for each route and team against the objective of the route, and
// what follows from them. Counts of several daemons add up; the client merges them.
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

/// The state of one objective for one team.
struct SloReport {
    RouteName route;
    TeamId team;
    Objective objective;
    std::uint64_t good = 0; ///< In the whole window.
    std::uint64_t bad = 0;
    std::uint64_t shortGood = 0; ///< In the last twelfth of the window.
    std::uint64_t shortBad = 0;
    double budgetUsed = 0.0; ///< Bad part divided by the allowed part, over the whole window; 1 is all of it.
    double burnLong = 0.0; ///< Burn rate over the whole window; 1 uses the budget up exactly at its end.
    double burnShort = 0.0; ///< Burn rate over the last twelfth.
    std::optional<Duration> exhaustion; ///< Until the budget is used up at the short burn rate; empty if it does not run out.
};

class SloTracker
{
public:
    /// Counts one request. It is good if it did not fail and waited at most the target.
    void count(const RouteName &route, const TeamId &team, const Objective &objective, bool good, TimePoint now);
    [[nodiscard]] std::vector<SloReport> reports(TimePoint now) const;
    /// The body of GET /v1/slo.
    [[nodiscard]] std::string toJson(const DaemonId &daemon, TimePoint now) const;

private:
    static constexpr std::size_t buckets = 60; ///< Of one window.
    static constexpr std::size_t shortBuckets = 5;

    struct Bucket {
        std::int64_t index = -1; ///< Number of the bucket since the clock's start; tells an old bucket from a current one.
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
    };
    struct Series {
        Objective objective;
        std::array<Bucket, buckets> ring;
    };
    [[nodiscard]] static SloReport makeReport(const RouteName &route, const TeamId &team, const Series &series, TimePoint now);

    std::map<std::pair<RouteName, TeamId>, Series> m_series;
};

} // namespace KingCupLadder
