// Calls to the fleet: tries the daemons in order and turns answers into a body or an error with an exit code.
#pragma once

#include "core/error.h"
#include "transport.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

using Json = nlohmann::ordered_json;

/// Documented in the help text; scripts rely on them.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< A daemon refused the call; nothing was changed.
    Usage = 2, ///< The command line or an input file is wrong.
    Unreachable = 3, ///< No daemon answered; nothing was changed.
    Conflict = 4, ///< Somebody else changed the state first; nothing was changed.
    Unknown = 5, ///< The call was sent but not confirmed, or a change is not confirmed on every daemon.
};

/// What a failed command prints and returns.
struct Failure {
    ExitCode code = ExitCode::Refused;
    std::string message;
    std::string remedy; ///< Never empty.
};

/// The body of a successful answer, or a failure.
struct Reply {
    Json body;
    std::optional<Failure> failure;
    std::string address; ///< Of the daemon that answered; empty if none did.
};

enum class RetrySafety {
    Safe, ///< A second execution changes nothing, so another daemon may be asked after a lost answer.
    Unsafe,
};

class Client
{
public:
    Client(std::vector<std::string> addresses, std::string key, Transport transport);

    /// Asks the daemons in order until one answers. A daemon that says "not run" because it is unavailable is passed over.
    [[nodiscard]] Reply call(const std::string &method, const std::string &target, const Json &body = nullptr, RetrySafety retrySafety = RetrySafety::Safe);
    /// Asks exactly one daemon.
    [[nodiscard]] Reply callDaemon(const std::string &address, const std::string &method, const std::string &target, const Json &body = nullptr);
    [[nodiscard]] const std::vector<std::string> &addresses() const;

private:
    [[nodiscard]] Reply
    sendRequest(const std::string &address, const std::string &method, const std::string &target, const Json &body, bool &tryNextDaemon, bool &sent);

    std::vector<std::string> m_addresses; ///< The daemon that answered last comes first.
    std::string m_key;
    Transport m_transport;
};

} // namespace KingCupLadder::Ctl
