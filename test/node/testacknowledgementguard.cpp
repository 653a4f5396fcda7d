#include "node/acknowledgementguard.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(AcknowledgementGuard)
{
    AcknowledgementGuard guard;
    TimePoint now{Duration(100000)};
    HoldOrder order;

    void setup() override
    {
        order.worker = WorkerId("w");
        order.incarnation = WorkerIncarnation(3);
        order.acknowledged = EndNumber(37);
    }
    std::uint64_t acknowledgedAt(TimePoint at) const
    {
        return guard.guard(order, at).acknowledged.value();
    }
};

// Guards against an acknowledgement to a process of which only the id is known, for example by a relay that has just been chosen.
TEST(AcknowledgementGuard, WithholdsTheAcknowledgementBeforeTheFirstAnswer)
{
    CHECK_EQUAL(0U, acknowledgedAt(now));
}

TEST(AcknowledgementGuard, PassesTheAcknowledgementToTheConfirmedIncarnation)
{
    guard.confirm(order.worker, WorkerIncarnation(3), now);
    CHECK_EQUAL(37U, acknowledgedAt(now + Duration(100)));
}

// Guards against an order of a leader that does not know of the worker's restart yet.
TEST(AcknowledgementGuard, WithholdsTheAcknowledgementFromAnotherIncarnation)
{
    guard.confirm(order.worker, WorkerIncarnation(4), now);
    CHECK_EQUAL(0U, acknowledgedAt(now));
}

// Guards against a daemon that was paused for seconds and then sends the order that it had before.
TEST(AcknowledgementGuard, WithholdsTheAcknowledgementAfterAPause)
{
    guard.confirm(order.worker, WorkerIncarnation(3), now);
    CHECK_EQUAL(0U, acknowledgedAt(now + Duration(3000)));
}

TEST(AcknowledgementGuard, WithholdsTheAcknowledgementAfterAHoldWithoutAnswer)
{
    guard.confirm(order.worker, WorkerIncarnation(3), now);
    guard.revoke(order.worker);
    CHECK_EQUAL(0U, acknowledgedAt(now));
}
