#include "core/allotments.h"

#include "allotmentfleet.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(AllotmentRow){};

// Guards against rows that another daemon can't read back.
TEST(AllotmentRow, JsonRoundTrips)
{
    const AllotmentEntries entries{{ShardId("p/a/0"), {cores(3), cores(5)}}};
    CHECK_TRUE(allotmentsFromJson(allotmentsToJson(entries)) == entries);
}

// Guards against a negative entry that would let others pass the limit.
TEST(AllotmentRow, RejectsNegativeAmounts)
{
    CHECK_FALSE(allotmentsFromJson(R"({"p/a/0":{"milliCores":-1,"memoryMiB":0,"accelerators":0,"slots":0}})").has_value());
}

// Guards against a large wish taking the part of a small one.
TEST(AllotmentRow, DivisionServesSmallWishesWhole)
{
    const auto parts = maxMinFairShares(cores(12), {cores(100), cores(2), cores(100)});
    LONGS_EQUAL(5000, parts[0].cpu.value());
    LONGS_EQUAL(2000, parts[1].cpu.value());
}

TEST_GROUP(Allotments){};

// Guards against the first daemon of a cold start taking the whole limit.
TEST(Allotments, FirstDivisionIsEqualForEqualWishes)
{
    AllotmentFleet fleet(12, 3);
    for (auto &shard : fleet.shards) {
        shard.second.wanted = 50;
    }
    fleet.run(Duration(8000));
    LONGS_EQUAL(4, fleet.told(0));
    LONGS_EQUAL(4, fleet.told(1));
    LONGS_EQUAL(4, fleet.told(2));
}

// Guards against unused parts being kept from a shard that wants them.
TEST(Allotments, UnusedPartFlowsToAShardThatWantsIt)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(10000));
    LONGS_EQUAL(12, fleet.told(0));
    fleet.shard(0).wanted = 2;
    fleet.shard(1).wanted = 10;
    fleet.run(Duration(10000));
    LONGS_EQUAL(10, fleet.told(1));
}

// Guards against parts that move to and fro while the wishes stay.
TEST(Allotments, DivisionRestsWhileWishesStay)
{
    AllotmentFleet fleet(12, 3);
    fleet.shard(0).wanted = 3;
    fleet.shard(1).wanted = 50;
    fleet.shard(2).wanted = 50;
    fleet.run(Duration(15000));
    const std::size_t changes = fleet.changesTold;
    const std::size_t writes = fleet.writes;
    fleet.run(Duration(30000));
    LONGS_EQUAL(changes, fleet.changesTold);
    LONGS_EQUAL(writes, fleet.writes);
}

namespace {

/// The most that ran at once while wishes changed at random and answers were delayed, lost and crossed.
std::int64_t mostRunningInStorm(std::uint64_t seed, const AllotmentSettings &settings)
{
    AllotmentFleet fleet(24, 4, settings);
    std::mt19937_64 random(seed);
    fleet.delay = [&random](std::size_t) { return Duration(10 + static_cast<std::int64_t>(random() % 300)); };
    fleet.mode = [&random] {
        const std::uint64_t draw = random() % 10;
        return draw == 0 ? TableMode::LosesAnswers : draw == 1 ? TableMode::LosesRequests : TableMode::Works;
    };
    for (int i = 0; i < 600; ++i) {
        for (auto &shard : fleet.shards) {
            if (random() % 25 == 0) {
                shard.second.wanted = static_cast<std::int64_t>(random() % 3 * 15);
            }
        }
        fleet.run(Duration(200));
    }
    CHECK_COMPARE(fleet.mostInRow, <=, 24);
    return fleet.mostRunning;
}

} // namespace

// Guards against I4 being broken by any order of writes, losses and moves.
TEST(Allotments, NeverMoreRunsThanTheLimitUnderLossAndConflict)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CHECK_COMPARE(mostRunningInStorm(seed, AllotmentSettings{}), <=, 24);
    }
}

// Shows that the guard matters: growth that is used before the row has it passes the limit.
TEST(Allotments, GrowthBeforeConfirmationPassesTheLimit)
{
    AllotmentSettings settings;
    settings.growAfterConfirm = false;
    CHECK_COMPARE(mostRunningInStorm(1, settings), >, 24);
}

namespace {

/// The most that ran at once when a shard that gave its part up wants it back while the answer to the write is on its way.
std::int64_t mostRunningWithSlowShrink(bool shrinkBeforeGrow)
{
    AllotmentSettings settings;
    settings.shrinkBeforeGrow = shrinkBeforeGrow;
    settings.idleDivisor = 0; // The first shard has to give up all that it has.
    settings.refreshInterval = Duration(200); // The other daemon acts within the delay of the answer.
    AllotmentFleet fleet(24, 2, settings);
    fleet.shard(0).wanted = 24;
    fleet.run(Duration(10000));
    fleet.shard(0).wanted = 0;
    fleet.run(Duration(6000));
    fleet.delay = [](std::size_t daemon) { return Duration(daemon == 0 ? 600 : 10); };
    fleet.shard(1).wanted = 24;
    while (fleet.row().at(ShardId("p/d0/0")).allotment == cores(24)) {
        fleet.run(Duration(10));
    }
    fleet.shard(0).wanted = 24;
    fleet.run(Duration(1500));
    return fleet.mostRunning;
}

} // namespace

