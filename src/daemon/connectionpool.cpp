// Dispatches requests to pooled connections, probes suspect connections and bounds the queue.
#include "connectionpool.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration sweepInterval{10000};
constexpr Duration idleTimeout{60000}; // Longer than any sync interval, so that a live worker keeps its connection.

} // namespace

ConnectionPool::ConnectionPool(EventLoop &loop, std::string address, const ConnectionPoolSettings &settings)
    : m_loop(loop), m_address(std::move(address)), m_settings(settings), m_lifetimeToken(std::make_shared<int>(0)), m_lastUse(loop.now())
{
    m_timer = EventWatch::timer(loop, [this] { expireWaiting(); });
}

ConnectionPool::~ConnectionPool() = default;

ConnectionPool::Ticket ConnectionPool::send(const ClientRequest &request, Callback callback)
{
    m_lastUse = m_loop.now();
    const Ticket ticket = ++m_lastTicket;
    if (m_waiting.size() >= m_settings.maxWaiting || !parseSocketAddress(m_address)) {
        m_loop.defer([callback = std::move(callback)] { callback(ClientResult{}); });
        return ticket;
    }
    m_waiting.push_back(Waiting{ticket, request, std::move(callback), m_lastUse + request.timeout});
    dispatch();
    return ticket;
}

void ConnectionPool::dispatch()
{
    while (!m_waiting.empty()) {
        auto slot = freeSlot();
        if (slot == m_slots.end() && m_slots.size() < m_settings.maxConnections) {
            slot = open();
        }
        if (slot == m_slots.end()) {
            break;
        }
        startNext(slot);
    }
    startProbes();
    armTimer();
}

ConnectionPool::Slots::iterator ConnectionPool::freeSlot()
{
    return std::find_if(m_slots.begin(), m_slots.end(), [this](const Slots::value_type &entry) {
        return !entry.second.connection->isBusy() && m_health.actionFor(entry.first) == ConnectionAction::Use;
    });
}

ConnectionPool::Slots::iterator ConnectionPool::open()
{
    m_lastConnection = m_lastConnection.next();
    m_health.opened(m_lastConnection, m_address);
    Slot slot;
    slot.connection = std::make_unique<HttpConnection>(m_loop, *parseSocketAddress(m_address), m_settings.maxBody);
    return m_slots.emplace(m_lastConnection, std::move(slot)).first;
}

void ConnectionPool::startNext(Slots::iterator slot)
{
    Waiting next = std::move(m_waiting.front());
    m_waiting.pop_front();
    next.request.timeout = std::max(next.deadline - m_loop.now(), Duration(1));
    slot->second.ticket = next.ticket;
    slot->second.connection->send(
        next.request, [this, id = slot->first, callback = std::move(next.callback)](const ClientResult &result) { onResult(id, result, callback); });
}

void ConnectionPool::onResult(ConnectionId id, const ClientResult &result, const Callback &callback)
{
    const Callback ownedCallback = callback; // remove() destroys the object that owns the callback.
    const ClientResult ownedResult = result;
    const auto slot = m_slots.find(id);
    slot->second.ticket = 0;
    if (ownedResult.kind == ClientResult::Kind::Answered) {
        m_health.answered(id);
    } else if (ownedResult.kind == ClientResult::Kind::TimedOut) {
        m_health.timedOut(id);
    }
    if (!slot->second.connection->isUsable()) {
        remove(slot);
    }
    m_lastUse = m_loop.now();
    const std::weak_ptr<int> alive = m_lifetimeToken;
    ownedCallback(ownedResult);
    if (!alive.expired()) {
        dispatch();
    }
}

void ConnectionPool::startProbes()
{
    for (const ConnectionId id : m_health.connectionsToProbe(m_address)) {
        const auto slot = m_slots.find(id);
        if (slot == m_slots.end() || slot->second.connection->isBusy()) {
            continue;
        }
        if (!m_settings.probeSuspects) {
            remove(slot);
            continue;
        }
        m_health.probeStarted(id);
        ClientRequest probe;
        probe.target = "/"; // Any response, even an error, proves that the connection carries data.
        probe.timeout = m_settings.probeTimeout;
        slot->second.connection->send(probe, [this, id](const ClientResult &result) { onProbe(id, result); });
    }
}

