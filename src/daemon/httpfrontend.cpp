// HTTP server on evhttp.
#include "httpfrontend.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <array>

namespace KingCupLadder {

namespace {

constexpr int allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;
constexpr std::int64_t millisecondsPerSecond = 1000;

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
    evbuffer_copyout(body, out.body.data(), out.body.size());
    return out;
}

} // namespace

/// A request that waits for its response.
struct HttpFrontend::PendingRequest {
    HttpFrontend *owner = nullptr;
    evhttp_request *request = nullptr;
    HttpCallPtr call;
    std::unique_ptr<EventWatch> closeWatch;
};

HttpFrontend::HttpFrontend(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler)
    : m_loop(loop), m_settings(settings), m_handler(std::move(handler))
{
}

Result<std::unique_ptr<HttpFrontend>> HttpFrontend::create(EventLoop &loop, const HttpFrontendSettings &settings, HttpHandler handler)
{
    std::unique_ptr<HttpFrontend> frontend(new HttpFrontend(loop, settings, std::move(handler)));
    const auto address = parseSocketAddress(settings.address);
    frontend->m_server = evhttp_new(loop.base());
    evhttp *server = frontend->m_server;
    if (!address || server == nullptr || evhttp_bind_socket(server, address->host.c_str(), address->port) != 0) {
        return Error{ErrorKind::Unavailable, "can't listen on " + settings.address, "check http.address and that no other process listens there"};
    }
    evhttp_set_max_body_size(server, static_cast<ev_ssize_t>(settings.maxBody));
    evhttp_set_max_headers_size(server, static_cast<ev_ssize_t>(settings.maxHeaders));
    evhttp_set_timeout(server, static_cast<int>(std::max<std::int64_t>(settings.clientIdle.count() / millisecondsPerSecond, 1)));
    evhttp_set_allowed_methods(server, allowedMethods);
    evhttp_set_default_content_type(server, nullptr);
    evhttp_set_gencb(
        server, [](evhttp_request *request, void *self) { static_cast<HttpFrontend *>(self)->onRequest(request); }, frontend.get());
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
}

void HttpFrontend::onRequest(evhttp_request *request)
{
    HttpRequest incoming = readRequest(request, m_loop.now());
    m_bytesReceived += incoming.body.size() + incoming.target.size();
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
    evhttp_connection *connection = evhttp_request_get_connection(request);
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
    evhttp_send_reply(request, response.status, nullptr, body);
    evbuffer_free(body);
}

void HttpFrontend::setClosing(bool closing)
{
    m_closing = closing;
}

std::size_t HttpFrontend::activeCalls() const
{
    return m_pending.size();
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
