// Internal to the shard controller: the minimum share of a shard that is guaranteed to requests and to batch work.
#pragma once

#include "resources.h"

namespace KingCupLadder {

/// Percentage of the shard that is guaranteed to each of the two kinds of work, requests and batch work, so that neither starves the
/// other. A kind may use the share that is guaranteed to the other kind only while the other kind is idle. The rest is shared.
constexpr std::int64_t guaranteedPercent = 10;
/// Requests count as idle when no grant was requested for this long.
constexpr Duration requestIdleTime{10000};

/// Whether @p usage leaves the other kind its guaranteed CPU and memory. Other resources are rarely used by both kinds.
[[nodiscard]] inline bool leavesGuaranteedShare(const Resources &usage, const Resources &total)
{
    constexpr std::int64_t hundredPercent = 100;
    const bool cpu = usage.cpu * hundredPercent <= total.cpu * (hundredPercent - guaranteedPercent);
    const bool memory = usage.memory * hundredPercent <= total.memory * (hundredPercent - guaranteedPercent);
    return cpu && memory;
}

/// Whether @p usage is within the guaranteed share of its kind.
[[nodiscard]] inline bool isWithinGuaranteedShare(const Resources &usage, const Resources &total)
{
    constexpr std::int64_t hundredPercent = 100;
    return usage.cpu * hundredPercent <= total.cpu * guaranteedPercent && usage.memory * hundredPercent <= total.memory * guaranteedPercent;
}

} // namespace KingCupLadder
