// HTTP server of the stand-ins with delayed responses and fault modes that are set by POST /fault.
#pragma once

#include <event2/event.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder::StandIn {

/// Monotonic time of the machine in milliseconds; comparable between processes on the same machine.
[[nodiscard]] std::int64_t nowMs();

struct Request {
    std::string method;
    std::string path; ///< Without the query string, not percent-decoded.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Keyed by lower-case name.
    std::string body;
    std::int64_t arrivedMs = 0;
};

struct Response {
    int status = 200;
    std::string body;
    int delayMs = 0; ///< Delay before the response is sent.
    std::function<void()> onCompleted; ///< Called when the response is sent or dropped, if set.
};

[[nodiscard]] Response jsonResponse(const nlohmann::json &json, int status = 200);
/// Builds the error body that section 5 of docs/design.md defines. @p ran tells whether the request was executed.
[[nodiscard]] Response
errorResponse(int status, const std::string &error, const std::string &message, const std::string &remedy, const std::string &ran = "not run");

/// Fault that the server injects, with its name in the body of POST /fault.
enum class FaultMode {
    None, ///< "none".
    Down, ///< "down": connections are closed without executing the request.
    Slow, ///< "slow": responses are delayed by a given time.
    DropResponses, ///< "loseanswers": requests are executed, then the connection is closed without a response.
    Frozen, ///< "frozen": requests are queued and executed when the mode ends, as by a paused process.
    Unresponsive, ///< "silent": connections that are open when the mode is set ignore all requests; new connections work.
    FailAll, ///< "failall"; worker only: every task and application request fails.
};

using Handler = std::function<Response(const Request &)>;

/// HTTP server on one listening address with its own fault mode. Several servers can share an event loop and a handler.
class Server
{
public:
    /// Listens on @p listen, which is "ip:port"; port 0 selects a free port. Returns null if that fails.
    [[nodiscard]] static std::unique_ptr<Server> create(event_base *base, const std::string &listen, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] int port() const;
    [[nodiscard]] FaultMode faultMode() const;
    [[nodiscard]] std::size_t connections() const;

private:
    Server(event_base *base, Handler handler);
    static void onRequest(evhttp_request *raw, void *self);
    static void onClosed(evhttp_connection *connection, void *self);
    void trackConnection(evhttp_connection *connection);
    /// Executes a /fault request. Returns false if its mode is unknown. The connection that carries it stays responsive.
    [[nodiscard]] bool setFaultMode(const Request &request, evhttp_connection *requestConnection);
    void serve(evhttp_request *raw, const Request &request);
    void send(evhttp_request *raw, const Response &response);
    void runLater(int delayMs, std::function<void()> action);
    void closeConnection(evhttp_request *raw);
    void releaseFrozen();

    event_base *m_base;
    evhttp *m_http = nullptr;
    Handler m_handler;
    int m_port = 0;
    FaultMode m_faultMode = FaultMode::None;
    int m_slowDelayMs = 0;
    std::set<evhttp_connection *> m_openConnections;
    std::set<evhttp_connection *> m_unresponsiveConnections; ///< Subset of m_openConnections.
    std::vector<std::pair<evhttp_request *, Request>> m_frozenRequests;
};

/// Command-line arguments of the forms "--name value" and "--flag"; a name may be repeated.
class CommandLineOptions
{
public:
    CommandLineOptions(int argc, char **argv);
    [[nodiscard]] std::vector<std::string> all(const std::string &name) const;
    [[nodiscard]] std::string text(const std::string &name, const std::string &fallback) const;
    [[nodiscard]] std::int64_t number(const std::string &name, std::int64_t fallback) const;
    [[nodiscard]] bool has(const std::string &name) const;

private:
    std::multimap<std::string, std::string> m_values;
};

/// Starts a server for each address, prints "listening on port N" for each, and runs until SIGTERM or SIGINT. Returns the exit
/// code of the process. Handlers can use the elements of @p servers while the servers run.
[[nodiscard]] int
runServers(event_base *base, const std::vector<std::string> &addresses, const Handler &handler, std::vector<std::unique_ptr<Server>> &servers);

} // namespace KingCupLadder::StandIn
