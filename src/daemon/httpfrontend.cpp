// HTTP server on evhttp.
#include "httpfrontend.h"

#include "log.h"
#include "socketbuffers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <array>
#include <cstdlib>
#include <limits>

namespace KingCupLadder {

namespace {

constexpr int allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;
constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr std::int64_t microsecondsPerMillisecond = 1000;
constexpr int httpPayloadTooLarge = 413;
constexpr int httpExpectationFailed = 417;
constexpr int httpNotImplemented = 501;
constexpr int firstErrorStatus = 400;
// evhttp goes on reading while it writes a response. This is the input that it may hold then, besides one read of 16 KiB.
constexpr std::size_t maxInputBehindResponse = 16UL * 1024;
constexpr std::size_t inputMargin = 64UL * 1024; // For the framing of a chunk and the start of the next request.
constexpr std::size_t maxAcceptsPerTurn = 32; // Accepting more before requests are read could close new connections for even newer ones.
constexpr Duration sweepInterval{100};

const char *methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

HttpRequest readRequest(evhttp_request *request, TimePoint now)
{
    HttpRequest out;
    out.arrival = now;
    out.method = methodName(evhttp_request_get_command(request));
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    out.path = path != nullptr && *path != '\0' ? path : "/";
    out.query = query != nullptr ? query : "";
    out.target = out.path + (query != nullptr ? "?" + out.query : "");
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        out.headers.emplace_back(header->key, header->value);
    }
    evbuffer *body = evhttp_request_get_input_buffer(request);
    out.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, out.body.data(), out.body.size()); // evhttp would keep its copy until the response is written.
    return out;
}

std::size_t sizeOf(const HttpRequest &request)
{
    std::size_t size = request.body.size() + request.target.size();
    for (const auto &[name, value] : request.headers) {
        size += name.size() + value.size();
    }
    return size;
}

/// Settings of a frontend without bounds over all connections; evhttp's time-out closes idle connections.
std::shared_ptr<CallerConnections> unboundedConnections(const HttpFrontendSettings &settings)
{
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    CallerLimits limits;
    limits.maxHeaderBytes = settings.maxHeaders;
    limits.maxBodyBytes = settings.maxBody;
    limits.headerTimeout = Duration(0);
    limits.idleTimeout = Duration(0);
    return std::make_shared<CallerConnections>(ConnectionBudget{unlimited, unlimited, 0}, limits);
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case httpPayloadTooLarge:
        return "Payload Too Large";
    case httpNotImplemented:
        return "Not Implemented";
    case httpExpectationFailed:
        return "Expectation Failed";
    default:
        return "Bad Request";
    }
}

/// Describes the rejection of a request by evhttp, which has not reached a handler.
Error errorOfStatus(int status)
{
    switch (status) {
    case httpPayloadTooLarge:
        return {ErrorKind::InvalidInput, "the request is larger than the limit", "send a smaller request"};
    case httpNotImplemented:
        return {ErrorKind::InvalidInput, "the method is not supported", "use a method of the documented API"};
    case httpExpectationFailed:
        return {ErrorKind::InvalidInput, "the expectation of the request can't be met", "send the request without the header 'Expect'"};
    default:
        return {ErrorKind::InvalidInput, "the request is not valid HTTP", "check how the request is built"};
    }
}

