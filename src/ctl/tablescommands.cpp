// Commands tables show, check, diff and apply.
#include "commands.h"
#include "fleet.h"
#include "linediff.h"

#include <memory>

namespace KingCupLadder::Ctl {

namespace {

struct TableOptions {
    std::string routesFile;
    std::string poolsFile;
    std::optional<std::uint64_t> expectedVersion;
    std::string document; ///< Table to print; empty for both.
};

/// YAML texts of the tables.
struct TableTexts {
    std::string routes;
    std::string pools;
};

Failure usageFailure(const Error &error)
{
    return Failure{ExitCode::Usage, error.message, error.remedy};
}

void addFileOptions(CLI::App *command, TableOptions &options)
{
    command->add_option("routes", options.routesFile, "YAML file of the routes table")->required();
    command->add_option("pools", options.poolsFile, "YAML file of the pools table")->required();
}

Result<TableTexts> readTexts(const TableOptions &options)
{
    auto routes = readFile(options.routesFile);
    auto pools = readFile(options.poolsFile);
    if (!routes) {
        return routes.reason();
    }
    if (!pools) {
        return pools.reason();
    }
    return TableTexts{routes.value(), pools.value()};
}

/// Validates the tables and prints each issue with its file and line. Returns true if there are none.
bool validateTables(CommandContext &context, const TableOptions &options, const TableTexts &texts)
{
    const std::vector<TableIssue> issues = context.dependencies.checkTables(texts.routes, texts.pools);
    for (const TableIssue &issue : issues) {
        const std::string &file = issue.document == "pools" ? options.poolsFile : options.routesFile;
        context.note(file + ":" + std::to_string(issue.line) + ": " + issue.message + "; " + issue.remedy);
    }
    return issues.empty();
}

ExitCode failValidation(CommandContext &context)
{
    return context.fail({ExitCode::Usage, "the tables are not valid", "fix the issues listed above"});
}

ExitCode show(CommandContext &context, const TableOptions &options)
{
    const Reply reply = context.client.call("GET", "/v1/tables");
    if (reply.failure) {
        return context.fail(*reply.failure);
    }
    if (context.format != OutputFormat::Table) {
        printStructured(context.dependencies.out, reply.body, context.format);
        return ExitCode::Ok;
    }
    context.dependencies.out << "# version " << static_cast<std::uint64_t>(numberMember(reply.body, "version", 0)) << "\n";
    for (const char *name : {"routes", "pools"}) {
        if (options.document.empty() || options.document == name) {
            context.dependencies.out << "# " << name << "\n" << textMember(reply.body, name) << "\n";
        }
    }
    return ExitCode::Ok;
}

ExitCode check(CommandContext &context, const TableOptions &options)
{
    const auto texts = readTexts(options);
    if (!texts) {
        return context.fail(usageFailure(texts.reason()));
    }
    if (!validateTables(context, options, texts.value())) {
        return failValidation(context);
    }
    context.print({{"valid", true}}, Json::array({{{"tables", options.routesFile + ", " + options.poolsFile}, {"valid", true}}}), {"tables", "valid"});
    return ExitCode::Ok;
}

Json diffRows(const Json &current, const TableTexts &texts)
{
    Json rows = Json::array();
    const auto append = [&](const char *name, const std::string &text) {
        for (const DiffLine &line : lineDiff(textMember(current, name), text)) {
            rows.push_back({{"document", name}, {"line", line.line}, {"change", std::string(1, line.mark)}, {"text", line.text}});
        }
    };
    append("routes", texts.routes);
    append("pools", texts.pools);
    return rows;
}

void printDiff(CommandContext &context, const Json &rows, const Json &current)
{
    if (context.format != OutputFormat::Table) {
        printStructured(context.dependencies.out, {{"version", numberMember(current, "version", 0)}, {"changes", rows}}, context.format);
        return;
    }
    for (const Json &row : rows) {
        context.dependencies.out << textMember(row, "change") << " " << textMember(row, "document") << ":" << row.at("line").dump() << ": "
                                 << textMember(row, "text") << "\n";
    }
    if (rows.empty()) {
        context.dependencies.out << "no difference\n";
    }
}

ExitCode diff(CommandContext &context, const TableOptions &options)
{
    const auto texts = readTexts(options);
    if (!texts) {
        return context.fail(usageFailure(texts.reason()));
    }
    const Reply current = context.client.call("GET", "/v1/tables");
    if (current.failure) {
        return context.fail(*current.failure);
    }
    printDiff(context, diffRows(current.body, texts.value()), current.body);
    return ExitCode::Ok;
}

/// Determines whether an update whose response was lost took effect: returns the current version if it is newer than @p expected
/// and has exactly these texts.
std::optional<std::uint64_t> appliedVersion(CommandContext &context, const TableTexts &texts, std::uint64_t expected)
{
    const Reply latest = context.client.call("GET", "/v1/tables");
    const bool same = !latest.failure && textMember(latest.body, "routes") == texts.routes && textMember(latest.body, "pools") == texts.pools;
    const auto version = static_cast<std::uint64_t>(numberMember(latest.body, "version", 0));
    return same && version > expected ? std::optional(version) : std::nullopt;
}

Reply putTables(CommandContext &context, const TableTexts &texts, std::uint64_t expected)
{
    const Json body{{"expected", expected}, {"routes", texts.routes}, {"pools", texts.pools}};
    Reply reply = context.client.call("PUT", "/v1/tables", body, RetrySafety::Unsafe);
    if (reply.failure && reply.failure->code == ExitCode::Unknown) {
        if (const auto version = appliedVersion(context, texts, expected)) {
            return Reply{Json{{"version", *version}}, std::nullopt, {}};
        }
        reply.failure->remedy = "run \"kingcupladderctl tables diff\" to see whether it took effect";
    } else if (reply.failure && reply.failure->code == ExitCode::Conflict) {
        reply.failure->remedy = "run \"kingcupladderctl tables diff\", merge the other change and apply again";
    }
    return reply;
}

ExitCode apply(CommandContext &context, const TableOptions &options)
{
    const auto texts = readTexts(options);
    if (!texts) {
        return context.fail(usageFailure(texts.reason()));
    }
    if (!validateTables(context, options, texts.value())) {
        return failValidation(context);
    }
    const Reply current = context.client.call("GET", "/v1/tables");
    if (current.failure) {
        return context.fail(*current.failure);
    }
    const Json rows = diffRows(current.body, texts.value());
    context.note(std::to_string(rows.size()) + " changed lines");
    const std::uint64_t expected = options.expectedVersion.value_or(static_cast<std::uint64_t>(numberMember(current.body, "version", 0)));
    const Reply reply = putTables(context, texts.value(), expected);
    if (reply.failure) {
        return context.fail(*reply.failure);
    }
    const auto version = static_cast<std::uint64_t>(numberMember(reply.body, "version", 0));
    context.note("version " + std::to_string(version) + " is accepted");
    return reportRollout(context, ConfigDocument::Tables, version);
}

} // namespace

void addTablesCommands(CLI::App &app, const CommandSelector &select)
{
    const auto options = std::make_shared<TableOptions>();
    CLI::App *tables = addCommand(app, "tables", "Show, check, compare and apply the routes and pools tables", "kingcupladderctl tables show");
    tables->require_subcommand(1);
    const auto add = [&](const char *name, const char *description, const char *example, ExitCode (*run)(CommandContext &, const TableOptions &)) {
        CLI::App *command = addCommand(*tables, name, description, example);
        command->callback([select, options, run] { select([options, run](CommandContext &context) { return run(context, *options); }); });
        return command;
    };
    CLI::App *showCommand = add("show", "Print the tables in force", "kingcupladderctl tables show routes", &show);
    showCommand->add_option("document", options->document, "Print only this table")->check(CLI::IsMember({"routes", "pools"}));
    addFileOptions(add("check", "Check two files without a daemon", "kingcupladderctl tables check routes.yaml pools.yaml", &check), *options);
    addFileOptions(add("diff", "Compare two files with the tables in force", "kingcupladderctl tables diff routes.yaml pools.yaml", &diff), *options);
    CLI::App *applyCommand = add("apply", "Apply two files to the whole fleet", "kingcupladderctl tables apply routes.yaml pools.yaml --expected 12", &apply);
    addFileOptions(applyCommand, *options);
    applyCommand->add_option("--expected", options->expectedVersion, "Fail unless this version is in force (default: the version read before applying)");
}

} // namespace KingCupLadder::Ctl
