// Predicts how long a new job waits for its first start: for room, for the policy service, for starts, and for its workspace's own limit.
// Has no side effects other than those on its own summary of the waiting work, which CellScheduler renews every few tens of milliseconds.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <cstdint>
#include <map>

namespace KingCupLadder {

/// Work of one step, or of the first steps of a job that has just been admitted, that waits for a start.
struct WaitingWork {
    int tier = 0; ///< As for placement; a lower tier is served first.
    WorkspaceId workspace;
    int tasks = 0;
    std::int64_t cpuPerTask = 0; ///< In millicores.
    double work = 0; ///< CPU time of all tasks in millicore milliseconds.
    double shareOfMaximum = 0; ///< Share of the workspace's maximum that a task takes, of its scarcest resource; 0: the workspace has no maximum.
    Duration estimate{0};
    bool isReady = false; ///< The step needs no earlier step.
    bool isGang = false;
    bool isAtMaximum = false; ///< The workspace's maximum prevents the start, so that the work takes no capacity from other workspaces.
    bool lacksOnlyStart = false; ///< The step needs no call to the policy service before its next start.
    Duration unqueuedCall{0}; ///< Duration of a call to the policy service that is needed but not queued yet.
};

/// State of the cell at the time of the forecast.
struct CellSupply {
    std::int64_t capacity = 0; ///< Millicores of the workers that get work.
    std::int64_t freeCpu = 0; ///< Millicores of them that are not allocated.
    int daemons = 0; ///< Daemons that answer, to which the calls to the policy service are distributed.
    double startsPerSecond = 0; ///< Highest recent rate of the leader.
};

/// Predicts the wait of a new job.
class AdmissionForecast
{
public:
    /// Forgets all work.
    void reset(const CellSupply &supply);
    void add(const WaitingWork &waiting);
    /// Returns the wait of a job with @p first as its first work, in front of which all work of its tier or a lower one is served.
    /// @p queuedCalls is the wait for a daemon behind the queued calls of these tiers.
    [[nodiscard]] Duration wait(const WaitingWork &first, Duration queuedCalls) const;

private:
    /// Sums over the work of one tier.
    struct TierLoad {
        double work = 0; ///< In millicore milliseconds.
        std::int64_t readyCpu = 0; ///< Millicores that all ready tasks need at the same time.
        std::int64_t readySingleCpu = 0; ///< The same without gangs.
        std::int64_t startableTasks = 0;
        std::int64_t startableCpu = 0; ///< Millicores of startableTasks.
        Duration unqueuedCalls{0};
    };

    [[nodiscard]] TierLoad loadAhead(int tier) const;
    [[nodiscard]] double waitForRoom(const WaitingWork &first, const TierLoad &ahead) const;
    [[nodiscard]] double waitForStarts(const TierLoad &ahead) const;
    [[nodiscard]] double waitForOwnWork(const WaitingWork &first) const;

    CellSupply m_supply;
    std::map<int, TierLoad> m_tiers;
    std::map<WorkspaceId, std::map<int, double>> m_ownWork; ///< Milliseconds for which the work would use the whole maximum of its workspace, by tier.
};

/// Returns when a rejected job should be submitted again: after @p expected, plus a part that depends on the job's id, so that the callers of
/// jobs that were rejected together do not return together. At most @p longestUse, after which the caller has no use for the result, as far as
/// that is above the shortest time.
[[nodiscard]] Duration retryAfter(const JobId &job, Duration expected, Duration longestUse);

} // namespace KingCupLadder
