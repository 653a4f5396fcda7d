// Queries and parses the status of all daemons.
#include "fleet.h"

#include <algorithm>

namespace KingCupLadder::Ctl {

namespace {

constexpr Duration pollInterval{500};
constexpr Duration progressDelay{1000};

/// Returns the array of an object whose only member is an array, otherwise null. An array next to other members, such as the
/// live peers of a daemon, is a property of the object and not a list of rows.
const Json *singleList(const Json &object)
{
    return object.size() == 1 && object.begin()->is_array() ? &*object.begin() : nullptr;
}

void appendRow(Json &rows, const Json &daemon, const Json &members)
{
    Json row{{"daemon", daemon}};
    if (members.is_object()) {
        row.update(members);
        row["daemon"] = daemon;
    } else {
        row["value"] = members;
    }
    rows.push_back(std::move(row));
}

Json parsedStatus(const Json &part)
{
    if (!part.contains("status")) {
        return Json::object();
    }
    const Json &status = part.at("status");
    // The status of a peer may be forwarded as serialized JSON.
    const Json parsed = status.is_string() ? Json::parse(status.get<std::string>(), nullptr, false) : status;
    return parsed.is_discarded() ? status : parsed;
}

/// Returns the version in force. Daemons report it as "tables" and "keys"; "tablesVersion" and "keysVersion" take precedence if present,
/// but no status topic has them.
double versionOf(const Json &row, ConfigDocument document)
{
    const bool tables = document == ConfigDocument::Tables;
    const double direct = numberMember(row, tables ? "tables" : "keys", 0);
    return numberMember(row, tables ? "tablesVersion" : "keysVersion", direct);
}

/// Progress of a configuration version across the daemons.
struct RolloutView {
    Json rows = Json::array(); ///< {daemon, version, state}.
    std::size_t missing = 0; ///< Daemons on which the version is not confirmed.
};

RolloutView rolloutView(const Json &status, ConfigDocument document, std::uint64_t version)
{
    RolloutView view;
    for (const Json &row : statusRows(status)) {
        const double installedVersion = versionOf(row, document);
        const bool isApplied = installedVersion >= static_cast<double>(version);
        view.missing += isApplied ? 0 : 1;
        view.rows.push_back(
            {{"daemon", row.at("daemon")}, {"version", static_cast<std::uint64_t>(installedVersion)}, {"state", isApplied ? "in force" : "not yet"}});
    }
    for (const std::string &daemon : unresponsiveDaemons(status)) {
        ++view.missing;
        view.rows.push_back({{"daemon", daemon}, {"version", nullptr}, {"state", "no answer"}});
    }
    return view;
}

std::string progressText(const RolloutView &view, std::uint64_t version, Duration waited)
{
    const std::size_t all = view.rows.size();
    return "version " + std::to_string(version) + " is in force on " + std::to_string(all - view.missing) + " of " + std::to_string(all) + " daemons ("
        + durationText(static_cast<double>(waited.count())) + ")";
}

} // namespace

Reply fleetStatus(CommandContext &context, const std::string &topic)
{
    return context.client.call("GET", "/v1/status?scope=fleet&topic=" + urlEncoded(topic));
}

Json statusRows(const Json &status)
{
    Json rows = Json::array();
    for (const Json &part : listMember(status, "parts")) {
        const Json daemon = textMember(part, "daemon");
        const Json content = parsedStatus(part);
        const Json *list = content.is_array() ? &content : (content.is_object() ? singleList(content) : nullptr);
        if (list == nullptr) {
            appendRow(rows, daemon, content);
            continue;
        }
        for (const Json &item : *list) {
            appendRow(rows, daemon, item);
        }
    }
    return rows;
}

std::vector<std::string> unresponsiveDaemons(const Json &status)
{
    std::vector<std::string> names;
    for (const Json &daemon : listMember(status, "silent")) {
        names.push_back(cellText(daemon));
    }
    return names;
}

ExitCode reportRollout(CommandContext &context, ConfigDocument document, std::uint64_t version, Json result)
{
    const TimePoint start = context.dependencies.now();
    Reply reply = fleetStatus(context, "config");
    RolloutView view;
    while (true) {
        if (!reply.failure) {
            view = rolloutView(reply.body, document, version);
        }
        const Duration waited = context.dependencies.now() - start;
        const bool complete = !reply.failure && view.missing == 0 && !view.rows.empty();
        if (complete || waited >= context.rolloutWait) {
            break;
        }
        if (waited >= progressDelay) {
            context.note(progressText(view, version, waited));
        }
        context.dependencies.sleep(pollInterval);
        reply = fleetStatus(context, "config");
    }
    result["version"] = version;
    result["daemons"] = view.rows;
    context.print(result, view.rows, {"daemon", "version", "state"});
    if (view.rows.empty()) {
        const Failure none{
            ExitCode::Unknown, "the change was accepted, but no daemon reported whether it is in force", "run \"kingcupladderctl daemons\" later"};
        return context.fail(none);
    }
    if (view.missing == 0) {
        return ExitCode::Ok;
    }
    return context.fail({ExitCode::Unknown,
                         "version " + std::to_string(version) + " was accepted but is not in force on " + std::to_string(view.missing) + " daemons",
                         "run \"kingcupladderctl daemons\" again until every daemon shows the version"});
}

} // namespace KingCupLadder::Ctl
