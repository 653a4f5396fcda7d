// Phases of the graceful shutdown.
#include "shutdown.h"

#include <utility>

namespace KingCupLadder {

namespace {

const char *phaseName(Shutdown::Phase phase)
{
    switch (phase) {
    case Shutdown::Phase::Running:
        return "running";
    case Shutdown::Phase::Draining:
        return "draining: not ready, still serving";
    case Shutdown::Phase::Finishing:
        return "finishing requests in flight";
    case Shutdown::Phase::HandingOver:
        return "handing over shards";
    case Shutdown::Phase::Flushing:
        return "sending the last messages";
    case Shutdown::Phase::Exited:
        return "exit";
    }
    return "exit";
}

} // namespace

Shutdown::Shutdown(const ShutdownSettings &settings, ShutdownHooks hooks) : m_settings(settings), m_hooks(std::move(hooks)) { }

void Shutdown::begin(TimePoint now)
{
    if (m_phase == Phase::Running) {
        enter(Phase::Draining, now);
    }
}

void Shutdown::enter(Phase phase, TimePoint now)
{
    m_phase = phase;
    m_phaseStart = now;
    m_hooks.onPhaseEntered(phaseName(phase));
    if (phase == Phase::HandingOver) {
        m_hooks.beginCoreStop();
    }
    if (phase == Phase::Exited) {
        m_hooks.exit();
    }
}

void Shutdown::tick(TimePoint now)
{
    const Duration timeInPhase = now - m_phaseStart;
    if (m_phase == Phase::Draining && timeInPhase >= m_settings.drainWait) {
        enter(Phase::Finishing, now);
    } else if (m_phase == Phase::Finishing && (m_hooks.activeRequests() == 0 || timeInPhase >= m_settings.finishWait)) {
        enter(Phase::HandingOver, now);
    } else if (m_phase == Phase::HandingOver && (m_hooks.isCoreStopped() || timeInPhase >= m_settings.handOverWait)) {
        enter(Phase::Flushing, now);
    } else if (m_phase == Phase::Flushing && timeInPhase >= m_settings.flushWait) {
        enter(Phase::Exited, now);
    }
}

Shutdown::Phase Shutdown::phase() const
{
    return m_phase;
}

bool Shutdown::isReady() const
{
    return m_phase == Phase::Running;
}

bool Shutdown::refusesNewWork() const
{
    return m_phase > Phase::Draining;
}

} // namespace KingCupLadder
