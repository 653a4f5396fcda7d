// Selection of a daemon for each call to the policy service.
#include "advicedispatcher.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int maxCallsPerDaemon = 2; // The service handles one call while the next is in transit.
constexpr Duration longCallThreshold{150}; // Calls of at least this duration would delay urgent steps on the same daemon.
constexpr Duration answerTimeoutMargin{1500}; // Allows for the network, a busy daemon and the service's own queue.
constexpr Duration failurePause{300}; // Pause of a daemon after a call that was not answered; doubled for each further one in a row.
constexpr Duration maxFailurePause{2000};
constexpr int maxFailureDoublings = 3; // Reaches maxFailurePause.
constexpr Duration dispatchLead{20}; // A daemon expected to be free within this time may get its next call.

} // namespace

void AdviceDispatcher::setDaemons(const std::vector<DaemonId> &daemons)
{
    for (const DaemonId &id : daemons) {
        m_daemonStates.emplace(id, DaemonState{});
    }
    for (auto daemon = m_daemonStates.begin(); daemon != m_daemonStates.end();) {
        const bool present = std::find(daemons.begin(), daemons.end(), daemon->first) != daemons.end();
        daemon = present ? std::next(daemon) : m_daemonStates.erase(daemon);
    }
}

void AdviceDispatcher::add(AdviceCall call)
{
    m_waiting.emplace(++m_lastArrival, std::move(call));
}

bool AdviceDispatcher::isFree(const DaemonState &daemon, TimePoint now)
{
    return daemon.inFlight == 0 || (daemon.inFlight < maxCallsPerDaemon && daemon.busyUntil <= now + dispatchLead);
}

bool AdviceDispatcher::areAllPaused(TimePoint now) const
{
    return std::all_of(m_daemonStates.begin(), m_daemonStates.end(), [now](const auto &daemon) { return daemon.second.pausedUntil > now; });
}

bool AdviceDispatcher::hasFreeDaemon(TimePoint now) const
{
    const bool isPauseIgnored = areAllPaused(now);
    return std::any_of(m_daemonStates.begin(), m_daemonStates.end(), [now, isPauseIgnored](const auto &daemon) {
        return isFree(daemon.second, now) && (isPauseIgnored || daemon.second.pausedUntil <= now);
    });
}

std::map<DaemonId, AdviceDispatcher::DaemonState>::iterator AdviceDispatcher::selectDaemon(const AdviceCall &call, TimePoint now)
{
    const bool isLong = call.duration >= longCallThreshold;
    const auto longBusyDaemons =
        std::count_if(m_daemonStates.begin(), m_daemonStates.end(), [now](const auto &daemon) { return daemon.second.busyUntil >= now + longCallThreshold; });
    const auto maxLongBusyDaemons = std::max<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(m_daemonStates.size()) * 2 / 3);
    const bool isPauseIgnored = areAllPaused(now);
    // If all daemons are paused, the one whose pause ends first is the best.
    const auto rank = [now](const DaemonState &daemon) { return std::make_pair(std::max(daemon.pausedUntil, now), daemon.busyUntil); };
    auto best = m_daemonStates.end();
    for (auto daemon = m_daemonStates.begin(); daemon != m_daemonStates.end(); ++daemon) {
        const bool mayCall = isFree(daemon->second, now) && (isPauseIgnored || daemon->second.pausedUntil <= now);
        if (mayCall && (best == m_daemonStates.end() || rank(daemon->second) < rank(best->second))) {
            best = daemon;
        }
    }
    return isLong && longBusyDaemons >= maxLongBusyDaemons ? m_daemonStates.end() : best;
}

