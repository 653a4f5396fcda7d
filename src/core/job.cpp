// Conversion of jobs and tasks to and from text and JSON.
#include "job.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace KingCupLadder {

namespace {

template<typename T, std::size_t N>
std::optional<T> findByName(const std::array<T, N> &all, const std::string &text)
{
    for (T candidate : all) {
        if (text == toString(candidate)) {
            return candidate;
        }
    }
    return std::nullopt;
}

constexpr std::array<WorkClass, 3> allWorkClasses{WorkClass::Request, WorkClass::Batch, WorkClass::Service};
constexpr std::array<JobState, 6> allJobStates{
    JobState::Queued, JobState::Started, JobState::Succeeded, JobState::Failed, JobState::Cancelled, JobState::Parked};

std::optional<std::uint32_t> parseNumber(const std::string &text)
{
    std::uint32_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, number);
    if (text.empty() || stop != end || code != std::errc()) {
        return std::nullopt;
    }
    return number;
}

nlohmann::json resourcesToJson(const Resources &resources)
{
    return {{"milliCores", resources.cpu.value()},
            {"memoryMiB", resources.memory.value()},
            {"accelerators", resources.accelerators.value()},
            {"slots", resources.slots.value()}};
}

Resources resourcesFromJson(const nlohmann::json &json)
{
    return Resources{MilliCores(json.at("milliCores").get<std::int64_t>()),
                     MebiBytes(json.at("memoryMiB").get<std::int64_t>()),
                     Accelerators(json.at("accelerators").get<std::int64_t>()),
                     Slots(json.at("slots").get<std::int64_t>())};
}

nlohmann::json specToJson(const JobSpec &spec)
{
    return {{"id", spec.id.value()},
            {"team", spec.team.value()},
            {"workspace", spec.workspace.value()},
            {"route", spec.route.value()},
            {"pool", spec.pool.value()},
            {"class", toString(spec.workClass)},
            {"urgent", spec.priority == Priority::Urgent},
            {"move", spec.partition == PartitionPolicy::Move},
            {"allAtOnce", spec.allAtOnce},
            {"startOnce", spec.startOnce},
            {"taskCount", spec.taskCount},
            {"demand", resourcesToJson(spec.demand)},
            {"runMs", spec.declaredRunTime.count()},
            {"payload", spec.payload}};
}

JobSpec specFromJson(const nlohmann::json &json)
{
    JobSpec spec;
    spec.id = JobId(json.at("id").get<std::string>());
    spec.team = TeamId(json.at("team").get<std::string>());
    spec.workspace = WorkspaceId(json.at("workspace").get<std::string>());
    spec.route = RouteName(json.at("route").get<std::string>());
    spec.pool = PoolName(json.at("pool").get<std::string>());
    spec.workClass = workClassFromString(json.at("class").get<std::string>()).value_or(WorkClass::Batch);
    spec.priority = json.at("urgent").get<bool>() ? Priority::Urgent : Priority::Normal;
    spec.partition = json.at("move").get<bool>() ? PartitionPolicy::Move : PartitionPolicy::Stay;
    spec.allAtOnce = json.at("allAtOnce").get<bool>();
    spec.startOnce = json.at("startOnce").get<bool>();
    spec.taskCount = json.at("taskCount").get<std::uint32_t>();
    spec.demand = resourcesFromJson(json.at("demand"));
    spec.declaredRunTime = Duration(json.at("runMs").get<std::int64_t>());
    spec.payload = json.at("payload").get<std::string>();
    return spec;
}

} // namespace

std::string TaskId::text() const
{
    return job.value() + "/" + std::to_string(index) + "/" + std::to_string(attempt);
}

std::optional<TaskId> TaskId::fromText(const std::string &text)
{
    const std::size_t last = text.rfind('/');
    if (last == std::string::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = text.rfind('/', last - 1);
    if (middle == std::string::npos || middle == 0) {
        return std::nullopt;
    }
    const auto index = parseNumber(text.substr(middle + 1, last - middle - 1));
    const auto attempt = parseNumber(text.substr(last + 1));
    if (!index || !attempt) {
        return std::nullopt;
    }
    return TaskId{JobId(text.substr(0, middle)), *index, *attempt};
}

bool operator==(const JobSpec &a, const JobSpec &b)
{
    const auto fields = [](const JobSpec &s) {
        return std::tie(
            s.id, s.team, s.workspace, s.route, s.pool, s.workClass, s.priority, s.partition, s.allAtOnce, s.startOnce, s.taskCount, s.demand, s.payload);
    };
    return fields(a) == fields(b) && a.declaredRunTime == b.declaredRunTime;
}

const char *toString(WorkClass workClass)
{
    switch (workClass) {
    case WorkClass::Request:
        return "request";
    case WorkClass::Batch:
        return "batch";
    case WorkClass::Service:
        return "service";
    }
    return "unknown";
}

const char *toString(Priority priority)
{
    return priority == Priority::Urgent ? "urgent" : "normal";
}

const char *toString(PartitionPolicy policy)
{
    return policy == PartitionPolicy::Move ? "move" : "stay";
}

const char *toString(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Started:
        return "started";
    case JobState::Succeeded:
        return "succeeded";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Parked:
        return "parked";
    }
    return "unknown";
}

std::optional<WorkClass> workClassFromString(const std::string &text)
{
    return findByName(allWorkClasses, text);
}

std::optional<JobState> jobStateFromString(const std::string &text)
{
    return findByName(allJobStates, text);
}

bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Started;
}

std::string JobRecord::toJson() const
{
    const nlohmann::json json{{"spec", specToJson(spec)}, {"shard", shard.value()}, {"state", toString(state)}, {"reason", reason}, {"epoch", epoch.value()}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<JobRecord> JobRecord::fromJson(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        const auto state = jobStateFromString(json.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        // Records written by versions without the field have no epoch; it is read as 0.
        return JobRecord{specFromJson(json.at("spec")),
                         ShardId(json.at("shard").get<std::string>()),
                         *state,
                         json.at("reason").get<std::string>(),
                         Epoch(json.value("epoch", std::uint64_t{0}))};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace KingCupLadder
