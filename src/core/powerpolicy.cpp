// On generator power, normal-priority batch work waits for grid power; all other work, which may have someone waiting for it, continues.
#include "powerpolicy.h"

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
    // A checkpoint ends the attempt, and a startOnce task has only one.
    return startOnce ? PowerEffect::Throttle : PowerEffect::Checkpoint;
}

bool mayStart(PowerSource source, WorkClass workClass, Priority priority)
{
    return !isDeferrable(source, workClass, priority);
}

} // namespace KingCupLadder
