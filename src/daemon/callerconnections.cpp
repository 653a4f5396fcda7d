// Accounting of connections and choice of those to close.
#include "callerconnections.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace KingCupLadder {

namespace {

constexpr Duration stuckTime{1000}; // An ordinary request or response takes less, so such a connection is closed before an idle one.
constexpr std::int64_t millisecondsPerSecond = 1000;

} // namespace

const char *toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Connections:
        return "too many connections";
    case CloseReason::Bytes:
        return "too many bytes";
    case CloseReason::SlowRequest:
        return "slow request";
    case CloseReason::UnreadResponse:
        return "unread response";
    case CloseReason::Idle:
        return "idle";
    }
    return "";
}

const char *toString(RejectReason reason)
{
    switch (reason) {
    case RejectReason::BodyTooLarge:
        return "body too large";
    case RejectReason::Malformed:
        return "malformed request";
    case RejectReason::Overloaded:
        return "overloaded";
    }
    return "";
}

CallerConnections::CallerConnections(const ConnectionBudget &budget, const CallerLimits &limits) : m_budget(budget), m_limits(limits) { }

void CallerConnections::setLimits(const CallerLimits &limits)
{
    m_limits = limits;
}

const CallerLimits &CallerConnections::limits() const
{
    return m_limits;
}

const ConnectionBudget &CallerConnections::budget() const
{
    return m_budget;
}

std::size_t CallerConnections::bytesOf(const Connection &connection)
{
    return connection.inputBytes + connection.requestBytes + connection.outputBytes;
}

template<typename Change>
void CallerConnections::update(CallerConnectionId id, const Change &change)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    m_heldBytes -= bytesOf(found->second);
    m_handledBytes -= found->second.requestBytes;
    change(found->second);
    m_heldBytes += bytesOf(found->second);
    m_handledBytes += found->second.requestBytes;
}

CallerConnectionId CallerConnections::add(TimePoint now, CloseHandler close)
{
    m_lastId = m_lastId.next();
    Connection connection;
    connection.close = std::move(close);
    connection.since = now;
    connection.progressAt = now;
    m_connections.emplace(m_lastId, std::move(connection));
    return m_lastId;
}

void CallerConnections::remove(CallerConnectionId id)
{
    update(id, [](Connection &connection) { connection.inputBytes = connection.requestBytes = connection.outputBytes = 0; });
    m_connections.erase(id);
}

void CallerConnections::onReceived(CallerConnectionId id, std::size_t bytes, TimePoint now)
{
    update(id, [bytes, now](Connection &connection) {
        connection.inputBytes += bytes;
        if (connection.state == State::Idle) {
            connection.state = State::Receiving;
            connection.since = now;
        }
        // Input behind an unread response is no progress.
        if (connection.state == State::Receiving) {
            connection.progressAt = now;
        }
    });
}

bool CallerConnections::onRequest(CallerConnectionId id, std::size_t bytes, std::size_t leftBytes, TimePoint now)
{
    const bool isAccepted = m_handledBytes + bytes <= maxBytes();
    update(id, [=](Connection &connection) {
        connection.inputBytes = leftBytes;
        connection.requestBytes = isAccepted ? bytes : 0;
        connection.state = State::Handling;
        connection.since = now;
        connection.progressAt = now;
    });
    return isAccepted;
}

void CallerConnections::onRejected(RejectReason reason)
{
    ++m_rejected[reason];
}

void CallerConnections::onResponse(CallerConnectionId id, TimePoint now)
{
    update(id, [now](Connection &connection) {
        connection.requestBytes = 0;
        connection.state = State::Responding;
        connection.since = now;
        connection.progressAt = now;
    });
}

void CallerConnections::onOutput(CallerConnectionId id, std::size_t bytes, TimePoint now)
{
    update(id, [bytes, now](Connection &connection) {
        if (bytes < connection.outputBytes) {
            connection.progressAt = now;
        }
        connection.outputBytes = bytes;
    });
}

void CallerConnections::onResponseWritten(CallerConnectionId id, std::size_t leftBytes, TimePoint now)
{
    update(id, [](Connection &connection) {
        connection.isProven = true;
        connection.outputBytes = 0;
    });
    onConsumed(id, leftBytes, now);
}

