// Internal to the shard controller: the part of a shard that requests and batch work each keep.
#pragma once

#include "resources.h"

namespace KingCupLadder {

/// Requests and batch each may pass this part of the shard only while the other is idle, so that neither starves the other.
constexpr std::int64_t guaranteedPercent = 10;
/// Requests are idle when nobody asked for a grant for this long.
constexpr Duration requestIdleTime{10000};

/// Whether @p use leaves the other kind its minimum of processors and memory. Slots and accelerators are rarely shared by both.
[[nodiscard]] inline bool leavesGuaranteedShare(const Resources &use, const Resources &total)
{
    constexpr std::int64_t whole = 100;
    const bool cpu = use.cpu * whole <= total.cpu * (whole - guaranteedPercent);
    const bool memory = use.memory * whole <= total.memory * (whole - guaranteedPercent);
    return cpu && memory;
}

/// Whether @p use is within a kind's own minimum.
[[nodiscard]] inline bool isWithinGuaranteedShare(const Resources &use, const Resources &total)
{
    constexpr std::int64_t whole = 100;
    return use.cpu * whole <= total.cpu * guaranteedPercent && use.memory * whole <= total.memory * guaranteedPercent;
}

} // namespace KingCupLadder
