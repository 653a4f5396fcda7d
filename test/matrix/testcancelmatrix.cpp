// Cancels many jobs at once under load: no task of a cancelled job may start after its confirmed cancellation was delivered to the
// owner, and all other jobs must finish.
#include "scenario.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <string>
#include <vector>

using namespace KingCupLadder;
using namespace KingCupLadder::Matrix;

namespace {

constexpr std::size_t jobCount = 700;
constexpr std::size_t cancellationCount = 500;
constexpr Duration finishTimeout{240000};

struct CancellationFault {
    std::string name;
    std::function<void(MatrixFleet &)> inject;
    Duration delivery; ///< Maximum time from the answer to the caller until the owner has the cancellation.
};

std::vector<CancellationFault> cancellationFaults()
{
    return {
        {"none", [](MatrixFleet &) {}, Duration(100)},
        {"messages late and repeated",
         [](MatrixFleet &f) {
             f.duplicateChance = 0.3;
             f.peerJitter = Duration(400);
         },
         Duration(1000)},
        // Daemon 1 is the only daemon of domain b, so it is the preferred owner of the shards there.
        {"owner restarts",
         [](MatrixFleet &f) {
             f.kill(1);
             f.start(1);
         },
         Duration(3000)},
        {"replies lost", [](MatrixFleet &f) { f.storeLosesReplies = true; }, Duration(1000)},
        {"store slow", [](MatrixFleet &f) { f.storeDelay = Duration(600); }, Duration(1000)},
    };
}

struct PendingCancellation {
    std::size_t daemon = 0;
    OpId op;
    JobId job;
};

std::string runCancellationBurst(const CancellationFault &fault, std::uint64_t seed, std::size_t &confirmed)
{
    FleetOptions options;
    options.seed = seed;
    MatrixFleet fleet(options);
    applyTablesAndSettle(fleet, 12);
    for (std::size_t number = 0; number < jobCount; ++number) {
        JobSpec job = jobOfScenario(number);
        job.taskCount = 1;
        job.declaredRunTime = Duration(100 + static_cast<std::int64_t>(number % 5) * 300);
        fleet.submit(number % fleet.daemonCount(), job);
        fleet.run(Duration(number % 10 == 0 ? 50 : 0));
    }
    fleet.run(Duration(3000));
    fault.inject(fleet);
    std::vector<PendingCancellation> pending;
    for (std::size_t number = 0; number < cancellationCount; ++number) {
        const std::size_t daemon = number % fleet.daemonCount();
        const JobId job("job" + std::to_string(number * jobCount / cancellationCount));
        const OpId op = fleet.core(daemon).cancelJob(job, TeamId(), fleet.now());
        pending.push_back(PendingCancellation{daemon, op, job});
    }
    std::vector<std::pair<TimePoint, JobId>> delivered;
    for (int step = 0; step < 2000; ++step) {
        fleet.run(Duration(10));
        std::vector<PendingCancellation> waiting;
        for (const PendingCancellation &item : pending) {
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
                fleet.checker.cancelled.insert(job);
            }
        }
        if (step == 1000) { // After 10 s of 20 s.
            healEverything(fleet);
        }
    }
    if (!fleet.runUntil([&] { return fleet.allFinished(); }, finishTimeout)) {
        fleet.checker.report("not finished: " + fleet.unfinishedJobs().substr(0, 200));
    }
    return fleet.checker.violations.empty() ? std::string() : fleet.checker.violations.front();
}

} // namespace

TEST_GROUP(CancelMatrix){};

// Cancelled jobs must not run anyway, and a burst of cancellations must not block other jobs.
TEST(CancelMatrix, ABurstOfCancellationsStopsTheCancelledJobsAndNoOthers)
{
    constexpr std::size_t seedsPerFault = 2;
    std::string failures;
    std::size_t runs = 0;
    std::size_t confirmed = 0;
    for (const CancellationFault &fault : cancellationFaults()) {
        for (std::size_t i = 0; i < seedsPerFault; ++i) {
            const std::uint64_t seed = seedFromEnvironment() * 1000 + i;
            const std::string violation = runCancellationBurst(fault, seed, confirmed);
            ++runs;
            if (!violation.empty()) {
                failures += "\n  [" + fault.name + "] " + violation + reproductionCommand("CancelMatrix", seed);
            }
        }
    }
    std::printf("cancellations: %zu runs of %zu jobs and %zu cancellations, %zu confirmed\n", runs, jobCount, cancellationCount, confirmed);
    CHECK_TRUE_TEXT(confirmed > 0, ("no cancellation was confirmed" + reproductionCommand("CancelMatrix", seedFromEnvironment() * 1000)).c_str());
    STRCMP_EQUAL("", failures.c_str());
}
