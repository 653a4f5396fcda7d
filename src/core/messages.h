// All messages between the decision core and the store, the workers, the peer daemons and the callers. They are plain values; the
// daemon translates them to HTTP and protobuf.
#pragma once

#include "error.h"
#include "ids.h"
#include "job.h"
#include "resources.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace KingCupLadder {

// ---------------------------------------------------------------- store

/// A row of the table service of the platform.
struct Row {
    std::string table;
    std::string key;
    RowVersion version; ///< 0 if the row is absent.
    std::string value;
};

/// A condition within a transaction and the write that it guards.
struct RowWrite {
    enum class Kind {
        Insert, ///< Requires the row to be absent.
        Update, ///< Requires the given version.
        Delete, ///< Requires the given version.
        Check, ///< Requires the given version (0: absent) and writes nothing.
    };
    Kind kind = Kind::Insert;
    std::string table;
    std::string key;
    RowVersion version;
    std::string value;
};

/// A transaction: either all writes take effect or none.
struct StoreTransaction {
    OpId op;
    std::vector<RowWrite> writes;
};

/// Reads all pages of the rows of a table whose key starts with a prefix.
struct StoreScan {
    OpId op;
    std::string table;
    std::string prefix;
};

/// Reads the rows with the given keys.
struct StoreRead {
    OpId op;
    std::string table;
    std::vector<std::string> keys;
};

enum class StoreStatus {
    Ok,
    Conflict, ///< A condition failed; nothing was written.
    Unknown, ///< No usable reply arrived; a write may have taken effect.
};

struct StoreReply {
    OpId op;
    StoreStatus status = StoreStatus::Unknown;
    /// For reads, the rows found; absent rows of a StoreRead have version 0. For committed transactions, the written rows with
    /// their new versions and without values. After a conflict, the current rows of the failed conditions.
    std::vector<Row> rows;
};

/// Requests the list of VMs from the platform.
struct VmListRead {
    OpId op;
};

struct VmInfo {
    WorkerId id;
    std::string address; ///< "ip:port" of the worker on the VM.
    std::string group; ///< Compared with "vms" of a pool.
    FailureDomain domain;
    RackId rack;
    bool leaving = false; ///< The platform is about to remove the VM.
};

/// The list is empty (std::nullopt) if the platform did not answer.
struct VmListReply {
    OpId op;
    std::optional<std::vector<VmInfo>> vms;
};

// ---------------------------------------------------------------- workers

struct TaskStart {
    TaskId id;
    TeamId team;
    RouteName route;
    Resources demand;
    Duration runTime{0}; ///< Run time declared by the submitter.
    Duration lease{0}; ///< The task stops itself this long after the last renewal; 0: never.
    Duration voidAfter{0}; ///< Only for workers without epochs: a start that is processed more than this long after its arrival is ignored; 0: no limit.
    std::string payload;
};

enum class TaskAction {
    Stop,
    Checkpoint, ///< Save the state of the task and stop it.
    Throttle,
    Resume, ///< End throttling.
};

struct TaskControl {
    TaskId id;
    TaskAction action = TaskAction::Stop;
};

enum class TaskOutcome {
    Succeeded,
    Failed,
    Stopped,
    Checkpointed,
    Expired, ///< The task stopped itself because its lease expired.
};

[[nodiscard]] const char *toString(TaskOutcome outcome);
[[nodiscard]] std::optional<TaskOutcome> taskOutcomeFromString(const std::string &text);

struct RunningTask {
    TaskId id;
    TeamId team;
    RouteName route;
    Resources demand; ///< Committed resources.
    Resources usage; ///< Measured use, with a delay.
    Duration lease{0}; ///< As given in TaskStart; 0: none.
};

struct EndedTask {
    TaskId id;
    TeamId team;
    TaskOutcome outcome = TaskOutcome::Succeeded;
    std::string reason;
};

