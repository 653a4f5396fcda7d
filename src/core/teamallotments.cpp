// The limit is never exceeded because of three rules: only the owner of a shard lowers its entry, and applies the smaller amount
// before writing it; an entry is raised only by what the limit leaves; a raised entry is used only once the row is known to have it.
#include "teamallotments.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

Resources quotient(const Resources &amount, std::int64_t divisor)
{
    return Resources{MilliCores(amount.cpu.value() / divisor),
                     MebiBytes(amount.memory.value() / divisor),
                     Accelerators(amount.accelerators.value() / divisor),
                     Slots(amount.slots.value() / divisor)};
}

/// Period of RecentPeak; a demand that has ended is forgotten after one to two periods.
constexpr Duration peakPeriod{2000};
/// For this long after it was first seen, a shard without an entry counts as demanding the whole limit. This reserves an equal
/// share for it, so that the first daemon of a cold start does not take the whole limit.
constexpr Duration unpublishedDemandPeriod{5000};
/// An entry is removed only after its shard was missing for this long, because the list of shards may be incomplete after a start.
constexpr Duration missingShardRetention{10000};
/// If the entries still exceed the limit after this time, the shares are computed again from the current row.
constexpr Duration limitRecomputeDelay{5000};

Resources componentWiseMax(const Resources &a, const Resources &b)
{
    return a + (b - a).clampedToNonNegative();
}

PoolName poolOf(const ShardId &shard)
{
    return PoolName(shard.value().substr(0, shard.value().find('/')));
}

} // namespace

void RecentPeak::add(const Resources &value, TimePoint now)
{
    if (now - m_periodStart >= 2 * peakPeriod) {
        m_peaks = {Resources{}, Resources{}};
        m_periodStart = now;
    } else if (now - m_periodStart >= peakPeriod) {
        m_peaks[1] = std::exchange(m_peaks[0], Resources{});
        m_periodStart += peakPeriod;
    }
    m_peaks[0] = componentWiseMax(m_peaks[0], value);
}

Resources RecentPeak::value() const
{
    return componentWiseMax(m_peaks[0], m_peaks[1]);
}

TeamAllotments::TeamAllotments(const AllotmentSettings &settings, TeamId id) : m_settings(settings), m_id(std::move(id)) { }

void TeamAllotments::setLimit(const Resources &limit, std::set<PoolName> pools, TimePoint now)
{
    m_pools = std::move(pools);
    if (limit == m_limit) {
        return;
    }
    m_limit = limit;
    for (auto &ownedShard : m_ownedShards) {
        ownedShard.second.limitTarget.reset();
    }
    updateLimitTargets(now);
}

void TeamAllotments::addOwnedShard(const ShardId &shard)
{
    m_ownedShards.try_emplace(shard);
}

void TeamAllotments::removeOwnedShard(const ShardId &shard)
{
    m_ownedShards.erase(shard);
}

void TeamAllotments::setDemand(const AllotmentDemand &demand, TimePoint now)
{
    const auto found = m_ownedShards.find(demand.shard);
    if (found != m_ownedShards.end()) {
        found->second.used = demand.used;
        found->second.usageIncomplete = demand.usageIncomplete;
        found->second.wanted.add(componentWiseMax(demand.used, demand.wanted), now);
    }
}

Resources TeamAllotments::maxUsed(const ShardId &shard, const OwnedShardState &ownedShard) const
{
    return ownedShard.usageIncomplete ? componentWiseMax(ownedShard.used, entryOf(shard).allotment) : ownedShard.used;
}

bool TeamAllotments::mayUse(const ShardId &shard) const
{
    return m_pools.count(poolOf(shard)) > 0;
}

AllotmentEntry TeamAllotments::entryOf(const ShardId &shard) const
{
    const auto found = m_entries.find(shard);
    return found == m_entries.end() ? AllotmentEntry{} : found->second;
}

Resources TeamAllotments::cappedDemand(const ShardId &shard) const
{
    const auto found = m_ownedShards.find(shard);
    if (found == m_ownedShards.end()) {
        return entryOf(shard).wanted.limitedTo(m_limit);
    }
    return mayUse(shard) ? found->second.wanted.value().limitedTo(m_limit) : Resources{};
}

bool TeamAllotments::hasNewUnmetDemand() const
{
    return std::any_of(m_ownedShards.begin(), m_ownedShards.end(), [this](const auto &ownedShard) {
        const AllotmentEntry entry = entryOf(ownedShard.first);
        // A shard whose published demand is already unmet waits for the regular cycle.
        return entry.wanted.fitsIn(entry.allotment) && !cappedDemand(ownedShard.first).fitsIn(entry.allotment);
    });
}

void TeamAllotments::onRow(const Row &row)
{
    if (m_rowKnown && row.version == m_version) {
        return; // A write with an unknown outcome may still take effect; only a new version rules that out.
    }
    const auto entries = allotmentsFromJson(row.value);
    if (!entries) {
        return;
    }
    m_rowKnown = true;
    m_version = row.version;
    m_entries = *entries;
    m_unresolvedWrites.clear();
}

