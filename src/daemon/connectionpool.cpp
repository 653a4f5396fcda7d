// Sends queued requests on idle connections, opens connections up to the limit and probes suspect connections.
#include "connectionpool.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration idleCheckInterval{10000};
constexpr Duration idleTimeout{60000}; // Longer than any sync interval, so that a live worker keeps its connection.

} // namespace

ConnectionPool::ConnectionPool(EventLoop &loop, std::string address, const ConnectionPoolSettings &settings)
    : m_loop(loop), m_address(std::move(address)), m_settings(settings), m_lifetimeToken(std::make_shared<int>(0)), m_lastUse(loop.now())
{
    m_queueTimer = EventWatch::timer(loop, [this] { expireQueuedRequests(); });
}

ConnectionPool::~ConnectionPool() = default;

ConnectionPool::Ticket ConnectionPool::send(const ClientRequest &request, Callback callback)
{
    m_lastUse = m_loop.now();
    const Ticket ticket = ++m_lastTicket;
    if (m_queue.size() >= m_settings.maxQueued || !parseSocketAddress(m_address)) {
        m_loop.defer([callback = std::move(callback)] { callback(ClientResult{}); });
        return ticket;
    }
    m_queue.push_back(QueuedRequest{ticket, request, std::move(callback), m_lastUse + request.timeout});
    dispatch();
    return ticket;
}

void ConnectionPool::dispatch()
{
    while (!m_queue.empty()) {
        auto pooled = findIdleConnection();
        if (pooled == m_connections.end() && m_connections.size() < m_settings.maxConnections) {
            pooled = openConnection();
        }
        if (pooled == m_connections.end()) {
            break;
        }
        sendNextRequest(pooled);
    }
    startProbes();
    startQueueTimer();
}

ConnectionPool::Connections::iterator ConnectionPool::findIdleConnection()
{
    return std::find_if(m_connections.begin(), m_connections.end(), [this](const Connections::value_type &entry) {
        return !entry.second.connection->isBusy() && m_health.actionFor(entry.first) == ConnectionAction::Use;
    });
}

ConnectionPool::Connections::iterator ConnectionPool::openConnection()
{
    m_lastConnection = m_lastConnection.next();
    m_health.opened(m_lastConnection, m_address);
    PooledConnection pooled;
    pooled.connection = std::make_unique<HttpConnection>(m_loop, *parseSocketAddress(m_address), m_settings.maxBody);
    return m_connections.emplace(m_lastConnection, std::move(pooled)).first;
}

void ConnectionPool::sendNextRequest(Connections::iterator pooled)
{
    QueuedRequest next = std::move(m_queue.front());
    m_queue.pop_front();
    next.request.timeout = std::max(next.deadline - m_loop.now(), Duration(1));
    pooled->second.ticket = next.ticket;
    pooled->second.connection->send(
        next.request, [this, id = pooled->first, callback = std::move(next.callback)](const ClientResult &result) { onResult(id, result, callback); });
}

void ConnectionPool::onResult(ConnectionId id, const ClientResult &result, const Callback &callback)
{
    const Callback ownedCallback = callback; // closeConnection() destroys the object that owns the callback.
    const ClientResult ownedResult = result;
    const auto pooled = m_connections.find(id);
    pooled->second.ticket = 0;
    if (ownedResult.kind == ClientResult::Kind::Answered) {
        m_health.answered(id);
    } else if (ownedResult.kind == ClientResult::Kind::TimedOut) {
        m_health.timedOut(id);
    }
    if (!pooled->second.connection->isUsable()) {
        closeConnection(pooled);
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
        const auto pooled = m_connections.find(id);
        if (pooled == m_connections.end() || pooled->second.connection->isBusy()) {
            continue;
        }
        if (!m_settings.probeSuspects) {
            closeConnection(pooled);
            continue;
        }
        m_health.probeStarted(id);
        ClientRequest probe;
        probe.target = "/"; // Any response, even an error, proves that the connection carries data.
        probe.timeout = m_settings.probeTimeout;
        pooled->second.connection->send(probe, [this, id](const ClientResult &result) { onProbe(id, result); });
    }
}

void ConnectionPool::onProbe(ConnectionId id, const ClientResult &result)
{
    const auto pooled = m_connections.find(id);
    if (result.kind == ClientResult::Kind::Answered) {
        m_health.probeAnswered(id);
    } else {
        m_health.timedOut(id);
    }
    if (!pooled->second.connection->isUsable()) {
        closeConnection(pooled);
    }
    dispatch();
}

void ConnectionPool::closeConnection(Connections::iterator pooled)
{
    m_health.closed(pooled->first);
    m_closedTraffic.bytesSent += pooled->second.connection->traffic().bytesSent;
    m_closedTraffic.bytesReceived += pooled->second.connection->traffic().bytesReceived;
    m_connections.erase(pooled);
}

bool ConnectionPool::cancel(Ticket ticket)
{
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [ticket](const QueuedRequest &entry) { return entry.ticket == ticket; });
    if (queued != m_queue.end()) {
        m_queue.erase(queued);
        return false;
    }
    const auto pooled =
        std::find_if(m_connections.begin(), m_connections.end(), [ticket](const Connections::value_type &entry) { return entry.second.ticket == ticket; });
    // Ticket 0 would match a connection that carries no request.
    if (ticket == 0 || pooled == m_connections.end()) {
        return false;
    }
    const bool sent = pooled->second.connection->abort();
    closeConnection(pooled);
    dispatch();
    return sent;
}

void ConnectionPool::expireQueuedRequests()
{
    const TimePoint now = m_loop.now();
    std::vector<Callback> expired;
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        if (entry->deadline <= now) {
            expired.push_back(std::move(entry->callback));
            entry = m_queue.erase(entry);
        } else {
            ++entry;
        }
    }
    startQueueTimer();
    // The callbacks come last: they may call send(), which changes the queue, or destroy this object.
    for (const Callback &callback : expired) {
        callback(ClientResult{ClientResult::Kind::TimedOut, false, {}});
    }
}

void ConnectionPool::startQueueTimer()
{
    if (m_queue.empty()) {
        m_queueTimer->stop();
        return;
    }
    const auto earliest =
        std::min_element(m_queue.begin(), m_queue.end(), [](const QueuedRequest &a, const QueuedRequest &b) { return a.deadline < b.deadline; });
    m_queueTimer->start(earliest->deadline - m_loop.now());
}

bool ConnectionPool::isIdle() const
{
    const bool busy =
        std::any_of(m_connections.begin(), m_connections.end(), [](const Connections::value_type &entry) { return entry.second.connection->isBusy(); });
    return m_queue.empty() && !busy;
}

TimePoint ConnectionPool::lastUse() const
{
    return m_lastUse;
}

std::size_t ConnectionPool::connectionCount() const
{
    return m_connections.size();
}

TrafficCounters ConnectionPool::traffic() const
{
    TrafficCounters sum = m_closedTraffic;
    for (const auto &[id, pooled] : m_connections) {
        sum.bytesSent += pooled.connection->traffic().bytesSent;
        sum.bytesReceived += pooled.connection->traffic().bytesReceived;
    }
    return sum;
}

ConnectionPools::ConnectionPools(EventLoop &loop, const ConnectionPoolSettings &settings) : m_loop(loop), m_settings(settings)
{
    m_idleCheckTimer = EventWatch::repeating(loop, idleCheckInterval, [this] { closeUnused(); });
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
        const TrafficCounters poolTraffic = pool->traffic();
        sum.bytesSent += poolTraffic.bytesSent;
        sum.bytesReceived += poolTraffic.bytesReceived;
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
