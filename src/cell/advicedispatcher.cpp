// Selection of a daemon for each call to the policy service.
#include "advicedispatcher.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int maxCallsPerDaemon = 2; // The service handles one call while the next is in transit.
constexpr Duration longCallThreshold{150}; // Calls of at least this duration would delay urgent steps on the same daemon.
constexpr Duration answerTimeoutMargin{1500}; // Allows for the network, a busy daemon and the service's own queue.
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
    const int priority = call.priority;
    m_waiting.emplace(std::make_pair(priority, ++m_lastArrival), std::move(call));
}

std::map<DaemonId, AdviceDispatcher::DaemonState>::iterator AdviceDispatcher::selectDaemon(const AdviceCall &call, TimePoint now)
{
    const bool isLong = call.duration >= longCallThreshold;
    const auto longBusyDaemons =
        std::count_if(m_daemonStates.begin(), m_daemonStates.end(), [now](const auto &daemon) { return daemon.second.busyUntil >= now + longCallThreshold; });
    const auto maxLongBusyDaemons = std::max<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(m_daemonStates.size()) * 2 / 3);
    auto best = m_daemonStates.end();
    for (auto daemon = m_daemonStates.begin(); daemon != m_daemonStates.end(); ++daemon) {
        const bool isFree = daemon->second.inFlight == 0 || (daemon->second.inFlight < maxCallsPerDaemon && daemon->second.busyUntil <= now + dispatchLead);
        if (isFree && (best == m_daemonStates.end() || daemon->second.busyUntil < best->second.busyUntil)) {
            best = daemon;
        }
    }
    return isLong && longBusyDaemons >= maxLongBusyDaemons ? m_daemonStates.end() : best;
}

std::vector<AdviceCall> AdviceDispatcher::dispatch(TimePoint now)
{
    std::vector<AdviceCall> calls;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto daemon = selectDaemon(waiting->second, now);
        if (daemon == m_daemonStates.end()) {
            ++waiting;
            continue;
        }
        AdviceCall call = std::move(waiting->second);
        waiting = m_waiting.erase(waiting);
        call.daemon = daemon->first;
        call.id = ++m_lastId;
        ++daemon->second.inFlight;
        daemon->second.busyUntil = std::max(daemon->second.busyUntil, now) + call.duration;
        m_inFlight.emplace(call.id, InFlightCall{call, daemon->second.busyUntil + answerTimeoutMargin});
        calls.push_back(std::move(call));
    }
    return calls;
}

std::optional<AdviceCall> AdviceDispatcher::finish(std::uint64_t id)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end()) {
        return std::nullopt;
    }
    AdviceCall call = std::move(found->second.call);
    m_inFlight.erase(found);
    const auto daemon = m_daemonStates.find(call.daemon);
    if (daemon != m_daemonStates.end() && --daemon->second.inFlight <= 0) {
        daemon->second = DaemonState{};
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
        if (auto call = finish(id)) {
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
    Duration longest{0};
    for (const auto &[key, call] : m_waiting) {
        longest = std::max(longest, now - call.queuedAt);
    }
    return longest;
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
