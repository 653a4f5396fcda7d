// The row of one team as known to this daemon, and the allotments of the shards that this daemon owns. Internal to allotments.
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

/// The largest recent demand. It rises at once and falls after one to two periods, so that the share of a shard does not
/// oscillate with short pauses.
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
    std::map<ShardId, TimePoint> existing; ///< With the time when each was first seen.
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

    /// Takes over the row from a read or a conflict reply. A version that is already known changes nothing.
    void onRow(const Row &row);
    /// Lowers the amounts in force of shards that will release resources. Returns true if a smaller amount has to be announced.
    bool lowerInForce(const AllotmentShards &shards, TimePoint now);
    /// Returns the write that this team needs, if any. It is in flight until onWritten(), onConflict() or onReplyLost() is called.
    [[nodiscard]] std::optional<RowWrite> propose(const AllotmentShards &shards, TimePoint now);
    void onWritten(RowVersion version);
    void onConflict();
    void onReplyLost();

    [[nodiscard]] const AllotmentEntries &entries() const;
    /// The amount that the shard may use now; empty while no amount is in force.
    [[nodiscard]] std::optional<Resources> inForce(const ShardId &shard) const;
    /// Appends the amounts that changed since the last call.
    void announce(std::vector<AllotmentOutput> &outputs);

private:
    struct OwnedShardState {
        bool fenced = false; ///< This owner has written the row, so a late write of the previous owner fails.
        bool fenceInFlight = false; ///< The write in flight was proposed after the shard was gained, so it sets fenced if it succeeds.
        Resources used;
        bool usageIncomplete = true; ///< Until the first demand says otherwise.
        RecentPeak wanted;
        std::optional<Resources> shrinkTo; ///< Smaller amount that leaves room for the demand of other shards.
        std::optional<Resources> limitTo; ///< The share of a limit that was lowered.
        TimePoint limitSince{}; ///< When limitTo was computed.
        std::optional<Resources> announced; ///< The last announced amount.
    };

    /// Whether the team may use the pool of the shard.
    [[nodiscard]] bool mayUse(const ShardId &shard) const;
    /// Upper bound of what may be running in the shard now.
    [[nodiscard]] Resources maxUsed(const ShardId &shard, const OwnedShardState &ownedShard) const;
    /// The demand of a shard, at most the limit of the team. For a shard of another daemon, the demand published in the row.
    [[nodiscard]] Resources cappedDemand(const ShardId &shard) const;
    /// The entry of the shard in the last known row; zero if there is none.
    [[nodiscard]] AllotmentEntry entryOf(const ShardId &shard) const;
    /// The allotment that each shard should have according to the demands. Includes owned shards, and for a time new ones, that have no
    /// entry yet.
    [[nodiscard]] std::map<ShardId, Resources> targetShares(const AllotmentShards &shards, TimePoint now) const;
    /// The share of an idle shard in what no shard demands, so that its first work can start while the store is down.
    [[nodiscard]] Resources idleShare(const std::vector<Resources> &shares) const;
    void shrinkToLimit(TimePoint now);
    void updateShrinkTargets(const std::map<ShardId, Resources> &targetShares);
    void shrink(AllotmentEntries &entries) const;
    void grow(AllotmentEntries &entries, const std::map<ShardId, Resources> &targetShares) const;
    void removeMissing(AllotmentEntries &entries, const AllotmentShards &shards, TimePoint now) const;
    /// Whether an owned shard has an allotment in a row that this owner has not written yet.
    [[nodiscard]] bool needsFence() const;

    const AllotmentSettings &m_settings;
    TeamId m_id;
    Resources m_limit;
    std::set<PoolName> m_pools;
    bool m_rowKnown = false; ///< The row was read and is valid.
    RowVersion m_version;
    AllotmentEntries m_entries; ///< Of the row at m_version.
    std::optional<AllotmentEntries> m_inFlight;
    std::vector<AllotmentEntries> m_uncertain; ///< Writes over m_version with an unknown outcome.
    std::map<ShardId, OwnedShardState> m_ownedShards;
};

} // namespace KingCupLadder
