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

// Work must not be sent to a dead peer.
TEST(Membership, PeerWithoutHeartbeatWithinTheTimeoutIsNotLive)
{
    membership.onHeartbeat(heartbeat("b"), now);
    UNSIGNED_LONGS_EQUAL(0, membership.livePeers(now + Duration(2501)).size());
}

// Shards must not be handed over to a daemon that is shutting down.
TEST(Membership, StoppingPeerIsNotLive)
{
    Heartbeat stopping = heartbeat("b");
    stopping.stopping = true;
    membership.onHeartbeat(stopping, now);
    UNSIGNED_LONGS_EQUAL(0, membership.livePeers(now).size());
}

// A delayed heartbeat of an earlier run must not replace the state of the current run.
TEST(Membership, HeartbeatOfAnEarlierIncarnationIsIgnored)
{
    membership.onHeartbeat(heartbeat("b", 2), now);
    membership.onHeartbeat(heartbeat("b", 1), now + Duration(100));
    UNSIGNED_LONGS_EQUAL(2, membership.peer(DaemonId("b"))->incarnation.value());
}

// Peers must be discovered through other peers even while the store is unreachable.
TEST(Membership, DiscoversPeersThroughPeers)
{
    Heartbeat first = heartbeat("b");
    first.known = {peer("c", "c")};
    membership.onHeartbeat(first, now);
    CHECK_TRUE(membership.peer(DaemonId("c")).has_value());
}

// Two daemons must not keep a removed peer in their lists by reporting it to each other.
TEST(Membership, DroppedPeerIsNotAddedAgainFromAPeersList)
{
    Heartbeat first = heartbeat("b");
    first.known = {peer("c", "c")};
    membership.onHeartbeat(first, now);
    now += Duration(600001);
    membership.onHeartbeat(first, now);
    membership.onHeartbeat(first, now);
    CHECK_FALSE(membership.peer(DaemonId("c")).has_value());
}

// A daemon must not send heartbeats to itself, nor two heartbeats to the same peer. The seed address of "self" is its own and that of "b"
// belongs to a known peer, so "b" and "elsewhere" remain.
TEST(Membership, HeartbeatTargetsAreDistinctAndNotThisDaemon)
{
    membership.onHeartbeat(heartbeat("b"), now);
    UNSIGNED_LONGS_EQUAL(2, membership.heartbeatTargets().size());
}

// A failure domain that is reachable through a peer must not count as partitioned.
TEST(Membership, DomainAgeIncludesWhatPeersReport)
{
    Heartbeat relay = heartbeat("b");
    relay.domains = {DomainView{FailureDomain("c"), Duration(300), Duration(0)}};
    membership.onHeartbeat(relay, now);
    now += Duration(200);
    LONGS_EQUAL(500, heardAge("c").count());
}

// An outdated VM list of the platform must not bring a leaving VM back into use.
TEST(Membership, VmMarkedLeavingByAPeerStaysMarkedInLaterLists)
{
    membership.onVmList({vm("w", false)}, now);
    Heartbeat warning = heartbeat("b");
    warning.leaving = {WorkerId("w")};
    membership.onHeartbeat(warning, now);
    membership.onVmList({vm("w", false)}, now);
    CHECK_TRUE(membership.vms().at(0).leaving);
}

// Peers must not report a VM that no longer exists as leaving to each other forever.
TEST(Membership, UnlistedVmIsNotReportedAsLeaving)
{
    membership.onVmList({vm("w", true)}, now);
    membership.onVmList({}, now);
    Heartbeat late = heartbeat("b");
    late.leaving = {WorkerId("w")};
    membership.onHeartbeat(late, now);
    UNSIGNED_LONGS_EQUAL(0, membership.leavingVms().size());
}

// Heartbeats that are too rare would make live peers time out. 10 s have 20 intervals of 500 ms; jitter makes them a few more or fewer.
TEST(Membership, HeartbeatsAreDueAboutOncePerInterval)
{
    int due = 0;
    for (int ms = 0; ms < 10000; ms += 20) {
        due += membership.heartbeatDue(now + Duration(ms)) ? 1 : 0;
    }
    CHECK_TRUE(due >= 17 && due <= 23);
}
