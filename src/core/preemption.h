// Chooses which tasks make room for urgent work or for a lowered limit. Pure functions.
#pragma once

#include "ids.h"
#include "job.h"
#include "resources.h"
#include "units.h"

#include <optional>
#include <vector>

namespace KingCupLadder {

/// A running task as the choice of victims sees it.
struct PreemptibleTask {
    TaskId id;
    TeamId team;
    WorkerId worker;
    Resources demand;
    Priority priority = Priority::Normal;
    WorkClass workClass = WorkClass::Batch;
    bool startOnce = false; ///< Never chosen: it could not be started again.
    double teamShare = 0.0; ///< Weighted dominant share of its team; higher ones give way first.
    Duration ran{0};
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

/// The plan with the least lost work that makes room for the demand on one worker. Urgent tasks and startOnce tasks are never
/// victims. Empty if there is none.
[[nodiscard]] std::optional<PreemptionPlan> planPreemption(const Resources &demand, const std::vector<PreemptibleWorker> &workers);

/// Tasks of one team to stop so that its use falls within its allotment; youngest first.
[[nodiscard]] std::vector<TaskId> tasksOverLimit(const Resources &use, const Resources &allotment, std::vector<PreemptibleTask> tasks);

} // namespace KingCupLadder
