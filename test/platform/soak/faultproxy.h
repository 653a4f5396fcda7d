// A TCP proxy on the loopback interface that can delay, drop or reset traffic, or drop it in one direction only.
#pragma once

#include "daemon/eventloop.h"
#include "daemon/httptypes.h"

#include <event2/util.h>

#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace KingCupLadder::SoakTest {

enum class LinkFault {
    None,
    Delayed, ///< Data is delayed in both directions, in order.
    Silent, ///< All data is dropped; connections stay open.
    AnswersLost, ///< Data from the server is dropped; data to the server passes.
    Refused, ///< New and existing connections are reset.
};

class FaultProxy
{
public:
    FaultProxy(EventLoop &loop, const std::string &listen, const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Connections that lost data are reset when the fault ends, since a stream can't continue with a gap.
    void setFault(LinkFault fault, Duration delay = Duration(0));
    void resetAll();
    [[nodiscard]] const std::string &address() const;
    [[nodiscard]] bool isListening() const;

private:
    struct Connection;
    /// One direction of a connection.
    struct Direction {
        Connection *connection = nullptr;
        bufferevent *from = nullptr;
        bufferevent *to = nullptr;
        bool isFromServer = false;
        std::list<std::string> delayed; ///< Data that is being delayed, in order.
        std::list<std::unique_ptr<EventWatch>> timers; ///< One timer per chunk in delayed.
    };
    struct Connection {
        FaultProxy *proxy = nullptr;
        Direction toServer;
        Direction fromServer;
        bool lostBytes = false;
    };

    void accept(evutil_socket_t socket);
    void forward(Direction &direction);
    void closeConnection(Connection *connection);

    EventLoop &m_loop;
    std::string m_address;
    SocketAddress m_target;
    evconnlistener *m_listener = nullptr;
    LinkFault m_fault = LinkFault::None;
    Duration m_delay{0};
    std::list<std::unique_ptr<Connection>> m_connections;
};

} // namespace KingCupLadder::SoakTest
