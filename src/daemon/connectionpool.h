// Connection pool for one upstream. Requests wait for an idle connection up to their timeout. After a timeout on one connection,
// the others are suspect (see ConnectionHealth) and are probed before they carry a request.
#pragma once

#include "core/connectionhealth.h"
#include "httpconnection.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace KingCupLadder {

struct ConnectionPoolSettings {
    std::size_t maxConnections = 8;
    std::size_t maxQueued = 1000; ///< Requests queued for a connection; a further request is not queued and its result is Failed.
    std::size_t maxBody = 8UL * 1024 * 1024; ///< Largest response body in bytes.
    Duration probeTimeout{300}; ///< A suspect connection whose probe is not answered within this time is closed.
    bool probeSuspects = true; ///< If false, suspect connections that are idle are closed instead of probed.
};

class ConnectionPool
{
public:
    using Callback = HttpConnection::Callback;
    using Ticket = std::uint64_t; ///< Identifies a request in cancel().

    ConnectionPool(EventLoop &loop, std::string address, const ConnectionPoolSettings &settings);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Invokes the callback exactly once, after this function has returned, unless cancel() is called first.
    Ticket send(const ClientRequest &request, Callback callback);
    /// Drops the request without invoking its callback and closes the connection that carries it. Returns true if any byte was
    /// sent.
    bool cancel(Ticket ticket);
    /// Returns whether no request is queued or in progress.
    [[nodiscard]] bool isIdle() const;
    /// Returns the time of the last call of send() or of the last result.
    [[nodiscard]] TimePoint lastUse() const;
    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] TrafficCounters traffic() const;

private:
    struct PooledConnection {
        std::unique_ptr<HttpConnection> connection;
        Ticket ticket = 0; ///< 0 if the connection carries no request; a probe may be in progress.
    };
    struct QueuedRequest {
        Ticket ticket;
        ClientRequest request;
        Callback callback;
        TimePoint deadline;
    };
    using Connections = std::map<ConnectionId, PooledConnection>;

    void dispatch();
    Connections::iterator findIdleConnection();
    Connections::iterator openConnection();
    void sendNextRequest(Connections::iterator pooled);
    void onResult(ConnectionId id, const ClientResult &result, const Callback &callback);
    void startProbes();
    void onProbe(ConnectionId id, const ClientResult &result);
    void closeConnection(Connections::iterator pooled);
    /// Ends the queued requests whose timeout has passed.
    void expireQueuedRequests();
    /// Starts the timer for the earliest deadline in the queue.
    void startQueueTimer();

    EventLoop &m_loop;
    std::string m_address;
    ConnectionPoolSettings m_settings;
    ConnectionHealth m_health;
    Connections m_connections; ///< At most m_settings.maxConnections entries, all with usable connections.
    std::deque<QueuedRequest> m_queue; ///< At most m_settings.maxQueued entries.
    std::unique_ptr<EventWatch> m_queueTimer;
    std::shared_ptr<int> m_lifetimeToken; ///< Lets deferred calls detect that this object was destroyed.
    Ticket m_lastTicket = 0;
    ConnectionId m_lastConnection;
    TimePoint m_lastUse;
    TrafficCounters m_closedTraffic; ///< Traffic of closed connections.
};

/// Holds one pool per upstream address and closes pools that were not used for a minute.
class ConnectionPools
{
public:
    ConnectionPools(EventLoop &loop, const ConnectionPoolSettings &settings);

    [[nodiscard]] ConnectionPool &pool(const std::string &address);
    [[nodiscard]] TrafficCounters traffic() const;
    [[nodiscard]] std::size_t connectionCount() const;

private:
    void closeUnused();

    EventLoop &m_loop;
    ConnectionPoolSettings m_settings;
    std::map<std::string, std::unique_ptr<ConnectionPool>> m_pools;
    TrafficCounters m_closedTraffic;
    std::unique_ptr<EventWatch> m_idleCheckTimer;
};

} // namespace KingCupLadder
