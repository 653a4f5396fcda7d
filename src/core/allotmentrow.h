// The stored row "allotments/<team>" and the division of a team's limit among shards. Used only by Allotments and TeamAllotments.
#pragma once

#include "ids.h"
#include "resources.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// The part of a row that belongs to one shard.
struct AllotmentEntry {
    Resources allotment; ///< Upper bound of the resources that the shard may have running.
    Resources wanted; ///< Demand published by the owner of the shard, so that others can compute fair shares.

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

/// Serializes the entries as JSON: one member per shard with the components of its allotment and a member "wanted".
[[nodiscard]] std::string allotmentsToJson(const AllotmentEntries &entries);
/// Parses the output of allotmentsToJson(). Empty if the text is malformed or has a negative amount; an empty text has no entries.
[[nodiscard]] std::optional<AllotmentEntries> allotmentsFromJson(const std::string &text);

/// Returns the sum of the allotments, without the demands.
[[nodiscard]] Resources totalAllotment(const AllotmentEntries &entries);

/// Max-min fair shares of the limit: in each component no shard gets more than it wants, and the smallest shares are as large as
/// possible. The result depends only on the arguments, so all daemons compute the same shares.
[[nodiscard]] std::vector<Resources> maxMinFairShares(const Resources &limit, const std::vector<Resources> &wanted);

/// Returns amount x part / whole for each component, rounded down. Components where whole <= part are not changed.
[[nodiscard]] Resources scaledDown(const Resources &amount, const Resources &part, const Resources &whole);

} // namespace KingCupLadder
