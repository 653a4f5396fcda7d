// Seeded random delays: jitter around a mean and capped exponential back-off, so that many daemons do not act in step.
#pragma once

#include "units.h"

#include <cstdint>

namespace KingCupLadder {

/// A deterministic source of random numbers (splitmix64). Equal seeds give equal sequences on every platform; 8 bytes of state,
/// where std::mt19937_64 has 2.5 KB for each timer.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed);

    [[nodiscard]] std::uint64_t next();
    /// A number below @p bound; 0 if the bound is 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    /// A duration from 0 to @p longest, both included; 0 if @p longest is not positive.
    [[nodiscard]] Duration upTo(Duration longest);
    /// A duration within a tenth of @p mean.
    [[nodiscard]] Duration around(Duration mean);

private:
    std::uint64_t m_state = 0;
};

/// A seed of one component, from the daemon's seed and the component's name.
[[nodiscard]] std::uint64_t deriveSeed(std::uint64_t seed, const char *component);

struct BackoffSettings {
    Duration first{200}; ///< Upper bound of the first delay; at least 1 ms.
    Duration cap{5000}; ///< Upper bound of every delay; at least first.
};

/// Delays between attempts: each lies between half of its upper bound and the bound, which doubles up to the cap.
class Backoff
{
public:
    Backoff(const BackoffSettings &settings, std::uint64_t seed);

    /// The delay before the next attempt.
    [[nodiscard]] Duration next();
    /// An attempt succeeded: the next delay is a first one.
    void reset();
    [[nodiscard]] std::uint32_t failures() const;

private:
    BackoffSettings m_settings;
    RandomSource m_random;
    Duration m_bound; ///< Between first and cap.
    std::uint32_t m_failures = 0; ///< Calls of next() since the last reset().
};

} // namespace KingCupLadder
