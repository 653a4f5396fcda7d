// What a pool that runs on generator power does with each kind of work.
#pragma once

#include "job.h"
#include "tables.h"

namespace KingCupLadder {

enum class PowerEffect {
    Run,
    Throttle, ///< Goes on with less processor time.
    Checkpoint, ///< Saved, stopped and held back until grid power returns.
};

/// Effect on a running task.
[[nodiscard]] PowerEffect powerEffect(PowerSource source, WorkClass workClass, Priority priority, bool startOnce);
/// Whether a waiting task may start.
[[nodiscard]] bool mayStart(PowerSource source, WorkClass workClass, Priority priority);

} // namespace KingCupLadder
