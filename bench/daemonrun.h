// Drives several DaemonCores with one store in memory and synthetic worker answers; measures what each costs.
#pragma once

#include "measures.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace KingCupLadder {

struct DaemonRunSettings {
    std::uint32_t daemons = 7;
    std::uint32_t workers = 7800; ///< Over 5 failure domains.
    double jobsPerSecond = 0.0; ///< Submitted to the daemons in turn.
    std::uint32_t tasksPerJob = 900;
    std::int64_t syncIntervalMs = 250;
    std::int64_t vmListIntervalMs = 1000;
};

/// Means over the measured span, per daemon of one role and second where not stated otherwise.
struct RoleMetrics {
    std::uint32_t daemons = 0;
    double cpuShare = 0.0; ///< Processor time per second of virtual time.
    Samples tickMicros;
    double syncs = 0.0;
    double peerMessages = 0.0;
    double peerBytes = 0.0; ///< Heartbeats only.
};

struct DaemonRunResult {
    RoleMetrics owners; ///< Of at least one shard.
    RoleMetrics others;
    Samples heartbeatBytes;
    std::map<std::string, double> storeOps; ///< "read config", "write daemons" and so on, per second, of all daemons.
    double storeWrites = 0.0; ///< Transactions per second of all daemons.
    double storeRows = 0.0; ///< Rows written per second of all daemons.
    double storeReads = 0.0;
    double vmLists = 0.0;
    double starts = 0.0; ///< Task starts per second.
    double accepted = 0.0; ///< Jobs acknowledged per second.
    double running = 0.0;
};

[[nodiscard]] DaemonRunResult runDaemons(const DaemonRunSettings &settings);

/// One block of lines for each number of daemons.
void printDaemonRuns(const DaemonRunSettings &settings, const std::vector<std::uint32_t> &daemonCounts);

} // namespace KingCupLadder
