// ladder-bench: drives the decision core with seeded synthetic streams and prints one table.
#include "measures.h"
#include "mix.h"
#include "policyrun.h"

#include <CLI/CLI.hpp>

#include <array>
#include <cstdio>
#include <string>
#include <vector>

using namespace KingCupLadder;

namespace {

constexpr std::array<PolicyChoice, 5> choices{{
    {"first fit, shares", PlacementRule::FirstFit, true},
    {"best fit, shares", PlacementRule::BestFit, true},
    {"dot product, shares", PlacementRule::DotProduct, true},
    {"first fit, FIFO", PlacementRule::FirstFit, false},
    {"best fit, FIFO", PlacementRule::BestFit, false},
}};

void printHeader(const BenchSize &size, double load, std::uint64_t seed, std::size_t jobs)
{
    std::printf("size %s, load %.2f, seed %llu: %u workers, %u shards, %zu teams, %zu jobs in %.0f s\n",
                size.name.c_str(),
                load,
                static_cast<unsigned long long>(seed),
                size.workers,
                size.domains,
                size.teamShares.size(),
                jobs,
                size.seconds);
    std::printf("%-20s %9s %9s %7s %7s %7s %7s %7s", "policy", "starts/s", "dec/s", "p50 us", "p99 us", "p99.9us", "packing", "share");
    for (std::size_t i = 0; i < benchClasses; ++i) {
        std::printf(" %9s p50/p99 ms", toString(static_cast<BenchClass>(i)));
    }
    std::printf("\n");
}

void printResult(const BenchSize &size, const RunResult &result)
{
    std::printf("%-20s %9.0f %9.0f %7.2f %7.2f %7.2f %6.1f%% %6.1f%%",
                result.rule.c_str(),
                static_cast<double>(result.starts) / size.seconds,
                static_cast<double>(result.decisionMicros.count()) / result.decisionSeconds,
                result.decisionMicros.percentile(0.5),
                result.decisionMicros.percentile(0.99),
                result.decisionMicros.percentile(0.999),
                result.packing * 100.0,
                result.shareDistance * 100.0);
    for (const Samples &waits : result.waitMs) {
        std::printf(" %9.0f/%10.0f", waits.percentile(0.5), waits.percentile(0.99));
    }
    std::printf("\n");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Drives the decision core with seeded synthetic streams and prints one table"};
    std::string sizeName = "nuit";
    std::uint64_t seed = 1;
    double load = 1.1;
    app.add_option("--size", sizeName, "nuit, hardanger, tenfold or target")->check(CLI::IsMember({"nuit", "hardanger", "tenfold", "target"}));
    app.add_option("--seed", seed, "seed of the stream");
    app.add_option("--load", load, "offered work as a part of the installation's processors")->check(CLI::Range(0.05, 5.0));
    CLI11_PARSE(app, argc, argv);
    const BenchSize size = benchSize(sizeName);
    const std::vector<StreamJob> stream = makeStream(size, load, seed);
    printHeader(size, load, seed, stream.size());
    for (const PolicyChoice &choice : choices) {
        printResult(size, runPolicy(size, stream, choice));
        std::fflush(stdout);
    }
    const MemoryResult memory = measureMemory(size);
    std::printf("memory: %.0f bytes per worker in the index, %.0f bytes per waiting task in the queue; cancellation in a burst: %.2f us\n",
                memory.perWorker,
                memory.perTask,
                memory.removeMicros);
    return 0;
}
