// The HTTP server of the stand-ins: requests as plain values, delayed answers, and fault modes set by POST /fault.
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

/// Milliseconds of the machine's monotonic clock; comparable between the processes of one machine.
[[nodiscard]] std::int64_t nowMs();

struct Request {
    std::string method;
    std::string path; ///< Without query, not decoded.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::int64_t arrivedMs = 0;
};

struct Response {
    int status = 200;
    std::string body;
    int delayMs = 0; ///< Before the answer is sent.
    std::function<void()> onSent; ///< Called when the answer is sent or dropped; may be empty.
};

[[nodiscard]] Response jsonResponse(const nlohmann::json &json, int status = 200);
/// The error body of section 5 of the design page.
[[nodiscard]] Response
errorResponse(int status, const std::string &error, const std::string &message, const std::string &remedy, const std::string &ran = "not run");

enum class FaultMode {
    None,
    Down, ///< Connections are closed without an answer, nothing is executed.
    Slow, ///< Answers wait for the stated time.
    DropResponses, ///< Requests are executed, then the connection is closed without an answer.
    Frozen, ///< Requests are held and executed when the mode ends, like those of a paused process.
    Unresponsive, ///< Connections open now never answer again, nothing is executed on them; new connections work.
    FailAll, ///< Only the worker: whatever it starts fails.
};

using Handler = std::function<Response(const Request &)>;

/// One listening address with its own fault mode. Several can share an event loop and a handler.
class Server
{
public:
    /// @p listen: "ip:port"; port 0 picks a free one. Null if it can't listen there.
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
    [[nodiscard]] bool setFaultMode(const Request &request, evhttp_connection *own);
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
    std::set<evhttp_connection *> m_open;
    std::set<evhttp_connection *> m_unresponsive; ///< A subset of m_open.
    std::vector<std::pair<evhttp_request *, Request>> m_frozen;
};

/// "--name value" and "--flag" arguments; a name may be repeated.
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

/// Serves until SIGTERM or SIGINT. Prints "listening on port N" for each address. Returns the exit code.
[[nodiscard]] int
runServers(event_base *base, const std::vector<std::string> &addresses, const Handler &handler, std::vector<std::unique_ptr<Server>> &servers);

} // namespace KingCupLadder::StandIn
