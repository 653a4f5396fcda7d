// The scheduler of one owned shard: job queue, resource ledgers, placement, task life cycle and slot grants of its workers.
// An object exists only while this daemon owns the shard in one epoch; each new ownership creates a new object.
#pragma once

#include "error.h"
#include "messages.h"
#include "placement.h"
#include "shardsafetychecks.h"
#include "tables.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct ShardSettings {
    ShardId id;
    PoolName pool;
    FailureDomain domain;
    DaemonId owner;
    Epoch epoch;
    std::uint64_t seed = 1;
    Duration syncInterval{250}; ///< Interval between two batches to a worker if no commands or acknowledgements are pending for it.
    Duration syncTimeout{1000}; ///< The caller answers each SyncWorker through onWorkerReply() within this time.
    Duration taskTerm{10000}; ///< Lease term of tasks with PartitionPolicy::Move.
    Duration margin{1000}; ///< Allowance for differing clock rates and delays.
    Duration maxGrantTerm{30000}; ///< The maximum term of a grant of any epoch.
    Duration maxStartAge{3000}; ///< Workers without epochs ignore a start older than this.
    /// Lease term of the previous owner, including its margin (by default 6 s and 1 s, see OwnershipSettings). Nothing starts on workers
    /// without epochs before it has passed.
    Duration previousOwnerTerm{7000};
    Duration maxUrgentWait{2100}; ///< Urgent work starts within this time.
    Duration gangTimeout{10000}; ///< A reservation for an all-at-once job is released after this time.
    Duration inventoryInterval{5000}; ///< Interval between two inventories of a reachable worker.
    PlacementPolicy placementPolicy =
        PlacementPolicy::DotProduct; ///< DotProduct had the shortest waits of urgent work on both deployments; see docs/placement.md.
    Resources maxWorkerCapacity; ///< Capacity of the largest VM of the pool; zero: use the largest one that was read.
    ShardSafetyChecks safetyChecks;
};

/// Output: store the state of a job durably, then call ShardController::jobStatePersisted().
struct PersistJobState {
    JobId job;
    JobState state = JobState::Queued;
    std::string reason;
};

/// Output: scan the queue rows again, to find out whether this job has ended. A worker runs tasks of the job, which is unknown here.
struct ScanQueue {
    JobId job;
};

using ShardOutput = std::variant<SyncWorker, PersistJobState, ScanQueue>;

struct WorkerStatus {
    WorkerId id;
    std::string phase; ///< "unread", "ready", "unreachable", "leaving", "quarantined", "probation", "gone".
    std::string reason;
    Resources capacity;
    Resources committed;
    std::uint32_t tasks = 0;
};

struct TeamUse {
    TeamId team;
    Resources running; ///< Committed on workers whose inventory has been read.
    Resources reservedUnread; ///< Upper bound of what may run on workers whose inventory has not been read.
    Resources allotment;
    std::uint32_t queuedTasks = 0;
    Resources queuedDemand; ///< Total demand of all queued tasks.
};

/// Counts since the controller was created.
struct ShardCounters {
    std::uint64_t taskStarts = 0;
    std::uint64_t taskEnds = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t grants = 0;
    std::uint64_t grantRefusals = 0;
    std::uint64_t syncs = 0;
};

class ShardController
{
public:
    [[nodiscard]] static Result<std::unique_ptr<ShardController>> create(const ShardSettings &settings, std::shared_ptr<const Tables> tables, TimePoint now);
    ~ShardController();
    ShardController(const ShardController &) = delete;
    ShardController &operator=(const ShardController &) = delete;

    // Inputs from other controllers.

    void setTables(std::shared_ptr<const Tables> tables, TimePoint now);
    /// Sets the VMs of this shard as listed by the platform. A worker that is no longer listed is gone.
    void setWorkers(const std::vector<VmInfo> &vms, TimePoint now);
    /// Sets the part of the team's limit that this shard may use. Takes effect at once; if more is running, no task of the team
    /// starts and the excess is checkpointed or stopped.
    void setAllotment(const TeamId &team, const Resources &allotment, TimePoint now);
    /// Sets whether the store confirms the lease of the owning daemon. Only while it does, leases of "move" tasks are renewed, "move" tasks
    /// start, and workers without epochs get new work.
    void setLeaseConfirmed(bool confirmed, TimePoint now);
    /// While suspended, no outputs are emitted and no grants are made. Used during a hand-over, so that the inventories that the next owner
    /// reads are complete.
    void setSuspended(bool suspended);

    // Jobs and tasks.

    /// Adds jobs found in the store after a take-over. Their tasks may be running on workers whose inventory has not been read.
    void recover(const std::vector<JobRecord> &jobs, TimePoint now);
    /// Call before scanning all queue rows of the shard. Returns the number of the scan.
    [[nodiscard]] std::uint64_t beginQueueScan();
    /// Call after all jobs found by the scan were passed to recover(). A job that is still unknown, and whose tasks were seen on a
    /// worker before the scan began, has ended: its tasks are stopped and their reports acknowledged.
    void endQueueScan(std::uint64_t scan, TimePoint now);
    /// Adds a job that was admitted in this epoch, so none of its tasks has started. Returns false for a known job. Fails with
    /// ErrorKind::NeverFits if its demand is above the team's limit, or if no worker is large enough for one of its tasks or, for an
    /// all-at-once job, the workers are too small for all of them together.
    [[nodiscard]] Result<bool> enqueue(const JobSpec &job, TimePoint now);
    void cancel(const JobId &job, TimePoint now);
    /// The job state requested by a PersistJobState is now durable.
    void jobStatePersisted(const JobId &job, JobState state, TimePoint now);
    void onWorkerReply(const WorkerReply &reply, TimePoint now);

    // Request grants.

    [[nodiscard]] Result<Grant> grant(const GrantSpec &spec, const DaemonId &holder, TimePoint now);
    void release(const GrantId &grant, GrantOutcome outcome, TimePoint now);

    /// Places tasks, emits due messages and handles timeouts. Cheap when nothing is due.
    void tick(TimePoint now);
    [[nodiscard]] std::vector<ShardOutput> takeOutputs();

    // Status.

    [[nodiscard]] const ShardSettings &settings() const;
    [[nodiscard]] Resources freeResources() const;
    [[nodiscard]] Resources capacity() const; ///< Total of the workers whose inventory has been read.
    [[nodiscard]] std::uint32_t queuedTasks() const;
    [[nodiscard]] std::vector<WorkerStatus> workers() const;
    [[nodiscard]] std::vector<TeamUse> teams() const;
    [[nodiscard]] ShardCounters counters() const;
    /// Whether the job is queued or has tasks here, or has recently finished here.
    [[nodiscard]] bool hasJob(const JobId &job) const;
    /// Whether the inventory of every listed worker has been read in this epoch.
    [[nodiscard]] bool allWorkersRead() const;
    /// Whether all workers have been read and the demand exceeds the capacity of each of them.
    [[nodiscard]] bool neverFits(const Resources &demand) const;
    /// Describes for operators what the job does or why it waits.
    [[nodiscard]] std::string explain(const JobId &job) const;

private:
    ShardController();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
