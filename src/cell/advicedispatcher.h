// Distributes calls to the policy service over the daemons. The service handles one call at a time per calling VM, so each daemon
// has its own queue there. Long calls may occupy only two thirds of the daemons (at least one), so that short calls for
// urgent steps find a free one.
#pragma once

#include "cellids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace KingCupLadder {

struct AdviceCall {
    StepRef step;
    std::vector<WorkerId> workers;
    Duration duration{0}; ///< Expected processing time in the policy service.
    int priority = 0; ///< 0 is the highest.
    bool isRenewal = false; ///< The step knows that the workers are allowed and only needs new tickets.
    TimePoint queuedAt;
    DaemonId daemon; ///< The daemon that makes the call; set by dispatch().
    std::uint64_t id = 0; ///< Set by dispatch().
};

/// Queues calls to the policy service and assigns them to daemons.
class AdviceDispatcher
{
public:
    /// Sets the daemons that can call the service now.
    void setDaemons(const std::vector<DaemonId> &daemons);
    void add(AdviceCall call);
    /// Assigns waiting calls to free daemons and returns them for sending.
    [[nodiscard]] std::vector<AdviceCall> dispatch(TimePoint now);
    /// Ends a call that was answered or lost. Empty if the call is unknown or has already ended.
    [[nodiscard]] std::optional<AdviceCall> finish(std::uint64_t id);
    /// Removes and returns calls whose deadline has passed or whose daemon is gone.
    [[nodiscard]] std::vector<AdviceCall> expire(TimePoint now);
    void clear();
    [[nodiscard]] std::size_t waitingCalls() const;
    /// Time that the oldest waiting call has been queued; zero if none waits.
    [[nodiscard]] Duration longestQueueTime(TimePoint now) const;
    [[nodiscard]] std::size_t callsInFlight() const;

private:
    struct DaemonState {
        int inFlight = 0;
        TimePoint busyUntil;
    };
    struct InFlightCall {
        AdviceCall call;
        TimePoint deadline; ///< The call is given up if it has not been answered by then.
    };

    [[nodiscard]] std::map<DaemonId, DaemonState>::iterator selectDaemon(const AdviceCall &call, TimePoint now);

    std::map<DaemonId, DaemonState> m_daemonStates;
    std::map<std::pair<int, std::uint64_t>, AdviceCall> m_waiting; ///< By priority and arrival number.
    std::map<std::uint64_t, InFlightCall> m_inFlight;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastArrival = 0;
};

} // namespace KingCupLadder
