#include "core/tables.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace KingCupLadder;

namespace {

const std::string goodTeam = "{name: t, workspace: w, limit: {cpu: 8, memory: 8GiB, slots: 4}}";
const std::string goodPools = "teams:\n  - " + goodTeam + "\npools:\n  - {name: p, vms: g, teams: [t]}\n";
const std::string goodBatch = "{name: b, class: batch, pool: p, demand: {cpu: 500m, memory: 256MiB}}";

std::string routesOf(const std::string &entry)
{
    return "routes:\n  - " + entry + "\n";
}

std::string request(const std::string &options)
{
    return routesOf("{name: r, class: request, path: /r, pool: p" + options + "}");
}

std::string batch(const std::string &options)
{
    return routesOf("{name: b, class: batch, pool: p" + options + "}");
}

/// Makes yaml-cpp build its static scanner tables, which the leak detection would count if they were first used within a test.
const bool scannerTablesBuilt = !Tables::parse("%YAML 1.2\n---\na: [&b {c: 'd', \"e\\x41\": *b}, !t f, ? g : h]\n# i\nj: |\n  k\nl: >-\n  m\n",
                                               "- n: ~\n- \"\\u0041\" : !<o> p\n- ? [q]\n  : 'r''s'\n- @\n...\n")
                                     .problems.empty();

/// Returns all problems, one per line.
std::string problemsOf(const std::string &routes, const std::string &pools = goodPools)
{
    std::string text;
    for (const TableProblem &problem : Tables::parse(routes, pools).problems) {
        text += problem.text() + "\n";
    }
    return text;
}

std::string poolProblems(const std::string &teams, const std::string &pools)
{
    return problemsOf("routes: []", "teams: [" + teams + "]\npools: [" + pools + "]\n");
}

Tables tablesOf(const std::string &routes)
{
    const TablesParseResult result = Tables::parse(routes, goodPools);
    CHECK_TRUE_TEXT(result.problems.empty(), problemsOf(routes).c_str());
    return result.tables().value();
}

} // namespace

TEST_GROUP(Tables){};

// A wrong unit conversion would reserve other amounts of resources than the demand declares.
TEST(Tables, ReadsTheDemandOfAJob)
{
    const Resources expected{MilliCores(500), MebiBytes(256), Accelerators(0), Slots(0)};
    CHECK_TRUE(expected == tablesOf(routesOf(goodBatch)).routes()[0].demand);
}

// A request that takes no slot would bypass the concurrency limit of its worker.
TEST(Tables, RequestDemandDefaultsToOneSlot)
{
    LONGS_EQUAL(1, tablesOf(request("")).routes()[0].demand.slots.value());
}

// A request without a deadline could hold its slot forever.
TEST(Tables, RequestDeadlineDefaultsToThirtySeconds)
{
    LONGS_EQUAL(30000, tablesOf(request("")).routes()[0].deadline.count());
}

// Work on an open route, which needs no key, must be charged to a team.
TEST(Tables, OpenNamesTheChargedTeam)
{
    STRCMP_EQUAL("t", tablesOf(request(", open: t")).routes()[0].openTeam.value().c_str());
}

// A share read as a percentage would make the error budget burn rate wrong.
TEST(Tables, ObjectiveShareIsAFraction)
{
    const Tables tables = tablesOf(request(", objective: {wait: 200ms, share: 99.9%, window: 30d}"));
    DOUBLES_EQUAL(0.999, tables.routes()[0].objective->share, 1e-12);
}

// Requests must not match a route whose path merely starts with the same characters.
TEST(Tables, PathMatchesAtSegmentBoundariesOnly)
{
    POINTERS_EQUAL(nullptr, tablesOf(request("")).routeForPath("/rx"));
}

// A route with a nested path must take precedence over the route that contains it.
TEST(Tables, LongestPathWins)
{
    const Tables tables = tablesOf(request("") + "  - {name: inner, class: request, path: /r/in, pool: p}\n");
    STRCMP_EQUAL("inner", tables.routeForPath("/r/in/x?q=/r")->name.value().c_str());
}

