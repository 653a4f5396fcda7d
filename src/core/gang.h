// Reservation for gang scheduling: a job whose tasks must all start together. A shard has at most one reservation, so two such
// jobs can't deadlock by each holding part of the resources that the other needs.
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

    /// Reserves for the entry. Returns false if a reservation exists. @p expectedFree is the time at which enough resources are
    /// expected to be free; work may be backfilled only if it ends before then.
    bool begin(const QueueEntry &entry, TimePoint expectedFree, TimePoint now);
    void end();
    [[nodiscard]] bool isActive() const;
    [[nodiscard]] const QueueEntry &entry() const; ///< Valid only while active.
    /// Whether the reservation has reached its timeout. The caller should then end it, so that other jobs are scheduled first.
    [[nodiscard]] bool isExpired(TimePoint now) const;
    /// Whether other work may start despite the reservation: urgent work always, other work only if its declared run time ends
    /// before the expected start of the gang.
    [[nodiscard]] bool mayBackfill(const QueueEntry &other, TimePoint now) const;

private:
    Duration m_timeout;
    std::optional<QueueEntry> m_entry;
    TimePoint m_since{};
    TimePoint m_expectedFree{};
};

} // namespace KingCupLadder
