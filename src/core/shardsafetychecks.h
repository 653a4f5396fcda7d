// Switches for tests that disable one safety check of the shard owner and demonstrate the failure that it prevents.
#pragma once

namespace KingCupLadder {

/// All checks are enabled in production.
struct ShardSafetyChecks {
    bool inventoryBeforeCommit = true; ///< Nothing is committed on a worker before its inventory was read in this epoch.
    bool sequenceOrder = true; ///< Each batch to a worker has a higher sequence number than the one before.
    bool proveStoppedBeforeRestart = true; ///< A task starts again only after its earlier attempt is known to have stopped.
    bool countUnreadWorkers = true; ///< Workers whose inventory was not read are assumed to run as much as they can.
};

} // namespace KingCupLadder
