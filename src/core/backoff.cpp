// The splitmix64 generator and the delays derived from it.
#include "backoff.h"

#include <algorithm>

namespace KingCupLadder {

RandomSource::RandomSource(std::uint64_t seed) : m_state(seed) { }

std::uint64_t RandomSource::next()
{
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

Duration RandomSource::upTo(Duration longest)
{
    if (longest <= Duration(0)) {
        return Duration(0);
    }
    return Duration(static_cast<Duration::rep>(below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

Duration RandomSource::around(Duration mean)
{
    constexpr int jitterDivisor = 10;
    const Duration deviation = mean / jitterDivisor;
    return mean - deviation + upTo(2 * deviation);
}

std::uint64_t deriveSeed(std::uint64_t seed, const char *component)
{
    // FNV-1a, because std::hash may differ between builds and seeds must be reproducible.
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char *c = component; *c != '\0'; ++c) {
        hash = (hash ^ static_cast<unsigned char>(*c)) * 0x100000001b3U;
    }
    return RandomSource(seed ^ hash).next();
}

Backoff::Backoff(const BackoffSettings &settings, std::uint64_t seed)
    : m_settings{std::max(settings.initialBackoff, Duration(1)), std::max({settings.maxBackoff, settings.initialBackoff, Duration(1)})}
    , m_random(seed)
    , m_bound(m_settings.initialBackoff)
{
}

Duration Backoff::next()
{
    const Duration bound = m_bound;
    m_bound = m_bound > m_settings.maxBackoff / 2 ? m_settings.maxBackoff : m_bound * 2;
    ++m_failures;
    return bound - m_random.upTo(bound / 2);
}

void Backoff::reset()
{
    m_bound = m_settings.initialBackoff;
    m_failures = 0;
}

std::uint32_t Backoff::failures() const
{
    return m_failures;
}

} // namespace KingCupLadder
