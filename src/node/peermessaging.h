// Messaging between the daemons of a cell: one-way messages, and requests that get one reply or time out. A reply is passed on only if it
// comes from the daemon that was asked and is meant for this process: a restarted daemon listens at the address of its former process and
// also receives the replies to that one's requests.
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

    /// Where the reply to a request goes. Can be kept until the reply is known.
    struct ReturnAddress {
        std::string peerAddress;
        std::uint64_t call = 0; ///< Zero if the message was not a request.
        Incarnation incarnation; ///< Of the process that asked.
    };
    [[nodiscard]] static ReturnAddress returnAddressOf(const Envelope &peerRequest);

    /// @p budget: its connections bound the daemons that this one connects to.
    [[nodiscard]] static Result<std::unique_ptr<PeerMessaging>>
    create(EventLoop &loop, const CellMember &self, Handler handler, const ConnectionBudget &budget = ConnectionBudget::forPeers({}));

    /// Sends a one-way message. Small messages to the same address are batched.
    void send(const std::string &address, Envelope message);
    /// Sends a request. The callback runs exactly once, after the call has returned.
    void sendRequest(const std::string &address, Envelope peerRequest, Duration timeout, ReplyCallback callback);
    /// Replies to a request. Does nothing if the message was not a request.
    void sendReply(const ReturnAddress &to, Envelope reply);
    /// Ends requests whose time-out has passed. Must be called regularly.
    void expire(TimePoint now);
    [[nodiscard]] const PeerCounters &counters() const;
    /// Replies that matched no pending request: they came too late, or were meant for a former process.
    [[nodiscard]] std::uint64_t unmatchedReplies() const;

private:
    struct PendingRequest {
        std::string peerAddress; ///< Of the daemon that was asked.
        TimePoint deadline;
        ReplyCallback callback;
    };

    PeerMessaging(EventLoop &loop, const CellMember &self, Handler handler);
    [[nodiscard]] bool receive(std::string_view bytes);
    void handle(const Envelope &message);
    /// Whether the reply comes from the daemon that was asked and is meant for this process.
    [[nodiscard]] bool isReplyTo(const PendingRequest &pending, const Envelope &reply) const;
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
    /// Starts from a random number, so that a reply of an earlier version, which does not name the process that asked, is not taken for the
    /// reply to a request of this process.
    std::uint64_t m_lastRequestId;
    std::uint64_t m_unmatchedReplies = 0;
};

} // namespace KingCupLadder
