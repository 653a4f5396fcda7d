// Internal to the shard controller: its jobs, workers and teams. All changes of commitments go through ShardState, which keeps the
// ledgers, the charges of teams, the queue and the placement index consistent.
#pragma once

#include "fairqueue.h"
#include "gang.h"
#include "ledger.h"
#include "placement.h"
#include "shardcontroller.h"
#include "tasklifecycle.h"
#include "workerhealth.h"
#include "workersession.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace KingCupLadder {

struct ShardJob {
    ShardJob(JobSpec jobSpec, bool held, std::uint32_t firstAttempt) : spec(std::move(jobSpec)), tasks(spec.taskCount, held, firstAttempt) { }

    JobSpec spec;
    TaskLifecycle tasks;
    bool startPersistRequested = false; ///< startOnce: a PersistJobState with JobState::Started was emitted.
    bool startPersisted = false; ///< startOnce: JobState::Started is durable; dispatch may have happened.
    std::optional<JobState> finalState; ///< The final state once it is decided; no task of the job starts any more.
    bool finalPersistRequested = false; ///< A PersistJobState with the final state was emitted.
    bool finalPersisted = false; ///< The final state is durable.
    std::string reason; ///< Why the job waits or ended.
    std::vector<WorkerId> failedOn; ///< Distinct workers on which the job failed, except those to which the failure is attributed.
    std::uint32_t failures = 0; ///< Failed attempts since the last success.
    TimePoint retryAt{}; ///< After its reservation timed out, an all-at-once job is not tried before this time.
};

struct ShardWorker {
    ShardWorker(VmInfo info, const WorkerSessionSettings &sessionSettings, TimePoint now) : vm(std::move(info)), session(sessionSettings, now), health({}) { }

    VmInfo vm;
    WorkerSession session;
    Ledger ledger;
    WorkerHealth health;
    std::vector<TaskId> starts; ///< Starts for the next batch. Entries whose task is no longer Reserved are dropped when the batch is built.
    std::vector<TaskControl> controls; ///< Control commands for the next batch.
    std::vector<TaskId> acks; ///< Acknowledgements for the next batch. A lost one is repeated when the worker reports the task again.
    std::unordered_map<TaskId, TeamId> orphans; ///< Tasks found in an inventory that hold ledger entries but are not the current attempt of a known job.
    std::unordered_map<GrantId, TimePoint> timedOutGrants; ///< Grants of timed-out requests that may still be served -> when they are released.
    Resources observed; ///< Usage in the last inventory.
    std::int64_t maxConnections = 0; ///< Maximum number of connections from all daemons; each grant uses one.
    Slots priorEpochSlots; ///< Slots that may still be in use by grants of earlier epochs.
    TimePoint priorEpochSlotsUntil{}; ///< When the last of these grants has expired.
    std::optional<JobId> preemptedFor; ///< The urgent job for which tasks are preempted; no other work is placed on the worker.
    TimePoint preemptedUntil{}; ///< When the worker takes other work again if the job was not placed.
    TimePoint checkpointDeadline = TimePoint::max(); ///< Tasks that have not finished their checkpoint by then are stopped.
    TimePoint goneSince{};
    TimePoint timerAt = TimePoint::max(); ///< Time of the earliest timer of this worker.
    std::optional<Resources> countedCapacity; ///< Capacity with which the worker is included in the capacity totals.
    bool resendControls = false; ///< A batch was lost that may have contained throttle or resume commands.
    bool isMarkedDue = false;
    bool indexed = false; ///< Whether the worker is in the placement index.
    bool countedAsUnread = true; ///< Whether the worker is counted in ShardState::unreadWorkers.
};

struct TeamAccount {
    Resources running; ///< Committed on workers whose inventory has been read.
    Resources reservedUnread; ///< Upper bound of what may run on workers whose inventory has not been read.
    Resources allotment;
};

struct ShardGrant {
    std::uint32_t workerIndex = 0;
    TeamId team;
    RouteName route;
    Resources demand;
};

using WorkerIndex = std::uint32_t;

class ShardState
{
public:
    ShardState(const ShardSettings &shardSettings, TimePoint now);

    // Lookup.

    [[nodiscard]] ShardJob *job(const JobId &id);
    [[nodiscard]] const ShardJob *job(const JobId &id) const;
    [[nodiscard]] ShardWorker *worker(const WorkerId &id);
    /// The job if @p task is its current, live attempt and is on this worker; otherwise null.
    [[nodiscard]] ShardJob *jobOfLiveAttempt(const TaskId &task, WorkerIndex worker);

    // Configuration.

    void applyTables(std::shared_ptr<const Tables> newTables);
    [[nodiscard]] PowerSource power() const;
    [[nodiscard]] Resources teamLimit(const TeamId &team) const;
    [[nodiscard]] bool hasTables() const;

    // Workers.

    WorkerIndex addWorker(const VmInfo &vm, TimePoint now);
    void removeWorker(WorkerIndex index);
    /// Updates the placement index and the capacity totals. Call after any change of the worker.
    void refreshWorker(WorkerIndex index);
    void setUnreadWorkers(std::uint32_t count);
    [[nodiscard]] bool allWorkersRead() const;
    [[nodiscard]] std::uint32_t readWorkerCount() const;
    [[nodiscard]] bool couldEverFit(const Resources &demand, std::uint32_t count) const;

    // Charges against allotments.

