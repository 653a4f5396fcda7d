// Fleet-wide queries: status topics of all daemons and the rollout of configuration versions.
#pragma once

#include "context.h"

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// Requests a status topic from every daemon through one of them (GET /v1/status?scope=fleet&topic=T).
[[nodiscard]] Reply fleetStatus(CommandContext &context, const std::string &topic);

/// Flattens the status of all daemons into rows, each with the member "daemon". A daemon whose status is one list contributes a
/// row for each item; any other status is one row.
[[nodiscard]] Json statusRows(const Json &status);

/// Returns the ids of the daemons that did not answer.
[[nodiscard]] std::vector<std::string> unresponsiveDaemons(const Json &status);

/// Configuration whose version is tracked.
enum class ConfigDocument {
    Tables,
    Keys,
};

/// Polls all daemons until the version is in force on each of them or the wait time of the context has passed, then prints the
/// state of every daemon. In the structured formats, the members of @p result are part of the same document. Returns
/// ExitCode::Unknown if a daemon does not have the version yet or does not answer, otherwise ExitCode::Ok.
[[nodiscard]] ExitCode reportRollout(CommandContext &context, ConfigDocument document, std::uint64_t version, Json result = Json::object());

} // namespace KingCupLadder::Ctl