/// Returns the whole response to a request that evhttp has rejected, for a connection that is closed after it.
std::string rejectionText(int status)
{
    const HttpResponse response = errorResponse(errorOfStatus(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto &[name, value] : response.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\nConnection: close\r\n\r\n" + response.body;
}

/// Returns the status at the start of a response; 0 if there is none.
int statusOf(const evbuffer *output)
{
    std::array<char, sizeof("HTTP/1.1 200")> text{};
    const std::size_t statusOffset = sizeof("HTTP/1.1 ") - 1;
    return evbuffer_copyout(const_cast<evbuffer *>(output), text.data(), text.size() - 1) == static_cast<ev_ssize_t>(text.size() - 1)
        ? std::atoi(text.data() + statusOffset)
        : 0;
}

/// Whether evhttp still uses a bufferevent: it sets the callbacks of its connections and clears them when it frees a connection.
bool isInUse(bufferevent *events)
{
    bufferevent_event_cb callback = nullptr;
    bufferevent_getcb(events, nullptr, nullptr, &callback, nullptr);
    return callback != nullptr;
}

} // namespace

/// A connection that evhttp has accepted. Holds a reference to its bufferevent, since evhttp does not report when it frees a connection. The
/// bufferevent owns the descriptor: if evhttp closed it before this reference is dropped, a new connection could get the same descriptor while
/// the events of the old one are still registered for it.
struct HttpFrontend::Connection {
    HttpFrontend *owner = nullptr;
    bufferevent *events = nullptr;
    CallerConnectionId id;
    std::size_t maxInput = 0; ///< Bytes that the input buffer needs for a request within the limits of this connection.
    bool isResponding = false; ///< Whether the response in the output buffer is one of this class, and not an error of evhttp.
};

/// A request that waits for its response.
struct HttpFrontend::PendingRequest {
    HttpFrontend *owner = nullptr;
    evhttp_request *request = nullptr;
    HttpCallPtr call;
    std::unique_ptr<EventWatch> closeWatch;
};

HttpFrontend::HttpFrontend(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler)
    : m_loop(loop)
    , m_settings(settings)
    , m_handler(std::move(handler))
    , m_callerConnections(settings.connections ? settings.connections : unboundedConnections(settings))
{
}

Result<std::unique_ptr<HttpFrontend>> HttpFrontend::create(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler)
{
    std::unique_ptr<HttpFrontend> frontend(new HttpFrontend(loop, settings, std::move(handler)));
    const auto address = parseSocketAddress(settings.address);
    frontend->m_server = evhttp_new(loop.base());
    evhttp *server = frontend->m_server;
    evhttp_bound_socket *bound = address && server != nullptr ? evhttp_bind_socket_with_handle(server, address->host.c_str(), address->port) : nullptr;
    if (bound == nullptr) {
        return Error{ErrorKind::Unavailable, "can't listen on " + settings.address, "check http.address and that no other process listens there"};
    }
    frontend->m_boundSocket = bound;
    if (const std::size_t bytes = frontend->m_callerConnections->budget().socketBufferBytes; bytes > 0) {
        limitSocketBuffers(evhttp_bound_socket_get_fd(bound), bytes);
    }
    frontend->applyLimits();
    evhttp_set_allowed_methods(server, allowedMethods);
    evhttp_set_default_content_type(server, nullptr);
    evhttp_set_gencb(
        server, [](evhttp_request *request, void *self) { static_cast<HttpFrontend *>(self)->onRequest(request); }, frontend.get());
    evhttp_set_bevcb(
        server, [](event_base *, void *self) { return static_cast<HttpFrontend *>(self)->acceptConnection(); }, frontend.get());
    frontend->m_enforceTimer = EventWatch::timer(loop, [self = frontend.get()] { self->enforceLimits(); });
    frontend->m_errorPageWatch = EventWatch::timer(loop, [self = frontend.get()] { self->replaceErrorPages(); });
    frontend->m_sweepTimer = EventWatch::repeating(loop, sweepInterval, [self = frontend.get()] { self->enforceLimits(); });
    return frontend;
}

HttpFrontend::~HttpFrontend()
{
    // Freeing a connection invokes its close callback, whose PendingRequest object no longer exists by then.
    for (const auto &[pending, owned] : m_pending) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(pending->request), nullptr, nullptr);
        pending->closeWatch.reset();
    }
    for (const auto &[pending, owned] : std::exchange(m_pending, {})) {
        owned->call->disconnect(); // Releases grants and the objects that hold the call.
    }
    if (m_server != nullptr) {
        evhttp_free(m_server);
    }
    while (!m_connections.empty()) {
        release(m_connections.begin()->first);
    }
}

void HttpFrontend::setLimits(std::size_t maxHeaders, std::size_t maxBody, Duration clientIdle)
{
    m_settings.maxHeaders = maxHeaders;
    m_settings.maxBody = maxBody;
    m_settings.clientIdle = clientIdle;
    applyLimits();
}