void TeamAllotments::updateLimitTargets(TimePoint now)
{
    const Resources sum = totalAllotment(m_entries);
    const bool isOver = !sum.fitsIn(m_limit);
    for (auto &[shard, ownedShard] : m_ownedShards) {
        const Resources current = entryOf(shard).allotment;
        if (isOver && (!ownedShard.limitTarget || now - ownedShard.limitTargetSince >= limitRecomputeDelay)) {
            const Resources share = scaledDown(current, m_limit, sum);
            // A recomputed target is never above the previous one.
            ownedShard.limitTarget = share.limitedTo(ownedShard.limitTarget.value_or(share));
            ownedShard.limitTargetSince = now;
        } else if (!isOver && ownedShard.limitTarget && current.fitsIn(*ownedShard.limitTarget)) {
            ownedShard.limitTarget.reset();
        }
    }
}

std::map<ShardId, Resources> TeamAllotments::targetShares(const AllotmentShards &shards, TimePoint now) const
{
    std::vector<ShardId> order;
    std::vector<Resources> demands;
    for (const auto &entry : m_entries) {
        order.push_back(entry.first);
        demands.push_back(cappedDemand(entry.first));
    }
    for (const auto &[shard, since] : shards.existing) {
        if (m_entries.count(shard) > 0 || !mayUse(shard)) {
            continue;
        }
        const bool isOwn = m_ownedShards.count(shard) > 0;
        if (isOwn || now - since < unpublishedDemandPeriod) {
            order.push_back(shard);
            demands.push_back(isOwn ? cappedDemand(shard) : m_limit);
        }
    }
    const std::vector<Resources> shares = maxMinFairShares(m_limit, demands);
    const Resources idle = idleShare(shares);
    std::map<ShardId, Resources> result;
    for (std::size_t i = 0; i < order.size(); ++i) {
        result.emplace(order[i], componentWiseMax(shares[i], idle));
    }
    return result;
}

Resources TeamAllotments::idleShare(const std::vector<Resources> &shares) const
{
    if (m_settings.idleDivisor == 0) {
        return {};
    }
    Resources remaining = m_limit;
    for (const Resources &share : shares) {
        remaining -= share;
    }
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(shares.size(), 1));
    return quotient(remaining.clampedToNonNegative(), count).limitedTo(quotient(m_limit, count * m_settings.idleDivisor));
}

void TeamAllotments::updateShrinkTargets(const std::map<ShardId, Resources> &targetShares)
{
    // The shortage is the growth that the shares require minus what the limit leaves unallotted. A share that is only reserved for a
    // shard of another daemon without an entry does not count, so nothing is released for it.
    Resources shortage = (m_limit - totalAllotment(m_entries)).clampedToNonNegative() * -1;
    for (const auto &[shard, target] : targetShares) {
        if (m_entries.count(shard) > 0 || m_ownedShards.count(shard) > 0) {
            shortage += (target - entryOf(shard).allotment).clampedToNonNegative();
        }
    }
    for (auto &[shard, ownedShard] : m_ownedShards) {
        const Resources current = entryOf(shard).allotment;
        const auto target = targetShares.find(shard);
        const Resources share = target == targetShares.end() ? Resources{} : target->second;
        const Resources released = (current - share).clampedToNonNegative().limitedTo(shortage.clampedToNonNegative());
        const Resources kept = componentWiseMax(current - released, maxUsed(shard, ownedShard).limitedTo(current));
        ownedShard.shrinkTarget = kept == current ? std::nullopt : std::optional<Resources>(kept);
    }
}

bool TeamAllotments::lowerEffectiveAllotments(const AllotmentShards &shards, TimePoint now)
{
    if (!m_rowKnown) {
        return false;
    }
    updateLimitTargets(now);
    updateShrinkTargets(targetShares(shards, now));
    return std::any_of(m_ownedShards.begin(), m_ownedShards.end(), [this](const auto &ownedShard) {
        const std::optional<Resources> amount = effectiveAllotment(ownedShard.first);
        return amount && ownedShard.second.announced && !ownedShard.second.announced->fitsIn(*amount);
    });
}

void TeamAllotments::shrink(AllotmentEntries &entries) const
{
    for (const auto &[shard, ownedShard] : m_ownedShards) {
        const auto found = entries.find(shard);
        if (found == entries.end()) {
            continue;
        }
        Resources &allotment = found->second.allotment;
        const Resources capped = allotment.limitedTo(ownedShard.shrinkTarget.value_or(allotment)).limitedTo(ownedShard.limitTarget.value_or(allotment));
        // The row keeps what still runs, so that no other shard uses it before it has stopped.
        allotment = componentWiseMax(capped, maxUsed(shard, ownedShard).limitedTo(allotment));
    }
}

