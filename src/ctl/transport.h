// One HTTP exchange with a daemon. A hook, so that tests run commands without a network.
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
    std::string key; ///< Sent as a bearer token; empty: none.
};

struct HttpOutcome {
    int status = 0; ///< 0: no complete answer came.
    std::string body;
    bool sent = false; ///< Without an answer: the daemon may have received the call.
    std::string failure; ///< Without an answer: why.
};

using Transport = std::function<HttpOutcome(const HttpCall &)>;

/// Called about once a second while a call takes longer than that.
using ProgressCallback = std::function<void(const std::string &what, Duration elapsed)>;

/// Calls over libevent; each returns within @p timeout.
[[nodiscard]] Transport libeventTransport(Duration timeout, ProgressCallback progress);

/// Percent-encodes everything but letters, digits and "-._~".
[[nodiscard]] std::string urlEncoded(const std::string &text);

} // namespace KingCupLadder::Ctl
