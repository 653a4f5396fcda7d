// The row of one team. Safety rests on three rules: only the owner of a shard lowers its entry, and it uses less before it
// writes less; an entry is raised only within what the limit leaves; a raised entry is used only once the row is known to have it.
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

/// A wish that has passed is forgotten after one to two of these spans.
constexpr Duration peakSpan{2000};
/// Shards that have published nothing yet count as wanting an equal part for this long, so that the first daemon of a cold start
/// does not take the whole limit.
constexpr Duration firstWishSpan{5000};
/// An entry is removed only after its shard was missing for this long; a list of shards may be incomplete after a start.
constexpr Duration goneDelay{10000};
/// If the entries still pass the limit after this span, parts are computed anew from what the row says now.
constexpr Duration limitRetry{5000};

Resources larger(const Resources &a, const Resources &b)
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
    if (now - m_spanStart >= 2 * peakSpan) {
        m_peaks = {Resources{}, Resources{}};
        m_spanStart = now;
    } else if (now - m_spanStart >= peakSpan) {
        m_peaks[1] = std::exchange(m_peaks[0], Resources{});
        m_spanStart += peakSpan;
    }
    m_peaks[0] = larger(m_peaks[0], value);
}

Resources RecentPeak::value() const
{
    return larger(m_peaks[0], m_peaks[1]);
}

TeamAllotments::TeamAllotments(const AllotmentSettings &settings, TeamId id) : m_settings(settings), m_id(std::move(id)) { }

void TeamAllotments::setLimit(const Resources &limit, std::set<PoolName> pools, TimePoint now)
{
    m_pools = std::move(pools);
    if (limit == m_limit) {
        return;
    }
    m_limit = limit;
    for (auto &own : m_own) {
        own.second.limitTo.reset();
    }
    shrinkToLimit(now);
}

void TeamAllotments::own(const ShardId &shard)
{
    m_own.try_emplace(shard);
}

void TeamAllotments::disown(const ShardId &shard)
{
    m_own.erase(shard);
}

void TeamAllotments::setDemand(const AllotmentDemand &need, TimePoint now)
{
    const auto found = m_own.find(need.shard);
    if (found != m_own.end()) {
        found->second.used = need.used;
        found->second.usageIncomplete = need.usageIncomplete;
        found->second.wanted.add(larger(need.used, need.wanted), now);
    }
}

