// Runs the benchmarks of the shard controller and prints their results as tables.
#pragma once

#include "shardrun.h"

namespace KingCupLadder {

/// Prints one line for each of 50, 500, 1,560 and 2,000 workers with the load, sync interval and placement policy of @p settings.
void printShardRuns(const ShardRunSettings &settings);
/// Prints the bytes per worker and per task, for jobs of one task and of @p tasksPerJob tasks.
void printShardMemory(std::uint32_t tasksPerJob);

} // namespace KingCupLadder
