// HTTP server over evhttp with fault injection.
#include "server.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>

namespace KingCupLadder::StandIn {

namespace {

constexpr int idleTimeoutSeconds = 600;
constexpr std::size_t maxBodyBytes = 64UL * 1024 * 1024;

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

const char *methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    default:
        return "GET";
    }
}

Request readRequest(evhttp_request *raw)
{
    Request request;
    request.method = methodName(evhttp_request_get_command(raw));
    request.arrivedMs = nowMs();
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(raw);
    const char *path = evhttp_uri_get_path(uri);
    request.path = path == nullptr ? "/" : path;
    evkeyvalq query{};
    const char *text = evhttp_uri_get_query(uri);
    if (text != nullptr && evhttp_parse_query_str(text, &query) == 0) {
        for (const evkeyval *pair = query.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            request.query[pair->key] = pair->value;
        }
        evhttp_clear_headers(&query);
    }
    for (const evkeyval *pair = evhttp_request_get_input_headers(raw)->tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
        request.headers[toLower(pair->key)] = pair->value;
    }
    evbuffer *buffer = evhttp_request_get_input_buffer(raw);
    request.body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, request.body.data(), request.body.size());
    return request;
}

std::optional<FaultMode> parseFaultMode(const std::string &text)
{
    constexpr std::array<std::pair<const char *, FaultMode>, 7> modes{{{"none", FaultMode::None},
                                                                       {"down", FaultMode::Down},
                                                                       {"slow", FaultMode::Slow},
                                                                       {"loseanswers", FaultMode::DropResponses},
                                                                       {"frozen", FaultMode::Frozen},
                                                                       {"silent", FaultMode::Unresponsive},
                                                                       {"failall", FaultMode::FailAll}}};
    const auto *found = std::find_if(modes.begin(), modes.end(), [&](const auto &mode) { return text == mode.first; });
    return found == modes.end() ? std::nullopt : std::optional(found->second);
}

/// One-shot timer that destroys itself after its action.
struct Timer {
    std::function<void()> action;
    static void run(evutil_socket_t /*socket*/, short /*events*/, void *argument)
    {
        const std::unique_ptr<Timer> timer(static_cast<Timer *>(argument));
        timer->action();
    }
};

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

Response jsonResponse(const nlohmann::json &json, int status)
{
    return Response{status, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0, {}};
}

Response errorResponse(int status, const std::string &error, const std::string &message, const std::string &remedy, const std::string &ran)
{
    return jsonResponse({{"error", error}, {"message", message}, {"remedy", remedy}, {"ran", ran}, {"retryAfterMs", 0}}, status);
}

Server::Server(event_base *base, Handler handler) : m_base(base), m_http(evhttp_new(base)), m_handler(std::move(handler)) { }

Server::~Server()
{
    evhttp_free(m_http);
}

std::unique_ptr<Server> Server::create(event_base *base, const std::string &listen, Handler handler)
{
    std::unique_ptr<Server> server(new Server(base, std::move(handler)));
    const std::size_t colon = listen.rfind(':');
    if (colon == std::string::npos) {
        return nullptr;
    }
    const auto port = static_cast<std::uint16_t>(std::strtoul(listen.c_str() + colon + 1, nullptr, 10));
    evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(server->m_http, listen.substr(0, colon).c_str(), port);
    if (bound == nullptr) {
        return nullptr;
    }
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address), &size);
    server->m_port = ntohs(address.sin_port);
    evhttp_set_timeout(server->m_http, idleTimeoutSeconds);
    evhttp_set_max_body_size(server->m_http, static_cast<ev_ssize_t>(maxBodyBytes));
    evhttp_set_allowed_methods(server->m_http,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS);
    evhttp_set_gencb(server->m_http, &Server::onRequest, server.get());
    return server;
}

int Server::port() const
{
    return m_port;
}

FaultMode Server::faultMode() const
{
    return m_faultMode;
}

std::size_t Server::connections() const
{
    return m_openConnections.size();
}

void Server::trackConnection(evhttp_connection *connection)
{
    if (m_openConnections.insert(connection).second) {
        evhttp_connection_set_closecb(connection, &Server::onClosed, this);
    }
}

void Server::onClosed(evhttp_connection *connection, void *self)
{
    auto *server = static_cast<Server *>(self);
    server->m_openConnections.erase(connection);
    server->m_unresponsiveConnections.erase(connection);
}

void Server::onRequest(evhttp_request *raw, void *self)
{
    auto *server = static_cast<Server *>(self);
    evhttp_connection *connection = evhttp_request_get_connection(raw);
    server->trackConnection(connection);
    if (server->m_unresponsiveConnections.count(connection) != 0) {
        return;
    }
    const Request request = readRequest(raw);
    if (request.path == "/fault") {
        const bool known = server->setFaultMode(request, connection);
        server->send(raw, known ? jsonResponse({{"ok", true}}) : errorResponse(400, "invalid input", "unknown fault mode", "see section 5 of docs/design.md"));
    } else if (server->m_faultMode == FaultMode::Down) {
        server->closeConnection(raw);
    } else if (server->m_faultMode == FaultMode::Frozen) {
        server->m_frozenRequests.emplace_back(raw, request);
    } else {
        server->serve(raw, request);
    }
}

