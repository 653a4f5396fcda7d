// Chooses the tasks to preempt for urgent work or for a lowered limit. Pure functions.
#pragma once

#include "ids.h"
#include "job.h"
#include "resources.h"
#include "units.h"

#include <optional>
#include <vector>

namespace KingCupLadder {

/// A running task that may be chosen as a victim.
struct PreemptibleTask {
    TaskId id;
    TeamId team;
    WorkerId worker;
    Resources demand;
    Priority priority = Priority::Normal;
    WorkClass workClass = WorkClass::Batch;
    bool startOnce = false; ///< Never preempted, since it could not be started again.
    double teamShare = 0.0; ///< Weighted dominant share of its team; tasks of teams with a higher share are preferred as victims.
    Duration elapsed{0}; ///< Run time so far.
};

struct PreemptibleWorker {
    WorkerId worker;
    Resources free;
    std::vector<PreemptibleTask> tasks;
};

struct PreemptionPlan {
    WorkerId worker;
    std::vector<TaskId> victims;
};

/// The plan with the least lost work that frees enough resources for the demand on a single worker. Urgent tasks, startOnce tasks
/// and requests are never victims. Empty if there is no such plan.
[[nodiscard]] std::optional<PreemptionPlan> planPreemption(const Resources &demand, const std::vector<PreemptibleWorker> &workers);

/// The tasks of one team to preempt so that its use fits into its allotment: tasks that are not urgent first, then the youngest.
[[nodiscard]] std::vector<TaskId> tasksOverLimit(const Resources &usage, const Resources &allotment, std::vector<PreemptibleTask> tasks);

} // namespace KingCupLadder
