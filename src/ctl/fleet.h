// Views of the whole fleet: status topics of all daemons, and where a configuration version is in force.
#pragma once

#include "context.h"

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// GET /v1/status?scope=fleet&topic=T: the topic on every daemon, not only on the one that is asked.
[[nodiscard]] Reply fleetStatus(CommandContext &context, const std::string &topic);

/// The parts as one list of rows, each with the member "daemon". A part whose status holds one list gives a row for each item,
/// any other part gives one row.
[[nodiscard]] Json statusRows(const Json &status);

/// Names of the daemons that did not answer.
[[nodiscard]] std::vector<std::string> unresponsiveDaemons(const Json &status);

enum class ConfigDocument {
    Tables,
    Keys,
};

/// Asks every daemon until the version is in force on all or the wait is over, then prints where it is in force. In
/// the structured formats, the members of @p result are printed with it as one document. Ok, or
/// ExitCode::Unknown if a daemon does not have it yet or does not answer.
[[nodiscard]] ExitCode reportRollout(CommandContext &context, ConfigDocument document, std::uint64_t version, Json result = Json::object());

} // namespace KingCupLadder::Ctl
