// Seeded synthetic streams of work for the bench.
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

/// One kind of work of a mix. Sizes are drawn from a few steps, as submitters write round numbers.
struct WorkloadKind {
    BenchClass workClass;
    double startFraction; ///< Part of all task starts.
    std::vector<std::int64_t> milliCores;
    std::vector<std::int64_t> memoryMiB;
    double minSeconds;
    double maxSeconds;
    std::uint32_t minTasks;
    std::uint32_t maxTasks;
};

/// A size of installation with its mix.
struct BenchProfile {
    std::string name;
    std::uint32_t workers = 0;
    std::uint32_t domains = 0; ///< One shard each.
    std::uint32_t rackSize = 0;
    std::vector<double> teamShares;
    std::vector<WorkloadKind> kinds;
    double startRate = 0.0; ///< Task starts per second at load 1; 0: follows from the run times. Otherwise run times are scaled to it.
    double seconds = 0.0; ///< Virtual length of a run.
};

/// "nuit", "hardanger", "tenfold" or "target".
[[nodiscard]] BenchProfile benchProfile(const std::string &name);

[[nodiscard]] Resources workerCapacity();

/// A job of a stream.
struct WorkloadJob {
    BenchClass workClass = BenchClass::Batch;
    std::uint32_t team = 0;
    std::uint32_t shard = 0;
    std::uint32_t tasks = 1; ///< More than one only for gangs.
    Resources demand;
    std::int64_t arrivalMs = 0;
    std::int64_t runMs = 0;
    std::int64_t declaredRunMs = 0; ///< Off by a factor between 1/2 and 2.
};

/// Jobs by arrival. The offered work is @p load times the processors of the installation; services are there from the start.
[[nodiscard]] std::vector<WorkloadJob> generateWorkload(const BenchProfile &profile, double load, std::uint64_t seed);

} // namespace KingCupLadder
