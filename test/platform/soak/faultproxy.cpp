// Each connection is a pair of libevent buffer events, one per side.
#include "faultproxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

namespace KingCupLadder::SoakTest {

namespace {

sockaddr_in toSockaddr(const SocketAddress &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/// Closes the socket with a TCP reset.
void resetAndFree(bufferevent *side)
{
    const linger immediately{1, 0};
    setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    bufferevent_free(side);
}

} // namespace

FaultProxy::FaultProxy(EventLoop &loop, const std::string &listen, const std::string &target)
    : m_loop(loop), m_address(listen), m_target(*parseSocketAddress(target))
{
    const sockaddr_in listenAddress = toSockaddr(*parseSocketAddress(listen));
    m_listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) { static_cast<FaultProxy *>(self)->accept(socket); },
        this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        -1,
        reinterpret_cast<const sockaddr *>(&listenAddress),
        sizeof(listenAddress));
}

FaultProxy::~FaultProxy()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
    resetAll();
}

const std::string &FaultProxy::address() const
{
    return m_address;
}

bool FaultProxy::isListening() const
{
    return m_listener != nullptr;
}

void FaultProxy::accept(evutil_socket_t socket)
{
    auto connection = std::make_unique<Connection>();
    Connection *newConnection = connection.get();
    bufferevent *client = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent *server = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    newConnection->proxy = this;
    newConnection->toServer = Direction{newConnection, client, server, false, {}, {}};
    newConnection->fromServer = Direction{newConnection, server, client, true, {}, {}};
    m_connections.push_back(std::move(connection));
    const auto onRead = [](bufferevent *, void *direction) {
        auto *self = static_cast<Direction *>(direction);
        self->connection->proxy->forward(*self);
    };
    const auto onEvent = [](bufferevent *, short events, void *direction) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            auto *self = static_cast<Direction *>(direction);
            self->connection->proxy->closeConnection(self->connection);
        }
    };
    bufferevent_setcb(client, onRead, nullptr, onEvent, &newConnection->toServer);
    bufferevent_setcb(server, onRead, nullptr, onEvent, &newConnection->fromServer);
    bufferevent_enable(client, EV_READ | EV_WRITE);
    bufferevent_enable(server, EV_READ | EV_WRITE);
    const sockaddr_in target = toSockaddr(m_target);
    if (m_fault == LinkFault::Refused || bufferevent_socket_connect(server, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        closeConnection(newConnection);
    }
}

void FaultProxy::forward(Direction &direction)
{
    evbuffer *input = bufferevent_get_input(direction.from);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (m_fault == LinkFault::Silent || (m_fault == LinkFault::AnswersLost && direction.isFromServer)) {
        direction.connection->lostBytes = true;
        return;
    }
    // After a delay has ended, new data is still queued behind data that is being delayed, to keep the order.
    if (m_fault != LinkFault::Delayed && direction.delayed.empty()) {
        bufferevent_write(direction.to, bytes.data(), bytes.size());
        return;
    }
    direction.delayed.push_back(std::move(bytes));
    const auto timer = direction.timers.emplace(direction.timers.end());
    *timer = EventWatch::timer(m_loop, [&direction, timer] {
        // If the delay has changed, the timer of a later chunk may fire first; chunks are still sent in order.
        const std::string due = std::move(direction.delayed.front());
        direction.delayed.pop_front();
        const auto finishedTimer = std::move(*timer); // Keeps the timer alive until its callback returns.
        direction.timers.erase(timer);
        bufferevent_write(direction.to, due.data(), due.size());
    });
    (*timer)->start(m_delay);
}

void FaultProxy::closeConnection(Connection *connection)
{
    const auto found = std::find_if(m_connections.begin(), m_connections.end(), [connection](const auto &entry) { return entry.get() == connection; });
    if (found == m_connections.end()) {
        return;
    }
    // Both directions use the same two sides.
    resetAndFree(connection->toServer.from);
    resetAndFree(connection->toServer.to);
    m_connections.erase(found);
}

void FaultProxy::resetAll()
{
    while (!m_connections.empty()) {
        closeConnection(m_connections.front().get());
    }
}

void FaultProxy::setFault(LinkFault fault, Duration delay)
{
    m_fault = fault;
    m_delay = fault == LinkFault::Delayed ? delay : m_delay;
    if (fault == LinkFault::Refused) {
        resetAll();
    } else if (fault == LinkFault::None) {
        std::vector<Connection *> lossyConnections;
        for (const auto &connection : m_connections) {
            if (connection->lostBytes) {
                lossyConnections.push_back(connection.get());
            }
        }
        for (Connection *connection : lossyConnections) {
            closeConnection(connection);
        }
    }
}

} // namespace KingCupLadder::SoakTest
