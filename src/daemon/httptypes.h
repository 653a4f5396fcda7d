// Value types for HTTP requests and responses, shared by the server, the handlers and the clients. No I/O.
#pragma once

#include "core/error.h"
#include "core/messages.h"
#include "core/units.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder {

constexpr int httpOk = 200;
constexpr int httpAccepted = 202;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpUnavailable = 503;

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of a header, or an empty string if it is absent. Header names are case-insensitive.
[[nodiscard]] std::string headerValue(const Headers &headers, const std::string &name);
/// Compares ASCII strings, such as header names, without regard to case.
[[nodiscard]] bool equalsIgnoreCase(const std::string &a, const std::string &b);

struct HttpRequest {
    std::string method; ///< Upper case.
    std::string target; ///< Path and query as sent.
    std::string path; ///< As sent, without the query.
    std::string query; ///< Without "?".
    Headers headers;
    std::string body;
    TimePoint arrival;
};

struct HttpResponse {
    int status = httpOk;
    Headers headers;
    std::string body;
};

/// An HTTP request and the means to respond to it once.
class HttpCall
{
public:
    using Responder = std::function<void(const HttpResponse &)>;

    HttpCall(HttpRequest request, Responder responder);

    [[nodiscard]] const HttpRequest &request() const;
    /// Sends the response. Has no effect after the first call or after a disconnect.
    void respond(const HttpResponse &response);
    /// Sets the handler that is called once if the client disconnects before the response.
    void setDisconnectHandler(std::function<void()> handler);
    /// Called when the client has disconnected: runs the disconnect handler and makes respond() a no-op.
    void disconnect();
    /// Returns whether the response was sent or the client has disconnected.
    [[nodiscard]] bool isDone() const;

private:
    HttpRequest m_request;
    Responder m_responder; ///< Empty after the response or a disconnect.
    std::function<void()> m_disconnectHandler;
};

using HttpCallPtr = std::shared_ptr<HttpCall>;
using HttpHandler = std::function<void(const HttpCallPtr &)>;

/// Returns the response to refused or failed work: {error, message, remedy, ran, retryAfterMs}, with a Retry-After header if a
/// retry can succeed. If @p retryAfter is zero, the kind of error determines it.
[[nodiscard]] HttpResponse errorResponse(const Error &error, ExecutionStatus ran = ExecutionStatus::NotRun, Duration retryAfter = Duration(0));
[[nodiscard]] HttpResponse jsonResponse(int status, std::string body);

/// Encodes all characters except unreserved ones as %XX.
[[nodiscard]] std::string percentEncode(const std::string &text);
/// Returns nullopt if an escape sequence is malformed.
[[nodiscard]] std::optional<std::string> percentDecode(const std::string &text);

/// Host and port of "ip:port" or "[ip6]:port".
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;
};
/// Returns nullopt if the text is malformed.
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(const std::string &text);

} // namespace KingCupLadder
