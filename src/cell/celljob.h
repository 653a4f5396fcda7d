// Jobs as callers submit them: steps of tasks with their demands and constraints, and what is stored of their progress.
#pragma once

#include "cellids.h"
#include "core/error.h"
#include "core/resources.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder {

constexpr int maxTasksPerStep = 2000; ///< Bounds the memory that one job can take.
constexpr int maxStepsPerJob = 64;
constexpr int lateLimitFactor = 3; ///< A job that ends later than three times its objective helps nobody.

/// What every task of a step needs.
struct StepSpec {
    int count = 1;
    Resources demand; ///< Of one task.
    Duration estimate{1000}; ///< Rough duration of one task; often far off.
    std::vector<int> after; ///< Earlier steps of which all tasks have to succeed first; each below this step's number.
    bool gang = false; ///< The tasks work only while all of them run.
    bool sameRack = false;
    bool speculative = false; ///< Copies may run in parallel.
    bool checkpointing = false;
    bool longRunning = false; ///< Restarted however it ends, until the job is cancelled.
    bool fillsIdleCapacity = false; ///< Takes only processor time that others leave; its cpu does not count.
    std::string requiredLabel; ///< Empty: any worker.
    std::string preferredRack; ///< Empty: none.
    int maxPerWorker = 0; ///< 0: no limit.
    std::string image;
    Duration serviceTarget{0};
    int maxUnavailable = 0;
};

struct CellJob {
    JobId id;
    RouteName route;
    WorkspaceId workspace;
    std::string payload;
    std::vector<StepSpec> steps;
    int occurrences = 0; ///< 0: runs once, now.
    Duration interval{0};
    std::int64_t firstRunUnixMs = 0;
    std::int64_t submittedUnixMs = 0;

    [[nodiscard]] int occurrenceCount() const
    {
        return occurrences > 0 ? occurrences : 1;
    }
};

/// Checks the bounds and the order of the steps. The reason names the step.
[[nodiscard]] Result<bool> checkJob(const CellJob &job);

/// Longest chain of estimated durations over the steps.
[[nodiscard]] Duration criticalPathLength(const std::vector<StepSpec> &steps);

/// Processor time of one occurrence in core milliseconds.
[[nodiscard]] std::int64_t totalWork(const std::vector<StepSpec> &steps);

enum class CellJobState {
    Unknown, ///< Not known here; it may still exist.
    Pending, ///< Admitted, nothing has started.
    Active,
    Succeeded,
    Failed,
    Cancelled,
};
[[nodiscard]] const char *toString(CellJobState state);
[[nodiscard]] bool isFinal(CellJobState state);

/// What is stored about one step of one occurrence.
struct StepProgress {
    std::vector<bool> succeeded; ///< By task.
    std::map<int, std::set<RunNumber>> failedRuns; ///< By task; those of a gang under task 0.
    std::string gangCheckpoint;
};

/// What is stored about a job besides the job itself.
struct JobProgress {
    CellJobState finalState = CellJobState::Unknown; ///< Unknown while the job is not final.
    RouteName route;
    WorkspaceId workspace;
    std::map<std::pair<int, int>, StepProgress> steps; ///< By occurrence and step.
};

} // namespace KingCupLadder
