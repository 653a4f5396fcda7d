// Leases of daemons and ownership of shards, arbitrated by rows of the store. Keeps this daemon's lease row, watches those of
// the others, claims shards that have no live owner and hands shards over to the daemon that should have them.
#pragma once

#include "error.h"
#include "messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct OwnershipSettings {
    PeerInfo self;
    std::uint64_t seed = 1; ///< Should differ between daemons and between runs, so that their delays differ.
    Duration leaseTerm{6000};
    Duration leaseMargin{1000};
    Duration renewInterval{2000};
    Duration scanInterval{1000}; ///< Between two reads of the lease and shard rows.
    Duration operationTimeout{1500}; ///< A store operation without an answer after this span counts as StoreStatus::Unknown.
    Duration claimInterval{300}; ///< Between two transactions that claim or hand over shards.
    Duration handOverInterval{1000}; ///< Between two rounds of HandOverProposed.
    Duration settleTime{5000}; ///< A shard is moved only after its owner had it, and its receiver was live, for this span.
    std::size_t maxShardsPerTransaction = 20;
    /// Guards against double ownership; only tests that show their effect switch them off.
    bool checkLeaseRowOnTakeover = true;
    bool readBackLostAnswers = true;
};

/// A shard that should exist, with the VMs' failure domain.
struct DesiredShard {
    ShardId id;
    FailureDomain domain;
};

/// This daemon owns the shard from now on.
struct ShardGained {
    ShardId shard;
    Epoch epoch;
};

/// This daemon no longer owns the shard. Its controller must be dropped at once.
struct ShardLost {
    ShardId shard;
};

/// The shard should move to another daemon. The receiver of this output prepares and calls Ownership::handOver().
struct HandOverProposed {
    ShardId shard;
    DaemonId to;
};

/// The shard row names another daemon as the owner now; it has to be told.
struct HandOverDone {
    ShardId shard;
    Epoch epoch;
    DaemonId to;
};

using OwnershipOutput = std::variant<StoreTransact, StoreScan, StoreRead, ShardGained, ShardLost, HandOverProposed, HandOverDone>;

/// What the rows say about a shard.
struct ShardOwner {
    ShardId shard;
    DaemonId owner;
    Epoch epoch;
};

class Ownership
{
public:
    /// Supplies operation numbers that are unique within the daemon.
    using NextOp = std::function<OpId()>;

    [[nodiscard]] static Result<std::unique_ptr<Ownership>> create(const OwnershipSettings &settings, NextOp nextOp, TimePoint now);
    ~Ownership();
    Ownership(const Ownership &) = delete;
    Ownership &operator=(const Ownership &) = delete;

    /// The shards that should exist, from the pools and the VM list. A shard that is no longer wanted is kept until released.
    void setDesiredShards(const std::vector<DesiredShard> &shards, TimePoint now);
    /// Daemons heard recently, which may be given shards. A stopping daemon is not among them.
    void setLivePeers(const std::vector<PeerInfo> &peers, TimePoint now);
    /// True if the operation was one of this object's.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    /// Moves an owned shard to another daemon: emits ShardLost at once, then writes the shard row with epoch + 1 and emits
    /// HandOverDone. If the write fails, this daemon claims the shard again with a new epoch.
    void handOver(const ShardId &shard, const DaemonId &to, TimePoint now);
    /// Gives up an owned shard that is not wanted any more: any daemon may claim it if it is wanted again.
    void release(const ShardId &shard, TimePoint now);
    /// A peer reports that it wrote the shard row for this daemon: reads the row at once.
    void onHandOver(const HandOver &message, TimePoint now);
    /// Hands all shards over and releases the lease; no shard is claimed from then on.
    void beginStop(TimePoint now);
    [[nodiscard]] std::vector<OwnershipOutput> takeOutputs();

    /// True while the store is known to confirm this daemon's lease: (sending of the last confirmed renewal) + leaseTerm -
    /// leaseMargin has not been reached.
    [[nodiscard]] bool leaseConfirmed(TimePoint now) const;
    /// Of this run, as registered; that of the settings before the registration. Heartbeats must carry it.
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] std::vector<ShardOwner> owned() const;
    /// Version of the row that makes this daemon the owner; 0 if it does not own the shard.
    [[nodiscard]] RowVersion rowVersion(const ShardId &shard) const;
    /// Known owners of all shards, from the rows read last.
    [[nodiscard]] std::vector<ShardOwner> owners() const;
    /// Daemons whose lease row is live, from the rows read last.
    [[nodiscard]] std::vector<PeerInfo> registered() const;
    /// True once beginStop() has nothing left to do.
    [[nodiscard]] bool stopped() const;

private:
    Ownership();
    class Private;
    std::unique_ptr<Private> m_d;
};

/// The daemon that should own the shard: rendezvous hashing over the daemons of the shard's own failure domain, else over
/// all. Empty if there are no daemons.
[[nodiscard]] DaemonId preferredOwner(const DesiredShard &shard, const std::vector<PeerInfo> &daemons);

} // namespace KingCupLadder