// Operators need all problems at once instead of one per attempt.
TEST(Tables, ReportsAllProblemsOfBothDocumentsAtOnce)
{
    const TablesParseResult result = Tables::parse(request(", deadline: 5, colour: red"), "teams: []\npools:\n  - {name: p, vms: g, teams: []}\n");
    UNSIGNED_LONGS_EQUAL(4, result.problems.size());
}

// yaml-cpp counts lines from zero, so reported lines could be off by one.
TEST(Tables, ProblemsNameTheLineFromOne)
{
    LONGS_EQUAL(2, Tables::parse(request(", colour: red"), goodPools).problems.at(0).line);
}

// When one document can't be read, names it defines must not be reported as undefined in the other document.
TEST(Tables, UnreadableDocumentIsTheOnlyProblem)
{
    UNSIGNED_LONGS_EQUAL(1, Tables::parse(routesOf(goodBatch), "teams: [").problems.size());
}

// Malformed routes must be rejected. Each case is one kind of mistake and the start of its message.
TEST(Tables, RejectsEveryKindOfMistakeInRoutes)
{
    const std::string demand = ", demand: {cpu: 1, memory: 1GiB}";
    const std::vector<std::pair<std::string, std::string>> cases{
        {request(", colour: red"), "routes, line 2: route \"r\" has an unknown key \"colour\"; use one of "},
        {request(", pool: p"), "routes, line 2: route has the key \"pool\" twice; remove one of them"},
        {routesOf("{class: batch, pool: p" + demand + "}"), "routes, line 2: route has no name; "},
        {routesOf(goodBatch) + "  - " + goodBatch + "\n", "routes, line 3: route name \"b\" is already used at line 2; "},
        {routesOf("{name: b, class: batch, pool: q" + demand + "}"), "routes, line 2: route \"b\" names pool \"q\", which is not defined; "},
        {request(", open: nobody"), "routes, line 2: route \"r\" is open for team \"nobody\", which is not defined; "},
        {request("") + "  - {name: s, class: request, path: /r, pool: p}\n", "routes, line 3: path \"/r\" is already used at line 2; "},
        {routesOf("{name: r, class: request, pool: p}"), "routes, line 2: route \"r\" is for requests and has no path; "},
        {routesOf("{name: r, class: request, path: /a//b, pool: p}"), "routes, line 2: path \"/a//b\" of route \"r\" is malformed; "},
        {routesOf("{name: r, class: request, path: /v1/jobs, pool: p}"), "routes, line 2: path \"/v1/jobs\" of route \"r\" is reserved for the daemon"},
        {batch(demand + ", path: /b"), "routes, line 2: route \"b\" is for jobs and has a path; "},
        {batch(demand + ", idempotent: true"), "routes, line 2: idempotent of route \"b\" is only for requests; "},
        {batch(demand + ", deadline: 2s"), "routes, line 2: deadline of route \"b\" is only for requests; "},
        {request(", startOnce: true"), "routes, line 2: startOnce of route \"r\" is only for jobs; "},
        {request(", allAtOnce: true"), "routes, line 2: allAtOnce of route \"r\" is only for jobs; "},
        {request(", partition: move"), "routes, line 2: partition: move of route \"r\" is only for jobs; "},
        {request(", deadline: 2"), "routes, line 2: deadline \"2\" of route \"r\" has no unit; "},
        {request(", deadline: 31s"), "routes, line 2: deadline \"31s\" of route \"r\" is too large; "},
        {request(", idempotent: yes"), "routes, line 2: idempotent \"yes\" is unknown; write one of true, false"},
        {request(", demand: {slots: 0}"), "routes, line 2: demand of route \"r\" has no slot; "},
        {batch(""), "routes, line 2: route \"b\" has no demand; "},
        {batch(", demand: {}"), "routes, line 2: demand of route \"b\" is zero; "},
        {batch(", demand: {cpu: -1}"), "routes, line 2: cpu \"-1\" of demand of route \"b\" is negative; "},
        {batch(", demand: {cpu: 0}"), "routes, line 2: cpu \"0\" of demand of route \"b\" is zero; "},
        {batch(", demand: {memory: 256}"), "routes, line 2: memory \"256\" of demand of route \"b\" has no unit; "},
        {batch(", demand: {memory: 99999999GiB}"), "routes, line 2: memory \"99999999GiB\" of demand of route \"b\" is too large; "},
        {batch(", demand: {cpu: 9, memory: 1GiB}"), "pools, line 2: limit of team \"t\" is smaller than the demand of route \"b\"; "},
        {request(", objective: {wait: 1s, share: 100%, window: 1d}"), "routes, line 2: share \"100%\" of objective of route \"r\" is too large; "},
        {"routes:\n  - 3\n", "routes, line 2: route is not a mapping; "},
        {"routes: 3\n", "routes, line 1: routes of the routes document is not a list; "},
        {"{}", "routes, line 1: the routes document has no routes; "},
        {"", "routes: the text has 0 YAML documents; "},
        {"routes: []\n---\nroutes: []\n", "routes: the text has 2 YAML documents; "},
        {"routes: &a [*a, *a]\n", "routes: the document is too large or too deep after its aliases are expanded; "},
        {std::string(Tables::maxDocumentBytes + 1, '#'), "routes: the document is larger than 1 MiB; "},
        {"routes:\n  - {", "routes, line 2: the document is not valid YAML: "},
    };
    for (const auto &[routes, expected] : cases) {
        const std::string problems = problemsOf(routes);
        CHECK_TRUE_TEXT(problems.find(expected) == 0, ("expected: " + expected + "\n\tactual: " + problems).c_str());
        CHECK_EQUAL_TEXT(1, std::count(problems.begin(), problems.end(), '\n'), problems.c_str());
    }
}

