// Part of Ownership: the preferred owner of a shard, and planned handovers of shards.
#include "ownershipstate.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxProposalsPerRound = 4; ///< Proposals per round, so that a returning daemon does not get all its shards at once.
constexpr Duration proposalInterval{10000}; ///< Between two handover proposals for the same shard.

/// Weight for rendezvous hashing. Identical on all daemons, unlike std::hash.
std::uint64_t rendezvousWeight(const ShardId &shard, const DaemonId &daemon)
{
    const std::uint64_t seed = deriveSeed(0, shard.value().c_str());
    return deriveSeed(seed, daemon.value().c_str());
}

} // namespace

std::vector<PeerInfo> ownersByPreference(const DesiredShard &shard, std::vector<PeerInfo> daemons)
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

DaemonId preferredOwner(const DesiredShard &shard, const std::vector<PeerInfo> &daemons)
{
    const auto order = ownersByPreference(shard, daemons);
    return order.empty() ? DaemonId() : order.front().id;
}

void Ownership::Private::relinquish(const ShardId &id, const DaemonId &to)
{
    const auto found = shards.find(id);
    if (found == shards.end() || !found->second.ownedEpoch) {
        return;
    }
    loseShard(id, found->second);
    found->second.handOverTarget = to;
    found->second.lastWrittenRow = ShardRow();
}

std::vector<PeerInfo> Ownership::Private::settledCandidates(TimePoint now) const
{
    std::vector<PeerInfo> candidates{settings.self};
    for (const auto &[id, peer] : peers) {
        if (now - peer.liveSince >= settings.settleTime && leaseTracker.registered(id)) {
            candidates.push_back(peer.info);
        }
    }
    return candidates;
}

void Ownership::Private::proposeHandOvers(TimePoint now)
{
    if (now < nextProposalRound || !lease.confirmed(now)) {
        return;
    }
    nextProposalRound = now + random.around(settings.handOverInterval);
    const std::vector<PeerInfo> candidates = settledCandidates(now);
    std::size_t proposals = 0;
    for (auto &[id, shard] : shards) {
        const bool eligible = shard.ownedEpoch && shard.desired && now - shard.ownedSince >= settings.settleTime && now >= shard.nextProposalAt;
        if (!eligible || proposals >= maxProposalsPerRound) {
            continue;
        }
        const PeerInfo best = ownersByPreference(DesiredShard{id, shard.domain}, candidates).front();
        // A shard moves only to a daemon of its failure domain, since a partition cuts the daemons of other domains off from its VMs.
        if (best.id != settings.self.id && best.domain == shard.domain) {
            shard.nextProposalAt = now + proposalInterval;
            ++proposals;
            outputs.emplace_back(HandOverProposed{id, best.id});
        }
    }
}

std::vector<ShardId> Ownership::Private::shardsToHandOver() const
{
    std::vector<ShardId> due;
    for (const auto &[id, shard] : shards) {
        const bool isReady = shard.handOverTarget && !shard.writing && !shard.outcomeUnknownSince;
        if (isReady && isOwnedByThisIncarnation(shard) && due.size() < settings.maxShardsPerTransaction) {
            due.push_back(id);
        }
    }
    return due;
}

Incarnation Ownership::Private::incarnationOf(const DaemonId &daemon) const
{
    const auto peer = peers.find(daemon);
    const auto row = leaseTracker.registered(daemon);
    const Incarnation peerIncarnation = peer == peers.end() ? Incarnation() : peer->second.info.incarnation;
    return row ? std::max(peerIncarnation, row->incarnation) : peerIncarnation;
}

void Ownership::Private::writeHandOvers(TimePoint now)
{
    if (now < nextWrite || writeInFlight() || !lease.hasKnownVersion()) {
        return;
    }
    const std::vector<ShardId> due = shardsToHandOver();
    if (due.empty()) {
        return;
    }
    std::vector<RowWrite> writes{ownLeaseCheck()};
    for (const ShardId &id : due) {
        ShardOwnership &shard = shards[id];
        writes.push_back(shardWrite(id, shard, *shard.handOverTarget, incarnationOf(*shard.handOverTarget)));
    }
    start(StoreTransaction{OpId(), std::move(writes)}, OpKind::HandOver, due, now);
}

void Ownership::Private::advanceStop()
{
    if (!stopping) {
        return;
    }
    std::vector<PeerInfo> candidates;
    for (const auto &[id, peer] : peers) {
        candidates.push_back(peer.info);
    }
    for (auto &[id, shard] : shards) {
        const DaemonId best = preferredOwner(DesiredShard{id, shard.domain}, candidates);
        if (shard.ownedEpoch) {
            relinquish(id, best);
        } else if (isOwnedByThisIncarnation(shard) && !shard.writing && !shard.outcomeUnknownSince) {
            shard.handOverTarget = best;
        }
    }
    if (!hasUnreleasedShards()) {
        lease.release();
    }
}

bool Ownership::Private::hasUnreleasedShards() const
{
    return std::any_of(shards.begin(), shards.end(), [&](const auto &entry) {
        const ShardOwnership &shard = entry.second;
        return shard.ownedEpoch || shard.writing || (lease.held() && (shard.outcomeUnknownSince || isOwnedByThisIncarnation(shard)));
    });
}

} // namespace KingCupLadder
