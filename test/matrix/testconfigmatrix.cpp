// Configuration changes under faults: a withdrawn key stops working in time, keys are accepted only while the daemon can't have
// missed a withdrawal, accepted tables become active in time, versions never decrease, and one of two concurrent changes is accepted.
#include "scenario.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <string>
#include <vector>

using namespace KingCupLadder;
using namespace KingCupLadder::Matrix;

namespace {

constexpr Duration propagationBound{5000}; // Design document, section 3.9.
constexpr std::size_t seedsPerFault = 10;
const char *const secret = "secret of red";

struct ConfigFault {
    std::string name;
    std::function<void(MatrixFleet &)> inject;
};

std::vector<ConfigFault> configFaults()
{
    const auto delayed = [](MatrixFleet &f) {
        f.duplicateChance = 0.3;
        f.peerJitter = Duration(1500);
    };
    return {
        {"none", [](MatrixFleet &) {}},
        {"domains cut", [](MatrixFleet &f) { f.cutBothWays("a", "b"); }},
        {"one-way cut from a to b", [](MatrixFleet &f) { f.cut("a", "b"); }},
        {"one-way cut from b to a", [](MatrixFleet &f) { f.cut("b", "a"); }},
        {"store down", [](MatrixFleet &f) { f.storeDown = true; }},
        {"replies lost", [](MatrixFleet &f) { f.storeLosesReplies = true; }},
        {"heartbeats delayed", delayed},
        {"domain b cut from store", [](MatrixFleet &f) { f.cutBothWays("b", "store"); }},
        {"domain b cut from all",
         [](MatrixFleet &f) {
             f.cutBothWays("b", "store");
             f.cutBothWays("a", "b");
         }},
        {"domain b cut from store and delayed",
         [delayed](MatrixFleet &f) {
             f.cutBothWays("b", "store");
             delayed(f);
         }},
        {"store slow", [](MatrixFleet &f) { f.storeDelay = Duration(600); }},
    };
}

bool accepted(const std::optional<CallerAnswer> &answer)
{
    return answer && answer->error.kind == ErrorKind::None;
}

bool acceptsKey(MatrixFleet &fleet, std::size_t daemon)
{
    return fleet.isUp(daemon) && static_cast<bool>(fleet.core(daemon).identify(secret, fleet.now()));
}

void issueKey(MatrixFleet &fleet)
{
    TeamKey key;
    key.id = KeyId("key1");
    key.team = TeamId("red");
    key.digest = keyDigest(secret);
    if (!accepted(fleet.await(0, fleet.core(0).issueKey(key, fleet.now()), Duration(8000)))) {
        fleet.checker.report("the key was not issued");
    }
    fleet.run(Duration(4000));
}

std::string firstViolation(const MatrixFleet &fleet)
{
    return fleet.checker.violations.empty() ? std::string() : fleet.checker.violations.front();
}

/// Withdraws the key under the fault. After the bound, every daemon that is up, partitioned or not, must reject the key.
std::string withdrawKeyUnderFault(const ConfigFault &fault, std::uint64_t seed, std::size_t &acceptedRuns)
{
    FleetOptions options;
    options.seed = seed;
    MatrixFleet fleet(options);
    applyTablesAndSettle(fleet, 8);
    issueKey(fleet);
    for (std::size_t i = 0; i < fleet.daemonCount(); ++i) {
        if (!acceptsKey(fleet, i)) {
            fleet.checker.report("the key is not known at daemon " + std::to_string(i));
        }
    }
    fault.inject(fleet);
    fleet.run(Duration(static_cast<std::int64_t>(seed * 700 % 9000))); // Varies how long the fault lasts before the withdrawal.
    const std::size_t operatorsDaemon = seed % fleet.daemonCount();
    const OpId op = fleet.core(operatorsDaemon).withdrawKey(KeyId("key1"), fleet.now());
    const bool withdrawalAccepted = accepted(fleet.await(operatorsDaemon, op, Duration(10000)));
    acceptedRuns += withdrawalAccepted ? 1 : 0;
    for (int tick = 0; withdrawalAccepted && tick < 150; ++tick) {
        fleet.run(Duration(100));
        for (std::size_t i = 0; i < fleet.daemonCount() && Duration(100) * (tick + 1) > propagationBound; ++i) {
            if (acceptsKey(fleet, i)) {
                fleet.checker.report("the withdrawn key is accepted by daemon " + std::to_string(i) + " " + std::to_string(tick + 1) + "00 ms later");
            }
        }
    }
    return firstViolation(fleet);
}

/// Applies newer tables under the fault. The daemons that reach the store or the writer must activate them within the bound.
std::string applyTablesUnderFault(const ConfigFault &fault, std::uint64_t seed, std::size_t &acceptedRuns)
{
    FleetOptions options;
    options.seed = seed;
    MatrixFleet fleet(options);
    applyTablesAndSettle(fleet, 8);
    const bool cutOff = fault.name == "domain b cut from all";
    fault.inject(fleet);
    fleet.run(Duration(static_cast<std::int64_t>(seed * 300 % 3000)));
    const std::size_t writer = seed % fleet.daemonCount();
    const ConfigVersion before = fleet.core(writer).tablesVersion();
    const OpId op = fleet.core(writer).applyTables(before, routesOfScenario(), poolsOfScenario(9), fleet.now());
    const auto answer = fleet.await(writer, op, Duration(10000));
    if (accepted(answer)) {
        ++acceptedRuns;
        const ConfigVersion version = std::get<ConfigAccepted>(answer->body).version;
        fleet.run(propagationBound);
        for (std::size_t i = 0; i < fleet.daemonCount(); ++i) {
            const bool reachable = !cutOff || fleet.domainOf(i) == fleet.domainOf(writer);
            if (reachable && fleet.core(i).tablesVersion() < version) {
                fleet.checker.report("daemon " + std::to_string(i) + " has an older version 5 s after it was accepted");
            }
        }
    }
    fleet.run(Duration(3000));
    healEverything(fleet);
    fleet.run(Duration(8000));
    return firstViolation(fleet);
}

/// Applies different tables with the same expected version through two daemons at once.
std::string applyConcurrentlyUnderFault(const ConfigFault &fault, std::uint64_t seed, std::size_t &acceptedRuns)
{
    FleetOptions options;
    options.seed = seed;
    MatrixFleet fleet(options);
    applyTablesAndSettle(fleet, 8);
    const ConfigVersion before = fleet.core(0).tablesVersion();
    fault.inject(fleet);
    const std::string first = poolsOfScenario(11);
    const std::string second = poolsOfScenario(12);
    const OpId opFirst = fleet.core(0).applyTables(before, routesOfScenario(), first, fleet.now());
    const OpId opSecond = fleet.core(1).applyTables(before, routesOfScenario(), second, fleet.now());
    const auto answerFirst = fleet.await(0, opFirst, Duration(15000));
    const auto answerSecond = fleet.await(1, opSecond, Duration(15000));
    healEverything(fleet);
    fleet.run(Duration(8000));
    const std::string activePools = fleet.core(2).poolsYaml();
    const auto check = [&](const std::optional<CallerAnswer> &answer, const std::string &own) {
        if (!answer) {
            fleet.checker.report("a change was not answered");
        } else if (accepted(answer) && activePools != own) {
            fleet.checker.report("a change was answered as accepted but is not active");
        } else if (!accepted(answer) && answer->ran == ExecutionStatus::NotRun && activePools == own) {
            fleet.checker.report("a change was answered as not accepted but is active");
        }
    };
    check(answerFirst, first);
    check(answerSecond, second);
    if (accepted(answerFirst) && accepted(answerSecond)) {
        fleet.checker.report("both concurrent changes were accepted");
    }
    const bool anyAccepted = accepted(answerFirst) || accepted(answerSecond);
    acceptedRuns += anyAccepted ? 1 : 0;
    if (!anyAccepted && fault.name == "none") {
        fleet.checker.report("neither concurrent change was accepted, without a fault");
    }
    return firstViolation(fleet);
}

using Run = std::function<std::string(const ConfigFault &, std::uint64_t, std::size_t &)>;

void runAllFaults(const char *title, const Run &run)
{
    std::string failures;
    std::size_t runs = 0;
    std::size_t acceptedRuns = 0;
    for (const ConfigFault &fault : configFaults()) {
        for (std::size_t i = 0; i < seedsPerFault; ++i) {
            const std::uint64_t seed = seedFromEnvironment() * 1000 + i;
            const std::string violation = run(fault, seed, acceptedRuns);
            ++runs;
            if (!violation.empty()) {
                failures += "\n  [" + fault.name + "] " + violation + reproductionCommand("ConfigMatrix", seed);
            }
        }
    }
    std::printf("%s: %zu runs, %zu with an accepted change\n", title, runs, acceptedRuns);
    STRCMP_EQUAL("", failures.c_str());
}

} // namespace

