// Batches messages and matches replies to requests.
#include "peermessaging.h"

#include "daemon/log.h"

#include <limits>
#include <random>

namespace KingCupLadder {

namespace {

// A failed leader is replaced within about two seconds, so dead connections must be detected sooner.
constexpr Duration pingInterval{400};
constexpr Duration pingTimeout{1200};
constexpr Duration connectTimeout{500};
constexpr Duration maxReconnectDelay{400};
constexpr Duration batchingDelay{2}; // Each ZeroMQ message costs several system calls in two threads, whatever its size.
constexpr std::size_t maxBatchedMessageBytes = 32UL * 1024; // A batch of larger messages could exceed the size limit of one message.

std::uint64_t randomRequestId()
{
    std::random_device random;
    return std::uniform_int_distribution<std::uint64_t>(1, std::numeric_limits<std::uint64_t>::max() / 2)(random);
}

} // namespace

PeerMessaging::PeerMessaging(EventLoop &loop, const CellMember &self, Handler handler)
    : m_loop(loop), m_self(self), m_handler(std::move(handler)), m_lastRequestId(randomRequestId())
{
    m_flushTimer = EventWatch::timer(loop, [this] { flush(); });
}

Result<std::unique_ptr<PeerMessaging>> PeerMessaging::create(EventLoop &loop, const CellMember &self, Handler handler, const ConnectionBudget &budget)
{
    std::unique_ptr<PeerMessaging> peers(new PeerMessaging(loop, self, std::move(handler)));
    PeerTransportSettings settings;
    settings.address = self.peerAddress;
    // A ROUTER socket receives: its own thread answers pings while a turn of the loop takes long, so that peers keep their connections.
    settings.maxPeers = budget.maxConnections;
    settings.pingInterval = pingInterval;
    settings.pingTimeout = pingTimeout;
    settings.connectTimeout = connectTimeout;
    settings.maxReconnectInterval = maxReconnectDelay;
    auto transport = PeerTransport::create(loop, settings, [receiver = peers.get()](std::string_view bytes) { return receiver->receive(bytes); });
    if (!transport) {
        return transport.reason();
    }
    peers->m_transport = std::move(transport).value();
    return peers;
}

void PeerMessaging::send(const std::string &address, Envelope message)
{
    if (message.ByteSizeLong() > maxBatchedMessageBytes) {
        const auto queued = m_outbox.find(address);
        if (queued != m_outbox.end()) {
            transmit(address, std::move(queued->second)); // Keeps the messages in order.
            m_outbox.erase(queued);
        }
        transmit(address, std::move(message));
        return;
    }
    const auto [entry, isFirst] = m_outbox.try_emplace(address);
    if (isFirst) {
        entry->second = std::move(message);
    } else {
        *entry->second.add_others() = std::move(message);
    }
    if (!m_flushScheduled) {
        m_flushScheduled = true;
        m_flushTimer->start(batchingDelay);
    }
}

void PeerMessaging::flush()
{
    m_flushScheduled = false;
    for (auto &[address, message] : std::exchange(m_outbox, {})) {
        transmit(address, std::move(message));
    }
}

void PeerMessaging::transmit(const std::string &address, Envelope message)
{
    message.set_from(m_self.id.value());
    message.set_incarnation(m_self.incarnation.value());
    message.set_reply_address(m_self.peerAddress);
    m_transport->send(address, message.SerializeAsString());
}

void PeerMessaging::sendRequest(const std::string &address, Envelope peerRequest, Duration timeout, ReplyCallback callback)
{
    peerRequest.set_call(++m_lastRequestId);
    m_pending.emplace(m_lastRequestId, PendingRequest{address, m_loop.now() + timeout, std::move(callback)});
    send(address, std::move(peerRequest));
}

PeerMessaging::ReturnAddress PeerMessaging::returnAddressOf(const Envelope &peerRequest)
{
    return ReturnAddress{peerRequest.reply_address(), peerRequest.call(), Incarnation(peerRequest.incarnation())};
}

void PeerMessaging::sendReply(const ReturnAddress &to, Envelope reply)
{
    if (to.call == 0) {
        return;
    }
    reply.set_call(to.call);
    reply.set_asker_incarnation(to.incarnation.value());
    reply.set_is_answer(true);
    send(to.peerAddress, std::move(reply));
}

bool PeerMessaging::receive(std::string_view bytes)
{
    Envelope message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.from().empty()) {
        return false;
    }
    for (CellWire::CellEnvelope &other : *message.mutable_others()) {
        other.set_from(message.from());
        other.set_incarnation(message.incarnation());
        other.set_reply_address(message.reply_address());
    }
    handle(message);
    for (const CellWire::CellEnvelope &other : message.others()) {
        handle(other);
    }
    return true;
}

void PeerMessaging::handle(const Envelope &message)
{
    if (!message.is_answer()) {
        m_handler(message);
        return;
    }
    const auto pending = m_pending.find(message.call());
    if (pending == m_pending.end() || !isReplyTo(pending->second, message)) {
        ++m_unmatchedReplies;
        logRateLimited(LogComponent::Peers,
                       LogLevel::Info,
                       "unmatched reply",
                       "dropped a reply of " + message.from() + " to request " + std::to_string(message.call()) + " of incarnation "
                           + std::to_string(message.asker_incarnation()) + ": it came too late or is meant for a former process");
        return;
    }
    const ReplyCallback callback = std::move(pending->second.callback);
    m_pending.erase(pending);
    callback(&message);
}

bool PeerMessaging::isReplyTo(const PendingRequest &pending, const Envelope &reply) const
{
    // Earlier versions do not name the process that asked.
    const bool isForThisProcess = reply.asker_incarnation() == 0 || reply.asker_incarnation() == m_self.incarnation.value();
    return isForThisProcess && reply.reply_address() == pending.peerAddress;
}

std::uint64_t PeerMessaging::unmatchedReplies() const
{
    return m_unmatchedReplies;
}

void PeerMessaging::expire(TimePoint now)
{
    std::vector<ReplyCallback> expired;
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (pending->second.deadline <= now) {
            expired.push_back(std::move(pending->second.callback));
            pending = m_pending.erase(pending);
        } else {
            ++pending;
        }
    }
    // The callbacks run last, since they may send new requests.
    for (const ReplyCallback &callback : expired) {
        callback(nullptr);
    }
}

const PeerCounters &PeerMessaging::counters() const
{
    return m_transport->counters();
}

} // namespace KingCupLadder
