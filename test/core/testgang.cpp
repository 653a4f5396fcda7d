#include "core/gang.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(GangReservation)
{
    GangReservation gang{Duration(10000)};
    TimePoint now{Duration(50000)};
    QueueEntry job;
    QueueEntry other;

    void setup() override
    {
        job.job = JobId("gang");
        other.job = JobId("other");
        other.declaredRunTime = Duration(3000);
        (void)gang.begin(job, now + Duration(5000), now);
    }
};

// Guards against a deadlock of two jobs that each hold part of the resources that the other needs.
TEST(GangReservation, SecondJobIsRefused)
{
    CHECK_FALSE(gang.begin(other, now, now));
}

// Guards against a reservation that keeps capacity idle forever.
TEST(GangReservation, ExpiresAfterItsTimeout)
{
    CHECK_TRUE(gang.isExpired(now + Duration(10000)));
}

// Guards against leaving reserved capacity idle although other work would end before the gang starts.
TEST(GangReservation, ShortWorkMayBackfill)
{
    CHECK_TRUE(gang.mayBackfill(other, now));
}

// Guards against backfill that delays the reserved job.
TEST(GangReservation, WorkThatEndsTooLateMayNotBackfill)
{
    CHECK_FALSE(gang.mayBackfill(other, now + Duration(2001)));
}

// Guards against work of unknown run time occupying reserved capacity.
TEST(GangReservation, WorkWithoutDeclaredRunTimeMayNotBackfill)
{
    other.declaredRunTime = Duration(0);
    CHECK_FALSE(gang.mayBackfill(other, now));
}

// Guards against urgent work waiting for the end of a reservation.
TEST(GangReservation, UrgentWorkMayAlwaysStart)
{
    other.priority = Priority::Urgent;
    other.declaredRunTime = Duration(0);
    CHECK_TRUE(gang.mayBackfill(other, now));
}
