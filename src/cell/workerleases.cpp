// Bounds by the worker's clock where it is known, and by the time that has passed here otherwise.
#include "workerleases.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr Duration leaseExpiryMargin{150}; // Allows for timer and scheduling delays with which a worker ends runs whose lease has expired.

} // namespace

WorkerClock::WorkerClock(double maxDrift) : m_maxDrift(maxDrift) { }

void WorkerClock::observe(WorkerClockMs clock, TimePoint receivedAt)
{
    if (m_known && lowerBoundAt(receivedAt) >= clock) {
        return;
    }
    m_clock = clock;
    m_receivedAt = receivedAt;
    m_known = true;
}

bool WorkerClock::isKnown() const
{
    return m_known;
}

WorkerClockMs WorkerClock::lowerBoundAt(TimePoint now) const
{
    const double passed = static_cast<double>((now - m_receivedAt).count());
    return m_clock + static_cast<WorkerClockMs>(passed * (1 - m_maxDrift));
}

void LeaseOrders::end(TimePoint latest)
{
    inFlight = std::max(inFlight - 1, 0);
    carriedOutBy = std::max(carriedOutBy.value_or(latest), latest);
}

WorkerLeases::WorkerLeases(const LeaseSettings &settings) : m_settings(settings), m_clock(settings.maxClockDrift) { }

Duration WorkerLeases::longestLease() const
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(m_settings.maxLease.count()) / (1 - m_settings.maxClockDrift))) + leaseExpiryMargin;
}

void WorkerLeases::setExpiryWithoutAnswer(TimePoint expiredBy)
{
    m_expiredBy = expiredBy;
}

void WorkerLeases::beginIncarnation(TimePoint now, bool mayHaveRuns)
{
    m_formerOrders.inFlight += m_orders.inFlight;
    if (m_orders.carriedOutBy) {
        m_formerOrders.carriedOutBy = std::max(m_formerOrders.carriedOutBy.value_or(*m_orders.carriedOutBy), *m_orders.carriedOutBy);
    }
    m_orders = LeaseOrders();
    m_clock = WorkerClock(m_settings.maxClockDrift);
    m_latestDeadline.reset();
    m_expiredBy = mayHaveRuns ? now + longestLease() : now;
}

WorkerClockMs WorkerLeases::beginOrder(Duration validity, TimePoint now)
{
    const WorkerClockMs deadline = m_clock.lowerBoundAt(now) + validity.count();
    if (m_latestDeadline) {
        m_latestDeadline = std::max(*m_latestDeadline, deadline);
    } else {
        m_expiredBy = std::max(m_expiredBy, now + longestLease());
    }
    ++m_orders.inFlight;
    return deadline;
}

void WorkerLeases::repeatOrder()
{
    ++m_orders.inFlight;
}

void WorkerLeases::endOrder(bool forPresent, bool isAnswered, TimePoint now)
{
    (forPresent ? m_orders : m_formerOrders).end(isAnswered ? now : now + m_settings.maxOrderDelay);
}

void WorkerLeases::observeClock(WorkerClockMs clock, TimePoint receivedAt)
{
    m_clock.observe(clock, receivedAt);
}

void WorkerLeases::onHoldAnswered(WorkerClockMs clock, bool mayBeFirst, TimePoint receivedAt)
{
    m_clock.observe(clock, receivedAt);
    if (mayBeFirst || !m_latestDeadline) {
        // Orders of earlier leaders that arrive later are rejected, since the worker has seen this leader's fencing token.
        const WorkerClockMs longest = clock + m_settings.maxLease.count();
        m_latestDeadline = std::max(m_latestDeadline.value_or(longest), longest);
    }
}

bool WorkerLeases::isBounded() const
{
    return m_latestDeadline.has_value();
}

WorkerClockMs WorkerLeases::clockLowerBound(TimePoint now) const
{
    return m_clock.lowerBoundAt(now);
}

bool WorkerLeases::haveExpired(TimePoint now) const
{
    if (m_formerOrders.inFlight > 0 || (m_formerOrders.carriedOutBy && now <= *m_formerOrders.carriedOutBy + longestLease())) {
        return false;
    }
    return m_latestDeadline ? m_clock.lowerBoundAt(now) > *m_latestDeadline + leaseExpiryMargin.count() : m_expiredBy <= now;
}

} // namespace KingCupLadder
