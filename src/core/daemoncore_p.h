// Internals of DaemonCore: its controllers and the wiring between them.
#pragma once

#include "admission.h"
#include "allotments.h"
#include "configcontroller.h"
#include "daemoncore.h"
#include "freshness.h"
#include "grantclient.h"
#include "idempotency.h"
#include "jobforwarder.h"
#include "membership.h"
#include "ownership.h"
#include "shardcontroller.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

class DaemonCore::Private
{
public:
    /// One shard that this daemon owns.
    struct Shard {
        std::unique_ptr<ShardController> controller;
        Epoch epoch;
        TimePoint gainedAt{};
        bool everRead = false; ///< All workers were read at one time, so the controller's accounts are complete.
        bool scanning = false; ///< A scan of its queue rows is in flight.
        TimePoint nextScan{};
        bool suspended = false; ///< While it is being handed over.
        TimePoint suspendedAt{};
        std::set<WorkerId> workers; ///< Those that the controller has.
    };

    /// A command to a worker that was not answered.
    struct WorkerOp {
        ShardId shard;
        Epoch epoch;
        OpId inner; ///< The controller's own number.
        TimePoint sentAt{};
    };

    /// A cancellation that is not durable yet.
    struct Cancellation {
        std::vector<OpId> callers;
        ShardId shard;
        TimePoint until{};
    };

    /// A status query to the fleet.
    struct Gathering {
        OpId caller;
        FleetStatus status;
        std::set<DaemonId> waiting;
        TimePoint until{};
    };

    /// The last request of a team that a shard refused for its allotment; other daemons repeat their wishes while they wait.
    struct RefusedWish {
        Resources demand;
        TimePoint until{}; ///< Counts as wanted before this moment.
    };

    /// The state of a shard as its owner reports it in heartbeats.
    struct RemoteShard {
        DaemonId owner;
        OwnedShard state;
    };

    using StoreHandler = std::function<void(const StoreReply &, TimePoint)>;

    explicit Private(const DaemonCoreSettings &coreSettings, TimePoint now);

    DaemonCoreSettings settings;
    TimePoint startedAt{};
    OpId lastOp;
    std::vector<Command> commands;
    bool stopping = false;
    std::uint64_t nextSeed = 1;

    ConfigController config;
    Membership membership;
    std::unique_ptr<Ownership> ownership;
    std::unique_ptr<Admission> admission;
    Claims claims;
    GrantClient grants;
    JobForwarder jobs;
    Allotments allotments;
    std::map<ShardId, Shard> shards; ///< Owned here, one controller for each.

    std::unordered_map<WorkerId, ShardId> shardOfWorker;
    std::unordered_map<OpId, WorkerOp> workerOps;
    std::unordered_map<OpId, TimePoint> storeOps; ///< Sending time of store operations in flight.
    std::unordered_map<OpId, StoreHandler> storeHandlers; ///< Those that this class itself issued.
    std::unordered_map<JobId, ShardId> recording; ///< Shards that wait for a job record to become durable.
    std::unordered_map<JobId, Cancellation> cancellations;
    /// Jobs whose end was recorded here lately. A row that was read before the end is not taken for a waiting job.
    std::unordered_map<JobId, TimePoint> endedLately;
    std::map<std::pair<ShardId, TeamId>, RefusedWish> refusedWishes;
    std::map<OpId, Gathering> gatherings;
    std::unordered_map<DaemonId, HeartbeatEcho> echoes; ///< Newest stamp of each peer.
    std::map<ShardId, RemoteShard> remoteShards;
    std::set<DaemonId> liveBefore; ///< To notice when a peer is lost.
    std::optional<TimePoint> storeConfirmed; ///< Sending time of the newest answered store operation.
    OpId vmListOp;
    TimePoint vmListSent{}; ///< Of the request in flight.
    TimePoint vmListTaken{}; ///< Sending time of the request whose list is in force.
    TimePoint nextSlowTick{};
    bool workersUnderLease = false; ///< Whether the lease was confirmed at the last updateWorkers().
    std::size_t leavingTaken = 0; ///< Leaving VMs at the last updateWorkers().
    std::shared_ptr<const Tables> knownTables;

    OpId newOp();
    [[nodiscard]] Duration storeAge(TimePoint now) const;

