// Internals of DaemonCore: its components and the connections between them.
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
    /// A shard that this daemon owns.
    struct Shard {
        std::unique_ptr<ShardController> controller;
        Epoch epoch;
        TimePoint gainedAt{};
        bool allWorkersReadOnce = false; ///< Set once the inventory of every worker has been read; the recorded use of resources is complete from then on.
        bool scanInFlight = false; ///< A scan of the queue rows is in flight.
        TimePoint nextScan{};
        bool suspended = false; ///< The shard is being handed over.
        TimePoint suspendedAt{};
        std::set<WorkerId> workers; ///< The workers of the controller.
    };

    /// A command to a worker that has no reply yet.
    struct PendingWorkerOp {
        ShardId shard;
        Epoch epoch;
        OpId controllerOp; ///< The OpId that the controller used.
        TimePoint sentAt{};
    };

    /// A cancellation that is not durable yet.
    struct Cancellation {
        std::vector<OpId> callers;
        ShardId shard;
        TimePoint until{};
    };

    /// The replies collected for fleetStatus().
    struct StatusCollection {
        OpId caller;
        FleetStatus status;
        std::set<DaemonId> waiting; ///< Daemons that did not reply yet.
        TimePoint until{};
    };

    /// The demand of the last remote request of a team that a shard refused because of its allotment. Other daemons repeat their
    /// requests while they wait.
    struct RefusedDemand {
        Resources demand;
        TimePoint until{}; ///< The demand counts until this time.
    };

    /// The state of a shard from the heartbeats of its owner.
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
    IdempotencyClaims claims;
    GrantClient grantClient;
    JobForwarder jobForwarder;
    Allotments allotments;
    std::map<ShardId, Shard> shards; ///< Shards owned by this daemon.

    std::unordered_map<WorkerId, ShardId> shardOfWorker;
    std::unordered_map<OpId, PendingWorkerOp> workerOps;
    std::unordered_map<OpId, TimePoint> storeOpsSentAt; ///< When each store operation in flight was sent.
    std::unordered_map<OpId, StoreHandler> storeHandlers; ///< Handlers of the store operations that this class issued itself.
    std::unordered_map<JobId, ShardId> pendingRecords; ///< The shard that waits for the state of each job to become durable.
    std::unordered_map<JobId, Cancellation> cancellations;
    /// Jobs whose end was recorded here recently, with the time until which they are remembered. Prevents a row that was read
    /// before the end from being taken for a queued job.
    std::unordered_map<JobId, TimePoint> recentlyEndedJobs;
    std::map<std::pair<ShardId, TeamId>, RefusedDemand> refusedDemands;
    std::map<OpId, StatusCollection> statusCollections;
    std::unordered_map<DaemonId, HeartbeatEcho> echoes; ///< The newest stamp of each peer.
    std::map<ShardId, RemoteShard> remoteShards;
    std::set<DaemonId> previouslyLivePeers; ///< Peers that were live at the last detectLostPeers().
    std::optional<TimePoint> lastStoreConfirmation; ///< When the newest store operation with a reply was sent.
    OpId vmListOp;
    TimePoint vmListSentAt{}; ///< When the request in flight was sent.
    TimePoint appliedVmListSentAt{}; ///< When the request for the current list was sent.
    TimePoint nextLowPriorityTick{};
    bool workersUpdatedUnderLease = false; ///< Whether the lease was confirmed at the last updateWorkers().
    std::size_t appliedLeavingVms = 0; ///< Number of leaving VMs at the last updateWorkers().
    std::shared_ptr<const Tables> currentTables;

    OpId newOp();
    [[nodiscard]] Duration storeAge(TimePoint now) const;

    // Commands.
    void emit(Command command);
    void answer(OpId op, CallerBody body);
    void fail(OpId op, const Error &error, ExecutionStatus ran = ExecutionStatus::NotRun, Duration retryAfter = Duration(0));
    void sendPeer(const DaemonId &to, PeerMessage message);
    void readStore(const std::string &table, const std::vector<std::string> &keys, StoreHandler handler);
    void scanStore(const std::string &table, const std::string &prefix, StoreHandler handler);

    // Outputs of the components. dispatchOutputs() repeats until none is left.
    void dispatchOutputs(TimePoint now);
    bool dispatchConfigOutputs(TimePoint now);
    bool dispatchOwnershipOutputs(TimePoint now);
    bool dispatchShardOutputs(TimePoint now);
    bool dispatchJobOutputs(TimePoint now);
    bool dispatchGrantOutputs(TimePoint now);
    bool dispatchAllotmentOutputs(TimePoint now);

    // Shards.
    void onTablesChanged(TimePoint now);
    void gainShard(const ShardGained &gained, TimePoint now);
    void loseShard(const ShardId &shard);
    void startHandOver(const HandOverProposed &proposal, TimePoint now);
    void updateWantedShards(TimePoint now);
    void updateWorkers(TimePoint now);
    /// Calls updateWorkers() after changes that come without a new VM list: of the lease, and of the VMs that peers report as
    /// leaving.
    void updateWorkersIfChanged(TimePoint now);
    void scanQueue(const ShardId &shard, TimePoint now);
    void onQueueRows(const ShardId &shard, Epoch epoch, std::uint64_t scan, const StoreReply &reply, TimePoint now);
    void acceptJobRows(const ShardId &shard, Epoch epoch, const StoreReply &reply, TimePoint now);
    /// Queues the jobs that are not known yet. Recovers those that an owner of an earlier epoch may have started.
    void acceptJobs(Shard &shard, Epoch admittedFor, const std::vector<JobRecord> &records, TimePoint now);
    void enqueueLocally(Shard &shard, const JobSpec &spec, TimePoint now);
    void persistJobState(const ShardId &shard, const PersistJobState &record, TimePoint now);
    void rememberEndedJob(const JobId &job, TimePoint now);
    void onJobStateStored(const JobStateStored &recorded, TimePoint now);
    void onJobStateRefused(const JobStateRefused &refused, TimePoint now);
    void answerCancellation(const JobId &job, JobState state, TimePoint now);
    /// Reads the rows of the jobs and accepts those that have not ended.
    void readJobRows(const ShardId &id, Epoch epoch, const std::vector<std::string> &keys);
    void updateAllotmentDemands(TimePoint now);
    void tickShards(TimePoint now);
    [[nodiscard]] Shard *shard(const ShardId &id);
    [[nodiscard]] Shard *shardInEpoch(const ShardId &id, Epoch epoch);
    [[nodiscard]] std::vector<ShardCandidate> candidatesOfPool(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] std::optional<ShardCandidate> candidateFor(const ShardId &id, TimePoint now) const;
    [[nodiscard]] std::vector<GrantCandidate> grantCandidates(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] std::optional<Error> checkSubmission(const JobSpec &job) const;

    // Peers.
    void sendHeartbeats(TimePoint now);
    [[nodiscard]] Heartbeat buildHeartbeat(TimePoint now) const;
    void onHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    void exchangeConfig(const Heartbeat &heartbeat, TimePoint heardAt);
    void detectLostPeers(TimePoint now);
    void onGrantRequest(const DaemonId &from, const GrantRequest &request, TimePoint now);
    void onJobForward(const DaemonId &from, const JobForward &forward);
    void onCancelForward(const DaemonId &from, const CancelForward &forward, TimePoint now);
    void cancelLocally(const ShardId &shard, const std::vector<JobId> &cancelled, TimePoint now);
    void onStatusReply(const DaemonId &from, const StatusReply &reply);
    void finishStatusCollections(TimePoint now);
    void pushConfig(ConfigKind kind, TimePoint now);

    // Status.
    [[nodiscard]] std::string status(const std::string &topic, TimePoint now) const;
    /// Answers cancellations that were not confirmed in time, and forgets jobs that ended long ago.
    void expireCancellations(TimePoint now);
};

/// The shard of the VMs of a pool in a failure domain. There is one part per pool and domain.
[[nodiscard]] ShardId shardIdFor(const PoolName &pool, const FailureDomain &domain);
[[nodiscard]] PoolName poolOfShard(const ShardId &shard);
[[nodiscard]] FailureDomain domainOfShard(const ShardId &shard);

} // namespace KingCupLadder
