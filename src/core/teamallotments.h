// The row of one team as known to this daemon, and the allotments of the shards that this daemon owns. Used only by Allotments.
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

/// Sliding-window maximum of a demand. The value rises at once and falls after one to two periods, so that short pauses do not make
/// the share of a shard oscillate.
class RecentPeak
{
public:
    void add(const Resources &value, TimePoint now);
    [[nodiscard]] Resources value() const;

private:
    std::array<Resources, 2> m_peaks; ///< Of the current and the previous period.
    TimePoint m_periodStart{};
};

/// The shards known to the daemon.
struct AllotmentShards {
    std::map<ShardId, TimePoint> existing; ///< All existing shards, with the time when each was first seen.
    std::set<ShardId> owned;
    std::map<ShardId, TimePoint> missing; ///< Shards that have an entry but don't exist, with the time when that was noticed.
};

class TeamAllotments
{
public:
    static constexpr const char *table = "allotments";

    TeamAllotments(const AllotmentSettings &settings, TeamId id);

    /// @p pools: the pools that the team may use.
    void setLimit(const Resources &limit, std::set<PoolName> pools, TimePoint now);
    void addOwnedShard(const ShardId &shard);
    void removeOwnedShard(const ShardId &shard);
    void setDemand(const AllotmentDemand &demand, TimePoint now);
    /// Whether a shard whose published demand was met now demands more than its allotment.
    [[nodiscard]] bool hasNewUnmetDemand() const;

    /// Updates the known row from a read or a conflict reply. A version that is already known changes nothing.
    void onRow(const Row &row);
    /// Lowers the effective allotments of shards that will release resources. Returns true if a smaller amount has to be announced.
    bool lowerEffectiveAllotments(const AllotmentShards &shards, TimePoint now);
    /// Returns the write that this team needs, if any. It is in flight until onWritten(), onConflict() or onReplyLost() is called.
    [[nodiscard]] std::optional<RowWrite> propose(const AllotmentShards &shards, TimePoint now);
    void onWritten(RowVersion version);
    void onConflict();
    void onReplyLost();

    [[nodiscard]] const AllotmentEntries &entries() const;
    /// The amount that the shard may use now; empty if this daemon does not own the shard, or has not read or fenced the row yet.
    [[nodiscard]] std::optional<Resources> effectiveAllotment(const ShardId &shard) const;
    /// Appends an AllotmentChanged for each effective allotment that changed since the last call.
    void announce(std::vector<AllotmentOutput> &outputs);

private:
    struct OwnedShardState {
        bool fenced = false; ///< This owner has written the row, so a late write of the previous owner fails.
        bool fenceInFlight = false; ///< The write in flight was proposed after the shard was gained, so it sets fenced if it succeeds.
        Resources used;
        bool usageIncomplete = true; ///< See AllotmentDemand; assumed until the first demand arrives.
        RecentPeak wanted;
        std::optional<Resources> shrinkTarget; ///< The amount to shrink to, so that other shards can grow.
        std::optional<Resources> limitTarget; ///< The amount to shrink to while the entries exceed a lowered limit.
        TimePoint limitTargetSince{}; ///< When limitTarget was computed last.
        std::optional<Resources> announced; ///< The last announced amount.
    };

    /// Whether the team may use the pool of the shard.
    [[nodiscard]] bool mayUse(const ShardId &shard) const;
    /// Upper bound of what may be running in the shard now.
    [[nodiscard]] Resources maxUsed(const ShardId &shard, const OwnedShardState &ownedShard) const;
    /// The demand of a shard, at most the limit of the team. For a shard of another daemon, the demand published in the row.
    [[nodiscard]] Resources cappedDemand(const ShardId &shard) const;
    /// The entry of the shard in the last known row; zero amounts if the row has no such entry.
    [[nodiscard]] AllotmentEntry entryOf(const ShardId &shard) const;
    /// The allotment that each shard should have according to the demands. Includes owned shards, and for a time new ones, that have no
    /// entry yet.
    [[nodiscard]] std::map<ShardId, Resources> targetShares(const AllotmentShards &shards, TimePoint now) const;
    /// The share of an idle shard in what no shard demands, so that its first work can start while the store is down. It is not a fixed
    /// minimum, which would keep a gang that needs the whole limit waiting forever.
    [[nodiscard]] Resources idleShare(const std::vector<Resources> &shares) const;
    /// While the entries exceed the limit, sets limitTarget of each owned shard to its entry scaled down in proportion.
    void updateLimitTargets(TimePoint now);
    /// Sets shrinkTarget of the owned shards that must release resources for the growth of other shards.
    void updateShrinkTargets(const std::map<ShardId, Resources> &targetShares);
    /// Lowers the entries of owned shards to shrinkTarget and limitTarget, but not below what may be running.
    void shrink(AllotmentEntries &entries) const;
    /// Publishes the demands of owned shards and raises their entries towards the target shares, as far as the limit leaves room.
    void grow(AllotmentEntries &entries, const std::map<ShardId, Resources> &targetShares) const;
    /// Removes the entries of shards that have not existed for a while.
    void removeMissingShards(AllotmentEntries &entries, const AllotmentShards &shards, TimePoint now) const;
    /// Whether an owned shard has an allotment in a row that this owner has not written yet.
    [[nodiscard]] bool needsFence() const;

    const AllotmentSettings &m_settings;
    TeamId m_id;
    Resources m_limit;
    std::set<PoolName> m_pools;
    bool m_rowKnown = false; ///< The row was read and is valid.
    RowVersion m_version;
    AllotmentEntries m_entries; ///< Of the row at m_version.
    std::optional<AllotmentEntries> m_entriesInFlight; ///< The entries of the write in flight.
    std::vector<AllotmentEntries> m_unresolvedWrites; ///< The entries of writes over m_version whose outcome is unknown.
    std::map<ShardId, OwnedShardState> m_ownedShards;
};

} // namespace KingCupLadder
