#include "cell/workertable.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

constexpr Duration beyondLease{6400}; // The longest lease of 6 s, at the maximum drift of 2%, and the margin.

TimePoint at(int ms)
{
    return TimePoint(Duration(1000000 + ms));
}

} // namespace

TEST_GROUP(WorkerLeases)
{
    WorkerLeases leases{LeaseSettings()};
};

// Guards against "nothing is known yet" being taken for "no lease".
TEST(WorkerLeases, NeverExpireWhileNothingIsKnown)
{
    CHECK_FALSE(leases.haveExpired(at(1000000)));
}

// Guards against a start that was carried out by the former process and keeps the next one from ever being given up.
TEST(WorkerLeases, ExpireAfterTheLongestLeaseIfTheIncarnationNeverAnswers)
{
    leases.beginIncarnation(at(0), true);
    CHECK_FALSE(leases.haveExpired(at(6000)));
    CHECK_TRUE(leases.haveExpired(at(0) + beyondLease));
}

// Guards against a lease that counts as expired because the clock of the new process is known, and no deadline is.
TEST(WorkerLeases, AreNotBoundedByTheAnswerToAnOrder)
{
    leases.beginIncarnation(at(0), true);
    leases.observeClock(750, at(10));
    CHECK_FALSE(leases.isBounded());
    CHECK_FALSE(leases.haveExpired(at(1000)));
}

// Guards against an expiry that is counted from the last deadline alone: an earlier leader may have renewed up to the first answer.
TEST(WorkerLeases, LastTheLongestLeaseAfterTheFirstAnswerToAHold)
{
    leases.beginIncarnation(at(0), false);
    leases.onHoldAnswered(5000, true, at(0));
    CHECK_FALSE(leases.haveExpired(at(6100)));
    CHECK_TRUE(leases.haveExpired(at(0) + beyondLease));
}

// Guards against a lease that an order of the former process extends: its deadline was counted on another clock, and it may arrive late.
TEST(WorkerLeases, WaitForAnUnansweredOrderToTheFormerIncarnation)
{
    leases.beginIncarnation(at(0), false);
    leases.onHoldAnswered(5000, true, at(0));
    (void)leases.beginOrder(Duration(6000), at(100));
    leases.beginIncarnation(at(200), false);
    leases.onHoldAnswered(50, true, at(300));
    CHECK_FALSE(leases.haveExpired(at(300) + beyondLease));
    leases.endOrder(false, false, at(600));
    CHECK_FALSE(leases.haveExpired(at(600) + LeaseSettings().maxOrderDelay + Duration(6000)));
    CHECK_TRUE(leases.haveExpired(at(600) + LeaseSettings().maxOrderDelay + beyondLease));
}

// Guards against waiting longer than needed if no order is left that could reach the next process.
TEST(WorkerLeases, DoNotWaitForAnsweredOrders)
{
    leases.beginIncarnation(at(0), false);
    leases.onHoldAnswered(5000, true, at(0));
    (void)leases.beginOrder(Duration(6000), at(100));
    leases.endOrder(true, true, at(150));
    leases.beginIncarnation(at(200), false);
    leases.onHoldAnswered(50, true, at(300));
    CHECK_TRUE(leases.haveExpired(at(300) + beyondLease));
}

TEST_GROUP(WorkerTableIncarnations)
{
    WorkerTable table{WorkerTableSettings()};
    const TaskRef task{StepRef{JobId("job"), 0, 0}, 0};

    static WorkerInfo info(std::uint64_t incarnation)
    {
        WorkerInfo worker;
        worker.id = WorkerId("w");
        worker.address = "127.0.0.1:9000";
        worker.incarnation = WorkerIncarnation(incarnation);
        return worker;
    }

    Worker &worker()
    {
        return *table.find(WorkerId("w"));
    }

    void answerHold(std::uint64_t incarnation, WorkerClockMs clock, TimePoint now)
    {
        HoldReply reply;
        reply.incarnation = WorkerIncarnation(incarnation);
        reply.clock = clock;
        std::vector<DiscoveredRun> discovered;
        std::vector<EndedEntry> unmatchedEnds;
        const HoldOrder order = table.createHold(worker(), Duration(0), now);
        (void)table.onHoldAnswer(order, &reply, now, now, discovered, unmatchedEnds);
    }

    StartOrder startRun(TimePoint now)
    {
        Run run;
        run.task = task;
        run.number = RunNumber(1);
        return table.addRun(worker(), run, StartOrder(), now);
    }
};

// Guards against a task that runs twice because a run that a restarted worker is still stopping counts as lost: the answer to the stop made the
// worker's new clock known, and no lease of the new process was known (days recut and recut-kill).
TEST(WorkerTableIncarnations, KeepARunThatIsBeingStoppedUntilAHoldIsAnswered)
{
    (void)table.onRegistry({info(1)}, at(0));
    answerHold(1, 500000, at(0));
    const StartOrder start = startRun(at(10));
    (void)table.onStartAnswer(start, OrderAnswer(), at(500));
    CHECK_TRUE(table.onRegistry({info(2)}, at(6000)).empty());
    const std::vector<StopOrder> stops = table.dueStops(at(6000));
    CHECK_EQUAL(1U, stops.size());
    CHECK_TRUE(table.expireLeases(at(6004)).empty());
    CHECK_TRUE(table.onStopAnswer(stops[0], OrderAnswer{OrderOutcome::Done, 750}, at(6010)).empty());
    CHECK_TRUE(table.expireLeases(at(6018)).empty());
    CHECK_EQUAL(1U, worker().runs.size());
}

// Guards against a run that is kept for ever because the restarted worker is never reached.
TEST(WorkerTableIncarnations, ReleaseARunOnceNoStartOfItCanReachTheWorkerAndItsLeaseIsOver)
{
    (void)table.onRegistry({info(1)}, at(0));
    answerHold(1, 500000, at(0));
    const StartOrder start = startRun(at(10));
    (void)table.onStartAnswer(start, OrderAnswer(), at(500));
    (void)table.onRegistry({info(2)}, at(1000));
    const TimePoint end = at(500) + LeaseSettings().maxOrderDelay;
    CHECK_TRUE(table.expireLeases(end + Duration(6000)).empty());
    CHECK_EQUAL(1U, table.expireLeases(end + beyondLease).size());
}
