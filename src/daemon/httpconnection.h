// One client connection to one HTTP server, on evhttp, with one exchange at a time. After a timeout, a failure or an abort
// the connection is closed for good, so that a late answer can't be taken for the answer to another request.
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
    Duration timeout{1000}; ///< For the whole exchange, connecting included.
    /// If set and false for an answer, the answer belongs to something else: the exchange failed and the connection is closed.
    std::function<bool(const HttpResponse &)> accept;
};

struct ClientResult {
    enum class Kind {
        Answered,
        Failed, ///< The connection could not be opened or broke.
        TimedOut,
    };
    Kind kind = Kind::Failed;
    bool byteSent = false; ///< The server may have seen the request.
    HttpResponse response; ///< Only if answered.
};

/// Bytes of bodies and heads as counted by the clients, for the control cost.
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

    /// Must only be called if isUsable() and not isBusy(). The callback comes exactly once, unless abort() comes first.
    void send(const ClientRequest &request, Callback callback);
    /// Ends the exchange without a callback and closes the connection. True if a byte of the request was sent.
    bool abort();
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] bool isUsable() const;
    [[nodiscard]] const TrafficCounters &traffic() const;

private:
    void onAnswer(evhttp_request *request);
    void finish(const ClientResult &result);
    evhttp_connection *detach();
    void close();

    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *argument);

    EventLoop &m_loop;
    std::shared_ptr<int> m_lifetimeToken; ///< Tells deferred calls whether this object still exists.
    std::string m_host;
    evhttp_connection *m_connection = nullptr; ///< Null once closed.
    std::unique_ptr<EventWatch> m_timer;
    Callback m_callback; ///< Set exactly while an exchange is in progress.
    std::function<bool(const HttpResponse &)> m_accept;
    bool m_byteSent = false;
    TrafficCounters m_traffic;
};

} // namespace KingCupLadder
