// Runs one ShardController against simulated workers at the rates of the target profile.
#pragma once

#include "measures.h"

#include "core/placement.h"
#include "core/units.h"

#include <cstdint>

namespace KingCupLadder {

struct ShardRunSettings {
    std::uint32_t workers = 0;
    double load = 1.0; ///< 1 is the target's 6,800 starts/s on 7,800 workers, which commits nearly all CPUs.
    std::uint32_t tasksPerJob = 100;
    Duration syncInterval{250};
    PlacementPolicy placementPolicy = PlacementPolicy::BestFit;
    bool alwaysListRunning = false; ///< Workers list their running tasks in every reply, not only in replies to inventory requests.
    std::uint64_t seed = 1;
};

struct ShardRunResult {
    std::uint64_t starts = 0; ///< Started tasks.
    std::uint64_t preemptions = 0;
    double cpuSeconds = 0.0; ///< CPU time of all calls to the controller.
    double virtualSeconds = 0.0;
    Samples startMicros; ///< CPU time of a tick divided by the number of tasks started in it; one sample per started task.
    Samples tickMicros;
    double tickShare = 0.0; ///< Fraction of the CPU time that is spent in tick().
    double syncRate = 0.0; ///< Worker syncs per worker and second.
    double bodyByteRate = 0.0; ///< Bytes of request and reply bodies per worker and second.
    double runningTasks = 0.0; ///< Running tasks at the end of the run.
    double queuedTasks = 0.0; ///< Queued tasks at the end of the run.
    Samples urgentWaitMs;
    Samples normalWaitMs;
};

[[nodiscard]] ShardRunResult runShard(const ShardRunSettings &settings);

/// Heap memory of a controller in bytes, measured as the memory that its destruction frees.
struct ShardMemory {
    double perWorker = 0.0; ///< Each worker of an idle controller.
    double perRunningTask = 0.0; ///< Each running task, in addition to perWorker.
    double perQueuedTask = 0.0; ///< Each queued task, in addition to perWorker and perRunningTask.
};

[[nodiscard]] ShardMemory measureShardMemory(std::uint32_t workers, std::uint32_t tasksPerJob);

} // namespace KingCupLadder
