// ladder-bench: runs the scheduling core against seeded synthetic workloads and prints a table of results. The subcommands shard
// and memory run a shard controller instead, daemons runs complete daemons, and backlog the leader of a cell.
#include "backlogrun.h"
#include "daemonrun.h"
#include "measures.h"
#include "policyrun.h"
#include "shardreport.h"
#include "workload.h"

#include <CLI/CLI.hpp>

#include <array>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace KingCupLadder;

namespace {

constexpr std::array<PolicyConfig, 5> policies{{
    {"first fit, shares", PlacementPolicy::FirstFit, true},
    {"best fit, shares", PlacementPolicy::BestFit, true},
    {"dot product, shares", PlacementPolicy::DotProduct, true},
    {"first fit, FIFO", PlacementPolicy::FirstFit, false},
    {"best fit, FIFO", PlacementPolicy::BestFit, false},
}};

void printHeader(const BenchProfile &profile, double load, std::uint64_t seed, std::size_t jobs)
{
    std::printf("size %s, load %.2f, seed %llu: %u workers, %u shards, %zu teams, %zu jobs in %.0f s\n",
                profile.name.c_str(),
                load,
                static_cast<unsigned long long>(seed),
                profile.workers,
                profile.domains,
                profile.teamShares.size(),
                jobs,
                profile.seconds);
    std::printf("%-20s %9s %9s %7s %7s %7s %7s %7s", "policy", "starts/s", "dec/s", "p50 us", "p99 us", "p99.9us", "packing", "share");
    for (std::size_t i = 0; i < benchClassCount; ++i) {
        std::printf(" %9s p50/p99 ms", toString(static_cast<BenchClass>(i)));
    }
    std::printf("\n");
}

void printResult(const BenchProfile &profile, const PolicyRunResult &result)
{
    std::printf("%-20s %9.0f %9.0f %7.2f %7.2f %7.2f %6.1f%% %6.1f%%",
                result.policyName.c_str(),
                static_cast<double>(result.starts) / profile.seconds,
                static_cast<double>(result.decisionMicros.count()) / result.decisionSeconds,
                result.decisionMicros.percentile(0.5),
                result.decisionMicros.percentile(0.99),
                result.decisionMicros.percentile(0.999),
                result.packingEfficiency * 100.0,
                result.fairShareDeviation * 100.0);
    for (const Samples &waits : result.waitMs) {
        std::printf(" %9.0f/%10.0f", waits.percentile(0.5), waits.percentile(0.99));
    }
    std::printf("\n");
}

void addShardCommands(CLI::App &app, ShardRunSettings &settings)
{
    const std::map<std::string, PlacementPolicy> placementPolicies{
        {"first", PlacementPolicy::FirstFit}, {"best", PlacementPolicy::BestFit}, {"dot", PlacementPolicy::DotProduct}};
    CLI::App *run = app.add_subcommand("shard", "runs a shard controller against simulated workers");
    run->add_option("--load", settings.load, "task start rate relative to the target profile");
    run->add_option_function<std::int64_t>(
        "--interval", [&settings](std::int64_t span) { settings.syncInterval = Duration(span); }, "sync interval in ms");
    run->add_option("--seed", settings.seed, "random seed of the workload");
    run->add_option("--tasks-per-job", settings.tasksPerJob, "tasks of each normal job");
    run->add_option("--rule", settings.placementPolicy, "placement policy")->transform(CLI::CheckedTransformer(placementPolicies));
    run->add_flag("--list-always", settings.alwaysListRunning, "workers list their running tasks in every reply");
    CLI::App *memory = app.add_subcommand("memory", "measures the memory of a shard controller per worker and task");
    memory->add_option("--tasks-per-job", settings.tasksPerJob, "tasks of each job");
}

void addDaemonCommand(CLI::App &app, DaemonRunSettings &settings, std::vector<std::uint32_t> &counts)
{
    CLI::App *run = app.add_subcommand("daemons", "runs complete daemons against one in-memory store");
    run->add_option("--daemons", counts, "daemon counts; one run for each");
    run->add_option("--workers", settings.workers, "number of workers, spread over 5 failure domains");
    run->add_option("--jobs", settings.jobsPerSecond, "jobs submitted per second");
    run->add_option("--tasks-per-job", settings.tasksPerJob, "tasks of each job");
    run->add_option("--interval", settings.syncIntervalMs, "sync interval in ms");
    run->add_option("--vm-interval", settings.vmListIntervalMs, "interval of VM list reads in ms");
}

void addBacklogCommand(CLI::App &app, BacklogRunSettings &settings)
{
    CLI::App *run = app.add_subcommand("backlog", "measures the scheduling rounds of a cell's leader on a full cell");
    run->add_option("--workers", settings.workers, "numbers of workers; one row for each combination");
    run->add_option("--waiting", settings.waitingSteps, "numbers of waiting steps");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Runs the scheduling core against seeded synthetic workloads and prints a table of results"};
    std::string profileName = "nuit";
    std::uint64_t seed = 1;
    double load = 1.1;
    app.add_option("--size", profileName, "nuit, hardanger, tenfold or target")->check(CLI::IsMember({"nuit", "hardanger", "tenfold", "target"}));
    app.add_option("--seed", seed, "random seed of the workload");
    app.add_option("--load", load, "offered load as a fraction of the cluster's CPU capacity")->check(CLI::Range(0.05, 5.0));
    ShardRunSettings shard;
    addShardCommands(app, shard);
    DaemonRunSettings daemons;
    std::vector<std::uint32_t> daemonCounts{7, 35, 70};
    addDaemonCommand(app, daemons, daemonCounts);
    BacklogRunSettings backlog;
    addBacklogCommand(app, backlog);
    CLI11_PARSE(app, argc, argv);
    if (app.got_subcommand("backlog")) {
        printBacklogRuns(backlog);
        return 0;
    }
    if (app.got_subcommand("shard")) {
        printShardRuns(shard);
        return 0;
    }
    if (app.got_subcommand("daemons")) {
        printDaemonRuns(daemons, daemonCounts);
        return 0;
    }
    if (app.got_subcommand("memory")) {
        printShardMemory(shard.tasksPerJob);
        return 0;
    }
    const BenchProfile profile = benchProfile(profileName);
    const std::vector<WorkloadJob> workload = generateWorkload(profile, load, seed);
    printHeader(profile, load, seed, workload.size());
    for (const PolicyConfig &policy : policies) {
        printResult(profile, runPolicy(profile, workload, policy));
        std::fflush(stdout);
    }
    const PolicyMemory memory = measureMemory(profile);
    std::printf("memory: %.0f bytes per worker in the index, %.0f bytes per waiting task in the queue; cancellation in a burst: %.2f us\n",
                memory.perWorker,
                memory.perQueuedTask,
                memory.cancelMicros);
    return 0;
}
