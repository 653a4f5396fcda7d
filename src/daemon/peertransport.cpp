// ZeroMQ sockets on the libevent loop.
#include "peertransport.h"

#include "log.h"
#include "peerlistener.h"

#include <zmq.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace KingCupLadder {

namespace {

constexpr int sendHighWaterMark = 1000; // Messages queued per peer; bounds the memory while a peer is slow. The core resends messages that must arrive.
// libzmq 4.3.4 aborts (stream_engine_base.cpp, "!_io_error") if a connection breaks while a full queue blocks its input.
constexpr int receiveHighWaterMark = 200000;
constexpr int maxBatchMessages = 256; // Messages received before other events of the loop are handled.
constexpr int linger = 0; // Closing a socket discards its unsent messages instead of waiting for the peer.
constexpr int reconnectIntervalMs = 100;

constexpr Duration idleTimeout{60000}; // Peers are replaced daily; this closes the sockets to their old addresses.
constexpr Duration idleCheckInterval{10000};
// Whoever can send a message chooses the address of the reply. Peers exchange heartbeats more often, so they keep their sockets, and libzmq
// releases the descriptors of closed ones meanwhile.
constexpr Duration minReplacedIdleTime{1000};
constexpr std::size_t curveKeyBytes = 32;
constexpr std::size_t curveKeyZ85Size = 41; // 40 characters and the terminating null.
const char zapDomain[] = "ladder";
const char zapEndpoint[] = "inproc://zeromq.zap.01";

/// Frames of a request in the ZeroMQ Authentication Protocol (ZAP, RFC 27).
enum ZapRequestFrame : std::size_t {
    VersionFrame = 0,
    RequestIdFrame = 1,
    MechanismFrame = 5,
    CredentialFrame = 6,
};

struct Dealer {
    zmq::socket_t socket;
    TimePoint lastUse;
};

void setCommonOptions(zmq::socket_t &socket, const PeerTransportSettings &settings)
{
    socket.set(zmq::sockopt::linger, linger);
    socket.set(zmq::sockopt::sndhwm, sendHighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, receiveHighWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(settings.maxMessageBytes));
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(settings.pingInterval.count()));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(settings.pingTimeout.count()));
    socket.set(zmq::sockopt::ipv6, 1);
}

} // namespace

class PeerTransport::Private
{
public:
    Private(EventLoop &loop, const PeerTransportSettings &settings, Handler handler);

    [[nodiscard]] std::optional<Error> open();
    void receiveMessages();
    void send(const std::string &address, const std::string &bytes);

    PeerCounters counters;

private:
    /// Returns null if there are too many peers.
    Dealer *dealerFor(const std::string &address);
    /// Closes the socket that was not used for the longest time. Returns false if all are in use.
    bool closeLeastRecentlyUsed();
    [[nodiscard]] bool usesListener() const;
    [[nodiscard]] std::optional<Error> openListener();
    void openRouter();
    void openZapHandler();
    [[nodiscard]] bool handleMessage(std::string_view message);
    void handleZapRequests();
    void sendZapReply(const std::vector<zmq::message_t> &frames);
    bool receiveMessage();
    void closeUnused();

    EventLoop &m_loop;
    PeerTransportSettings m_settings;
    Handler m_handler;
    zmq::context_t m_context{1};
    std::unique_ptr<PeerListener> m_listener; ///< Null unless usesListener().
    zmq::socket_t m_router; ///< Used only unless usesListener().
    zmq::socket_t m_zapSocket; ///< Used only with CURVE keys.
    std::map<std::string, Dealer> m_dealers;
    std::unique_ptr<EventWatch> m_routerWatch;
    std::unique_ptr<EventWatch> m_zapWatch;
    std::unique_ptr<EventWatch> m_idleCheckTimer;
    std::shared_ptr<int> m_lifetimeToken = std::make_shared<int>(0); ///< Lets deferred calls detect that this object was destroyed.
    bool m_receiveScheduled = false;

    void scheduleReceive();
};

PeerTransport::Private::Private(EventLoop &loop, const PeerTransportSettings &settings, Handler handler)
    : m_loop(loop), m_settings(settings), m_handler(std::move(handler))
{
}

std::optional<Error> PeerTransport::Private::open()
{
    m_idleCheckTimer = EventWatch::repeating(m_loop, idleCheckInterval, [this] { closeUnused(); });
    if (usesListener()) {
        return openListener();
    }
    openRouter();
    return std::nullopt;
}

