// Decoded messages of the worker protocol: registry entries, the scheduler's orders and the workers' answers.
#pragma once

#include "cellids.h"
#include "core/resources.h"
#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace KingCupLadder {

/// Time on one worker's steady clock in milliseconds. Never compared between workers or between incarnations of a worker.
using WorkerClockMs = std::int64_t;

/// A worker's entry in the registry.
struct WorkerInfo {
    WorkerId id;
    VmId vm; ///< The VM on which the worker runs; successive workers on one VM may have different ids. Empty: unknown.
    std::string address; ///< As "ip:port".
    UpstreamName upstream;
    FailureDomain domain;
    std::vector<std::string> labels; ///< Kind and rack.
    std::string rack; ///< Empty: unknown.
    Resources capacity;
    bool draining = false;
    Duration remaining{0}; ///< While draining: minimum time until the worker leaves.
    Duration coldRemaining{0}; ///< How long the worker remains cold, so that tasks start slowly there; 0: warm.
    WorkerIncarnation incarnation;
    std::uint64_t sequence = 0; ///< Increases with each heartbeat.
};

constexpr int completePercent = 100; ///< Highest progress of a run. A service reports it while it works.

/// A run in a worker's list of running tasks.
struct RunningEntry {
    TaskRef task;
    RunNumber run;
    std::string checkpoint;
    int percent = 0;
    int load = 0; ///< Millicores in use, or the tail latency in ms of a service task.
};

enum class RunEnd {
    Succeeded,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, ///< Another member of the gang has ended.
    GangIncomplete, ///< Not all members of the gang started in time.
};
[[nodiscard]] const char *toString(RunEnd end);

/// A run in a worker's list of ended runs.
struct EndedEntry {
    EndNumber number;
    TaskRef task;
    RunNumber run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

/// A worker lists at most this many ends in one reply, the earliest ones first.
constexpr std::size_t maxEndsPerReply = 500;

/// A worker's reply to a hold order: lists of its runs at the time of the reply.
struct HoldReply {
    WorkerIncarnation incarnation;
    WorkerClockMs clock = 0;
    std::vector<RunningEntry> running; ///< Complete.
    std::vector<EndedEntry> ended; ///< Unacknowledged ends, ordered by number. Complete unless mayOmitEnds.
    bool mayOmitEnds = false; ///< The list of ends is full: the worker may have later ones, which it lists once these are acknowledged.
};

enum class OrderOutcome {
    Done,
    StaleFencingToken, ///< The worker has seen a newer fencing token. The token of an order is the epoch of the leader that sends it.
    StaleRunNumber, ///< The run number is not above that of a run of the task that was stopped or ended there.
    DeadlineExceeded, ///< The order's deadline had passed on the worker's clock.
    NoRoom,
    InvalidTicket,
    Refused, ///< Rejected for another reason, without effect.
    Unhealthy, ///< Rejected without effect by a worker that reports itself unhealthy.
    OtherIncarnation, ///< Another process with this worker's id answered.
    NoAnswer, ///< The order may have taken effect, or may still do so seconds later.
};
[[nodiscard]] const char *toString(OrderOutcome outcome);

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    WorkerClockMs clock = 0; ///< 0 if the answer contains no clock.
};

struct StartOrder {
    WorkerId worker;
    std::string address;
    WorkerIncarnation incarnation;
    TaskRef task;
    RunNumber run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    WorkerClockMs deadline = 0;
};

struct StopOrder {
    WorkerId worker;
    std::string address;
    WorkerIncarnation incarnation;
    TaskRef task;
    RunNumber run;
};

/// Renews the leases of all runs on the worker and reads its lists of running and ended runs.
struct HoldOrder {
    WorkerId worker;
    std::string address;
    WorkerIncarnation incarnation;
    EndNumber acknowledged; ///< The worker may drop ends up to this number.
    WorkerClockMs deadline = 0; ///< Lease expiry; 0: reads the lists without a renewal.
    Duration wait{0}; ///< Long poll: the worker may delay its reply this long until a run ends.
};

} // namespace KingCupLadder
