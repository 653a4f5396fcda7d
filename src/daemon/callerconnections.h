// Decides which connections of callers are closed and which requests are rejected, so that callers who exceed the limits use bounded memory
// and descriptors. One object serves all HTTP listeners of the process; PeerListener has one of its own. No I/O: the owner of a connection reports what happens
// on it and closes it when it is told to.
#pragma once

#include "core/callerlimits.h"
#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <map>

namespace KingCupLadder {

using CallerConnectionId = Counter<struct CallerConnectionIdTag>; ///< Never reused within a process.

/// Why a connection was closed.
enum class CloseReason {
    Connections, ///< Too many connections.
    Bytes, ///< All connections together hold too many bytes.
    SlowRequest, ///< The request was not complete in time.
    UnreadResponse, ///< The caller does not read the response.
    Idle, ///< No request within the idle time-out.
};

/// Why a request was answered with an error before it was handled.
enum class RejectReason {
    BodyTooLarge,
    Malformed, ///< Also headers over the limit and unsupported methods.
    Overloaded, ///< The requests that are being handled hold too many bytes.
};

[[nodiscard]] const char *toString(CloseReason reason);
[[nodiscard]] const char *toString(RejectReason reason);

class CallerConnections
{
public:
    /// Must close the connection and call remove().
    using CloseHandler = std::function<void(CloseReason)>;

    /// Each number of bytes adds one second to the time in which a request must be complete. Far below the rate of any ordinary caller.
    static constexpr std::size_t minBytesPerSecond = 4096;

    explicit CallerConnections(const ConnectionBudget &budget = {}, const CallerLimits &limits = {});

    void setLimits(const CallerLimits &limits);
    [[nodiscard]] const CallerLimits &limits() const;
    [[nodiscard]] const ConnectionBudget &budget() const;

    CallerConnectionId add(TimePoint now, CloseHandler close);
    void remove(CallerConnectionId id);

    /// Bytes of a request have arrived.
    void onReceived(CallerConnectionId id, std::size_t bytes, TimePoint now);
    /// A request of @p bytes is complete; @p leftBytes of later requests are in the input buffer. Returns false if the request must be
    /// rejected, since all complete requests together would hold too many bytes.
    [[nodiscard]] bool onRequest(CallerConnectionId id, std::size_t bytes, std::size_t leftBytes, TimePoint now);
    void onRejected(RejectReason reason);
    /// A response is being sent: to the request, or to one that is malformed or too large.
    void onResponse(CallerConnectionId id, TimePoint now);
    /// The output buffer now has this number of bytes.
    void onOutput(CallerConnectionId id, std::size_t bytes, TimePoint now);
    /// The response was written; @p leftBytes of later requests are in the input buffer.
    void onResponseWritten(CallerConnectionId id, std::size_t leftBytes, TimePoint now);

    /// What was received before @p leftBytes is complete and needs no response.
    void onConsumed(CallerConnectionId id, std::size_t leftBytes, TimePoint now);

    /// Whether enforce() would close a connection although no time-out has passed.
    [[nodiscard]] bool isOverBudget() const;
    /// Closes connections until the limits are met. Never closes one whose request is being handled.
    void enforce(TimePoint now);

    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] const std::map<CloseReason, std::uint64_t> &closed() const;
    [[nodiscard]] const std::map<RejectReason, std::uint64_t> &rejected() const;

private:
    enum class State {
        Idle,
        Receiving, ///< A part of a request has arrived.
        Handling, ///< The request is complete and has no response.
        Responding, ///< The response was not written completely.
    };
    struct Connection {
        CloseHandler close;
        State state = State::Idle;
        bool isProven = false; ///< Whether a response was written completely.
        std::size_t inputBytes = 0; ///< Received since the last complete request.
        std::size_t requestBytes = 0; ///< Of the request that is being handled.
        std::size_t outputBytes = 0;
        TimePoint since; ///< Begin of the state.
        TimePoint progressAt; ///< When bytes were last received or sent.
    };

    [[nodiscard]] static std::size_t bytesOf(const Connection &connection);
    [[nodiscard]] std::size_t maxBytes() const;
    [[nodiscard]] bool isTimedOut(const Connection &connection, TimePoint now) const;
    void closeTimedOut(TimePoint now);
    void closeLargest(TimePoint now);
    void closeLeastUseful(TimePoint now);
    void close(CallerConnectionId id, CloseReason reason);
    template<typename Change>
    void update(CallerConnectionId id, const Change &change);

    ConnectionBudget m_budget;
    CallerLimits m_limits;
    std::map<CallerConnectionId, Connection> m_connections; ///< Oldest first.
    std::size_t m_heldBytes = 0; ///< Sum of bytesOf() of all connections.
    std::size_t m_handledBytes = 0; ///< Sum of the requests that are being handled.
    CallerConnectionId m_lastId;
    std::map<CloseReason, std::uint64_t> m_closed;
    std::map<RejectReason, std::uint64_t> m_rejected;
};

} // namespace KingCupLadder
