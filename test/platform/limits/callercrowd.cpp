// Sends with plain sockets, since HTTP clients keep to the protocol.
#include "callercrowd.h"

#include "daemon/httptypes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace KingCupLadder::LimitsTest {

namespace {

constexpr Duration turnInterval{5};

void closeConnection(int &descriptor)
{
    if (descriptor >= 0) {
        close(descriptor);
        descriptor = -1;
    }
}

} // namespace

CallerCrowd::CallerCrowd(EventLoop &loop, const std::string &address, Misuse misuse)
    : m_address(address), m_misuse(std::move(misuse)), m_connections(static_cast<std::size_t>(m_misuse.connections))
{
    m_timer = EventWatch::repeating(loop, turnInterval, [this] {
        for (Connection &connection : m_connections) {
            takeTurn(connection);
        }
    });
}

CallerCrowd::~CallerCrowd()
{
    for (Connection &connection : m_connections) {
        closeConnection(connection.descriptor);
    }
}

std::size_t CallerCrowd::bytesSent() const
{
    return m_bytesSent;
}

void CallerCrowd::connectAgain(Connection &connection) const
{
    closeConnection(connection.descriptor);
    connection.sent = 0;
    const auto parsed = parseSocketAddress(m_address);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->host.c_str(), &target.sin_addr);
    connection.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // With the smallest buffer, few responses stay in the kernel.
    const int bufferSize = 1;
    setsockopt(connection.descriptor, SOL_SOCKET, SO_RCVBUF, &bufferSize, sizeof(bufferSize));
    (void)connect(connection.descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
}

void CallerCrowd::takeTurn(Connection &connection)
{
    pollfd state{connection.descriptor, POLLOUT | POLLRDHUP, 0};
    if (connection.descriptor < 0 || (poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0)) {
        connectAgain(connection);
        return;
    }
    sendBytes(connection);
    if (m_misuse.afterTurn && m_misuse.afterTurn(connection.descriptor, connection.sent)) {
        connectAgain(connection);
    }
}

void CallerCrowd::sendBytes(Connection &connection)
{
    std::size_t left = m_misuse.bytesPerTurn;
    while (left > 0 && (m_misuse.total == 0 || connection.sent < m_misuse.total)) {
        const bool isOpening = connection.sent < m_misuse.opening.size();
        if (!isOpening && m_misuse.repeated.empty()) {
            return;
        }
        const std::string &text = isOpening ? m_misuse.opening : m_misuse.repeated;
        const std::size_t offset = isOpening ? connection.sent : (connection.sent - m_misuse.opening.size()) % text.size();
        std::size_t length = std::min(text.size() - offset, left);
        if (m_misuse.total > 0) {
            length = std::min(length, m_misuse.total - connection.sent);
        }
        const ssize_t count = send(connection.descriptor, text.data() + offset, length, MSG_NOSIGNAL);
        if (count <= 0) {
            return; // The connection is not open yet, its buffers are full, or it was closed, which the next turn detects.
        }
        connection.sent += static_cast<std::size_t>(count);
        m_bytesSent += static_cast<std::size_t>(count);
        left -= static_cast<std::size_t>(count);
    }
}

} // namespace KingCupLadder::LimitsTest