Resources TeamAllotments::mostUsed(const ShardId &shard, const OwnShard &own) const
{
    return own.usageIncomplete ? larger(own.used, entryOf(shard).allotment) : own.used;
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

Resources TeamAllotments::wish(const ShardId &shard) const
{
    const auto found = m_own.find(shard);
    if (found == m_own.end()) {
        return entryOf(shard).wanted.limitedTo(m_limit);
    }
    return mayUse(shard) ? found->second.wanted.value().limitedTo(m_limit) : Resources{};
}

bool TeamAllotments::hasNewUnmetDemand() const
{
    return std::any_of(m_own.begin(), m_own.end(), [this](const auto &own) {
        const AllotmentEntry entry = entryOf(own.first);
        // A shard whose wish is known to be unmet waits for the regular cycle.
        return entry.wanted.fitsIn(entry.allotment) && !wish(own.first).fitsIn(entry.allotment);
    });
}

void TeamAllotments::onRow(const Row &row)
{
    if (m_known && row.version == m_version) {
        return; // A write with an unknown outcome may still be on its way; only a new version rules it out.
    }
    const auto entries = allotmentsFromJson(row.value);
    if (!entries) {
        return;
    }
    m_known = true;
    m_version = row.version;
    m_entries = *entries;
    m_uncertain.clear();
}

void TeamAllotments::shrinkToLimit(TimePoint now)
{
    const Resources sum = sumOf(m_entries);
    const bool isOver = !sum.fitsIn(m_limit);
    for (auto &[shard, own] : m_own) {
        const Resources has = entryOf(shard).allotment;
        if (isOver && (!own.limitTo || now - own.limitSince >= limitRetry)) {
            const Resources part = scaledDown(has, m_limit, sum);
            own.limitTo = part.limitedTo(own.limitTo.value_or(part));
            own.limitSince = now;
        } else if (!isOver && own.limitTo && has.fitsIn(*own.limitTo)) {
            own.limitTo.reset();
        }
    }
}

std::map<ShardId, Resources> TeamAllotments::targets(const AllotmentShards &shards, TimePoint now) const
{
    std::vector<ShardId> order;
    std::vector<Resources> wishes;
    for (const auto &entry : m_entries) {
        order.push_back(entry.first);
        wishes.push_back(wish(entry.first));
    }
    for (const auto &[shard, since] : shards.existing) {
        if (m_entries.count(shard) > 0 || !mayUse(shard)) {
            continue;
        }
        const bool isOwn = m_own.count(shard) > 0;
        if (isOwn || now - since < firstWishSpan) {
            order.push_back(shard);
            wishes.push_back(isOwn ? wish(shard) : m_limit);
        }
    }
    const std::vector<Resources> parts = maxMinFairShares(m_limit, wishes);
    const Resources spare = idleShare(parts);
    std::map<ShardId, Resources> result;
    for (std::size_t i = 0; i < order.size(); ++i) {
        result.emplace(order[i], larger(parts[i], spare));
    }
    return result;
}

Resources TeamAllotments::idleShare(const std::vector<Resources> &parts) const
{
    if (m_settings.idleDivisor == 0) {
        return {};
    }
    Resources left = m_limit;
    for (const Resources &part : parts) {
        left -= part;
    }
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(parts.size(), 1));
    return quotient(left.clampedToNonNegative(), count).limitedTo(quotient(m_limit, count * m_settings.idleDivisor));
}

void TeamAllotments::lowerFor(const std::map<ShardId, Resources> &targets)
{
    Resources shortage = (m_limit - sumOf(m_entries)).clampedToNonNegative() * -1;
    for (const auto &[shard, target] : targets) {
        if (m_entries.count(shard) > 0 || m_own.count(shard) > 0) {
            shortage += (target - entryOf(shard).allotment).clampedToNonNegative();
        }
    }
    for (auto &[shard, own] : m_own) {
        const Resources has = entryOf(shard).allotment;
        const auto target = targets.find(shard);
        const Resources part = target == targets.end() ? Resources{} : target->second;
        const Resources given = (has - part).clampedToNonNegative().limitedTo(shortage.clampedToNonNegative());
        const Resources kept = larger(has - given, mostUsed(shard, own).limitedTo(has));
        own.shrinkTo = kept == has ? std::nullopt : std::optional<Resources>(kept);
    }
}

bool TeamAllotments::lower(const AllotmentShards &shards, TimePoint now)
{
    if (!m_known) {
        return false;
    }
    shrinkToLimit(now);
    lowerFor(targets(shards, now));
    return std::any_of(m_own.begin(), m_own.end(), [this](const auto &own) {
        const std::optional<Resources> amount = inForce(own.first);
        return amount && own.second.announced && !own.second.announced->fitsIn(*amount);
    });
}

void TeamAllotments::shrink(AllotmentEntries &entries) const
{
    for (const auto &[shard, own] : m_own) {
        const auto found = entries.find(shard);
        if (found == entries.end()) {
            continue;
        }
        Resources &allotment = found->second.allotment;
        const Resources capped = allotment.limitedTo(own.shrinkTo.value_or(allotment)).limitedTo(own.limitTo.value_or(allotment));
        // The row stays above what still runs, so that nobody else uses it before it has stopped.
        allotment = larger(capped, mostUsed(shard, own).limitedTo(allotment));
    }
}

void TeamAllotments::grow(AllotmentEntries &entries, const std::map<ShardId, Resources> &targets) const
{
    Resources left = (m_limit - sumOf(entries)).clampedToNonNegative();
    for (const auto &own : m_own) {
        const auto target = targets.find(own.first);
        const bool isKnown = entries.count(own.first) > 0;
        if (target == targets.end() || (!mayUse(own.first) && !isKnown)) {
            continue;
        }
        AllotmentEntry &entry = entries[own.first];
        entry.wanted = wish(own.first);
        const Resources added = (target->second - entry.allotment).clampedToNonNegative().limitedTo(left);
        entry.allotment += added;
        left -= added;
    }
}

