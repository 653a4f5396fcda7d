// Reads the entries of both documents.
#include "tabledraft.h"

#include <algorithm>
#include <array>
#include <utility>

namespace KingCupLadder {

namespace {

/// Largest accepted sizes. A larger one is a typing error: the target scale has 7,800 workers of 16 cores and 64 GiB.
struct SizeBounds {
    std::int64_t milliCores;
    std::int64_t memoryMiB;
    std::int64_t accelerators;
    std::int64_t slots;
};

constexpr SizeBounds demandBounds{1024LL * 1000, 64LL * 1024 * 1024, 1024, 1024}; // 1,024 cores and 64 TiB
constexpr SizeBounds limitBounds{1000000LL * 1000, 16LL * 1024 * 1024 * 1024, 1000000, 1000000}; // A million cores and 16 PiB
constexpr std::int64_t longestSpanMs = 400LL * 24 * 3600 * 1000; ///< Of an objective: somewhat more than a year.
constexpr std::int64_t longestWaitMs = 24LL * 3600 * 1000;
constexpr std::int64_t fullPercent = 100000; ///< In thousandths of a percent.
constexpr std::int64_t largestWeight = 1000000LL * 1000; ///< In thousandths.
constexpr double thousand = 1000.0;
constexpr std::size_t maxPathLength = 256;
constexpr std::array<const char *, 4> reservedPaths{"/v1", "/metrics", "/healthz", "/readyz"};

Resources readResources(const YAML::Node &node, const std::string &what, const SizeBounds &bounds, std::int64_t defaultSlots, TableProblemCollector &problems)
{
    FieldReader fields(node, what, problems);
    Resources amount;
    amount.cpu = MilliCores(fields.amount("cpu", cpuFormat(), 1, bounds.milliCores, 0));
    amount.memory = MebiBytes(fields.amount("memory", memoryFormat(), 1, bounds.memoryMiB, 0));
    amount.accelerators = Accelerators(fields.amount("accelerators", countFormat(), 0, bounds.accelerators, 0));
    amount.slots = Slots(fields.amount("slots", countFormat(), 0, bounds.slots, defaultSlots));
    fields.finish();
    return amount;
}

bool isPathCharacter(char c)
{
    const std::string others = "-._~!$&'()*+,;=:@";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || others.find(c) != std::string::npos;
}

/// "/" or segments that each start with '/', none of them empty, "." or "..".
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

bool isReserved(const std::string &path)
{
    return std::any_of(reservedPaths.begin(), reservedPaths.end(), [&](const std::string &reserved) { return (path + "/").rfind(reserved + "/", 0) == 0; });
}

void readPath(FieldReader &fields, Route &route, const std::string &what)
{
    const auto path = fields.text("path");
    if (route.workClass != WorkClass::Request) {
        if (path) {
            fields.problem("path", what + " is for jobs and has a path", "remove path, or write class: request");
        }
        return;
    }
    if (!path) {
        if (!fields.has("path")) {
            fields.problem("path", what + " is for requests and has no path", "add \"path:\" with the prefix of its requests, such as /booking");
        }
    } else if (!isRoutePath(*path)) {
        fields.problem("path", "path " + quoted(*path) + " of " + what + " is malformed", "write / or segments such as /booking/kids, without a / at the end");
    } else if (isReserved(*path)) {
        fields.problem(
            "path", "path " + quoted(*path) + " of " + what + " belongs to the daemon itself", "choose a path outside /v1, /metrics, /healthz and /readyz");
    } else {
        route.path = *path;
    }
}

void readClassOptions(FieldReader &fields, Route &route, const std::string &what)
{
    const bool request = route.workClass == WorkClass::Request;
    route.idempotent = fields.flag("idempotent");
    route.startOnce = fields.flag("startOnce");
    route.allAtOnce = fields.flag("allAtOnce");
    const std::int64_t noDeadline = request ? Tables::defaultDeadline.count() : 0;
    route.deadline = Duration(fields.amount("deadline", durationFormat(), 1, Tables::longestDeadline.count(), noDeadline));
    const std::vector<std::string> unfit = request ? std::vector<std::string>{"startOnce", "allAtOnce"} : std::vector<std::string>{"idempotent", "deadline"};
    const std::string fault = " of " + what + " is only for " + (request ? "jobs" : "requests");
    for (const std::string &option : unfit) {
        if (fields.has(option)) {
            fields.problem(option, option + fault, "remove " + option + " or change the class");
        }
    }
    if (request && route.partition == PartitionPolicy::Move) {
        fields.problem("partition", "partition: move of " + what + " is only for jobs", "remove partition; a request ends at its deadline");
    }
}

void readDemand(FieldReader &fields, Route &route, const std::string &what, TableProblemCollector &problems)
{
    const std::int64_t defaultSlots = route.workClass == WorkClass::Request ? 1 : 0;
    const auto node = fields.node("demand");
    if (!node) {
        route.demand.slots = Slots(defaultSlots);
        if (defaultSlots == 0) {
            fields.problem("demand", what + " has no demand", "add \"demand:\" with cpu and memory of one task");
        }
        return;
    }
    const std::size_t before = problems.count();
    route.demand = readResources(*node, "demand of " + what, demandBounds, defaultSlots, problems);
    if (problems.count() > before) {
        return;
    }
    if (route.workClass == WorkClass::Request && route.demand.slots == Slots(0)) {
        fields.problem("demand", "demand of " + what + " has no slot", "write slots: 1, or leave slots out");
    } else if (route.demand.isZero()) {
        fields.problem("demand", "demand of " + what + " is zero", "write cpu and memory of one task");
    }
}

std::optional<Objective> readObjective(FieldReader &route, const std::string &what, TableProblemCollector &problems)
{
    const auto node = route.node("objective");
    if (!node) {
        return std::nullopt;
    }
    FieldReader fields(*node, "objective of " + what, problems);
    Objective objective;
    objective.targetWait = Duration(fields.amount("wait", durationFormat(), 1, longestWaitMs, 0));
    objective.share = static_cast<double>(fields.amount("share", percentFormat(), 1, fullPercent - 1, 0)) / static_cast<double>(fullPercent);
    objective.window = Duration(fields.amount("window", durationFormat(), 1, longestSpanMs, 0));
    for (const char *field : {"wait", "share", "window"}) {
        if (fields.isMapping() && !fields.has(field)) {
            fields.problem(
                field, "objective of " + what + " has no " + field, std::string("add ") + field + ", as in {wait: 200ms, share: 99.9%, window: 30d}");
        }
    }
    if (objective.window > Duration(0) && objective.window < objective.targetWait) {
        fields.problem("window", "window of " + what + " is shorter than its wait", "write a longer window, such as 30d");
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
    const std::string what = "route " + quoted(route.name.value());
    fields.setDescription(what);
    const auto workClass = fields.choice<WorkClass>("class", {{"request", WorkClass::Request}, {"batch", WorkClass::Batch}, {"service", WorkClass::Service}});
    if (!fields.has("class")) {
        fields.problem("class", what + " has no class", "add class: request, batch or service");
    }
    route.workClass = workClass.value_or(fields.has("path") ? WorkClass::Request : WorkClass::Batch);
    route.pool = PoolName(fields.name("pool", true));
    route.priority = fields.choice<Priority>("priority", {{"normal", Priority::Normal}, {"urgent", Priority::Urgent}}).value_or(Priority::Normal);
    const auto partition = fields.choice<PartitionPolicy>("partition", {{"stay", PartitionPolicy::Stay}, {"move", PartitionPolicy::Move}});
    route.partition = partition.value_or(PartitionPolicy::Stay);
    route.openTeam = TeamId(fields.name("open", false));
    route.open = !route.openTeam.isEmpty();
    readPath(fields, route, what);
    readClassOptions(fields, route, what);
    readDemand(fields, route, what, problems);
    route.objective = readObjective(fields, what, problems);
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
    const std::string what = "team " + quoted(draft.team.id.value());
    fields.setDescription(what);
    draft.team.workspace = WorkspaceId(fields.name("workspace", true));
    draft.team.share = static_cast<double>(fields.amount("share", weightFormat(), 1, largestWeight, 1000)) / thousand;
    draft.limitLine = fields.lineOfField("limit");
    const auto limit = fields.node("limit");
    if (!limit) {
        fields.problem("limit", what + " has no limit", "add \"limit:\" with the most that it may have running, fleet-wide");
    } else {
        const std::size_t before = problems.count();
        draft.team.limit = readResources(*limit, "limit of " + what, limitBounds, 0, problems);
        if (problems.count() == before && draft.team.limit.isZero()) {
            fields.problem("limit", "limit of " + what + " holds nothing", "write at least one of cpu, memory, accelerators and slots");
        }
    }
    fields.finish();
    return draft;
}

void readPoolTeams(FieldReader &fields, PoolDraft &draft, const std::string &what, TableProblemCollector &problems)
{
    const auto teams = fields.list("teams", true);
    if (!teams) {
        return;
    }
    if (teams->size() == 0) {
        fields.problem("teams", what + " has no teams", "name at least one team, or remove the pool");
    }
    for (const auto &team : *teams) {
        if (!team.IsScalar() || !isTableName(team.Scalar())) {
            problems.add(lineOf(team), what + " has a team that is not a name", "write names of teams, such as [coordinators, parents]");
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
    const std::string what = "pool " + quoted(draft.pool.name.value());
    fields.setDescription(what);
    draft.pool.vmGroup = fields.name("vms", true);
    draft.vmsLine = fields.lineOfField("vms");
    draft.pool.power = fields.choice<PowerSource>("power", {{"grid", PowerSource::Grid}, {"generator", PowerSource::Generator}}).value_or(PowerSource::Grid);
    readPoolTeams(fields, draft, what, problems);
    fields.finish();
    return draft;
}

/// Reads every entry of a list of the document.
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
        document.problem(field, field + " has more than " + std::to_string(Tables::maxEntries) + " entries", "remove entries that are not needed");
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
