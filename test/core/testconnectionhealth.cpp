#include "core/connectionhealth.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(ConnectionHealth)
{
    ConnectionHealth health;
    const ConnectionId first{1};
    const ConnectionId second{2};
    const ConnectionId elsewhere{3};
    void setup() override
    {
        health.opened(first, "127.0.0.1:1");
        health.opened(second, "127.0.0.1:1");
        health.opened(elsewhere, "127.0.0.1:2");
        health.timedOut(first);
    }
};

// Guards against a late answer that is taken for the answer to the next request.
TEST(ConnectionHealth, NeverUsesATimedOutConnectionAgain)
{
    health.answered(first);
    CHECK_TRUE(health.verdict(first) == ConnectionVerdict::Close);
}

// Guards against sending requests one by one into connections that all went silent together.
TEST(ConnectionHealth, ProbesSiblingsOfASilentConnection)
{
    CHECK_TRUE(health.verdict(second) == ConnectionVerdict::ProbeFirst);
}

// Guards against probing the whole fleet because of one upstream.
TEST(ConnectionHealth, LeavesOtherUpstreamsAlone)
{
    CHECK_TRUE(health.verdict(elsewhere) == ConnectionVerdict::Use);
}

// Guards against siblings that stay out of use after they proved to work.
TEST(ConnectionHealth, UsesASiblingAfterItsProbe)
{
    health.probeStarted(second);
    health.probeAnswered(second);
    CHECK_TRUE(health.verdict(second) == ConnectionVerdict::Use);
}

// Guards against several probes at once on one connection.
TEST(ConnectionHealth, OffersEachSuspectForOneProbe)
{
    CHECK_EQUAL(1U, health.connectionsToProbe("127.0.0.1:1").size());
    health.probeStarted(second);
    CHECK_EQUAL(0U, health.connectionsToProbe("127.0.0.1:1").size());
}
