// The inside of Ownership: what is known of each shard, and the operations in flight. Three parts share it: the operations
// (ownership.cpp), the claims (shardclaims.cpp) and the hand-overs (shardhandovers.cpp).
#pragma once

#include "leaserenewer.h"
#include "leasewatch.h"
#include "ownership.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace KingCupLadder {

/// One shard as this daemon knows it.
struct ShardOwnership {
    FailureDomain domain;
    bool wanted = false;
    bool seen = false; ///< The row was read, or is known to be absent.
    bool readable = true; ///< False: the row's value is malformed; its epoch is unknown, so that it is never claimed.
    ShardRow row; ///< Only read if version is above 0.
    RowVersion version; ///< 0: absent.
    TimePoint updatedAt{}; ///< Of the last reading of the row.
    Epoch highest; ///< The highest epoch ever seen; also outlives a deleted row.
    std::optional<Epoch> owned; ///< This daemon owns the shard at this epoch.
    TimePoint ownedSince{};
    Epoch givenUp; ///< The last epoch that this daemon gave up by itself; never owned again at it.
    std::optional<TimePoint> claimableSince;
    Duration claimDelay{0};
    std::optional<TimePoint> outcomeUnknownSince; ///< A write may have taken effect; the row has to be read.
    bool writing = false; ///< Part of the write in flight.
    std::optional<DaemonId> target; ///< To be handed over to this daemon, or to none if it is empty.
    ShardRow planned; ///< What the last write would make of the row.
    TimePoint nextProposalAt{}; ///< No HandOverProposed before.
};

class Ownership::Private
{
public:
    enum class OpKind {
        Lease,
        LeaseRead,
        Claim,
        HandOver,
        ShardRead,
        LeaseScan,
        ShardScan,
    };
    struct Pending {
        OpKind kind = OpKind::Lease;
        TimePoint sentAt{};
        std::vector<ShardId> shards; ///< That a write or a read concerns.
    };
    struct LivePeer {
        PeerInfo info;
        TimePoint since{};
    };

    Private(const OwnershipSettings &ownershipSettings, NextOp nextOpNumber, TimePoint now);

    // Operations.

    void tick(TimePoint now);
    bool onReply(const StoreReply &reply, TimePoint now);
    [[nodiscard]] bool isPending(OpKind kind) const;
    [[nodiscard]] bool writeInFlight() const;
    template<typename T>
    void start(T operation, OpKind kind, std::vector<ShardId> shards, TimePoint now);
    void expireOperations(TimePoint now);
    void finish(const Pending &operation, const StoreReply &reply, TimePoint now);
    void finishWrite(const Pending &operation, const StoreReply &reply, TimePoint now);
    void finishShardRead(const Pending &operation, const StoreReply &reply, TimePoint now);
    void finishShardScan(const Pending &operation, const StoreReply &reply, TimePoint now);
    void observeConflict(const StoreReply &reply, TimePoint now);
    void scan(TimePoint now);
    void readShards(TimePoint now);
    void runLease(TimePoint now);
    void dropAll();

    // Shard rows and claims.

    [[nodiscard]] bool isMine(const ShardOwnership &shard) const;
    void observeShard(const ShardId &id, const Row &row, TimePoint sentAt, TimePoint now);
    void store(ShardOwnership &shard, const Row &row);
    void evaluate(const ShardId &id, ShardOwnership &shard, TimePoint now);
    void gain(const ShardId &id, ShardOwnership &shard, TimePoint now);
    void lose(const ShardId &id, ShardOwnership &shard);
    void applyWritten(const Pending &operation, const StoreReply &reply, TimePoint now);
    void presumeWritten(const Pending &operation, TimePoint now);
    [[nodiscard]] bool isClaimable(const ShardOwnership &shard) const;
    [[nodiscard]] Duration claimDelayOf(const ShardId &id, const ShardOwnership &shard);
    [[nodiscard]] bool claimDue(const ShardId &id, ShardOwnership &shard, TimePoint now);
    void claim(TimePoint now);
    [[nodiscard]] std::vector<ShardId> shardsToClaim(TimePoint now);
    [[nodiscard]] std::vector<RowWrite> claimWrites(const std::vector<ShardId> &ids);
    [[nodiscard]] RowWrite shardWrite(const ShardId &id, ShardOwnership &shard, const DaemonId &owner, Incarnation incarnation);
    [[nodiscard]] RowWrite ownLeaseCheck() const;

    // Hand-overs.

    void giveUp(const ShardId &id, const DaemonId &to);
    void proposeHandOvers(TimePoint now);
    [[nodiscard]] std::vector<PeerInfo> settledCandidates(TimePoint now) const;
    void writeHandOvers(TimePoint now);
    [[nodiscard]] std::vector<ShardId> shardsToHandOver() const;
    [[nodiscard]] Incarnation incarnationOf(const DaemonId &daemon) const;
    void planStop();
    [[nodiscard]] bool hasShardsLeft() const;

    OwnershipSettings settings;
    NextOp nextOp;
    NonceSource nonces;
    RandomSource random;
    Backoff writeBackoff;
    Backoff readBackoff;
    LeaseRenewer lease;
    LeaseWatch watch;
    std::map<ShardId, ShardOwnership> shards;
    std::map<DaemonId, LivePeer> peers; ///< Never contains this daemon.
    std::map<OpId, Pending> pending; ///< At most one write of shard rows or of the own lease row, one read and one scan of each kind.
    std::set<ShardId> toRead;
    TimePoint nextScan;
    TimePoint nextWrite;
    TimePoint nextRead;
    TimePoint nextProposalRound;
    bool stopping = false;
    std::vector<OwnershipOutput> outputs;
};

/// The daemons in the order in which they should own the shard: those of its failure domain first, then by rendezvous hash.
[[nodiscard]] std::vector<PeerInfo> ownersByPreference(const DesiredShard &shard, std::vector<PeerInfo> daemons);

} // namespace KingCupLadder
