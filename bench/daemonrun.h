// Runs several DaemonCores against one in-memory store and simulated workers, and measures the cost of each daemon.
#pragma once

#include "measures.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace KingCupLadder {

struct DaemonRunSettings {
    std::uint32_t daemons = 7;
    std::uint32_t workers = 7800; ///< Spread over 5 failure domains.
    double jobsPerSecond = 0.0; ///< Submitted to the daemons round-robin.
    std::uint32_t tasksPerJob = 900;
    std::int64_t syncIntervalMs = 250;
    std::int64_t vmListIntervalMs = 1000;
};

/// Cost of the daemons of one role in the measured time span. Rates are per second and summed over the daemons.
struct RoleMetrics {
    std::uint32_t daemons = 0;
    double cpuShare = 0.0; ///< CPU seconds per second of virtual time, summed over the daemons.
    Samples tickMicros; ///< The 0.5, 0.99 and 1.0 quantiles of each daemon's CPU time per tick.
    double syncRate = 0.0; ///< Worker syncs.
    double peerMessageRate = 0.0; ///< Messages sent to peers.
    double heartbeatByteRate = 0.0; ///< Estimated size of the heartbeats sent; other peer messages are not included.
};

struct DaemonRunResult {
    RoleMetrics owners; ///< Daemons that own at least one shard.
    RoleMetrics others; ///< Daemons that own no shard.
    Samples heartbeatBytes; ///< Estimated size of each heartbeat.
    std::map<std::string, double>
        storeOperationRates; ///< Store operations per second of all daemons, keyed by operation and table, such as "read config" or "write daemons".
    double transactionRate = 0.0; ///< Transactions per second of all daemons.
    double writtenRowRate = 0.0; ///< Rows written per second of all daemons.
    double readRate = 0.0; ///< Reads and scans per second of all daemons.
    double vmListRate = 0.0; ///< VM list reads per second of all daemons.
    double taskStartRate = 0.0; ///< Task starts per second.
    double acceptedJobRate = 0.0; ///< Jobs accepted per second.
    double runningTasks = 0.0; ///< Running tasks at the end of the run.
};

[[nodiscard]] DaemonRunResult runDaemons(const DaemonRunSettings &settings);

/// Runs the benchmark with each number of daemons and prints the results.
void printDaemonRuns(const DaemonRunSettings &settings, const std::vector<std::uint32_t> &daemonCounts);

} // namespace KingCupLadder
