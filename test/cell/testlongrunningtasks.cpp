#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

CellJob longRunningJob(int tasks)
{
    CellJob job = cellJob("service", tasks, 1000, Duration(500));
    job.steps[0].longRunning = true;
    return job;
}

} // namespace

TEST_GROUP(LongRunningTasks){};

// Guards against a service that is shown as completed and never runs again because its tasks ended by themselves (review case 10).
TEST(LongRunningTasks, AreRestartedWhenTheyEndWithoutAFailure)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(longRunningJob(2));
    cell.run(Duration(5000));
    CHECK_TRUE(cell.state("service") == CellJobState::Active);
    CHECK_TRUE(cell.starts >= 10);
    cell.duration = [](const StartOrder &) { return Duration(60000); };
    cell.run(Duration(2000));
    CHECK_EQUAL(2, cell.runningTasks());
}

// Guards against a busy loop of starts if a task ends as soon as it starts.
TEST(LongRunningTasks, AreNotRestartedAtOnce)
{
    FakeCell cell(1);
    cell.duration = [](const StartOrder &) { return Duration(5); };
    cell.startLeadership();
    cell.submit(longRunningJob(1));
    cell.run(Duration(4000));
    CHECK_TRUE(cell.starts > 5);
    CHECK_TRUE(cell.starts <= 20);
}

// Guards against a service whose ended tasks an earlier version of the daemon stored as done, so that they stay without a run.
TEST(LongRunningTasks, AreRestartedThoughTheirProgressSaysThatTheyAreDone)
{
    FakeCell cell(1);
    const CellJob job = longRunningJob(2);
    cell.storedJobs[job.id] = job;
    cell.storedProgress[job.id].steps[{0, 0}].succeeded = {true, true};
    cell.startLeadership();
    cell.run(Duration(9000));
    CHECK_TRUE(cell.starts >= 2);
    CHECK_TRUE(cell.state("service") == CellJobState::Active);
}

// Guards against a service that can't be ended any more.
TEST(LongRunningTasks, EndWhenTheirJobIsCancelled)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.submit(longRunningJob(2));
    cell.run(Duration(1200));
    cell.cancel("service");
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("service") == CellJobState::Cancelled);
    CHECK_EQUAL(0, cell.runningTasks());
}
