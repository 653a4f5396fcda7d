// Policy for each kind of work while a pool runs on generator power.
#pragma once

#include "job.h"
#include "tables.h"

namespace KingCupLadder {

enum class PowerEffect {
    Run,
    Throttle, ///< Continue with less CPU time.
    Checkpoint, ///< Save the state, stop, and hold until grid power returns.
};

/// The effect on a running task.
[[nodiscard]] PowerEffect powerEffect(PowerSource source, WorkClass workClass, Priority priority, bool startOnce);
/// Whether a waiting task may start.
[[nodiscard]] bool mayStart(PowerSource source, WorkClass workClass, Priority priority);

} // namespace KingCupLadder
