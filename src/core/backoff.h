// Seeded random delays: jitter and capped exponential backoff, which prevent many daemons from acting at the same time.
#pragma once

#include "units.h"

#include <cstdint>

namespace KingCupLadder {

/// A deterministic random number generator (splitmix64). Equal seeds give equal sequences on every platform. Its state has 8 bytes;
/// std::mt19937_64 would need 2.5 KB per timer.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed);

    [[nodiscard]] std::uint64_t next();
    /// Returns a number less than @p bound; 0 if the bound is 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    /// Returns a duration from 0 to @p longest inclusive; 0 if @p longest is not positive.
    [[nodiscard]] Duration upTo(Duration longest);
    /// Returns a duration from 90% to 110% of @p mean.
    [[nodiscard]] Duration around(Duration mean);

private:
    std::uint64_t m_state = 0;
};

/// Derives the seed of a component from the seed of the daemon and the name of the component.
[[nodiscard]] std::uint64_t deriveSeed(std::uint64_t seed, const char *component);

struct BackoffSettings {
    Duration initialBackoff{200}; ///< Upper bound of the first delay. Values below 1 ms count as 1 ms.
    Duration maxBackoff{5000}; ///< Upper bound of all delays. Values below initialBackoff count as initialBackoff.
};

/// Delays between attempts. Each is random between half of an upper bound and the bound. The bound starts at initialBackoff and doubles up to
/// maxBackoff.
class Backoff
{
public:
    Backoff(const BackoffSettings &settings, std::uint64_t seed);

    /// Returns the delay before the next attempt.
    [[nodiscard]] Duration next();
    /// Starts over with the first delay, after an attempt succeeded.
    void reset();
    /// The number of failed attempts, that is, of calls of next(), since the last reset().
    [[nodiscard]] std::uint32_t failures() const;

private:
    BackoffSettings m_settings;
    RandomSource m_random;
    Duration m_bound; ///< Between initialBackoff and maxBackoff.
    std::uint32_t m_failures = 0;
};

} // namespace KingCupLadder
