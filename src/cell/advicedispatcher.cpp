// Selection of a daemon for each call to the policy service.
#include "advicedispatcher.h"

#include <algorithm>
#include <tuple>

namespace KingCupLadder {

namespace {

constexpr int maxCallsPerDaemon = 2; // The service handles one call while the next is in transit.
constexpr Duration longCallThreshold{150}; // Calls of at least this duration would delay urgent steps on the same daemon.
constexpr Duration answerTimeoutMargin{1500}; // Allows for the network, a busy daemon and the service's own queue.
constexpr Duration failurePause{300}; // Pause of a daemon after a call that was not answered; doubled for each further one in a row.
constexpr Duration maxFailurePause{2000};
constexpr int maxFailureDoublings = 3; // Reaches maxFailurePause.
// One in this many daemons is kept for urgent calls while there are any, since these do not wait behind long ones and would find no free daemon.
constexpr std::size_t daemonsPerUrgentDaemon = 8;
constexpr double maxLateShare = 1.0 / 3; // Of the daemons, for long calls of late steps while calls of steps in time wait.
constexpr int minCallsForAge = 8; // Fewer waiting calls tell little about the wait of the next one.
constexpr Duration inTimeMemory{1000}; // Calls of steps in time count as waiting for this long, since they arrive at irregular intervals.
constexpr double durationLearningRate = 0.1; // Weight of one answer; ten to twenty answers establish a change.
constexpr double minDurationFactor = 0.5;
constexpr double maxDurationFactor = 3; // Longer delays are caused by the network or the daemon and not by the service.
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
    AdviceRank rank;
    rank.tier = call.tier;
    m_waiting.emplace(++m_lastArrival, WaitingCall{std::move(call), rank});
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

bool AdviceDispatcher::mayUse(const DaemonState &daemon, bool isLong, bool isPauseIgnored, TimePoint now) const
{
    // A long call may take longer than expected, so that a short one behind it would wait although another daemon becomes free sooner.
    const bool isBehindLongCall = daemon.inFlight > 0 && daemon.lastIsLong && !isLong;
    return isFree(daemon, now) && !isBehindLongCall && (isPauseIgnored || daemon.pausedUntil <= now);
}

Duration AdviceDispatcher::expectedDuration(const AdviceCall &call) const
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(call.duration.count()) * m_durationFactor));
}

bool AdviceDispatcher::isUrgent(const AdviceCall &call, const AdviceRank &rank) const
{
    return !rank.isDeferrable && expectedDuration(call) < longCallThreshold;
}

bool AdviceDispatcher::isOnlyUrgentReserveLeft(TimePoint now) const
{
    const bool hasUrgentCalls = m_urgentSent != TimePoint() && now - m_urgentSent < inTimeMemory;
    const std::size_t reserved = hasUrgentCalls ? m_daemonStates.size() / daemonsPerUrgentDaemon : 0;
    // A call that waits at its daemon for the end of another one occupies no further daemon.
    const auto occupied =
        std::count_if(m_inFlight.begin(), m_inFlight.end(), [now](const auto &pending) { return !pending.second.isUrgent && pending.second.begin <= now; });
    return reserved > 0 && static_cast<std::size_t>(occupied) + reserved >= m_daemonStates.size();
}

bool AdviceDispatcher::isLateWorkLimited(TimePoint now) const
{
    const auto maxLate = std::max(1, static_cast<int>(static_cast<double>(m_daemonStates.size()) * maxLateShare));
    return m_inTimeWaited != TimePoint() && now - m_inTimeWaited < inTimeMemory && m_lateInFlight >= maxLate;
}

