// Failover between daemons and interpretation of their responses.
#include "client.h"

#include <algorithm>

namespace KingCupLadder::Ctl {

namespace {

constexpr int statusOk = 200;
constexpr int statusMultipleChoices = 300;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

std::string textOf(const Json &body, const char *name)
{
    const auto found = body.is_object() ? body.find(name) : body.end();
    return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}

Failure failureFromResponse(int status, const Json &body)
{
    Failure failure;
    failure.message = textOf(body, "message");
    failure.remedy = textOf(body, "remedy");
    if (failure.message.empty()) {
        failure.message = "the daemon returned HTTP status " + std::to_string(status);
    }
    if (failure.remedy.empty()) {
        failure.remedy = "check that the address belongs to a kingcupladder daemon, and read the daemon's log";
    }
    if (textOf(body, "ran") == "unknown") {
        failure.code = ExitCode::Unknown;
    } else if (status == statusConflict || textOf(body, "error") == "conflict") {
        failure.code = ExitCode::Conflict;
    }
    return failure;
}

Failure unreachableFailure(const std::string &tried)
{
    return Failure{
        ExitCode::Unreachable, "no daemon answered (" + tried + ")", "check the addresses given by --daemon, KINGCUPLADDER_DAEMONS or the config file"};
}

Failure lostResponseFailure(const std::string &address, const std::string &why)
{
    return Failure{ExitCode::Unknown, "the request was sent to " + address + ", but " + why, "check whether it took effect before repeating it"};
}

} // namespace

Client::Client(std::vector<std::string> addresses, std::string key, Transport transport)
    : m_addresses(std::move(addresses)), m_key(std::move(key)), m_transport(std::move(transport))
{
}

const std::vector<std::string> &Client::addresses() const
{
    return m_addresses;
}

Reply Client::sendRequest(
    const std::string &address, const std::string &method, const std::string &target, const Json &body, bool &tryNextDaemon, bool &maybeSent)
{
    const HttpOutcome outcome = m_transport({address, method, target, body.is_null() ? "" : body.dump(), m_key});
    tryNextDaemon = outcome.status == 0;
    maybeSent = outcome.maybeSent;
    if (outcome.status == 0) {
        return Reply{{}, outcome.maybeSent ? lostResponseFailure(address, outcome.failure) : unreachableFailure(address + ": " + outcome.failure), {}};
    }
    Json parsedBody = Json::parse(outcome.body, nullptr, false);
    if (outcome.status < statusOk || outcome.status >= statusMultipleChoices) {
        tryNextDaemon = outcome.status == statusUnavailable && textOf(parsedBody, "ran") == "not run";
        return Reply{{}, failureFromResponse(outcome.status, parsedBody), address};
    }
    if (parsedBody.is_discarded()) {
        return Reply{{},
                     Failure{ExitCode::Refused, address + " returned a response that is not JSON", "check that the address belongs to a kingcupladder daemon"},
                     address};
    }
    return Reply{std::move(parsedBody), std::nullopt, address};
}

Reply Client::call(const std::string &method, const std::string &target, const Json &body, RetrySafety retrySafety)
{
    std::string tried;
    std::optional<Failure> unknown;
    std::optional<Reply> refused;
    for (std::size_t i = 0; i < m_addresses.size(); ++i) {
        const std::string address = m_addresses[i];
        bool tryNextDaemon = false;
        bool maybeSent = false;
        Reply reply = sendRequest(address, method, target, body, tryNextDaemon, maybeSent);
        // A request that may have been executed is not repeated unless it is idempotent.
        if (!tryNextDaemon || (maybeSent && retrySafety == RetrySafety::Unsafe)) {
            // Moves the daemon that answered to the front. Without a response, reply.address is empty and the order stays.
            std::rotate(m_addresses.begin(), m_addresses.begin() + static_cast<std::ptrdiff_t>(reply.address.empty() ? 0 : i), m_addresses.end());
            return reply;
        }
        // A GET request changes nothing, so a lost response leaves no unknown outcome.
        if (maybeSent && method != "GET") {
            unknown = reply.failure;
        } else if (!reply.address.empty()) {
            refused = reply;
        }
        tried += (tried.empty() ? "" : ", ") + address;
    }
    if (unknown) {
        return Reply{{}, unknown, {}};
    }
    return refused ? *refused : Reply{{}, unreachableFailure(tried), {}};
}

Reply Client::callDaemon(const std::string &address, const std::string &method, const std::string &target, const Json &body)
{
    bool tryNextDaemon = false;
    bool maybeSent = false;
    return sendRequest(address, method, target, body, tryNextDaemon, maybeSent);
}

} // namespace KingCupLadder::Ctl
