// Messaging between the daemons of a cell: one-way messages, and requests that get one reply or time out.
#pragma once

#include "cell.pb.h"
#include "cell/leadership.h"
#include "daemon/peertransport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace KingCupLadder {

class PeerMessaging
{
public:
    using Envelope = CellWire::CellEnvelope;
    using Handler = std::function<void(const Envelope &)>;
    using ReplyCallback = std::function<void(const Envelope *reply)>; ///< Null: no reply in time.

    [[nodiscard]] static Result<std::unique_ptr<PeerMessaging>> create(EventLoop &loop, const CellMember &self, Handler handler);

    /// Sends a one-way message. Small messages to the same address are batched.
    void send(const std::string &address, Envelope message);
    /// Sends a request. The callback runs exactly once, after the call has returned.
    void sendRequest(const std::string &address, Envelope peerRequest, Duration timeout, ReplyCallback callback);
    /// Replies to a request. Does nothing if the message is not a request.
    void sendReply(const Envelope &peerRequest, Envelope reply);
    /// Ends requests whose time-out has passed. Must be called regularly.
    void expire(TimePoint now);
    [[nodiscard]] const PeerCounters &counters() const;

private:
    struct PendingRequest {
        TimePoint deadline;
        ReplyCallback callback;
    };

    PeerMessaging(EventLoop &loop, const CellMember &self, Handler handler);
    [[nodiscard]] bool receive(std::string_view bytes);
    void handle(const Envelope &message);
    void flush();
    void transmit(const std::string &address, Envelope message);

    EventLoop &m_loop;
    CellMember m_self;
    Handler m_handler;
    std::unique_ptr<PeerTransport> m_transport;
    std::map<std::string, Envelope> m_outbox; ///< Messages to send at the next flush, by address.
    std::unique_ptr<EventWatch> m_flushTimer;
    bool m_flushScheduled = false;
    std::map<std::uint64_t, PendingRequest> m_pending;
    std::uint64_t m_lastRequestId = 0;
};

} // namespace KingCupLadder
