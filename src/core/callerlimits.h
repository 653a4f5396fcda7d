// Limits for the connections and requests of callers, and bounds for all connections of callers or of peers together.
#pragma once

#include "units.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace KingCupLadder {

/// Limits for one connection. The operator can change them while the daemon runs.
struct CallerLimits {
    std::size_t maxHeaderBytes = 32UL * 1024; ///< Of one request.
    std::size_t maxBodyBytes = 1024UL * 1024; ///< Of one request.
    Duration headerTimeout{20000}; ///< Time for a request, plus one second for each CallerConnections::minBytesPerSecond received; 0: unlimited.
    Duration idleTimeout{60000}; ///< Time without progress, unless the request is being handled; 0: unlimited.
};

/// What the process may use on its machine.
struct ProcessResources {
    std::optional<std::uint64_t> memoryBytes; ///< Empty: not known.
    std::optional<std::uint64_t> descriptors; ///< Empty: not known.
};

/// Limits for all connections of callers, or of peers, together.
struct ConnectionBudget {
    std::size_t maxConnections = 4000;
    std::size_t maxBytes = 64UL * 1024 * 1024; ///< Of incomplete and unanswered requests and unread responses, in the process.
    /// Requested size of a socket's buffer in the kernel, in each direction. The kernel reserves twice as much. 0: the system's default.
    std::size_t socketBufferBytes = maxBytes / maxConnections;

    /// The part of a process's resources for connections of callers: an eighth of the memory for the daemon's own buffers, which take up to twice
    /// the bytes that they hold, a quarter for the sockets' buffers, and a third of the descriptors.
    [[nodiscard]] static ConnectionBudget forCallers(const ProcessResources &resources);
    /// The same for connections of peers, with an eighth of the descriptors. Daemons only receive on them, so the sockets' buffers take an eighth
    /// of the memory.
    [[nodiscard]] static ConnectionBudget forPeers(const ProcessResources &resources);
};

} // namespace KingCupLadder
