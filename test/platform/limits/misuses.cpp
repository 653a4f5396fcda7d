// Builds the bytes of each form of misuse.
#include "misuses.h"

#include "cell.pb.h"

#include <sys/socket.h>

#include <array>
#include <memory>
#include <set>

namespace KingCupLadder::LimitsTest {

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr int shortRequests = 1000; // In each connection.
constexpr int unknownRequests = 64; // Different ones in each round of a connection.

/// Closing the socket then discards its bytes and resets the connection.
void resetOnClose(int descriptor)
{
    const linger reset{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/// Start of a message in ZMTP, the protocol of ZeroMQ.
std::string peerFrameHead(std::size_t length)
{
    constexpr char longFrame = 0x02;
    std::string head(1, longFrame);
    for (int shift = 56; shift >= 0; shift -= 8) {
        head += static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU);
    }
    return head;
}

std::string bodyHead(const Target &target, const std::string &framing)
{
    return requestHead(target, "POST", target.path, "Authorization: Bearer " + target.key + "\r\n" + framing + "\r\n\r\n");
}

} // namespace

std::string requestHead(const Target &target, const std::string &method, const std::string &path, const std::string &headers)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + target.host + "\r\n" + headers;
}

Misuse announcedBodies(const Target &target, std::size_t announced, int connections)
{
    Misuse misuse;
    misuse.opening = bodyHead(target, "Content-Length: " + std::to_string(announced));
    misuse.repeated = std::string(16 * kibibyte, 'x');
    misuse.connections = connections;
    return misuse;
}

Misuse unfinishedBodies(const Target &target, std::size_t length, int connections)
{
    constexpr std::size_t missing = 99;
    Misuse misuse = announcedBodies(target, length, connections);
    misuse.total = misuse.opening.size() + length - missing;
    return misuse;
}

Misuse endlessChunks(const Target &target, int connections)
{
    Misuse misuse;
    misuse.opening = bodyHead(target, "Transfer-Encoding: chunked");
    misuse.repeated = "4000\r\n" + std::string(16 * kibibyte, 'x') + "\r\n";
    misuse.connections = connections;
    return misuse;
}

Misuse endlessChunkSize(const Target &target, int connections)
{
    Misuse misuse;
    misuse.opening = bodyHead(target, "Content-Length: 10\r\nTransfer-Encoding: chunked");
    misuse.repeated = std::string(16 * kibibyte, '0');
    misuse.connections = connections;
    return misuse;
}

Misuse endlessHeaders(const Target &target, int connections)
{
    Misuse misuse;
    misuse.opening = requestHead(target, "GET", target.path, "");
    misuse.repeated = "X-Filler: " + std::string(100, 'x') + "\r\n";
    misuse.connections = connections;
    return misuse;
}

Misuse slowHeaders(const Target &target, int connections)
{
    Misuse misuse;
    misuse.opening = requestHead(target, "GET", target.path, "X-Slow: ");
    misuse.repeated = "x";
    misuse.bytesPerTurn = 1;
    misuse.connections = connections;
    return misuse;
}

Misuse pipelinedRequests(const Target &target, const std::string &path, int connections)
{
    Misuse misuse;
    for (int i = 0; i < shortRequests; ++i) {
        misuse.opening += requestHead(target, "GET", path, "\r\n");
    }
    misuse.repeated = requestHead(target, "GET", path + "/" + std::string(8 * kibibyte, 'x'), "\r\n");
    misuse.connections = connections;
    return misuse;
}

Misuse silentConnections(int connections)
{
    Misuse misuse;
    misuse.connections = connections;
    return misuse;
}

Misuse resetResponses(const Target &target, const std::string &path, int connections)
{
    Misuse misuse;
    for (int i = 0; i < shortRequests; ++i) {
        misuse.opening += requestHead(target, "GET", path, "\r\n");
    }
    misuse.connections = connections;
    misuse.afterTurn = [total = misuse.opening.size()](int descriptor, std::size_t sent) {
        resetOnClose(descriptor);
        return sent >= total;
    };
    return misuse;
}

Misuse shortConnections(int connections)
{
    Misuse misuse;
    misuse.connections = connections;
    misuse.afterTurn = [](int, std::size_t) { return true; };
    return misuse;
}

Misuse halfClosedConnections(const Target &target, const std::string &path, int connections)
{
    Misuse misuse;
    for (int i = 0; i < shortRequests; ++i) {
        misuse.opening += requestHead(target, "GET", path, "\r\n");
    }
    misuse.connections = connections;
    misuse.afterTurn = [total = misuse.opening.size()](int descriptor, std::size_t sent) {
        if (sent >= total) {
            shutdown(descriptor, SHUT_WR);
        }
        return false;
    };
    return misuse;
}

