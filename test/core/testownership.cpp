#include "ownershipfleet.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

constexpr Duration second{1000};
constexpr Duration takeoverDelay{7000}; ///< leaseTerm + leaseMargin.

std::vector<DesiredShard> shardsOf(const std::string &domain, int count)
{
    std::vector<DesiredShard> shards;
    shards.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        shards.push_back(DesiredShard{ShardId("pool" + std::to_string(i) + "/" + domain + "/0"), FailureDomain(domain)});
    }
    return shards;
}

} // namespace

TEST_GROUP(Ownership)
{
    OwnershipFleet fleet{7};
    const std::string shard = "pool0/a/0";

    void setup() override
    {
        fleet.desired = shardsOf("a", 1);
    }

    Epoch rowEpoch()
    {
        const auto row = ShardRow::fromJson(fleet.store.row("shards", shard).value);
        return row ? row->epoch : Epoch();
    }
};

// In a new deployment, work is placed only once every shard has an owner.
TEST(Ownership, ClaimsUnownedShardsWithinTwoSeconds)
{
    fleet.desired = shardsOf("a", 50);
    fleet.start("d1", "a");
    fleet.run(2 * second);
    UNSIGNED_LONGS_EQUAL(50, fleet.members["d1"].owned.size());
}

// Claims must be batched to avoid a burst of transactions after a start: 50 shards need 3 claims, besides registration and one renewal.
TEST(Ownership, ClaimsManyShardsInOneTransaction)
{
    fleet.desired = shardsOf("a", 50);
    fleet.start("d1", "a");
    fleet.run(3 * second);
    CHECK_TRUE(fleet.members["d1"].transactions <= 6);
}

// The shards of a dead daemon must get a new owner.
TEST(Ownership, TakesOverFromADeadDaemonWithAHigherEpoch)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.kill("d1");
    fleet.start("d2", "a");
    fleet.run(takeoverDelay + 3 * second);
    STRCMP_EQUAL("d2", fleet.ownerOf(shard).c_str());
    UNSIGNED_LONGS_EQUAL(2, rowEpoch().value());
}

// A shard must not be taken over while its owner may still rely on its lease.
TEST(Ownership, DoesNotTakeOverBeforeTheLeaseIsUnchangedForTermAndMargin)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.kill("d1");
    fleet.start("d2", "a");
    fleet.run(takeoverDelay - Duration(20));
    UNSIGNED_LONGS_EQUAL(1, rowEpoch().value());
}

// A restarted daemon must not have to wait for its own earlier lease to expire.
TEST(Ownership, TakesOverItsEarlierIncarnationAtOnceWithAHigherEpoch)
{
    fleet.start("d1", "a", 5);
    fleet.run(second * 2);
    fleet.start("d1", "a", 5);
    fleet.run(second * 2);
    STRCMP_EQUAL("d1", fleet.ownerOf(shard).c_str());
    UNSIGNED_LONGS_EQUAL(2, rowEpoch().value());
}

// A store outage must not make daemons lose their shards: no lease row is renewed in it, so all holders look dead afterwards.
TEST(Ownership, KeepsItsShardsThroughAStoreOutage)
{
    fleet.start("d1", "a");
    fleet.start("d2", "a");
    fleet.run(second * 10);
    const Epoch before = rowEpoch();
    fleet.storeDown = true;
    fleet.run(second * 60);
    fleet.storeDown = false;
    fleet.run(second * 15);
    UNSIGNED_LONGS_EQUAL(before.value(), rowEpoch().value());
}

// Tasks with the "move" policy require a confirmed lease, so a lease without renewals must not count as confirmed.
TEST(Ownership, LeaseIsNotConfirmedDuringALongOutage)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.storeDown = true;
    fleet.run(second * 6);
    CHECK_FALSE(fleet.members["d1"].ownership->leaseConfirmed(fleet.now));
}

// After an outage, the first renewal must confirm the lease again, or the daemon would neither claim shards nor place tasks with the
// "move" policy.
TEST(Ownership, FirstRenewalAfterAnOutageConfirmsTheLease)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.storeDown = true;
    fleet.run(second * 60);
    fleet.storeDown = false;
    fleet.run(second * 3);
    CHECK_TRUE(fleet.members["d1"].ownership->leaseConfirmed(fleet.now));
}

