// Internal to the shard controller: its jobs, workers and teams, and the steps that keep ledgers, charges, queue and index in
// agreement. Every change of a commitment goes through here.
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
    bool startRequested = false; ///< startOnce: the record of the start was asked for.
    bool startRecorded = false; ///< startOnce: the record of the start is durable; dispatch may have happened.
    std::optional<JobState> closing; ///< The final state; nothing of the job starts any more.
    bool finalRequested = false;
    bool finalRecorded = false;
    std::string reason; ///< Why it waits, or why it ended.
    std::vector<WorkerId> failedOn; ///< Distinct workers whose failures are charged to the job.
    std::uint32_t failures = 0; ///< All failed attempts since the last success.
    TimePoint retryAt{}; ///< An all-at-once job whose reservation timed out lets others go first until then.
};

struct ShardWorker {
    ShardWorker(VmInfo info, const WorkerSessionSettings &sessionSettings, TimePoint now) : vm(std::move(info)), session(sessionSettings, now), health({}) { }

    VmInfo vm;
    WorkerSession session;
    Ledger ledger;
    WorkerHealth health;
    std::vector<TaskId> starts; ///< Reserved, not sent. Entries whose task is no longer Reserved are dropped when sent.
    std::vector<TaskControl> controls; ///< Not sent.
    std::vector<TaskId> acks; ///< Not sent. A lost one is renewed when the worker reports the task again.
    std::unordered_map<TaskId, TeamId> orphans; ///< Ledger entries that belong to no current attempt of a known job.
    std::unordered_map<GrantId, TimePoint> timedOutGrants; ///< Timed-out requests that the worker may still serve, with their end.
    Resources observed; ///< Usage by the last inventory.
    std::int64_t connections = 0; ///< The most it takes, over all daemons; each grant uses one.
    Slots priorEpochSlots; ///< Grants of earlier epochs that may be in use.
    TimePoint priorEpochSlotsUntil{}; ///< When the last of them has ended.
    std::optional<JobId> preemptedFor; ///< Urgent job for which tasks are being moved away; others may not take the room.
    TimePoint preemptedUntil{};
    TimePoint checkpointUntil = TimePoint::max(); ///< Checkpoints that are not done by then become stops.
    TimePoint goneSince{};
    TimePoint wakeAt = TimePoint::max(); ///< Earliest entry in the timer queue.
    std::optional<Resources> counted; ///< Its part of the capacity totals.
    bool resendControls = false; ///< A batch was lost, and with it perhaps throttling.
    bool queuedForService = false;
    bool indexed = false; ///< Offered to placements.
    bool countedAsUnread = true; ///< Part of ShardState::unread.
};

struct TeamAccount {
    Resources running;
    Resources reservedUnread;
    Resources allotment;
};

struct ShardGrant {
    std::uint32_t worker = 0;
    TeamId team;
    RouteName route;
    Resources demand;
};

using WorkerIndex = std::uint32_t;

class ShardState
{
public:
    ShardState(const ShardSettings &shardSettings, TimePoint now);

    // Look-ups.

    [[nodiscard]] ShardJob *job(const JobId &id);
    [[nodiscard]] const ShardJob *job(const JobId &id) const;
    [[nodiscard]] ShardWorker *worker(const WorkerId &id);
    /// The job if @p task is its current, live attempt on this worker; otherwise null.
    [[nodiscard]] ShardJob *currentOn(const TaskId &task, WorkerIndex worker);

    // Configuration.

    void applyTables(std::shared_ptr<const Tables> newTables);
    [[nodiscard]] PowerSource power() const;
    [[nodiscard]] Resources teamLimit(const TeamId &team) const;
    [[nodiscard]] bool hasTables() const;

    // Workers.

    WorkerIndex addWorker(const VmInfo &vm, TimePoint now);
    void removeWorker(WorkerIndex index);
    /// Refreshes the placement index and the capacity totals after any change of the worker.
    void refresh(WorkerIndex index);
    void setUnread(std::uint32_t count);
    [[nodiscard]] bool allRead() const;
    [[nodiscard]] std::uint32_t readWorkers() const;
    [[nodiscard]] bool couldEverFit(const Resources &demand, std::uint32_t count) const;

    // Charges. "Unread" is what may run on workers that were not read.

