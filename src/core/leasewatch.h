// The lease rows of all daemons as read from the store, and for how long each was seen unchanged.
#pragma once

#include "ownership.h"
#include "ownershiprows.h"

#include <map>
#include <optional>
#include <vector>

namespace KingCupLadder {

/// Whether the holder of a shard row still counts as its owner.
enum class HolderState {
    Live,
    Overdue, ///< Its lease row was seen unchanged for leaseTerm + leaseMargin; it has to be marked as expired.
    Expired, ///< Its lease row is marked as expired, or absent.
    Superseded, ///< A later run of the same daemon has registered.
};

class LeaseWatch
{
public:
    explicit LeaseWatch(const OwnershipSettings &settings);

    /// A complete reading of the lease rows that was asked for at @p sentAt.
    void onScan(const std::vector<Row> &rows, TimePoint sentAt, TimePoint now);
    /// A single row, such as one that a conflict returned; version 0 means absent.
    void observe(const Row &row, TimePoint now);
    /// True once the rows have been read.
    [[nodiscard]] bool isRead() const;

    [[nodiscard]] HolderState stateOf(const DaemonId &daemon, Incarnation incarnation) const;
    /// The write that makes a transaction fail if the holder's lease row has changed; marks an overdue row as expired.
    [[nodiscard]] RowWrite guardWrite(const DaemonId &daemon, HolderState state, const std::string &nonce) const;
    [[nodiscard]] std::vector<PeerInfo> registered() const;
    /// Empty if the daemon is not registered or its lease is over.
    [[nodiscard]] std::optional<PeerInfo> registered(const DaemonId &daemon) const;

private:
    struct Holder {
        std::optional<LeaseRow> lease; ///< Empty: unreadable.
        RowVersion version;
        TimePoint firstSeen{}; ///< Of this version, without a gap in the sightings since.
        TimePoint lastSeen{};
    };
    [[nodiscard]] bool isOverdue(const Holder &holder) const;
    [[nodiscard]] bool isRegistered(const Holder &holder) const;

    const OwnershipSettings m_settings;
    std::map<DaemonId, Holder> m_holders;
    bool m_read = false;
};

} // namespace KingCupLadder
