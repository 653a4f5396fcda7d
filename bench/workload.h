// Seeded synthetic workloads for the benchmarks.
#pragma once

#include "core/job.h"
#include "core/resources.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace KingCupLadder {

enum class BenchClass {
    Request,
    Urgent,
    Batch,
    Gang,
    Service,
};

constexpr std::size_t benchClassCount = 5;
[[nodiscard]] const char *toString(BenchClass workClass);

/// One kind of job in a workload. Resource demands are drawn from a few values, since users request round numbers.
struct WorkloadKind {
    BenchClass workClass;
    double startFraction; ///< Fraction of all task starts.
    std::vector<std::int64_t> milliCores;
    std::vector<std::int64_t> memoryMiB;
    double minSeconds; ///< Shortest run time of a task, before scaling to the start rate of the profile.
    double maxSeconds;
    std::uint32_t minTasks; ///< Fewest tasks of a job.
    std::uint32_t maxTasks;
};

/// Cluster size and workload of a benchmark.
struct BenchProfile {
    std::string name;
    std::uint32_t workers = 0;
    std::uint32_t domains = 0; ///< Failure domains, with one shard each.
    std::uint32_t rackSize = 0; ///< Workers per rack.
    std::vector<double> teamShares;
    std::vector<WorkloadKind> kinds;
    double startRate = 0.0; ///< Task starts per second at load 1, to which run times are scaled; 0 derives it from the run times.
    double seconds = 0.0; ///< Virtual duration of a run.
};

/// Returns the profile "nuit" or "hardanger" (50 workers each), "tenfold" (500 workers) or "target" (7,800 workers). The head of
/// workload.cpp describes their workloads.
[[nodiscard]] BenchProfile benchProfile(const std::string &name);

[[nodiscard]] Resources workerCapacity();

/// Generated job.
struct WorkloadJob {
    BenchClass workClass = BenchClass::Batch;
    std::uint32_t team = 0;
    std::uint32_t shard = 0;
    std::uint32_t tasks = 1; ///< Greater than 1 only for gangs.
    Resources demand;
    std::int64_t arrivalMs = 0;
    std::int64_t runMs = 0;
    std::int64_t declaredRunMs = 0; ///< Run time times a factor between 1/2 and 2. Not shortened for services that run from the beginning.
};

/// Generates jobs in order of arrival. The offered load is @p load times the CPU capacity of the cluster. Services already run at
/// the beginning.
[[nodiscard]] std::vector<WorkloadJob> generateWorkload(const BenchProfile &profile, double load, std::uint64_t seed);

} // namespace KingCupLadder
