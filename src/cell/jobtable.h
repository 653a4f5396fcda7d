// The jobs of the cell as the leader sees them: which tasks wait, run or have succeeded, and what has to be stored of it.
#pragma once

#include "cellconfig.h"
#include "celljob.h"
#include "workertable.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

/// A worker that may run a step, and until when its ticket admits starts.
struct Ticket {
    WorkerIndex worker = 0;
    std::string text;
    TimePoint validUntil; ///< On this process's clock.
};

/// What the policy service said about a step.
struct StepAdvice {
    std::vector<Ticket> good; ///< Workers that may run the step, in order; the set does not change, tickets expire.
    std::set<WorkerIndex> asked; ///< Workers that were named in an answered call.
    bool inFlight = false;
    TimePoint nextCall; ///< No call before this.
    TimePoint nextRenewal; ///< No renewal of tickets before this.
    int renewals = 0; ///< Since the step last started a task.

    [[nodiscard]] Ticket *find(WorkerIndex worker);
    void put(Ticket ticket);
};

enum class CellTaskPhase {
    Waiting,
    Active, ///< Has a run that may exist.
    Succeeded,
};

struct CellTask {
    CellTaskPhase phase = CellTaskPhase::Waiting;
    std::set<RunNumber> failedRuns; ///< Those of a gang are kept at its first task.
    int liveRuns = 0; ///< Runs that may exist, also obsolete ones. A new run needs zero, or a speculative step.
    RunNumber lastRun;
    std::string checkpoint;
    std::set<WorkerId> failedOn;
    TimePoint notBefore; ///< Delay after a failure.
    bool unreconciled = false; ///< May run on a worker that has not answered since the leader changed.
};

struct JobEntry;

/// One step of one occurrence.
struct StepInstance {
    StepRef ref;
    JobEntry *job = nullptr;
    const StepSpec *spec = nullptr;
    std::vector<CellTask> tasks;
    int waiting = 0; ///< Tasks in phase Waiting.
    int succeeded = 0;
    int active = 0; ///< Tasks in phase Active.
    std::string gangCheckpoint;
    RunNumber gangRun; ///< Shared by the members that are active.
    TimePoint gangStarted; ///< When the first member of gangRun was started.
    bool gangBroken = false; ///< A member ended; the others are stopped before the gang starts again.
    StepAdvice advice;
    std::uint64_t triedAt = 0; ///< WorkerTable's count of changes when the step was last considered; 0: consider it again.
    TimePoint readySince; ///< Zero while steps before it are unfinished or it is not due.
    TimePoint expectedEnd; ///< Of the active tasks.

    [[nodiscard]] bool isDone() const
    {
        return succeeded == static_cast<int>(tasks.size());
    }
};

struct JobEntry {
    CellJob job;
    CellJobState state = CellJobState::Pending; ///< What callers may see; final only once stored.
    CellJobState outcome = CellJobState::Unknown; ///< Final state that was reached, perhaps not stored yet.
    bool stored = false; ///< The job's row is known to be stored; nothing starts before.
    TimePoint storedAt; ///< Since when; nothing starts before the leader's row was renewed after it.
    bool anyStarted = false;
    bool unreconciled = false; ///< Was admitted under an earlier leader: its tasks may run on workers that do not answer.
    std::uint64_t revision = 0; ///< Grows with each change that has to be stored.
    std::uint64_t storedRevision = 0;
    std::vector<std::unique_ptr<StepInstance>> steps; ///< Of all occurrences that are due or unfinished.
    int nextOccurrence = 0; ///< The first that has no steps yet.
    int doneOccurrences = 0;
    std::map<std::pair<int, int>, StepProgress> finishedSteps; ///< Progress of occurrences that are done.
    TimePoint submitted;
    TimePoint softDeadline; ///< Objective of the first occurrence.
    TimePoint firmDeadline; ///< By then the first occurrence is so late that it helps nobody.
    bool excess = false; ///< Beyond the workspace's rate: served after the others.
    TimePoint admittedAt; ///< When this process first heard of it.
    TimePoint endedAt;
    int liveRuns = 0; ///< Runs of any task that may exist.
};

