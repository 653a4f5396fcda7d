// Pairs answers with questions.
#include "peermessaging.h"

namespace KingCupLadder {

namespace {

// A leader is replaced within about two seconds, so silent connections have to be found sooner than that.
constexpr Duration pingInterval{400};
constexpr Duration pingTimeout{1200};
constexpr Duration connectTimeout{500};
constexpr Duration longestReconnect{400};
constexpr Duration collectFor{2}; // A message through ZeroMQ costs several system calls in two threads, whatever its size.
constexpr std::size_t largestCollected = 32UL * 1024; // Bytes; many larger messages together could exceed what one message may hold.
// libzmq 4.3.4 aborts (stream_engine_base.cpp, "!_io_error") if a connection breaks while a full queue holds back its input.
constexpr int receiveQueue = 200000;

} // namespace

PeerMessaging::PeerMessaging(EventLoop &loop, const CellMember &self, Handler handler) : m_loop(loop), m_self(self), m_handler(std::move(handler))
{
    m_flush = EventWatch::timer(loop, [this] { flush(); });
}

Result<std::unique_ptr<PeerMessaging>> PeerMessaging::create(EventLoop &loop, const CellMember &self, Handler handler)
{
    std::unique_ptr<PeerMessaging> peers(new PeerMessaging(loop, self, std::move(handler)));
    PeerTransportSettings settings;
    settings.address = self.peerAddress;
    settings.receiveQueue = receiveQueue;
    settings.pingInterval = pingInterval;
    settings.pingTimeout = pingTimeout;
    settings.connectTimeout = connectTimeout;
    settings.longestReconnect = longestReconnect;
    auto transport = PeerTransport::create(loop, settings, [receiver = peers.get()](std::string_view bytes) { return receiver->receive(bytes); });
    if (!transport) {
        return transport.reason();
    }
    peers->m_transport = std::move(transport).value();
    return peers;
}

void PeerMessaging::send(const std::string &address, Envelope message)
{
    if (message.ByteSizeLong() > largestCollected) {
        const auto before = m_outbox.find(address);
        if (before != m_outbox.end()) {
            transmit(address, std::move(before->second)); // The order is kept.
            m_outbox.erase(before);
        }
        transmit(address, std::move(message));
        return;
    }
    const auto [waiting, isFirst] = m_outbox.try_emplace(address);
    if (isFirst) {
        waiting->second = std::move(message);
    } else {
        *waiting->second.add_others() = std::move(message);
    }
    if (!m_flushSet) {
        m_flushSet = true;
        m_flush->start(collectFor);
    }
}

void PeerMessaging::flush()
{
    m_flushSet = false;
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

void PeerMessaging::ask(const std::string &address, Envelope question, Duration timeout, AnswerCallback callback)
{
    question.set_call(++m_lastCall);
    m_open.emplace(m_lastCall, Open{m_loop.now() + timeout, std::move(callback)});
    send(address, std::move(question));
}

void PeerMessaging::answer(const Envelope &question, Envelope answer)
{
    if (question.call() == 0) {
        return;
    }
    answer.set_call(question.call());
    answer.set_is_answer(true);
    send(question.reply_address(), std::move(answer));
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
    const auto open = m_open.find(message.call());
    if (open != m_open.end()) {
        const AnswerCallback callback = std::move(open->second.callback);
        m_open.erase(open);
        callback(&message);
    }
}

void PeerMessaging::expire(TimePoint now)
{
    std::vector<AnswerCallback> overdue;
    for (auto open = m_open.begin(); open != m_open.end();) {
        if (open->second.deadline <= now) {
            overdue.push_back(std::move(open->second.callback));
            open = m_open.erase(open);
        } else {
            ++open;
        }
    }
    for (const AnswerCallback &callback : overdue) {
        callback(nullptr);
    }
}

const PeerCounters &PeerMessaging::counters() const
{
    return m_transport->counters();
}

} // namespace KingCupLadder
