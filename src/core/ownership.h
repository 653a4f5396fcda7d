// Daemon leases and shard ownership, arbitrated by rows of the store. Renews this daemon's lease row, watches the lease rows of
// other daemons, claims shards that have no live owner and hands shards over to their preferred owners.
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
    std::uint64_t seed = 1; ///< Should differ between daemons and between runs, so that their random delays differ.
    Duration leaseTerm{6000};
    Duration leaseMargin{1000}; ///< The holder stops relying on its lease this much early; others wait this much longer.
    Duration renewInterval{2000};
    Duration scanInterval{1000}; ///< Between two scans of the lease rows and shard rows.
    Duration operationTimeout{1500}; ///< A store operation without a reply after this time counts as StoreStatus::Unknown.
    Duration claimInterval{300}; ///< Between two transactions that claim or hand over shards.
    Duration handOverInterval{1000}; ///< Between two rounds of handover proposals (HandOverProposed).
    /// A handover is proposed only after the owner has owned the shard, and the receiver has been live, for this long, since a receiver may
    /// restart repeatedly.
    Duration settleTime{5000};
    std::size_t maxShardsPerTransaction = 20;
    /// Safety checks against double ownership. Only tests that demonstrate their effect turn them off.
    bool checkLeaseRowOnTakeover = true; ///< A takeover fails if the holder's lease row has changed since it was read.
    bool readBackAfterLostReplies = true; ///< If the reply to a write is lost, read the row; if false, assume that the write succeeded.
};

/// A shard that should exist, with the failure domain of its VMs.
struct DesiredShard {
    ShardId id;
    FailureDomain domain;
};

/// Reports that this daemon now owns the shard.
struct ShardGained {
    ShardId shard;
    Epoch epoch;
};

/// Reports that this daemon no longer owns the shard. The shard's controller must be destroyed at once.
struct ShardLost {
    ShardId shard;
};

/// Proposes to move the shard to another daemon. The consumer of this output prepares the move and calls Ownership::handOver().
struct HandOverProposed {
    ShardId shard;
    DaemonId to;
};

/// Reports that the shard row now names another daemon as the owner; that daemon has to be notified.
struct HandOverDone {
    ShardId shard;
    Epoch epoch;
    DaemonId to;
};

using OwnershipOutput = std::variant<StoreTransaction, StoreScan, StoreRead, ShardGained, ShardLost, HandOverProposed, HandOverDone>;

/// The owner of a shard according to its row.
struct ShardOwner {
    ShardId shard;
    DaemonId owner;
    Epoch epoch;
};

class Ownership
{
public:
    /// Returns operation numbers that are unique within the daemon.
    using NextOp = std::function<OpId()>;

    [[nodiscard]] static Result<std::unique_ptr<Ownership>> create(const OwnershipSettings &settings, NextOp nextOp, TimePoint now);
    ~Ownership();
    Ownership(const Ownership &) = delete;
    Ownership &operator=(const Ownership &) = delete;

    /// Sets the shards that should exist, derived from the pools and the VM list. An owned shard that is no longer in the set is
    /// kept until it is released.
    void setDesiredShards(const std::vector<DesiredShard> &desired, TimePoint now);
    /// Sets the daemons that sent a heartbeat recently and may receive shards. Must not contain daemons that are stopping.
    void setLivePeers(const std::vector<PeerInfo> &peers, TimePoint now);
    /// Returns true if the reply belongs to an operation of this object.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    /// Moves an owned shard to another daemon: emits ShardLost at once, then writes the shard row with epoch + 1 and emits
    /// HandOverDone. If the write fails, this daemon claims the shard again with a higher epoch.
    void handOver(const ShardId &shard, const DaemonId &to, TimePoint now);
    /// Releases an owned shard that should no longer exist. Any daemon may claim it if it is needed again.
    void release(const ShardId &shard, TimePoint now);
    /// Handles a peer's report that it wrote the shard row with this daemon as the owner: reads the row at once.
    void onHandOver(const HandOver &message, TimePoint now);
    /// Starts the shutdown: hands over all shards, then releases the lease. No shard is claimed afterwards.
    void beginStop(TimePoint now);
    [[nodiscard]] std::vector<OwnershipOutput> takeOutputs();

    /// Returns true while this daemon's lease is known to be valid: until leaseTerm - leaseMargin after the last confirmed renewal
    /// was sent.
    [[nodiscard]] bool leaseConfirmed(TimePoint now) const;
    /// Returns the registered incarnation of this run, or that of the settings before registration. Heartbeats must carry it.
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] std::vector<ShardOwner> owned() const;
    /// Returns the version of the row that makes this daemon the owner, or 0 if it does not own the shard.
    [[nodiscard]] RowVersion rowVersion(const ShardId &shard) const;
    /// Returns the known owners of all shards, from the rows read last.
    [[nodiscard]] std::vector<ShardOwner> owners() const;
    /// Returns the daemons with a valid lease, from the rows read last.
    [[nodiscard]] std::vector<PeerInfo> registered() const;
    /// Returns true once the shutdown started by beginStop() is complete.
    [[nodiscard]] bool stopped() const;

private:
    Ownership();
    class Private;
    std::unique_ptr<Private> m_d;
};

/// Selects the owner of a shard by rendezvous hashing over the daemons of the shard's failure domain, or over all daemons if that
/// domain has none. Returns an empty id if there are no daemons.
[[nodiscard]] DaemonId preferredOwner(const DesiredShard &shard, const std::vector<PeerInfo> &daemons);

} // namespace KingCupLadder
