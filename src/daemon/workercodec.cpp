// JSON format of POST /v1/sync.
#include "workercodec.h"

#include "jsonfields.h"

#include <limits>

namespace KingCupLadder {

namespace {

const char *taskActionName(TaskAction action)
{
    switch (action) {
    case TaskAction::Stop:
        return "stop";
    case TaskAction::Checkpoint:
        return "checkpoint";
    case TaskAction::Throttle:
        return "throttle";
    case TaskAction::Resume:
        return "resume";
    }
    return "stop";
}

nlohmann::json taskIdJson(const TaskId &id)
{
    return {{"job", id.job.value()}, {"index", id.index}, {"attempt", id.attempt}};
}

nlohmann::json startJson(const TaskStart &start)
{
    nlohmann::json out = taskIdJson(start.id);
    out["team"] = start.team.value();
    out["route"] = start.route.value();
    out["demand"] = resourcesJson(start.demand);
    out["runMs"] = start.runTime.count();
    out["leaseMs"] = start.lease.count();
    out["voidAfterMs"] = start.voidAfter.count();
    out["payload"] = start.payload;
    return out;
}

TaskId readTaskId(JsonFields &fields)
{
    const std::int64_t index = fields.number("index");
    const std::int64_t attempt = fields.number("attempt");
    constexpr std::int64_t maxIndex = std::numeric_limits<std::uint32_t>::max();
    if (index > maxIndex || attempt > maxIndex || attempt < 1) {
        fields.fail("field 'index' or 'attempt' is out of range");
        return {};
    }
    return TaskId{JobId(fields.text("job")), static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(attempt)};
}

void readRunning(JsonFields &fields, std::string &parseError, SyncReply &reply)
{
    const nlohmann::json *list = fields.array("running");
    if (list == nullptr) {
        return;
    }
    for (const nlohmann::json &item : *list) {
        JsonFields task(item, parseError, "running");
        RunningTask out;
        out.id = readTaskId(task);
        out.team = TeamId(task.text("team"));
        out.route = RouteName(task.textOr("route", {}));
        out.demand = task.resources("demand");
        out.usage = task.resources("usage");
        out.lease = Duration(task.numberOr("leaseMs", 0));
        reply.running.push_back(std::move(out));
    }
}

void readEnded(JsonFields &fields, std::string &parseError, SyncReply &reply)
{
    const nlohmann::json *list = fields.array("ended");
    if (list == nullptr) {
        return;
    }
    for (const nlohmann::json &item : *list) {
        JsonFields entry(item, parseError, "ended");
        if (!entry.has("task")) {
            entry.fail("field 'task' is missing");
            return;
        }
        JsonFields task(item["task"], parseError, "ended.task");
        EndedTask out;
        out.id = readTaskId(task);
        out.team = TeamId(task.textOr("team", {}));
        const auto outcome = taskOutcomeFromString(entry.text("outcome"));
        if (!outcome) {
            entry.fail("field 'outcome' has an unknown value");
        }
        out.outcome = outcome.value_or(TaskOutcome::Failed);
        out.reason = entry.textOr("reason", {});
        reply.ended.push_back(std::move(out));
    }
}

void readCapacity(JsonFields &fields, const nlohmann::json &json, std::string &parseError, SyncReply &reply)
{
    reply.capacity = fields.resources("capacity");
    if (!fields.has("capacity")) {
        fields.fail("field 'capacity' is missing");
        return;
    }
    JsonFields capacity(json["capacity"], parseError, "capacity");
    reply.connections = capacity.numberOr("connections", 0);
}

} // namespace

std::string encodeSync(const SyncRequest &request)
{
    nlohmann::json starts = nlohmann::json::array();
    for (const TaskStart &start : request.starts) {
        starts.push_back(startJson(start));
    }
    nlohmann::json stops = nlohmann::json::array();
    for (const TaskControl &control : request.controls) {
        stops.push_back({{"task", taskIdJson(control.id)}, {"how", taskActionName(control.action)}});
    }
    nlohmann::json acks = nlohmann::json::array();
    for (const TaskId &id : request.acknowledged) {
        acks.push_back(taskIdJson(id));
    }
    return dumpJson({{"owner", request.owner.value()},
                     {"epoch", request.epoch.value()},
                     {"sequence", request.sequence.value()},
                     {"inventory", request.inventory},
                     {"leaseMs", request.renewLease.count()},
                     {"starts", std::move(starts)},
                     {"stops", std::move(stops)},
                     {"acks", std::move(acks)}});
}

std::optional<SyncReply> decodeSyncReply(const WorkerId &worker, bool inventoryRequested, const std::string &body)
{
    const auto json = parseJson(body);
    if (!json) {
        return std::nullopt;
    }
    std::string parseError;
    JsonFields fields(*json, parseError, "answer");
    SyncReply reply;
    if (fields.text("worker") != worker.value()) {
        return std::nullopt;
    }
    reply.epoch = Epoch(static_cast<std::uint64_t>(fields.number("epoch")));
    reply.sequence = Sequence(static_cast<std::uint64_t>(fields.number("sequence")));
    // Workers may send "accepted" instead of "refused"; without either, the request counts as accepted.
    reply.refused = fields.booleanOr("refused", !fields.booleanOr("accepted", true));
    reply.supportsEpochs = fields.booleanOr("supportsEpochs", true);
    readCapacity(fields, *json, parseError, reply);
    reply.busySlots = Slots(fields.numberOr("busySlots", 0));
    readRunning(fields, parseError, reply);
    reply.inventory = inventoryRequested && fields.has("running");
    readEnded(fields, parseError, reply);
    if (!parseError.empty()) {
        return std::nullopt;
    }
    return reply;
}

} // namespace KingCupLadder
