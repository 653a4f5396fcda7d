// Prints the measurements of the shard controller as tables.
#pragma once

#include "shardrun.h"

namespace KingCupLadder {

/// One line for each size of 50, 500, 1,560 and 2,000 workers with the given load, interval and rule.
void printShardRuns(const ShardRunSettings &settings);
/// Bytes per worker and task, for jobs of one task and of @p tasksPerJob tasks.
void printShardMemory(std::uint32_t tasksPerJob);

} // namespace KingCupLadder
