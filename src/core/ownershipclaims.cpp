// Part of Ownership: evaluates shard rows, and claims shards without a live owner.
#include "ownershipstate.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

/// A daemon delays its claim by this much for each daemon that is preferred over it, up to maxDelayedRank of them, so that preferred
/// owners claim first.
constexpr Duration delayPerRank{500};
constexpr std::ptrdiff_t maxDelayedRank = 3;

} // namespace

bool Ownership::Private::isOwnedByThisIncarnation(const ShardOwnership &shard) const
{
    const bool named = shard.version > RowVersion() && shard.readable && shard.row.owner == settings.self.id;
    return named && lease.held() && shard.row.incarnation == lease.incarnation();
}

void Ownership::Private::replaceRow(ShardOwnership &shard, const Row &row)
{
    shard.version = row.version;
    if (row.version == RowVersion()) {
        shard.readable = true;
        return;
    }
    const auto parsed = ShardRow::fromJson(row.value);
    shard.readable = parsed.has_value();
    if (parsed) {
        shard.row = *parsed;
        shard.highestEpoch = std::max(shard.highestEpoch, parsed->epoch);
    }
}

void Ownership::Private::observeShard(const ShardId &id, const Row &row, TimePoint sentAt, TimePoint now)
{
    ShardOwnership &shard = shards[id];
    const bool absent = row.version == RowVersion();
    const bool stale = absent ? shard.updatedAt > sentAt : row.version < shard.version;
    if (shard.seen && stale) {
        return;
    }
    shard.seen = true;
    shard.updatedAt = now;
    if (absent || row.version > shard.version) {
        replaceRow(shard, row);
    }
    // An earlier read may not show the write yet.
    if (shard.outcomeUnknownSince && *shard.outcomeUnknownSince <= sentAt) {
        shard.outcomeUnknownSince.reset();
    }
    evaluate(id, shard, now);
}

void Ownership::Private::evaluate(const ShardId &id, ShardOwnership &shard, TimePoint now)
{
    const bool mine = isOwnedByThisIncarnation(shard);
    if (shard.ownedEpoch && (!mine || shard.row.epoch != *shard.ownedEpoch)) {
        loseShard(id, shard);
    }
    if (shard.handOverTarget && !mine) {
        // The row no longer names this incarnation, after a handover by this daemon or after a takeover. The nonce tells them apart.
        const bool handedOver = shard.row.nonce == shard.lastWrittenRow.nonce && !shard.row.owner.isEmpty();
        if (handedOver && shard.version > RowVersion() && shard.readable) {
            outputs.emplace_back(HandOverDone{id, shard.row.epoch, shard.row.owner});
        }
        shard.handOverTarget.reset();
    } else if (shard.handOverTarget && !stopping && !shard.writing && !shard.outcomeUnknownSince && !shard.lastWrittenRow.nonce.empty()) {
        // The handover failed. Claiming the shard again with a new epoch also invalidates a delayed write.
        shard.handOverTarget.reset();
    }
    const bool acquirable = mine && !shard.ownedEpoch && !shard.handOverTarget && !stopping && shard.relinquishedEpoch < shard.row.epoch;
    if (acquirable && lease.confirmed(now)) {
        acquireShard(id, shard, now);
    }
}

void Ownership::Private::acquireShard(const ShardId &id, ShardOwnership &shard, TimePoint now)
{
    shard.ownedEpoch = shard.row.epoch;
    shard.ownedSince = now;
    shard.claimableSince.reset();
    shard.outcomeUnknownSince.reset();
    outputs.emplace_back(ShardGained{id, shard.row.epoch});
}

void Ownership::Private::loseShard(const ShardId &id, ShardOwnership &shard)
{
    shard.relinquishedEpoch = std::max(shard.relinquishedEpoch, *shard.ownedEpoch);
    shard.ownedEpoch.reset();
    outputs.emplace_back(ShardLost{id});
}

void Ownership::Private::applyWritten(const Pending &operation, const StoreReply &reply, TimePoint now)
{
    for (const ShardId &id : operation.shards) {
        const auto isRow = [&](const Row &row) { return row.table == shardsTable && row.key == id.value(); };
        const auto row = std::find_if(reply.rows.begin(), reply.rows.end(), isRow);
        if (row == reply.rows.end()) {
            shards[id].outcomeUnknownSince = now;
            shardsToRead.insert(id);
            continue;
        }
        observeShard(id, Row{shardsTable, id.value(), row->version, shards[id].lastWrittenRow.toJson()}, now, now);
    }
}

void Ownership::Private::applyPresumedWrite(const Pending &operation, TimePoint now)
{
    for (const ShardId &id : operation.shards) {
        const ShardOwnership &shard = shards[id];
        observeShard(id, Row{shardsTable, id.value(), shard.version.next(), shard.lastWrittenRow.toJson()}, now, now);
    }
}

