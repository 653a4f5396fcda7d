// Internal to allotments: the row of one team and the division of its limit over shards.
#pragma once

#include "ids.h"
#include "resources.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// What a row holds for one shard.
struct AllotmentEntry {
    Resources allotment; ///< The most that the shard may have running.
    Resources wanted; ///< Published by the shard's owner, so that others can tell a fair part.

    friend bool operator==(const AllotmentEntry &a, const AllotmentEntry &b)
    {
        return a.allotment == b.allotment && a.wanted == b.wanted;
    }
    friend bool operator!=(const AllotmentEntry &a, const AllotmentEntry &b)
    {
        return !(a == b);
    }
};

using AllotmentEntries = std::map<ShardId, AllotmentEntry>;

/// JSON text: one member per shard with the components of its allotment and a member "wanted".
[[nodiscard]] std::string allotmentsToJson(const AllotmentEntries &entries);
/// Empty if the text is not such an object or has a negative amount. An empty text is a row without entries.
[[nodiscard]] std::optional<AllotmentEntries> allotmentsFromJson(const std::string &text);

[[nodiscard]] Resources sumOf(const AllotmentEntries &entries);

/// Divides the limit so that in each component nobody gets more than wanted and the smallest parts are as large as possible.
/// The result depends on the arguments only, so that every daemon comes to the same division.
[[nodiscard]] std::vector<Resources> maxMinFairShares(const Resources &limit, const std::vector<Resources> &wanted);

/// amount x part / whole in each component, rounded down; components of which @p whole has no more than @p part stay.
[[nodiscard]] Resources scaledDown(const Resources &amount, const Resources &part, const Resources &whole);

} // namespace KingCupLadder
