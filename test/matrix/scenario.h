// Shared by the tests that use the simulated fleet: tables, jobs, seeds and random faults.
#pragma once

#include "fleet.h"

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace KingCupLadder::Matrix {

constexpr Duration settleSpan{12000}; // Longer than a lease term, so that every shard gets an owner.

inline std::uint64_t seedFromEnvironment()
{
    const char *text = std::getenv("LADDER_MATRIX_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/// Returns the command that reproduces a failed run.
inline std::string reproductionCommand(const char *group, std::uint64_t seed)
{
    return " (run seed " + std::to_string(seed) + "; LADDER_MATRIX_SEED=" + std::to_string(seedFromEnvironment()) + " test-matrix -g " + group + ")";
}

inline const char *routesOfScenario()
{
    return "routes:\n"
           "  - {name: batch, class: batch, pool: main, demand: {cpu: 1, memory: 1GiB}}\n"
           "  - {name: moving, class: batch, pool: main, partition: move, demand: {cpu: 1, memory: 1GiB}}\n";
}

/// @p cpu is the fleet-wide CPU limit, in cores, of each of the two teams.
inline std::string poolsOfScenario(int cpu)
{
    const std::string limit = "limit: {cpu: " + std::to_string(cpu) + ", memory: 100GiB, accelerators: 2, slots: 100}}\n";
    return "teams:\n  - {name: red, workspace: one, share: 2, " + limit + "  - {name: blue, workspace: two, share: 1, " + limit
        + "pools:\n  - {name: main, vms: main, power: grid, teams: [red, blue]}\n";
}

inline JobSpec jobOfScenario(std::size_t number)
{
    JobSpec job;
    job.id = JobId("job" + std::to_string(number));
    job.team = TeamId(number % 3 == 0 ? "blue" : "red");
    job.pool = PoolName("main");
    job.route = RouteName(number % 4 == 1 ? "moving" : "batch");
    job.partition = number % 4 == 1 ? PartitionPolicy::Move : PartitionPolicy::Stay;
    job.taskCount = 1 + number % 3;
    job.demand = Resources{MilliCores(1000), MebiBytes(1024), Accelerators(0), Slots(0)};
    job.declaredRunTime = Duration(500 + 900 * (number % 6));
    return job;
}

/// Applies the tables and waits until every shard has an owner.
inline void applyTablesAndSettle(MatrixFleet &fleet, int cpuLimit)
{
    fleet.run(Duration(2000));
    fleet.applyTables(routesOfScenario(), poolsOfScenario(cpuLimit));
    fleet.run(settleSpan);
}

/// Ends the faults of network, store and messages, and restarts the daemons that are down or paused.
inline void healEverything(MatrixFleet &fleet)
{
    fleet.healNetwork();
    fleet.storeDown = false;
    fleet.storeLosesReplies = false;
    fleet.storeDelay = Duration(2);
    fleet.duplicateChance = 0.0;
    fleet.peerJitter = Duration(2);
    fleet.syncDelayChance = 0.0;
    for (std::size_t i = 0; i < fleet.daemonCount(); ++i) {
        if (!fleet.isUp(i)) {
            fleet.start(i);
        }
    }
}

/// Injects one random fault. Earlier faults stay active until they are healed.
inline void injectRandomFault(MatrixFleet &fleet, std::mt19937_64 &random)
{
    const std::size_t daemon = random() % fleet.daemonCount();
    const std::string domain = fleet.domainOf(daemon).value();
    switch (random() % 9) {
    case 0:
        fleet.kill(daemon);
        break;
    case 1:
        fleet.kill(daemon);
        fleet.start(daemon);
        break;
    case 2:
        fleet.pause(daemon, Duration(12000));
        break;
    case 3:
        fleet.storeDown = true;
        break;
    case 4:
        fleet.storeLosesReplies = true;
        break;
    case 5:
        fleet.cutBothWays("a", "b");
        break;
    case 6:
        fleet.cutBothWays(domain, "store");
        break;
    case 7:
        fleet.syncDelayChance = 0.2;
        break;
    default:
        fleet.duplicateChance = 0.3;
        fleet.peerJitter = Duration(400);
        break;
    }
}

} // namespace KingCupLadder::Matrix
