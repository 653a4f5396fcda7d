// API client: tries the daemons in order and converts each response into a JSON body or a failure with an exit code.
#pragma once

#include "core/error.h"
#include "transport.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

using Json = nlohmann::ordered_json;

/// Exit codes of the process. They are documented in the help text, and scripts rely on them.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< A daemon refused the request; nothing was changed.
    Usage = 2, ///< The command line or an input file is invalid.
    Unreachable = 3, ///< No daemon answered; nothing was changed.
    Conflict = 4, ///< The state was changed concurrently; the request changed nothing.
    Unknown = 5, ///< The request was sent but not confirmed, or a change is not confirmed on every daemon.
};

/// Error message, remedy and exit code of a failed command.
struct Failure {
    ExitCode code = ExitCode::Refused;
    std::string message;
    std::string remedy; ///< Never empty.
};

/// Result of a request: the body of a successful response, or a failure.
struct Reply {
    Json body;
    std::optional<Failure> failure;
    std::string address; ///< Address of the daemon that answered; empty if none did.
};

/// Whether a request may be sent to another daemon after its response was lost.
enum class RetrySafety {
    Safe, ///< The request is idempotent.
    Unsafe,
};

class Client
{
public:
    Client(std::vector<std::string> addresses, std::string key, Transport transport);

    /// Sends the request to the daemons in order until one answers. A daemon that is unavailable and reports the request as
    /// "not run" is skipped.
    [[nodiscard]] Reply call(const std::string &method, const std::string &target, const Json &body = nullptr, RetrySafety retrySafety = RetrySafety::Safe);
    /// Sends the request to the daemon at @p address only.
    [[nodiscard]] Reply callDaemon(const std::string &address, const std::string &method, const std::string &target, const Json &body = nullptr);
    [[nodiscard]] const std::vector<std::string> &addresses() const;

private:
    /// Sends one request. Sets @p tryNextDaemon if the daemon gave no response or refused the request as "not run" because it is
    /// unavailable, and @p maybeSent if there is no response but the daemon may have received the request.
    [[nodiscard]] Reply
    sendRequest(const std::string &address, const std::string &method, const std::string &target, const Json &body, bool &tryNextDaemon, bool &maybeSent);

    std::vector<std::string> m_addresses; ///< The daemon that answered the latest request comes first.
    std::string m_key;
    Transport m_transport;
};

} // namespace KingCupLadder::Ctl
