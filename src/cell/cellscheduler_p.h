// Constants shared by the source files of CellScheduler.
#pragma once

#include "cellscheduler.h"

namespace KingCupLadder {

constexpr Duration maxIsolationWait{5000}; // A suspect that has found no idle worker for this time starts beside other runs.

/// Size of the run number range of one epoch. A new leader numbers its runs above all runs that previous leaders may have started. This
/// holds as long as no task gets a number beyond the range of an epoch; nothing checks it.
constexpr std::uint64_t runsPerEpoch = 100000;
/// The first run number of the leader in @p epoch.
inline RunNumber firstRunOf(Epoch epoch)
{
    return RunNumber((epoch.value() > 0 ? epoch.value() - 1 : 0) * runsPerEpoch + 1);
}

/// Run numbers skipped after a worker has rejected one as stale: it has seen a higher number but does not report which.
constexpr std::uint64_t staleRunNumberSkip = 1000;

/// Remaining ticket validity required for a start, which must reach the worker before the ticket expires.
constexpr Duration ticketMargin{60};
/// Interval at which steps are reconsidered even if nothing changed on their workers.
constexpr Duration fullPassInterval{50};
/// Sort key of starving steps: before every route's priority.
constexpr int starvingTier = -1;
/// Offsets added to the priority of a route. The tiers do not overlap as long as route priorities are below 20. Work above its workspace's
/// rate that also misses a deadline gets both offsets. This one is for work that will miss its soft deadline, so that work that can meet it goes
/// first; see also CellScheduler::rankLateGangsBeforeSlack().
constexpr int missedSoftDeadlineTierOffset = 50;
/// For work that will miss its firm deadline and be worthless; it goes after late work.
constexpr int missedFirmDeadlineTierOffset = 70;
/// For work above its workspace's rate, which goes last.
constexpr int overRateTierOffset = 100;
/// A gang that does not fit asks about further workers in any case while its allowed workers, if they were idle, would fit fewer tasks than this
/// factor; otherwise see CellScheduler::askFurtherForGang().
constexpr int minAllowedSlotsPerTask = 4;
/// Maximum number of workers in one call to the policy service.
constexpr std::size_t maxWorkersPerCall = 100;

} // namespace KingCupLadder