void AdviceDispatcher::tryDispatch(
    WaitingCall waiting, const AdviceCallHooks &hooks, TimePoint now, std::vector<AdviceCall> &calls, std::vector<AdviceCall> &dropped)
{
    // The daemon is selected by the estimated duration first, since preparing a call is the more expensive step.
    if (selectDaemon(waiting->second, now) == m_daemonStates.end()) {
        return;
    }
    AdviceCall call = waiting->second;
    if (!hooks.prepare(call)) {
        dropped.push_back(call);
        m_waiting.erase(waiting);
        return;
    }
    const auto daemon = selectDaemon(call, now);
    if (daemon == m_daemonStates.end()) {
        waiting->second.duration = call.duration;
        return;
    }
    m_waiting.erase(waiting);
    call.daemon = daemon->first;
    call.id = ++m_lastId;
    ++daemon->second.inFlight;
    daemon->second.busyUntil = std::max(daemon->second.busyUntil, now) + call.duration;
    m_inFlight.emplace(call.id, InFlightCall{call, daemon->second.busyUntil + answerTimeoutMargin});
    calls.push_back(std::move(call));
}

std::vector<AdviceCall> AdviceDispatcher::dispatch(const AdviceCallHooks &hooks, TimePoint now, std::vector<AdviceCall> &dropped)
{
    std::vector<AdviceCall> calls;
    if (m_waiting.empty() || !hasFreeDaemon(now)) {
        return calls;
    }
    std::vector<std::pair<int, std::uint64_t>> byTier; // With the arrival number, which keeps the order of arrival within a tier.
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (const auto tier = hooks.tier(waiting->second)) {
            byTier.emplace_back(*tier, waiting->first);
            ++waiting;
        } else {
            dropped.push_back(waiting->second);
            waiting = m_waiting.erase(waiting);
        }
    }
    std::sort(byTier.begin(), byTier.end());
    for (auto next = byTier.begin(); next != byTier.end() && hasFreeDaemon(now); ++next) {
        tryDispatch(m_waiting.find(next->second), hooks, now, calls, dropped);
    }
    Duration ahead{0};
    for (auto next = byTier.begin(); hooks.delay && next != byTier.end(); ++next) {
        const auto waiting = m_waiting.find(next->second);
        if (waiting != m_waiting.end()) {
            hooks.delay(waiting->second, now + ahead / static_cast<int>(m_daemonStates.size()));
            ahead += waiting->second.duration;
        }
    }
    return calls;
}

std::optional<AdviceCall> AdviceDispatcher::finish(std::uint64_t id, bool answered, TimePoint now)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end()) {
        return std::nullopt;
    }
    AdviceCall call = std::move(found->second.call);
    m_inFlight.erase(found);
    const auto daemon = m_daemonStates.find(call.daemon);
    if (daemon == m_daemonStates.end()) {
        return call;
    }
    DaemonState &state = daemon->second;
    if (--state.inFlight <= 0) {
        state.inFlight = 0;
        state.busyUntil = TimePoint();
    }
    if (answered) {
        state.failures = 0;
        state.pausedUntil = TimePoint();
    } else {
        const int doublings = std::min(state.failures++, maxFailureDoublings);
        state.pausedUntil = now + std::min(failurePause * (1 << doublings), maxFailurePause);
    }
    return call;
}

std::vector<AdviceCall> AdviceDispatcher::expire(TimePoint now)
{
    std::vector<AdviceCall> expired;
    std::vector<std::uint64_t> ids;
    for (const auto &[id, pending] : m_inFlight) {
        if (pending.deadline <= now || m_daemonStates.count(pending.call.daemon) == 0) {
            ids.push_back(id);
        }
    }
    for (const std::uint64_t id : ids) {
        if (auto call = finish(id, false, now)) {
            expired.push_back(std::move(*call));
        }
    }
    return expired;
}

std::size_t AdviceDispatcher::waitingCalls() const
{
    return m_waiting.size();
}

Duration AdviceDispatcher::longestQueueTime(TimePoint now) const
{
    return m_waiting.empty() ? Duration(0) : now - m_waiting.begin()->second.queuedAt;
}

std::size_t AdviceDispatcher::callsInFlight() const
{
    return m_inFlight.size();
}

void AdviceDispatcher::clear()
{
    m_waiting.clear();
    m_inFlight.clear();
    for (auto &[id, daemon] : m_daemonStates) {
        daemon = DaemonState{};
    }
}

} // namespace KingCupLadder