/// The only message to a worker. Requests are ordered by (epoch, sequence); a worker refuses a pair lower than one it has seen.
struct SyncRequest {
    DaemonId owner;
    Epoch epoch;
    Sequence sequence;
    bool inventory = false; ///< Asks for a list of all running tasks.
    Duration renewLease{0}; ///< New duration of all task leases; 0: no renewal.
    std::vector<TaskStart> starts;
    std::vector<TaskControl> controls;
    std::vector<TaskId> acknowledged; ///< Ended tasks that the worker may drop from its replies.
};

struct SyncReply {
    Epoch epoch; ///< The highest one that the worker accepted.
    Sequence sequence;
    bool refused = false; ///< The request was older than (epoch, sequence) and had no effect.
    bool supportsEpochs = true;
    Resources capacity;
    std::int64_t connections = 0; ///< Maximum number of connections to the worker.
    Slots busySlots; ///< Requests that the application is processing.
    bool inventory = false; ///< Whether "running" lists all running tasks.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< All tasks that ended and are not acknowledged.
};

struct SyncWorker {
    OpId op;
    WorkerId worker;
    std::string address; ///< "ip:port".
    SyncRequest request;
};

/// The result of a SyncWorker command. Without a reply, the request may or may not have taken effect.
struct WorkerReply {
    OpId op;
    WorkerId worker;
    std::optional<SyncReply> reply;
};

// ---------------------------------------------------------------- callers

/// Whether a request or job that failed was executed.
enum class ExecutionStatus {
    NotRun,
    Unknown,
    Ran,
};

[[nodiscard]] const char *toString(ExecutionStatus ran);

/// A request for a slot on a worker, and the resources that come with it.
struct GrantSpec {
    RouteName route;
    PoolName pool;
    TeamId team;
    Priority priority = Priority::Normal;
    Resources demand; ///< Includes one slot.
    Duration term{0}; ///< Time until the deadline of the request.
    std::vector<WorkerId> avoid; ///< Workers that have already failed the request.
};

/// Permission to send one request to one worker.
struct Grant {
    GrantId id;
    ShardId shard;
    Epoch epoch;
    WorkerId worker;
    std::string address; ///< "ip:port" of the worker's HTTP application.
    Duration term{0}; ///< The holder aborts the request this long after it sent the GrantSpec.
};

/// The result of a granted request, which affects the health of the worker.
enum class GrantOutcome {
    Unused,
    Succeeded,
    Failed,
    TimedOut, ///< The worker may still be processing the request.
};

struct JobAccepted {
    JobId id;
    bool existed = false; ///< The same job had already been admitted.
};

struct ConfigAccepted {
    ConfigVersion version;
};

struct JobCancelled {
    JobId id;
};

/// The state of an idempotency key.
struct ClaimState {
    bool acquired = false; ///< This operation created the claim; the request may be sent.
    std::string outcome; ///< Recorded by an earlier finishClaim(); empty while the outcome is unknown.
};

/// The replies of all daemons to a status query.
struct FleetStatus {
    struct Part {
        DaemonId daemon;
        std::string json;
    };
    std::vector<Part> parts;
    std::vector<DaemonId> silent; ///< Known daemons that did not reply in time.
};

using CallerBody = std::variant<std::monostate, JobAccepted, JobRecord, std::vector<JobRecord>, Grant, ConfigAccepted, JobCancelled, ClaimState, FleetStatus>;

/// The result of an operation of a caller. Sent exactly once per operation.
struct CallerAnswer {
    OpId op;
    Error error; ///< ErrorKind::None on success.
    ExecutionStatus ran = ExecutionStatus::NotRun; ///< Only valid if there is an error.
    Duration retryAfter{0}; ///< Suggested delay before a retry; 0: none.
    CallerBody body;
};

// ---------------------------------------------------------------- peers

struct PeerInfo {
    DaemonId id;
    Incarnation incarnation;
    FailureDomain domain;
    std::string peerAddress; ///< "ip:port" of the ZeroMQ socket.
    std::string httpAddress; ///< "ip:port" for callers.
};

