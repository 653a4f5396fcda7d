// Distributes calls to the policy service over the daemons. The service handles one call at a time per calling VM, so each daemon
// has its own queue there. First answers of the most urgent steps come first and have daemons of their own on large cells. Long calls may occupy only two
// thirds of the daemons (at least one), so that short calls for urgent steps find a free one. A daemon whose calls fail is left out for a while, since it would
// always be the first to be free again.
//
// What a call asks, and for which step, is decided only when a daemon is free for it: the service can be the bottleneck of the cell, and
// tickets for workers that were chosen long before would be useless.
#pragma once

#include "adviceusage.h"
#include "cellids.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace KingCupLadder {

struct AdviceCall {
    StepRef step;
    std::vector<WorkerId> workers;
    Duration duration{0}; ///< Expected processing time in the policy service.
    bool isRenewal = false; ///< The step knows that the workers are allowed and only needs new tickets.
    AdvicePurpose purpose = AdvicePurpose::FirstAnswer; ///< Set with the workers.
    TimePoint queuedAt;
    DaemonId daemon; ///< The daemon that makes the call; set by dispatch().
    int tier = 0; ///< Of the step when the call is queued.
    std::uint64_t id = 0; ///< Set by dispatch().
};

/// Place of a waiting call in the order of dispatch; the lowest rank is the first.
struct AdviceRank {
    bool isDeferrable = true; ///< False for first answers of the most urgent steps, which come before everything else.
    int tier = 0; ///< The tier of the step as for placement, the lowest being the most urgent.
    bool isLate = false; ///< The step will miss its objective. Such calls may use only a part of the daemons while others wait.
    TimePoint latestStart; ///< By which the step has to start to meet its objective; rounded, so that calls in the same span rank by the next criterion.
    double negatedGain = 0; ///< CPU work of the step per time of the policy service, negated.

    friend bool operator<(const AdviceRank &a, const AdviceRank &b)
    {
        return std::tie(a.isDeferrable, a.tier, a.latestStart, a.negatedGain) < std::tie(b.isDeferrable, b.tier, b.latestStart, b.negatedGain);
    }
};

/// Decisions about waiting calls, made at the time of dispatch.
struct AdviceCallHooks {
    /// Returns the present rank of the call; empty if the call is no longer needed.
    std::function<std::optional<AdviceRank>(const AdviceCall &)> rank;
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
    /// Number of daemons that are not left out because their calls failed; all of them if all have failed.
    [[nodiscard]] std::size_t answeringDaemons(TimePoint now) const;
    /// Time until a new call of @p tier is expected to be sent: behind the calls in flight, and the waiting calls of its tier or a lower one.
    [[nodiscard]] Duration expectedDelay(int tier, TimePoint now) const;
    /// Ratio between the real and the expected duration of calls, learned from the answers.
    [[nodiscard]] double durationFactor() const;
    [[nodiscard]] std::size_t waitingCalls() const;
    /// Time that the oldest waiting call has been queued; zero if none waits.
    [[nodiscard]] Duration longestQueueTime(TimePoint now) const;
    [[nodiscard]] std::size_t callsInFlight() const;

private:
    struct DaemonState {
        int inFlight = 0;
        bool lastIsLong = false; ///< The latest call in flight is a long one.
        TimePoint busyUntil;
        TimePoint lastAnswer; ///< Until then the service was occupied with the previous call.
        int failures = 0; ///< Calls in a row that were not answered.
        TimePoint pausedUntil; ///< The daemon gets no call before, unless all daemons are paused.
    };
    struct InFlightCall {
        AdviceCall call;
        TimePoint begin; ///< When the service was expected to begin with the call.
        TimePoint deadline; ///< The call is given up if it has not been answered by then.
        bool isLate = false; ///< See AdviceRank::isLate.
        bool isUrgent = false; ///< A short call that must not be deferred.
    };

    struct WaitingCall {
        AdviceCall call;
        AdviceRank rank; ///< As of the last dispatch().
    };
    using WaitingIterator = std::map<std::uint64_t, WaitingCall>::iterator;

    [[nodiscard]] bool areAllPaused(TimePoint now) const;
    [[nodiscard]] static bool isFree(const DaemonState &daemon, TimePoint now);
    [[nodiscard]] bool mayUse(const DaemonState &daemon, bool isLong, bool isPauseIgnored, TimePoint now) const;
    [[nodiscard]] Duration expectedDuration(const AdviceCall &call) const;
    /// Whether the calls of late steps already use their part of the daemons while work in time waits.
    [[nodiscard]] bool isLateWorkLimited(TimePoint now) const;
    [[nodiscard]] std::map<DaemonId, DaemonState>::iterator selectDaemon(const AdviceCall &call, const AdviceRank &rank, TimePoint now);
    /// Whether all daemons are in use except for those that are kept for urgent calls.
    [[nodiscard]] bool isOnlyUrgentReserveLeft(TimePoint now) const;
    [[nodiscard]] bool isUrgent(const AdviceCall &call, const AdviceRank &rank) const;
    void learnDuration(Duration expected, TimePoint begin, TimePoint now);
    /// Prepares the call, and sends it if a daemon is free for it. A useless call is dropped.
    void tryDispatch(WaitingIterator waiting, const AdviceCallHooks &hooks, TimePoint now, std::vector<AdviceCall> &calls, std::vector<AdviceCall> &dropped);

    std::map<DaemonId, DaemonState> m_daemonStates;
    std::map<std::uint64_t, WaitingCall> m_waiting; ///< By arrival number, which decides between calls of the same rank.
    std::map<std::uint64_t, InFlightCall> m_inFlight;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastArrival = 0;
    int m_lateInFlight = 0;
    TimePoint m_inTimeWaited; ///< When a call of a step in time was last left waiting by dispatch().
    TimePoint m_urgentSent; ///< When an urgent call was last sent.
    double m_durationFactor = 1;
};

} // namespace KingCupLadder
