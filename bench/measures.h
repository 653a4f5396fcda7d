// Measurement results of the benchmarks and tracking of heap memory.
#pragma once

#include "workload.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace KingCupLadder {

/// Collects samples and computes exact percentiles.
class Samples
{
public:
    void add(double value);
    [[nodiscard]] std::size_t count() const;
    /// Returns the sample at the quantile @p fraction, between 0 and 1; 0 if there are no samples.
    [[nodiscard]] double percentile(double fraction) const;

private:
    mutable std::vector<double> m_values;
    mutable bool m_sorted = true;
};

/// Result of one benchmark run with a placement policy.
struct PolicyRunResult {
    std::string policyName; ///< PolicyConfig::name.
    Samples decisionMicros; ///< Time of each attempt to place a queue entry.
    double decisionSeconds = 0.0; ///< Time spent in scheduling decisions and the updates of queue and index that they require.
    std::array<Samples, benchClassCount> waitMs; ///< Wait times of the jobs by class; jobs that never started count with their wait until the end.
    double packingEfficiency = 0.0; ///< Mean ratio of the used resources to the demand that the cluster could hold.
    double fairShareDeviation = 0.0; ///< See ShareMeter::maxDeviation().
    std::uint64_t starts = 0; ///< Started tasks.
};

/// Returns the number of bytes currently allocated through operator new.
[[nodiscard]] std::int64_t allocatedBytes();

} // namespace KingCupLadder
