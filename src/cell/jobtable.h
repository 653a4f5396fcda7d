// The leader's table of the cell's jobs: which tasks wait, run or have succeeded, and which progress has yet to be stored.
#pragma once

#include "cellconfig.h"
#include "celljob.h"
#include "gangwaits.h"
#include "occurrenceset.h"
#include "placementplan.h"
#include "workertable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

/// Permission of the policy service to start a step's tasks on one worker.
struct Ticket {
    WorkerIndex worker = 0;
    std::string text; ///< Passed to the worker with each start.
    TimePoint validUntil; ///< On the clock of this process.
};

/// Answers of the policy service for one step.
struct StepAdvice {
    std::vector<Ticket> tickets; ///< Of the allowed workers, ordered by worker. A worker stays allowed when its ticket expires.
    std::set<WorkerIndex> evaluated; ///< Workers named in answered calls.
    bool questionInFlight = false; ///< A call about workers that the step has not asked about is queued or sent.
    bool renewalInFlight = false; ///< A call that renews tickets is queued or sent.
    bool isRenewalSentSoon = false; ///< While renewalInFlight: the call has been sent or will be soon, as of the last time that a daemon was free.
    std::vector<WorkerId> workersToRenew; ///< Allowed workers with room for the step but without a valid ticket, as of the last pass.
    TimePoint questionSince; ///< While questionInFlight: when the call was queued.
    TimePoint renewalSince; ///< While renewalInFlight: when the call was queued.
    TimePoint nextCall; ///< Earliest time of the next call.
    TimePoint nextRenewal; ///< Earliest time of the next ticket renewal.
    int renewals = 0; ///< Renewals since the step last started a task.

    [[nodiscard]] Ticket *find(WorkerIndex worker);
    [[nodiscard]] const Ticket *find(WorkerIndex worker) const;
    void put(Ticket ticket);
};

enum class CellTaskPhase {
    Waiting,
    Active, ///< A run of the task may exist.
    Succeeded,
};

struct CellTask {
    CellTaskPhase phase = CellTaskPhase::Waiting;
    std::set<RunNumber> failedRuns; ///< Failed runs of a gang are kept at its first task.
    CrashHistory crashes; ///< Those of a gang are kept at its first task.
    int liveRuns = 0; ///< Runs that may exist, including obsolete ones. A new run requires zero.
    RunNumber lastRun;
    std::string checkpoint;
    std::set<WorkerId> failedOn;
    TimePoint notBefore; ///< Earliest start after a failure.
    TimePoint lastRunEnded; ///< When the last run under this leader ended or was lost; zero: none has.
    RunNumber preemptedRun; ///< The last run, if it was stopped for work of a higher priority; zero: it was not. The task is not preempted twice in a row.
    bool unreconciled = false; ///< Not used; see JobEntry::unreconciled.
};

struct JobEntry;

/// One step of one occurrence of a job, with its tasks.
struct StepInstance {
    StepRef ref;
    JobEntry *job = nullptr;
    const StepSpec *spec = nullptr;
    std::vector<CellTask> tasks;
    int waiting = 0; ///< Tasks in phase Waiting.
    int succeeded = 0;
    int active = 0; ///< Tasks in phase Active.
    std::string gangCheckpoint;
    RunNumber gangRun; ///< Run number shared by the active members.
    TimePoint gangStarted; ///< Start time of the first member of gangRun.
    bool gangStopping = false; ///< A member has ended or cannot be placed: all members are stopped before the gang restarts.
    StepAdvice advice;
    bool isStarving = false; ///< Ranked before all other steps, see CellScheduler::selectStarvingSteps().
    TimePoint nextRoomCount; ///< Until then the step counts as starving without room.
    std::vector<std::pair<WorkerIndex, TimedResources>> gangReservations; ///< Capacity that the waiting gang reserved at its last turn.
    TimePoint lastGangTurn; ///< When a pass last looked for room for the waiting gang.
    GangWaits gangWaits; ///< Of a gang that has not started.
    bool isLateStartLogged = false; ///< The gang can no longer start in time, and the log says so.
    int missingTasks = 0; ///< Of a gang that has too few allowed workers: tasks that fit on none of them.
    TimePoint placeWaitSince; ///< When the step first waited for a place, see CellScheduler::waitsForPlace(); zero: never.
    int withheldTasks = 0; ///< Tasks that fit into free capacity with a valid ticket, but not beside the reservations of other steps, in the last pass.
    std::uint64_t consideredAtGeneration = 0; ///< WorkerTable::generation() when placement last considered the step; 0: consider it again.
    TimePoint lastTurn; ///< When the step last took part in a placement pass that was not a full one.
    TimePoint lastFullTurn; ///< When the step last took part in a full placement pass.
    TimePoint nextPreemption; ///< Earliest time at which runs may be stopped for the step.
    TimePoint readySince; ///< Since when the step is due and needs no earlier step; zero: not ready.
    TimePoint expectedEnd; ///< Latest expected end of the active tasks.
    StepDurations durations; ///< Of the step's runs.
    Duration expectedDuration{0}; ///< Of a task on a worker of factor 1, as of nextDurationUpdate; zero: the estimate.
    TimePoint nextDurationUpdate; ///< When expectedDuration is computed again.
    double gangFactor = 1; ///< Factor of the slowest worker of the present run of a gang.

