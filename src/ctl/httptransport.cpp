// Synchronous HTTP requests over libevent; each request runs its own event loop.
#include "transport.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace KingCupLadder::Ctl {

namespace {

constexpr int millisecondsPerSecond = 1000;

struct PendingRequest {
    event_base *base = nullptr;
    HttpOutcome outcome;
    std::string description;
    Duration elapsed{0};
    const ProgressCallback *progress = nullptr;
};

void onResponse(evhttp_request *request, void *argument)
{
    auto *pending = static_cast<PendingRequest *>(argument);
    event_base_loopbreak(pending->base);
    if (request == nullptr) {
        // libevent reports a failure of an established connection, including a timeout, as a null request.
        pending->outcome.maybeSent = true;
        if (pending->outcome.failure.empty()) {
            pending->outcome.failure = "the connection was closed before a response arrived";
        }
        return;
    }
    pending->outcome.status = evhttp_request_get_response_code(request);
    if (pending->outcome.status == 0) {
        // libevent reports a failed connection as a request with status 0.
        pending->outcome.failure = "no connection";
        return;
    }
    evbuffer *buffer = evhttp_request_get_input_buffer(request);
    pending->outcome.body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, pending->outcome.body.data(), pending->outcome.body.size());
}

void onError(evhttp_request_error error, void *argument)
{
    if (error == EVREQ_HTTP_TIMEOUT) {
        static_cast<PendingRequest *>(argument)->outcome.failure = "the request timed out";
    }
}

void onProgressTimer(evutil_socket_t /*socket*/, short /*events*/, void *argument)
{
    auto *pending = static_cast<PendingRequest *>(argument);
    pending->elapsed += Duration(millisecondsPerSecond);
    if (*pending->progress) {
        (*pending->progress)(pending->description, pending->elapsed);
    }
}

evhttp_cmd_type evhttpMethod(const std::string &method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

bool startRequest(evhttp_connection *connection, const HttpCall &call, PendingRequest &pending)
{
    evhttp_request *request = evhttp_request_new(&onResponse, &pending);
    evhttp_request_set_error_cb(request, &onError);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", call.address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    if (!call.key.empty()) {
        evhttp_add_header(headers, "Authorization", ("Bearer " + call.key).c_str());
    }
    if (!call.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }
    return evhttp_make_request(connection, request, evhttpMethod(call.method), call.target.c_str()) == 0;
}

HttpOutcome sendRequest(event_base *base, const HttpCall &call, Duration timeout, const ProgressCallback &progress)
{
    const std::size_t colon = call.address.rfind(':');
    if (colon == std::string::npos) {
        return HttpOutcome{0, {}, false, "the address has no port"};
    }
    const auto port = static_cast<std::uint16_t>(std::strtoul(call.address.c_str() + colon + 1, nullptr, 10));
    PendingRequest pending{base, {}, "waiting for " + call.address, Duration(0), &progress};
    evhttp_connection *connection = evhttp_connection_base_new(base, nullptr, call.address.substr(0, colon).c_str(), port);
    const timeval limit{timeout.count() / millisecondsPerSecond, (timeout.count() % millisecondsPerSecond) * millisecondsPerSecond};
    evhttp_connection_set_timeout_tv(connection, &limit);
    evhttp_connection_set_retries(connection, 0);
    event *progressTimer = event_new(base, -1, EV_PERSIST, &onProgressTimer, &pending);
    const timeval interval{1, 0};
    event_add(progressTimer, &interval);
    if (startRequest(connection, call, pending)) {
        event_base_dispatch(base);
    } else {
        pending.outcome.failure = "no connection";
    }
    event_free(progressTimer);
    evhttp_connection_free(connection);
    return pending.outcome;
}

} // namespace

Transport libeventTransport(Duration timeout, ProgressCallback progress)
{
    return [timeout, progress = std::move(progress)](const HttpCall &call) {
        const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), &event_base_free);
        return sendRequest(base.get(), call, timeout, progress);
    };
}

std::string urlEncoded(const std::string &text)
{
    std::string encoded;
    for (unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
            encoded += static_cast<char>(c);
            continue;
        }
        std::array<char, 4> escape{};
        std::snprintf(escape.data(), escape.size(), "%%%02X", static_cast<unsigned>(c));
        encoded += escape.data();
    }
    return encoded;
}

} // namespace KingCupLadder::Ctl
