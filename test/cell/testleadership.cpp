#include "cell/leadership.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const TimePoint start{Duration(1000000)};

CellMember daemon(const std::string &id)
{
    return CellMember{DaemonId(id), Incarnation(7), id + ":7000", FailureDomain("a"), MilliCores(250)};
}

LeaderRecord heldBy(const std::string &holder, std::uint64_t epoch)
{
    LeaderRecord record;
    record.holder = DaemonId(holder);
    record.incarnation = Incarnation(7);
    record.epoch = Epoch(epoch);
    record.members = {daemon("d1"), daemon("d2")};
    return record;
}

} // namespace

TEST_GROUP(Leadership)
{
    LeadershipSettings settings;

    Leadership elected(TimePoint now)
    {
        Leadership leadership(daemon("d1"), settings);
        CHECK_TRUE(leadership.nextAction(now) == LeaderAction::ReadRow);
        leadership.onRow(std::nullopt, RowVersion(), now);
        CHECK_TRUE(leadership.nextAction(now) == LeaderAction::WriteRow);
        leadership.onWritten(RowVersion(5), now);
        return leadership;
    }
};

// Guards against a cell without a leader after its first start.
TEST(Leadership, ClaimsAMissingRow)
{
    const Leadership leadership = elected(start);
    CHECK_TRUE(leadership.maySendOrders(start));
    CHECK_EQUAL(1U, leadership.epoch().value());
}

// Guards against two leaders that send orders at the same time. Happens if the leader relies on its lease until the time at which
// another daemon may claim the row.
TEST(Leadership, StopsSendingOrdersBeforeAnotherDaemonMayTakeOver)
{
    Leadership leadership = elected(start - settings.renewInterval);
    leadership.onPromise(daemon("d2"), false, start - settings.renewInterval, start - settings.renewInterval);
    CHECK_TRUE(leadership.nextAction(start) == LeaderAction::WriteRow);
    leadership.onWritten(RowVersion(6), start);
    CHECK_FALSE(leadership.maySendOrders(start + settings.leaseTerm - settings.leaseMargin));
    Leadership other(daemon("d2"), settings);
    (void)other.nextAction(start);
    other.onRow(heldBy("d1", 1), RowVersion(5), start);
    // At the time when the leader has stopped, the other daemon must not claim the row yet.
    CHECK_FALSE(other.nextAction(start + settings.leaseTerm - settings.leaseMargin) == LeaderAction::WriteRow);
}

// Guards against a cell without a leader after the leader has crashed.
TEST(Leadership, TakesOverARowThatHasNotChangedForATerm)
{
    Leadership other(daemon("d2"), settings);
    (void)other.nextAction(start);
    other.onRow(heldBy("d1", 4), RowVersion(5), start);
    const TimePoint later = start + settings.leaseTerm + Duration(1);
    CHECK_TRUE(other.nextAction(later) == LeaderAction::WriteRow);
    CHECK_EQUAL(5U, other.recordToWrite().epoch.value());
    CHECK_EQUAL(5U, other.expectedVersion().value());
}

// Guards against a takeover while the leader still renews.
TEST(Leadership, WaitsAgainWheneverTheRowHasChanged)
{
    Leadership other(daemon("d2"), settings);
    TimePoint now = start;
    for (std::uint64_t version = 5; version < 15; ++version) {
        CHECK_TRUE(other.nextAction(now) == LeaderAction::ReadRow);
        other.onRow(heldBy("d1", 4), RowVersion(version), now);
        now += settings.leaseTerm / 2;
    }
}

// Guards against a process that waits for the lease of its own previous incarnation.
TEST(Leadership, TakesOverAtOnceFromItsOwnPreviousIncarnation)
{
    Leadership again(CellMember{DaemonId("d1"), Incarnation(8), "d1:7000", {}, {}}, settings);
    (void)again.nextAction(start);
    again.onRow(heldBy("d1", 4), RowVersion(5), start);
    CHECK_TRUE(again.nextAction(start) == LeaderAction::WriteRow);
}

