// Choice of a lane for each call.
#include "advicedispatcher.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int openPerLane = 2; // One is handled while the next is on its way.
constexpr Duration longCall{150}; // Calls of this length or more would hold up urgent steps on their lane.
constexpr Duration answerSlack{1500}; // Network, a busy daemon and the service's own queue.
constexpr Duration laneAhead{20}; // A lane that is free so soon may get its next call.

} // namespace

void AdviceDispatcher::setLanes(const std::vector<DaemonId> &lanes)
{
    for (const DaemonId &id : lanes) {
        m_lanes.emplace(id, Lane{});
    }
    for (auto lane = m_lanes.begin(); lane != m_lanes.end();) {
        const bool present = std::find(lanes.begin(), lanes.end(), lane->first) != lanes.end();
        lane = present ? std::next(lane) : m_lanes.erase(lane);
    }
}

void AdviceDispatcher::add(AdviceCall call)
{
    const int priority = call.priority;
    m_waiting.emplace(std::make_pair(priority, ++m_lastArrival), std::move(call));
}

std::map<DaemonId, AdviceDispatcher::Lane>::iterator AdviceDispatcher::bestLane(const AdviceCall &call, TimePoint now)
{
    const bool isLong = call.duration >= longCall;
    const auto busyLong = std::count_if(m_lanes.begin(), m_lanes.end(), [now](const auto &lane) { return lane.second.busyUntil >= now + longCall; });
    const auto forLong = std::max<std::ptrdiff_t>(1, static_cast<std::ptrdiff_t>(m_lanes.size()) * 2 / 3);
    auto best = m_lanes.end();
    for (auto lane = m_lanes.begin(); lane != m_lanes.end(); ++lane) {
        const bool isFree = lane->second.open == 0 || (lane->second.open < openPerLane && lane->second.busyUntil <= now + laneAhead);
        if (isFree && (best == m_lanes.end() || lane->second.busyUntil < best->second.busyUntil)) {
            best = lane;
        }
    }
    return isLong && busyLong >= forLong ? m_lanes.end() : best;
}

std::vector<AdviceCall> AdviceDispatcher::dispatch(TimePoint now)
{
    std::vector<AdviceCall> calls;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto lane = bestLane(waiting->second, now);
        if (lane == m_lanes.end()) {
            ++waiting;
            continue;
        }
        AdviceCall call = std::move(waiting->second);
        waiting = m_waiting.erase(waiting);
        call.lane = lane->first;
        call.id = ++m_lastId;
        ++lane->second.open;
        lane->second.busyUntil = std::max(lane->second.busyUntil, now) + call.duration;
        m_open.emplace(call.id, Open{call, lane->second.busyUntil + answerSlack});
        calls.push_back(std::move(call));
    }
    return calls;
}

std::optional<AdviceCall> AdviceDispatcher::finish(std::uint64_t id)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    AdviceCall call = std::move(found->second.call);
    m_open.erase(found);
    const auto lane = m_lanes.find(call.lane);
    if (lane != m_lanes.end() && --lane->second.open <= 0) {
        lane->second = Lane{};
    }
    return call;
}

std::vector<AdviceCall> AdviceDispatcher::expire(TimePoint now)
{
    std::vector<AdviceCall> expired;
    std::vector<std::uint64_t> ids;
    for (const auto &[id, open] : m_open) {
        if (open.overdue <= now || m_lanes.count(open.call.lane) == 0) {
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

std::size_t AdviceDispatcher::openCalls() const
{
    return m_open.size();
}

void AdviceDispatcher::clear()
{
    m_waiting.clear();
    m_open.clear();
    for (auto &[id, lane] : m_lanes) {
        lane = Lane{};
    }
}

} // namespace KingCupLadder
