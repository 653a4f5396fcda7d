// Forwards requests to the applications on workers and returns their complete responses. Each worker has its own connections.
#pragma once

#include "connectionpool.h"
#include "core/ids.h"

#include <functional>
#include <string>

namespace KingCupLadder {

struct ForwardRequest {
    std::string address; ///< "ip:port" of the worker.
    std::string method;
    std::string target; ///< Path and query as the caller sent them.
    Headers headers; ///< Headers of the caller; hop-by-hop headers are not forwarded.
    std::string body;
    RequestId id;
    Epoch epoch; ///< Epoch of the grant.
    Duration timeout{0};
};

using ForwardCallback = std::function<void(const ClientResult &)>;
/// Cancels the exchange without invoking its callback. Returns true if any byte was sent.
using ForwardCancel = std::function<bool()>;

class Forwarder
{
public:
    Forwarder(EventLoop &loop, const ConnectionPoolSettings &settings);

    /// Invokes the callback exactly once, after this function has returned, unless the returned function is called first. A
    /// response with the X-Request-Id of another request counts as a failed exchange.
    [[nodiscard]] ForwardCancel forward(const ForwardRequest &request, ForwardCallback callback);
    [[nodiscard]] TrafficCounters traffic() const;
    [[nodiscard]] std::size_t connectionCount() const;

private:
    ConnectionPools m_pools;
};

/// Returns the headers of a request or response to forward: all except hop-by-hop headers, the caller's key, and those that are set
/// anew for each hop (Host, Expect, Content-Length, X-Ladder-Epoch).
[[nodiscard]] Headers endToEndHeaders(const Headers &headers);

} // namespace KingCupLadder
