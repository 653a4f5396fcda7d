// Reservation of a shard for one gang-scheduled job.
#include "gang.h"

#include <cassert>

namespace KingCupLadder {

GangReservation::GangReservation(Duration timeout) : m_timeout(timeout) { }

bool GangReservation::begin(const QueueEntry &entry, TimePoint expectedFree, TimePoint now)
{
    if (m_entry) {
        return false;
    }
    m_entry = entry;
    m_since = now;
    m_expectedFree = expectedFree;
    return true;
}

void GangReservation::end()
{
    m_entry.reset();
}

bool GangReservation::isActive() const
{
    return m_entry.has_value();
}

const QueueEntry &GangReservation::entry() const
{
    assert(m_entry);
    return *m_entry;
}

bool GangReservation::isExpired(TimePoint now) const
{
    return m_entry && now - m_since >= m_timeout;
}

bool GangReservation::mayBackfill(const QueueEntry &other, TimePoint now) const
{
    if (!m_entry || other.priority == Priority::Urgent) {
        return true;
    }
    const bool isDeclared = other.declaredRunTime > Duration(0);
    return isDeclared && now + other.declaredRunTime <= m_expectedFree;
}

} // namespace KingCupLadder
