// evhttp client connection with a timeout for the whole exchange. Records whether any byte was sent.
#include "httpconnection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <array>
#include <optional>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxResponseHeaderBytes = 64UL * 1024;

std::optional<evhttp_cmd_type> evhttpCommand(const std::string &method)
{
    static const std::array<std::pair<const char *, evhttp_cmd_type>, 8> all{{{"GET", EVHTTP_REQ_GET},
                                                                              {"POST", EVHTTP_REQ_POST},
                                                                              {"PUT", EVHTTP_REQ_PUT},
                                                                              {"DELETE", EVHTTP_REQ_DELETE},
                                                                              {"HEAD", EVHTTP_REQ_HEAD},
                                                                              {"OPTIONS", EVHTTP_REQ_OPTIONS},
                                                                              {"PATCH", EVHTTP_REQ_PATCH},
                                                                              {"TRACE", EVHTTP_REQ_TRACE}}};
    for (const auto &[name, command] : all) {
        if (method == name) {
            return command;
        }
    }
    return std::nullopt;
}

HttpResponse readResponse(evhttp_request *request)
{
    HttpResponse response;
    response.status = evhttp_request_get_response_code(request);
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        response.headers.emplace_back(header->key, header->value);
    }
    evbuffer *body = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, response.body.data(), response.body.size());
    return response;
}

} // namespace

HttpConnection::HttpConnection(EventLoop &loop, const SocketAddress &address, std::size_t maxBody)
    : m_loop(loop), m_lifetimeToken(std::make_shared<int>(0)), m_host(address.host)
{
    m_connection = evhttp_connection_base_new(loop.base(), nullptr, address.host.c_str(), address.port);
    if (m_connection == nullptr) {
        return;
    }
    evhttp_connection_set_max_body_size(m_connection, static_cast<ev_ssize_t>(maxBody));
    evhttp_connection_set_max_headers_size(m_connection, maxResponseHeaderBytes);
    evhttp_connection_set_retries(m_connection, 0);
    evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection));
    evbuffer_add_cb(output, &HttpConnection::onOutput, this);
    m_timer = EventWatch::timer(loop, [this] {
        const bool sent = m_byteSent;
        close();
        finish(ClientResult{ClientResult::Kind::TimedOut, sent, {}});
    });
}

HttpConnection::~HttpConnection()
{
    m_callback = nullptr;
    close();
}

void HttpConnection::onOutput(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *argument)
{
    // Bytes leave the output buffer when the kernel accepts them.
    auto *self = static_cast<HttpConnection *>(argument);
    if (info->n_deleted > 0) {
        self->m_byteSent = true;
        self->m_traffic.bytesSent += info->n_deleted;
    }
}

void HttpConnection::send(const ClientRequest &request, Callback callback)
{
    m_callback = std::move(callback);
    m_acceptsResponse = request.acceptsResponse;
    m_byteSent = false;
    const auto command = evhttpCommand(request.method);
    evhttp_request *outgoing = command && isUsable()
        ? evhttp_request_new([](evhttp_request *answer, void *self) { static_cast<HttpConnection *>(self)->onResponse(answer); }, this)
        : nullptr;
    if (outgoing == nullptr) {
        m_loop.defer([done = std::exchange(m_callback, nullptr)] { done(ClientResult{}); });
        return;
    }
    evkeyvalq *headers = evhttp_request_get_output_headers(outgoing);
    if (headerValue(request.headers, "Host").empty()) {
        evhttp_add_header(headers, "Host", m_host.c_str());
    }
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (!request.body.empty()) {
        evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(), request.body.size());
    }
    m_timer->start(request.timeout);
    // On some immediate errors evhttp has already reported the failure to onResponse(). Taking m_callback here keeps the deferred
    // finish() from calling it a second time.
    if (evhttp_make_request(m_connection, outgoing, *command, request.target.c_str()) != 0 && m_callback) {
        const Callback done = std::exchange(m_callback, nullptr);
        close();
        m_loop.defer([done] { done(ClientResult{}); });
    }
}

void HttpConnection::onResponse(evhttp_request *request)
{
    // A null request or status 0 means that the connection could not be opened or was lost.
    const bool answered = request != nullptr && evhttp_request_get_response_code(request) != 0;
    ClientResult result{answered ? ClientResult::Kind::Answered : ClientResult::Kind::Failed, m_byteSent, {}};
    m_timer->stop();
    if (answered) {
        result.response = readResponse(request);
        result.byteSent = true;
        m_traffic.bytesReceived += result.response.body.size();
    }
    if (answered && m_acceptsResponse && !m_acceptsResponse(result.response)) {
        result = ClientResult{ClientResult::Kind::Failed, true, {}};
    }
    if (result.kind == ClientResult::Kind::Failed || equalsIgnoreCase(headerValue(result.response.headers, "Connection"), "close")) {
        // evhttp still uses the connection after this callback, so it is freed later. Its only request has ended, so freeing it
        // invokes no callback.
        m_loop.dispose([closing = detach()] { evhttp_connection_free(closing); });
    }
    // Deferred, so that the callback may destroy this object.
    m_loop.defer([this, alive = std::weak_ptr<int>(m_lifetimeToken), result = std::move(result)] {
        if (!alive.expired()) {
            finish(result);
        }
    });
}

void HttpConnection::finish(const ClientResult &result)
{
    const Callback done = std::exchange(m_callback, nullptr);
    if (done) {
        done(result);
    }
}

bool HttpConnection::abort()
{
    m_callback = nullptr;
    const bool sent = m_byteSent;
    close();
    return sent;
}

evhttp_connection *HttpConnection::detach()
{
    evhttp_connection *closing = std::exchange(m_connection, nullptr);
    evbuffer_remove_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(closing)), &HttpConnection::onOutput, this);
    return closing;
}

void HttpConnection::close()
{
    if (m_timer) {
        m_timer->stop();
    }
    if (m_connection != nullptr) {
        evhttp_connection_free(detach()); // Also frees a request in progress, without invoking its callback.
    }
}

bool HttpConnection::isBusy() const
{
    return static_cast<bool>(m_callback);
}

bool HttpConnection::isUsable() const
{
    return m_connection != nullptr;
}

const TrafficCounters &HttpConnection::traffic() const
{
    return m_traffic;
}

} // namespace KingCupLadder
