// Injects every fault at every protocol step. Each cell of the matrix runs a small workload, injects one fault when its step is
// reached, heals it, and then requires that no invariant was violated and that every admitted job finished exactly once.
// LADDER_MATRIX_CELL=<number> runs a single cell; LADDER_MATRIX_SEED=<number> replaces the default seed.
#include "fleet.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace KingCupLadder;
using namespace KingCupLadder::Matrix;

namespace {

constexpr std::uint64_t defaultSeed = 1;
constexpr Duration settleSpan{12000}; // Longer than a lease term, so that every shard gets an owner.
constexpr Duration faultSpan{15000}; // Longer than a lease term, so that shards change their owner.
constexpr Duration finishTimeout{180000}; // Several times the duration of two takeovers and a task term.

const char *const routesYaml = R"(routes:
  - {name: batch, class: batch, pool: main, demand: {cpu: 1, memory: 1GiB}}
  - {name: gang, class: batch, pool: main, allAtOnce: true, demand: {cpu: 1, memory: 1GiB}}
  - {name: moving, class: batch, pool: main, partition: move, demand: {cpu: 1, memory: 1GiB}}
)";
const char *const poolsYaml = R"(teams:
  - {name: red, workspace: one, share: 2, limit: {cpu: 10, memory: 40GiB, accelerators: 2, slots: 40}}
  - {name: blue, workspace: two, share: 1, limit: {cpu: 6, memory: 24GiB, accelerators: 2, slots: 40}}
pools:
  - {name: main, vms: main, power: grid, teams: [red, blue]}
)";

struct Fault {
    std::string name;
    std::function<void(MatrixFleet &, std::size_t daemon)> inject;
    std::function<void(MatrixFleet &, std::size_t daemon)> heal;
};

void restartIfDown(MatrixFleet &fleet, std::size_t daemon)
{
    if (!fleet.isUp(daemon)) {
        fleet.start(daemon);
    }
}

void noAction(MatrixFleet &, std::size_t) { }

std::string domainName(MatrixFleet &fleet, std::size_t daemon)
{
    return fleet.domainOf(daemon).value();
}

std::vector<Fault> allFaults()
{
    const auto heal = [](MatrixFleet &fleet, std::size_t) { fleet.healNetwork(); };
    const auto storeUp = [](MatrixFleet &fleet, std::size_t) { fleet.storeDown = false; };
    return {
        {"kill", [](MatrixFleet &f, std::size_t d) { f.kill(d); }, restartIfDown},
        {"restart",
         [](MatrixFleet &f, std::size_t d) {
             f.kill(d);
             f.start(d);
         },
         noAction},
        {"pause past the lease", [](MatrixFleet &f, std::size_t d) { f.pause(d, Duration(12000)); }, noAction},
        {"store down", [](MatrixFleet &f, std::size_t) { f.storeDown = true; }, storeUp},
        {"store slow", [](MatrixFleet &f, std::size_t) { f.storeDelay = Duration(600); }, [](MatrixFleet &f, std::size_t) { f.storeDelay = Duration(2); }},
        {"replies lost", [](MatrixFleet &f, std::size_t) { f.storeLosesReplies = true; }, [](MatrixFleet &f, std::size_t) { f.storeLosesReplies = false; }},
        {"domains cut", [](MatrixFleet &f, std::size_t) { f.cutBothWays("a", "b"); }, heal},
        {"one-way cut", [](MatrixFleet &f, std::size_t) { f.cut("a", "b"); }, heal},
        {"domain cut from store", [](MatrixFleet &f, std::size_t d) { f.cutBothWays(domainName(f, d), "store"); }, heal},
        {"domain cut from all",
         [](MatrixFleet &f, std::size_t d) {
             f.cutBothWays(domainName(f, d), "store");
             f.cutBothWays("a", "b");
         },
         heal},
        // The faults of workers use the index of the daemon as that of the worker.
        {"worker dies", [](MatrixFleet &f, std::size_t d) { f.killWorker(d, Duration(4000)); }, noAction},
        {"worker fails all",
         [](MatrixFleet &f, std::size_t d) { f.workers[d]->failsEverything = true; },
         [](MatrixFleet &f, std::size_t d) { f.workers[d]->failsEverything = false; }},
        {"worker leaves", [](MatrixFleet &f, std::size_t d) { f.markLeaving(d); }, noAction},
        {"messages duplicated and reordered",
         [](MatrixFleet &f, std::size_t) {
             f.duplicateChance = 0.3;
             f.peerJitter = Duration(400);
         },
         [](MatrixFleet &f, std::size_t) {
             f.duplicateChance = 0.0;
             f.peerJitter = Duration(2);
         }},
        {"all restart",
         [](MatrixFleet &f, std::size_t) {
             for (std::size_t i = 0; i < f.daemonCount(); ++i) {
                 f.kill(i);
                 f.start(i);
             }
         },
         noAction},
        {"kill and store down",
         [](MatrixFleet &f, std::size_t d) {
             f.kill(d);
             f.storeDown = true;
         },
         [](MatrixFleet &f, std::size_t d) {
             f.storeDown = false;
             restartIfDown(f, d);
         }},
        {"pause and domains cut",
         [](MatrixFleet &f, std::size_t d) {
             f.pause(d, Duration(12000));
             f.cutBothWays("a", "b");
         },
         heal},
    };
}

