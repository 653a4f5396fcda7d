#include "fakefleet.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>

using namespace KingCupLadder;
using namespace KingCupLadder::Ctl;

namespace {

const char *const jobBody = R"({"id":"j","team":"t","route":"r","shard":"p/d/0","state":"queued","reason":"","tasks":2})";
const char *const conflictBody = R"({"error":"conflict","message":"changed","remedy":"read it","ran":"not run"})";
const char *const unknownBody = R"({"error":"outcome unknown","message":"late","remedy":"query it","ran":"unknown"})";
const char *const stoppingBody = R"({"error":"stopping","message":"stopping","remedy":"ask another","ran":"not run"})";

/// Initializes the static tables that yaml-cpp allocates at its first output. Inside a test they would be reported as a leak.
const std::string yamlWarmUp = [] {
    std::ostringstream out;
    printStructured(out, Json{{"a", Json::array({"1", 1, true, nullptr})}}, OutputFormat::Yaml);
    return out.str();
}();

} // namespace

TEST_GROUP(Cli)
{
    FakeFleet fleet;
    const std::string routes = "test-ctl-routes.yaml";
    const std::string pools = "test-ctl-pools.yaml";
    void setup() override
    {
        std::ofstream(routes) << "a\nb\n";
        std::ofstream(pools) << "p\n";
        fleet.respond("GET /v1/tables", 200, R"({"version":4,"routes":"a\nc\n","pools":"p\n"})");
        fleet.respond("PUT /v1/tables", 200, R"({"version":5})");
    }
    void teardown() override
    {
        std::remove(routes.c_str());
        std::remove(pools.c_str());
    }
    bool printed(const std::string &text) const
    {
        return (fleet.out.str() + fleet.err.str()).find(text) != std::string::npos;
    }
    void setConfigVersions(int first, int second)
    {
        fleet.respond("GET /v1/status?scope=fleet&topic=config",
                      200,
                      R"({"parts":[{"daemon":"a","status":{"tables":)" + std::to_string(first) + R"(,"keys":9}},{"daemon":"b","status":{"tables":)"
                          + std::to_string(second) + R"(,"keys":9}}],"silent":[]})");
    }
    int apply()
    {
        return fleet.run({"tables", "apply", routes, pools});
    }
};

// Guards against a command that fails because one of several daemons is down.
TEST(Cli, AsksTheNextDaemonIfOneDoesNotAnswer)
{
    fleet.respond("GET /v1/jobs/j", 200, jobBody, "d2:1");
    CHECK_EQUAL(0, fleet.run({"jobs", "show", "j"}));
}

// Guards against a command that fails because one daemon is shutting down while others accept requests.
TEST(Cli, PassesOverADaemonThatIsStopping)
{
    fleet.respond("GET /v1/jobs/j", 503, stoppingBody, "d1:1");
    fleet.respond("GET /v1/jobs/j", 200, jobBody, "d2:1");
    CHECK_EQUAL(0, fleet.run({"jobs", "show", "j"}));
}

// Guards against an exit code that does not distinguish an unreachable fleet from a refused request.
TEST(Cli, ReturnsThreeIfNoDaemonAnswers)
{
    CHECK_EQUAL(3, fleet.run({"jobs", "show", "j"}));
    CHECK_TRUE(printed("KINGCUPLADDER_DAEMONS"));
}

// Guards against a script that treats a misspelt command as a refused request, because parse errors return the same exit code.
TEST(Cli, ReturnsTwoForAWrongCommandLine)
{
    CHECK_EQUAL(2, fleet.run({"jobs", "shw"}));
}

// Guards against an error message that does not say how to configure a daemon address.
TEST(Cli, NamesTheRemedyIfNoDaemonIsConfigured)
{
    fleet.environment.clear();
    CHECK_EQUAL(2, fleet.run({"daemons"}));
    CHECK_TRUE(printed("--daemon ip:port"));
}

// Guards against a command whose help text has no usage example, because it was not registered through addCommand().
TEST(Cli, ShowsAnExampleInTheHelpOfACommand)
{
    CHECK_EQUAL(0, fleet.run({"jobs", "submit", "--help"}));
    CHECK_TRUE(printed("Example: kingcupladderctl jobs submit"));
}

// Guards against a change that is reported as successful because one daemon accepted it, although another daemon still has the old
// version when the wait time ends.
TEST(Cli, SaysOnWhichDaemonsATableIsNotInForce)
{
    setConfigVersions(5, 4);
    CHECK_EQUAL(5, apply());
    CHECK_TRUE(printed("not yet"));
}

// Guards against reporting a failure although all daemons have the new version, because the rollout check misreads their status.
TEST(Cli, ReturnsZeroOnceATableIsInForceEverywhere)
{
    setConfigVersions(5, 5);
    CHECK_EQUAL(0, apply());
}

// Guards against a concurrent change of another operator being overwritten.
TEST(Cli, ReturnsFourIfAnotherOperatorWasFirst)
{
    fleet.respond("PUT /v1/tables", 409, conflictBody);
    CHECK_EQUAL(4, apply());
}

