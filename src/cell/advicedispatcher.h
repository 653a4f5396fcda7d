// Distributes calls to the policy service over the daemons. The service handles one call at a time per calling VM, so each daemon
// has its own queue there. Long calls may occupy only two thirds of the daemons (at least one), so that short calls for
// urgent steps find a free one. A daemon whose calls fail is left out for a while, since it would always be the first to be free again.
//
// What a call asks, and for which step, is decided only when a daemon is free for it: the service can be the bottleneck of the cell, and
// tickets for workers that were chosen long before would be useless.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace KingCupLadder {

struct AdviceCall {
    StepRef step;
    std::vector<WorkerId> workers;
    Duration duration{0}; ///< Expected processing time in the policy service.
    bool isRenewal = false; ///< The step knows that the workers are allowed and only needs new tickets.
    TimePoint queuedAt;
    DaemonId daemon; ///< The daemon that makes the call; set by dispatch().
    std::uint64_t id = 0; ///< Set by dispatch().
};

/// Decisions about waiting calls, made at the time of dispatch.
struct AdviceCallHooks {
    /// Returns the present tier of the step's priority, the lowest being the most urgent; empty if the call is no longer needed.
    std::function<std::optional<int>(const AdviceCall &)> tier;
    /// Sets AdviceCall::workers and AdviceCall::duration to what is useful now. Returns false if no call is useful.
    std::function<bool(AdviceCall &)> prepare;
    /// Called for each call that still waits, with the time by which it is expected to be sent; may be empty.
    std::function<void(const AdviceCall &, TimePoint)> delay;
};

/// Queues calls to the policy service and assigns them to daemons.
class AdviceDispatcher
{
public:
    /// Sets the daemons that can call the service now.
    void setDaemons(const std::vector<DaemonId> &daemons);
    /// Queues a call. Its duration may be a rough estimate, and its workers are chosen when it is dispatched.
    void add(AdviceCall call);
    /// Assigns waiting calls to free daemons and returns them for sending. Appends calls that are dropped because they are no longer
    /// needed or useful to @p dropped.
    [[nodiscard]] std::vector<AdviceCall> dispatch(const AdviceCallHooks &hooks, TimePoint now, std::vector<AdviceCall> &dropped);
    /// Ends a call. Empty if the call is unknown or has already ended. If it was not @p answered, its daemon gets no further call for a while
    /// unless all others have failed as well.
    [[nodiscard]] std::optional<AdviceCall> finish(std::uint64_t id, bool answered, TimePoint now);
    /// Removes and returns calls whose deadline has passed or whose daemon is gone; they count as not answered.
    [[nodiscard]] std::vector<AdviceCall> expire(TimePoint now);
    void clear();
    [[nodiscard]] bool hasFreeDaemon(TimePoint now) const;
    [[nodiscard]] std::size_t waitingCalls() const;
    /// Time that the oldest waiting call has been queued; zero if none waits.
    [[nodiscard]] Duration longestQueueTime(TimePoint now) const;
    [[nodiscard]] std::size_t callsInFlight() const;

private:
    struct DaemonState {
        int inFlight = 0;
        TimePoint busyUntil;
        int failures = 0; ///< Calls in a row that were not answered.
        TimePoint pausedUntil; ///< The daemon gets no call before, unless all daemons are paused.
    };
    struct InFlightCall {
        AdviceCall call;
        TimePoint deadline; ///< The call is given up if it has not been answered by then.
    };

    using WaitingCall = std::map<std::uint64_t, AdviceCall>::iterator;

    [[nodiscard]] bool areAllPaused(TimePoint now) const;
    [[nodiscard]] static bool isFree(const DaemonState &daemon, TimePoint now);
    [[nodiscard]] std::map<DaemonId, DaemonState>::iterator selectDaemon(const AdviceCall &call, TimePoint now);
    /// Prepares the call, and sends it if a daemon is free for it. A useless call is dropped.
    void tryDispatch(WaitingCall waiting, const AdviceCallHooks &hooks, TimePoint now, std::vector<AdviceCall> &calls, std::vector<AdviceCall> &dropped);

    std::map<DaemonId, DaemonState> m_daemonStates;
    std::map<std::uint64_t, AdviceCall> m_waiting; ///< By arrival number, which decides within a tier.
    std::map<std::uint64_t, InFlightCall> m_inFlight;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastArrival = 0;
};

} // namespace KingCupLadder
