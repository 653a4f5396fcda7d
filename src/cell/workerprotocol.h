// What the registry and the workers themselves report, decoded, and the orders that the scheduler sends to them.
#pragma once

#include "cellids.h"
#include "core/resources.h"
#include "core/units.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace KingCupLadder {

/// A moment on one worker's steady clock, in milliseconds. Clocks of two workers, or of two lives, are never compared.
using WorkerClockMs = std::int64_t;

/// A worker's entry in the registry.
struct WorkerInfo {
    WorkerId id;
    std::string address; ///< "ip:port".
    UpstreamName upstream;
    FailureDomain domain;
    std::vector<std::string> labels; ///< Kind and rack.
    Resources capacity;
    bool draining = false;
    Duration remaining{0}; ///< While draining: the time that is left at least.
    WorkerIncarnation life;
    std::uint64_t sequence = 0; ///< Grows with each heartbeat.
};

struct RunningEntry {
    TaskRef task;
    RunNumber run;
    std::string checkpoint;
    int percent = 0;
    int load = 0; ///< Thousandths of a core in use, or the tail latency in ms of a task that serves.
};

enum class RunEnd {
    Succeeded,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, ///< Another member of the gang ended.
    GangIncomplete, ///< The other members did not arrive in time.
};
[[nodiscard]] const char *toString(RunEnd end);

struct EndedEntry {
    EndNumber number;
    TaskRef task;
    RunNumber run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

/// A worker's answer to a lease renewal: complete lists as of the answer.
struct HoldReply {
    WorkerIncarnation life;
    WorkerClockMs clock = 0;
    std::vector<RunningEntry> running;
    std::vector<EndedEntry> ended; ///< In order of their numbers; not yet acknowledged.
};

enum class OrderOutcome {
    Done,
    StaleFencingToken, ///< A newer owner has been there.
    StaleRunNumber, ///< The run is not higher than one that was stopped or ended there.
    DeadlineExceeded, ///< The order's deadline has passed on the worker's clock.
    NoRoom,
    InvalidTicket,
    Refused, ///< Other refusal; nothing was done.
    Unhealthy, ///< The worker is not well; nothing was done.
    OtherIncarnation, ///< Another process answered under this worker's id.
    NoAnswer, ///< It may have been done, or may be done seconds later.
};
[[nodiscard]] const char *toString(OrderOutcome outcome);

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::NoAnswer;
    WorkerClockMs clock = 0; ///< 0 if the answer had none.
};

struct StartOrder {
    WorkerId worker;
    std::string address;
    WorkerIncarnation life;
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
    WorkerIncarnation life;
    TaskRef task;
    RunNumber run;
};

/// Renews the lease of everything on the worker and reads its lists.
struct HoldOrder {
    WorkerId worker;
    std::string address;
    WorkerIncarnation life;
    EndNumber acknowledged;
    WorkerClockMs deadline = 0; ///< 0: reads only.
    Duration wait{0}; ///< The answer may wait so long for an end.
};

} // namespace KingCupLadder
