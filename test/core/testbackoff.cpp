#include "core/backoff.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Backoff){};

// Guards against delays that grow without bound or overflow during a long outage.
TEST(Backoff, DelaysStayBetweenHalfOfTheCapAndTheCap)
{
    Backoff backoff(BackoffSettings{Duration(100), Duration(3000)}, 1);
    Duration last{0};
    for (int i = 0; i < 1000; ++i) {
        last = backoff.next();
    }
    CHECK_TRUE(last >= Duration(1500) && last <= Duration(3000));
}

// Guards against a long first delay left over from an earlier outage.
TEST(Backoff, ResetReturnsToTheFirstDelay)
{
    Backoff backoff(BackoffSettings{Duration(100), Duration(3000)}, 1);
    (void)backoff.next();
    (void)backoff.next();
    backoff.reset();
    CHECK_TRUE(backoff.next() <= Duration(100));
}

// Guards against daemons that retry at the same time.
TEST(Backoff, DifferentSeedsGiveDifferentDelays)
{
    const BackoffSettings settings{Duration(1000), Duration(30000)};
    CHECK_FALSE(Backoff(settings, 1).next() == Backoff(settings, 2).next());
}

// Guards against test runs that are not reproducible.
TEST(Backoff, EqualSeedsGiveEqualDelays)
{
    const BackoffSettings settings{Duration(1000), Duration(30000)};
    LONGS_EQUAL(Backoff(settings, 1).next().count(), Backoff(settings, 1).next().count());
}

// Guards against a busy loop if the settings are zero.
TEST(Backoff, DelayIsNeverZero)
{
    CHECK_TRUE(Backoff(BackoffSettings{Duration(0), Duration(0)}, 1).next() >= Duration(1));
}