    [[nodiscard]] bool isDone() const
    {
        return succeeded == static_cast<int>(tasks.size());
    }

    /// Since when the task, or the gang to which it belongs, waits as a suspect of crashing workers. Known of each suspect, also after a change
    /// of the leader, so that it bounds the wait.
    [[nodiscard]] TimePoint suspectedSince(int index) const;

    /// Crashes under the task, or under the gang to which it belongs.
    [[nodiscard]] CrashHistory &crashesOf(int index)
    {
        return tasks.at(spec->gang ? 0 : static_cast<std::size_t>(index)).crashes;
    }
    [[nodiscard]] const CrashHistory &crashesOf(int index) const
    {
        return tasks.at(spec->gang ? 0 : static_cast<std::size_t>(index)).crashes;
    }
};

/// An occurrence of a job whose steps exist.
struct OpenOccurrence {
    bool isDue = false; ///< Its steps may start once their dependencies are met.
    std::uint64_t doneRevision = 0; ///< Revision of the job that contains the end of the occurrence; 0: it has not ended.
};

/// A job and its scheduling state.
struct JobEntry {
    CellJob job;
    CellJobState state = CellJobState::Pending; ///< State shown to callers; final only once it is stored.
    CellJobState outcome = CellJobState::Unknown; ///< Final state of the job, possibly not stored yet.
    bool stored = false; ///< The job's row is stored; a precondition for starts.
    TimePoint storedAt; ///< When stored was set. Starts also require a later renewal of the leader's row.
    bool hasRun = false; ///< A task is known to have run. A start that was sent may have been lost.
    bool unreconciled = false; ///< Admitted by a previous leader: tasks may run on workers that have not answered this leader.
    std::uint64_t revision = 0; ///< Incremented by each change that has to be stored.
    std::uint64_t storedRevision = 0;
    std::vector<std::unique_ptr<StepInstance>> steps; ///< Steps of the open occurrences.
    std::map<int, OpenOccurrence> openOccurrences; ///< An occurrence stays open until its end is stored and it has no runs left.
    int nextOccurrence = 0; ///< All earlier occurrences are due, and are open or done.
    OccurrenceSet doneOccurrences; ///< Occurrences of which all tasks have succeeded.
    TimePoint submittedAt;
    TimePoint dueAt; ///< When the first occurrence is due.
    TimePoint softDeadline; ///< Objective of the first occurrence; the occurrence is late afterwards.
    TimePoint firmDeadline; ///< The result of the first occurrence is worthless afterwards.
    bool overRate = false; ///< The job exceeded the workspace's rate when it was admitted and is scheduled after other jobs.
    TimePoint addedAt; ///< When the job was added to this table.
    TimePoint endedAt;
    int liveRuns = 0; ///< Runs of any task of the job that may exist.
};

/// Returns how many due occurrences of the job may be open at a time; at least one.
[[nodiscard]] int maxOpenOccurrences(const CellJob &job);

/// All jobs known to the leader, with their steps and tasks.
class JobTable
{
public:
    /// Adds a job, or returns the existing entry. @p rules is null if they are not known; see setObjective(). @p now and @p unixNowMs denote
    /// the same time.
    JobEntry &add(const CellJob &job, const RouteRules *rules, TimePoint now, std::int64_t unixNowMs);
    /// Sets the deadlines of the job.
    static void setObjective(JobEntry &entry, const RouteRules &rules);
    /// Adds a job that has ended, so that its state can be queried.
    void addFinal(const JobId &id, const RouteName &route, const WorkspaceId &workspace, CellJobState state, TimePoint now);
    /// Applies stored progress to a newly added job. @p now and @p unixNowMs denote the same time.
    void restore(JobEntry &entry, const JobProgress &progress, TimePoint now, std::int64_t unixNowMs);
    void drop(const JobId &id);

    [[nodiscard]] JobEntry *find(const JobId &id);
    [[nodiscard]] const JobEntry *find(const JobId &id) const;
    [[nodiscard]] StepInstance *findStep(const StepRef &ref);
    [[nodiscard]] const StepInstance *findStep(const StepRef &ref) const;
    [[nodiscard]] std::unordered_map<JobId, std::unique_ptr<JobEntry>> &all();
    /// Jobs that have no outcome yet.
    [[nodiscard]] const std::map<JobId, JobEntry *> &unfinishedEntries() const;

