// Private state of Ownership: the known state of each shard and the operations in flight. Shared by ownership.cpp (store
// operations), ownershipclaims.cpp (claims) and ownershiphandovers.cpp (handovers).
#pragma once

#include "leaserenewer.h"
#include "leasetracker.h"
#include "ownership.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace KingCupLadder {

/// The state of one shard as known to this daemon.
struct ShardOwnership {
    FailureDomain domain;
    bool desired = false; ///< The shard should exist, see Ownership::setDesiredShards().
    bool seen = false; ///< The row has been read, or is known to be absent.
    bool readable = true; ///< False if the row's value is malformed. Its epoch is unknown then, so the shard is never claimed.
    ShardRow row; ///< Meaningful only if version is above 0.
    RowVersion version; ///< 0 if the row is absent.
    TimePoint updatedAt{}; ///< When the row was last read or written. An older read that did not find the row is ignored.
    Epoch highestEpoch; ///< The highest epoch ever seen; kept after the row is deleted.
    std::optional<Epoch> ownedEpoch; ///< The epoch at which this daemon owns the shard, if it does.
    TimePoint ownedSince{};
    /// The last epoch that this daemon gave up. The daemon never owns the shard again at this epoch, because its controller was destroyed.
    Epoch relinquishedEpoch;
    std::optional<TimePoint> claimableSince; ///< When the shard was first found claimable; empty while it is not.
    Duration claimDelay{0}; ///< Time from claimableSince to the claim. Daemons that are preferred as owners have shorter ones.
    std::optional<TimePoint> outcomeUnknownSince; ///< Set while the outcome of a write is unknown and the row has to be read.
    bool writing = false; ///< The shard is part of the write in flight.
    std::optional<DaemonId> handOverTarget; ///< The daemon to hand the shard over to; an empty id releases it.
    /// The row as the last write leaves it if the write succeeds. relinquish() clears it, so an empty nonce means that no handover was
    /// written yet.
    ShardRow lastWrittenRow;
    TimePoint nextProposalAt{}; ///< HandOverProposed is not emitted before this time.
};

class Ownership::Private
{
public:
    enum class OpKind {
        LeaseWrite,
        LeaseRead,
        Claim,
        HandOver,
        ShardRead,
        LeaseScan,
        ShardScan,
    };
    struct Pending {
        OpKind kind = OpKind::LeaseWrite;
        TimePoint sentAt{};
        std::vector<ShardId> shards; ///< The shards that the operation writes or reads.
    };
    struct LivePeer {
        PeerInfo info;
        TimePoint liveSince{};
    };

    Private(const OwnershipSettings &ownershipSettings, NextOp nextOpNumber, TimePoint now);

    // Store operations.

    void tick(TimePoint now);
    bool onReply(const StoreReply &reply, TimePoint now);
    [[nodiscard]] bool isPending(OpKind kind) const;
    [[nodiscard]] bool writeInFlight() const;
    template<typename T>
    void start(T operation, OpKind kind, std::vector<ShardId> shards, TimePoint now);
    void timeOutOperations(TimePoint now);
    void finish(const Pending &operation, const StoreReply &reply, TimePoint now);
    void finishWrite(const Pending &operation, const StoreReply &reply, TimePoint now);
    void finishShardRead(const Pending &operation, const StoreReply &reply, TimePoint now);
    void finishShardScan(const Pending &operation, const StoreReply &reply, TimePoint now);
    void observeConflict(const StoreReply &reply, TimePoint now);
    void scan(TimePoint now);
    void readShards(TimePoint now);
    void tickLease(TimePoint now);
    void dropAllShards();

    // Shard rows and claims.

    [[nodiscard]] bool isOwnedByThisIncarnation(const ShardOwnership &shard) const;
    void observeShard(const ShardId &id, const Row &row, TimePoint sentAt, TimePoint now);
    /// Replaces the known row of the shard by one that was read or written.
    void replaceRow(ShardOwnership &shard, const Row &row);
    /// Decides from the known row whether this daemon gained or lost the shard, and whether a handover succeeded or failed.
    void evaluate(const ShardId &id, ShardOwnership &shard, TimePoint now);
    void acquireShard(const ShardId &id, ShardOwnership &shard, TimePoint now);
    void loseShard(const ShardId &id, ShardOwnership &shard);
    void applyWritten(const Pending &operation, const StoreReply &reply, TimePoint now);
    /// Assumes that a write without a reply succeeded. Only used if OwnershipSettings::readBackAfterLostReplies is false.
    void applyPresumedWrite(const Pending &operation, TimePoint now);
    [[nodiscard]] bool isClaimable(const ShardOwnership &shard) const;
    [[nodiscard]] Duration claimDelayOf(const ShardId &id, const ShardOwnership &shard);
    /// Returns whether the claim delay of a claimable shard has passed. Starts the delay when the shard is first found claimable.
    [[nodiscard]] bool claimDue(const ShardId &id, ShardOwnership &shard, TimePoint now);
    void claim(TimePoint now);
    [[nodiscard]] std::vector<ShardId> shardsToClaim(TimePoint now);
    [[nodiscard]] std::vector<RowWrite> claimWrites(const std::vector<ShardId> &ids);
    [[nodiscard]] RowWrite shardWrite(const ShardId &id, ShardOwnership &shard, const DaemonId &owner, Incarnation incarnation);
    /// Returns a check of this daemon's own lease row, so that a late claim or handover of a daemon whose lease was expired fails.
    [[nodiscard]] RowWrite ownLeaseCheck() const;

    // Handovers.

    void relinquish(const ShardId &id, const DaemonId &to);
    void proposeHandOvers(TimePoint now);
    [[nodiscard]] std::vector<PeerInfo> settledCandidates(TimePoint now) const;
    void writeHandOvers(TimePoint now);
    [[nodiscard]] std::vector<ShardId> shardsToHandOver() const;
    [[nodiscard]] Incarnation incarnationOf(const DaemonId &daemon) const;
    /// During a shutdown, gives up the owned shards and releases the lease once none is left. Otherwise does nothing.
    void advanceStop();
    /// Returns true while a shard is owned, is being written, or has a row that names this incarnation or may name it after a lost reply.
    [[nodiscard]] bool hasUnreleasedShards() const;

    OwnershipSettings settings;
    NextOp nextOp;
    NonceSource nonces;
    RandomSource random;
    Backoff writeBackoff;
    Backoff readBackoff;
    LeaseRenewer lease;
    LeaseTracker leaseTracker;
    std::map<ShardId, ShardOwnership> shards;
    std::map<DaemonId, LivePeer> peers; ///< Never contains this daemon.
    std::map<OpId, Pending> pending; ///< At most one write (of shard rows or the own lease row), and one read and one scan of each kind.
    std::set<ShardId> shardsToRead; ///< Shards whose rows have to be read, without waiting for the next scan.
    TimePoint nextScan;
    TimePoint nextWrite;
    TimePoint nextRead;
    TimePoint nextProposalRound;
    bool stopping = false;
    std::vector<OwnershipOutput> outputs;
};

/// Sorts the daemons by preference as owner of the shard: those of its failure domain first, then by rendezvous hash.
[[nodiscard]] std::vector<PeerInfo> ownersByPreference(const DesiredShard &shard, std::vector<PeerInfo> daemons);

} // namespace KingCupLadder