std::map<DaemonId, AdviceDispatcher::DaemonState>::iterator AdviceDispatcher::selectDaemon(const AdviceCall &call, const AdviceRank &rank, TimePoint now)
{
    const bool isLong = expectedDuration(call) >= longCallThreshold;
    const auto longBusyDaemons =
        std::count_if(m_daemonStates.begin(), m_daemonStates.end(), [now](const auto &daemon) { return daemon.second.busyUntil >= now + longCallThreshold; });
    const auto maxLongBusyDaemons = std::max<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(m_daemonStates.size()) * 2 / 3);
    const bool isPauseIgnored = areAllPaused(now);
    // If all daemons are paused, the one whose pause ends first is the best. A daemon whose call is overdue is not the first to be free.
    const auto order = [now](const DaemonState &daemon) {
        return std::make_tuple(std::max(daemon.pausedUntil, now), daemon.inFlight > 0, std::max(daemon.busyUntil, now));
    };
    auto best = m_daemonStates.end();
    for (auto daemon = m_daemonStates.begin(); daemon != m_daemonStates.end(); ++daemon) {
        if (mayUse(daemon->second, isLong, isPauseIgnored, now) && (best == m_daemonStates.end() || order(daemon->second) < order(best->second))) {
            best = daemon;
        }
    }
    const bool isExcluded = (isLong && longBusyDaemons >= maxLongBusyDaemons) || (isLong && rank.isLate && isLateWorkLimited(now))
        || (!isUrgent(call, rank) && isOnlyUrgentReserveLeft(now));
    return isExcluded ? m_daemonStates.end() : best;
}

void AdviceDispatcher::tryDispatch(
    WaitingIterator waiting, const AdviceCallHooks &hooks, TimePoint now, std::vector<AdviceCall> &calls, std::vector<AdviceCall> &dropped)
{
    // The daemon is selected by the estimated duration first, since preparing a call is the more expensive step.
    const AdviceRank rank = waiting->second.rank;
    if (selectDaemon(waiting->second.call, rank, now) == m_daemonStates.end()) {
        return;
    }
    AdviceCall call = waiting->second.call;
    if (!hooks.prepare(call)) {
        dropped.push_back(call);
        m_waiting.erase(waiting);
        return;
    }
    const auto daemon = selectDaemon(call, rank, now);
    if (daemon == m_daemonStates.end()) {
        waiting->second.call.duration = call.duration;
        return;
    }
    m_waiting.erase(waiting);
    call.daemon = daemon->first;
    call.id = ++m_lastId;
    DaemonState &state = daemon->second;
    ++state.inFlight;
    state.lastIsLong = expectedDuration(call) >= longCallThreshold;
    const TimePoint begin = std::max(state.busyUntil, now);
    state.busyUntil = begin + expectedDuration(call);
    m_lateInFlight += rank.isLate ? 1 : 0;
    m_urgentSent = isUrgent(call, rank) ? now : m_urgentSent;
    m_inFlight.emplace(call.id,
                       InFlightCall{call, begin, std::max(state.busyUntil, begin + call.duration) + answerTimeoutMargin, rank.isLate, isUrgent(call, rank)});
    calls.push_back(std::move(call));
}

std::vector<AdviceCall> AdviceDispatcher::dispatch(const AdviceCallHooks &hooks, TimePoint now, std::vector<AdviceCall> &dropped)
{
    std::vector<AdviceCall> calls;
    if (m_waiting.empty() || !hasFreeDaemon(now)) {
        return calls;
    }
    std::vector<std::pair<AdviceRank, std::uint64_t>> byRank; // With the arrival number, which decides between equal ranks.
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (const auto rank = hooks.rank(waiting->second.call)) {
            waiting->second.rank = *rank;
            byRank.emplace_back(*rank, waiting->first);
            ++waiting;
        } else {
            dropped.push_back(waiting->second.call);
            waiting = m_waiting.erase(waiting);
        }
    }
    std::sort(byRank.begin(), byRank.end());
    for (auto next = byRank.begin(); next != byRank.end() && hasFreeDaemon(now); ++next) {
        if (next->first.isDeferrable && isOnlyUrgentReserveLeft(now)) {
            break; // All further calls are deferrable.
        }
        tryDispatch(m_waiting.find(next->second), hooks, now, calls, dropped);
    }
    Duration ahead{0};
    for (const auto &[rank, arrival] : byRank) {
        const auto waiting = m_waiting.find(arrival);
        if (waiting == m_waiting.end()) {
            continue;
        }
        m_inTimeWaited = rank.isLate ? m_inTimeWaited : now;
        if (hooks.delay) {
            hooks.delay(waiting->second.call, now + ahead / static_cast<int>(m_daemonStates.size()));
            ahead += expectedDuration(waiting->second.call);
        }
    }
    return calls;
}

