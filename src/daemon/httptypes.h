// Plain values for HTTP requests and answers, shared by the front end, the handlers and the clients. No I/O.
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

/// The first value of a header, names compared without case; empty if it is absent.
[[nodiscard]] std::string headerValue(const Headers &headers, const std::string &name);
[[nodiscard]] bool sameHeaderName(const std::string &a, const std::string &b);

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

/// A request that waits for its one answer.
class HttpCall
{
public:
    using Responder = std::function<void(const HttpResponse &)>;

    HttpCall(HttpRequest request, Responder responder);

    [[nodiscard]] const HttpRequest &request() const;
    /// Sends the answer. Calls after the first one, and after a disconnect, have no effect.
    void respond(const HttpResponse &response);
    /// Called once if the client goes away before the answer.
    void setDisconnectHandler(std::function<void()> handler);
    /// The client is gone: nothing will be sent.
    void disconnect();
    [[nodiscard]] bool isDone() const;

private:
    HttpRequest m_request;
    Responder m_responder; ///< Empty once answered or disconnected.
    std::function<void()> m_disconnectHandler;
};

using HttpCallPtr = std::shared_ptr<HttpCall>;
using HttpHandler = std::function<void(const HttpCallPtr &)>;

/// The answer to refused or failed work: {error, message, remedy, ran, retryAfterMs} and a Retry-After header where a retry
/// can help. @p retryAfter zero: chosen by the kind of error.
[[nodiscard]] HttpResponse errorResponse(const Error &error, ExecutionStatus ran = ExecutionStatus::NotRun, Duration retryAfter = Duration(0));
[[nodiscard]] HttpResponse jsonResponse(int status, std::string body);

/// Everything but unreserved characters as %XX.
[[nodiscard]] std::string percentEncode(const std::string &text);
/// Empty optional if an escape is malformed.
[[nodiscard]] std::optional<std::string> percentDecode(const std::string &text);

/// "ip:port" or "[ip6]:port" taken apart; empty if malformed.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;
};
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(const std::string &text);

} // namespace KingCupLadder
