// HTTP client connection, based on evhttp, with one exchange at a time. After a timeout, a failure or an abort the connection
// is closed for good, so that a late response can't be taken for the response to another request.
#pragma once

#include "eventloop.h"
#include "httptypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace KingCupLadder {

struct ClientRequest {
    std::string method = "GET";
    std::string target; ///< Path and query.
    Headers headers;
    std::string body;
    Duration timeout{1000}; ///< For the whole exchange, including connecting.
    /// Optional check of the response. If it returns false, the response belongs to another request: the exchange fails and the
    /// connection is closed.
    std::function<bool(const HttpResponse &)> acceptsResponse;
};

struct ClientResult {
    enum class Kind {
        Answered,
        Failed, ///< The connection could not be opened or was lost.
        TimedOut,
    };
    Kind kind = Kind::Failed;
    bool byteSent = false; ///< If true, the server may have seen the request.
    HttpResponse response; ///< Set only if kind is Answered.
};

/// Traffic of the HTTP clients, for the metrics of the control plane. Received bytes are those of the bodies only.
struct TrafficCounters {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

class HttpConnection
{
public:
    using Callback = std::function<void(const ClientResult &)>;

    HttpConnection(EventLoop &loop, const SocketAddress &address, std::size_t maxBody);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Must only be called if isUsable() and not isBusy(). Invokes the callback exactly once, unless abort() is called first.
    void send(const ClientRequest &request, Callback callback);
    /// Cancels the exchange without invoking its callback and closes the connection. Returns true if any byte of the request was
    /// sent.
    bool abort();
    [[nodiscard]] bool isBusy() const; ///< Whether an exchange is in progress.
    [[nodiscard]] bool isUsable() const; ///< False once the connection is closed.
    [[nodiscard]] const TrafficCounters &traffic() const;

private:
    void onResponse(evhttp_request *request);
    void finish(const ClientResult &result);
    evhttp_connection *detach();
    void close();

    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *argument);

    EventLoop &m_loop;
    std::shared_ptr<int> m_lifetimeToken; ///< Lets deferred calls detect that this object was destroyed.
    std::string m_host;
    evhttp_connection *m_connection = nullptr; ///< Null after the connection is closed.
    std::unique_ptr<EventWatch> m_timer;
    Callback m_callback; ///< Set if and only if an exchange is in progress.
    std::function<bool(const HttpResponse &)> m_acceptsResponse;
    bool m_byteSent = false;
    TrafficCounters m_traffic;
};

} // namespace KingCupLadder