bool Ownership::Private::isClaimable(const ShardOwnership &shard) const
{
    if (!shard.desired || !shard.seen || !shard.readable || shard.ownedEpoch || shard.handOverTarget || shard.outcomeUnknownSince || shard.writing) {
        return false;
    }
    // A row may name this daemon without its owning the shard, for example if an earlier incarnation wrote it.
    if (shard.version == RowVersion() || shard.row.owner.isEmpty() || shard.row.owner == settings.self.id) {
        return true;
    }
    return leaseTracker.stateOf(shard.row.owner, shard.row.incarnation) != HolderState::Live;
}

Duration Ownership::Private::claimDelayOf(const ShardId &id, const ShardOwnership &shard)
{
    // A restarted daemon claims the shards of its earlier incarnation at once.
    if (shard.version > RowVersion() && shard.row.owner == settings.self.id) {
        return Duration(0);
    }
    std::vector<PeerInfo> candidates{settings.self};
    for (const auto &[peerId, peer] : peers) {
        candidates.push_back(peer.info);
    }
    const auto order = ownersByPreference(DesiredShard{id, shard.domain}, candidates);
    const auto self = std::find_if(order.begin(), order.end(), [&](const PeerInfo &peer) { return peer.id == settings.self.id; });
    const std::ptrdiff_t rank = self - order.begin();
    return rank == 0 ? Duration(0) : delayPerRank * std::min(rank, maxDelayedRank) + random.upTo(delayPerRank / 2);
}

bool Ownership::Private::claimDue(const ShardId &id, ShardOwnership &shard, TimePoint now)
{
    if (!isClaimable(shard)) {
        shard.claimableSince.reset();
        return false;
    }
    if (!shard.claimableSince) {
        shard.claimableSince = now;
        shard.claimDelay = claimDelayOf(id, shard);
    }
    return now - *shard.claimableSince >= shard.claimDelay;
}

std::vector<ShardId> Ownership::Private::shardsToClaim(TimePoint now)
{
    std::vector<ShardId> due;
    for (auto &[id, shard] : shards) {
        // claimDue() comes first, because it starts the claim delay of every claimable shard, also beyond the maximum.
        if (claimDue(id, shard, now) && due.size() < settings.maxShardsPerTransaction) {
            due.push_back(id);
        }
    }
    return due;
}

void Ownership::Private::claim(TimePoint now)
{
    const bool ready = leaseTracker.isScanned() && lease.confirmed(now) && lease.hasKnownVersion();
    if (!ready || now < nextWrite || writeInFlight()) {
        return;
    }
    const std::vector<ShardId> due = shardsToClaim(now);
    if (due.empty()) {
        return;
    }
    start(StoreTransaction{OpId(), claimWrites(due)}, OpKind::Claim, due, now);
}

std::vector<RowWrite> Ownership::Private::claimWrites(const std::vector<ShardId> &ids)
{
    std::vector<RowWrite> writes{ownLeaseCheck()};
    std::set<DaemonId> checkedHolders;
    for (const ShardId &id : ids) {
        ShardOwnership &shard = shards[id];
        const DaemonId holder = shard.version == RowVersion() ? DaemonId() : shard.row.owner;
        const bool other = !holder.isEmpty() && holder != settings.self.id;
        // Superseded also stands for a row that names no daemon or this one: there is no other daemon whose lease row has to be checked.
        const HolderState state = other ? leaseTracker.stateOf(holder, shard.row.incarnation) : HolderState::Superseded;
        // A superseded holder needs no check of the lease row: an earlier incarnation never becomes the owner again, and the row changes with
        // each renewal of the later incarnation, so a check could fail needlessly.
        if (settings.checkLeaseRowOnTakeover && state != HolderState::Superseded && checkedHolders.insert(holder).second) {
            writes.push_back(leaseTracker.holderLeaseCheck(holder, state, nonces.next()));
        }
        writes.push_back(shardWrite(id, shard, settings.self.id, lease.incarnation()));
    }
    return writes;
}

RowWrite Ownership::Private::shardWrite(const ShardId &id, ShardOwnership &shard, const DaemonId &owner, Incarnation incarnation)
{
    shard.writing = true;
    shard.lastWrittenRow = ShardRow{owner, incarnation, shard.highestEpoch.next(), nonces.next()};
    const auto kind = shard.version == RowVersion() ? RowWrite::Kind::Insert : RowWrite::Kind::Update;
    return RowWrite{kind, shardsTable, id.value(), shard.version, shard.lastWrittenRow.toJson()};
}

RowWrite Ownership::Private::ownLeaseCheck() const
{
    return RowWrite{RowWrite::Kind::Check, daemonsTable, settings.self.id.value(), lease.version(), {}};
}

} // namespace KingCupLadder