bool PeerTransport::Private::usesListener() const
{
    return m_settings.receiveBudget && !m_settings.curve;
}

std::optional<Error> PeerTransport::Private::openListener()
{
    PeerListenerSettings listener;
    listener.address = m_settings.address;
    listener.maxMessageBytes = m_settings.maxMessageBytes;
    listener.maxSilence = idleTimeout;
    listener.budget = *m_settings.receiveBudget;
    auto created = PeerListener::create(m_loop, listener, [this](std::string_view message) { return handleMessage(message); });
    if (!created) {
        return created.reason();
    }
    m_listener = std::move(created).value();
    return std::nullopt;
}

void PeerTransport::Private::openRouter()
{
    m_router = zmq::socket_t(m_context, zmq::socket_type::router);
    setCommonOptions(m_router, m_settings);
    if (m_settings.curve) {
        openZapHandler();
        m_router.set(zmq::sockopt::curve_server, true);
        m_router.set(zmq::sockopt::curve_secretkey, m_settings.curve->secretKey);
        m_router.set(zmq::sockopt::zap_domain, zapDomain);
    }
    m_router.bind("tcp://" + m_settings.address);
    m_routerWatch = EventWatch::readable(m_loop, m_router.get(zmq::sockopt::fd), [this] { receiveMessages(); });
    scheduleReceive(); // The descriptor is edge-triggered, so messages that arrived before the watch cause no event.
}

void PeerTransport::Private::openZapHandler()
{
    // Without this handler ZeroMQ would accept every peer that knows the public key.
    m_zapSocket = zmq::socket_t(m_context, zmq::socket_type::rep);
    m_zapSocket.set(zmq::sockopt::linger, linger);
    m_zapSocket.bind(zapEndpoint);
    m_zapWatch = EventWatch::readable(m_loop, m_zapSocket.get(zmq::sockopt::fd), [this] { handleZapRequests(); });
}

void PeerTransport::Private::handleZapRequests()
{
    while ((m_zapSocket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
        std::vector<zmq::message_t> frames;
        do {
            frames.emplace_back();
            if (!m_zapSocket.recv(frames.back(), zmq::recv_flags::dontwait)) {
                return;
            }
        } while (frames.back().more());
        sendZapReply(frames);
    }
}

void PeerTransport::Private::sendZapReply(const std::vector<zmq::message_t> &frames)
{
    bool accepted = false;
    if (frames.size() > CredentialFrame && frames[MechanismFrame].to_string_view() == "CURVE" && frames[CredentialFrame].size() == curveKeyBytes) {
        std::array<char, curveKeyZ85Size> text{};
        zmq_z85_encode(text.data(), frames[CredentialFrame].data<std::uint8_t>(), curveKeyBytes);
        accepted = m_settings.curve->publicKey == text.data();
    }
    if (!accepted) {
        logRateLimited(LogComponent::Peers, LogLevel::Warning, "rejected", "refused a connection without the fleet's key");
    }
    const std::string id = frames.size() > RequestIdFrame ? frames[RequestIdFrame].to_string() : std::string();
    // Version, request id, status code, status text, user id and metadata.
    const std::array<std::string, 6> answer{"1.0", id, accepted ? "200" : "400", accepted ? "OK" : "not a peer", "", ""};
    for (std::size_t i = 0; i < answer.size(); ++i) {
        const auto flags = i + 1 < answer.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
        m_zapSocket.send(zmq::buffer(answer.at(i)), flags | zmq::send_flags::dontwait);
    }
}

void PeerTransport::Private::scheduleReceive()
{
    if (m_receiveScheduled) {
        return;
    }
    m_receiveScheduled = true;
    m_loop.defer([this, alive = std::weak_ptr<int>(m_lifetimeToken)] {
        if (!alive.expired()) {
            m_receiveScheduled = false;
            receiveMessages();
        }
    });
}

void PeerTransport::Private::receiveMessages()
{
    for (int i = 0; i < maxBatchMessages; ++i) {
        if (!receiveMessage()) {
            return;
        }
    }
    scheduleReceive();
}

bool PeerTransport::Private::receiveMessage()
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
    // A ROUTER socket puts the sender's routing id before the message, so there are two frames.
    if (frames.size() == 2) {
        (void)handleMessage(frames.back().to_string_view());
    } else {
        ++counters.malformed;
    }
    return true;
}

