// Blocking HTTP/1.1 server and client on loopback, one thread for each connection. Enough for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace Review {

struct HttpMessage {
    std::string firstLine;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct HttpAnswer {
    int status = 0; ///< 0: no answer.
    std::string body;
};

inline sockaddr_in loopbackAddress(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &socketAddress.sin_addr);
    socketAddress.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return socketAddress;
}

/// Reads one message. Returns false if the connection ends first or no byte arrives for @p timeoutMs.
inline bool readMessage(int fd, std::string &buffer, HttpMessage &message, int timeoutMs)
{
    const auto readMore = [&] {
        pollfd waiting{fd, POLLIN, 0};
        if (poll(&waiting, 1, timeoutMs) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    message = HttpMessage();
    std::size_t at = buffer.find("\r\n");
    message.firstLine = buffer.substr(0, at);
    while (at < end) {
        const std::size_t next = buffer.find("\r\n", at + 2);
        const std::string line = buffer.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::size_t value = colon == std::string::npos ? line.size() : colon + 1;
        while (value < line.size() && line[value] == ' ') {
            ++value;
        }
        message.headers[name] = line.substr(value);
        at = next;
    }
    const auto length = message.headers.find("content-length");
    const std::size_t bodyLength = length == message.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + bodyLength) {
        if (!readMore()) {
            return false;
        }
    }
    message.body = buffer.substr(end + 4, bodyLength);
    buffer.erase(0, end + 4 + bodyLength);
    return true;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Passes each request to a handler. An answer with status 0 is not sent: the connection stays open and silent.
class HttpServer
{
public:
    using Handler = std::function<HttpAnswer(const std::string &method, const std::string &target, const HttpMessage &request)>;

    HttpServer(const std::string &ip, Handler handler) : m_handler(std::move(handler))
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopbackAddress(ip + ":0");
        socklen_t length = sizeof address;
        if (bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(m_fd, 256) != 0
            || getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
            throw std::runtime_error("no port can be opened");
        }
        m_address = ip + ":" + std::to_string(ntohs(address.sin_port));
        std::thread([this] {
            for (;;) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    std::thread([this, fd] { serve(fd); }).detach();
                }
            }
        }).detach();
    }

    [[nodiscard]] const std::string &address() const { return m_address; }

private:
    void serve(int fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        HttpMessage request;
        while (readMessage(fd, buffer, request, -1)) {
            const std::size_t first = request.firstLine.find(' ');
            const std::size_t second = request.firstLine.find(' ', first + 1);
            const HttpAnswer answer = m_handler(request.firstLine.substr(0, first), request.firstLine.substr(first + 1, second - first - 1), request);
            if (answer.status == 0) {
                continue;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " x\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
            if (!sendAll(fd, text)) {
                break;
            }
        }
        close(fd);
    }

    Handler m_handler;
    int m_fd = -1;
    std::string m_address;
};

/// Sends one request on a new connection.
inline HttpAnswer callHttp(const std::string &address,
                           const std::string &method,
                           const std::string &target,
                           const std::string &headers,
                           const std::string &body,
                           int timeoutMs)
{
    HttpAnswer answer;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in socketAddress = loopbackAddress(address);
    const std::string text =
        method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    HttpMessage message;
    if (connect(fd, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress) == 0 && sendAll(fd, text)
        && readMessage(fd, buffer, message, timeoutMs)) {
        answer.status = std::atoi(message.firstLine.c_str() + message.firstLine.find(' ') + 1);
        answer.body = message.body;
    }
    close(fd);
    return answer;
}

} // namespace Review
