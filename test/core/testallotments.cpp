#include "core/allotments.h"

#include "allotmentfleet.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(AllotmentRow){};

// Guards against rows that another daemon can't parse.
TEST(AllotmentRow, JsonRoundTrips)
{
    const AllotmentEntries entries{{ShardId("p/a/0"), {cores(3), cores(5)}}};
    CHECK_TRUE(allotmentsFromJson(allotmentsToJson(entries)) == entries);
}

// Guards against a negative entry that would let other shards exceed the limit.
TEST(AllotmentRow, RejectsNegativeAmounts)
{
    CHECK_FALSE(allotmentsFromJson(R"({"p/a/0":{"milliCores":-1,"memoryMiB":0,"accelerators":0,"slots":0}})").has_value());
}

// Guards against a large demand that takes the share of a small one.
TEST(AllotmentRow, SmallDemandsAreFullyMet)
{
    const auto shares = maxMinFairShares(cores(12), {cores(100), cores(2), cores(100)});
    LONGS_EQUAL(5000, shares[0].cpu.value());
    LONGS_EQUAL(2000, shares[1].cpu.value());
}

TEST_GROUP(Allotments){};

// Guards against the first daemon after a cold start taking the whole limit.
TEST(Allotments, EqualDemandsGetEqualSharesAfterColdStart)
{
    AllotmentFleet fleet(12, 3);
    for (auto &shard : fleet.shards) {
        shard.second.wanted = 50;
    }
    fleet.run(Duration(8000));
    LONGS_EQUAL(4, fleet.announced(0));
    LONGS_EQUAL(4, fleet.announced(1));
    LONGS_EQUAL(4, fleet.announced(2));
}

// Guards against withholding an unused share from a shard that demands it.
TEST(Allotments, UnusedShareMovesToAShardThatDemandsIt)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(10000));
    LONGS_EQUAL(12, fleet.announced(0));
    fleet.shard(0).wanted = 2;
    fleet.shard(1).wanted = 10;
    fleet.run(Duration(10000));
    LONGS_EQUAL(10, fleet.announced(1));
}

// Guards against shares that oscillate while the demands are constant.
TEST(Allotments, SharesAreStableWhileDemandsAreConstant)
{
    AllotmentFleet fleet(12, 3);
    fleet.shard(0).wanted = 3;
    fleet.shard(1).wanted = 50;
    fleet.shard(2).wanted = 50;
    fleet.run(Duration(15000));
    const std::size_t changes = fleet.announcedChanges;
    const std::size_t writes = fleet.writes;
    fleet.run(Duration(30000));
    LONGS_EQUAL(changes, fleet.announcedChanges);
    LONGS_EQUAL(writes, fleet.writes);
}

namespace {

/// Returns the most cores that ran at once while demands changed at random and replies were delayed, lost or reordered.
std::int64_t maxRunningUnderFaults(std::uint64_t seed, const AllotmentSettings &settings)
{
    AllotmentFleet fleet(24, 4, settings);
    std::mt19937_64 random(seed);
    fleet.delay = [&random](std::size_t) { return Duration(10 + static_cast<std::int64_t>(random() % 300)); };
    fleet.mode = [&random] {
        const std::uint64_t draw = random() % 10;
        return draw == 0 ? StoreMode::LosesReplies : draw == 1 ? StoreMode::LosesRequests : StoreMode::Works;
    };
    for (int i = 0; i < 600; ++i) {
        for (auto &shard : fleet.shards) {
            if (random() % 25 == 0) {
                shard.second.wanted = static_cast<std::int64_t>(random() % 3 * 15);
            }
        }
        fleet.run(Duration(200));
    }
    CHECK_COMPARE(fleet.maxRowSum, <=, 24);
    return fleet.maxRunning;
}

} // namespace

// Guards against exceeding the limit (invariant I4) under any order of writes, lost messages and demand changes.
TEST(Allotments, LimitIsNeverExceededUnderLossAndConflict)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CHECK_COMPARE(maxRunningUnderFaults(seed, AllotmentSettings{}), <=, 24);
    }
}

// Demonstrates that growAfterConfirm is needed: a shard that uses a larger allotment before the row has it exceeds the limit.
TEST(Allotments, GrowthBeforeConfirmationExceedsTheLimit)
{
    AllotmentSettings settings;
    settings.growAfterConfirm = false;
    CHECK_COMPARE(maxRunningUnderFaults(1, settings), >, 24);
}

namespace {

/// Returns the most cores that ran at once when a shard that released its share demands it again before the reply to the write
/// arrives.
std::int64_t maxRunningWithDelayedReply(bool shrinkBeforeGrow)
{
    AllotmentSettings settings;
    settings.shrinkBeforeGrow = shrinkBeforeGrow;
    settings.idleDivisor = 0; // The first shard has to release its whole share.
    settings.refreshInterval = Duration(200); // The other daemon acts before the delayed reply arrives.
    AllotmentFleet fleet(24, 2, settings);
    fleet.shard(0).wanted = 24;
    fleet.run(Duration(10000));
    fleet.shard(0).wanted = 0;
    fleet.run(Duration(6000));
    fleet.delay = [](std::size_t daemon) { return Duration(daemon == 0 ? 600 : 10); };
    fleet.shard(1).wanted = 24;
    while (fleet.storedEntries().at(ShardId("p/d0/0")).allotment == cores(24)) {
        fleet.run(Duration(10));
    }
    fleet.shard(0).wanted = 24;
    fleet.run(Duration(1500));
    return fleet.maxRunning;
}

} // namespace

