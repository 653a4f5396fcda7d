// HTTP headers, error responses, percent-encoding and socket addresses.
#include "httptypes.h"

#include "jsonfields.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace KingCupLadder {

namespace {

constexpr Duration defaultRetryAfter{1000};
constexpr std::int64_t millisecondsPerSecond = 1000;

int httpStatusFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return httpOk;
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::NotAllowed:
        return 403;
    case ErrorKind::NotFound:
        return httpNotFound;
    case ErrorKind::Conflict:
        return httpConflict;
    case ErrorKind::NeverFits:
        return 422;
    case ErrorKind::LimitReached:
        return 429;
    case ErrorKind::NoRoom:
    case ErrorKind::Unavailable:
    case ErrorKind::Stopping:
        return httpUnavailable;
    case ErrorKind::OutcomeUnknown:
        return 502;
    case ErrorKind::Timeout:
        return 504;
    }
    return 500;
}

/// Returns whether the same request can succeed later.
bool isRetryable(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::LimitReached:
    case ErrorKind::NoRoom:
    case ErrorKind::Unavailable:
    case ErrorKind::Stopping:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::Timeout:
        return true;
    default:
        return false;
    }
}

std::optional<int> hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    if (lower >= 'a' && lower <= 'f') {
        return lower - 'a' + 10;
    }
    return std::nullopt;
}

} // namespace

bool equalsIgnoreCase(const std::string &a, const std::string &b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string headerValue(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoreCase(key, name)) {
            return value;
        }
    }
    return {};
}

HttpCall::HttpCall(HttpRequest request, Responder responder) : m_request(std::move(request)), m_responder(std::move(responder)) { }

const HttpRequest &HttpCall::request() const
{
    return m_request;
}

void HttpCall::respond(const HttpResponse &response)
{
    const Responder responder = std::exchange(m_responder, nullptr);
    m_disconnectHandler = nullptr;
    if (responder) {
        responder(response);
    }
}

void HttpCall::setDisconnectHandler(std::function<void()> handler)
{
    m_disconnectHandler = std::move(handler);
}

void HttpCall::disconnect()
{
    m_responder = nullptr;
    const auto handler = std::exchange(m_disconnectHandler, nullptr);
    if (handler) {
        handler();
    }
}

bool HttpCall::isDone() const
{
    return !m_responder;
}

HttpResponse errorResponse(const Error &error, ExecutionStatus ran, Duration retryAfter)
{
    if (retryAfter <= Duration(0) && isRetryable(error.kind)) {
        retryAfter = defaultRetryAfter;
    }
    HttpResponse response = jsonResponse(httpStatusFor(error.kind),
                                         dumpJson({{"error", toString(error.kind)},
                                                   {"message", error.message},
                                                   {"remedy", error.remedy},
                                                   {"ran", toString(ran)},
                                                   {"retryAfterMs", retryAfter.count()}}));
    if (retryAfter > Duration(0)) {
        const std::int64_t seconds = (retryAfter.count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string percentEncode(const std::string &text)
{
    static const char digits[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

std::optional<std::string> percentDecode(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        const auto high = i + 2 < text.size() ? hexDigit(text[i + 1]) : std::nullopt;
        const auto low = i + 2 < text.size() ? hexDigit(text[i + 2]) : std::nullopt;
        if (!high || !low) {
            return std::nullopt;
        }
        out += static_cast<char>(*high * 16 + *low);
        i += 2;
    }
    return out;
}

std::optional<SocketAddress> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    SocketAddress address;
    address.host = text.substr(0, colon);
    if (address.host.front() == '[' && address.host.back() == ']') {
        address.host = address.host.substr(1, address.host.size() - 2);
    } else if (address.host.find(':') != std::string::npos) {
        return std::nullopt;
    }
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || address.port == 0 || address.host.empty()) {
        return std::nullopt;
    }
    return address;
}

} // namespace KingCupLadder
