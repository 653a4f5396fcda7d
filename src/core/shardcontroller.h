// The owner's side of one shard: queue, ledgers, placement, task life cycle and request grants of its workers.
// Exists only while this daemon owns the shard at one epoch; a new ownership is a new object.
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
    Duration syncInterval{250}; ///< Between two messages to a worker without news.
    Duration syncTimeout{1000}; ///< The caller of onWorkerReply answers each SyncWorker within this span.
    Duration taskTerm{10000}; ///< Lease of tasks with PartitionPolicy::Move.
    Duration margin{1000}; ///< Allowance for differing clock rates and delays.
    Duration maxGrantTerm{30000}; ///< The longest term of a grant of any epoch.
    Duration maxStartAge{3000}; ///< For workers without epochs.
    Duration ownerLeaseTerm{7000}; ///< Lease term plus margin of the previous owner, for workers without epochs.
    Duration maxUrgentWait{2100}; ///< Urgent work starts within this span.
    Duration gangTimeout{10000}; ///< A reservation for an all-at-once job is given up after this span.
    Duration inventoryInterval{5000}; ///< Between two inventories of a worker that answers.
    PlacementPolicy rule = PlacementPolicy::DotProduct; ///< Lowest urgent waits on both deployments; see docs/placement.md.
    Resources maxWorkerCapacity; ///< The largest VM of the pool if it is known; zero: the largest that was read.
    ShardSafetyChecks guards;
};

/// The state of a job has to become durable; answered by ShardController::jobStatePersisted().
struct PersistJobState {
    JobId job;
    JobState state = JobState::Queued;
    std::string reason;
};

/// A worker runs tasks of an unknown job: the queue rows have to be scanned again to tell whether it has ended.
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
    Resources running; ///< Committed on workers that have been read.
    Resources reservedUnread; ///< The most that may run on workers that have not been read.
    Resources allotment;
    std::uint32_t queuedTasks = 0;
    Resources queuedDemand; ///< Of all queued tasks.
};

/// Numbers since the controller was created.
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

    // State that other controllers hand in.

    void setTables(std::shared_ptr<const Tables> tables, TimePoint now);
    /// The VMs of this shard as listed by the platform. A worker that was listed before and is missing now is gone.
    void setWorkers(const std::vector<VmInfo> &vms, TimePoint now);
    /// The part of the team's limit that this shard may have running. Takes effect at once; a smaller value than what runs
    /// stops admission and then checkpoints or stops the excess.
    void setAllotment(const TeamId &team, const Resources &allotment, TimePoint now);
    /// Whether the store confirms this owner. Leases of "move" tasks are renewed only while it does.
    void setLeaseConfirmed(bool confirmed, TimePoint now);
    /// After true, nothing is emitted any more except by a later false. Used while the daemon's lease is in doubt.
    void setSuspended(bool suspended);

    // Work.

    /// Jobs found in the store after a take-over. Their tasks may be running on workers that have not been read.
    void recover(const std::vector<JobRecord> &jobs, TimePoint now);
    /// A scan of all queue rows of the shard begins; returns its number.
    [[nodiscard]] std::uint64_t beginQueueScan();
    /// Every job that the scan found is known to the controller. A job whose tasks were seen on a worker before the scan began
    /// and that is still unknown has ended: its tasks are stopped and their reports acknowledged.
    void endQueueScan(std::uint64_t scan, TimePoint now);
    /// A job that was admitted under this ownership: none of its tasks has started. Known jobs are ignored. Refused with
    /// ErrorKind::NeverFits if no worker can ever take a task of it.
    [[nodiscard]] Result<bool> enqueue(const JobSpec &job, TimePoint now);
    void cancel(const JobId &job, TimePoint now);
    /// The PersistJobState with this state is durable.
    void jobStatePersisted(const JobId &job, JobState state, TimePoint now);
    void onWorkerReply(const WorkerReply &reply, TimePoint now);

    // Requests.

    [[nodiscard]] Result<Grant> grant(const GrantWish &wish, const DaemonId &holder, TimePoint now);
    void release(const GrantId &grant, GrantOutcome end, TimePoint now);

    /// Places work, sends due messages, ends what timed out. Cheap when there is nothing to do.
    void tick(TimePoint now);
    [[nodiscard]] std::vector<ShardOutput> takeOutputs();

    // Views.

    [[nodiscard]] const ShardSettings &settings() const;
    [[nodiscard]] Resources freeResources() const;
    [[nodiscard]] Resources capacity() const; ///< Of the workers that have been read.
    [[nodiscard]] std::uint32_t queuedTasks() const;
    [[nodiscard]] std::vector<WorkerStatus> workers() const;
    [[nodiscard]] std::vector<TeamUse> teams() const;
    [[nodiscard]] ShardCounters counters() const;
    /// Whether the job is queued or has tasks here.
    [[nodiscard]] bool knows(const JobId &job) const;
    /// Whether every listed worker has been read at this epoch.
    [[nodiscard]] bool allWorkersRead() const;
    /// Whether all workers have been read and none could ever take the demand.
    [[nodiscard]] bool neverFits(const Resources &demand) const;
    /// Why the job waits, or what it does; for operators.
    [[nodiscard]] std::string explain(const JobId &job) const;

private:
    ShardController();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