// Malformed pools and teams must be rejected. Each case is one kind of mistake and the start of its message.
TEST(Tables, RejectsEveryKindOfMistakeInPools)
{
    const std::string pool = "{name: p, vms: g, teams: [t]}";
    const std::vector<std::pair<std::string, std::string>> cases{
        {poolProblems(goodTeam, "{name: p, vms: g, teams: [t]}, {name: q, vms: h, teams: []}"), "pools, line 2: pool \"q\" has no teams; "},
        {poolProblems(goodTeam + ", {name: u, workspace: w, limit: {slots: 1}}", pool), "pools, line 1: team \"u\" is not listed in any pool; "},
        {poolProblems(goodTeam, "{name: p, vms: g, teams: [t, t]}"), "pools, line 2: pool \"p\" lists team \"t\" twice; "},
        {poolProblems(goodTeam, "{name: p, vms: g, teams: [t, u]}"), "pools, line 2: pool \"p\" lists team \"u\", which is not defined; "},
        {poolProblems(goodTeam, pool + ", {name: q, vms: g, teams: [t]}"), "pools, line 2: VM group \"g\" is already used at line 2; "},
        {poolProblems(goodTeam, "{name: p, vms: g, power: coal, teams: [t]}"), "pools, line 2: power \"coal\" is unknown; "},
        {poolProblems(goodTeam, "{name: a/b, vms: g, teams: [t]}"), "pools, line 2: name \"a/b\" of pool is not a name; "},
        {poolProblems("{name: t, workspace: w, share: 0, limit: {slots: 1}}", pool), "pools, line 1: share \"0\" of team \"t\" is zero; "},
        {poolProblems("{name: t, workspace: w}", pool), "pools, line 1: team \"t\" has no limit; "},
        {poolProblems("{name: t, workspace: w, limit: {}}", pool), "pools, line 1: limit of team \"t\" is zero; "},
    };
    for (const auto &[problems, expected] : cases) {
        CHECK_TRUE_TEXT(problems.find(expected) == 0, ("expected: " + expected + "\n\tactual: " + problems).c_str());
        CHECK_EQUAL_TEXT(1, std::count(problems.begin(), problems.end(), '\n'), problems.c_str());
    }
}

// Nested aliases expand exponentially and could exhaust memory.
TEST(Tables, RejectsExponentialAliases)
{
    std::string routes = "routes:\n- &a0 [x, x, x, x, x, x, x, x]\n";
    for (int i = 0; i < 12; ++i) {
        const std::string alias = "*a" + std::to_string(i);
        routes += "- &a" + std::to_string(i + 1) + " [" + alias + ", " + alias + ", " + alias + ", " + alias + "]\n";
    }
    STRCMP_CONTAINS("aliases are expanded", problemsOf(routes).c_str());
}
