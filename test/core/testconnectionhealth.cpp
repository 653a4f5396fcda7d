#include "core/connectionhealth.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(ConnectionHealth)
{
    ConnectionHealth health;
    const ConnectionId first{1};
    const ConnectionId second{2};
    const ConnectionId otherUpstream{3};
    void setup() override
    {
        health.opened(first, "127.0.0.1:1");
        health.opened(second, "127.0.0.1:1");
        health.opened(otherUpstream, "127.0.0.1:2");
        health.timedOut(first);
    }
};

// Guards against a late response that is taken for the response to the next request.
TEST(ConnectionHealth, NeverUsesATimedOutConnectionAgain)
{
    health.answered(first);
    CHECK_TRUE(health.actionFor(first) == ConnectionAction::Close);
}

// Guards against timing out one request after another on connections that stopped responding together.
TEST(ConnectionHealth, ProbesSiblingsOfATimedOutConnection)
{
    CHECK_TRUE(health.actionFor(second) == ConnectionAction::ProbeFirst);
}

// Guards against probing all upstreams because of one.
TEST(ConnectionHealth, DoesNotProbeOtherUpstreams)
{
    CHECK_TRUE(health.actionFor(otherUpstream) == ConnectionAction::Use);
}

// Guards against siblings that stay unused after a successful probe.
TEST(ConnectionHealth, UsesASiblingAfterItsProbe)
{
    health.probeStarted(second);
    health.probeAnswered(second);
    CHECK_TRUE(health.actionFor(second) == ConnectionAction::Use);
}

// Guards against concurrent probes on one connection.
TEST(ConnectionHealth, ListsEachSuspectConnectionForOneProbeAtATime)
{
    CHECK_EQUAL(1U, health.connectionsToProbe("127.0.0.1:1").size());
    health.probeStarted(second);
    CHECK_EQUAL(0U, health.connectionsToProbe("127.0.0.1:1").size());
}