struct OwnedShard {
    ShardId id;
    Epoch epoch;
    Resources free; ///< Resources that can be committed now.
    std::uint32_t queuedTasks = 0;
};

/// What a daemon knows about a failure domain.
struct DomainView {
    FailureDomain domain;
    Duration heardAge{0}; ///< Time since a daemon of the domain was heard, directly or through a peer.
    Duration storeAge{0}; ///< Time since the last known store reply to a daemon of the domain.
};

/// Returns to a daemon the newest of its heartbeat stamps that the sender has received. That daemon can conclude that the sender wrote the
/// heartbeat with this echo after the stamp.
struct HeartbeatEcho {
    DaemonId daemon;
    Incarnation incarnation;
    Duration stamp{0};
};

struct Heartbeat {
    PeerInfo self;
    Duration stamp{0}; ///< Time since the sender started; opaque to other daemons.
    std::vector<HeartbeatEcho> echoes;
    bool stopping = false;
    Duration storeAge{0}; ///< Time since the sender sent the newest store operation that got a reply.
    ConfigVersion tables;
    ConfigVersion keys;
    Duration keysAge{0}; ///< Time since the key list was confirmed to be the newest.
    std::vector<DomainView> domains;
    std::vector<PeerInfo> known; ///< Daemons that the sender knows.
    std::vector<OwnedShard> owned; ///< Shards that the sender owns and is not handing over.
    std::vector<WorkerId> leaving; ///< VMs that the platform is about to remove.
    std::vector<KeyId> withdrawn; ///< Recently withdrawn keys.
};

enum class ConfigKind {
    Tables, ///< Routes, pools and teams.
    Keys, ///< The list of API keys.
};

/// A configuration document. The receiver adopts it if the version is higher than the version that the receiver has.
struct ConfigPush {
    ConfigKind kind = ConfigKind::Tables;
    ConfigVersion version;
    std::string text;
};

struct ConfigPull {
    ConfigKind kind = ConfigKind::Tables;
    ConfigVersion have; ///< Version that the sender has.
};

struct GrantRequest {
    OpId op;
    ShardId shard;
    GrantSpec spec;
};

struct GrantReply {
    OpId op;
    std::optional<Grant> grant;
    Error error;
};

struct GrantRelease {
    ShardId shard;
    GrantId grant;
    GrantOutcome end = GrantOutcome::Succeeded;
};

/// Sends newly admitted jobs to the owner of their shard. Repeated until acknowledged; the owner ignores jobs it already has.
struct JobForward {
    OpId op;
    ShardId shard;
    std::vector<JobSpec> jobs;
    Epoch epoch{}; ///< Epoch of the shard for which the jobs were admitted.
};

struct JobForwardReply {
    OpId op;
    ShardId shard;
    bool owned = false; ///< Whether the receiver of the jobs owns the shard.
};

struct CancelForward {
    OpId op;
    ShardId shard;
    std::vector<JobId> jobs;
};

/// The owner has accepted the cancellations.
struct CancelForwardReply {
    OpId op;
    ShardId shard;
};

/// The sender has transferred the shard row to the receiver.
struct HandOver {
    ShardId shard;
    Epoch epoch;
};

struct StatusQuery {
    OpId op;
    std::string topic;
};

struct StatusReply {
    OpId op;
    std::string json;
};

using PeerMessage = std::variant<Heartbeat,
                                 ConfigPush,
                                 ConfigPull,
                                 GrantRequest,
                                 GrantReply,
                                 GrantRelease,
                                 JobForward,
                                 JobForwardReply,
                                 CancelForward,
                                 CancelForwardReply,
                                 HandOver,
                                 StatusQuery,
                                 StatusReply>;

struct SendPeerMessage {
    DaemonId to;
    std::string address; ///< "ip:port" of its ZeroMQ socket.
    PeerMessage message;
};

// ---------------------------------------------------------------- commands of the core

using Command = std::variant<StoreTransaction, StoreScan, StoreRead, VmListRead, SyncWorker, SendPeerMessage, CallerAnswer>;

} // namespace KingCupLadder