    // Commands.
    void emit(Command command);
    void answer(OpId op, CallerBody body);
    void fail(OpId op, const Error &error, ExecutionStatus ran = ExecutionStatus::NotRun, Duration retryAfter = Duration(0));
    void sendPeer(const DaemonId &to, PeerMessage message);
    void readStore(const std::string &table, const std::vector<std::string> &keys, StoreHandler handler);
    void scanStore(const std::string &table, const std::string &prefix, StoreHandler handler);

    // Outputs of the parts. Repeats until no part has any left.
    void drain(TimePoint now);
    bool drainConfig(TimePoint now);
    bool drainOwnership(TimePoint now);
    bool drainShards(TimePoint now);
    bool drainWork(TimePoint now);
    bool drainGrants(TimePoint now);
    bool drainAllotments(TimePoint now);

    // Shards.
    void onTablesChanged(TimePoint now);
    void gainShard(const ShardGained &gained, TimePoint now);
    void loseShard(const ShardId &shard);
    void startHandOver(const HandOverProposed &wanted, TimePoint now);
    void updateWantedShards(TimePoint now);
    void updateWorkers(TimePoint now);
    /// For what changes without a new list: the lease, and VMs that peers report as leaving.
    void updateWorkersIfChanged(TimePoint now);
    void scanQueue(const ShardId &shard, TimePoint now);
    void onQueueRows(const ShardId &shard, Epoch epoch, std::uint64_t scan, const StoreReply &reply, TimePoint now);
    void takeJobRows(const ShardId &shard, Epoch epoch, const StoreReply &reply, TimePoint now);
    void takeJobs(Shard &shard, Epoch admittedFor, const std::vector<JobRecord> &records, TimePoint now);
    void enqueueHere(Shard &shard, const JobSpec &spec, TimePoint now);
    void recordJob(const ShardId &shard, const PersistJobState &record, TimePoint now);
    void rememberEnd(const JobId &job, TimePoint now);
    void onJobRecorded(const JobRecorded &recorded, TimePoint now);
    void onRecordRefused(const JobRecordRefused &refused, TimePoint now);
    void answerCancellation(const JobId &job, JobState state, TimePoint now);
    void verifyJobs(const ShardId &id, Epoch epoch, const std::vector<std::string> &keys);
    void updateAllotmentNeeds(TimePoint now);
    void tickShards(TimePoint now);
    [[nodiscard]] Shard *shard(const ShardId &id);
    [[nodiscard]] Shard *shardAt(const ShardId &id, Epoch epoch);
    [[nodiscard]] std::vector<ShardCandidate> shardsOfPool(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] std::optional<ShardCandidate> choiceFor(const ShardId &id, TimePoint now) const;
    [[nodiscard]] std::vector<GrantCandidate> grantSources(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] std::optional<Error> checkSubmission(const JobSpec &job) const;

    // Peers.
    void sendHeartbeats(TimePoint now);
    [[nodiscard]] Heartbeat buildHeartbeat(TimePoint now) const;
    void onHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    void exchangeConfig(const Heartbeat &heartbeat, TimePoint heardAt);
    void noticeLostPeers(TimePoint now);
    void onGrantRequest(const DaemonId &from, const GrantRequest &request, TimePoint now);
    void onJobForward(const DaemonId &from, const JobForward &forward);
    void onCancelForward(const DaemonId &from, const CancelForward &forward, TimePoint now);
    void cancelHere(const ShardId &shard, const std::vector<JobId> &cancelled, TimePoint now);
    void onStatusReply(const DaemonId &from, const StatusReply &reply);
    void finishGatherings(TimePoint now);
    void pushConfig(ConfigKind kind, TimePoint now);

    // Status.
    [[nodiscard]] std::string status(const std::string &topic, TimePoint now) const;
    void expireCancellations(TimePoint now);
};

/// The shard of a VM: its pool and failure domain. One part per pool and domain.
[[nodiscard]] ShardId shardIdFor(const PoolName &pool, const FailureDomain &domain);
[[nodiscard]] PoolName poolOfShard(const ShardId &shard);
[[nodiscard]] FailureDomain domainOfShard(const ShardId &shard);

} // namespace KingCupLadder
