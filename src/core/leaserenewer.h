// Maintains this daemon's own lease row: registration, renewal by compare-and-set, read-back after lost replies, and release.
#pragma once

#include "backoff.h"
#include "ownership.h"
#include "ownershiprows.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace KingCupLadder {

/// A store operation whose number is not assigned yet.
using LeaseOperation = std::variant<StoreTransaction, StoreRead>;

class LeaseRenewer
{
public:
    LeaseRenewer(const OwnershipSettings &settings, NonceSource &nonces, TimePoint now);

    /// Returns the operation that is due. Returns none while an operation is in flight.
    [[nodiscard]] std::optional<LeaseOperation> next(TimePoint now);
    void onTransact(const StoreReply &reply, TimePoint now);
    void onRead(const StoreReply &reply, TimePoint now);
    /// Processes the lease row as returned by another operation. Detects that another daemon marked the lease as expired.
    void observe(const Row &row, TimePoint now);
    /// Releases the lease: marks it as expired as soon as possible and stops renewing it.
    void release();

    /// Returns true if the daemon is registered and the lease is not known to be lost or released.
    [[nodiscard]] bool held() const;
    /// Returns true once the lease is released.
    [[nodiscard]] bool released() const;
    /// Returns true if the lease is held and its row version is known, so that a transaction can check it.
    [[nodiscard]] bool hasKnownVersion() const;
    /// Returns true if the lease is held and known to be valid at this time.
    [[nodiscard]] bool confirmed(TimePoint now) const;
    [[nodiscard]] RowVersion version() const;
    [[nodiscard]] Incarnation incarnation() const;
    /// Returns true once after each loss of the lease.
    [[nodiscard]] bool takeLost();

private:
    enum class Phase {
        Unread, ///< The row has not been read.
        Unregistered, ///< The row is known, but was not written by this run.
        Held,
        Released,
    };

    [[nodiscard]] StoreTransaction leaseWrite(const LeaseRow &row, TimePoint now);
    [[nodiscard]] bool isOwnWrite(const LeaseRow &row) const;
    void resolveFromRow(const Row &row, TimePoint now);
    /// Records that a write of this object took effect. @p released is true if the write marked the lease as expired.
    void recordOwnWrite(const std::string &nonce, RowVersion version, bool released, TimePoint now);
    /// Processes a row that this object did not write: a held lease is lost, and the next registration replaces this version.
    void adoptForeignRow(const Row &row, TimePoint now);
    void markLost();

    const OwnershipSettings m_settings;
    NonceSource &m_nonces;
    RandomSource m_random;
    Backoff m_backoff;
    Phase m_phase = Phase::Unread;
    bool m_inFlight = false;
    bool m_outcomeUnknown = false; ///< The outcome of a write is unknown; the row has to be read before the next write.
    bool m_releasing = false; ///< release() was called.
    bool m_lost = false;
    RowVersion m_version; ///< Last known version; 0 if the row is absent.
    PeerInfo m_self; ///< Has the incarnation of this run once it is chosen.
    Incarnation m_highestIncarnation; ///< The highest known incarnation of this daemon.
    std::string m_pendingNonce; ///< The nonce of the write in flight.
    bool m_pendingIsRelease = false; ///< The write in flight releases the lease: it marks the row as expired.
    std::map<std::string, TimePoint> m_unresolvedWrites; ///< Send times, by nonce, of the writes whose outcome is unknown.
    TimePoint m_nextAt; ///< When the next operation is due.
    std::optional<TimePoint> m_confirmedUntil; ///< leaseTerm - leaseMargin after the last confirmed write was sent.
};

} // namespace KingCupLadder