TEST_GROUP(ConfigMatrix){};

// A daemon that missed a withdrawal must not keep accepting the withdrawn key.
TEST(ConfigMatrix, AWithdrawnKeyStopsEverywhereWithinFiveSeconds)
{
    runAllFaults("withdrawals", withdrawKeyUnderFault);
}

// A late or reordered push must not leave a daemon with older tables than the accepted ones.
TEST(ConfigMatrix, AcceptedTablesAreActiveWithinFiveSecondsAndNeverRevert)
{
    runAllFaults("tables", applyTablesUnderFault);
}

// Two operators must not overwrite each other's tables without noticing, nor be told a wrong outcome after a lost reply.
TEST(ConfigMatrix, OneOfTwoConcurrentChangesIsAcceptedAndBothAnswersAreTrue)
{
    runAllFaults("two operators", applyConcurrentlyUnderFault);
}

// A long store outage must not make daemons refuse all requests with a key.
TEST(ConfigMatrix, KeysAreAcceptedInAStoreOutageWhileAllDomainsAreReachable)
{
    FleetOptions options;
    options.seed = seedFromEnvironment();
    MatrixFleet fleet(options);
    applyTablesAndSettle(fleet, 8);
    issueKey(fleet);
    fleet.storeDown = true;
    fleet.run(Duration(10000));
    for (int step = 0; step < 600; ++step) {
        fleet.run(Duration(100));
        for (std::size_t i = 0; i < fleet.daemonCount(); ++i) {
            if (!acceptsKey(fleet, i)) {
                fleet.checker.report("daemon " + std::to_string(i) + " rejects the key in an outage, " + std::to_string(step) + "00 ms after its first 10 s"
                                     + reproductionCommand("ConfigMatrix", options.seed));
            }
        }
    }
    STRCMP_EQUAL("", firstViolation(fleet).c_str());
}

// A daemon that reaches neither the store nor another domain must refuse a key that may have been withdrawn there.
TEST(ConfigMatrix, KeysAreRejectedWhereAWithdrawalMayBeMissed)
{
    FleetOptions options;
    options.seed = seedFromEnvironment();
    MatrixFleet fleet(options);
    applyTablesAndSettle(fleet, 8);
    issueKey(fleet);
    fleet.cutBothWays("b", "store");
    fleet.cutBothWays("a", "b");
    fleet.run(propagationBound + Duration(1000));
    const auto refused = fleet.core(1).identify(secret, fleet.now());
    const std::string reproduction = reproductionCommand("ConfigMatrix", options.seed);
    CHECK_FALSE_TEXT(static_cast<bool>(refused), ("the partitioned daemon accepts the key" + reproduction).c_str());
    CHECK_TRUE_TEXT(refused.reason().kind == ErrorKind::Unavailable, ("the reason is not an outdated key list" + reproduction).c_str());
    CHECK_TRUE_TEXT(acceptsKey(fleet, 0), ("the daemon that reaches the store rejects the key" + reproduction).c_str());
}