std::vector<std::string> allSteps()
{
    return {"write daemons before",  "write daemons after",       "write shards before",   "write shards after",      "write queue before",
            "write queue after",     "write jobs before",         "write jobs after",      "write allotments before", "write allotments after",
            "scan queue after",      "read jobs after",           "sync inventory before", "sync inventory after",    "sync start before",
            "sync start after",      "sync renew before",         "sync renew after",      "peer Heartbeat before",   "peer JobForward before",
            "peer JobForward after", "peer JobForwardReply after"};
}

JobSpec makeJob(std::size_t number)
{
    JobSpec job;
    job.id = JobId("job" + std::to_string(number));
    job.team = TeamId(number % 3 == 0 ? "blue" : "red");
    job.pool = PoolName("main");
    job.route = RouteName(number % 5 == 0 ? "gang" : number % 5 == 1 ? "moving" : "batch");
    job.allAtOnce = number % 5 == 0;
    job.partition = number % 5 == 1 ? PartitionPolicy::Move : PartitionPolicy::Stay;
    job.priority = number % 7 == 0 ? Priority::Urgent : Priority::Normal;
    job.taskCount = 1 + number % 3;
    job.demand = Resources{MilliCores(1000), MebiBytes(1024), Accelerators(0), Slots(0)};
    job.declaredRunTime = Duration(500 + 400 * (number % 6));
    return job;
}

struct CellResult {
    bool reached = false; ///< Whether the step occurred.
    std::vector<std::string> violations;
};

CellResult runCell(const std::string &stepName, const Fault &fault, std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    MatrixFleet fleet(options);
    fleet.run(Duration(2000));
    fleet.applyTables(routesYaml, poolsYaml);
    fleet.run(settleSpan);
    CellResult result;
    std::optional<Step> injectedAt;
    std::size_t occurrences = 0;
    const std::size_t injectAtOccurrence = 1 + seed % 3; // Varies the occurrence at which the fault is injected.
    fleet.onStep = [&](const Step &step) {
        if (step.name == stepName && ++occurrences == injectAtOccurrence && !injectedAt) {
            injectedAt = step;
            fault.inject(fleet, step.daemon);
        }
    };
    constexpr std::size_t jobs = 24;
    std::size_t submitted = 0;
    while (submitted < jobs) {
        const std::size_t daemon = submitted % fleet.daemonCount();
        if (fleet.isUp(daemon)) {
            fleet.submit(daemon, makeJob(submitted));
        }
        ++submitted;
        fleet.run(Duration(150));
    }
    // Some steps occur only when a shard changes its owner, which a restart causes.
    if (!injectedAt) {
        fleet.kill(0);
        fleet.start(0);
        fleet.runUntil([&] { return injectedAt.has_value(); }, faultSpan);
    }
    fleet.run(faultSpan);
    fleet.onStep = nullptr; // A fault injected later would never be healed.
    if (injectedAt) {
        fault.heal(fleet, injectedAt->daemon);
    }
    for (std::size_t i = 0; i < fleet.daemonCount(); ++i) {
        if (!fleet.isUp(i)) {
            fleet.start(i);
        }
    }
    result.reached = injectedAt.has_value();
    // The store may have been down during all submissions above, so admission is checked again at every daemon.
    fleet.run(settleSpan);
    for (std::size_t i = 0; i < fleet.daemonCount(); ++i) {
        const auto answer = fleet.await(i, fleet.submit(i, makeJob(jobs + i)), Duration(6000));
        if (!answer || answer->error.kind != ErrorKind::None) {
            fleet.checker.report("no job is admitted after the fault was healed" + (answer ? ": " + answer->error.text() : std::string()));
        }
    }
    if (!fleet.runUntil([&] { return fleet.allFinished(); }, finishTimeout)) {
        fleet.checker.report("not finished: " + fleet.unfinishedJobs());
    }
    result.violations = fleet.checker.violations;
    return result;
}

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_GROUP(FaultMatrix){};

// A fault at any step of a protocol must not lose a job, run one of its tasks twice, or stop admission for good.
TEST(FaultMatrix, EveryFaultAtEveryStepKeepsTheInvariants)
{
    const std::uint64_t seed = numberFromEnvironment("LADDER_MATRIX_SEED", defaultSeed);
    const std::uint64_t onlyCell = numberFromEnvironment("LADDER_MATRIX_CELL", 0);
    const std::vector<Fault> faults = allFaults();
    std::uint64_t cell = 0;
    std::size_t reached = 0;
    std::size_t violated = 0;
    std::string failures;
    const std::vector<std::string> steps = allSteps();
    for (const std::string &step : steps) {
        for (const Fault &fault : faults) {
            ++cell;
            if (onlyCell != 0 && onlyCell != cell) {
                continue;
            }
            const CellResult result = runCell(step, fault, seed * 1000 + cell);
            reached += result.reached ? 1 : 0;
            if (!result.violations.empty()) {
                ++violated;
                failures += "\n  cell " + std::to_string(cell) + " [" + step + "] x [" + fault.name + "]: " + result.violations.front()
                    + "  (LADDER_MATRIX_SEED=" + std::to_string(seed) + " LADDER_MATRIX_CELL=" + std::to_string(cell) + " test-matrix)";
            }
        }
    }
    std::printf("fault matrix: %zu steps x %zu faults, %zu cells reached their step, %zu violated\n", steps.size(), faults.size(), reached, violated);
    STRCMP_EQUAL("", failures.c_str());
}
