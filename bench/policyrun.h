// Simulates the queue, the placement index and the gang reservation under a workload in virtual time. Workers are not simulated: a
// task occupies its resources for its generated run time. Decisions are timed with the real clock.
#pragma once

#include "core/placement.h"
#include "measures.h"

#include <vector>

namespace KingCupLadder {

/// Scheduling policy under test.
struct PolicyConfig {
    const char *name;
    PlacementPolicy placementPolicy;
    bool fairShares; ///< If false, all teams share one FIFO queue in which a job that does not fit blocks those behind it.
};

[[nodiscard]] PolicyRunResult runPolicy(const BenchProfile &profile, const std::vector<WorkloadJob> &workload, const PolicyConfig &policy);

/// Memory of the queue and the placement index, and the time of cancellations.
struct PolicyMemory {
    double perWorker = 0.0; ///< Bytes per worker in the placement index.
    double perQueuedTask = 0.0; ///< Bytes per waiting single-task job in the queue.
    double cancelMicros = 0.0; ///< Mean time of one cancellation in a burst of cancellations.
};

/// Measures the memory of the placement index and the queue for one shard of the profile, and the time of a burst of cancellations.
[[nodiscard]] PolicyMemory measureMemory(const BenchProfile &profile);

} // namespace KingCupLadder
