// Soak tests. Every test run includes one short run with a fixed seed. To run more seeds manually:
// LADDER_SOAK_SEED=7 LADDER_SOAK_RUNS=50 test-soak runs the 50 seeds starting at 7.
#include "soak.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace KingCupLadder;
using namespace KingCupLadder::SoakTest;

namespace {

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Runs one soak. Returns an empty text on success, otherwise the violations and the faults that were injected.
std::string runSoak(std::uint64_t seed, bool playsCrashes, bool playsEvacuations)
{
    const char *build = std::getenv("LADDER_BUILD_DIR");
    SoakSettings settings;
    settings.seed = seed;
    settings.workers = seed % 4 == 3 ? 110 : 12; // In a large cell, some members relay the leader's calls.
    settings.programPath = std::string(build != nullptr ? build : "build") + "/platform/kingcupladder-node";
    settings.directory = std::string(build != nullptr ? build : "build")
        + (playsCrashes           ? "/soak-crashes-"
               : playsEvacuations ? "/soak-evacuations-"
                                  : "/soak-")
        + std::to_string(seed);
    settings.playsCrashes = playsCrashes;
    settings.playsEvacuations = playsEvacuations;
    settings.faultDuration = playsEvacuations ? Duration(20000) : settings.faultDuration; // Longer than an evacuation.
    std::filesystem::remove_all(settings.directory);
    const SoakReport report = Soak(settings).run();
    std::cout << "seed " << seed << ": " << report.admitted << " jobs admitted, " << report.succeeded << " succeeded, " << report.starts << " starts, "
              << report.faults.size() << " faults, " << report.crashes << " crashes under tasks, " << report.startsBesideEvacuations
              << " starts beside evacuations, " << report.violations.size() << " violations\n";
    const bool isVacuous = report.admitted == 0 || (playsCrashes && report.crashes == 0) || (playsEvacuations && report.startsBesideEvacuations == 0);
    if (report.violations.empty() && !isVacuous) {
        std::filesystem::remove_all(settings.directory);
        return {};
    }
    std::string text = "seed " + std::to_string(seed) + ", logs in " + settings.directory
        + (isVacuous ? ": no job was admitted, no worker crashed or no task started beside an evacuation" : "") + "\n";
    for (const std::string &violation : report.violations) {
        text += "  " + violation + "\n";
    }
    for (const std::string &fault : report.faults) {
        text += "  at " + fault + "\n";
    }
    return text;
}

/// Runs the seeds that the environment names.
std::string runSeeds(bool playsCrashes, bool playsEvacuations = false)
{
    const std::uint64_t first = numberFromEnvironment("LADDER_SOAK_SEED", 1);
    std::string failures;
    for (std::uint64_t seed = first; seed < first + numberFromEnvironment("LADDER_SOAK_RUNS", 1); ++seed) {
        failures += runSoak(seed, playsCrashes, playsEvacuations);
    }
    return failures;
}

} // namespace

TEST_GROUP(FaultSoak){};

// Guards against guarantees that are violated only by certain sequences of faults in several processes.
TEST(FaultSoak, KeepsItsGuaranteesWhileProcessesLinksAndStoreFail)
{
    STRCMP_EQUAL("", runSeeds(numberFromEnvironment("LADDER_SOAK_CRASHES", 0) != 0).c_str());
}

TEST_GROUP(CrashSoak){};

// Guards against a scheduler that starts a task which crashes its workers again and again, gives up other jobs instead, or fills a worker
// beyond a capacity that has shrunk.
TEST(CrashSoak, KeepsItsGuaranteesWhileTasksCrashTheirWorkersAndCapacitiesShrink)
{
    STRCMP_EQUAL("", runSeeds(true).c_str());
}

TEST_GROUP(EvacuationSoak){};

// Guards against starts in an evacuated failure domain after a change of leader, an outage of the store or a restart of a daemon.
TEST(EvacuationSoak, NoTaskStartsInAnEvacuatedDomainWhileProcessesLinksAndStoreFail)
{
    STRCMP_EQUAL("", runSeeds(false, true).c_str());
}