void AdviceDispatcher::learnDuration(Duration expected, TimePoint begin, TimePoint now)
{
    // The transit of the answer is part of the time, so only calls that take much longer are representative.
    if (expected < longCallThreshold || now <= begin) {
        return;
    }
    const double ratio = static_cast<double>((now - begin).count()) / static_cast<double>(expected.count());
    m_durationFactor += durationLearningRate * (std::clamp(ratio, minDurationFactor, maxDurationFactor) - m_durationFactor);
}

std::size_t AdviceDispatcher::answeringDaemons(TimePoint now) const
{
    if (areAllPaused(now)) {
        return m_daemonStates.size();
    }
    return static_cast<std::size_t>(
        std::count_if(m_daemonStates.begin(), m_daemonStates.end(), [now](const auto &daemon) { return daemon.second.pausedUntil <= now; }));
}

Duration AdviceDispatcher::expectedDelay(int tier, TimePoint now) const
{
    if (m_daemonStates.empty()) {
        return Duration(0);
    }
    Duration queued{0};
    Duration ages{0};
    int sameTier = 0;
    for (const auto &[arrival, waiting] : m_waiting) {
        queued += waiting.rank.tier <= tier ? expectedDuration(waiting.call) : Duration(0);
        if (waiting.rank.tier == tier && !waiting.call.isRenewal) {
            ages += now - waiting.call.queuedAt;
            ++sameTier;
        }
    }
    // The leader or the network may limit the calls rather than the service, so the wait of the calls of the same tier so far counts too.
    const Duration meanAge = sameTier >= minCallsForAge ? ages / sameTier : Duration(0);
    Duration firstFree = Duration::max();
    for (const auto &[id, daemon] : m_daemonStates) {
        firstFree = std::min(firstFree, daemon.inFlight > 0 ? std::max(daemon.busyUntil - now, Duration(0)) : Duration(0));
    }
    return std::max(meanAge, firstFree + queued / static_cast<int>(std::max<std::size_t>(answeringDaemons(now), 1)));
}

double AdviceDispatcher::durationFactor() const
{
    return m_durationFactor;
}

std::optional<AdviceCall> AdviceDispatcher::finish(std::uint64_t id, bool answered, TimePoint now)
{
    const auto found = m_inFlight.find(id);
    if (found == m_inFlight.end()) {
        return std::nullopt;
    }
    m_lateInFlight -= found->second.isLate ? 1 : 0;
    InFlightCall ended = std::move(found->second);
    m_inFlight.erase(found);
    AdviceCall call = std::move(ended.call);
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
        learnDuration(call.duration, std::max(ended.begin, state.lastAnswer), now);
        state.lastAnswer = now;
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
    return m_waiting.empty() ? Duration(0) : now - m_waiting.begin()->second.call.queuedAt;
}

std::size_t AdviceDispatcher::callsInFlight() const
{
    return m_inFlight.size();
}

void AdviceDispatcher::clear()
{
    m_waiting.clear();
    m_inFlight.clear();
    m_lateInFlight = 0;
    m_inTimeWaited = TimePoint();
    m_urgentSent = TimePoint();
    for (auto &[id, daemon] : m_daemonStates) {
        daemon = DaemonState{};
    }
}

} // namespace KingCupLadder
