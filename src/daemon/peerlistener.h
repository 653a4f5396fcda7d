// Receives the messages of other daemons. Whoever reaches the machine can connect, so the bytes and connections of all peers together are
// bounded: libzmq bounds only the number of messages that wait for each peer, and ends the process if a connection breaks while that bound is
// reached. Sending is done by ZeroMQ.
#pragma once

#include "callerconnections.h"
#include "core/error.h"
#include "eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;

namespace KingCupLadder {

struct PeerListenerSettings {
    std::string address; ///< "ip:port" to listen on.
    std::size_t maxMessageBytes = 0;
    Duration maxSilence{0}; ///< Peers send pings more often; a connection that is silent for longer is closed.
    ConnectionBudget budget; ///< Of all peers together.
};

class PeerListener
{
public:
    /// Handles a message. Returns false if the message is malformed; its connection is closed then.
    using Handler = std::function<bool(std::string_view message)>;

    [[nodiscard]] static Result<std::unique_ptr<PeerListener>> create(EventLoop &loop, const PeerListenerSettings &settings, Handler handler);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    [[nodiscard]] const CallerConnections &connections() const;

private:
    struct Connection;

    PeerListener(EventLoop &loop, const PeerListenerSettings &settings, Handler handler);
    void accept(int descriptor);
    void onInput(Connection &connection);
    /// Reads one item of the input. Returns false if there is none, or the connection was closed.
    [[nodiscard]] bool readItem(Connection &connection);
    void close(bufferevent *events, const char *reason);
    void enforceLimits();

    EventLoop &m_loop;
    PeerListenerSettings m_settings;
    Handler m_handler;
    CallerConnections m_accounts;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<bufferevent *, std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<EventWatch> m_sweepTimer;
};

} // namespace KingCupLadder
