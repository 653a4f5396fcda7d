// Internal to the shard controller: the part of a shard that requests and batch work each keep.
#pragma once

#include "resources.h"

namespace KingCupLadder {

/// Requests and batch each may pass this part of the shard only while the other is idle, so that neither starves the other.
constexpr std::int64_t minimumPercent = 10;
/// Requests are idle when nobody asked for a grant for this long.
constexpr Duration requestIdleSpan{10000};

/// Whether @p use leaves the other kind its minimum of processors and memory. Slots and accelerators are rarely shared by both.
[[nodiscard]] inline bool leavesMinimum(const Resources &use, const Resources &total)
{
    constexpr std::int64_t whole = 100;
    const bool cpu = use.cpu * whole <= total.cpu * (whole - minimumPercent);
    const bool memory = use.memory * whole <= total.memory * (whole - minimumPercent);
    return cpu && memory;
}

/// Whether @p use is within a kind's own minimum.
[[nodiscard]] inline bool isWithinMinimum(const Resources &use, const Resources &total)
{
    constexpr std::int64_t whole = 100;
    return use.cpu * whole <= total.cpu * minimumPercent && use.memory * whole <= total.memory * minimumPercent;
}

} // namespace KingCupLadder
