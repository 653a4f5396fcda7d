// Tests of the choice of connections that are closed when callers exceed the limits.
#include "daemon/callerconnections.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace KingCupLadder;

TEST_GROUP(CallerConnections)
{
    static constexpr std::size_t kibibyte = 1024;
    TimePoint now = TimePoint(Duration(100000));
    std::map<CallerConnectionId, CloseReason> closed;
    CallerConnections connections = makeConnections();

    static CallerConnections makeConnections()
    {
        CallerLimits limits;
        limits.maxHeaderBytes = kibibyte;
        limits.maxBodyBytes = 4 * kibibyte;
        limits.headerTimeout = Duration(2000);
        limits.idleTimeout = Duration(10000);
        return CallerConnections(ConnectionBudget{4, 20 * kibibyte}, limits);
    }

    CallerConnectionId open()
    {
        const auto id = std::make_shared<CallerConnectionId>();
        *id = connections.add(now, [this, id](CloseReason reason) { closed[*id] = reason; });
        return *id;
    }

    /// Opens a connection that has had a response.
    CallerConnectionId openProven()
    {
        const CallerConnectionId id = open();
        connections.onReceived(id, 10, now);
        CHECK_TRUE(connections.onRequest(id, 10, 0, now));
        connections.onResponse(id, now);
        connections.onResponseWritten(id, 0, now);
        return id;
    }

    void pass(int milliseconds)
    {
        now += Duration(milliseconds);
        connections.enforce(now);
    }

    bool isClosed(CallerConnectionId id, CloseReason reason) const
    {
        const auto found = closed.find(id);
        return found != closed.end() && found->second == reason;
    }
};

// Guards against connections that are closed although no limit is reached.
TEST(CallerConnections, KeepsConnectionsWithinTheLimits)
{
    openProven();
    open();
    connections.onReceived(open(), 5 * kibibyte, now);
    pass(1999);
    CHECK_TRUE(closed.empty());
}

// Guards against a request that takes longer than the header time-out to send and is never given up.
TEST(CallerConnections, ClosesASlowRequest)
{
    const CallerConnectionId slow = open();
    connections.onReceived(slow, 1, now);
    for (int i = 0; i < 20; ++i) {
        pass(100);
        connections.onReceived(slow, 1, now);
    }
    CHECK_TRUE(isClosed(slow, CloseReason::SlowRequest));
}

// Guards against a large request over a slow line that is taken for a caller who sends single bytes.
TEST(CallerConnections, ARequestGetsTimeForTheBytesThatItHasSent)
{
    const CallerConnectionId steady = open();
    for (int i = 0; i < 18; ++i) {
        connections.onReceived(steady, kibibyte, now);
        pass(200);
    }
    CHECK_TRUE(closed.empty());
}

// Guards against a request that is given up while the scheduler decides about it.
TEST(CallerConnections, NeverClosesARequestThatIsBeingHandled)
{
    for (int i = 0; i < 6; ++i) {
        const CallerConnectionId id = open();
        CHECK_TRUE(connections.onRequest(id, 3 * kibibyte, 0, now));
    }
    pass(60000);
    CHECK_TRUE(closed.empty());
}

// Guards against complete requests that hold memory without bound.
TEST(CallerConnections, RejectsARequestIfThoseInProgressHoldTooManyBytes)
{
    CHECK_TRUE(connections.onRequest(open(), 18 * kibibyte, 0, now));
    CHECK_FALSE(connections.onRequest(open(), 3 * kibibyte, 0, now));
}

// Guards against bytes that stay counted after their connection or request has ended.
TEST(CallerConnections, EndedRequestsAndConnectionsHoldNoBytes)
{
    openProven();
    const CallerConnectionId gone = open();
    connections.onReceived(gone, kibibyte, now);
    connections.remove(gone);
    LONGS_EQUAL(0, connections.heldBytes());
}

// Guards against a bound on bytes that closes connections with few bytes and spares those with many.
TEST(CallerConnections, ClosesTheConnectionThatHoldsMost)
{
    const CallerConnectionId large = open();
    const CallerConnectionId small = open();
    connections.onReceived(large, 20 * kibibyte, now);
    connections.onReceived(small, kibibyte, now);
    pass(10);
    CHECK_TRUE(isClosed(large, CloseReason::Bytes));
    LONGS_EQUAL(1, closed.size());
}