    void charge(const TeamId &team, const Resources &amount);
    void discharge(const TeamId &team, const Resources &amount);
    void updateUnread();

    // Attempts.

    /// Puts one queued task on the worker. False, without effect, if the ledger refuses.
    [[nodiscard]] bool place(ShardJob &job, WorkerIndex index, TimePoint now);
    /// Frees the worker and the charge of the attempt; the index keeps its phase.
    void releaseAttempt(const ShardJob &job, std::uint32_t task);
    void releaseOrphan(WorkerIndex index, const TaskId &task);
    /// The index waits again; its earlier attempt is proved stopped or was never sent.
    void requeue(ShardJob &job, std::uint32_t task, TimePoint now);
    void enqueueTasks(const ShardJob &job, std::uint32_t count, TimePoint now);
    /// One waiting task of the job leaves the queue without being placed.
    void dropWaiting(const ShardJob &job, TimePoint now);
    void control(ShardJob &job, std::uint32_t task, TaskAction action, TimePoint now);
    void releasePreemptedWorkers(const JobId &job);
    void dropGrant(const GrantId &id);
    /// Has every team compared with its allotment.
    void checkLimits();
    /// Whether the worker may take new work now.
    [[nodiscard]] bool isPlaceable(const ShardWorker &worker) const;

    /// Whether a job that is not known here has certainly ended. Asks for a scan of the queue rows if that is not known.
    [[nodiscard]] bool hasEnded(const JobId &id);

    // Output.

    void record(const JobId &job, JobState state, const std::string &reason);
    void wake(WorkerIndex index, TimePoint at);
    void service(WorkerIndex index);
    [[nodiscard]] OpId nextOp();

    struct Timer {
        TimePoint at;
        WorkerIndex worker;
        friend bool operator>(const Timer &a, const Timer &b)
        {
            return a.at > b.at;
        }
    };
    using CapacityKey = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t>;

    ShardSettings settings;
    std::shared_ptr<const Tables> tables;
    FairQueue queue;
    PlacementIndex index;
    GangReservation gang;
    std::unordered_map<JobId, std::unique_ptr<ShardJob>> jobs;
    std::vector<std::unique_ptr<ShardWorker>> workers; ///< Null: free, listed in freeWorkers.
    std::vector<WorkerIndex> freeWorkers;
    std::unordered_map<WorkerId, WorkerIndex> workerIndex; ///< Listed workers only.
    std::unordered_map<TeamId, TeamAccount> teams;
    std::unordered_map<GrantId, ShardGrant> grants;
    std::unordered_set<JobId> heldJobs; ///< With Held tasks.
    std::unordered_map<JobId, std::vector<WorkerIndex>> rooms; ///< Workers on which room is made for an urgent job.
    std::unordered_set<TeamId> teamsToCheck; ///< To be checked against their allotment.
    std::unordered_set<JobId> finished; ///< Recently; a repeated enqueue() of them is ignored.
    std::deque<JobId> finishedOrder;
    std::map<CapacityKey, std::uint32_t> capacities; ///< Read, listed workers by capacity.
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::vector<WorkerIndex> serviceQueue; ///< Workers with something to send.
    std::unordered_map<JobId, std::uint64_t> unknownJobs; ///< Seen on workers -> the scan of the queue rows that settles it.
    std::uint64_t scansBegun = 0;
    std::uint64_t scanEnded = 0; ///< The newest that has ended.
    std::vector<ShardOutput> outputs;
    ShardCounters counters;
    Resources total; ///< Capacity of read, listed workers.
    Resources taskUse; ///< Committed by tasks.
    Resources requestUse; ///< Committed by grants.
    Resources requestDemand; ///< The largest demand of a request route of the pool.
    std::optional<Resources> requestShortage; ///< Demand of a request that was refused below the requests' minimum.
    TimePoint lastGrantRequest{}; ///< Of the last request for a grant.
    bool wished = false;
    std::uint32_t unread = 0;
    bool unreadChanged = false;
    bool everThrottled = false;
    bool recoveredOnce = false;
    bool leaseConfirmed = false; ///< Until the store confirms it.
    bool suspended = false;
    bool dirty = true; ///< Something may be placed that could not be placed before.
    std::mt19937_64 random;

private:
    void countCapacity(ShardWorker &worker);

    std::uint64_t m_ops = 0;
    Resources m_largestRead;
};

} // namespace KingCupLadder
