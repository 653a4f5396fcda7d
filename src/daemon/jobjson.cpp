// JSON of job submissions and job records.
#include "jobjson.h"

#include "jsonfields.h"
#include "unitparsing.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::int64_t maxTasks = 100000;
constexpr std::size_t maxPayloadBytes = 256UL * 1024; // The payload is stored in the job's row.
constexpr std::size_t maxIdLength = 200;

Error invalid(const std::string &message, const std::string &remedy)
{
    return Error{ErrorKind::InvalidInput, message, remedy};
}

} // namespace

bool isValidId(const std::string &id)
{
    return !id.empty() && id.size() <= maxIdLength && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~'; });
}

Result<JobRequest> parseJobRequest(const std::string &body)
{
    static const char remedy[] = R"(send {"route": "...", "tasks": 1, "runTime": "90s", "payload": "..."})";
    const auto json = parseJson(body);
    if (!json) {
        return invalid("the body is not JSON", remedy);
    }
    std::string parseError;
    JsonFields fields(*json, parseError, "job");
    JobRequest request;
    request.id = fields.textOr("id", {});
    request.route = RouteName(fields.text("route"));
    const std::int64_t tasks = fields.numberOr("tasks", 1);
    request.payload = fields.textOr("payload", {});
    const std::string runTime = fields.textOr("runTime", {});
    if (!parseError.empty()) {
        return invalid(parseError, remedy);
    }
    if (tasks < 1 || tasks > maxTasks) {
        return invalid("job: field 'tasks' is out of range", "send a number from 1 to " + std::to_string(maxTasks));
    }
    request.tasks = static_cast<std::uint32_t>(tasks);
    if (request.payload.size() > maxPayloadBytes) {
        return invalid("job: field 'payload' is too large", "send at most 256 KiB and keep larger input in the object store");
    }
    if (!runTime.empty()) {
        const auto duration = parseDuration(runTime);
        if (!duration) {
            return invalid("job: field 'runTime' is not a duration", "send a whole number with ms, s, m or h, such as \"90s\"");
        }
        request.runTime = *duration;
    }
    request.demand = json->value("demand", nlohmann::json::object());
    return request;
}

Result<JobSpec> makeJobSpec(const JobRequest &request, const Route &route)
{
    std::string parseError;
    JsonFields demand(request.demand, parseError, "job.demand");
    JobSpec spec;
    spec.route = route.name;
    spec.pool = route.pool;
    spec.workClass = route.workClass;
    spec.priority = route.priority;
    spec.partition = route.partition;
    spec.allAtOnce = route.allAtOnce;
    spec.startOnce = route.startOnce;
    spec.taskCount = request.tasks;
    spec.demand.cpu = MilliCores(demand.numberOr("milliCores", route.demand.cpu.value()));
    spec.demand.memory = MebiBytes(demand.numberOr("memoryMiB", route.demand.memory.value()));
    spec.demand.accelerators = Accelerators(demand.numberOr("accelerators", route.demand.accelerators.value()));
    spec.demand.slots = Slots(demand.numberOr("slots", route.demand.slots.value()));
    spec.declaredRunTime = request.runTime;
    spec.payload = request.payload;
    if (!parseError.empty()) {
        return invalid(parseError, "send whole numbers for milliCores, memoryMiB, accelerators and slots");
    }
    return spec;
}

nlohmann::json jobJson(const JobRecord &record)
{
    const JobSpec &spec = record.spec;
    return {{"id", spec.id.value()},
            {"team", spec.team.value()},
            {"route", spec.route.value()},
            {"pool", spec.pool.value()},
            {"class", toString(spec.workClass)},
            {"tasks", spec.taskCount},
            {"demand", resourcesJson(spec.demand)},
            {"runMs", spec.declaredRunTime.count()},
            {"shard", record.shard.value()},
            {"state", toString(record.state)},
            {"reason", record.reason}};
}

} // namespace KingCupLadder
