// Drives the queue, the placement index and the gang reservation with a stream, in virtual time and without machines: a task
// runs for its drawn time. Decisions are timed with the real clock.
#pragma once

#include "core/placement.h"
#include "measures.h"

#include <vector>

namespace KingCupLadder {

struct PolicyConfig {
    const char *name;
    PlacementPolicy rule;
    bool fairShares; ///< False: one queue by arrival for all teams, without shares, and without passing over what does not fit.
};

[[nodiscard]] RunResult runPolicy(const BenchProfile &profile, const std::vector<WorkloadJob> &workload, const PolicyConfig &policy);

struct MemoryResult {
    double perWorker = 0.0; ///< Bytes in the placement index.
    double perTask = 0.0; ///< Bytes in the queue for a waiting job of one task.
    double removeMicros = 0.0; ///< Mean time of one cancellation in a burst.
};

/// Memory of index and queue at this size, and the time of a burst of cancellations.
[[nodiscard]] MemoryResult measureMemory(const BenchProfile &profile);

} // namespace KingCupLadder