void TeamAllotments::removeGone(AllotmentEntries &entries, const AllotmentShards &shards, TimePoint now) const
{
    for (const auto &[shard, since] : shards.missing) {
        if (now - since >= goneDelay) {
            entries.erase(shard);
        }
    }
}

bool TeamAllotments::needsFence() const
{
    return std::any_of(m_own.begin(), m_own.end(), [this](const auto &own) { return !own.second.fenced && !entryOf(own.first).allotment.isZero(); });
}

std::optional<RowWrite> TeamAllotments::propose(const AllotmentShards &shards, TimePoint now)
{
    if (!m_known) {
        return std::nullopt;
    }
    AllotmentEntries entries = m_entries;
    removeGone(entries, shards, now);
    shrink(entries);
    grow(entries, targets(shards, now));
    const bool isNeeded = needsFence() || !m_uncertain.empty();
    if (entries == m_entries && !isNeeded) {
        for (auto &own : m_own) {
            own.second.fenced = true; // There is nothing that a late write of the previous owner could take away.
        }
        return std::nullopt;
    }
    m_inFlight = entries;
    for (auto &own : m_own) {
        own.second.fencing = true;
    }
    const RowWrite::Kind kind = m_version == RowVersion() ? RowWrite::Kind::Insert : RowWrite::Kind::Update;
    return RowWrite{kind, table, m_id.value(), m_version, allotmentsToJson(entries)};
}

void TeamAllotments::onWritten(RowVersion version)
{
    if (!m_inFlight) {
        return;
    }
    m_entries = *std::exchange(m_inFlight, std::nullopt);
    m_version = version;
    m_uncertain.clear();
    for (auto &own : m_own) {
        own.second.fenced = own.second.fenced || own.second.fencing;
        own.second.shrinkTo.reset();
    }
}

void TeamAllotments::onRefused()
{
    m_inFlight.reset();
}

void TeamAllotments::onLost()
{
    if (m_inFlight) {
        m_uncertain.push_back(*std::exchange(m_inFlight, std::nullopt));
    }
}

const AllotmentEntries &TeamAllotments::entries() const
{
    return m_entries;
}

std::optional<Resources> TeamAllotments::inForce(const ShardId &shard) const
{
    const auto found = m_own.find(shard);
    if (found == m_own.end() || !m_known || !found->second.fenced) {
        return std::nullopt;
    }
    const OwnShard &own = found->second;
    const auto allotmentIn = [&shard](const AllotmentEntries &entries) {
        const auto entry = entries.find(shard);
        return entry == entries.end() ? Resources{} : entry->second.allotment;
    };
    Resources amount = entryOf(shard).allotment;
    if (m_settings.shrinkBeforeGrow) {
        amount = amount.limitedTo(own.shrinkTo.value_or(amount)).limitedTo(own.limitTo.value_or(amount));
        // While the sum passes a lowered limit, nothing more is admitted.
        amount = own.limitTo ? amount.limitedTo(own.used) : amount;
        amount = m_inFlight ? amount.limitedTo(allotmentIn(*m_inFlight)) : amount;
        for (const AllotmentEntries &entries : m_uncertain) {
            amount = amount.limitedTo(allotmentIn(entries));
        }
    }
    if (!m_settings.growAfterConfirm && m_inFlight) {
        amount = larger(amount, allotmentIn(*m_inFlight));
    }
    return amount;
}

void TeamAllotments::announce(std::vector<AllotmentOutput> &outputs)
{
    for (auto &[shard, own] : m_own) {
        const std::optional<Resources> amount = inForce(shard);
        if (amount && amount != own.announced) {
            own.announced = amount;
            outputs.emplace_back(AllotmentChanged{shard, m_id, *amount});
        }
    }
}

} // namespace KingCupLadder
