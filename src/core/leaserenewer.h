// This daemon's own lease row: registration, renewal by compare-and-set, settlement of lost answers, release.
#pragma once

#include "backoff.h"
#include "ownership.h"
#include "ownershiprows.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace KingCupLadder {

/// An operation whose number is not assigned yet.
using LeaseOperation = std::variant<StoreTransact, StoreRead>;

class LeaseRenewer
{
public:
    LeaseRenewer(const OwnershipSettings &settings, NonceSource &nonces, TimePoint now);

    /// The operation that is due; none while one is in flight.
    [[nodiscard]] std::optional<LeaseOperation> next(TimePoint now);
    void onTransact(const StoreReply &reply, TimePoint now);
    void onRead(const StoreReply &reply, TimePoint now);
    /// The row as another operation saw it. Detects that the lease was expired by another daemon.
    void observe(const Row &row, TimePoint now);
    /// Marks the lease as expired as soon as possible; no renewal from then on.
    void retire();

    /// Registered, and neither lost nor released as far as known.
    [[nodiscard]] bool held() const;
    [[nodiscard]] bool retired() const;
    /// Held with a known row version, which a transaction can check.
    [[nodiscard]] bool hasKnownVersion() const;
    [[nodiscard]] bool confirmed(TimePoint now) const;
    [[nodiscard]] RowVersion version() const;
    [[nodiscard]] Incarnation incarnation() const;
    /// True once after the lease was lost.
    [[nodiscard]] bool takeLost();

private:
    enum class Phase {
        Unread, ///< The row is not known.
        Unregistered, ///< The row is known and is not of this run.
        Held,
        Retired,
    };

    [[nodiscard]] StoreTransact writeOf(const LeaseRow &row, TimePoint now);
    [[nodiscard]] bool isOwn(const LeaseRow &row) const;
    void settle(const Row &row, TimePoint now);
    void accept(const std::string &nonce, RowVersion version, bool retired, TimePoint now);
    void adoptForeign(const Row &row, TimePoint now);
    void lose();

    const OwnershipSettings m_settings;
    NonceSource &m_nonces;
    RandomSource m_random;
    Backoff m_backoff;
    Phase m_phase = Phase::Unread;
    bool m_inFlight = false;
    bool m_inDoubt = false; ///< A write may have taken effect; the row has to be read before the next write.
    bool m_retiring = false;
    bool m_lost = false;
    RowVersion m_version; ///< Last known; 0: absent.
    PeerInfo m_self; ///< With the incarnation of this run, once one was chosen.
    Incarnation m_seen; ///< The highest incarnation known of this daemon.
    std::string m_lastNonce; ///< Of the write in flight.
    bool m_lastRetires = false; ///< The write in flight marks the lease as expired.
    std::map<std::string, TimePoint> m_sent; ///< Sending times of the writes that are not settled.
    TimePoint m_nextAt; ///< Of the next operation.
    std::optional<TimePoint> m_confirmedUntil; ///< (sending of the last confirmed write) + leaseTerm - leaseMargin.
};

} // namespace KingCupLadder