// Guards against a large request of an ordinary caller that is closed because others hold many bytes for long.
TEST(CallerConnections, SparesALargeRequestThatHasJustBegun)
{
    const CallerConnectionId old = open();
    connections.onReceived(old, 16 * kibibyte, now);
    pass(1000);
    const CallerConnectionId fresh = open();
    connections.onReceived(fresh, 5 * kibibyte, now);
    pass(5);
    CHECK_TRUE(isClosed(old, CloseReason::Bytes));
    LONGS_EQUAL(1, closed.size());
}

// Guards against pipelined input that counts as progress of a caller who reads no responses.
TEST(CallerConnections, ClosesAConnectionWhoseResponseIsNotRead)
{
    const CallerConnectionId unread = open();
    CHECK_TRUE(connections.onRequest(unread, 10, 0, now));
    connections.onResponse(unread, now);
    connections.onOutput(unread, kibibyte, now);
    for (int i = 0; i < 10; ++i) {
        connections.onReceived(unread, 10, now);
        pass(1000);
    }
    CHECK_TRUE(isClosed(unread, CloseReason::UnreadResponse));
}

// Guards against a caller who reads slowly and is taken for one who does not read.
TEST(CallerConnections, KeepsAConnectionWhoseResponseIsReadSlowly)
{
    const CallerConnectionId reader = open();
    CHECK_TRUE(connections.onRequest(reader, 10, 0, now));
    connections.onResponse(reader, now);
    for (std::size_t left = 40; left > 0; --left) {
        connections.onOutput(reader, left, now);
        pass(1000);
    }
    CHECK_TRUE(closed.empty());
}

// Guards against idle connections that are kept for ever.
TEST(CallerConnections, ClosesAnIdleConnectionAfterTheTimeout)
{
    const CallerConnectionId idle = openProven();
    pass(9999);
    CHECK_TRUE(closed.empty());
    pass(1);
    CHECK_TRUE(isClosed(idle, CloseReason::Idle));
}

// Guards against misusing connections that push out the idle connections of ordinary callers.
TEST(CallerConnections, ClosesAStuckConnectionBeforeAnIdleOne)
{
    openProven();
    openProven();
    const CallerConnectionId stuck = open();
    connections.onReceived(stuck, 10, now);
    pass(1500);
    open();
    open();
    pass(0);
    CHECK_TRUE(isClosed(stuck, CloseReason::Connections));
    LONGS_EQUAL(1, closed.size());
}

// Guards against a new caller who is closed for connections that have sent nothing useful.
TEST(CallerConnections, ClosesTheOldestOfTheUnprovenConnections)
{
    openProven();
    const CallerConnectionId oldest = open();
    open();
    open();
    open();
    pass(0);
    CHECK_TRUE(isClosed(oldest, CloseReason::Connections));
    LONGS_EQUAL(1, closed.size());
}

// Guards against a bound on bytes below what one request within the limits needs.
TEST(CallerConnections, ASingleRequestWithinTheLimitsFitsIntoAnyBudget)
{
    CallerLimits limits;
    CallerConnections small(ConnectionBudget{4, kibibyte}, limits);
    const CallerConnectionId id = small.add(now, [](CloseReason) { FAIL("closed"); });
    small.onReceived(id, limits.maxHeaderBytes + limits.maxBodyBytes, now);
    small.enforce(now);
    CHECK_TRUE(small.onRequest(id, limits.maxHeaderBytes + limits.maxBodyBytes, 0, now));
}

// Guards against limits of a new configuration that apply to new connections only.
TEST(CallerConnections, ChangedLimitsApplyToPresentConnections)
{
    const CallerConnectionId idle = openProven();
    CallerLimits limits = connections.limits();
    limits.idleTimeout = Duration(500);
    connections.setLimits(limits);
    pass(500);
    CHECK_TRUE(isClosed(idle, CloseReason::Idle));
}
