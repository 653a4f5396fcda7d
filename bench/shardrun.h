// Drives one ShardController with synthetic worker answers at the rates of the target size.
#pragma once

#include "measures.h"

#include "core/placement.h"
#include "core/units.h"

#include <cstdint>

namespace KingCupLadder {

struct ShardRunSettings {
    std::uint32_t workers = 0;
    double load = 1.0; ///< 1: the target's 6,800 starts/s over 7,800 workers, which commits about all processors.
    std::uint32_t tasksPerJob = 100;
    Duration syncInterval{250};
    PlacementPolicy rule = PlacementPolicy::BestFit;
    bool alwaysListRunning = false; ///< Workers list their running tasks in every answer.
    std::uint64_t seed = 1;
};

struct ShardRunResult {
    std::uint64_t starts = 0;
    std::uint64_t preemptions = 0;
    double cpuSeconds = 0.0; ///< Processor time of all calls of the controller.
    double virtualSeconds = 0.0;
    Samples startMicros; ///< Processor time of a tick divided by the starts placed in it, once for each start.
    Samples tickMicros;
    double tickShare = 0.0; ///< Part of the processor time spent in tick().
    double messages = 0.0; ///< Requests per worker and second.
    double bytes = 0.0; ///< Request and answer bodies per worker and second.
    double running = 0.0; ///< At the end.
    double queued = 0.0;
    Samples urgentWaitMs;
    Samples normalWaitMs;
};

[[nodiscard]] ShardRunResult runShard(const ShardRunSettings &settings);

/// Bytes on the heap of a controller, from the difference when it is destroyed.
struct ShardMemory {
    double perWorker = 0.0; ///< Read, without work.
    double perRunning = 0.0; ///< Each running task beyond the above.
    double perQueued = 0.0; ///< Each queued task beyond the above.
};

[[nodiscard]] ShardMemory measureShardMemory(std::uint32_t workers, std::uint32_t tasksPerJob);

} // namespace KingCupLadder