    void charge(const TeamId &team, const Resources &amount);
    void discharge(const TeamId &team, const Resources &amount);
    /// Recomputes TeamAccount::reservedUnread if the unread workers, the largest capacity or an allotment changed.
    void updateUnreadReserve();

    // Attempts.

    /// Places one queued task on the worker. Returns false without effect if it does not fit.
    [[nodiscard]] bool place(ShardJob &job, WorkerIndex index, TimePoint now);
    /// Releases the resources and the charge of the attempt. The phase of the task does not change.
    void releaseAttempt(const ShardJob &job, std::uint32_t task);
    void releaseOrphan(WorkerIndex index, const TaskId &task);
    /// Queues the task again. Its earlier attempt must be known to have stopped or was never sent.
    void requeue(ShardJob &job, std::uint32_t task, TimePoint now);
    void enqueueTasks(const ShardJob &job, std::uint32_t count, TimePoint now);
    /// Queues the job again with the tasks that are in TaskPhase::Queued. Call after a task left that phase without being placed.
    void rebuildQueueEntry(const ShardJob &job, TimePoint now);
    /// Adds a control command for the live attempt to the next batch to its worker.
    void addControl(ShardJob &job, std::uint32_t task, TaskAction action, TimePoint now);
    void releasePreemptedWorkers(const JobId &job);
    void releaseGrant(const GrantId &id);
    /// Schedules a check of every team's use against its allotment.
    void scheduleLimitChecks();
    /// Whether the worker may take new work now.
    [[nodiscard]] bool isPlaceable(const ShardWorker &worker) const;

    /// Whether a job that is not known here has certainly ended. The first call for a job requests a scan of the queue rows. Only a scan
    /// that begins after this call, and so after a task of the job was seen on a worker, shows that the job has ended.
    [[nodiscard]] bool hasEnded(const JobId &id);

    // Output.

    void requestPersist(const JobId &job, JobState state, const std::string &reason);
    void scheduleTimer(WorkerIndex index, TimePoint at);
    void markDue(WorkerIndex index);
    [[nodiscard]] OpId nextOp();

    struct Timer {
        TimePoint at;
        WorkerIndex workerIndex;
        friend bool operator>(const Timer &a, const Timer &b)
        {
            return a.at > b.at;
        }
    };
    using CapacityKey = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t>;

    ShardSettings settings;
    std::shared_ptr<const Tables> tables;
    FairQueue queue;
    PlacementIndex placementIndex;
    GangReservation gang;
    std::unordered_map<JobId, std::unique_ptr<ShardJob>> jobs;
    std::vector<std::unique_ptr<ShardWorker>> workers; ///< Null entries are unused and listed in vacantIndexes.
    std::vector<WorkerIndex> vacantIndexes;
    std::unordered_map<WorkerId, WorkerIndex> workerIndexes; ///< Listed workers only.
    std::unordered_map<TeamId, TeamAccount> teams;
    std::unordered_map<GrantId, ShardGrant> grants;
    std::unordered_set<JobId> heldJobs; ///< Jobs with held tasks.
    std::unordered_map<JobId, std::vector<WorkerIndex>> preemptedWorkers; ///< The workers that are preempted for an urgent job.
    std::unordered_set<TeamId> teamsToCheck; ///< Teams to check against their allotment.
    std::unordered_set<JobId> finishedJobs; ///< Recently finished jobs; a repeated enqueue() of them is ignored.
    std::deque<JobId> finishedOrder;
    std::map<CapacityKey, std::uint32_t> capacities; ///< Number of listed, read workers with each capacity.
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::vector<WorkerIndex> dueWorkers; ///< Workers that the next tick processes regardless of their timers.
    std::unordered_map<JobId, std::uint64_t> unknownJobs; ///< Jobs seen on workers -> the scan of the queue rows that decides whether they have ended.
    std::uint64_t lastStartedScan = 0; ///< Number of the newest scan of the queue rows.
    std::uint64_t lastCompletedScan = 0; ///< Number of the newest completed scan.
    std::vector<ShardOutput> outputs;
    ShardCounters counters;
    Resources totalCapacity; ///< Total capacity of listed, read workers.
    Resources committedByTasks; ///< Sum over all workers, including orphans.
    Resources committedByRequests; ///< Sum of the demands of all grants.
    Resources largestRequestDemand; ///< Component-wise largest demand of the pool's request routes.
    std::optional<Resources> refusedRequestDemand; ///< Demand of the last request that was refused for lack of a slot.
    TimePoint lastGrantRequest{}; ///< Time of the last request for a grant.
    bool grantRequested = false; ///< Whether a grant was ever requested.
    std::uint32_t unreadWorkers = 0; ///< Number of workers whose inventory has not been read in this epoch.
    bool unreadReserveOutdated = false; ///< TeamAccount::reservedUnread has to be recomputed.
    bool everThrottled = false; ///< Whether a task was ever throttled; until then no throttle or resume command is resent.
    bool recoveredOnce = false; ///< Set by the first recover() or endQueueScan(); held tasks stay held until then.
    bool leaseConfirmed = false; ///< False until the store confirms the owner's lease.
    bool suspended = false;
    bool needsRound = true; ///< Something may have become placeable since the last round.
    std::mt19937_64 random;

private:
    void countCapacity(ShardWorker &worker);

    std::uint64_t m_lastOp = 0;
    Resources m_largestCapacity; ///< Component-wise maximum of ShardSettings::maxWorkerCapacity and all capacities read.
};

} // namespace KingCupLadder