// Guards against a takeover by a daemon unknown to the leader, which would undermine the promises of the members.
TEST(Leadership, MakesNonMembersWaitLonger)
{
    Leadership nonMember(daemon("d9"), settings);
    (void)nonMember.nextAction(start);
    nonMember.onRow(heldBy("d1", 4), RowVersion(5), start);
    CHECK_FALSE(nonMember.nextAction(start + settings.leaseTerm * 2) == LeaderAction::WriteRow);
    nonMember.onRow(heldBy("d1", 4), RowVersion(5), start + settings.leaseTerm * 2);
    CHECK_TRUE(nonMember.nextAction(start + settings.nonMemberTerm + Duration(1)) == LeaderAction::WriteRow);
}

// Guards against a cell that stops working while the store is unreachable for every daemon.
TEST(Leadership, ContinuesWithoutTheStoreWhileEveryMemberPromises)
{
    Leadership leadership = elected(start);
    leadership.onPromise(daemon("d2"), false, start, start);
    TimePoint now = start + settings.renewInterval;
    CHECK_TRUE(leadership.nextAction(now) == LeaderAction::WriteRow);
    leadership.onWritten(RowVersion(6), now);
    const TimePoint expired = now + settings.leaseTerm;
    CHECK_FALSE(leadership.maySendOrders(expired));
    leadership.onPromise(daemon("d2"), false, expired - Duration(50), expired);
    CHECK_TRUE(leadership.maySendOrders(expired));
}

// Guards against relying on promises beyond the time after which a non-member may take over.
TEST(Leadership, LimitsTheTimeForWhichItReliesOnPromises)
{
    Leadership leadership = elected(start);
    const TimePoint late = start + settings.maxTimeWithoutRenewal;
    leadership.onPromise(daemon("d2"), false, late, late);
    CHECK_FALSE(leadership.maySendOrders(late));
}

// Guards against a member that claims the leadership despite its promise.
TEST(Leadership, DoesNotClaimWhileItsPromiseLasts)
{
    Leadership other(daemon("d2"), settings);
    (void)other.nextAction(start);
    other.onRow(heldBy("d1", 4), RowVersion(5), start);
    const TimePoint heartbeat = start + settings.leaseTerm;
    CHECK_TRUE(other.onLeaderHeartbeat(daemon("d1"), Epoch(4), RowVersion(9), heartbeat));
    CHECK_FALSE(other.nextAction(heartbeat + settings.promiseDuration - Duration(1)) == LeaderAction::WriteRow);
}

// Guards against a gap of a whole lease term at each planned shutdown of the leader.
TEST(Leadership, HandsOverAtOnceWhenItResigns)
{
    Leadership leadership = elected(start);
    leadership.onPromise(daemon("d2"), false, start, start);
    leadership.resign(start + Duration(10));
    CHECK_FALSE(leadership.maySendOrders(start + Duration(10)));
    CHECK_TRUE(leadership.nextAction(start + Duration(10)) == LeaderAction::WriteRow);
    const LeaderRecord resigned = leadership.recordToWrite();
    CHECK_TRUE(resigned.holder.isEmpty());
    Leadership successor(daemon("d2"), settings);
    (void)successor.nextAction(start);
    successor.onRow(resigned, RowVersion(6), start + Duration(20));
    CHECK_TRUE(successor.nextAction(start + Duration(20)) == LeaderAction::WriteRow);
}

// Guards against a leader that does not notice that it has been replaced.
TEST(Leadership, StepsDownWhenTheRowNamesAnotherLeader)
{
    Leadership leadership = elected(start);
    (void)leadership.nextAction(start + settings.renewInterval);
    leadership.onConflict(heldBy("d2", 2), RowVersion(9), start + settings.renewInterval);
    CHECK_FALSE(leadership.isLeader());
}

// Guards against a cell without an active leader because a claim took effect but its answer was lost.
TEST(Leadership, RecognisesItsOwnClaimWhoseAnswerWasLost)
{
    Leadership leadership(daemon("d1"), settings);
    (void)leadership.nextAction(start);
    leadership.onRow(std::nullopt, RowVersion(), start);
    (void)leadership.nextAction(start);
    leadership.onWriteFailed(start + Duration(900));
    CHECK_TRUE(leadership.nextAction(start + Duration(900)) == LeaderAction::ReadRow);
    leadership.onRow(heldBy("d1", 1), RowVersion(5), start + Duration(920));
    CHECK_TRUE(leadership.isLeader());
    CHECK_FALSE(leadership.maySendOrders(start + Duration(920)));
    CHECK_TRUE(leadership.nextAction(start + Duration(920)) == LeaderAction::WriteRow);
}