void CallerConnections::onConsumed(CallerConnectionId id, std::size_t leftBytes, TimePoint now)
{
    update(id, [leftBytes, now](Connection &connection) {
        connection.inputBytes = leftBytes;
        connection.state = leftBytes > 0 ? State::Receiving : State::Idle;
        connection.since = now;
        connection.progressAt = now;
    });
}

std::size_t CallerConnections::maxBytes() const
{
    // A single request within the limits is always served.
    return std::max(m_budget.maxBytes, 2 * (m_limits.maxHeaderBytes + m_limits.maxBodyBytes));
}

bool CallerConnections::isOverBudget() const
{
    return m_connections.size() > m_budget.maxConnections || m_heldBytes > maxBytes();
}

void CallerConnections::enforce(TimePoint now)
{
    closeTimedOut(now);
    if (m_heldBytes > maxBytes()) {
        closeLargest(now);
    }
    if (m_connections.size() > m_budget.maxConnections) {
        closeLeastUseful(now);
    }
}

void CallerConnections::close(CallerConnectionId id, CloseReason reason)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        ++m_closed[reason];
        const CloseHandler handler = std::move(found->second.close);
        remove(id);
        handler(reason);
    }
}

bool CallerConnections::isTimedOut(const Connection &connection, TimePoint now) const
{
    if (connection.state == State::Handling) {
        return false;
    }
    if (m_limits.idleTimeout > Duration(0) && now - connection.progressAt >= m_limits.idleTimeout) {
        return true;
    }
    const Duration bonus(static_cast<std::int64_t>(connection.inputBytes / minBytesPerSecond) * millisecondsPerSecond);
    return m_limits.headerTimeout > Duration(0) && connection.state == State::Receiving && now - connection.since >= m_limits.headerTimeout + bonus;
}

void CallerConnections::closeTimedOut(TimePoint now)
{
    std::vector<std::pair<CallerConnectionId, CloseReason>> timedOut;
    for (const auto &[id, connection] : m_connections) {
        if (isTimedOut(connection, now)) {
            const bool isReceiving = connection.state == State::Receiving;
            const bool isIdle = connection.state == State::Idle;
            timedOut.emplace_back(id, isReceiving ? CloseReason::SlowRequest : isIdle ? CloseReason::Idle : CloseReason::UnreadResponse);
        }
    }
    for (const auto &[id, reason] : timedOut) {
        close(id, reason);
    }
}

void CallerConnections::closeLargest(TimePoint now)
{
    // The product of bytes and time spares large requests that arrive quickly.
    std::vector<std::pair<std::uint64_t, CallerConnectionId>> candidates;
    for (const auto &[id, connection] : m_connections) {
        if (connection.state != State::Handling && bytesOf(connection) > 0) {
            const auto age = static_cast<std::uint64_t>(std::max<std::int64_t>((now - connection.since).count(), 0));
            candidates.emplace_back(bytesOf(connection) * (age + 1), id);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    for (const auto &[score, id] : candidates) {
        if (m_heldBytes <= maxBytes()) {
            return;
        }
        close(id, CloseReason::Bytes);
    }
}

void CallerConnections::closeLeastUseful(TimePoint now)
{
    // Stuck requests and responses first, then callers that never had a response, then idle ones, and last what is in progress.
    std::vector<std::tuple<int, TimePoint, CallerConnectionId>> candidates;
    for (const auto &[id, connection] : m_connections) {
        const bool isBusy = connection.state == State::Receiving || connection.state == State::Responding;
        const bool isStuck = isBusy && now - connection.since >= stuckTime;
        if (connection.state != State::Handling) {
            candidates.emplace_back(isStuck ? 0 : !connection.isProven ? 1 : isBusy ? 3 : 2, connection.since, id);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto &[group, since, id] : candidates) {
        if (m_connections.size() <= m_budget.maxConnections) {
            return;
        }
        close(id, CloseReason::Connections);
    }
}

std::size_t CallerConnections::count() const
{
    return m_connections.size();
}

std::size_t CallerConnections::heldBytes() const
{
    return m_heldBytes;
}

const std::map<CloseReason, std::uint64_t> &CallerConnections::closed() const
{
    return m_closed;
}

const std::map<RejectReason, std::uint64_t> &CallerConnections::rejected() const
{
    return m_rejected;
}

} // namespace KingCupLadder