// A daemon that resumes after a long pause must not keep shards that another daemon has taken over.
TEST(Ownership, DropsItsShardsAfterAPauseInWhichItsLeaseExpired)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.members["d1"].paused = true;
    fleet.start("d2", "b");
    fleet.run(takeoverDelay + 4 * second);
    fleet.members["d1"].paused = false;
    fleet.run(second);
    LONGS_EQUAL(1, fleet.members["d1"].shardsLost);
}

// A daemon whose lease was marked as expired must register again. Otherwise it could neither claim shards nor receive any.
TEST(Ownership, RegistersAgainWithANewIncarnationAfterItsLeaseExpired)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.members["d1"].paused = true;
    fleet.start("d2", "b");
    fleet.run(takeoverDelay + 4 * second);
    fleet.members["d1"].paused = false;
    fleet.run(second * 2);
    UNSIGNED_LONGS_EQUAL(2, fleet.members["d1"].ownership->incarnation().value());
}

// A takeover must fail if the holder renews its lease just before the transaction.
TEST(Ownership, TakeoverFailsIfTheHolderRenewedInTheMeantime)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.kill("d1");
    fleet.start("d2", "a");
    // Writing the row unchanged gives it a new version, like a renewal.
    fleet.beforeTransact = [&](const StoreTransaction &transaction) {
        const bool isTakeover = transaction.writes.back().table == "shards";
        if (isTakeover) {
            fleet.store.put("daemons", "d1", fleet.store.row("daemons", "d1").value);
        }
    };
    fleet.run(takeoverDelay + 3 * second);
    UNSIGNED_LONGS_EQUAL(1, rowEpoch().value());
}

// Demonstrates that the check of the lease row is what prevents the takeover of the previous test.
TEST(Ownership, WithoutTheLeaseRowCheckATakeoverSucceedsDespiteARenewal)
{
    fleet.defaults.checkLeaseRowOnTakeover = false;
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.kill("d1");
    fleet.start("d2", "a");
    fleet.beforeTransact = [&](const StoreTransaction &transaction) {
        if (transaction.writes.back().table == "shards") {
            fleet.store.put("daemons", "d1", fleet.store.row("daemons", "d1").value);
        }
    };
    fleet.run(takeoverDelay + 3 * second);
    UNSIGNED_LONGS_EQUAL(2, rowEpoch().value());
}

// A shard must not stay without an owner because the reply to its claim was lost.
TEST(Ownership, RecognizesItsOwnClaimAfterALostReply)
{
    fleet.start("d1", "a");
    fleet.lostReplyPercent = 60;
    fleet.run(second * 20);
    fleet.lostReplyPercent = 0;
    fleet.run(second * 5);
    STRCMP_EQUAL("d1", fleet.ownerOf(shard).c_str());
}

// Shards must move to a daemon of their own failure domain, since a partition cuts other daemons off from the shard's VMs.
TEST(Ownership, HandsOverToADaemonOfTheShardsFailureDomain)
{
    fleet.start("d1", "b");
    fleet.run(second * 3);
    fleet.start("d2", "a");
    fleet.run(second * 9);
    STRCMP_EQUAL("d2", fleet.ownerOf(shard).c_str());
}

// Shards must not move to a daemon that restarts repeatedly.
TEST(Ownership, DoesNotHandOverToAPeerThatIsLiveForLessThanFiveSeconds)
{
    fleet.start("d1", "b");
    fleet.run(second * 8);
    for (int i = 0; i < 5; ++i) {
        fleet.start("d2", "a");
        fleet.run(Duration(4500));
    }
    UNSIGNED_LONGS_EQUAL(0, fleet.members["d1"].proposedHandOvers.size());
}

// Shards must not move back and forth between live daemons.
TEST(Ownership, OwnersAreStableOnceEveryShardIsWithItsPreferredOwner)
{
    fleet.desired = shardsOf("a", 30);
    for (const char *id : {"d1", "d2", "d3"}) {
        fleet.start(id, "a");
    }
    fleet.run(second * 30);
    int before = 0;
    int after = 0;
    for (const auto &[id, member] : fleet.members) {
        before += member.shardsLost;
    }
    fleet.run(second * 60);
    for (const auto &[id, member] : fleet.members) {
        after += member.shardsLost;
    }
    LONGS_EQUAL(before, after);
}