// Guards against a shard that keeps using its former allotment until the reply to the write arrives, although the row already has a
// smaller one and another shard uses the difference.
TEST(Allotments, ShrinkTakesEffectBeforeItIsWritten)
{
    CHECK_COMPARE(maxRunningWithDelayedReply(true), <=, 24);
}

// Demonstrates that shrinkBeforeGrow is needed: a smaller allotment that takes effect only with the reply exceeds the limit.
TEST(Allotments, LateShrinkExceedsTheLimit)
{
    CHECK_COMPARE(maxRunningWithDelayedReply(false), >, 24);
}

// Guards against using a raised allotment although the write that raised it may have been lost.
TEST(Allotments, WriteWithUnknownOutcomeKeepsTheSmallerAllotment)
{
    AllotmentSettings settings;
    settings.idleDivisor = 0;
    AllotmentFleet fleet(12, 1, settings);
    fleet.shard(0).wanted = 2;
    fleet.run(Duration(8000));
    fleet.mode = [] { return StoreMode::LosesRequests; };
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(3000));
    LONGS_EQUAL(2, fleet.announced(0));
}

// Guards against growth that stays unused forever after a lost reply.
TEST(Allotments, LostReplyIsResolvedByReadingBack)
{
    AllotmentFleet fleet(12, 1);
    bool lost = false;
    fleet.mode = [&lost] { return std::exchange(lost, true) ? StoreMode::Works : StoreMode::LosesReplies; };
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(3000));
    LONGS_EQUAL(12, fleet.announced(0));
}

// Guards against a disproportionate reduction of shards when an operator lowers a limit.
TEST(Allotments, LoweredLimitShrinksShardsInProportion)
{
    AllotmentFleet fleet(24);
    fleet.shard(0).wanted = 16;
    fleet.shard(1).wanted = 8;
    fleet.run(Duration(10000));
    fleet.setLimit(12);
    fleet.run(Duration(500));
    LONGS_EQUAL(8, fleet.announced(0));
    LONGS_EQUAL(4, fleet.announced(1));
}

// Guards against admitting work in one shard while another shard still runs more than its share.
TEST(Allotments, NothingIsAdmittedWhileAnotherShardExceedsItsShare)
{
    AllotmentFleet fleet(24);
    fleet.shard(0).wanted = 24;
    fleet.run(Duration(10000));
    fleet.shard(0).stopsExcessWork = false;
    fleet.setLimit(12);
    fleet.shard(1).wanted = 12;
    fleet.run(Duration(10000));
    LONGS_EQUAL(0, fleet.shard(1).used.cpu.value());
}

// Guards against a new owner that starts with nothing although the row has an allotment for the shard.
TEST(Allotments, NewOwnerInheritsTheAllotmentOfTheShard)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 9;
    fleet.run(Duration(10000));
    std::swap(fleet.daemons[0].owned, fleet.daemons[1].owned);
    fleet.updateShards();
    fleet.run(Duration(2000));
    LONGS_EQUAL(9000, fleet.daemons[1].allotments->allotment(ShardId("p/d0/0"), TeamId("t")).cpu.value());
}

// Guards against a late write of the previous owner that takes away what the new owner uses.
TEST(Allotments, NewOwnerWritesTheRowBeforeItUsesTheAllotment)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 9;
    fleet.run(Duration(10000));
    fleet.mode = [] { return StoreMode::LosesRequests; };
    std::swap(fleet.daemons[0].owned, fleet.daemons[1].owned);
    fleet.updateShards();
    fleet.run(Duration(2000));
    LONGS_EQUAL(0, fleet.daemons[1].allotments->allotment(ShardId("p/d0/0"), TeamId("t")).cpu.value());
}

// Guards against allotments of removed shards that the team can no longer use.
TEST(Allotments, EntriesOfRemovedShardsAreRemoved)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(10000));
    fleet.shards.erase(ShardId("p/d0/0"));
    fleet.daemons[0].owned.clear();
    fleet.updateShards();
    fleet.run(Duration(15000));
    LONGS_EQUAL(0, fleet.storedEntries().count(ShardId("p/d0/0")));
}

// Guards against a restarted owner that releases resources still used by tasks of its previous run.
TEST(Allotments, AllotmentIsKeptWhileWorkersAreUnread)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 8;
    fleet.run(Duration(10000));
    fleet.shard(0).wanted = 0;
    fleet.shard(0).used = Resources{};
    fleet.shard(0).usageIncomplete = true;
    fleet.shard(1).wanted = 12;
    fleet.run(Duration(20000));
    CHECK_TRUE(fleet.announced(1) <= 4);
}

// Guards against refusing the first work of a team during a store outage because its shard has no allotment. Each idle shard holds
// (16 cores / 2 shards) / idleDivisor = 2 cores.
TEST(Allotments, IdleShardsHoldAnAllotment)
{
    AllotmentFleet fleet(16);
    fleet.run(Duration(10000));
    LONGS_EQUAL(2, fleet.announced(0));
    LONGS_EQUAL(2, fleet.announced(1));
}
