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

class LeaseWatch
{
public:
    explicit LeaseWatch(const OwnershipSettings &settings);

    /// Takes the result of a full scan of the lease rows that was sent at @p sentAt.
    void onScan(const std::vector<Row> &rows, TimePoint sentAt, TimePoint now);
    /// Takes a single row, such as one returned by a conflict. Version 0 means that the row is absent.
    void observe(const Row &row, TimePoint now);
    /// Returns true once all lease rows have been scanned; before that, a missing row does not mean that the daemon has no lease.
    [[nodiscard]] bool isRead() const;

    [[nodiscard]] HolderState stateOf(const DaemonId &daemon, Incarnation incarnation) const;
    /// Returns the write that makes a transaction fail if the holder's lease row has changed. It marks an overdue row as expired.
    [[nodiscard]] RowWrite guardWrite(const DaemonId &daemon, HolderState state, const std::string &nonce) const;
    /// Returns the daemons with a valid lease.
    [[nodiscard]] std::vector<PeerInfo> registered() const;
    /// Returns an empty optional if the daemon is not registered or its lease has ended.
    [[nodiscard]] std::optional<PeerInfo> registered(const DaemonId &daemon) const;

private:
    struct Holder {
        std::optional<LeaseRow> lease; ///< Empty if the row is malformed.
        RowVersion version;
        TimePoint firstSeen{}; ///< When this version was first read, restarted after a gap between reads.
        TimePoint lastSeen{};
    };
    [[nodiscard]] bool isOverdue(const Holder &holder) const;
    [[nodiscard]] bool isRegistered(const Holder &holder) const;

    const OwnershipSettings m_settings;
    std::map<DaemonId, Holder> m_holders;
    bool m_read = false;
};

} // namespace KingCupLadder
