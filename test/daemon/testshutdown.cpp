#include "daemon/shutdown.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Shutdown)
{
    std::size_t activeRequests = 1;
    bool coreStopped = false;
    int beginStopCalls = 0;
    int exitCalls = 0;
    TimePoint start{Duration(1000)};
    Shutdown shutdown{
        {Duration(100), Duration(1000), Duration(500), Duration(10)},
        {[this] { return activeRequests; }, [this] { ++beginStopCalls; }, [this] { return coreStopped; }, [this] { ++exitCalls; }, [](const char *) {}}};

    void tickAfter(int ms)
    {
        shutdown.tick(start + Duration(ms));
    }
};

// Guards against routing callers to a daemon that is about to stop.
TEST(Shutdown, IsNotReadyImmediately)
{
    shutdown.begin(start);
    CHECK_FALSE(shutdown.isReady());
}

// Guards against refusing requests that the load balancer still sends during the drain wait.
TEST(Shutdown, ServesDuringTheDrainWait)
{
    shutdown.begin(start);
    tickAfter(99);
    CHECK_FALSE(shutdown.refusesNewWork());
}

// Guards against handing over shards while their requests are in flight.
TEST(Shutdown, HandsOverOnlyAfterRequestsInFlight)
{
    shutdown.begin(start);
    tickAfter(100);
    tickAfter(101);
    LONGS_EQUAL(0, beginStopCalls);
    activeRequests = 0;
    tickAfter(102);
    LONGS_EQUAL(1, beginStopCalls);
}

// Guards against a request that never ends and so prevents the exit forever.
TEST(Shutdown, DoesNotWaitLongerThanTheFinishWait)
{
    shutdown.begin(start);
    tickAfter(100);
    tickAfter(1100);
    LONGS_EQUAL(1, beginStopCalls);
}

// Guards against exiting before the last messages to peers are sent.
TEST(Shutdown, ExitsAfterTheFlush)
{
    activeRequests = 0;
    coreStopped = true;
    shutdown.begin(start);
    tickAfter(100);
    tickAfter(101);
    tickAfter(102);
    LONGS_EQUAL(0, exitCalls);
    tickAfter(112);
    LONGS_EQUAL(1, exitCalls);
}
