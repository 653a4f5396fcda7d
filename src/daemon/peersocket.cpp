// ZeroMQ sockets on the libevent loop.
#include "peersocket.h"

#include "log.h"
#include "peercodec.h"

#include <zmq.hpp>

#include <array>
#include <map>
#include <vector>

namespace KingCupLadder {

namespace {

constexpr int queueMessages = 1000; // Bounds memory while a peer is slow: the core repeats what matters.
constexpr int receiveBatch = 256; // Other events of the loop get their turn in between.
constexpr int linger = 0;
// A peer connection that went silent is replaced by a new one after about three seconds.
constexpr int pingIntervalMs = 1000;
constexpr int pingTimeoutMs = 3000;
constexpr int reconnectMs = 100;
constexpr int longestReconnectMs = 2000;
constexpr Duration unusedAfter{60000}; // Peers are replaced daily; sockets to addresses that are gone are closed.
constexpr Duration sweepInterval{10000};
constexpr std::size_t curveKeyBytes = 32;
constexpr std::size_t curveKeyText = 41;
const char authenticationDomain[] = "ladder";
const char authenticationEndpoint[] = "inproc://zeromq.zap.01";

/// Frames of a request of the ZeroMQ authentication protocol (RFC 27).
enum AuthenticationFrame : std::size_t {
    VersionFrame = 0,
    RequestIdFrame = 1,
    MechanismFrame = 5,
    CredentialFrame = 6,
};

struct Dealer {
    zmq::socket_t socket;
    TimePoint lastUse;
};

void setCommonOptions(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, linger);
    socket.set(zmq::sockopt::sndhwm, queueMessages);
    socket.set(zmq::sockopt::rcvhwm, queueMessages);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maxPeerMessageBytes));
    socket.set(zmq::sockopt::heartbeat_ivl, pingIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, pingTimeoutMs);
    socket.set(zmq::sockopt::ipv6, 1);
}

} // namespace

class PeerSocket::Private
{
public:
    Private(EventLoop &loop, const PeerSocketSettings &settings, Handler handler);

    void open();
    void receive();
    void send(const SendPeer &command);

    PeerCounters counters;

private:
    Dealer &dealer(const std::string &address);
    void openAuthentication();
    void authenticate();
    void answerAuthentication(const std::vector<zmq::message_t> &frames);
    bool receiveOne();
    void closeUnused();

    EventLoop &m_loop;
    PeerSocketSettings m_settings;
    Handler m_handler;
    zmq::context_t m_context{1};
    zmq::socket_t m_router;
    zmq::socket_t m_authentication; ///< Only with CURVE keys.
    std::map<std::string, Dealer> m_dealers;
    std::unique_ptr<EventWatch> m_routerWatch;
    std::unique_ptr<EventWatch> m_authenticationWatch;
    std::unique_ptr<EventWatch> m_sweep;
    std::shared_ptr<int> m_token = std::make_shared<int>(0); ///< Tells deferred calls whether this object still exists.
    bool m_receiveScheduled = false;

    void scheduleReceive();
};

PeerSocket::Private::Private(EventLoop &loop, const PeerSocketSettings &settings, Handler handler)
    : m_loop(loop), m_settings(settings), m_handler(std::move(handler))
{
}

void PeerSocket::Private::open()
{
    m_router = zmq::socket_t(m_context, zmq::socket_type::router);
    setCommonOptions(m_router);
    if (m_settings.curve) {
        openAuthentication();
        m_router.set(zmq::sockopt::curve_server, true);
        m_router.set(zmq::sockopt::curve_secretkey, m_settings.curve->secretKey);
        m_router.set(zmq::sockopt::zap_domain, authenticationDomain);
    }
    m_router.bind("tcp://" + m_settings.address);
    m_routerWatch = EventWatch::readable(m_loop, m_router.get(zmq::sockopt::fd), [this] { receive(); });
    m_sweep = EventWatch::repeating(m_loop, sweepInterval, [this] { closeUnused(); });
    scheduleReceive(); // The descriptor reports changes only; what came before the watch has to be looked for.
}

void PeerSocket::Private::openAuthentication()
{
    // Without this handler ZeroMQ would accept every peer that knows the public key.
    m_authentication = zmq::socket_t(m_context, zmq::socket_type::rep);
    m_authentication.set(zmq::sockopt::linger, linger);
    m_authentication.bind(authenticationEndpoint);
    m_authenticationWatch = EventWatch::readable(m_loop, m_authentication.get(zmq::sockopt::fd), [this] { authenticate(); });
}

