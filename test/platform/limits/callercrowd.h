// Connections of callers that ignore the limits. They do not read unless their misuse says so, and reconnect when they are closed.
#pragma once

#include "daemon/eventloop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace KingCupLadder::LimitsTest {

/// What each connection of a crowd sends.
struct Misuse {
    /// What a connection does after a turn in which it has sent @p sent bytes in all. Returns whether it closes and connects again.
    using TurnHook = std::function<bool(int descriptor, std::size_t sent)>;

    std::string opening; ///< Sent first.
    std::string repeated; ///< Sent again and again after that, unless it is empty.
    std::size_t total = 0; ///< Bytes after which a connection sends no more but stays open; 0: unlimited.
    std::size_t bytesPerTurn = 32UL * 1024; ///< Largest number of bytes that a connection sends every 5 ms.
    int connections = 0;
    TurnHook afterTurn; ///< Null: the connection stays open and reads nothing.
};

class CallerCrowd
{
public:
    CallerCrowd(EventLoop &loop, const std::string &address, Misuse misuse);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    [[nodiscard]] std::size_t bytesSent() const; ///< By all connections.

private:
    struct Connection {
        int descriptor = -1;
        std::size_t sent = 0;
    };

    void takeTurn(Connection &connection);
    void sendBytes(Connection &connection);
    void connectAgain(Connection &connection) const;

    std::string m_address;
    Misuse m_misuse;
    std::vector<Connection> m_connections;
    std::size_t m_bytesSent = 0;
    std::unique_ptr<EventWatch> m_timer;
};

} // namespace KingCupLadder::LimitsTest
