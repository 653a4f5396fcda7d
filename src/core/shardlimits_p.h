// Internal to the shard controller: the minimum share of a shard that is guaranteed to requests and to batch work.
#pragma once

#include "resources.h"

namespace KingCupLadder {

/// Percentage of the shard that is guaranteed to requests and to batch work each, so that neither starves the other. The rest of the
/// shard may be used by both; the other kind's guaranteed part only while the other kind is idle.
constexpr std::int64_t guaranteedPercent = 10;
/// Requests count as idle when no grant was requested for this long.
constexpr Duration requestIdleTime{10000};

/// Whether @p use leaves the other kind its guaranteed CPU and memory. Other resources are rarely used by both kinds.
[[nodiscard]] inline bool leavesGuaranteedShare(const Resources &use, const Resources &total)
{
    constexpr std::int64_t hundredPercent = 100;
    const bool cpu = use.cpu * hundredPercent <= total.cpu * (hundredPercent - guaranteedPercent);
    const bool memory = use.memory * hundredPercent <= total.memory * (hundredPercent - guaranteedPercent);
    return cpu && memory;
}

/// Whether @p use is within the guaranteed share of its kind.
[[nodiscard]] inline bool isWithinGuaranteedShare(const Resources &use, const Resources &total)
{
    constexpr std::int64_t hundredPercent = 100;
    return use.cpu * hundredPercent <= total.cpu * guaranteedPercent && use.memory * hundredPercent <= total.memory * guaranteedPercent;
}

} // namespace KingCupLadder
