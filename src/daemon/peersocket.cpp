// Connects the peer codec with the transport.
#include "peersocket.h"

#include "log.h"
#include "peercodec.h"

namespace KingCupLadder {

PeerSocket::PeerSocket(const DaemonId &self, Handler handler) : m_self(self), m_handler(std::move(handler)) { }

Result<std::unique_ptr<PeerSocket>> PeerSocket::create(EventLoop &loop, const PeerSocketSettings &settings, Handler handler)
{
    std::unique_ptr<PeerSocket> socket(new PeerSocket(settings.self, std::move(handler)));
    PeerTransportSettings transport;
    transport.address = settings.address;
    transport.curve = settings.curve;
    transport.maxMessageBytes = maxPeerMessageBytes;
    transport.receiveBudget = settings.budget;
    transport.maxPeers = settings.budget.maxConnections;
    auto created = PeerTransport::create(loop, transport, [receiver = socket.get()](std::string_view bytes) { return receiver->receive(bytes); });
    if (!created) {
        return created.reason();
    }
    socket->m_transport = std::move(created).value();
    return socket;
}

bool PeerSocket::receive(std::string_view bytes)
{
    const auto envelope = decodePeerMessage(std::string(bytes));
    if (!envelope) {
        logRateLimited(LogComponent::Peers, LogLevel::Warning, "malformed", envelope.reason().text());
        return false;
    }
    m_handler(envelope.value().from, envelope.value().message);
    return true;
}

void PeerSocket::send(const SendPeerMessage &command)
{
    m_transport->send(command.address, encodePeerMessage(m_self, command.message));
}

const PeerCounters &PeerSocket::counters() const
{
    return m_transport->counters();
}

} // namespace KingCupLadder