/// Limits on what a route's jobs may do, taken when a change needs them.
struct RouteRules {
    int attempts = 1;
    double stretch = 1;
    Duration targetLatency{0};
};

class JobTable
{
public:
    /// Adds a job unless it is known. @p now and @p unixNowMs are the same moment.
    JobEntry &add(const CellJob &job, const RouteRules &rules, TimePoint now, std::int64_t unixNowMs);
    /// Adds a final job, for answers about its state.
    void addFinal(const JobId &id, const RouteName &route, const WorkspaceId &workspace, CellJobState state, TimePoint now);
    /// Applies stored progress to a job that has just been added.
    void restore(JobEntry &entry, const JobProgress &progress);
    void drop(const JobId &id);

    [[nodiscard]] JobEntry *find(const JobId &id);
    [[nodiscard]] const JobEntry *find(const JobId &id) const;
    [[nodiscard]] StepInstance *findStep(const StepRef &ref);
    [[nodiscard]] std::unordered_map<JobId, std::unique_ptr<JobEntry>> &all();
    /// Jobs without an outcome.
    [[nodiscard]] const std::map<JobId, JobEntry *> &open() const;

    /// Creates the steps of occurrences that are due, and marks steps whose predecessors are done as ready.
    void release(JobEntry &entry, TimePoint now, std::int64_t unixNowMs);
    /// Jobs with occurrences in the future.
    void releaseDue(TimePoint now, std::int64_t unixNowMs);
    /// Ready steps with waiting tasks of jobs that may run.
    [[nodiscard]] std::vector<StepInstance *> waitingSteps();

    void onStarted(StepInstance &step, int index, RunNumber run, TimePoint now);
    /// A run was adopted from a worker's list.
    void onFound(StepInstance &step, int index, RunNumber run);
    void onSucceeded(StepInstance &step, int index, TimePoint now, std::int64_t unixNowMs);
    /// A run ended by its own fault; the second report of a run has no effect. True if the job has failed by it.
    [[nodiscard]] bool onFailed(StepInstance &step, const EndedEntry &end, const WorkerId &worker, int attempts, TimePoint now);
    /// A run ended, or never existed, without fault. The task waits again unless it has succeeded.
    void onReturned(StepInstance &step, int index, const std::string &checkpoint, TimePoint now);
    /// A run is certainly gone; called once for each run besides one of the above.
    void onRunGone(JobEntry &entry, StepInstance *step, int index);
    void finish(JobEntry &entry, CellJobState outcome, TimePoint now);

    /// Jobs whose progress has to be stored.
    [[nodiscard]] std::set<JobId> &dirty();
    [[nodiscard]] const std::set<JobId> &dirty() const;
    [[nodiscard]] JobProgress progressOf(const JobEntry &entry) const;
    /// The progress up to @p revision is stored. A final outcome becomes visible.
    void onStored(const JobId &id, std::uint64_t revision);

    [[nodiscard]] std::map<RouteName, int> queuedByRoute() const;
    /// Removes final jobs that ended before @p before; returns their ids.
    [[nodiscard]] std::vector<JobId> forgetEnded(TimePoint before);
    [[nodiscard]] std::size_t unfinished() const;

private:
    void shrink(JobEntry &entry);
    void changed(JobEntry &entry);
    void createOccurrence(JobEntry &entry, int occurrence);
    void markReady(JobEntry &entry, int occurrence, TimePoint now);
    void closeOccurrence(JobEntry &entry, int occurrence, TimePoint now, std::int64_t unixNowMs);

    std::unordered_map<JobId, std::unique_ptr<JobEntry>> m_jobs;
    std::set<JobId> m_dirty;
    std::map<JobId, JobEntry *> m_open; ///< Jobs without an outcome.
    std::map<StepRef, StepInstance *> m_steps; ///< Steps of open jobs.
};

} // namespace KingCupLadder
