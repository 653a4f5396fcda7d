// Runs soaks. A short one with a fixed seed is part of every test run. By hand: LADDER_SOAK_SEED=7 LADDER_SOAK_RUNS=50 test-soak
// plays the seeds from 7 on.
#include "soak.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace KingCupLadder;
using namespace KingCupLadder::SoakTest;

namespace {

std::uint64_t numberFrom(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

/// The breaches of one soak, with what led to them; empty if there are none.
std::string play(std::uint64_t seed)
{
    const char *build = std::getenv("LADDER_BUILD_DIR");
    SoakSettings settings;
    settings.seed = seed;
    settings.workers = seed % 4 == 3 ? 110 : 12; // A large cell lets some members carry the leader's calls.
    settings.program = std::string(build != nullptr ? build : "build") + "/platform/kingcupladder-node";
    settings.folder = std::string(build != nullptr ? build : "build") + "/soak-" + std::to_string(seed);
    std::filesystem::remove_all(settings.folder);
    const SoakReport report = Soak(settings).run();
    std::cout << "seed " << seed << ": " << report.admitted << " jobs admitted, " << report.succeeded << " succeeded, " << report.starts << " starts, "
              << report.faults.size() << " faults, " << report.breaches.size() << " breaches\n";
    if (report.breaches.empty() && report.admitted > 0) {
        std::filesystem::remove_all(settings.folder);
        return {};
    }
    std::string text = "seed " + std::to_string(seed) + ", logs in " + settings.folder + (report.admitted == 0 ? ": no job was admitted" : "") + "\n";
    for (const std::string &reportViolation : report.breaches) {
        text += "  " + reportViolation + "\n";
    }
    for (const std::string &fault : report.faults) {
        text += "  at " + fault + "\n";
    }
    return text;
}

} // namespace

TEST_GROUP(FaultSoak){};

// Guards against promises that are broken only by a certain order of faults in several processes.
TEST(FaultSoak, KeepsItsPromisesWhileProcessesLinksAndStoreFail)
{
    const std::uint64_t first = numberFrom("LADDER_SOAK_SEED", 1);
    std::string failures;
    for (std::uint64_t seed = first; seed < first + numberFrom("LADDER_SOAK_RUNS", 1); ++seed) {
        failures += play(seed);
    }
    STRCMP_EQUAL("", failures.c_str());
}
