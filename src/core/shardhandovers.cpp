// Hand-overs of Ownership: which daemon should have a shard, and the orderly ways to give one up.
#include "ownershipstate.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::size_t mostWishesPerRound = 4; ///< So that a returning daemon does not get all its shards at one moment.
constexpr Duration wishPause{10000}; ///< Between two wishes for the same shard.

/// Equal on all daemons, unlike std::hash.
std::uint64_t rendezvousWeight(const ShardId &shard, const DaemonId &daemon)
{
    const std::uint64_t seed = seedFor(0, shard.value().c_str());
    return seedFor(seed, daemon.value().c_str());
}

} // namespace

std::vector<PeerInfo> ownersByPreference(const WantedShard &shard, std::vector<PeerInfo> daemons)
{
    const auto comesFirst = [&](const PeerInfo &a, const PeerInfo &b) {
        if ((a.domain == shard.domain) != (b.domain == shard.domain)) {
            return a.domain == shard.domain;
        }
        const std::uint64_t weightOfA = rendezvousWeight(shard.id, a.id);
        const std::uint64_t weightOfB = rendezvousWeight(shard.id, b.id);
        return weightOfA != weightOfB ? weightOfA > weightOfB : a.id < b.id;
    };
    std::sort(daemons.begin(), daemons.end(), comesFirst);
    return daemons;
}

DaemonId preferredOwner(const WantedShard &shard, const std::vector<PeerInfo> &daemons)
{
    const auto order = ownersByPreference(shard, daemons);
    return order.empty() ? DaemonId() : order.front().id;
}

void Ownership::Private::giveUp(const ShardId &id, const DaemonId &to)
{
    const auto found = shards.find(id);
    if (found == shards.end() || !found->second.owned) {
        return;
    }
    lose(id, found->second);
    found->second.target = to;
    found->second.planned = ShardRow();
}

std::vector<PeerInfo> Ownership::Private::settledCandidates(TimePoint now) const
{
    std::vector<PeerInfo> candidates{settings.self};
    for (const auto &[id, peer] : peers) {
        if (now - peer.since >= settings.settleTime && watch.registered(id)) {
            candidates.push_back(peer.info);
        }
    }
    return candidates;
}

void Ownership::Private::wishHandOvers(TimePoint now)
{
    if (now < nextWishes || !lease.confirmed(now)) {
        return;
    }
    nextWishes = now + random.around(settings.handOverInterval);
    const std::vector<PeerInfo> candidates = settledCandidates(now);
    std::size_t wishes = 0;
    for (auto &[id, shard] : shards) {
        const bool settled = shard.owned && shard.wanted && now - shard.ownedSince >= settings.settleTime && now >= shard.nextWish;
        if (!settled || wishes >= mostWishesPerRound) {
            continue;
        }
        const PeerInfo best = ownersByPreference(WantedShard{id, shard.domain}, candidates).front();
        if (best.id != settings.self.id && best.domain == shard.domain) {
            shard.nextWish = now + wishPause;
            ++wishes;
            outputs.emplace_back(HandOverWanted{id, best.id});
        }
    }
}

std::vector<ShardId> Ownership::Private::shardsToHandOver() const
{
    std::vector<ShardId> due;
    for (const auto &[id, shard] : shards) {
        const bool free = shard.target && !shard.writing && !shard.unsettledSince;
        if (free && isMine(shard) && due.size() < settings.maxShardsPerTransaction) {
            due.push_back(id);
        }
    }
    return due;
}

Incarnation Ownership::Private::incarnationOf(const DaemonId &daemon) const
{
    const auto peer = peers.find(daemon);
    const auto row = watch.registered(daemon);
    const Incarnation heard = peer == peers.end() ? Incarnation() : peer->second.info.incarnation;
    return row ? std::max(heard, row->incarnation) : heard;
}

void Ownership::Private::writeHandOvers(TimePoint now)
{
    if (now < nextWrite || writeInFlight() || !lease.checkable()) {
        return;
    }
    const std::vector<ShardId> due = shardsToHandOver();
    if (due.empty()) {
        return;
    }
    std::vector<RowWrite> writes{ownLeaseCheck()};
    for (const ShardId &id : due) {
        ShardOwnership &shard = shards[id];
        writes.push_back(shardWrite(id, shard, *shard.target, incarnationOf(*shard.target)));
    }
    start(StoreTransact{OpId(), std::move(writes)}, OpKind::HandOver, due, now);
}

void Ownership::Private::planStop()
{
    if (!stopping) {
        return;
    }
    std::vector<PeerInfo> candidates;
    for (const auto &[id, peer] : peers) {
        candidates.push_back(peer.info);
    }
    for (auto &[id, shard] : shards) {
        const DaemonId best = preferredOwner(WantedShard{id, shard.domain}, candidates);
        if (shard.owned) {
            giveUp(id, best);
        } else if (isMine(shard) && !shard.writing && !shard.unsettledSince) {
            shard.target = best;
        }
    }
    if (!hasShardsLeft()) {
        lease.retire();
    }
}

bool Ownership::Private::hasShardsLeft() const
{
    return std::any_of(shards.begin(), shards.end(), [&](const auto &entry) {
        const ShardOwnership &shard = entry.second;
        return shard.owned || shard.writing || (lease.held() && (shard.unsettledSince || isMine(shard)));
    });
}

} // namespace KingCupLadder
