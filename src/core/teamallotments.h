// Internal to allotments: the row of one team as this daemon knows it, and what the shards of this daemon make of it.
#pragma once

#include "allotmentrow.h"
#include "allotments.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder {

/// The largest recent value of a need. It rises at once and falls after one to two spans, so that short pauses of a shard do
/// not move its part to and fro.
class RecentPeak
{
public:
    void add(const Resources &value, TimePoint now);
    [[nodiscard]] Resources value() const;

private:
    std::array<Resources, 2> m_peaks; ///< Of the current and the previous span.
    TimePoint m_spanStart{};
};

/// The shards as the daemon knows them.
struct AllotmentShards {
    std::map<ShardId, TimePoint> existing; ///< With the time since when they are known.
    std::set<ShardId> owned;
    std::map<ShardId, TimePoint> missing; ///< Have an entry but don't exist, since when.
};

class TeamAllotments
{
public:
    static constexpr const char *table = "allotments";

    TeamAllotments(const AllotmentSettings &settings, TeamId id);

    /// @p pools: those that the team may use.
    void setLimit(const Resources &limit, std::set<PoolName> pools, TimePoint now);
    void own(const ShardId &shard);
    void disown(const ShardId &shard);
    void setDemand(const AllotmentDemand &need, TimePoint now);
    /// Whether a shard that had enough wants more than it has.
    [[nodiscard]] bool hasNewUnmetDemand() const;

    /// The row as read, or as stated by a conflict. A known version changes nothing.
    void onRow(const Row &row);
    /// Lowers what is in force for shards that will give something up; true if a shard has to be told of a smaller amount.
    bool lower(const AllotmentShards &shards, TimePoint now);
    /// The write that this team needs, if any. It counts as in flight until one of the three calls below.
    [[nodiscard]] std::optional<RowWrite> propose(const AllotmentShards &shards, TimePoint now);
    void onWritten(RowVersion version);
    void onRefused();
    void onLost();

    [[nodiscard]] const AllotmentEntries &entries() const;
    /// Empty while nothing is in force yet.
    [[nodiscard]] std::optional<Resources> inForce(const ShardId &shard) const;
    /// What changed since the last call.
    void announce(std::vector<AllotmentOutput> &outputs);

private:
    struct OwnShard {
        bool fenced = false; ///< This owner has written the row, so a late write of the previous owner fails.
        bool fencing = false; ///< The write in flight was made as the owner.
        Resources used;
        bool usageIncomplete = true; ///< Until the first need says otherwise.
        RecentPeak wanted;
        std::optional<Resources> shrinkTo; ///< Gives up what other shards need.
        std::optional<Resources> limitTo; ///< Its part of a limit that was lowered.
        TimePoint limitSince{};
        std::optional<Resources> announced;
    };

    [[nodiscard]] bool mayUse(const ShardId &shard) const;
    /// The most that may be running in the shard now.
    [[nodiscard]] Resources mostUsed(const ShardId &shard, const OwnShard &own) const;
    [[nodiscard]] Resources wish(const ShardId &shard) const;
    [[nodiscard]] AllotmentEntry entryOf(const ShardId &shard) const;
    [[nodiscard]] std::map<ShardId, Resources> targets(const AllotmentShards &shards, TimePoint now) const;
    /// What a shard without wishes gets of room that no shard wants, so that its first work can start while the store is down.
    [[nodiscard]] Resources idleShare(const std::vector<Resources> &parts) const;
    void shrinkToLimit(TimePoint now);
    void lowerFor(const std::map<ShardId, Resources> &targets);
    void shrink(AllotmentEntries &entries) const;
    void grow(AllotmentEntries &entries, const std::map<ShardId, Resources> &targets) const;
    void removeGone(AllotmentEntries &entries, const AllotmentShards &shards, TimePoint now) const;
    [[nodiscard]] bool needsFence() const;

    const AllotmentSettings &m_settings;
    TeamId m_id;
    Resources m_limit;
    std::set<PoolName> m_pools;
    bool m_known = false; ///< The row was read, and what it says makes sense.
    RowVersion m_version;
    AllotmentEntries m_entries; ///< As the row had them at m_version.
    std::optional<AllotmentEntries> m_inFlight;
    std::vector<AllotmentEntries> m_uncertain; ///< Written over m_version with an unknown outcome.
    std::map<ShardId, OwnShard> m_own;
};

} // namespace KingCupLadder
