// Connections of callers that ignore the limits. They never read and reconnect when they are closed.
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
    std::string opening; ///< Sent first.
    std::string repeated; ///< Sent again and again after that, unless it is empty.
    std::size_t total = 0; ///< Bytes after which a connection sends no more but stays open; 0: unlimited.
    std::size_t bytesPerTurn = 32UL * 1024; ///< Largest number of bytes that a connection sends every 5 ms.
    int connections = 0;
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
    void connectAgain(Connection &connection) const;

    std::string m_address;
    Misuse m_misuse;
    std::vector<Connection> m_connections;
    std::size_t m_bytesSent = 0;
    std::unique_ptr<EventWatch> m_timer;
};

} // namespace KingCupLadder::LimitsTest
