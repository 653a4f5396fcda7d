// Workers with more unacknowledged ends than they list in one reply.
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

constexpr std::size_t fewEndsPerReply = 10;
constexpr int tasks = 400;
constexpr std::int64_t smallTask = 200; // Millicores: 20 tasks on a worker.

} // namespace

TEST_GROUP(UnreadEnds)
{
    FakeCell cell{2};

    void setup() override
    {
        cell.endsPerReply = fewEndsPerReply;
    }

    /// Submits a job of many short tasks and runs it until its workers have more ends than they list, since the store is down.
    void endManyTasksDuringOutage()
    {
        cell.submit(cellJob("job", tasks, smallTask, Duration(300)));
        cell.run(Duration(200));
        cell.storeReachable = false;
        cell.run(Duration(4500));
    }

    /// Runs the job to its end.
    void checkThatEachTaskStartsOnce()
    {
        cell.run(Duration(20000));
        CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
        CHECK_EQUAL(tasks, cell.starts);
        CHECK_NO_VIOLATION(cell);
    }

    /// Returns the tasks that have succeeded more than once.
    std::set<std::string> succeededAgain()
    {
        std::set<TaskRef> succeeded;
        std::set<std::string> again;
        for (const auto &[id, worker] : cell.workers) {
            for (const EndedEntry &end : worker.ended) {
                if (end.end == RunEnd::Succeeded && !succeeded.insert(end.task).second) {
                    again.insert(end.task.text());
                }
            }
        }
        return again;
    }

    /// Ends of worker @p index that are not acknowledged.
    std::size_t unacknowledged(int index)
    {
        const FakeCellWorker &worker = cell.worker(index);
        return static_cast<std::size_t>(worker.lastEnd.value() - worker.acknowledged.value());
    }
};

// Guards against a second start of tasks that succeeded while the store was down: an end beyond those that the worker lists was taken for a lost run.
TEST(UnreadEnds, AreNotTakenForLostRuns)
{
    cell.startLeadership();
    endManyTasksDuringOutage();
    CHECK_TRUE(unacknowledged(0) > fewEndsPerReply);
    cell.storeReachable = true;
    checkThatEachTaskStartsOnce();
}

// Guards against an unbounded number of unacknowledged ends while the store is down: a run whose end is not listed keeps its capacity.
TEST(UnreadEnds, AreLimitedByTheCapacityOfTheirWorker)
{
    cell.startLeadership();
    endManyTasksDuringOutage();
    const std::size_t tasksPerWorker = 20;
    CHECK_TRUE(unacknowledged(0) <= fewEndsPerReply + 2 * tasksPerWorker);
    cell.run(Duration(4000));
    CHECK_TRUE(unacknowledged(0) <= fewEndsPerReply + 2 * tasksPerWorker);
}

// Guards against a second start of tasks that succeeded under the previous leader: their ends are beyond those of the first reply to the new leader.
TEST(UnreadEnds, OfAPreviousLeaderAreReadBeforeItsTasksStartAgain)
{
    cell.startLeadership();
    endManyTasksDuringOutage();
    cell.storeReachable = true;
    cell.startLeadership(2);
    checkThatEachTaskStartsOnce();
}

// Guards against the same after the leases of the previous leader have expired, by which time only ends can be left of its runs.
TEST(UnreadEnds, OfAPreviousLeaderAreReadEvenIfItsLeasesHaveExpired)
{
    cell.startLeadership();
    endManyTasksDuringOutage();
    cell.leaseExpiry = Duration(300);
    cell.startLeadership(2);
    cell.run(Duration(2000));
    cell.storeReachable = true;
    checkThatEachTaskStartsOnce();
}

// Guards against a second start of a task whose start got no answer: a stop shows that the run does not exist any more, not that it never did.
TEST(UnreadEnds, OfRunsWithUnansweredStartsAreNotTakenForRunsThatNeverExisted)
{
    cell.startLeadership();
    int orders = 0;
    cell.onStart = [&](const StartOrder &order) {
        if (++orders % 3 != 0) {
            return true;
        }
        cell.deliverStartAt(order, cell.now + Duration(5));
        return false;
    };
    endManyTasksDuringOutage();
    cell.storeReachable = true;
    cell.run(Duration(30000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_EQUAL(0, succeededAgain().size());
    CHECK_NO_VIOLATION(cell);
}

// Guards against jobs that wait for ever for ends that were lost with their worker.
TEST(UnreadEnds, OfAWorkerThatCrashedKeepNoJobWaiting)
{
    cell.startLeadership();
    endManyTasksDuringOutage();
    cell.startLeadership(2);
    cell.run(Duration(200));
    cell.worker(0).crashed = true;
    cell.storeReachable = true;
    cell.run(Duration(30000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}
