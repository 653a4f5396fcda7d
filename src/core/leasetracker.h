// Tracks the lease rows of all daemons as read from the store, and how long each has been unchanged.
#pragma once

#include "ownership.h"
#include "ownershiprows.h"

#include <map>
#include <optional>
#include <vector>

namespace KingCupLadder {

/// Whether the daemon named in a shard row still counts as its owner.
enum class HolderState {
    Live,
    Overdue, ///< Its lease row was unchanged for leaseTerm + leaseMargin; a takeover must mark it as expired.
    Expired, ///< Its lease row is marked as expired, or absent.
    Superseded, ///< A later run of the same daemon has registered.
};

class LeaseTracker
{
public:
    explicit LeaseTracker(const OwnershipSettings &settings);

    /// Processes the result of a full scan of the lease rows; the scan was sent at @p sentAt.
    void onScan(const std::vector<Row> &rows, TimePoint sentAt, TimePoint now);
    /// Processes a single row, such as one returned by a conflict. Version 0 means that the row is absent.
    void observe(const Row &row, TimePoint now);
    /// Returns true once all lease rows have been scanned; before that, a missing row does not mean that the daemon has no lease.
    [[nodiscard]] bool isScanned() const;

    [[nodiscard]] HolderState stateOf(const DaemonId &daemon, Incarnation incarnation) const;
    /// Returns the row write that makes a takeover transaction fail if the holder's lease row has changed. For an overdue holder, this
    /// write also marks the lease row as expired.
    [[nodiscard]] RowWrite holderLeaseCheck(const DaemonId &daemon, HolderState state, const std::string &nonce) const;
    /// Returns the daemons with a valid lease.
    [[nodiscard]] std::vector<PeerInfo> registered() const;
    /// Returns an empty optional if the daemon is not registered or its lease has ended.
    [[nodiscard]] std::optional<PeerInfo> registered(const DaemonId &daemon) const;

private:
    struct Holder {
        std::optional<LeaseRow> lease; ///< Empty if the row is malformed.
        RowVersion version;
        TimePoint unchangedSince{}; ///< When this version was first read, or the first read after a gap between reads.
        TimePoint lastSeen{};
    };
    [[nodiscard]] bool isOverdue(const Holder &holder) const;
    [[nodiscard]] bool isRegistered(const Holder &holder) const;

    const OwnershipSettings m_settings;
    std::map<DaemonId, Holder> m_holders;
    bool m_scanned = false;
};

} // namespace KingCupLadder
