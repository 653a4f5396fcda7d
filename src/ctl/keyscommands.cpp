// Commands keys give, list and withdraw.
#include "commands.h"
#include "fleet.h"

#include <memory>

namespace KingCupLadder::Ctl {

namespace {

struct KeyOptions {
    std::string team;
    std::string id;
};

ExitCode give(CommandContext &context, const KeyOptions &options)
{
    const std::string id = options.id.empty() ? options.team + "-" + context.dependencies.generateId() : options.id;
    Reply reply = context.client.call("POST", "/v1/keys", {{"team", options.team}, {"id", id}}, RetrySafety::Unsafe);
    if (reply.failure) {
        if (reply.failure->code == ExitCode::Unknown) {
            reply.failure->remedy = "run \"kingcupladderctl keys withdraw " + id + "\" and give a new key; the secret is not shown again";
        }
        return context.fail(*reply.failure);
    }
    const Json key{{"id", textMember(reply.body, "id")}, {"team", options.team}, {"secret", textMember(reply.body, "secret")}};
    // In the structured formats, the key is part of the one document that reportRollout() prints.
    if (context.format == OutputFormat::Table) {
        printTable(context.dependencies.out, Json::array({key}), {"id", "team", "secret"});
    }
    context.note("store the secret now; it is not shown again");
    return reportRollout(context, ConfigDocument::Keys, static_cast<std::uint64_t>(numberMember(reply.body, "version", 0)), key);
}

ExitCode list(CommandContext &context, const KeyOptions &options)
{
    const Reply reply = context.client.call("GET", "/v1/keys");
    if (reply.failure) {
        return context.fail(*reply.failure);
    }
    Json rows = Json::array();
    for (const Json &key : listMember(reply.body, "keys")) {
        if (options.team.empty() || textMember(key, "team") == options.team) {
            rows.push_back(key);
        }
    }
    context.print({{"version", numberMember(reply.body, "version", 0)}, {"keys", rows}}, rows, {"id", "team", "withdrawn"});
    return ExitCode::Ok;
}

ExitCode withdraw(CommandContext &context, const KeyOptions &options)
{
    const Reply reply = context.client.call("DELETE", "/v1/keys/" + urlEncoded(options.id));
    if (reply.failure) {
        return context.fail(*reply.failure);
    }
    double version = numberMember(reply.body, "version", 0);
    if (version == 0) {
        const Reply keys = context.client.call("GET", "/v1/keys");
        version = numberMember(keys.body, "version", 0);
    }
    context.note("key " + options.id + " is withdrawn");
    return reportRollout(context, ConfigDocument::Keys, static_cast<std::uint64_t>(version));
}

} // namespace

void addKeysCommands(CLI::App &app, const CommandSelector &select)
{
    const auto options = std::make_shared<KeyOptions>();
    CLI::App *keys = addCommand(app, "keys", "Give, list and withdraw team keys", "kingcupladderctl keys list");
    keys->require_subcommand(1);
    const auto add = [&](const char *name, const char *description, const char *example, ExitCode (*run)(CommandContext &, const KeyOptions &)) {
        CLI::App *command = addCommand(*keys, name, description, example);
        command->callback([select, options, run] { select([options, run](CommandContext &context) { return run(context, *options); }); });
        return command;
    };
    CLI::App *giveCommand = add("give", "Give a team a new key and print its secret once", "kingcupladderctl keys give payroll --id payroll-2", &give);
    giveCommand->add_option("team", options->team, "The team")->required();
    giveCommand->add_option("--id", options->id, "Public name of the key (default: generated)");
    CLI::App *listCommand = add("list", "List the keys without their secrets", "kingcupladderctl keys list --team payroll", &list);
    listCommand->add_option("--team", options->team, "Only keys of this team");
    CLI::App *withdrawCommand = add("withdraw", "Withdraw a key on the whole fleet", "kingcupladderctl keys withdraw payroll-1", &withdraw);
    withdrawCommand->add_option("id", options->id, "Public name of the key")->required();
}

} // namespace KingCupLadder::Ctl