// Guards against a leader on the weakest VM of the cell. Happens if a daemon with little CPU claims the row first.
TEST(Leadership, YieldsToAMemberWithMuchMoreCpu)
{
    Leadership leadership = elected(start);
    CellMember strong = daemon("d2");
    strong.cpu = MilliCores(500);
    const TimePoint later = start + settings.minTimeBeforeYield + Duration(1);
    leadership.onPromise(strong, false, later, later);
    CHECK_TRUE(leadership.nextAction(later) == LeaderAction::WriteRow);
    CHECK_TRUE(leadership.recordToWrite().holder.isEmpty());
    CHECK_TRUE(leadership.recordToWrite().successor == DaemonId("d2"));
}

// Guards against a takeover that waits for an additional term because the row is read only after the heartbeats have stopped.
TEST(Leadership, CountsTheLeaseTermFromTheHeartbeatThatGaveTheRowVersion)
{
    Leadership other(daemon("d2"), settings);
    (void)other.nextAction(start);
    other.onRow(heldBy("d1", 4), RowVersion(5), start);
    const TimePoint heartbeat = start + Duration(400);
    CHECK_TRUE(other.onLeaderHeartbeat(daemon("d1"), Epoch(4), RowVersion(6), heartbeat));
    const TimePoint overdue = heartbeat + settings.heartbeatTimeout + Duration(1);
    CHECK_TRUE(other.nextAction(overdue) == LeaderAction::ReadRow);
    other.onRow(heldBy("d1", 4), RowVersion(6), overdue);
    CHECK_FALSE(other.nextAction(heartbeat + settings.leaseTerm) == LeaderAction::WriteRow);
    other.onRow(heldBy("d1", 4), RowVersion(6), heartbeat + settings.leaseTerm);
    CHECK_TRUE(other.nextAction(heartbeat + settings.leaseTerm + Duration(1)) == LeaderAction::WriteRow);
}

// Guards against new jobs that have to wait for the next regular renewal before they may start.
TEST(Leadership, RenewsEarlyOnRequestAtTheMinimumInterval)
{
    Leadership leadership = elected(start);
    leadership.requestRenewal();
    CHECK_TRUE(leadership.nextAction(start + settings.minRenewalInterval - Duration(1)) == LeaderAction::None);
    CHECK_TRUE(leadership.nextAction(start + settings.minRenewalInterval) == LeaderAction::WriteRow);
}

// Guards against a leader that overloads the store with retries after failed renewals.
TEST(Leadership, DoesNotRetryEarlyAfterAFailedRenewal)
{
    Leadership leadership = elected(start);
    const TimePoint now = start + settings.renewInterval;
    (void)leadership.nextAction(now);
    leadership.onWriteFailed(now);
    leadership.requestRenewal();
    CHECK_TRUE(leadership.nextAction(now + settings.retryInterval - Duration(1)) == LeaderAction::None);
}

// Guards against a new leader that cannot tell which jobs its predecessor may have started.
TEST(Leadership, RemembersTheVersionThatItsClaimReplaced)
{
    Leadership other(daemon("d2"), settings);
    (void)other.nextAction(start);
    other.onRow(heldBy("d1", 4), RowVersion(5), start);
    const TimePoint later = start + settings.leaseTerm + Duration(1);
    (void)other.nextAction(later);
    other.onWritten(RowVersion(8), later);
    CHECK_EQUAL(5U, other.replacedVersion().value());
}

// Guards against a weak leader that reclaims the leadership before its stronger successor can claim it. Happens in a takeover while
// the store is slow to answer.
TEST(Leadership, DoesNotReclaimRightAfterYielding)
{
    Leadership leadership = elected(start);
    CellMember strong = daemon("d2");
    strong.cpu = MilliCores(500);
    const TimePoint later = start + settings.minTimeBeforeYield + Duration(1);
    leadership.onPromise(strong, false, later, later);
    leadership.requestRenewal();
    CHECK_TRUE(leadership.nextAction(later) == LeaderAction::WriteRow);
    CHECK_TRUE(leadership.recordToWrite().holder.isEmpty());
    leadership.onWritten(RowVersion(6), later);
    const TimePoint soon = later + settings.successorHeadStart + Duration(200);
    CHECK_FALSE(leadership.nextAction(soon) == LeaderAction::WriteRow);
}