void PeerSocket::Private::authenticate()
{
    while ((m_authentication.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
        std::vector<zmq::message_t> frames;
        do {
            frames.emplace_back();
            if (!m_authentication.recv(frames.back(), zmq::recv_flags::dontwait)) {
                return;
            }
        } while (frames.back().more());
        answerAuthentication(frames);
    }
}

void PeerSocket::Private::answerAuthentication(const std::vector<zmq::message_t> &frames)
{
    bool accepted = false;
    if (frames.size() > CredentialFrame && frames[MechanismFrame].to_string_view() == "CURVE" && frames[CredentialFrame].size() == curveKeyBytes) {
        std::array<char, curveKeyText> text{};
        zmq_z85_encode(text.data(), frames[CredentialFrame].data<std::uint8_t>(), curveKeyBytes);
        accepted = m_settings.curve->publicKey == text.data();
    }
    if (!accepted) {
        logLimited(LogPart::Peers, LogLevel::Warning, "rejected", "refused a connection without the fleet's key");
    }
    const std::string id = frames.size() > RequestIdFrame ? frames[RequestIdFrame].to_string() : std::string();
    const std::array<std::string, 6> answer{"1.0", id, accepted ? "200" : "400", accepted ? "OK" : "not a peer", "", ""};
    for (std::size_t i = 0; i < answer.size(); ++i) {
        const auto flags = i + 1 < answer.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
        m_authentication.send(zmq::buffer(answer.at(i)), flags | zmq::send_flags::dontwait);
    }
}

void PeerSocket::Private::scheduleReceive()
{
    if (m_receiveScheduled) {
        return;
    }
    m_receiveScheduled = true;
    m_loop.defer([this, alive = std::weak_ptr<int>(m_token)] {
        if (!alive.expired()) {
            m_receiveScheduled = false;
            receive();
        }
    });
}

void PeerSocket::Private::receive()
{
    for (int i = 0; i < receiveBatch; ++i) {
        if (!receiveOne()) {
            return;
        }
    }
    scheduleReceive();
}

bool PeerSocket::Private::receiveOne()
{
    if ((m_router.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
        return false;
    }
    std::vector<zmq::message_t> frames;
    do {
        frames.emplace_back();
        if (!m_router.recv(frames.back(), zmq::recv_flags::dontwait)) {
            return false;
        }
    } while (frames.back().more());
    ++counters.received;
    counters.bytesReceived += frames.back().size();
    const auto envelope = frames.size() == 2 ? decodePeerMessage(frames.back().to_string())
                                             : Result<PeerEnvelope>(Error{ErrorKind::InvalidInput, "wrong number of frames", "check the peer's version"});
    if (!envelope) {
        ++counters.malformed;
        logLimited(LogPart::Peers, LogLevel::Warning, "malformed", envelope.reason().text());
        return true;
    }
    m_handler(envelope.value().from, envelope.value().message);
    return true;
}

Dealer &PeerSocket::Private::dealer(const std::string &address)
{
    const auto found = m_dealers.find(address);
    if (found != m_dealers.end()) {
        return found->second;
    }
    zmq::socket_t socket(m_context, zmq::socket_type::dealer);
    setCommonOptions(socket);
    // Nothing is queued for a peer that is not connected: after a partition it would get messages that are long out of date.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, longestReconnectMs);
    if (m_settings.curve) {
        socket.set(zmq::sockopt::curve_serverkey, m_settings.curve->publicKey);
        socket.set(zmq::sockopt::curve_publickey, m_settings.curve->publicKey);
        socket.set(zmq::sockopt::curve_secretkey, m_settings.curve->secretKey);
    }
    socket.connect("tcp://" + address);
    return m_dealers.emplace(address, Dealer{std::move(socket), m_loop.now()}).first->second;
}

void PeerSocket::Private::send(const SendPeer &command)
{
    const std::string bytes = encodePeerMessage(m_settings.self, command.message);
    if (bytes.size() > maxPeerMessageBytes) {
        ++counters.dropped;
        logLimited(LogPart::Peers, LogLevel::Error, "large", "dropped a message above the maximum size for " + command.address);
        return;
    }
    try {
        Dealer &target = dealer(command.address);
        target.lastUse = m_loop.now();
        if (target.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            ++counters.sent;
            counters.bytesSent += bytes.size();
        } else {
            ++counters.dropped;
            logLimited(LogPart::Peers, LogLevel::Info, command.address, "no connection to " + command.address + " or its queue is full; message dropped");
        }
    } catch (const zmq::error_t &error) {
        ++counters.dropped;
        logLimited(LogPart::Peers, LogLevel::Warning, command.address, "can't send to " + command.address + ": " + error.what());
    }
    // A send can consume the descriptor's edge, so pending input is looked for after it.
    scheduleReceive();
}

void PeerSocket::Private::closeUnused()
{
    const TimePoint now = m_loop.now();
    for (auto entry = m_dealers.begin(); entry != m_dealers.end();) {
        entry = now - entry->second.lastUse > unusedAfter ? m_dealers.erase(entry) : std::next(entry);
    }
}

PeerSocket::PeerSocket() = default;
PeerSocket::~PeerSocket() = default;

Result<std::unique_ptr<PeerSocket>> PeerSocket::create(EventLoop &loop, const PeerSocketSettings &settings, Handler handler)
{
    std::unique_ptr<PeerSocket> socket(new PeerSocket);
    socket->d = std::make_unique<Private>(loop, settings, std::move(handler));
    try {
        socket->d->open();
    } catch (const zmq::error_t &error) {
        return Error{ErrorKind::Unavailable, "the peer address " + settings.address + " can't be used: " + error.what(), "check peers.address and peers.curve"};
    }
    return socket;
}

void PeerSocket::send(const SendPeer &command)
{
    d->send(command);
}

const PeerCounters &PeerSocket::counters() const
{
    return d->counters;
}

} // namespace KingCupLadder