void TeamAllotments::grow(AllotmentEntries &entries, const std::map<ShardId, Resources> &targetShares) const
{
    Resources remaining = (m_limit - totalAllotment(entries)).clampedToNonNegative();
    for (const auto &ownedShard : m_ownedShards) {
        const auto target = targetShares.find(ownedShard.first);
        const bool hasEntry = entries.count(ownedShard.first) > 0;
        if (target == targetShares.end() || (!mayUse(ownedShard.first) && !hasEntry)) {
            continue;
        }
        AllotmentEntry &entry = entries[ownedShard.first];
        entry.wanted = cappedDemand(ownedShard.first);
        const Resources added = (target->second - entry.allotment).clampedToNonNegative().limitedTo(remaining);
        entry.allotment += added;
        remaining -= added;
    }
}

void TeamAllotments::removeMissingShards(AllotmentEntries &entries, const AllotmentShards &shards, TimePoint now) const
{
    for (const auto &[shard, since] : shards.missing) {
        if (now - since >= missingShardRetention) {
            entries.erase(shard);
        }
    }
}

bool TeamAllotments::needsFence() const
{
    return std::any_of(m_ownedShards.begin(), m_ownedShards.end(), [this](const auto &ownedShard) {
        return !ownedShard.second.fenced && !entryOf(ownedShard.first).allotment.isZero();
    });
}

std::optional<RowWrite> TeamAllotments::propose(const AllotmentShards &shards, TimePoint now)
{
    if (!m_rowKnown) {
        return std::nullopt;
    }
    AllotmentEntries entries = m_entries;
    removeMissingShards(entries, shards, now);
    shrink(entries);
    grow(entries, targetShares(shards, now));
    // After a lost reply, even unchanged entries are written: the new version rules out that the earlier write still takes effect.
    const bool mustWrite = needsFence() || !m_unresolvedWrites.empty();
    if (entries == m_entries && !mustWrite) {
        for (auto &ownedShard : m_ownedShards) {
            ownedShard.second.fenced = true; // Allotments not fenced yet are zero, so a late write of the previous owner can't reduce them.
        }
        return std::nullopt;
    }
    m_entriesInFlight = entries;
    for (auto &ownedShard : m_ownedShards) {
        ownedShard.second.fenceInFlight = true;
    }
    const RowWrite::Kind kind = m_version == RowVersion() ? RowWrite::Kind::Insert : RowWrite::Kind::Update;
    return RowWrite{kind, table, m_id.value(), m_version, allotmentsToJson(entries)};
}

void TeamAllotments::onWritten(RowVersion version)
{
    if (!m_entriesInFlight) {
        return;
    }
    m_entries = *std::exchange(m_entriesInFlight, std::nullopt);
    m_version = version;
    m_unresolvedWrites.clear();
    for (auto &ownedShard : m_ownedShards) {
        ownedShard.second.fenced = ownedShard.second.fenced || ownedShard.second.fenceInFlight;
        ownedShard.second.shrinkTarget.reset();
    }
}

void TeamAllotments::onConflict()
{
    m_entriesInFlight.reset();
}

void TeamAllotments::onReplyLost()
{
    if (m_entriesInFlight) {
        m_unresolvedWrites.push_back(*std::exchange(m_entriesInFlight, std::nullopt));
    }
}

const AllotmentEntries &TeamAllotments::entries() const
{
    return m_entries;
}

std::optional<Resources> TeamAllotments::effectiveAllotment(const ShardId &shard) const
{
    const auto found = m_ownedShards.find(shard);
    if (found == m_ownedShards.end() || !m_rowKnown || !found->second.fenced) {
        return std::nullopt;
    }
    const OwnedShardState &ownedShard = found->second;
    const auto allotmentIn = [&shard](const AllotmentEntries &entries) {
        const auto entry = entries.find(shard);
        return entry == entries.end() ? Resources{} : entry->second.allotment;
    };
    Resources amount = entryOf(shard).allotment;
    if (m_settings.shrinkBeforeGrow) {
        amount = amount.limitedTo(ownedShard.shrinkTarget.value_or(amount)).limitedTo(ownedShard.limitTarget.value_or(amount));
        // While the sum exceeds a lowered limit, nothing more is admitted.
        amount = ownedShard.limitTarget ? amount.limitedTo(ownedShard.used) : amount;
        amount = m_entriesInFlight ? amount.limitedTo(allotmentIn(*m_entriesInFlight)) : amount;
        for (const AllotmentEntries &entries : m_unresolvedWrites) {
            amount = amount.limitedTo(allotmentIn(entries));
        }
    }
    if (!m_settings.growAfterConfirm && m_entriesInFlight) {
        amount = componentWiseMax(amount, allotmentIn(*m_entriesInFlight));
    }
    return amount;
}

void TeamAllotments::announce(std::vector<AllotmentOutput> &outputs)
{
    for (auto &[shard, ownedShard] : m_ownedShards) {
        const std::optional<Resources> amount = effectiveAllotment(shard);
        if (amount && amount != ownedShard.announced) {
            ownedShard.announced = amount;
            outputs.emplace_back(AllotmentChanged{shard, m_id, *amount});
        }
    }
}

} // namespace KingCupLadder
