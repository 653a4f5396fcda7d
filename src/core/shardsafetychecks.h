// Switches that let a test turn off one safety rule of the shard owner and show which failure the rule prevents.
#pragma once

namespace KingCupLadder {

/// All are on in production.
struct ShardSafetyChecks {
    bool inventoryBeforeCommit = true; ///< Nothing is committed on a worker before its inventory was read at this epoch.
    bool sequenceOrder = true; ///< Each batch to a worker has a higher sequence than the one before.
    bool proveStoppedBeforeRestart = true; ///< A task index starts again only after its earlier attempt is proved stopped.
    bool countUnreadWorkers = true; ///< Workers that were not read count as running the most that they could.
};

} // namespace KingCupLadder
