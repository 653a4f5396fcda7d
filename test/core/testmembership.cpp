#include "core/membership.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Membership)
{
    TimePoint now{Duration(1000000)};
    MembershipSettings settings = makeSettings();
    Membership membership{settings, now};

    static PeerInfo peer(const char *id, const char *domain, int incarnation = 1)
    {
        return PeerInfo{DaemonId(id), Incarnation(incarnation), FailureDomain(domain), std::string(id) + ":1", std::string(id) + ":2"};
    }

    static MembershipSettings makeSettings()
    {
        MembershipSettings result;
        result.self = peer("self", "a");
        result.seedAddresses = {"self:1", "b:1", "elsewhere:1"};
        return result;
    }

    static Heartbeat heartbeat(const char *id, int incarnation = 1)
    {
        Heartbeat result;
        result.self = peer(id, "b", incarnation);
        return result;
    }

    static VmInfo vm(const char *id, bool leaving)
    {
        return VmInfo{WorkerId(id), "1.2.3.4:5", "g", FailureDomain("a"), RackId("r"), leaving};
    }

    Duration heardAge(const char *domain)
    {
        for (const DomainView &view : membership.domainViews(Duration(0), now)) {
            if (view.domain == FailureDomain(domain)) {
                return view.heardAge;
            }
        }
        return Duration(-1);
    }
};

// Guards against work that is sent to a dead peer.
TEST(Membership, PeerThatWasNotHeardWithinTheTimeoutIsNotLive)
{
    membership.onHeartbeat(heartbeat("b"), now);
    UNSIGNED_LONGS_EQUAL(0, membership.livePeers(now + Duration(2501)).size());
}

// Guards against shards that are given to a daemon that shuts down.
TEST(Membership, StoppingPeerIsNotLive)
{
    Heartbeat stopping = heartbeat("b");
    stopping.stopping = true;
    membership.onHeartbeat(stopping, now);
    UNSIGNED_LONGS_EQUAL(0, membership.livePeers(now).size());
}

// Guards against a late message of an earlier run that replaces the present one.
TEST(Membership, HeartbeatOfAnEarlierIncarnationIsIgnored)
{
    membership.onHeartbeat(heartbeat("b", 2), now);
    membership.onHeartbeat(heartbeat("b", 1), now + Duration(100));
    UNSIGNED_LONGS_EQUAL(2, membership.peer(DaemonId("b"))->incarnation.value());
}

// Guards against peers that are only found through the store.
TEST(Membership, LearnsPeersFromPeers)
{
    Heartbeat first = heartbeat("b");
    first.known = {peer("c", "c")};
    membership.onHeartbeat(first, now);
    CHECK_TRUE(membership.peer(DaemonId("c")).has_value());
}

// Guards against two daemons that keep a gone peer alive by telling each other of it.
TEST(Membership, ForgottenPeerIsNotTakenBackFromAPeersList)
{
    Heartbeat first = heartbeat("b");
    first.known = {peer("c", "c")};
    membership.onHeartbeat(first, now);
    now += Duration(600001);
    membership.onHeartbeat(first, now);
    membership.onHeartbeat(first, now);
    CHECK_FALSE(membership.peer(DaemonId("c")).has_value());
}

// Guards against heartbeats to oneself and twice to one peer.
TEST(Membership, HeartbeatTargetsAreDistinctAndNotThisDaemon)
{
    membership.onHeartbeat(heartbeat("b"), now);
    UNSIGNED_LONGS_EQUAL(2, membership.heartbeatTargets().size());
}

// Guards against a domain that counts as cut off although a peer hears it.
TEST(Membership, DomainAgeIncludesWhatPeersReport)
{
    Heartbeat relay = heartbeat("b");
    relay.domains = {DomainView{FailureDomain("c"), Duration(300), Duration(0)}};
    membership.onHeartbeat(relay, now);
    now += Duration(200);
    LONGS_EQUAL(500, heardAge("c").count());
}

// Guards against a lagging platform list that brings a leaving VM back into use.
TEST(Membership, VmMarkedLeavingByAPeerStaysMarkedInLaterLists)
{
    membership.onVmList({vm("w", false)}, now);
    Heartbeat warning = heartbeat("b");
    warning.leaving = {WorkerId("w")};
    membership.onHeartbeat(warning, now);
    membership.onVmList({vm("w", false)}, now);
    CHECK_TRUE(membership.vms().at(0).leaving);
}

// Guards against marks that peers repeat to each other forever.
TEST(Membership, MarkOfAVmThatIsNotListedIsNotPassedOn)
{
    membership.onVmList({vm("w", true)}, now);
    membership.onVmList({}, now);
    Heartbeat late = heartbeat("b");
    late.leaving = {WorkerId("w")};
    membership.onHeartbeat(late, now);
    UNSIGNED_LONGS_EQUAL(0, membership.leavingVms().size());
}

// Guards against heartbeats that are too rare for the peer timeout.
TEST(Membership, HeartbeatsAreDueAboutOncePerInterval)
{
    int due = 0;
    for (int ms = 0; ms < 10000; ms += 20) {
        due += membership.heartbeatDue(now + Duration(ms)) ? 1 : 0;
    }
    CHECK_TRUE(due >= 17 && due <= 23);
}
