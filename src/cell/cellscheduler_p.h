// Shared by the parts of CellScheduler.
#pragma once

#include "cellscheduler.h"

namespace KingCupLadder {

/// Runs of a new leader are numbered above all runs that earlier leaders may have started.
constexpr std::uint64_t runsPerEpoch = 100000;
/// The first run number of a leader.
inline RunNumber firstRunOf(Epoch epoch)
{
    return RunNumber((epoch.value() > 0 ? epoch.value() - 1 : 0) * runsPerEpoch + 1);
}

/// A worker that refuses a run as old has seen a higher one; the next run is numbered this much higher.
constexpr std::uint64_t runsSkippedWhenOld = 1000;

/// A start has to reach the worker before its ticket runs out.
constexpr Duration ticketMargin{60};
/// Workers that one advice call may name.
constexpr std::size_t maxWorkersPerCall = 100;

} // namespace KingCupLadder
