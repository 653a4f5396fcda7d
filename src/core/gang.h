// All-or-nothing reservation for a job whose tasks must start together. At most one per shard, so that two such jobs can't
// each hold half of what the other needs.
#pragma once

#include "fairqueue.h"
#include "placement.h"

#include <optional>
#include <vector>

namespace KingCupLadder {

class GangReservation
{
public:
    explicit GangReservation(Duration timeout);

    /// Reserves for the entry if nothing is reserved. @p expectedFree is when enough room should be free, by declared run
    /// times; it bounds what may be backfilled.
    bool begin(const QueueEntry &entry, TimePoint expectedFree, TimePoint now);
    void end();
    [[nodiscard]] bool isActive() const;
    [[nodiscard]] const QueueEntry &entry() const; ///< Only while active.
    /// True if the reservation was held for its timeout; it should end, and its job may try again after others.
    [[nodiscard]] bool isExpired(TimePoint now) const;
    /// Whether other work may start while the reservation is active: urgent work always, other work if it is declared to
    /// end before the reservation is due.
    [[nodiscard]] bool mayBackfill(const QueueEntry &other, TimePoint now) const;

private:
    Duration m_timeout;
    std::optional<QueueEntry> m_entry;
    TimePoint m_since{};
    TimePoint m_expectedFree{};
};

} // namespace KingCupLadder