Misuse slowReaders(const Target &target, const std::string &path, int connections)
{
    constexpr int turnsPerByte = 200; // Of 5 ms.
    Misuse misuse = pipelinedRequests(target, path, connections);
    misuse.afterTurn = [connections, turns = std::make_shared<int>(0)](int descriptor, std::size_t) {
        if ((*turns)++ / connections % turnsPerByte == 0) {
            char byte = 0;
            (void)recv(descriptor, &byte, sizeof(byte), MSG_DONTWAIT);
        }
        return false;
    };
    return misuse;
}

Misuse unknownNames(const Target &target, int connections)
{
    const std::array<const char *, 6> methods{"GET", "POST", "DELETE", "PUT", "PATCH", "OPTIONS"};
    Misuse misuse;
    for (int i = 0; i < unknownRequests; ++i) {
        const std::string name = std::to_string(i);
        const std::string method = methods.at(static_cast<std::size_t>(i) % methods.size());
        const std::string path = i % 2 == 0 ? "/nowhere-" + name + std::string(kibibyte, 'x') : target.path + name;
        const std::string key = i % 4 < 2 ? "unknown-key-" + name : target.key;
        misuse.repeated += requestHead(
            target, method, path, "Authorization: Bearer " + key + "\r\nRequest-Id: " + std::string(kibibyte, 'i') + name + "\r\nContent-Length: 0\r\n\r\n");
    }
    misuse.connections = connections;
    // Reads the responses, so that the requests go on.
    misuse.afterTurn = [](int descriptor, std::size_t) {
        std::array<char, 64 * kibibyte> buffer{};
        while (recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) { }
        return false;
    };
    return misuse;
}

std::string peerGreeting()
{
    using namespace std::string_literals;
    const std::string signature = "\xFF\0\0\0\0\0\0\0\x01\x7F"s;
    const std::string version = "\x03\x00"s;
    const std::string mechanism = "NULL"s + std::string(16, '\0');
    const std::string filler(32, '\0'); // Includes the role, which the mechanism NULL does not use.
    const std::string ready = "\x05READY\x0BSocket-Type\0\0\0\x06"s + "DEALER\x08Identity\0\0\0\0"s;
    const std::string command = "\x04"s + static_cast<char>(ready.size());
    return signature + version + mechanism + filler + command + ready;
}

Misuse unfinishedPeerMessages(std::size_t length, int connections)
{
    constexpr std::size_t missing = 99;
    Misuse misuse;
    misuse.opening = peerGreeting() + peerFrameHead(length);
    misuse.repeated = std::string(16 * kibibyte, 'x');
    misuse.total = misuse.opening.size() + length - missing;
    misuse.connections = connections;
    return misuse;
}

Misuse malformedPeerMessages(std::size_t length, int connections)
{
    Misuse misuse;
    misuse.opening = peerGreeting();
    const std::string message = peerFrameHead(length) + std::string(length, 'x');
    while (misuse.repeated.size() < 16 * kibibyte) {
        misuse.repeated += message;
    }
    misuse.connections = connections;
    return misuse;
}

Misuse resetPeers(std::size_t length, int connections)
{
    constexpr std::size_t bytesPerConnection = 256 * kibibyte;
    Misuse misuse = malformedPeerMessages(length, connections);
    misuse.afterTurn = [](int descriptor, std::size_t sent) {
        resetOnClose(descriptor);
        return sent >= bytesPerConnection;
    };
    return misuse;
}

Misuse requestsOfStrangers(int connections)
{
    constexpr int strangers = 4000;
    constexpr int firstPort = 20000;
    Misuse misuse;
    misuse.opening = peerGreeting();
    for (int i = 0; i < strangers; ++i) {
        CellWire::CellEnvelope message;
        message.set_from("stranger-" + std::to_string(i));
        message.set_reply_address("127.0.0.1:" + std::to_string(firstPort + i));
        message.set_call(1);
        message.mutable_state_query()->set_job("bbbbbbbbbbbbbbbb");
        const std::string bytes = message.SerializeAsString();
        misuse.repeated += peerFrameHead(bytes.size()) + bytes;
    }
    misuse.connections = connections;
    return misuse;
}

Misuse unreadPings(int connections)
{
    using namespace std::string_literals;
    const std::string ping = "\x04\x17\x04PING\0\0"s + std::string(16, 'x'); // With the longest context, which the answer repeats.
    Misuse misuse;
    misuse.opening = peerGreeting();
    while (misuse.repeated.size() < 16 * kibibyte) {
        misuse.repeated += ping;
    }
    misuse.connections = connections;
    return misuse;
}

Misuse halfClosedPeers(int connections)
{
    Misuse misuse = silentPeers(connections);
    misuse.afterTurn = [total = misuse.opening.size()](int descriptor, std::size_t sent) {
        if (sent >= total) {
            shutdown(descriptor, SHUT_WR);
        }
        return false;
    };
    return misuse;
}

Misuse silentPeers(int connections)
{
    Misuse misuse;
    misuse.opening = peerGreeting();
    misuse.connections = connections;
    return misuse;
}

} // namespace KingCupLadder::LimitsTest