void HttpFrontend::applyLimits()
{
    evhttp_set_max_body_size(m_server, static_cast<ev_ssize_t>(m_settings.maxBody));
    evhttp_set_max_headers_size(m_server, static_cast<ev_ssize_t>(m_settings.maxHeaders));
    const std::int64_t idle = std::max<std::int64_t>(m_settings.clientIdle.count(), 1);
    const timeval timeout{idle / millisecondsPerSecond, (idle % millisecondsPerSecond) * microsecondsPerMillisecond};
    evhttp_set_timeout_tv(m_server, &timeout);
}

bufferevent *HttpFrontend::acceptConnection()
{
    auto owned = std::make_unique<Connection>();
    Connection *connection = owned.get();
    connection->owner = this;
    connection->events = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connection->maxInput = m_settings.maxHeaders + m_settings.maxBody + inputMargin;
    bufferevent *events = connection->events;
    bufferevent_incref(events);
    bufferevent_setwatermark(events, EV_READ, 0, connection->maxInput);
    evbuffer_add_cb(
        bufferevent_get_input(events),
        [](evbuffer *, const evbuffer_cb_info *change, void *argument) {
            const auto *changed = static_cast<Connection *>(argument);
            changed->owner->onInput(*changed, *change);
        },
        connection);
    evbuffer_add_cb(
        bufferevent_get_output(events),
        [](evbuffer *output, const evbuffer_cb_info *change, void *argument) {
            auto *changed = static_cast<Connection *>(argument);
            changed->owner->onOutput(*changed, output, *change);
        },
        connection);
    connection->id = m_callerConnections->add(m_loop.now(), [this, events](CloseReason reason) { closeConnection(events, reason); });
    m_connections.emplace(events, std::move(owned));
    if (++m_acceptedInTurn >= maxAcceptsPerTurn) {
        evconnlistener_disable(evhttp_bound_socket_get_listener(m_boundSocket));
    }
    scheduleEnforcement();
    return events;
}

void HttpFrontend::scheduleEnforcement()
{
    // Starting a timer that has expired but was not handled yet would postpone it, in every turn of the event loop.
    if (!m_isEnforcementScheduled) {
        m_isEnforcementScheduled = true;
        m_enforceTimer->start(Duration(0));
    }
}

void HttpFrontend::enforceLimits()
{
    m_isEnforcementScheduled = false;
    m_enforceTimer->stop();
    releaseEnded();
    m_callerConnections->enforce(m_loop.now());
    if (m_acceptedInTurn >= maxAcceptsPerTurn && m_boundSocket != nullptr) {
        evconnlistener_enable(evhttp_bound_socket_get_listener(m_boundSocket));
    }
    m_acceptedInTurn = 0;
}

