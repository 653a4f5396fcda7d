// Jobs as submitted: steps and their tasks with resource demands and placement constraints. Also the stored progress of jobs.
#pragma once

#include "cellids.h"
#include "core/error.h"
#include "core/resources.h"
#include "core/units.h"
#include "crashhistory.h"
#include "routerules.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder {

constexpr int maxTasksPerStep = 2000; ///< Bounds the memory used by one job.
constexpr int maxStepsPerJob = 64;
constexpr int maxOccurrencesPerJob = 1000000;
constexpr std::int64_t maxResourceAmount = 1000000000; ///< Largest component of a demand or a capacity, in its unit.
constexpr Duration maxEstimate{std::chrono::hours(30 * 24)};
constexpr int firmDeadlineFactor = 3; ///< Firm deadline of a job as a multiple of its objective; its result is worthless afterwards.

/// Demands and constraints shared by all tasks of a step.
struct StepSpec {
    int count = 1;
    Resources demand; ///< Per task.
    Duration estimate{1000}; ///< Rough duration of one task; often inaccurate.
    std::vector<int> after; ///< Indexes of earlier steps whose tasks must all succeed first.
    bool gang = false; ///< All tasks have to run at the same time.
    bool sameRack = false; ///< A gang that takes less time on one rack.
    bool speculative = false; ///< Several runs of one task may exist at once; a success stops the others. Placement starts only one.
    bool checkpointing = false; ///< Runs report checkpoints from which a later run of the task can continue.
    bool longRunning = false; ///< A service: restarted whenever a run ends, until the job is cancelled.
    bool fillsIdleCapacity = false; ///< Meant to use only CPU time that other tasks leave idle. Stored, but not used: placement counts its cpu demand.
    std::string requiredLabel; ///< Label that the worker must have; empty: any worker.
    std::string preferredRack; ///< Empty: no preference.
    int maxPerWorker = 0; ///< Tasks of this step on one worker; 0: no limit.
    std::string image;
    Duration serviceTarget{0}; ///< Target for the tail latency of a service; 0: none. Stored, but not used in placement.
    int maxUnavailable = 0; ///< Stored, but not used in placement.
};

struct CellJob {
    JobId id;
    RouteName route;
    WorkspaceId workspace;
    std::string payload;
    std::vector<StepSpec> steps;
    int occurrences = 0; ///< 0: the job runs once and immediately.
    Duration interval{0};
    std::int64_t firstRunUnixMs = 0;
    std::int64_t submittedUnixMs = 0;
    std::optional<AdmittedRules> admitted; ///< Empty for a job that was admitted by an earlier version of the daemon.

    [[nodiscard]] int occurrenceCount() const
    {
        return occurrences > 0 ? occurrences : 1;
    }
};

/// Limits the times of the job to ranges in which sums and products of them can't overflow.
void limitTimes(CellJob &job);

/// Validates the job's limits and the dependencies between its steps. The error names the step.
[[nodiscard]] Result<bool> checkJob(const CellJob &job);

/// Sum of the estimates along the critical path of the steps.
[[nodiscard]] Duration criticalPathLength(const std::vector<StepSpec> &steps);

/// The time within which an occurrence of the steps should end after it is due.
[[nodiscard]] Duration objectiveOf(const std::vector<StepSpec> &steps, const RouteRules &rules);

/// CPU time of one task in millicore milliseconds.
[[nodiscard]] double workOfOneTask(const StepSpec &step);

/// CPU time of one occurrence in millicore milliseconds.
[[nodiscard]] double totalWork(const std::vector<StepSpec> &steps);

enum class CellJobState {
    Unknown, ///< Not known to this scheduler; the job may still exist.
    Pending, ///< Admitted; no task has started.
    Active,
    Succeeded,
    Failed,
    Cancelled,
};
[[nodiscard]] const char *toString(CellJobState state);
[[nodiscard]] bool isFinal(CellJobState state);

/// Stored progress of one step of one occurrence.
struct StepProgress {
    std::vector<bool> succeeded; ///< By task.
    std::map<int, std::set<RunNumber>> failedRuns; ///< By task; failed runs of a gang are kept under task 0.
    std::map<int, std::map<RunNumber, WorkerCrash>> crashes; ///< By task; those of a gang are kept under task 0.
    std::string gangCheckpoint;
};

/// Stored progress of a job.
struct JobProgress {
    CellJobState finalState = CellJobState::Unknown; ///< Unknown until the job has ended.
    RouteName route;
    WorkspaceId workspace;
    std::vector<std::pair<int, int>> doneOccurrences; ///< First and last of each range of occurrences that have ended.
    std::map<std::pair<int, int>, StepProgress> steps; ///< By occurrence and step.
};

} // namespace KingCupLadder
