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
        bool allInventoriesRead = false; ///< Stays true once the inventory of every worker has been read; from then on the recorded resource use is complete.
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
    struct PendingCancellation {
        std::vector<OpId> callers;
        ShardId shard;
        TimePoint deadline{}; ///< The callers are answered by this time.
    };

    /// A fleetStatus() call that waits for replies.
    struct FleetStatusQuery {
        OpId caller;
        FleetStatus status; ///< The replies so far.
        std::set<DaemonId> awaitedDaemons; ///< Daemons that did not reply yet.
        TimePoint deadline{};
    };

    /// The demand of the last request from another daemon that a shard refused because the team's allotment was used up. Counted as
    /// demand of the team until it expires; a daemon whose request still waits repeats the request and so renews this entry.
    struct RefusedDemand {
        Resources demand;
        TimePoint expiresAt{};
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
    std::uint64_t nextShardSeedOffset = 1;

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
    std::unordered_map<JobId, ShardId> shardAwaitingState; ///< For each job whose state is being written, the shard that waits for it to become durable.
    std::unordered_map<JobId, PendingCancellation> cancellations;
    /// Jobs whose end was recorded here recently, with the time until which they are remembered. Prevents a row that was read
    /// before the end from being taken for a queued job.
    std::unordered_map<JobId, TimePoint> recentlyEndedJobs;
    std::map<std::pair<ShardId, TeamId>, RefusedDemand> refusedDemands;
    std::map<OpId, FleetStatusQuery> fleetStatusQueries;
    std::unordered_map<DaemonId, HeartbeatEcho> echoes; ///< The newest stamp of each peer.
    std::map<ShardId, RemoteShard> remoteShards;
    std::set<DaemonId> previouslyLivePeers; ///< Peers that were live at the last rescanAfterPeerLoss().
    std::optional<TimePoint> lastStoreConfirmation; ///< When the newest store operation with a reply was sent; the store was reachable at that time or later.
    OpId vmListOp;
    TimePoint vmListSentAt{}; ///< When the request in flight was sent.
    TimePoint appliedVmListSentAt{}; ///< When the request for the current list was sent.
    TimePoint nextLowPriorityTick{};
    bool workersUpdatedUnderLease = false; ///< Whether the lease was confirmed at the last updateWorkers().
    std::size_t appliedLeavingVmCount = 0; ///< Number of leaving VMs at the last updateWorkers().
    std::shared_ptr<const Tables> currentTables; ///< The tables that the components use.

    OpId newOp();
    /// The time since the newest store operation with a reply was sent; 24 hours if there was no reply yet.
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
    /// Tells Ownership and Allotments which shards should exist: one for each pool and failure domain with VMs.
    void updateDesiredShards(TimePoint now);
    void updateWorkers(TimePoint now);
    /// Calls updateWorkers() after changes that come without a new VM list: of the lease, and of the VMs that peers report as
    /// leaving.
    void updateWorkersIfChanged(TimePoint now);
    void scanQueue(const ShardId &shard, TimePoint now);
    void onQueueRows(const ShardId &shard, Epoch epoch, std::uint64_t scanNumber, const StoreReply &reply, TimePoint now);
    void acceptJobRows(const ShardId &shard, Epoch epoch, const StoreReply &reply, TimePoint now);
    /// Adds the jobs that are not known yet; they were admitted for @p admissionEpoch. Jobs that may have been started already are
    /// recovered, the others are enqueued.
    void acceptJobs(Shard &shard, Epoch admissionEpoch, const std::vector<JobRecord> &records, TimePoint now);
    /// Enqueues the job on the shard. A job that no worker can hold is parked.
    void enqueueOrPark(Shard &shard, const JobSpec &spec, TimePoint now);
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
    /// Never empty; the return type is that of JobForwarder::FindOwner.
    [[nodiscard]] std::optional<ShardCandidate> candidateFor(const ShardId &id, TimePoint now) const;
    [[nodiscard]] std::vector<GrantCandidate> grantCandidates(const PoolName &pool, TimePoint now) const;
    [[nodiscard]] std::optional<Error> checkSubmission(const JobSpec &job) const;

    // Peers.
    void sendHeartbeats(TimePoint now);
    [[nodiscard]] Heartbeat buildHeartbeat(TimePoint now) const;
    void onHeartbeat(const Heartbeat &heartbeat, TimePoint now);
    void exchangeConfig(const Heartbeat &heartbeat, TimePoint heardAt);
    /// Scans the queues of all owned shards if a peer is no longer live.
    void rescanAfterPeerLoss(TimePoint now);
    void onGrantRequest(const DaemonId &from, const GrantRequest &request, TimePoint now);
    void onJobForward(const DaemonId &from, const JobForward &forward);
    void onCancelForward(const DaemonId &from, const CancelForward &forward, TimePoint now);
    void cancelLocally(const ShardId &shard, const std::vector<JobId> &jobsToCancel, TimePoint now);
    void onStatusReply(const DaemonId &from, const StatusReply &reply);
    /// Answers the fleetStatus() calls that have all replies or whose deadline has passed.
    void finishFleetStatusQueries(TimePoint now);
    void pushConfig(ConfigKind kind, TimePoint now);

    // Status.
    [[nodiscard]] std::string status(const std::string &topic, TimePoint now) const;
    /// Answers the callers of cancellations that were not confirmed in time, and removes expired entries of recentlyEndedJobs.
    void expireCancellationsAndEndedJobs(TimePoint now);
};

/// The id of the shard that contains the VMs of a pool in a failure domain: "pool/domain/0". The part number, the last component, is
/// always 0, because each pool has one shard per domain.
[[nodiscard]] ShardId shardIdFor(const PoolName &pool, const FailureDomain &domain);
[[nodiscard]] PoolName poolOfShard(const ShardId &shard);
[[nodiscard]] FailureDomain domainOfShard(const ShardId &shard);

} // namespace KingCupLadder
