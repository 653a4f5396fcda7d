// Rules for work on generator power: batch work waits for the grid, everything that somebody waits for goes on.
#include "power.h"

namespace KingCupLadder {

namespace {

bool isDeferrable(PowerSource source, WorkClass workClass, Priority priority)
{
    return source == PowerSource::Generator && workClass == WorkClass::Batch && priority == Priority::Normal;
}

} // namespace

PowerEffect powerEffect(PowerSource source, WorkClass workClass, Priority priority, bool startOnce)
{
    if (!isDeferrable(source, workClass, priority)) {
        return PowerEffect::Run;
    }
    // A checkpoint ends the attempt, and a startOnce task has no second one.
    return startOnce ? PowerEffect::Throttle : PowerEffect::Checkpoint;
}

bool mayStart(PowerSource source, WorkClass workClass, Priority priority)
{
    return !isDeferrable(source, workClass, priority);
}

} // namespace KingCupLadder