bool PeerTransport::Private::handleMessage(std::string_view message)
{
    ++counters.received;
    counters.bytesReceived += message.size();
    const bool isWellFormed = m_handler(message);
    if (!isWellFormed) {
        ++counters.malformed;
        logRateLimited(LogComponent::Peers, LogLevel::Warning, "malformed", "ignored a malformed message; check the peer's version");
    }
    return isWellFormed;
}

bool PeerTransport::Private::closeLeastRecentlyUsed()
{
    const auto oldest = std::min_element(m_dealers.begin(), m_dealers.end(), [](const auto &a, const auto &b) { return a.second.lastUse < b.second.lastUse; });
    if (oldest == m_dealers.end() || m_loop.now() - oldest->second.lastUse < minReplacedIdleTime) {
        return false;
    }
    m_dealers.erase(oldest);
    return true;
}

Dealer *PeerTransport::Private::dealerFor(const std::string &address)
{
    const auto found = m_dealers.find(address);
    if (found != m_dealers.end()) {
        return &found->second;
    }
    if (m_dealers.size() >= m_settings.maxPeers && !closeLeastRecentlyUsed()) {
        return nullptr;
    }
    zmq::socket_t socket(m_context, zmq::socket_type::dealer);
    setCommonOptions(socket, m_settings);
    // Messages to a disconnected peer are not queued: after a partition, the peer would receive outdated messages.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(m_settings.maxReconnectInterval.count()));
    socket.set(zmq::sockopt::connect_timeout, static_cast<int>(m_settings.connectTimeout.count()));
    if (m_settings.curve) {
        socket.set(zmq::sockopt::curve_serverkey, m_settings.curve->publicKey);
        socket.set(zmq::sockopt::curve_publickey, m_settings.curve->publicKey);
        socket.set(zmq::sockopt::curve_secretkey, m_settings.curve->secretKey);
    }
    socket.connect("tcp://" + address);
    return &m_dealers.emplace(address, Dealer{std::move(socket), m_loop.now()}).first->second;
}

void PeerTransport::Private::send(const std::string &address, const std::string &bytes)
{
    if (bytes.size() > m_settings.maxMessageBytes) {
        ++counters.dropped;
        logRateLimited(LogComponent::Peers, LogLevel::Error, "large", "dropped a message above the maximum size to " + address);
        return;
    }
    try {
        Dealer *target = dealerFor(address);
        if (target == nullptr) {
            ++counters.dropped;
            logRateLimited(LogComponent::Peers, LogLevel::Warning, "peers", "no connection to " + address + ": too many peers; message dropped");
            return;
        }
        target->lastUse = m_loop.now();
        if (target->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            ++counters.sent;
            counters.bytesSent += bytes.size();
        } else {
            ++counters.dropped;
            logRateLimited(LogComponent::Peers, LogLevel::Info, address, "no connection to " + address + " or its queue is full; message dropped");
        }
    } catch (const zmq::error_t &error) {
        ++counters.dropped;
        logRateLimited(LogComponent::Peers, LogLevel::Warning, address, "can't send to " + address + ": " + error.what());
    }
    // Sending can consume the edge event of the descriptor, so received messages are polled for afterwards.
    if (!usesListener()) {
        scheduleReceive();
    }
}

void PeerTransport::Private::closeUnused()
{
    const TimePoint now = m_loop.now();
    for (auto entry = m_dealers.begin(); entry != m_dealers.end();) {
        entry = now - entry->second.lastUse > idleTimeout ? m_dealers.erase(entry) : std::next(entry);
    }
}

PeerTransport::PeerTransport() = default;
PeerTransport::~PeerTransport() = default;

Result<std::unique_ptr<PeerTransport>> PeerTransport::create(EventLoop &loop, const PeerTransportSettings &settings, Handler handler)
{
    std::unique_ptr<PeerTransport> socket(new PeerTransport);
    socket->d = std::make_unique<Private>(loop, settings, std::move(handler));
    try {
        if (auto error = socket->d->open()) {
            return *error;
        }
    } catch (const zmq::error_t &error) {
        return Error{ErrorKind::Unavailable, "the peer address " + settings.address + " can't be used: " + error.what(), "check peers.address and peers.curve"};
    }
    return socket;
}

void PeerTransport::send(const std::string &address, const std::string &bytes)
{
    d->send(address, bytes);
}

const PeerCounters &PeerTransport::counters() const
{
    return d->counters;
}

} // namespace KingCupLadder
