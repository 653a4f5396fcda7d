// Commands jobs submit, show, list, cancel and explain.
#include "commands.h"
#include "fleet.h"

#include <memory>

namespace KingCupLadder::Ctl {

namespace {

struct JobOptions {
    std::string id;
    std::string team;
    std::string route;
    std::string payload;
    std::string payloadFile;
    std::uint32_t tasks = 1;
    double cores = 0.0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;
    std::int64_t runMs = 0;
};

const std::vector<std::string> jobColumns{"id", "team", "route", "state", "tasks", "shard", "reason"};

Json submissionBody(const JobOptions &options, const std::string &payload)
{
    Json body{{"id", options.id}, {"route", options.route}, {"tasks", options.tasks}, {"payload", payload}};
    Json demand = Json::object();
    if (options.cores > 0) {
        constexpr double milliCoresPerCore = 1000.0;
        demand["milliCores"] = static_cast<std::int64_t>(options.cores * milliCoresPerCore);
    }
    if (options.memoryMiB > 0) {
        demand["memoryMiB"] = options.memoryMiB;
    }
    if (options.accelerators > 0) {
        demand["accelerators"] = options.accelerators;
    }
    if (!demand.empty()) {
        body["demand"] = demand;
    }
    if (options.runMs > 0) {
        body["runTime"] = std::to_string(options.runMs) + "ms";
    }
    return body;
}

ExitCode printJob(CommandContext &context, const Json &job)
{
    context.print(job, Json::array({job}), jobColumns);
    return ExitCode::Ok;
}

/// Looks up a job whose submission was not confirmed; empty if it is not stored.
std::optional<Json> findStoredJob(CommandContext &context, const std::string &id)
{
    const Reply reply = context.client.call("GET", "/v1/jobs/" + urlEncoded(id));
    return reply.failure ? std::nullopt : std::optional(reply.body);
}

ExitCode submit(CommandContext &context, const JobOptions &requested)
{
    JobOptions options = requested;
    if (options.id.empty()) {
        // A client-side id makes the submission idempotent.
        options.id = "ctl-" + context.dependencies.generateId();
    }
    if (!options.payloadFile.empty()) {
        const auto text = readFile(options.payloadFile);
        if (!text) {
            return context.fail({ExitCode::Usage, text.reason().message, text.reason().remedy});
        }
        options.payload = text.value();
    }
    Reply reply = context.client.call("POST", "/v1/jobs", submissionBody(options, options.payload));
    if (!reply.failure) {
        return printJob(context, reply.body);
    }
    if (reply.failure->code == ExitCode::Unknown) {
        if (const auto job = findStoredJob(context, options.id)) {
            return printJob(context, *job);
        }
        reply.failure->remedy = "run \"kingcupladderctl jobs show " + options.id + "\", or submit again with --id " + options.id;
    }
    return context.fail(*reply.failure);
}

ExitCode show(CommandContext &context, const JobOptions &options)
{
    const Reply reply = context.client.call("GET", "/v1/jobs/" + urlEncoded(options.id));
    return reply.failure ? context.fail(*reply.failure) : printJob(context, reply.body);
}

ExitCode list(CommandContext &context, const JobOptions &options)
{
    const std::string target = options.team.empty() ? "/v1/jobs" : "/v1/jobs?team=" + urlEncoded(options.team);
    const Reply reply = context.client.call("GET", target);
    if (reply.failure) {
        return context.fail(*reply.failure);
    }
    const Json jobs = reply.body.is_array() ? reply.body : listMember(reply.body, "jobs");
    Json rows = Json::array();
    for (const Json &job : jobs) {
        if (options.team.empty() || textMember(job, "team") == options.team) {
            rows.push_back(job);
        }
    }
    context.print({{"jobs", rows}}, rows, jobColumns);
    return ExitCode::Ok;
}

ExitCode cancel(CommandContext &context, const JobOptions &options)
{
    Reply reply = context.client.call("DELETE", "/v1/jobs/" + urlEncoded(options.id));
    if (reply.failure) {
        if (reply.failure->code == ExitCode::Unknown) {
            reply.failure->remedy = "run the same command again; cancelling a job twice is safe";
        }
        return context.fail(*reply.failure);
    }
    const Json result{{"id", options.id}, {"cancelled", true}};
    context.print(result, Json::array({result}), {"id", "cancelled"});
    return ExitCode::Ok;
}

ExitCode explain(CommandContext &context, const JobOptions &options)
{
    const Reply reply = fleetStatus(context, "explain/" + options.id);
    if (reply.failure) {
        return context.fail(*reply.failure);
    }
    Json rows = Json::array();
    for (const Json &row : statusRows(reply.body)) {
        // Daemons that do not own the job's shard return an empty object.
        if (row.size() > 1) {
            rows.push_back(row);
        }
    }
    const std::vector<std::string> silent = unresponsiveDaemons(reply.body);
    if (rows.empty() && silent.empty()) {
        return context.fail({ExitCode::Refused, "no daemon schedules job " + options.id, "run \"kingcupladderctl jobs show " + options.id + "\""});
    }
    context.print({{"explanations", rows}, {"silent", silent}}, rows, {"daemon"});
    for (const std::string &daemon : silent) {
        context.note("no answer from " + daemon);
    }
    return ExitCode::Ok;
}

void addSubmitOptions(CLI::App *command, JobOptions &options)
{
    command->add_option("--route", options.route, "Route of the job, from the routes table")->required();
    command->add_option("--id", options.id, "Id of the job; a job with the same id is admitted only once (default: generated)");
    command->add_option("--tasks", options.tasks, "Number of tasks")->check(CLI::PositiveNumber);
    command->add_option("--cores", options.cores, "Cores of each task (default: from the route)")->check(CLI::NonNegativeNumber);
    command->add_option("--memory", options.memoryMiB, "MiB of memory of each task (default: from the route)")->check(CLI::NonNegativeNumber);
    command->add_option("--accelerators", options.accelerators, "Accelerators of each task (default: from the route)")->check(CLI::NonNegativeNumber);
    command->add_option("--run-ms", options.runMs, "Expected run time of each task in ms")->check(CLI::NonNegativeNumber);
    CLI::Option *text = command->add_option("--payload", options.payload, "Payload text passed to the worker");
    command->add_option("--payload-file", options.payloadFile, "File whose contents are passed to the worker as payload")->excludes(text);
}

} // namespace

void addJobsCommands(CLI::App &app, const CommandSelector &select)
{
    const auto options = std::make_shared<JobOptions>();
    CLI::App *jobs = addCommand(app, "jobs", "Submit, show, list, cancel and explain jobs", "kingcupladderctl jobs list");
    jobs->require_subcommand(1);
    const auto add = [&](const char *name, const char *description, const char *example, ExitCode (*run)(CommandContext &, const JobOptions &)) {
        CLI::App *command = addCommand(*jobs, name, description, example);
        command->callback([select, options, run] { select([options, run](CommandContext &context) { return run(context, *options); }); });
        return command;
    };
    const auto addId = [&](CLI::App *command) { command->add_option("id", options->id, "Id of the job")->required(); };
    addSubmitOptions(add("submit", "Submit a job", "kingcupladderctl jobs submit --route settle --id week-32 --tasks 4 --cores 2 --memory 2048", &submit),
                     *options);
    addId(add("show", "Show one job", "kingcupladderctl jobs show week-32", &show));
    CLI::App *listCommand = add("list", "List unfinished jobs", "kingcupladderctl jobs list --team payroll", &list);
    listCommand->add_option("--team", options->team, "Only jobs of this team");
    addId(add("cancel", "Cancel a job", "kingcupladderctl jobs cancel week-32", &cancel));
    addId(add("explain", "Explain why a job is waiting or what it is doing", "kingcupladderctl jobs explain week-32", &explain));
}

} // namespace KingCupLadder::Ctl
