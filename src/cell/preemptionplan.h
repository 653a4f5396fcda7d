// Chooses the running tasks that are stopped for a step of a higher priority that has no room. A pure function of its input.
#pragma once

#include "cellids.h"
#include "core/resources.h"
#include "core/units.h"
#include "placementplan.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace KingCupLadder {

/// A run that may be stopped for the waiting step. The caller leaves out members of gangs, services, suspects, isolated runs, runs that are
/// being started or stopped, and tasks that were preempted before.
struct PreemptibleRun {
    std::size_t id = 0; ///< Chosen by the caller.
    int priority = 0; ///< Of the route; 0 is the highest.
    Resources demand;
    Duration untilEnd{0}; ///< Until the expected end.
    bool savesCheckpoint = false;
    double workLost = 0; ///< CPU work that has to be repeated, in millicore milliseconds, including the restore of a checkpoint.
    bool becomesLate = false; ///< Its job would miss an objective that it meets otherwise.
};

/// An allowed worker of the waiting step.
struct PreemptionCandidate {
    CandidateWorker worker; ///< With the capacity that is free and not reserved.
    std::vector<PreemptibleRun> runs;
};

/// The waiting step.
struct PreemptionDemand {
    int priority = 0;
    Resources demand; ///< Of one task.
    int tasks = 0; ///< Tasks that are to be started.
    bool isGang = false; ///< All tasks or none.
    Duration estimate{0}; ///< Duration of one task.
};

struct PreemptionBounds {
    std::int64_t milliCores = 0; ///< CPU of the runs that may be stopped now.
    Duration stopTime{0}; ///< Time that a stopped run takes to end. A run that ends within it by itself is not stopped.
};

struct PreemptionChoice {
    std::size_t worker = 0;
    std::size_t run = 0; ///< PreemptibleRun::id.
};

struct PreemptionPlan {
    std::vector<PreemptionChoice> stops;
    std::vector<TaskAllocation> allocations; ///< Room for the tasks after the stops. That of a gang includes room that is free already.
    std::int64_t milliCores = 0; ///< CPU of the runs to stop.
    double workLost = 0; ///< In millicore milliseconds.
};

/// Returns the runs to stop so that the step can start: all tasks of a gang, as many as possible of another step. Empty if there are none
/// whose loss is smaller than the gain, which is the work of the tasks that can start.
[[nodiscard]] std::optional<PreemptionPlan>
planPreemption(const PreemptionDemand &step, const std::vector<PreemptionCandidate> &candidates, const PreemptionBounds &bounds);

} // namespace KingCupLadder
