// Sends one request to the application of one worker and returns the whole answer. Each worker has its own connections.
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
    Headers headers; ///< Of the caller; those that concern only the hop are left out.
    std::string body;
    RequestId id;
    Epoch epoch; ///< Of the grant.
    Duration timeout{0};
};

using ForwardCallback = std::function<void(const ClientResult &)>;
/// Ends the exchange without a callback. True if a byte was sent.
using ForwardCancel = std::function<bool()>;

class Forwarder
{
public:
    Forwarder(EventLoop &loop, const ConnectionPoolSettings &settings);

    /// The callback comes exactly once, after this call returned, unless the returned function is called first. An answer with
    /// the X-Request-Id of another request counts as a broken connection.
    [[nodiscard]] ForwardCancel forward(const ForwardRequest &request, ForwardCallback callback);
    [[nodiscard]] TrafficCounters traffic() const;
    [[nodiscard]] std::size_t connectionCount() const;

private:
    ConnectionPools m_pools;
};

/// Headers that are passed on: all but those of the hop, of the body's length and of the caller's key.
[[nodiscard]] Headers endToEndHeaders(const Headers &headers);

} // namespace KingCupLadder