HttpFrontend::Connection *HttpFrontend::connectionOf(evhttp_request *request)
{
    const auto found = m_connections.find(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    return found == m_connections.end() ? nullptr : found->second.get();
}

void HttpFrontend::onInput(const Connection &connection, const evbuffer_cb_info &change)
{
    if (!isInUse(connection.events)) {
        // evhttp has freed the connection, but its bufferevent reads until releaseEnded() drops it.
        bufferevent_disable(connection.events, EV_READ);
        scheduleEnforcement();
    } else if (change.n_added > 0) {
        m_callerConnections->onReceived(connection.id, change.n_added, m_loop.now());
        if (m_callerConnections->isOverBudget()) {
            scheduleEnforcement();
        }
    }
}

void HttpFrontend::onOutput(Connection &connection, const evbuffer *output, const evbuffer_cb_info &change)
{
    if (!connection.isResponding && change.orig_size == 0 && change.n_added > 0) {
        const int status = statusOf(output);
        if (status >= firstErrorStatus) {
            // evhttp rejects the request without calling onRequest(), and closes the connection after the response.
            connection.isResponding = true;
            const RejectReason reason = status == httpPayloadTooLarge ? RejectReason::BodyTooLarge : RejectReason::Malformed;
            m_callerConnections->onRejected(reason);
            m_callerConnections->onResponse(connection.id, m_loop.now());
            bufferevent_setwatermark(connection.events, EV_READ, 0, maxInputBehindResponse);
            logRateLimited(LogComponent::Http, LogLevel::Warning, toString(reason), std::string("a request was rejected: ") + toString(reason));
            m_errorPages.push_back(connection.events);
            m_errorPageWatch->activate(); // evhttp is still writing the page; nothing is sent before the loop waits for events.
        }
    }
    m_callerConnections->onOutput(connection.id, change.orig_size + change.n_added - change.n_deleted, m_loop.now());
}

void HttpFrontend::replaceErrorPages()
{
    for (bufferevent *events : std::exchange(m_errorPages, {})) {
        if (m_connections.count(events) == 0 || !isInUse(events)) {
            continue;
        }
        evbuffer *output = bufferevent_get_output(events);
        const int status = statusOf(output);
        if (status < firstErrorStatus) {
            continue; // A new connection at the address of one that has ended in this turn.
        }
        const std::string response = rejectionText(status);
        evbuffer_unfreeze(output, 1); // The bufferevent keeps others from removing what it is about to send.
        evbuffer_drain(output, evbuffer_get_length(output));
        evbuffer_freeze(output, 1);
        evbuffer_add(output, response.data(), response.size());
    }
}

void HttpFrontend::onResponseWritten(Connection &connection)
{
    connection.isResponding = false;
    m_callerConnections->onResponseWritten(connection.id, evbuffer_get_length(bufferevent_get_input(connection.events)), m_loop.now());
    bufferevent_setwatermark(connection.events, EV_READ, 0, connection.maxInput);
}

void HttpFrontend::closeConnection(bufferevent *events, CloseReason reason)
{
    if (isInUse(events)) {
        if (reason != CloseReason::Idle) {
            logRateLimited(LogComponent::Http, LogLevel::Warning, toString(reason), std::string("a caller's connection was closed: ") + toString(reason));
        }
        // evhttp frees a connection after a time-out without a response.
        bufferevent_trigger_event(events, BEV_EVENT_TIMEOUT | BEV_EVENT_READING, 0);
    }
    if (!isInUse(events)) {
        release(events);
    }
}

void HttpFrontend::releaseEnded()
{
    std::vector<bufferevent *> ended;
    for (const auto &[events, connection] : m_connections) {
        if (!isInUse(events)) {
            ended.push_back(events);
        }
    }
    for (bufferevent *events : ended) {
        release(events);
    }
}

void HttpFrontend::release(bufferevent *events)
{
    const auto found = m_connections.find(events);
    if (found != m_connections.end()) {
        m_callerConnections->remove(found->second->id);
        m_connections.erase(found);
        bufferevent_decref(events);
    }
}

void HttpFrontend::onRequest(evhttp_request *request)
{
    HttpRequest incoming = readRequest(request, m_loop.now());
    m_bytesReceived += incoming.body.size() + incoming.target.size();
    evhttp_connection *connection = evhttp_request_get_connection(request);
    // The limits may have changed since the connection was opened.
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(m_settings.maxBody));
    evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(m_settings.maxHeaders));
    bool isAccepted = true;
    if (Connection *caller = connectionOf(request)) {
        caller->maxInput = m_settings.maxHeaders + m_settings.maxBody + inputMargin;
        const std::size_t leftBytes = evbuffer_get_length(bufferevent_get_input(caller->events));
        isAccepted = m_callerConnections->onRequest(caller->id, sizeOf(incoming), leftBytes, m_loop.now());
    }
    if (incoming.body.size() > m_settings.maxBody) {
        m_callerConnections->onRejected(RejectReason::BodyTooLarge);
        HttpResponse response = errorResponse(errorOfStatus(httpPayloadTooLarge));
        response.status = httpPayloadTooLarge;
        response.headers.emplace_back("Connection", "close");
        sendResponse(request, response);
        return;
    }
    if (!isAccepted) {
        m_callerConnections->onRejected(RejectReason::Overloaded);
        logRateLimited(
            LogComponent::Http, LogLevel::Warning, toString(RejectReason::Overloaded), "a request was rejected: the requests in progress hold too many bytes");
        sendResponse(request,
                     errorResponse({ErrorKind::LimitReached, "the requests in progress hold too much memory", "send the request to another daemon or later"}));
        return;
    }
    if (m_pending.size() >= m_settings.maxActive) {
        sendResponse(
            request,
            errorResponse({ErrorKind::LimitReached, "this daemon is at its limit of concurrent requests", "send the request to another daemon or later"}));
        return;
    }
    auto owned = std::make_unique<PendingRequest>();
    PendingRequest *pending = owned.get();
    pending->owner = this;
    pending->request = request;
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection *, void *argument) {
            auto *disconnected = static_cast<PendingRequest *>(argument);
            disconnected->owner->onClientDisconnect(disconnected);
        },
        pending);
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    // evhttp does not read while a request is handled, so it would detect a closed connection only when it writes. Freeing the
    // connection invokes its close callback, which calls onClientDisconnect().
    pending->closeWatch = EventWatch::closed(m_loop, descriptor, [connection] { evhttp_connection_free(connection); });
    pending->call = std::make_shared<HttpCall>(std::move(incoming), [this, pending](const HttpResponse &response) { reply(pending, response); });
    const HttpCallPtr call = pending->call;
    m_pending.emplace(pending, std::move(owned));
    m_handler(call);
}

