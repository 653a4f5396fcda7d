// Command slo report, which queries the counts of every daemon.
#include "commands.h"
#include "fleet.h"
#include "sloreport.h"

#include <algorithm>
#include <fstream>
#include <memory>

namespace KingCupLadder::Ctl {

namespace {

struct SloOptions {
    std::string html;
};

struct DaemonEndpoint {
    std::string name; ///< Id of the daemon, or its address if the id is unknown.
    std::string address;
};

/// Returns the daemons that the fleet status lists with an HTTP address, or the configured addresses if it lists none.
std::vector<DaemonEndpoint> daemonEndpoints(CommandContext &context, SloReport &report)
{
    std::vector<DaemonEndpoint> found;
    const Reply status = fleetStatus(context, "daemon");
    if (!status.failure) {
        for (const Json &row : statusRows(status.body)) {
            const std::string address = textMember(row, "httpAddress");
            if (!address.empty()) {
                found.push_back({textMember(row, "daemon"), address});
            }
        }
        report.silent = unresponsiveDaemons(status.body);
    }
    if (found.empty()) {
        for (const std::string &address : context.client.addresses()) {
            found.push_back({address, address});
        }
    }
    return found;
}

Result<bool> writeHtml(const std::string &path, const SloReport &report)
{
    std::ofstream file(path);
    file << sloHtml(report, "kingcupladder service-level report");
    if (!file.flush()) {
        return Error{ErrorKind::InvalidInput, "cannot write " + path, "check that its directory exists and is writable"};
    }
    return true;
}

ExitCode report(CommandContext &context, const SloOptions &options)
{
    SloReport report;
    std::optional<Failure> lastFailure;
    for (const DaemonEndpoint &endpoint : daemonEndpoints(context, report)) {
        const Reply reply = context.client.callDaemon(endpoint.address, "GET", "/v1/slo");
        if (reply.failure) {
            report.silent.push_back(endpoint.name);
            lastFailure = reply.failure;
        } else {
            report.add(endpoint.name, reply.body);
        }
    }
    if (report.answered.empty() && lastFailure) {
        return context.fail(*lastFailure);
    }
    report.sort();
    context.print(report.toJson(), report.tableRows(), {"route", "team"});
    for (const std::string &daemon : report.silent) {
        context.note("no answer from " + daemon + "; its counts are not included");
    }
    if (!options.html.empty()) {
        const auto written = writeHtml(options.html, report);
        if (!written) {
            return context.fail({ExitCode::Usage, written.reason().message, written.reason().remedy});
        }
        context.note("wrote " + options.html);
    }
    return ExitCode::Ok;
}

} // namespace

void addSloCommands(CLI::App &app, const CommandSelector &select)
{
    const auto options = std::make_shared<SloOptions>();
    CLI::App *slo = addCommand(app, "slo", "Service-level objectives", "kingcupladderctl slo report");
    slo->require_subcommand(1);
    CLI::App *command =
        addCommand(*slo, "report", "How much of each route's error budget is used, over all daemons", "kingcupladderctl slo report --html slo.html");
    command->add_option("--html", options->html, "Also write one HTML page with a plot to this file");
    command->callback([select, options] { select([options](CommandContext &context) { return report(context, *options); }); });
}

} // namespace KingCupLadder::Ctl
