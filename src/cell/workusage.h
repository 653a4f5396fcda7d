// CPU time of runs that have ended, for logs and metrics.
#pragma once

#include <cstdint>
#include <map>
#include <tuple>

namespace KingCupLadder {

/// What a run could still achieve for its job when it started.
enum class Timeliness {
    InTime,
    Late, ///< The job misses its objective.
    Worthless, ///< The result comes too late to be of use.
};

[[nodiscard]] inline const char *toString(Timeliness timeliness)
{
    return timeliness == Timeliness::InTime ? "in time" : timeliness == Timeliness::Late ? "late" : "worthless";
}

/// Totals since the scheduler was created.
struct WorkUsage {
    struct Key {
        int priority = 0; ///< Of the route.
        Timeliness timeliness = Timeliness::InTime; ///< At the start of the run.
        bool hasSucceeded = false;

        friend bool operator<(const Key &a, const Key &b)
        {
            return std::tie(a.priority, a.timeliness, a.hasSucceeded) < std::tie(b.priority, b.timeliness, b.hasSucceeded);
        }
    };
    std::map<Key, std::uint64_t> coreMs; ///< Allocated CPU multiplied by the time from the order to start until the end was known.
};

} // namespace KingCupLadder