// A planned shutdown must not leave shards without an owner until the lease expires.
TEST(Ownership, StopHandsEveryShardToAPeer)
{
    fleet.desired = shardsOf("a", 30);
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.start("d2", "a");
    fleet.run(second);
    fleet.members["d1"].ownership->beginStop(fleet.now);
    fleet.run(second * 2);
    UNSIGNED_LONGS_EQUAL(30, fleet.members["d2"].owned.size());
    CHECK_TRUE(fleet.members["d1"].ownership->stopped());
}

// The last daemon must be able to complete its shutdown, although there is no peer that could receive its shards.
TEST(Ownership, StopWithoutPeersReleasesTheShards)
{
    fleet.start("d1", "a");
    fleet.run(second * 2);
    fleet.members["d1"].ownership->beginStop(fleet.now);
    fleet.run(second * 2);
    CHECK_TRUE(fleet.members["d1"].ownership->stopped());
}

// A simultaneous restart of all daemons under new ids must not cause a long outage.
TEST(Ownership, ColdStartClaimsAllShardsWithinTwoSecondsAfterTheOldLeases)
{
    fleet.desired = shardsOf("a", 60);
    for (const char *id : {"old1", "old2", "old3"}) {
        fleet.start(id, "a");
    }
    fleet.run(second * 20);
    fleet.members.clear();
    for (const char *id : {"d1", "d2", "d3", "d4", "d5", "d6", "d7"}) {
        fleet.start(id, "a");
    }
    fleet.run(takeoverDelay + 2 * second);
    UNSIGNED_LONGS_EQUAL(60, fleet.ownedCount());
}

// No mix of lost replies, late writes, outages, pauses and restarts may cause double ownership.
TEST(Ownership, NeverHasTwoOwnersAtAnEpochUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        OwnershipFleet faulty(seed);
        faulty.desired = shardsOf("a", 8);
        faulty.lostReplyPercent = 20;
        faulty.lateWritePercent = 5;
        faulty.maxDelay = Duration(400);
        for (const char *id : {"d1", "d2", "d3"}) {
            faulty.start(id, "a", seed);
        }
        for (int i = 0; i < 30; ++i) {
            const std::string id = "d" + std::to_string(1 + faulty.random.below(3));
            faulty.members[id].paused = faulty.random.below(2) == 0;
            faulty.storeDown = faulty.random.below(4) == 0;
            if (faulty.random.below(6) == 0) {
                faulty.start(id, "a", seed);
            }
            faulty.run(faulty.random.upTo(Duration(6000)));
        }
        CHECK_FALSE_TEXT(faulty.twoOwnersAtAnEpoch, ("seed " + std::to_string(seed)).c_str());
        CHECK_FALSE_TEXT(faulty.twoConfirmedOwners, ("confirmed, seed " + std::to_string(seed)).c_str());
        faulty.storeDown = false;
        faulty.lostReplyPercent = 0;
        faulty.lateWritePercent = 0;
        for (auto &[id, member] : faulty.members) {
            member.paused = false;
        }
        faulty.run(second * 25);
        UNSIGNED_LONGS_EQUAL_TEXT(8, faulty.ownedCount(), ("owners, seed " + std::to_string(seed)).c_str());
    }
}

// Demonstrates that reading the row back after a lost reply is what prevents double ownership.
TEST(Ownership, WithoutReadBackALostConflictReplyCausesDoubleOwnership)
{
    bool seen = false;
    for (std::uint64_t seed = 1; seed <= 40 && !seen; ++seed) {
        OwnershipFleet faulty(seed);
        faulty.defaults.readBackAfterLostReplies = false;
        faulty.desired = shardsOf("a", 8);
        faulty.lostReplyPercent = 20;
        faulty.maxDelay = Duration(400);
        for (const char *id : {"d1", "d2", "d3"}) {
            faulty.start(id, "a", seed);
        }
        faulty.run(second * 30);
        seen = faulty.twoOwnersAtAnEpoch;
    }
    CHECK_TRUE(seen);
}
