// Builds the forwarded requests and sends them through the connection pools of the workers.
#include "forwarder.h"

#include <algorithm>
#include <array>

namespace KingCupLadder {

namespace {

constexpr std::array<const char *, 14> nonForwardedHeaders{"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Authenticate",
                                                           "Proxy-Authorization",
                                                           "Proxy-Connection",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "Content-Length",
                                                           "Expect",
                                                           "Host",
                                                           "X-Ladder-Epoch", // forward() sets it to the epoch of the grant.
                                                           "Authorization"}; // Team keys must not reach applications.

bool isEndToEnd(const std::string &name)
{
    return std::none_of(nonForwardedHeaders.begin(), nonForwardedHeaders.end(), [&](const char *excluded) { return equalsIgnoreCase(name, excluded); });
}

} // namespace

Headers endToEndHeaders(const Headers &headers)
{
    Headers passed;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(passed), [](const auto &header) { return isEndToEnd(header.first); });
    return passed;
}

Forwarder::Forwarder(EventLoop &loop, const ConnectionPoolSettings &settings) : m_pools(loop, settings) { }

ForwardCancel Forwarder::forward(const ForwardRequest &request, ForwardCallback callback)
{
    ClientRequest outgoing;
    outgoing.method = request.method;
    outgoing.target = "/app" + request.target;
    outgoing.headers = endToEndHeaders(request.headers);
    // endToEndHeaders() keeps X-Request-Id, because it also selects the headers of responses.
    outgoing.headers.erase(
        std::remove_if(outgoing.headers.begin(), outgoing.headers.end(), [](const auto &header) { return equalsIgnoreCase(header.first, "X-Request-Id"); }),
        outgoing.headers.end());
    outgoing.headers.emplace_back("X-Request-Id", request.id.value());
    outgoing.headers.emplace_back("X-Ladder-Epoch", std::to_string(request.epoch.value()));
    outgoing.body = request.body;
    outgoing.timeout = request.timeout;
    outgoing.acceptsResponse = [id = request.id.value()](const HttpResponse &response) {
        const std::string echoed = headerValue(response.headers, "X-Request-Id");
        return echoed.empty() || echoed == id; // Applications need not echo the id.
    };
    const ConnectionPool::Ticket ticket = m_pools.pool(request.address).send(outgoing, std::move(callback));
    return [this, address = request.address, ticket] { return m_pools.pool(address).cancel(ticket); };
}

TrafficCounters Forwarder::traffic() const
{
    return m_pools.traffic();
}

std::size_t Forwarder::connectionCount() const
{
    return m_pools.connectionCount();
}

} // namespace KingCupLadder
