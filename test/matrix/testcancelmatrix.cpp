// A burst of cancellations in the middle of a load: nothing cancelled starts after its confirmed cancellation was delivered,
// and all other work finishes.
#include "scenario.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <string>
#include <vector>

using namespace KingCupLadder;
using namespace KingCupLadder::Matrix;

namespace {

constexpr std::size_t allJobs = 700;
constexpr std::size_t cancelledJobs = 500;
constexpr Duration finishBound{240000};

struct WaveFault {
    std::string name;
    std::function<void(Fleet &)> inject;
    Duration delivery; ///< From the caller's answer until the owner must have the cancellation.
};

std::vector<WaveFault> waveFaults()
{
    return {
        {"none", [](Fleet &) {}, Duration(100)},
        {"messages late and repeated",
         [](Fleet &f) {
             f.duplicateChance = 0.3;
             f.peerJitter = Duration(400);
         },
         Duration(1000)},
        {"owner restarts",
         [](Fleet &f) {
             f.kill(1);
             f.start(1);
         },
         Duration(3000)},
        {"answers lost", [](Fleet &f) { f.storeLosesAnswers = true; }, Duration(1000)},
        {"store slow", [](Fleet &f) { f.storeDelay = Duration(600); }, Duration(1000)},
    };
}

struct Pending {
    std::size_t daemon = 0;
    OpId op;
    JobId job;
};

std::string runWave(const WaveFault &fault, std::uint64_t seed, std::size_t &confirmed)
{
    FleetOptions options;
    options.seed = seed;
    Fleet fleet(options);
    settle(fleet, 12);
    for (std::size_t number = 0; number < allJobs; ++number) {
        JobSpec job = jobOfScenario(number);
        job.taskCount = 1;
        job.declaredRunTime = Duration(100 + static_cast<std::int64_t>(number % 5) * 300);
        fleet.submit(number % fleet.daemonCount(), job);
        fleet.run(Duration(number % 10 == 0 ? 50 : 0));
    }
    fleet.run(Duration(3000));
    fault.inject(fleet);
    std::vector<Pending> pending;
    for (std::size_t number = 0; number < cancelledJobs; ++number) {
        const std::size_t daemon = number % fleet.daemonCount();
        const JobId job("job" + std::to_string(number * allJobs / cancelledJobs));
        const OpId op = fleet.core(daemon).cancelJob(job, TeamId(), fleet.now());
        pending.push_back(Pending{daemon, op, job});
    }
    std::vector<std::pair<TimePoint, JobId>> delivered;
    for (int step = 0; step < 2000; ++step) {
        fleet.run(Duration(10));
        std::vector<Pending> waiting;
        for (const Pending &item : pending) {
            const auto answer = fleet.answerOf(item.daemon, item.op);
            if (!answer) {
                waiting.push_back(item);
            } else if (std::holds_alternative<JobCancelled>(answer->body)) {
                ++confirmed;
                delivered.emplace_back(fleet.now() + fault.delivery, item.job);
            }
        }
        pending = std::move(waiting);
        for (const auto &[when, job] : delivered) {
            if (fleet.now() >= when) {
                fleet.checkers.cancelled.insert(job);
            }
        }
        if (step == 1000) {
            healEverything(fleet);
        }
    }
    if (!fleet.runUntil([&] { return fleet.allFinished(); }, finishBound)) {
        fleet.checkers.report("not finished: " + fleet.unfinishedJobs().substr(0, 200));
    }
    return fleet.checkers.violations.empty() ? std::string() : fleet.checkers.violations.front();
}

} // namespace

TEST_GROUP(CancelMatrix){};

// Guards against cancelled work that runs anyway and against a burst of cancellations that holds up other work.
TEST(CancelMatrix, AWaveOfCancellationsStopsTheCancelledJobsAndNoOthers)
{
    constexpr std::size_t seedsPerFault = 2;
    std::string failures;
    std::size_t runs = 0;
    std::size_t confirmed = 0;
    for (const WaveFault &fault : waveFaults()) {
        for (std::size_t i = 0; i < seedsPerFault; ++i) {
            const std::uint64_t seed = seedFromEnvironment() * 1000 + i;
            const std::string violation = runWave(fault, seed, confirmed);
            ++runs;
            if (!violation.empty()) {
                failures += "\n  [" + fault.name + "] " + violation + reproductionCommand("CancelMatrix", seed);
            }
        }
    }
    std::printf("cancellations: %zu runs of %zu jobs and %zu cancellations, %zu confirmed\n", runs, allJobs, cancelledJobs, confirmed);
    CHECK_TRUE_TEXT(confirmed > 0, ("no cancellation was confirmed" + reproductionCommand("CancelMatrix", seedFromEnvironment() * 1000)).c_str());
    STRCMP_EQUAL("", failures.c_str());
}
