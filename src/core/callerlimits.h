// Limits for the connections and requests of callers.
#pragma once

#include "units.h"

#include <cstddef>

namespace KingCupLadder {

/// Limits for one connection. The operator can change them while the daemon runs.
struct CallerLimits {
    std::size_t maxHeaderBytes = 32UL * 1024; ///< Of one request.
    std::size_t maxBodyBytes = 1024UL * 1024; ///< Of one request.
    Duration headerTimeout{20000}; ///< Time for a request, plus one second for each CallerConnections::minBytesPerSecond received; 0: unlimited.
    Duration idleTimeout{60000}; ///< Time without progress, unless the request is being handled; 0: unlimited.
};

/// Limits for all connections of the process together.
struct CallerBudget {
    std::size_t maxConnections = 4000;
    std::size_t maxBytes = 64UL * 1024 * 1024; ///< Of incomplete and unanswered requests and unread responses.
};

} // namespace KingCupLadder
