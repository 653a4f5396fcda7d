// The graceful stop: not ready, drain wait, refusal of new work, end of requests in flight, hand-over of shards, exit.
#pragma once

#include "core/units.h"

#include <cstddef>
#include <functional>

namespace KingCupLadder {

struct ShutdownSettings {
    Duration drainWait{10000}; ///< Until the balancer has noticed that the daemon is not ready.
    Duration finishWait{30000}; ///< The longest wait for requests in flight.
    Duration handOverWait{10000}; ///< The longest wait for the hand-over of shards.
    Duration flushWait{300}; ///< For the last messages to peers to leave.
};

struct ShutdownHooks {
    std::function<std::size_t()> activeRequests;
    std::function<void()> beginStop; ///< Of the core.
    std::function<bool()> stopped; ///< Of the core.
    std::function<void()> exit;
    std::function<void(const char *phase)> onPhaseEntered; ///< For the log.
};

/// A plain state machine; tick() drives it.
class Shutdown
{
public:
    enum class Phase {
        Running,
        Draining, ///< Not ready, but still serves what arrives.
        Finishing, ///< Refuses new work and waits for requests in flight.
        HandingOver,
        Flushing,
        Exited,
    };

    Shutdown(const ShutdownSettings &settings, ShutdownHooks hooks);

    /// Further calls have no effect.
    void begin(TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] Phase phase() const;
    [[nodiscard]] bool isReady() const; ///< Whether the balancer should send callers here.
    [[nodiscard]] bool refusesWork() const;

private:
    void enter(Phase phase, TimePoint now);

    ShutdownSettings m_settings;
    ShutdownHooks m_hooks;
    Phase m_phase = Phase::Running;
    TimePoint m_since; ///< When the phase began.
};

} // namespace KingCupLadder
