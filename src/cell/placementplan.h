// Placement algorithms without side effects: which workers can take a task or a gang now, when a gang could start, and which
// placements would delay a reserved start.
#pragma once

#include "cellids.h"
#include "core/resources.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace KingCupLadder {

/// Resources that are expected to become free, or are reserved, from a point in time on.
struct TimedResources {
    TimePoint at;
    Resources amount;
};

/// A worker that is considered for the tasks of one step.
struct CandidateWorker {
    std::size_t worker = 0; ///< WorkerIndex of the worker.
    Resources free;
    int maxTasks = 0; ///< Limit on further tasks of the step on this worker, regardless of free capacity.
    const std::vector<TimedResources> *releases = nullptr; ///< Ordered by time; null: none.
};

/// Number of tasks placed on one worker.
struct TaskAllocation {
    std::size_t worker = 0;
    int tasks = 0;
};

/// Number of tasks of @p demand that fit into @p available, at most @p limit.
[[nodiscard]] int tasksThatFit(const Resources &demand, const Resources &available, int limit);

/// Allocates all @p count tasks, filling the workers that can take the most tasks first. Empty if they do not all fit.
[[nodiscard]] std::optional<std::vector<TaskAllocation>> fitGang(const std::vector<CandidateWorker> &candidates, const Resources &demand, int count);

/// Earliest start of a gang and the workers it would use.
struct GangForecast {
    TimePoint start;
    std::vector<TaskAllocation> allocations;
};

/// Earliest time at which @p count tasks fit, assuming that running tasks end as expected. Empty if they never fit.
[[nodiscard]] std::optional<GangForecast> forecastGang(const std::vector<CandidateWorker> &candidates, const Resources &demand, int count, TimePoint now);

/// Capacity reserved for waiting gangs.
class Reservations
{
public:
    void add(std::size_t worker, TimePoint at, const Resources &amount);
    [[nodiscard]] bool hasReservation(std::size_t worker) const;
    /// Whether a task of @p demand that ends at @p end can start on the worker now without delaying a reservation.
    [[nodiscard]] bool allows(const CandidateWorker &candidate, const Resources &demand, TimePoint end) const;
    /// Number of tasks of @p demand ending at @p end that can start on the worker now without delaying a reservation.
    [[nodiscard]] int tasksAllowed(const CandidateWorker &candidate, const Resources &demand, TimePoint end) const;
    /// Returns the candidate with everything that is reserved on it, at any time, subtracted from its free capacity.
    [[nodiscard]] CandidateWorker withoutReserved(CandidateWorker candidate) const;

private:
    std::map<std::size_t, std::vector<TimedResources>> m_reserved; ///< By worker, ordered by time.
};

} // namespace KingCupLadder
