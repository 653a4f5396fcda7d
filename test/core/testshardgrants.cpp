#include "fakeshard.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(ShardGrants){};

// Guards against granting more requests on a worker than it has slots.
TEST(ShardGrants, NeverGrantsMoreSlotsThanAWorkerHas)
{
    FakeShard shard;
    shard.createReady();
    int granted = 0;
    for (int i = 0; i < 12; ++i) {
        granted += shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue() ? 1 : 0;
    }
    LONGS_EQUAL(8, granted);
}

// Guards against leaking a slot when a holder never releases its grant. The owner releases it after the term of 1 s and the margin of
// 1 s.
TEST(ShardGrants, ExpiredGrantFreesItsSlot)
{
    FakeShard shard;
    shard.createReady();
    while (shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now)) { }
    shard.run(2100);
    CHECK_TRUE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue());
}

// Guards against granting slots that still serve requests granted by the previous owner.
TEST(ShardGrants, SlotsOfEarlierEpochsAreBusyUntilReportedFree)
{
    FakeShard shard(1, 2);
    shard.worker().busySlots = Slots(8);
    shard.createReady();
    CHECK_FALSE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue());
    shard.worker().busySlots = Slots(0);
    shard.run(600);
    CHECK_TRUE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue());
}

// Guards against grants of the previous owner blocking slots forever on a worker that reports too many busy slots.
TEST(ShardGrants, SlotsOfEarlierEpochsAreFreeAfterTheMaximumTerm)
{
    FakeShard shard(1, 2);
    shard.worker().busySlots = Slots(8);
    shard.createReady();
    shard.run(31000);
    CHECK_TRUE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue());
}

// Guards against granting a slot again while the worker still serves a timed-out request.
TEST(ShardGrants, TimedOutRequestKeepsItsSlotWhileTheWorkerIsBusy)
{
    FakeShard shard;
    shard.createReady();
    const Grant first = shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).value();
    while (shard.controller->grant(shard.grantSpec(Duration(30000)), DaemonId("d"), shard.now)) { }
    shard.worker().busySlots = Slots(8);
    shard.controller->release(first.id, GrantOutcome::TimedOut, shard.now);
    shard.run(5000);
    CHECK_FALSE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue());
}

// Guards against granting requests beyond the team's allotment.
TEST(ShardGrants, CountsAgainstTheAllotment)
{
    FakeShard shard;
    shard.createReady();
    shard.setTeamAllotment(cores(4, 1));
    CHECK_TRUE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue());
    CHECK_TRUE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).reason().kind == ErrorKind::LimitReached);
}

// Guards against granting requests on a VM that is leaving.
TEST(ShardGrants, LeavingWorkerGetsNoGrant)
{
    FakeShard shard;
    shard.createReady();
    shard.worker().vm.leaving = true;
    shard.listVms();
    CHECK_FALSE(shard.controller->grant(shard.grantSpec(), DaemonId("d"), shard.now).hasValue());
}

// Guards against batch work taking the guaranteed share of requests while requests arrive: of 20 cores, 10 percent
// are guaranteed, so 18 tasks run.
TEST(ShardGrants, BatchLeavesTheGuaranteedShareOfRequests)
{
    FakeShard shard(5);
    shard.createReady();
    GrantSpec spec = shard.grantSpec();
    spec.demand = cores(1, 1);
    shard.controller->release(shard.controller->grant(spec, DaemonId("d"), shard.now).value().id, GrantOutcome::Succeeded, shard.now);
    shard.enqueue(FakeShard::job("j", 40));
    shard.run(1000);
    LONGS_EQUAL(18, shard.runningTasks());
}
