// Every message that enters or leaves the decision core: to and from the store, the workers, the peers and the callers.
// These are plain values; the daemon translates them to HTTP and protobuf.
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

/// One row of the platform's table service.
struct Row {
    std::string table;
    std::string key;
    RowVersion version; ///< 0: the row is absent.
    std::string value;
};

/// One condition and its effect within a transaction.
struct RowWrite {
    enum class Kind {
        Insert, ///< Requires that the row is absent.
        Update, ///< Requires the stated version.
        Delete, ///< Requires the stated version.
        Check, ///< Requires the stated version (0: absent) and writes nothing.
    };
    Kind kind = Kind::Insert;
    std::string table;
    std::string key;
    RowVersion version;
    std::string value;
};

/// All writes take effect or none does.
struct StoreTransact {
    OpId op;
    std::vector<RowWrite> writes;
};

/// Reads the rows of a table whose key starts with a prefix, all pages.
struct StoreScan {
    OpId op;
    std::string table;
    std::string prefix;
};

/// Reads the rows of the stated keys.
struct StoreRead {
    OpId op;
    std::string table;
    std::vector<std::string> keys;
};

enum class StoreStatus {
    Ok,
    Conflict, ///< A condition did not hold; nothing was written.
    Unknown, ///< No usable answer came; a write may have taken effect.
};

struct StoreReply {
    OpId op;
    StoreStatus status = StoreStatus::Unknown;
    /// Reads: the rows found (absent rows of a StoreRead have version 0). Writes, Ok: the rows with their new versions and
    /// no values. Writes, Conflict: the current rows of the failed conditions.
    std::vector<Row> rows;
};

/// Asks for the platform's list of VMs.
struct VmListRead {
    OpId op;
};

struct VmInfo {
    WorkerId id;
    std::string address; ///< "ip:port" of its worker.
    std::string group; ///< Matches "vms" of a pool.
    FailureDomain domain;
    RackId rack;
    bool leaving = false;
};

/// Empty list: the platform did not answer.
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
    Duration runTime{0}; ///< As declared.
    Duration lease{0}; ///< The task stops itself this long after the last renewal; 0: no lease end.
    Duration voidAfter{0}; ///< Only for workers without epochs: the start has no effect after this span; 0: none.
    std::string payload;
};

enum class TaskAction {
    Stop,
    Checkpoint, ///< Saves the state of the task and stops it.
    Throttle,
    Resume, ///< Ends throttling.
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
    Expired, ///< The task stopped itself as its lease ended.
};

[[nodiscard]] const char *toString(TaskOutcome outcome);
[[nodiscard]] std::optional<TaskOutcome> taskOutcomeFromString(const std::string &text);

struct RunningTask {
    TaskId id;
    TeamId team;
    RouteName route;
    Resources demand; ///< As committed.
    Resources usage; ///< As observed, lagged.
    Duration lease{0}; ///< As started; 0: no lease end.
};

struct EndedTask {
    TaskId id;
    TeamId team;
    TaskOutcome outcome = TaskOutcome::Succeeded;
    std::string reason;
};

/// The only message to a worker. (epoch, sequence) orders all of them; a worker refuses a pair lower than one that it saw.
struct SyncRequest {
    DaemonId owner;
    Epoch epoch;
    Sequence sequence;
    bool inventory = false; ///< The answer lists all running tasks.
    Duration renewLease{0}; ///< Renews the leases of all tasks that have one; 0: renews none.
    std::vector<TaskStart> starts;
    std::vector<TaskControl> controls;
    std::vector<TaskId> acknowledged; ///< Ended tasks that the worker may forget.
};

struct SyncReply {
    Epoch epoch; ///< The highest that the worker accepted.
    Sequence sequence;
    bool refused = false; ///< The request was lower than (epoch, sequence) and had no effect.
    bool supportsEpochs = true;
    Resources capacity;
    std::int64_t connections = 0; ///< The most connections that the worker takes.
    Slots busySlots; ///< Requests that the application is serving.
    bool inventory = false; ///< "running" is complete.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< All that are not acknowledged.
};

struct SyncWorker {
    OpId op;
    WorkerId worker;
    std::string address; ///< "ip:port".
    SyncRequest request;
};

/// The answer to a SyncWorker. Without a reply, the request may or may not have taken effect.
struct WorkerReply {
    OpId op;
    WorkerId worker;
    std::optional<SyncReply> reply;
};

// ---------------------------------------------------------------- callers

/// What is known about the execution of refused work.
enum class ExecutionStatus {
    NotRun,
    Unknown,
    Ran,
};

[[nodiscard]] const char *toString(ExecutionStatus ran);