// Guards against sending invalid tables to a daemon.
TEST(Cli, SendsNoTablesThatFailTheCheck)
{
    fleet.issues.push_back({"routes", 2, "unknown pool", "define it"});
    CHECK_EQUAL(2, apply());
    CHECK_TRUE(fleet.calls.empty());
    CHECK_TRUE(printed(routes + ":2: unknown pool; define it"));
}

// Guards against reporting a failure after the response to a successful apply was lost; applying again would cause a conflict.
TEST(Cli, ReportsSuccessIfTheTablesAreInForceAfterALostResponse)
{
    setConfigVersions(5, 5);
    fleet.respond("PUT /v1/tables", 0, "");
    fleet.respond("GET /v1/tables", 200, R"({"version":5,"routes":"a\nb\n","pools":"p\n"})");
    CHECK_EQUAL(0, fleet.run({"tables", "apply", routes, pools, "--expected", "4"}));
}

// Guards against a diff with missing or spurious changes: one line between equal ones differs, and the pools do not.
TEST(Cli, ShowsTheLinesThatDiffer)
{
    CHECK_EQUAL(0, fleet.run({"tables", "diff", routes, pools}));
    STRCMP_EQUAL("- routes:2: c\n+ routes:2: b\n", fleet.out.str().c_str());
}

// Guards against a key that stays valid although its secret was lost with the response.
TEST(Cli, TellsHowToWithdrawAKeyWhoseResponseWasLost)
{
    fleet.respond("POST /v1/keys", 0, "");
    CHECK_EQUAL(5, fleet.run({"keys", "give", "t", "--id", "k2"}));
    CHECK_TRUE(printed("keys withdraw k2"));
}

// Guards against structured output that cannot be parsed because it contains two documents.
TEST(Cli, PrintsAGivenKeyAsOneJsonDocument)
{
    setConfigVersions(5, 5);
    fleet.respond("POST /v1/keys", 200, R"({"id":"k2","secret":"s","version":9})");
    CHECK_EQUAL(0, fleet.run({"keys", "give", "t", "--output", "json"}));
    STRCMP_EQUAL("s", Json::parse(fleet.out.str()).at("secret").get<std::string>().c_str());
}

// Guards against reporting an unknown outcome for a job that is stored.
TEST(Cli, ReadsBackAJobWhoseSubmissionIsUnknown)
{
    fleet.respond("POST /v1/jobs", 500, unknownBody);
    fleet.respond("GET /v1/jobs/j", 200, jobBody);
    CHECK_EQUAL(0, fleet.run({"jobs", "submit", "--route", "r", "--id", "j"}));
}

// Guards against a job that is submitted twice because the error message does not contain its id.
TEST(Cli, NamesTheIdOfAnUnknownSubmission)
{
    fleet.respond("POST /v1/jobs", 500, unknownBody);
    CHECK_EQUAL(5, fleet.run({"jobs", "submit", "--route", "r"}));
    CHECK_TRUE(printed("--id ctl-made-up"));
}

// Guards against a list of quarantined VMs that includes healthy ones.
TEST(Cli, ListsOnlyQuarantinedVms)
{
    fleet.respond("GET /v1/status?scope=fleet&topic=vms",
                  200,
                  R"({"parts":[{"daemon":"a","status":{"vms":[{"id":"w1","phase":"ready"},{"id":"w2","phase":"quarantined"}]}}]})");
    CHECK_EQUAL(0, fleet.run({"quarantine"}));
    CHECK_FALSE(printed("w1"));
    CHECK_TRUE(printed("w2"));
}

// Guards against a daemon that is listed once for each of its live peers, or not at all if it has none.
TEST(Cli, ListsEachDaemonOnce)
{
    fleet.respond("GET /v1/status?scope=fleet&topic=daemon", 200, R"({"parts":[{"daemon":"a","status":{"domain":"north","livePeers":["b","c"]}}]})");
    CHECK_EQUAL(0, fleet.run({"daemons", "-o", "json"}));
    CHECK_EQUAL(1, Json::parse(fleet.out.str()).at("daemons").size());
    CHECK_TRUE(printed("north"));
}

// Guards against sending the run time in a field that the API ignores, so that the job runs until it is stopped.
TEST(Cli, SubmitsTheRunTimeAsTheApiReadsIt)
{
    fleet.respond("POST /v1/jobs", 202, jobBody);
    CHECK_EQUAL(0, fleet.run({"jobs", "submit", "--route", "r", "--id", "j", "--run-ms", "500"}));
    STRCMP_EQUAL("500ms", Json::parse(fleet.calls.at(0).body).value("runTime", "").c_str());
}

// Guards against output that looks complete although a daemon did not answer.
TEST(Cli, NamesDaemonsThatDidNotAnswer)
{
    fleet.respond("GET /v1/status?scope=fleet&topic=shards", 200, R"({"parts":[],"silent":["b"]})");
    CHECK_EQUAL(0, fleet.run({"shards"}));
    CHECK_TRUE(printed("no answer from b"));
}

// Guards against YAML in which a string is read back as a number.
TEST(Cli, QuotesTextsInYaml)
{
    fleet.respond("GET /v1/jobs/j", 200, R"({"id":"1","tasks":2})");
    CHECK_EQUAL(0, fleet.run({"jobs", "show", "j", "-o", "yaml"}));
    STRCMP_EQUAL("id: \"1\"\ntasks: 2\n", fleet.out.str().c_str());
}
