// Parses the entries of both documents.
#include "tabledraft.h"

#include <algorithm>
#include <array>
#include <utility>

namespace KingCupLadder {

namespace {

/// Upper limits that catch typing errors. The target scale is 7,800 workers with 16 cores and 64 GiB each.
struct MaxResources {
    std::int64_t milliCores;
    std::int64_t memoryMiB;
    std::int64_t accelerators;
    std::int64_t slots;
};

constexpr MaxResources maxDemand{1024LL * 1000, 64LL * 1024 * 1024, 1024, 1024}; // 1,024 cores and 64 TiB
constexpr MaxResources maxTeamLimit{1000000LL * 1000, 16LL * 1024 * 1024 * 1024, 1000000, 1000000}; // 1,000,000 cores and 16 PiB
constexpr std::int64_t maxObjectiveWindowMs = 400LL * 24 * 3600 * 1000; ///< 400 days: somewhat more than a year.
constexpr std::int64_t maxTargetWaitMs = 24LL * 3600 * 1000;
constexpr std::int64_t hundredPercent = 100000; ///< 100 % in thousandths of a percent.
constexpr std::int64_t maxWeight = 1000000LL * 1000; ///< 1,000,000 in thousandths.
constexpr double thousandthsPerUnit = 1000.0;
constexpr std::size_t maxPathLength = 256;
constexpr std::array<const char *, 4> reservedPaths{"/v1", "/metrics", "/healthz", "/readyz"};

Resources
readResources(const YAML::Node &node, const std::string &subject, const MaxResources &maximum, std::int64_t defaultSlots, TableProblemCollector &problems)
{
    FieldReader fields(node, subject, problems);
    Resources amount;
    amount.cpu = MilliCores(fields.amount("cpu", cpuFormat(), 1, maximum.milliCores, 0));
    amount.memory = MebiBytes(fields.amount("memory", memoryFormat(), 1, maximum.memoryMiB, 0));
    amount.accelerators = Accelerators(fields.amount("accelerators", countFormat(), 0, maximum.accelerators, 0));
    amount.slots = Slots(fields.amount("slots", countFormat(), 0, maximum.slots, defaultSlots));
    fields.finish();
    return amount;
}

bool isPathCharacter(char c)
{
    const std::string others = "-._~!$&'()*+,;=:@";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || others.find(c) != std::string::npos;
}

/// Accepts "/" or a sequence of segments that each start with '/' and are not empty, "." or "..".
bool isRoutePath(const std::string &path)
{
    if (path.empty() || path[0] != '/' || path.size() > maxPathLength) {
        return false;
    }
    if (path == "/") {
        return true;
    }
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        const std::string segment = path.substr(start, end - start);
        if (segment.empty() || segment == "." || segment == ".." || !std::all_of(segment.begin(), segment.end(), isPathCharacter)) {
            return false;
        }
        start = end + 1;
    }
    return true;
}

/// Returns true for the reserved paths and all paths below them.
bool isReserved(const std::string &path)
{
    return std::any_of(reservedPaths.begin(), reservedPaths.end(), [&](const std::string &reserved) { return (path + "/").rfind(reserved + "/", 0) == 0; });
}

void readPath(FieldReader &fields, Route &route, const std::string &subject)
{
    const auto path = fields.text("path");
    if (route.workClass != WorkClass::Request) {
        if (path) {
            fields.addProblem("path", subject + " is for jobs and has a path", "remove path, or write class: request");
        }
        return;
    }
    if (!path) {
        if (!fields.has("path")) {
            fields.addProblem("path", subject + " is for requests and has no path", "add \"path:\" with the prefix of its requests, such as /booking");
        }
    } else if (!isRoutePath(*path)) {
        fields.addProblem(
            "path", "path " + quoted(*path) + " of " + subject + " is malformed", "write / or segments such as /booking/kids, without a / at the end");
    } else if (isReserved(*path)) {
        fields.addProblem(
            "path", "path " + quoted(*path) + " of " + subject + " is reserved for the daemon", "choose a path outside /v1, /metrics, /healthz and /readyz");
    } else {
        route.path = *path;
    }
}

void readClassOptions(FieldReader &fields, Route &route, const std::string &subject)
{
    const bool request = route.workClass == WorkClass::Request;
    route.idempotent = fields.flag("idempotent");
    route.startOnce = fields.flag("startOnce");
    route.allAtOnce = fields.flag("allAtOnce");
    const std::int64_t defaultDeadlineMs = request ? Tables::defaultDeadline.count() : 0;
    route.deadline = Duration(fields.amount("deadline", durationFormat(), 1, Tables::maxDeadline.count(), defaultDeadlineMs));
    const std::vector<std::string> inapplicable =
        request ? std::vector<std::string>{"startOnce", "allAtOnce"} : std::vector<std::string>{"idempotent", "deadline"};
    const std::string message = " of " + subject + " is only for " + (request ? "jobs" : "requests");
    for (const std::string &option : inapplicable) {
        if (fields.has(option)) {
            fields.addProblem(option, option + message, "remove " + option + " or change the class");
        }
    }
    if (request && route.partition == PartitionPolicy::Move) {
        fields.addProblem("partition", "partition: move of " + subject + " is only for jobs", "remove partition; a request ends at its deadline");
    }
}

void readDemand(FieldReader &fields, Route &route, const std::string &subject, TableProblemCollector &problems)
{
    const std::int64_t defaultSlots = route.workClass == WorkClass::Request ? 1 : 0;
    const auto node = fields.node("demand");
    if (!node) {
        route.demand.slots = Slots(defaultSlots);
        if (defaultSlots == 0) {
            fields.addProblem("demand", subject + " has no demand", "add \"demand:\" with cpu and memory of one task");
        }
        return;
    }
    const std::size_t problemsBefore = problems.count();
    route.demand = readResources(*node, "demand of " + subject, maxDemand, defaultSlots, problems);
    if (problems.count() > problemsBefore) {
        return;
    }
    if (route.workClass == WorkClass::Request && route.demand.slots == Slots(0)) {
        fields.addProblem("demand", "demand of " + subject + " has no slot", "write slots: 1, or leave slots out");
    } else if (route.demand.isZero()) {
        fields.addProblem("demand", "demand of " + subject + " is zero", "write cpu and memory of one task");
    }
}

std::optional<Objective> readObjective(FieldReader &route, const std::string &subject, TableProblemCollector &problems)
{
    const auto node = route.node("objective");
    if (!node) {
        return std::nullopt;
    }
    FieldReader fields(*node, "objective of " + subject, problems);
    Objective objective;
    objective.targetWait = Duration(fields.amount("wait", durationFormat(), 1, maxTargetWaitMs, 0));
    objective.share = static_cast<double>(fields.amount("share", percentFormat(), 1, hundredPercent - 1, 0)) / static_cast<double>(hundredPercent);
    objective.window = Duration(fields.amount("window", durationFormat(), 1, maxObjectiveWindowMs, 0));
    for (const char *field : {"wait", "share", "window"}) {
        if (fields.isMapping() && !fields.has(field)) {
            fields.addProblem(
                field, "objective of " + subject + " has no " + field, std::string("add ") + field + ", as in {wait: 200ms, share: 99.9%, window: 30d}");
        }
    }
    if (objective.window > Duration(0) && objective.window < objective.targetWait) {
        fields.addProblem("window", "window of " + subject + " is shorter than its wait", "write a longer window, such as 30d");
    }
    fields.finish();
    return objective;
}

RouteDraft readRoute(const YAML::Node &node, TableProblemCollector &problems)
{
    FieldReader fields(node, "route", problems);
    RouteDraft draft;
    draft.line = fields.line();
    if (!fields.isMapping()) {
        return draft;
    }
    Route &route = draft.route;
    route.name = RouteName(fields.name("name", true));
    const std::string subject = "route " + quoted(route.name.value());
    fields.setDescription(subject);
    const auto workClass = fields.choice<WorkClass>("class", {{"request", WorkClass::Request}, {"batch", WorkClass::Batch}, {"service", WorkClass::Service}});
    if (!fields.has("class")) {
        fields.addProblem("class", subject + " has no class", "add class: request, batch or service");
    }
    // Without a valid class, the likely one is assumed, so that no further problems are reported for the fields of the other classes.
    route.workClass = workClass.value_or(fields.has("path") ? WorkClass::Request : WorkClass::Batch);
    route.pool = PoolName(fields.name("pool", true));
    route.priority = fields.choice<Priority>("priority", {{"normal", Priority::Normal}, {"urgent", Priority::Urgent}}).value_or(Priority::Normal);
    const auto partition = fields.choice<PartitionPolicy>("partition", {{"stay", PartitionPolicy::Stay}, {"move", PartitionPolicy::Move}});
    route.partition = partition.value_or(PartitionPolicy::Stay);
    route.openTeam = TeamId(fields.name("open", false));
    route.open = !route.openTeam.isEmpty();
    readPath(fields, route, subject);
    readClassOptions(fields, route, subject);
    readDemand(fields, route, subject, problems);
    route.objective = readObjective(fields, subject, problems);
    fields.finish();
    for (const char *field : {"name", "path", "pool", "open", "demand"}) {
        draft.lines[field] = fields.lineOfField(field);
    }
    return draft;
}

TeamDraft readTeam(const YAML::Node &node, TableProblemCollector &problems)
{
    FieldReader fields(node, "team", problems);
    TeamDraft draft;
    draft.line = fields.line();
    if (!fields.isMapping()) {
        return draft;
    }
    draft.team.id = TeamId(fields.name("name", true));
    const std::string subject = "team " + quoted(draft.team.id.value());
    fields.setDescription(subject);
    draft.team.workspace = WorkspaceId(fields.name("workspace", true));
    // The default weight is 1000 thousandths, that is 1.
    draft.team.share = static_cast<double>(fields.amount("share", weightFormat(), 1, maxWeight, 1000)) / thousandthsPerUnit;
    draft.limitLine = fields.lineOfField("limit");
    const auto limit = fields.node("limit");
    if (!limit) {
        fields.addProblem("limit", subject + " has no limit", "add \"limit:\" with the maximum that it may use, fleet-wide");
    } else {
        const std::size_t problemsBefore = problems.count();
        draft.team.limit = readResources(*limit, "limit of " + subject, maxTeamLimit, 0, problems);
        if (problems.count() == problemsBefore && draft.team.limit.isZero()) {
            fields.addProblem("limit", "limit of " + subject + " is zero", "write at least one of cpu, memory, accelerators and slots");
        }
    }
    fields.finish();
    return draft;
}

void readPoolTeams(FieldReader &fields, PoolDraft &draft, const std::string &subject, TableProblemCollector &problems)
{
    const auto teams = fields.list("teams", true);
    if (!teams) {
        return;
    }
    if (teams->size() == 0) {
        fields.addProblem("teams", subject + " has no teams", "name at least one team, or remove the pool");
    }
    for (const auto &team : *teams) {
        if (!team.IsScalar() || !isTableName(team.Scalar())) {
            problems.add(lineOf(team), subject + " has a team that is not a name", "write names of teams, such as [coordinators, parents]");
            continue;
        }
        draft.pool.teams.emplace_back(team.Scalar());
        draft.teamLines.push_back(lineOf(team));
    }
}

PoolDraft readPool(const YAML::Node &node, TableProblemCollector &problems)
{
    FieldReader fields(node, "pool", problems);
    PoolDraft draft;
    draft.line = fields.line();
    if (!fields.isMapping()) {
        return draft;
    }
    draft.pool.name = PoolName(fields.name("name", true));
    const std::string subject = "pool " + quoted(draft.pool.name.value());
    fields.setDescription(subject);
    draft.pool.vmGroup = fields.name("vms", true);
    draft.vmsLine = fields.lineOfField("vms");
    draft.pool.power = fields.choice<PowerSource>("power", {{"grid", PowerSource::Grid}, {"generator", PowerSource::Generator}}).value_or(PowerSource::Grid);
    readPoolTeams(fields, draft, subject, problems);
    fields.finish();
    return draft;
}

/// Parses every entry of a list field of the document.
template<typename Draft>
std::vector<Draft>
readEntries(FieldReader &document, const std::string &field, TableProblemCollector &problems, Draft (*readEntry)(const YAML::Node &, TableProblemCollector &))
{
    std::vector<Draft> drafts;
    const auto list = document.list(field, true);
    if (!list) {
        return drafts;
    }
    if (list->size() > Tables::maxEntries) {
        document.addProblem(field, field + " has more than " + std::to_string(Tables::maxEntries) + " entries", "remove entries that are not needed");
        return drafts;
    }
    for (const auto &entry : *list) {
        drafts.push_back(readEntry(entry, problems));
    }
    return drafts;
}

} // namespace

bool readRoutes(const std::string &yaml, TablesDraft &draft, TableProblemCollector &problems)
{
    const auto root = loadDocument(yaml, problems);
    if (!root) {
        return false;
    }
    FieldReader document(*root, "the routes document", problems);
    draft.routes = readEntries<RouteDraft>(document, "routes", problems, readRoute);
    document.finish();
    return document.isMapping();
}

bool readPools(const std::string &yaml, TablesDraft &draft, TableProblemCollector &problems)
{
    const auto root = loadDocument(yaml, problems);
    if (!root) {
        return false;
    }
    FieldReader document(*root, "the pools document", problems);
    draft.teams = readEntries<TeamDraft>(document, "teams", problems, readTeam);
    draft.pools = readEntries<PoolDraft>(document, "pools", problems, readPool);
    document.finish();
    return document.isMapping();
}

} // namespace KingCupLadder
