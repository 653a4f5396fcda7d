// HTTP server for callers and operators, based on evhttp. Translates between evhttp requests and HttpCall, enforces size limits
// and detects clients that disconnect.
#pragma once

#include "core/error.h"
#include "eventloop.h"
#include "httptypes.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct evhttp;
struct evhttp_request;

namespace KingCupLadder {

struct HttpFrontendSettings {
    std::string address; ///< "ip:port" to listen on; port 0 is not accepted.
    std::size_t maxBody = 8UL * 1024 * 1024; ///< Largest request body in bytes.
    std::size_t maxHeaders = 32UL * 1024; ///< Bytes of a request's headers.
    std::size_t maxActive = 20000; ///< Concurrent requests; further requests are refused.
    Duration clientIdle{60000}; ///< Client connections are closed after this time without traffic.
};

class HttpFrontend
{
public:
    [[nodiscard]] static Result<std::unique_ptr<HttpFrontend>> create(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler);
    ~HttpFrontend();
    HttpFrontend(const HttpFrontend &) = delete;
    HttpFrontend &operator=(const HttpFrontend &) = delete;

    /// While set, every response closes its connection, so that callers reconnect to other daemons.
    void setClosing(bool closing);
    [[nodiscard]] std::size_t activeCalls() const; ///< Requests without a response.
    [[nodiscard]] std::uint64_t bytesReceived() const;
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    struct PendingRequest;

    HttpFrontend(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler);
    void onRequest(evhttp_request *request);
    void onClientDisconnect(PendingRequest *pending);
    void reply(PendingRequest *pending, const HttpResponse &response);
    void sendResponse(evhttp_request *request, const HttpResponse &response);

    EventLoop &m_loop;
    HttpFrontendSettings m_settings;
    HttpHandler m_handler;
    evhttp *m_server = nullptr;
    std::unordered_map<PendingRequest *, std::unique_ptr<PendingRequest>> m_pending; ///< Requests without a response.
    bool m_closing = false;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_bytesSent = 0;
};

} // namespace KingCupLadder
