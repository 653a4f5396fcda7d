// Commands daemons, shards, vms, teams and quarantine, which print status topics of the whole fleet.
#include "commands.h"
#include "fleet.h"

namespace KingCupLadder::Ctl {

namespace {

/// Command that prints one status topic of all daemons.
struct View {
    const char *name;
    const char *topic;
    const char *description;
    std::vector<std::string> columns;
};

bool isQuarantined(const Json &row)
{
    const std::string phase = textMember(row, "phase");
    return phase == "quarantined" || phase == "probation";
}

ExitCode showView(CommandContext &context, const View &view, bool onlyQuarantined)
{
    const Reply reply = fleetStatus(context, view.topic);
    if (reply.failure) {
        return context.fail(*reply.failure);
    }
    Json rows = Json::array();
    for (const Json &row : statusRows(reply.body)) {
        if (!onlyQuarantined || isQuarantined(row)) {
            rows.push_back(row);
        }
    }
    const std::vector<std::string> silent = unresponsiveDaemons(reply.body);
    context.print({{view.name, rows}, {"silent", silent}}, rows, view.columns);
    for (const std::string &daemon : silent) {
        context.note("no answer from " + daemon + "; the output above is incomplete");
    }
    return ExitCode::Ok;
}

} // namespace

void addViewCommands(CLI::App &app, const CommandSelector &select)
{
    const std::vector<View> views{
        {"daemons", "daemon", "Daemons and the versions that are in force on them", {"daemon", "domain", "ready", "tables", "keys"}},
        {"shards", "shards", "Shards, their owners and queues", {"shard", "id", "daemon", "epoch", "queuedTasks", "free"}},
        {"vms", "vms", "VMs, what is committed on them and their state", {"id", "phase", "shard", "capacity", "committed", "tasks", "reason"}},
        {"teams", "teams", "Teams, what they have running and their limits", {"team", "shard", "running", "allotment", "queuedTasks"}},
        {"quarantine", "vms", "VMs in quarantine or on probation, with the reason", {"id", "phase", "reason", "shard"}},
    };
    for (const View &view : views) {
        const std::string name = view.name;
        CLI::App *command = addCommand(app, name, view.description, "kingcupladderctl " + name + " --output json");
        command->callback([select, view, name] { select([view, name](CommandContext &context) { return showView(context, view, name == "quarantine"); }); });
    }
}

} // namespace KingCupLadder::Ctl
