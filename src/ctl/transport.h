// HTTP requests to a daemon, behind a function type so that tests run commands without a network.
#pragma once

#include "core/units.h"

#include <functional>
#include <string>

namespace KingCupLadder::Ctl {

struct HttpCall {
    std::string address; ///< "ip:port" of the daemon.
    std::string method;
    std::string target; ///< Path and query, encoded.
    std::string body;
    std::string key; ///< Sent as a bearer token unless it is empty.
};

struct HttpOutcome {
    int status = 0; ///< 0 if no complete response was received.
    std::string body;
    bool maybeSent = false; ///< If status is 0: whether the daemon may have received the request.
    std::string failure; ///< If status is 0: the reason.
};

using Transport = std::function<HttpOutcome(const HttpCall &)>;

/// Called about once a second while a request is in progress.
using ProgressCallback = std::function<void(const std::string &what, Duration elapsed)>;

/// Returns a transport over libevent whose requests return within @p timeout.
[[nodiscard]] Transport libeventTransport(Duration timeout, ProgressCallback progress);

/// Percent-encodes everything but letters, digits and "-._~".
[[nodiscard]] std::string urlEncoded(const std::string &text);

} // namespace KingCupLadder::Ctl
