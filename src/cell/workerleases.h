// When every lease on a worker is known to have expired. A worker measures leases on its own clock, which starts anew with each of its
// processes, and it never shortens one. Orders that extend leases may be carried out seconds after they were sent, also by a later process
// of the worker, which does not know that they were meant for another one.
#pragma once

#include "workerprotocol.h"

#include <optional>

namespace KingCupLadder {

struct LeaseSettings {
    Duration maxLease{6000}; ///< Longest lease a worker grants, from the moment at which it carries out an order; set from the platform's limits.
    double maxClockDrift = 0.02; ///< Maximum fraction by which a worker's clock runs slower than real time.
    Duration maxOrderDelay{12000}; ///< An order without an answer is not carried out later than this after its time-out.
};

/// Estimates the clock of one incarnation of a worker from its answers. The estimate is never ahead of the worker's clock.
class WorkerClock
{
public:
    explicit WorkerClock(double maxDrift);

    void observe(WorkerClockMs clock, TimePoint receivedAt);
    [[nodiscard]] bool isKnown() const;
    /// Returns a lower bound on the worker's clock at @p now.
    [[nodiscard]] WorkerClockMs lowerBoundAt(TimePoint now) const;

private:
    double m_maxDrift;
    WorkerClockMs m_clock = 0;
    TimePoint m_receivedAt;
    bool m_known = false;
};

/// Orders that extend leases, sent to some incarnations of a worker.
struct LeaseOrders {
    int inFlight = 0; ///< Neither answered nor timed out.
    std::optional<TimePoint> carriedOutBy; ///< The other ones were carried out by then, if at all; empty: there are none that matter.

    /// An order was answered, or will be carried out by @p latest if at all.
    void end(TimePoint latest);
};

/// Upper bound on the leases of one worker, over all of its incarnations. Until an incarnation has answered a hold of this leader, nothing
/// bounds the leases that it may have granted but the time that has passed: no default stands for "no lease".
class WorkerLeases
{
public:
    /// The leases of a worker of which nothing is known never count as expired.
    explicit WorkerLeases(const LeaseSettings &settings);

    /// If the present incarnation never answers, all of its leases have expired at @p expiredBy.
    void setExpiryWithoutAnswer(TimePoint expiredBy);
    /// The worker has another incarnation. @p mayHaveRuns: it may already have carried out orders that were meant for the former one.
    void beginIncarnation(TimePoint now, bool mayHaveRuns);

    /// Returns the deadline on the worker's clock for an order that is sent now. endOrder() must follow.
    [[nodiscard]] WorkerClockMs beginOrder(Duration validity, TimePoint now);
    /// Like beginOrder(), for another attempt of an order whose deadline is known.
    void repeatOrder();
    /// An order was answered or timed out. @p forPresent: it was meant for the present incarnation.
    void endOrder(bool forPresent, bool isAnswered, TimePoint now);
    void observeClock(WorkerClockMs clock, TimePoint receivedAt);
    /// The present incarnation has answered a hold. @p mayBeFirst: leases of orders before it may not be known yet.
    void onHoldAnswered(WorkerClockMs clock, bool mayBeFirst, TimePoint receivedAt);

    /// Whether the present incarnation has answered a hold, so that its leases can be renewed and its orders get deadlines.
    [[nodiscard]] bool isBounded() const;
    [[nodiscard]] WorkerClockMs clockLowerBound(TimePoint now) const;
    /// Whether all leases on the worker have expired, whatever orders are still on the way.
    [[nodiscard]] bool haveExpired(TimePoint now) const;

private:
    /// Longest time for which a lease that was granted now goes on.
    [[nodiscard]] Duration longestLease() const;

    LeaseSettings m_settings;
    WorkerClock m_clock;
    std::optional<WorkerClockMs> m_latestDeadline; ///< Empty until the present incarnation has answered a hold.
    TimePoint m_expiredBy = TimePoint::max(); ///< Applies while m_latestDeadline is empty.
    LeaseOrders m_orders; ///< For the present incarnation. Their deadlines are in m_latestDeadline, so they matter only for the next one.
    LeaseOrders m_formerOrders; ///< For former incarnations: their deadlines mean nothing to the present one, which limits them to its longest lease.
};

} // namespace KingCupLadder
