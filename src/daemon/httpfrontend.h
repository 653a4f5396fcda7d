// HTTP server for callers and operators, based on evhttp. Translates between evhttp requests and HttpCall, enforces size limits
// and detects clients that disconnect. Reports its connections to CallerConnections, which decides which of them are closed.
#pragma once

#include "callerconnections.h"
#include "core/error.h"
#include "eventloop.h"
#include "httptypes.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace KingCupLadder {

struct HttpFrontendSettings {
    std::string address; ///< "ip:port" to listen on; port 0 is not accepted.
    std::size_t maxBody = 8UL * 1024 * 1024; ///< Largest request body in bytes.
    std::size_t maxHeaders = 32UL * 1024; ///< Bytes of a request's headers.
    std::size_t maxActive = 20000; ///< Concurrent requests; further requests are refused.
    Duration clientIdle{60000}; ///< Client connections are closed after this time without traffic.
    std::shared_ptr<CallerConnections> connections; ///< Shared by the listeners of a process; null: no bounds over all connections.
};

class HttpFrontend
{
public:
    [[nodiscard]] static Result<std::unique_ptr<HttpFrontend>> create(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler);
    ~HttpFrontend();
    HttpFrontend(const HttpFrontend &) = delete;
    HttpFrontend &operator=(const HttpFrontend &) = delete;

    /// Applies to new connections, and to later requests of present ones.
    void setLimits(std::size_t maxHeaders, std::size_t maxBody, Duration clientIdle);
    /// While set, every response closes its connection, so that callers reconnect to other daemons.
    void setClosing(bool closing);
    /// Closes the listening socket; open connections are kept.
    void stopListening();
    /// Sends the response to all requests that have none.
    void respondToAll(const HttpResponse &response);
    [[nodiscard]] std::size_t activeCalls() const; ///< Requests whose response has not been passed to the kernel in full.
    [[nodiscard]] std::uint64_t bytesReceived() const;
    [[nodiscard]] std::uint64_t bytesSent() const;

private:
    struct PendingRequest;
    struct Connection;

    HttpFrontend(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler);
    void onRequest(evhttp_request *request);
    void onClientDisconnect(PendingRequest *pending);
    void reply(PendingRequest *pending, const HttpResponse &response);
    void sendResponse(evhttp_request *request, const HttpResponse &response);
    void applyLimits();
    bufferevent *acceptConnection();
    [[nodiscard]] Connection *connectionOf(evhttp_request *request);
    void onInput(const Connection &connection, const evbuffer_cb_info &change);
    void onOutput(Connection &connection, const evbuffer *output, const evbuffer_cb_info &change);
    void onResponseWritten(Connection &connection);
    /// Replaces evhttp's responses to requests that it has rejected, which are HTML pages.
    void replaceErrorPages();
    void closeConnection(bufferevent *events, CloseReason reason);
    /// Releases the connections that evhttp has freed.
    void releaseEnded();
    void release(bufferevent *events);
    void scheduleEnforcement();
    void enforceLimits();

    EventLoop &m_loop;
    HttpFrontendSettings m_settings;
    HttpHandler m_handler;
    evhttp *m_server = nullptr;
    evhttp_bound_socket *m_boundSocket = nullptr; ///< Null after stopListening().
    std::shared_ptr<CallerConnections> m_callerConnections;
    std::unordered_map<bufferevent *, std::unique_ptr<Connection>> m_connections;
    std::unique_ptr<EventWatch> m_enforceTimer; ///< Closes connections outside of their own callbacks.
    std::unique_ptr<EventWatch> m_sweepTimer;
    std::unique_ptr<EventWatch> m_errorPageWatch;
    std::vector<bufferevent *> m_errorPages; ///< Connections on which evhttp has begun to write an error page in this turn of the loop.
    bool m_isEnforcementScheduled = false;
    std::size_t m_acceptedInTurn = 0; ///< Connections since the last run of m_enforceTimer.
    std::unordered_map<PendingRequest *, std::unique_ptr<PendingRequest>> m_pending; ///< Requests without a response.
    bool m_closing = false;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_bytesSent = 0;
};

} // namespace KingCupLadder