void HttpFrontend::onClientDisconnect(PendingRequest *pending)
{
    const auto found = m_pending.find(pending);
    if (found == m_pending.end()) {
        return;
    }
    const std::unique_ptr<PendingRequest> owned = std::move(found->second);
    m_pending.erase(found);
    owned->call->disconnect();
}

void HttpFrontend::reply(PendingRequest *pending, const HttpResponse &response)
{
    const auto found = m_pending.find(pending);
    if (found == m_pending.end()) {
        return;
    }
    const std::unique_ptr<PendingRequest> owned = std::move(found->second);
    m_pending.erase(found);
    owned->closeWatch.reset();
    evhttp_connection_set_closecb(evhttp_request_get_connection(owned->request), nullptr, nullptr);
    sendResponse(owned->request, response);
}

void HttpFrontend::sendResponse(evhttp_request *request, const HttpResponse &response)
{
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : response.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (m_closing) {
        evhttp_remove_header(headers, "Connection");
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer *body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    m_bytesSent += response.body.size();
    if (Connection *caller = connectionOf(request)) {
        caller->isResponding = true;
        m_callerConnections->onResponse(caller->id, m_loop.now());
        bufferevent_setwatermark(caller->events, EV_READ, 0, maxInputBehindResponse);
        evhttp_request_set_on_complete_cb(
            request,
            [](evhttp_request *, void *argument) {
                auto *written = static_cast<Connection *>(argument);
                written->owner->onResponseWritten(*written);
            },
            caller);
    }
    evhttp_send_reply(request, response.status, nullptr, body);
    evbuffer_free(body);
}

void HttpFrontend::setClosing(bool closing)
{
    m_closing = closing;
}

void HttpFrontend::stopListening()
{
    if (m_boundSocket != nullptr) {
        evhttp_del_accept_socket(m_server, std::exchange(m_boundSocket, nullptr));
    }
}

void HttpFrontend::respondToAll(const HttpResponse &response)
{
    std::vector<HttpCallPtr> calls;
    calls.reserve(m_pending.size());
    for (const auto &[pending, owned] : m_pending) {
        calls.push_back(owned->call);
    }
    for (const HttpCallPtr &call : calls) {
        call->respond(response);
    }
}

std::size_t HttpFrontend::activeCalls() const
{
    const auto unwritten = std::count_if(
        m_connections.begin(), m_connections.end(), [](const auto &connection) { return connection.second->isResponding && isInUse(connection.first); });
    return m_pending.size() + static_cast<std::size_t>(unwritten);
}

std::uint64_t HttpFrontend::bytesReceived() const
{
    return m_bytesReceived;
}

std::uint64_t HttpFrontend::bytesSent() const
{
    return m_bytesSent;
}

} // namespace KingCupLadder
