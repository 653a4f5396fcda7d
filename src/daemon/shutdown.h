// Graceful shutdown: not ready, drain wait, refusal of new work, completion of requests in flight, handover of shards, exit.
#pragma once

#include "core/units.h"

#include <cstddef>
#include <functional>

namespace KingCupLadder {

struct ShutdownSettings {
    Duration drainWait{10000}; ///< Time for the load balancer to notice that the daemon is not ready.
    Duration finishWait{30000}; ///< Longest wait for requests in flight.
    Duration handOverWait{10000}; ///< Longest wait for the handover of shards.
    Duration flushWait{300}; ///< Time to send the last messages to peers.
};

/// Functions of the daemon that Shutdown calls.
struct ShutdownHooks {
    std::function<std::size_t()> activeRequests;
    std::function<void()> beginCoreStop; ///< Starts the handover of the core's shards.
    std::function<bool()> isCoreStopped; ///< Whether the handover has finished.
    std::function<void()> exit;
    std::function<void(const char *phase)> onPhaseEntered; ///< Logs the phase.
};

/// State machine driven by tick().
class Shutdown
{
public:
    /// In the order in which the phases are entered; refusesNewWork() depends on it.
    enum class Phase {
        Running,
        Draining, ///< Not ready, but still serves new requests.
        Finishing, ///< Refuses new work and waits for requests in flight.
        HandingOver, ///< Waits for the core to hand over its shards.
        Flushing, ///< Waits for the last messages to peers to be sent.
        Exited,
    };

    Shutdown(const ShutdownSettings &settings, ShutdownHooks hooks);

    /// Starts the shutdown. Further calls have no effect.
    void begin(TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] Phase phase() const;
    [[nodiscard]] bool isReady() const; ///< Whether the load balancer should send requests here.
    [[nodiscard]] bool refusesNewWork() const;

private:
    void enter(Phase phase, TimePoint now);

    ShutdownSettings m_settings;
    ShutdownHooks m_hooks;
    Phase m_phase = Phase::Running;
    TimePoint m_phaseStart; ///< When the phase began.
};

} // namespace KingCupLadder