void ConnectionPool::onProbe(ConnectionId id, const ClientResult &result)
{
    const auto slot = m_slots.find(id);
    if (result.kind == ClientResult::Kind::Answered) {
        m_health.probeAnswered(id);
    } else {
        m_health.timedOut(id);
    }
    if (!slot->second.connection->isUsable()) {
        remove(slot);
    }
    dispatch();
}

void ConnectionPool::remove(Slots::iterator slot)
{
    m_health.closed(slot->first);
    m_closedTraffic.bytesSent += slot->second.connection->traffic().bytesSent;
    m_closedTraffic.bytesReceived += slot->second.connection->traffic().bytesReceived;
    m_slots.erase(slot);
}

bool ConnectionPool::cancel(Ticket ticket)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), [ticket](const Waiting &entry) { return entry.ticket == ticket; });
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
        return false;
    }
    const auto slot = std::find_if(m_slots.begin(), m_slots.end(), [ticket](const Slots::value_type &entry) { return entry.second.ticket == ticket; });
    if (ticket == 0 || slot == m_slots.end()) {
        return false;
    }
    const bool sent = slot->second.connection->abort();
    remove(slot);
    dispatch();
    return sent;
}

void ConnectionPool::expireWaiting()
{
    const TimePoint now = m_loop.now();
    std::vector<Callback> expired;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        if (entry->deadline <= now) {
            expired.push_back(std::move(entry->callback));
            entry = m_waiting.erase(entry);
        } else {
            ++entry;
        }
    }
    armTimer();
    for (const Callback &callback : expired) {
        callback(ClientResult{ClientResult::Kind::TimedOut, false, {}});
    }
}

void ConnectionPool::armTimer()
{
    if (m_waiting.empty()) {
        m_timer->stop();
        return;
    }
    const auto earliest = std::min_element(m_waiting.begin(), m_waiting.end(), [](const Waiting &a, const Waiting &b) { return a.deadline < b.deadline; });
    m_timer->start(earliest->deadline - m_loop.now());
}

bool ConnectionPool::isIdle() const
{
    const bool busy = std::any_of(m_slots.begin(), m_slots.end(), [](const Slots::value_type &entry) { return entry.second.connection->isBusy(); });
    return m_waiting.empty() && !busy;
}

TimePoint ConnectionPool::lastUse() const
{
    return m_lastUse;
}

std::size_t ConnectionPool::connectionCount() const
{
    return m_slots.size();
}

TrafficCounters ConnectionPool::traffic() const
{
    TrafficCounters sum = m_closedTraffic;
    for (const auto &[id, slot] : m_slots) {
        sum.bytesSent += slot.connection->traffic().bytesSent;
        sum.bytesReceived += slot.connection->traffic().bytesReceived;
    }
    return sum;
}

ConnectionPools::ConnectionPools(EventLoop &loop, const ConnectionPoolSettings &settings) : m_loop(loop), m_settings(settings)
{
    m_sweep = EventWatch::repeating(loop, sweepInterval, [this] { closeUnused(); });
}

ConnectionPool &ConnectionPools::pool(const std::string &address)
{
    std::unique_ptr<ConnectionPool> &pool = m_pools[address];
    if (!pool) {
        pool = std::make_unique<ConnectionPool>(m_loop, address, m_settings);
    }
    return *pool;
}

void ConnectionPools::closeUnused()
{
    const TimePoint now = m_loop.now();
    for (auto entry = m_pools.begin(); entry != m_pools.end();) {
        const ConnectionPool &pool = *entry->second;
        if (!pool.isIdle() || now - pool.lastUse() < idleTimeout) {
            ++entry;
            continue;
        }
        m_closedTraffic.bytesSent += pool.traffic().bytesSent;
        m_closedTraffic.bytesReceived += pool.traffic().bytesReceived;
        entry = m_pools.erase(entry);
    }
}

TrafficCounters ConnectionPools::traffic() const
{
    TrafficCounters sum = m_closedTraffic;
    for (const auto &[address, pool] : m_pools) {
        const TrafficCounters part = pool->traffic();
        sum.bytesSent += part.bytesSent;
        sum.bytesReceived += part.bytesReceived;
    }
    return sum;
}

std::size_t ConnectionPools::connectionCount() const
{
    std::size_t sum = 0;
    for (const auto &[address, pool] : m_pools) {
        sum += pool->connectionCount();
    }
    return sum;
}

} // namespace KingCupLadder
