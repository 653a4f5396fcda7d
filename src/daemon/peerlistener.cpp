// Accepts connections of peers with libevent and reads ZMTP from them.
#include "peerlistener.h"

#include "httptypes.h"
#include "log.h"
#include "socketbuffers.h"
#include "zmtp.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration sweepInterval{100};
constexpr Duration messageTimeout{10000}; // The largest message takes about a second on the slowest links between daemons.
constexpr std::size_t minInput = 64UL * 1024; // Several small messages in one read.
constexpr std::size_t maxUnreadOutput = 4UL * 1024; // Answers to pings are all that a peer gets on these connections.
constexpr int backlog = 128;

CallerLimits limitsOf(const PeerListenerSettings &settings)
{
    CallerLimits limits;
    limits.maxHeaderBytes = 0;
    limits.maxBodyBytes = settings.maxMessageBytes;
    limits.headerTimeout = messageTimeout;
    limits.idleTimeout = settings.maxSilence;
    return limits;
}

} // namespace

struct PeerListener::Connection {
    PeerListener *owner = nullptr;
    bufferevent *events = nullptr;
    CallerConnectionId id;
    ZmtpReader reader;
};

PeerListener::PeerListener(EventLoop &loop, const PeerListenerSettings &settings, Handler handler)
    : m_loop(loop), m_settings(settings), m_handler(std::move(handler)), m_accounts(settings.budget, limitsOf(settings))
{
}

Result<std::unique_ptr<PeerListener>> PeerListener::create(EventLoop &loop, const PeerListenerSettings &settings, Handler handler)
{
    std::unique_ptr<PeerListener> listener(new PeerListener(loop, settings, std::move(handler)));
    sockaddr_storage address{};
    int length = sizeof(address);
    const bool isParsed = evutil_parse_sockaddr_port(settings.address.c_str(), reinterpret_cast<sockaddr *>(&address), &length) == 0;
    if (isParsed) {
        listener->m_listener = evconnlistener_new_bind(
            loop.base(),
            [](evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *self) { static_cast<PeerListener *>(self)->accept(descriptor); },
            listener.get(),
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            backlog,
            reinterpret_cast<const sockaddr *>(&address),
            length);
    }
    if (listener->m_listener == nullptr) {
        return Error{ErrorKind::Unavailable, "can't listen on " + settings.address, "check peers.address and that no other process listens there"};
    }
    limitSocketBuffers(evconnlistener_get_fd(listener->m_listener), settings.budget.socketBufferBytes);
    listener->m_sweepTimer = EventWatch::repeating(loop, sweepInterval, [self = listener.get()] { self->enforceLimits(); });
    return listener;
}

PeerListener::~PeerListener()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
    for (const auto &[events, connection] : m_connections) {
        bufferevent_free(events);
    }
}

const CallerConnections &PeerListener::connections() const
{
    return m_accounts;
}

void PeerListener::accept(int descriptor)
{
    evutil_make_socket_nonblocking(descriptor);
    bufferevent *events = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    const CallerConnectionId id = m_accounts.add(m_loop.now(), [this, events](CloseReason reason) { close(events, toString(reason)); });
    auto owned = std::make_unique<Connection>(Connection{this, events, id, ZmtpReader(m_settings.maxMessageBytes)});
    Connection *connection = owned.get();
    m_connections.emplace(events, std::move(owned));
    bufferevent_setcb(
        events,
        [](bufferevent *, void *argument) {
            auto *reading = static_cast<Connection *>(argument);
            reading->owner->onInput(*reading);
        },
        nullptr,
        [](bufferevent *, short, void *argument) {
            const auto *ended = static_cast<Connection *>(argument);
            ended->owner->close(ended->events, nullptr);
        },
        connection);
    evbuffer_add_cb(
        bufferevent_get_input(events),
        [](evbuffer *, const evbuffer_cb_info *change, void *argument) {
            const auto *changed = static_cast<Connection *>(argument);
            if (change->n_added > 0) {
                changed->owner->m_accounts.onReceived(changed->id, change->n_added, changed->owner->m_loop.now());
            }
        },
        connection);
    bufferevent_setwatermark(events, EV_READ, 0, minInput);
    const std::string opening = zmtpOpening();
    bufferevent_write(events, opening.data(), opening.size());
    bufferevent_enable(events, EV_READ | EV_WRITE);
    if (m_accounts.isOverBudget()) {
        enforceLimits();
    }
}

void PeerListener::onInput(Connection &connection)
{
    bufferevent *events = connection.events;
    while (readItem(connection)) { }
    if (m_connections.count(events) > 0 && m_accounts.isOverBudget()) {
        enforceLimits();
    }
}

bool PeerListener::readItem(Connection &connection)
{
    bufferevent *events = connection.events;
    evbuffer *input = bufferevent_get_input(events);
    const std::size_t present = evbuffer_get_length(input);
    // The start is enough to find out how much an item needs; only a complete item is moved into one piece.
    constexpr std::size_t start = 64;
    const auto viewOf = [input](std::size_t length) {
        return std::string_view(reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))), length);
    };
    ZmtpItem item = connection.reader.next(viewOf(std::min(present, start)));
    if (item.kind == ZmtpItem::Kind::Incomplete && item.length <= present) {
        item = connection.reader.next(viewOf(item.length));
    }
    if (item.kind == ZmtpItem::Kind::Incomplete) {
        bufferevent_setwatermark(events, EV_READ, 0, std::max(item.length, minInput));
        return false;
    }
    if (item.kind == ZmtpItem::Kind::Malformed) {
        close(events, "malformed input");
        return false;
    }
    const CallerConnectionId id = connection.id;
    const std::size_t left = present - item.length;
    if (item.kind == ZmtpItem::Kind::Message) {
        const bool isWellFormed = m_handler(item.payload);
        if (m_connections.count(events) == 0) {
            return false;
        }
        if (!isWellFormed) {
            close(events, "malformed message");
            return false;
        }
        m_accounts.onResponseWritten(id, left, m_loop.now());
    } else {
        if (item.kind == ZmtpItem::Kind::Ping) {
            const std::string pong = zmtpPong(item.payload);
            bufferevent_write(events, pong.data(), pong.size());
            if (evbuffer_get_length(bufferevent_get_output(events)) > maxUnreadOutput) {
                close(events, toString(CloseReason::UnreadResponse));
                return false;
            }
        }
        m_accounts.onConsumed(id, left, m_loop.now());
    }
    evbuffer_drain(input, item.length);
    return left > 0;
}

void PeerListener::close(bufferevent *events, const char *reason)
{
    const auto found = m_connections.find(events);
    if (found == m_connections.end()) {
        return;
    }
    if (reason != nullptr) {
        logRateLimited(LogComponent::Peers, LogLevel::Warning, reason, std::string("a peer's connection was closed: ") + reason);
    }
    m_accounts.remove(found->second->id);
    m_connections.erase(found);
    bufferevent_free(events);
}

void PeerListener::enforceLimits()
{
    m_accounts.enforce(m_loop.now());
}

} // namespace KingCupLadder