bool Server::setFaultMode(const Request &request, evhttp_connection *requestConnection)
{
    const nlohmann::json json = nlohmann::json::parse(request.body, nullptr, false);
    const auto mode = json.is_object() ? parseFaultMode(json.value("mode", "")) : std::nullopt;
    if (!mode) {
        return false;
    }
    m_faultMode = *mode;
    m_slowDelayMs = json.value("ms", 0);
    if (m_faultMode == FaultMode::Unresponsive) {
        m_unresponsiveConnections = m_openConnections;
        m_unresponsiveConnections.erase(requestConnection);
    } else if (m_faultMode != FaultMode::Frozen) {
        releaseFrozen();
    }
    return true;
}

void Server::releaseFrozen()
{
    for (const auto &[raw, request] : std::exchange(m_frozenRequests, {})) {
        if (m_faultMode == FaultMode::Down) {
            closeConnection(raw);
        } else {
            serve(raw, request);
        }
    }
}

void Server::serve(evhttp_request *raw, const Request &request)
{
    Response response;
    try {
        response = m_handler(request);
    } catch (const std::exception &error) {
        response = errorResponse(400, "invalid input", error.what(), "send the JSON of section 5 of docs/design.md");
    }
    if (m_faultMode == FaultMode::DropResponses) {
        if (response.onCompleted) {
            response.onCompleted();
        }
        closeConnection(raw);
        return;
    }
    response.delayMs += m_faultMode == FaultMode::Slow ? m_slowDelayMs : 0;
    if (response.delayMs <= 0) {
        send(raw, response);
        return;
    }
    runLater(response.delayMs, [this, raw, response] { send(raw, response); });
}

void Server::send(evhttp_request *raw, const Response &response)
{
    if (response.onCompleted) {
        response.onCompleted();
    }
    // The connection may have become unresponsive while its request was processed.
    if (m_unresponsiveConnections.count(evhttp_request_get_connection(raw)) != 0) {
        return;
    }
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Content-Type", "application/json");
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, response.body.data(), response.body.size());
    evhttp_send_reply(raw, response.status, nullptr, buffer);
    evbuffer_free(buffer);
}

void Server::runLater(int delayMs, std::function<void()> action)
{
    const timeval delay{delayMs / 1000, (delayMs % 1000) * 1000L};
    event_base_once(m_base, -1, EV_TIMEOUT, &Timer::run, new Timer{std::move(action)}, &delay);
}

void Server::closeConnection(evhttp_request *raw)
{
    // Freeing is deferred because evhttp still uses the connection after the request callback.
    evhttp_connection *connection = evhttp_request_get_connection(raw);
    runLater(0, [this, connection] {
        if (m_openConnections.count(connection) != 0) {
            evhttp_connection_free(connection);
        }
    });
}

CommandLineOptions::CommandLineOptions(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string name = argv[i];
        const bool hasValue = i + 1 < argc && std::string(argv[i + 1]).rfind("--", 0) != 0;
        m_values.emplace(name, hasValue ? argv[++i] : "");
    }
}

std::vector<std::string> CommandLineOptions::all(const std::string &name) const
{
    std::vector<std::string> found;
    const auto [first, last] = m_values.equal_range(name);
    std::transform(first, last, std::back_inserter(found), [](const auto &pair) { return pair.second; });
    return found;
}

std::string CommandLineOptions::text(const std::string &name, const std::string &fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
}

std::int64_t CommandLineOptions::number(const std::string &name, std::int64_t fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : std::strtoll(found->second.c_str(), nullptr, 10);
}

bool CommandLineOptions::has(const std::string &name) const
{
    return m_values.count(name) != 0;
}

int runServers(event_base *base, const std::vector<std::string> &addresses, const Handler &handler, std::vector<std::unique_ptr<Server>> &servers)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const std::string &address : addresses) {
        servers.push_back(Server::create(base, address, handler));
        if (!servers.back()) {
            std::fprintf(stderr, "cannot listen on %s; choose a free address with --listen ip:port\n", address.c_str());
            return 1;
        }
        std::printf("listening on port %d\n", servers.back()->port());
    }
    std::fflush(stdout);
    const auto stop = [](evutil_socket_t /*signal*/, short /*events*/, void *argument) { event_base_loopbreak(static_cast<event_base *>(argument)); };
    std::vector<event *> signals{evsignal_new(base, SIGTERM, stop, base), evsignal_new(base, SIGINT, stop, base)};
    for (event *signal : signals) {
        event_add(signal, nullptr);
    }
    event_base_dispatch(base);
    for (event *signal : signals) {
        event_free(signal);
    }
    servers.clear();
    return 0;
}

} // namespace KingCupLadder::StandIn