    /// Creates the steps of the job's due occurrences, in order, and marks those without unfinished dependencies as ready. At most
    /// maxOpenOccurrences() are open at a time, so that the time and the memory that a job takes do not grow with its backlog.
    void createDueOccurrences(JobEntry &entry, TimePoint now, std::int64_t unixNowMs);
    /// Returns the step of a run that a worker has reported. Creates the steps of its occurrence if it is not open and has not ended: a previous
    /// leader may have opened more occurrences. Null if the job or the step is unknown or the occurrence has ended.
    [[nodiscard]] StepInstance *findReportedStep(const StepRef &ref);
    /// Calls createDueOccurrences() for all recurring jobs.
    void createAllDueOccurrences(TimePoint now, std::int64_t unixNowMs);
    /// Ready steps with waiting tasks, of stored jobs.
    [[nodiscard]] std::vector<StepInstance *> waitingSteps();

    void onStarted(StepInstance &step, int index, RunNumber run, TimePoint now);
    /// Counts a run that was discovered in a worker's list.
    void onDiscovered(StepInstance &step, int index, RunNumber run);
    void onSucceeded(StepInstance &step, int index, TimePoint now, std::int64_t unixNowMs);
    /// A run of a long-running task ended by itself. The task is started again after a short pause.
    static void onLongRunningTaskEnded(StepInstance &step, int index, TimePoint now);
    /// Counts a run that failed; repeated reports of one run have no effect. Returns true if the job fails as a result. @p rules is null if they
    /// are not known; the job doesn't fail then, see failIfAttemptsUsedUp().
    [[nodiscard]] bool onFailed(StepInstance &step, const EndedEntry &end, const WorkerId &worker, const RouteRules *rules, TimePoint now);
    /// Fails the job if one of its tasks has failed as often as @p rules allow. Returns true if so.
    [[nodiscard]] bool failIfAttemptsUsedUp(JobEntry &entry, const RouteRules &rules, TimePoint now);
    /// Counts a crash of a worker under a run; repeated reports of one run have no effect. Returns true if the job fails as a result.
    [[nodiscard]] bool onWorkerCrashed(StepInstance &step, int index, RunNumber run, const WorkerCrash &crash, TimePoint now);
    /// The worker of the run was cut off and has not crashed.
    void onWorkerAnsweredAgain(StepInstance &step, int index, RunNumber run);
    /// A run ended without success or was lost. Keeps its checkpoint for the next run of the task.
    void onInterrupted(StepInstance &step, int index, const std::string &checkpoint, TimePoint now);
    /// A run is known not to exist any more. Called once per run, in addition to one of the functions above. The task waits again
    /// unless it has succeeded or has other runs.
    void onRunGone(JobEntry &entry, StepInstance *step, int index);
    void finish(JobEntry &entry, CellJobState outcome, TimePoint now);

    /// Jobs whose progress has to be stored.
    [[nodiscard]] std::set<JobId> &dirty();
    [[nodiscard]] const std::set<JobId> &dirty() const;
    [[nodiscard]] JobProgress progressOf(const JobEntry &entry) const;
    /// The progress up to @p revision is stored. Makes a final outcome visible to callers.
    void onStored(const JobId &id, std::uint64_t revision);

    /// Stored jobs of each route of which no task has started, as @p hasRun tells.
    [[nodiscard]] std::map<RouteName, int> queuedByRoute(const std::function<bool(const JobEntry &)> &hasRun) const;
    /// Removes and returns the jobs that ended before @p before and have no runs left.
    [[nodiscard]] std::vector<JobId> removeEnded(TimePoint before);
    [[nodiscard]] std::size_t unfinishedCount() const;

private:
    /// Discards the steps and the payload once the final state is stored and no runs are left.
    void discardStepsIfEnded(JobEntry &entry);
    void markDirty(JobEntry &entry);
    void createOccurrence(JobEntry &entry, int occurrence);
    /// Removes the steps of an open occurrence.
    void closeOccurrence(JobEntry &entry, int occurrence);
    /// Closes the occurrences whose end is stored and that have no runs left.
    void closeStoredOccurrences(JobEntry &entry);
    void restoreStep(JobEntry &entry, StepInstance &step, const StepProgress &stored, TimePoint now, std::int64_t unixNowMs);
    /// Marks the steps of a due occurrence as ready of which all dependencies are done.
    void markReady(JobEntry &entry, int occurrence, TimePoint now);
    [[nodiscard]] static bool isOccurrenceDone(const JobEntry &entry, int occurrence);
    /// Counts the occurrence as done if all of its steps are, and finishes the job with its last occurrence.
    void completeOccurrenceIfDone(JobEntry &entry, int occurrence, TimePoint now, std::int64_t unixNowMs);

    std::unordered_map<JobId, std::unique_ptr<JobEntry>> m_jobs;
    std::set<JobId> m_dirty;
    std::map<JobId, JobEntry *> m_unfinished; ///< Jobs that have no outcome yet.
    std::map<StepRef, StepInstance *> m_steps; ///< Steps of unfinished jobs and of jobs that still have runs.
};

} // namespace KingCupLadder
