// What the bench measures, and how it counts memory.
#pragma once

#include "workload.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace KingCupLadder {

/// Samples with exact percentiles.
class Samples
{
public:
    void add(double value);
    [[nodiscard]] std::size_t count() const;
    /// @p part between 0 and 1; 0 without samples.
    [[nodiscard]] double percentile(double fraction) const;

private:
    mutable std::vector<double> m_values;
    mutable bool m_sorted = true;
};

/// The result of one run.
struct RunResult {
    std::string rule;
    Samples decisionMicros;
    double decisionSeconds = 0.0; ///< Spent in decisions and in the updates that they need.
    std::array<Samples, benchClassCount> waitMs;
    double packingEfficiency = 0.0; ///< Mean part of the demand that could fit which was running.
    double fairShareDeviation = 0.0; ///< Largest distance of a team's mean use from its mean due, as part of the due.
    std::uint64_t starts = 0;
};

/// Bytes that the process holds by operator new.
[[nodiscard]] std::int64_t allocatedBytes();

} // namespace KingCupLadder
