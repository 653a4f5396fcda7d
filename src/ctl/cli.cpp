// Parses the global options and dispatches to the selected subcommand.
#include "cli.h"

#include "commands.h"

#include <algorithm>

namespace KingCupLadder::Ctl {

namespace {

const char *const exitCodeHelp = "Exit codes: 0 success; 1 refused; 2 invalid command line or input file; 3 no daemon answered; 4 conflict: the state was\n"
                                 "changed concurrently; 5 outcome unknown, or a change is not confirmed on every daemon.\n"
                                 "Example: kingcupladderctl --daemon 10.0.0.1:8080 daemons";

struct GlobalOptions {
    ConnectOptions connect;
    std::string output = "table";
    std::int64_t timeoutMs = 10000;
    std::int64_t waitMs = 15000;
};

void addGlobalOptions(CLI::App &app, GlobalOptions &options)
{
    app.add_option("-d,--daemon", options.connect.daemons, "Address ip:port of a daemon; repeat the option to add fallback daemons")->take_all();
    app.add_option("--key", options.connect.key, "Operator or team key; set KINGCUPLADDER_KEY instead to keep it out of process lists");
    app.add_option("--config", options.connect.configFile, "YAML file with \"daemons\" and \"key\" (default: ~/.config/kingcupladder/ctl.yaml)");
    app.add_option("-o,--output", options.output, "table, json or yaml")->check(CLI::IsMember({"table", "json", "yaml"}));
    app.add_option("--timeout-ms", options.timeoutMs, "Timeout of one request in ms")->check(CLI::PositiveNumber);
    app.add_option("--wait-ms", options.waitMs, "How long to wait, in ms, for a change to be in force on every daemon")->check(CLI::NonNegativeNumber);
}

OutputFormat formatOf(const std::string &name)
{
    if (name == "json") {
        return OutputFormat::JsonText;
    }
    return name == "yaml" ? OutputFormat::Yaml : OutputFormat::Table;
}

ExitCode runCommand(const Command &command, const GlobalOptions &options, bool needsDaemon, Dependencies &dependencies)
{
    const auto settings = connectSettings(options.connect, dependencies.environment);
    if (!settings && needsDaemon) {
        dependencies.err << "error: " << settings.reason().text() << "\n";
        return ExitCode::Usage;
    }
    const ConnectSettings connect = settings ? settings.value() : ConnectSettings{};
    const ProgressCallback progress = [&dependencies](const std::string &what, Duration elapsed) {
        dependencies.err << what << " (" << durationText(static_cast<double>(elapsed.count())) << ")\n";
    };
    Client client(connect.daemons, connect.key, dependencies.transport(Duration(options.timeoutMs), progress));
    CommandContext context{dependencies, client, formatOf(options.output), Duration(options.waitMs)};
    return command(context);
}

} // namespace

CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &description, const std::string &example)
{
    CLI::App *command = parent.add_subcommand(name, description);
    command->footer("Example: " + example);
    command->fallthrough();
    return command;
}

int runCommandLine(const std::vector<std::string> &arguments, Dependencies &dependencies)
{
    CLI::App app("Operates a kingcupladder fleet and submits jobs to it", "kingcupladderctl");
    app.footer(exitCodeHelp);
    app.require_subcommand(1);
    GlobalOptions options;
    addGlobalOptions(app, options);
    Command selected;
    const CommandSelector select = [&selected](Command command) { selected = std::move(command); };
    addTablesCommands(app, select);
    addKeysCommands(app, select);
    addJobsCommands(app, select);
    addViewCommands(app, select);
    addSloCommands(app, select);
    try {
        app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::ParseError &error) {
        const bool isHelp = app.exit(error, dependencies.out, dependencies.err) == 0;
        return static_cast<int>(isHelp ? ExitCode::Ok : ExitCode::Usage);
    }
    // "tables check" works without a daemon.
    const bool isCheck = app.got_subcommand("tables") && app.get_subcommand("tables")->got_subcommand("check");
    return static_cast<int>(runCommand(selected, options, !isCheck, dependencies));
}

} // namespace KingCupLadder::Ctl