// Guards against a shard using what its row no longer has while the answer is on its way.
TEST(Allotments, ShrinkIsInForceBeforeItIsWritten)
{
    CHECK_COMPARE(mostRunningWithSlowShrink(true), <=, 24);
}

// Shows that the guard matters: a shrink that takes force only with the answer passes the limit.
TEST(Allotments, LateShrinkPassesTheLimit)
{
    CHECK_COMPARE(mostRunningWithSlowShrink(false), >, 24);
}

// Guards against a write of unknown outcome being used before it is settled.
TEST(Allotments, UnknownWriteKeepsTheSmallerValueInForce)
{
    AllotmentSettings settings;
    settings.idleDivisor = 0;
    AllotmentFleet fleet(12, 1, settings);
    fleet.shard(0).wanted = 2;
    fleet.run(Duration(8000));
    fleet.mode = [] { return TableMode::LosesRequests; };
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(3000));
    LONGS_EQUAL(2, fleet.told(0));
}

// Guards against a lost answer leaving the growth unused for good.
TEST(Allotments, LostAnswerIsSettledByReadingBack)
{
    AllotmentFleet fleet(12, 1);
    bool lost = false;
    fleet.mode = [&lost] { return std::exchange(lost, true) ? TableMode::Works : TableMode::LosesAnswers; };
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(3000));
    LONGS_EQUAL(12, fleet.told(0));
}

// Guards against holders losing unequal parts when an operator lowers a limit.
TEST(Allotments, LoweredLimitShrinksHoldersInProportion)
{
    AllotmentFleet fleet(24);
    fleet.shard(0).wanted = 16;
    fleet.shard(1).wanted = 8;
    fleet.run(Duration(10000));
    fleet.setLimit(12);
    fleet.run(Duration(500));
    LONGS_EQUAL(8, fleet.told(0));
    LONGS_EQUAL(4, fleet.told(1));
}

// Guards against admission going on while the excess of another shard still runs.
TEST(Allotments, NothingMoreIsAdmittedWhileTheExcessRuns)
{
    AllotmentFleet fleet(24);
    fleet.shard(0).wanted = 24;
    fleet.run(Duration(10000));
    fleet.shard(0).stopsExcess = false;
    fleet.setLimit(12);
    fleet.shard(1).wanted = 12;
    fleet.run(Duration(10000));
    LONGS_EQUAL(0, fleet.shard(1).used.cpu.value());
}

// Guards against a new owner starting from nothing although the row has a part for the shard.
TEST(Allotments, NewOwnerInheritsTheAllotmentOfTheShard)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 9;
    fleet.run(Duration(10000));
    std::swap(fleet.daemons[0].owned, fleet.daemons[1].owned);
    fleet.announceShards();
    fleet.run(Duration(2000));
    LONGS_EQUAL(9000, fleet.daemons[1].allotments->allotment(ShardId("p/d0/0"), TeamId("t")).cpu.value());
}

// Guards against a late write of the previous owner taking away what the new owner uses.
TEST(Allotments, NewOwnerWritesTheRowBeforeItUsesTheAllotment)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 9;
    fleet.run(Duration(10000));
    fleet.mode = [] { return TableMode::LosesRequests; };
    std::swap(fleet.daemons[0].owned, fleet.daemons[1].owned);
    fleet.announceShards();
    fleet.run(Duration(2000));
    LONGS_EQUAL(0, fleet.daemons[1].allotments->allotment(ShardId("p/d0/0"), TeamId("t")).cpu.value());
}

// Guards against parts of shards that no longer exist being lost to the team.
TEST(Allotments, EntriesOfGoneShardsAreRemoved)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 12;
    fleet.run(Duration(10000));
    fleet.shards.erase(ShardId("p/d0/0"));
    fleet.daemons[0].owned.clear();
    fleet.announceShards();
    fleet.run(Duration(15000));
    LONGS_EQUAL(0, fleet.row().count(ShardId("p/d0/0")));
}

// Guards against a restarted owner giving away room in which tasks of its previous run still run.
TEST(Allotments, PartIsKeptWhileWorkersAreUnread)
{
    AllotmentFleet fleet(12);
    fleet.shard(0).wanted = 8;
    fleet.run(Duration(10000));
    fleet.shard(0).wanted = 0;
    fleet.shard(0).used = Resources{};
    fleet.shard(0).usageIncomplete = true;
    fleet.shard(1).wanted = 12;
    fleet.run(Duration(20000));
    CHECK_TRUE(fleet.told(1) <= 4);
}

// Guards against a team whose first work is refused in a store outage because its shard held no part of the limit.
TEST(Allotments, IdleShardsHoldASparePart)
{
    AllotmentFleet fleet(16);
    fleet.run(Duration(10000));
    LONGS_EQUAL(2, fleet.told(0));
    LONGS_EQUAL(2, fleet.told(1));
}
