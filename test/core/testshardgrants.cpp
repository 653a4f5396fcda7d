#include "fakeshard.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(ShardGrants){};

// Guards against more requests on a worker than it has slots.
TEST(ShardGrants, NeverGrantsMoreSlotsThanAWorkerHas)
{
    FakeShard shard;
    shard.createReady();
    int granted = 0;
    for (int i = 0; i < 12; ++i) {
        granted += shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue() ? 1 : 0;
    }
    LONGS_EQUAL(8, granted);
}

// Guards against slots that are lost when a holder never releases its grant.
TEST(ShardGrants, ExpiredGrantFreesItsSlot)
{
    FakeShard shard;
    shard.createReady();
    while (shard.controller->grant(shard.wish(), DaemonId("d"), shard.now)) { }
    shard.run(2100);
    CHECK_TRUE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue());
}

// Guards against grants on slots that serve requests granted by the previous owner.
TEST(ShardGrants, SlotsOfEarlierEpochsAreBusyUntilReportedFree)
{
    FakeShard shard(1, 2);
    shard.worker().busySlots = Slots(8);
    shard.createReady();
    CHECK_FALSE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue());
    shard.worker().busySlots = Slots(0);
    shard.run(600);
    CHECK_TRUE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue());
}

// Guards against earlier grants that block slots for ever on a worker that counts busy slots wrongly.
TEST(ShardGrants, SlotsOfEarlierEpochsAreFreeAfterTheLongestGrant)
{
    FakeShard shard(1, 2);
    shard.worker().busySlots = Slots(8);
    shard.createReady();
    shard.run(31000);
    CHECK_TRUE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue());
}

// Guards against a slot that is granted again while the worker still serves a request that timed out.
TEST(ShardGrants, TimedOutRequestKeepsItsSlotWhileTheWorkerIsBusy)
{
    FakeShard shard;
    shard.createReady();
    const Grant first = shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).value();
    while (shard.controller->grant(shard.wish(Duration(30000)), DaemonId("d"), shard.now)) { }
    shard.worker().busySlots = Slots(8);
    shard.controller->release(first.id, GrantOutcome::TimedOut, shard.now);
    shard.run(5000);
    CHECK_FALSE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue());
}

// Guards against requests beyond the team's limit.
TEST(ShardGrants, CountsAgainstTheAllotment)
{
    FakeShard shard;
    shard.createReady();
    shard.allot(cores(4, 1));
    CHECK_TRUE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue());
    CHECK_TRUE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).reason().kind == ErrorKind::LimitReached);
}

// Guards against new requests on a VM that leaves.
TEST(ShardGrants, LeavingWorkerGetsNoGrant)
{
    FakeShard shard;
    shard.createReady();
    shard.worker().vm.leaving = true;
    shard.list();
    CHECK_FALSE(shard.controller->grant(shard.wish(), DaemonId("d"), shard.now).hasValue());
}

// Guards against batch work that fills the cell while requests come.
TEST(ShardGrants, BatchLeavesTheMinimumOfRequests)
{
    FakeShard shard(5);
    shard.createReady();
    GrantWish wish = shard.wish();
    wish.demand = cores(1, 1);
    shard.controller->release(shard.controller->grant(wish, DaemonId("d"), shard.now).value().id, GrantOutcome::Succeeded, shard.now);
    shard.enqueue(FakeShard::job("j", 40));
    shard.run(1000);
    LONGS_EQUAL(18, shard.runningTasks());
}
