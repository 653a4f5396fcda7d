// The forms of misuse that the tests of limits play, each as a crowd's connections send it.
#pragma once

#include "callercrowd.h"

#include <string>

namespace KingCupLadder::LimitsTest {

/// The requests that a crowd starts from.
struct Target {
    std::string host; ///< Value of the header.
    std::string path; ///< Of a request with a body.
    std::string key; ///< Sent as a bearer token.
};

[[nodiscard]] std::string requestHead(const Target &target, const std::string &method, const std::string &path, const std::string &headers);

[[nodiscard]] Misuse announcedBodies(const Target &target, std::size_t announced, int connections);
/// Bodies of @p length bytes of which the end is never sent.
[[nodiscard]] Misuse unfinishedBodies(const Target &target, std::size_t length, int connections);
[[nodiscard]] Misuse endlessChunks(const Target &target, int connections);
[[nodiscard]] Misuse endlessChunkSize(const Target &target, int connections);
[[nodiscard]] Misuse endlessHeaders(const Target &target, int connections);
/// One byte of a header in each turn.
[[nodiscard]] Misuse slowHeaders(const Target &target, int connections);
/// Requests at @p path whose responses are never read: many short ones, whose responses fill the buffers of the sockets, then long ones.
[[nodiscard]] Misuse pipelinedRequests(const Target &target, const std::string &path, int connections);
[[nodiscard]] Misuse silentConnections(int connections);
/// Requests, each on a connection that is closed with a reset while the response is sent.
[[nodiscard]] Misuse resetResponses(const Target &target, const std::string &path, int connections);
/// Connections that are closed right after they were opened.
[[nodiscard]] Misuse shortConnections(int connections);
/// Complete requests, then the end of the caller's direction, while the connection stays open.
[[nodiscard]] Misuse halfClosedConnections(const Target &target, const std::string &path, int connections);
/// Pipelined requests, of whose responses each connection reads about one byte a second.
[[nodiscard]] Misuse slowReaders(const Target &target, const std::string &path, int connections);
/// Requests of many methods, paths, keys and ids, none of which exists.
[[nodiscard]] Misuse unknownNames(const Target &target, int connections);

/// Opens a ZeroMQ connection as a peer does, before the first message.
[[nodiscard]] std::string peerGreeting();
/// Messages of @p length bytes of which the end is never sent.
[[nodiscard]] Misuse unfinishedPeerMessages(std::size_t length, int connections);
/// Complete messages of @p length bytes that no daemon understands, without end.
[[nodiscard]] Misuse malformedPeerMessages(std::size_t length, int connections);
/// Like malformedPeerMessages(), on connections that are reset every few hundred KiB.
[[nodiscard]] Misuse resetPeers(std::size_t length, int connections);
/// Well-formed requests of daemons that do not exist, each with another address for the reply.
[[nodiscard]] Misuse requestsOfStrangers(int connections);
/// Pings without end, whose answers are never read.
[[nodiscard]] Misuse unreadPings(int connections);
/// Connections that greet, end their direction and stay open.
[[nodiscard]] Misuse halfClosedPeers(int connections);
/// Connections that greet and then send nothing.
[[nodiscard]] Misuse silentPeers(int connections);

} // namespace KingCupLadder::LimitsTest