struct GrantWish {
    RouteName route;
    PoolName pool;
    TeamId team;
    Priority priority = Priority::Normal;
    Resources demand; ///< Includes one slot.
    Duration term{0}; ///< Time left until the deadline of the request.
    std::vector<WorkerId> avoid; ///< Workers that already failed this request.
};

/// The right to send one request to one worker.
struct Grant {
    GrantId id;
    ShardId shard;
    Epoch epoch;
    WorkerId worker;
    std::string address; ///< "ip:port" of the worker's HTTP application.
    Duration term{0}; ///< The holder aborts the request this long after it received the grant, counted from its wish.
};

/// How a granted request ended, for the health of the worker.
enum class GrantOutcome {
    Unused,
    Succeeded,
    Failed,
    TimedOut, ///< The worker may still be serving it.
};

struct JobAccepted {
    JobId id;
    bool existed = false; ///< The same job had been admitted before.
};

struct ConfigAccepted {
    ConfigVersion version;
};

struct JobCancelled {
    JobId id;
};

/// The state of an idempotency key of a request.
struct ClaimState {
    bool mine = false; ///< The claim is new and belongs to this operation; the request may be sent.
    std::string outcome; ///< Recorded by an earlier finishClaim(); empty while the outcome is not known.
};

/// What the daemons of the fleet answered to a status query.
struct FleetStatus {
    struct Part {
        DaemonId daemon;
        std::string json;
    };
    std::vector<Part> parts;
    std::vector<DaemonId> silent; ///< Known daemons that did not answer in time.
};

using CallerBody = std::variant<std::monostate, JobAccepted, JobRecord, std::vector<JobRecord>, Grant, ConfigAccepted, JobCancelled, ClaimState, FleetStatus>;

/// Answers the caller's operation. Sent exactly once for each operation.
struct CallerAnswer {
    OpId op;
    Error error; ///< ErrorKind::None: success.
    ExecutionStatus ran = ExecutionStatus::NotRun; ///< Only read if there is an error.
    Duration retryAfter{0}; ///< When it is worth trying again; 0: not stated.
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
    Resources free; ///< Committable now.
    std::uint32_t queuedTasks = 0;
};

/// What a daemon knows about one failure domain.
struct DomainView {
    FailureDomain domain;
    Duration heardAge{0}; ///< Since a daemon of it was heard, directly or through a peer.
    Duration storeAge{0}; ///< Since a daemon of it had a confirmed store answer, as far as heard.
};

/// Returns the newest stamp received from a peer, so that the peer can tell how old the sender's statements are at most.
struct HeartbeatEcho {
    DaemonId daemon;
    Incarnation incarnation;
    Duration stamp{0};
};

struct Heartbeat {
    PeerInfo self;
    Duration stamp{0}; ///< Time since the start of the sender; opaque to others.
    std::vector<HeartbeatEcho> echoes;
    bool stopping = false;
    Duration storeAge{0}; ///< Since this daemon's last store answer.
    ConfigVersion tables;
    ConfigVersion keys;
    Duration keysAge{0}; ///< Since the key list was known to be the newest.
    std::vector<DomainView> domains;
    std::vector<PeerInfo> known;
    std::vector<OwnedShard> owned;
    std::vector<WorkerId> leaving;
    std::vector<KeyId> withdrawn; ///< Recently withdrawn keys.
};

enum class ConfigKind {
    Tables,
    Keys,
};

/// A configuration document. The receiver keeps it if its version is higher than its own.
struct ConfigPush {
    ConfigKind kind = ConfigKind::Tables;
    ConfigVersion version;
    std::string text;
};

struct ConfigPull {
    ConfigKind kind = ConfigKind::Tables;
    ConfigVersion have;
};

struct GrantRequest {
    OpId op;
    ShardId shard;
    GrantWish wish;
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

/// Tells a shard's owner of newly admitted jobs. Repeated until acknowledged; the owner ignores those it has.
struct JobForward {
    OpId op;
    ShardId shard;
    std::vector<JobSpec> jobs;
    Epoch epoch{}; ///< The ownership term for which the jobs were admitted.
};

struct JobForwardReply {
    OpId op;
    ShardId shard;
    bool owned = false; ///< False: the receiver does not own the shard.
};

struct CancelForward {
    OpId op;
    ShardId shard;
    std::vector<JobId> jobs;
};

/// The owner has taken the cancellations.
struct CancelForwardReply {
    OpId op;
    ShardId shard;
};

/// The sender has written the shard row for the receiver.
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

struct SendPeer {
    DaemonId to;
    std::string address; ///< "ip:port" of its ZeroMQ socket.
    PeerMessage message;
};

// ---------------------------------------------------------------- commands of the core

using Command = std::variant<StoreTransact, StoreScan, StoreRead, VmListRead, SyncWorker, SendPeer, CallerAnswer>;

} // namespace KingCupLadder
