#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(CellSchedulerLateOrders){};

// Guards against a second run of a task whose first start was only late.
TEST(CellSchedulerLateOrders, NeverRunsATaskTwiceWhenAStartTakesEffectLate)
{
    for (int delay = 100; delay <= 4000; delay += 300) {
        FakeCell cell(3);
        cell.lead();
        bool first = true;
        cell.onStart = [&](const StartOrder &order) {
            if (first) {
                first = false;
                cell.deliverLate(order, cell.now + Duration(delay));
                return false;
            }
            return true;
        };
        cell.submit(cellJob("job", 2, 1000, Duration(1500)));
        cell.run(Duration(12000));
        CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
        NO_VIOLATION(cell);
    }
}

// Guards against a task that stays unstarted because the answer of its worker is lost again and again.
TEST(CellSchedulerLateOrders, MovesATaskAwayFromAWorkerThatAnswersNoStart)
{
    FakeCell cell(2);
    cell.lead();
    cell.onStart = [](const StartOrder &order) { return order.worker != WorkerId("w0"); };
    cell.submit(cellJob("job", 6, 1000, Duration(300)));
    cell.run(Duration(15000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    NO_VIOLATION(cell);
}

TEST_GROUP(CellSchedulerWorkerFaults){};

// Guards against tasks that wait for a worker that is gone for good.
TEST(CellSchedulerWorkerFaults, RunsTasksOfACrashedWorkerElsewhereAfterItsLease)
{
    FakeCell cell(2);
    cell.lead();
    cell.submit(cellJob("job", 8, 1000, Duration(3000)));
    cell.run(Duration(500));
    cell.worker(0).crashed = true;
    cell.run(Duration(4000));
    CHECK_TRUE(cell.state("job") == CellJobState::Active);
    cell.run(Duration(9000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    NO_VIOLATION(cell);
}

// Guards against the loss of work that a short partition could not stop.
TEST(CellSchedulerWorkerFaults, KeepsTasksOfAWorkerThatIsCutOffForAShortTime)
{
    FakeCell cell(2);
    cell.lead();
    cell.submit(cellJob("job", 8, 1000, Duration(3000)));
    cell.run(Duration(1500));
    cell.worker(0).reachable = false;
    cell.hidden.insert(WorkerId("w0"));
    cell.run(Duration(5000));
    cell.worker(0).reachable = true;
    cell.hidden.clear();
    cell.run(Duration(2000));
    CHECK_EQUAL(8, cell.starts);
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}

// Guards against work that waits for a lease although its worker has already restarted.
TEST(CellSchedulerWorkerFaults, RestartsTasksAsSoonAsTheWorkerIsAnotherProcess)
{
    FakeCell cell(1);
    cell.lead();
    cell.submit(cellJob("job", 2, 1000, Duration(1000)));
    cell.run(Duration(500));
    cell.worker(0).restart();
    cell.run(Duration(2500));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    NO_VIOLATION(cell);
}

// Guards against jobs that lose all their attempts on one bad worker.
TEST(CellSchedulerWorkerFaults, FinishesJobsWhileOneWorkerFailsEverything)
{
    FakeCell cell(4);
    cell.worker(0).failsAll = true;
    cell.lead();
    for (int i = 0; i < 12; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 1, 1000, Duration(300)));
        cell.run(Duration(100));
    }
    cell.run(Duration(4000));
    for (int i = 0; i < 12; ++i) {
        CHECK_TRUE(cell.state("job" + std::to_string(i)) == CellJobState::Succeeded);
    }
}

// Guards against endless attempts of a job that can't succeed.
TEST(CellSchedulerWorkerFaults, EndsAJobWhoseTaskFailsAsOftenAsItsRouteAllows)
{
    FakeCell cell(3);
    for (int i = 0; i < 3; ++i) {
        cell.worker(i).failsAll = true;
    }
    cell.lead();
    cell.submit(cellJob("poison", 1, 1000));
    cell.run(Duration(5000));
    CHECK_TRUE(cell.state("poison") == CellJobState::Failed);
    CHECK_EQUAL(2, cell.starts);
}

// Guards against a task that runs twice because its start reached the worker's next process (pattern: a worker restarts while it is
// given work, and the leader hears of it later; seeds 106, 110, 113 and 209 of the soak).
TEST(CellSchedulerWorkerFaults, NeverRunsATaskTwiceWhenItsStartReachedTheNextProcess)
{
    FakeCell cell(3);
    cell.lead();
    cell.run(Duration(300));
    for (int i = 0; i < 12; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 3, 1000, Duration(400)));
        cell.worker(i % 3).restart();
        cell.run(Duration(5 + i % 4 * 5));
    }
    cell.run(Duration(6000));
    NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("job11") == CellJobState::Succeeded);
}

// Guards against starts on a worker that is about to leave.
TEST(CellSchedulerWorkerFaults, SendsNoNewWorkToADrainingWorker)
{
    FakeCell cell(2);
    cell.lead();
    cell.run(Duration(300));
    cell.worker(0).info.draining = true;
    cell.run(Duration(600));
    cell.submit(cellJob("job", 4, 1000, Duration(2000)));
    cell.run(Duration(500));
    CHECK_TRUE(cell.worker(0).running.empty());
}

// Guards against tasks that are lost with their worker and wait for the end of a lease (pattern: workers are taken away at short notice).
TEST(CellSchedulerWorkerFaults, MovesWhatWillNotEndBeforeItsWorkerLeaves)
{
    FakeCell cell(2);
    cell.lead();
    cell.submit(cellJob("job", 4, 1000, Duration(5000)));
    cell.run(Duration(700));
    const int holder = cell.worker(0).running.empty() ? 1 : 0;
    cell.worker(holder).info.draining = true;
    cell.worker(holder).info.remaining = Duration(1800);
    cell.run(Duration(1200));
    CHECK_TRUE(cell.worker(holder).running.empty());
    CHECK_EQUAL(4U, cell.worker(1 - holder).running.size());
    NO_VIOLATION(cell);
}

// Guards against work that is thrown away although it could end in time.
TEST(CellSchedulerWorkerFaults, LeavesWhatWillEndBeforeItsWorkerLeaves)
{
    FakeCell cell(2);
    cell.lead();
    cell.submit(cellJob("job", 4, 1000, Duration(1000)));
    cell.run(Duration(700));
    const int holder = cell.worker(0).running.empty() ? 1 : 0;
    cell.worker(holder).info.draining = true;
    cell.worker(holder).info.remaining = Duration(1800);
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_EQUAL(4, cell.starts);
}

// Guards against a gang that stands still for the length of a lease because one member was lost with its worker (pattern: workers are
// taken away at short notice).
TEST(CellSchedulerWorkerFaults, StartsAGangAgainBeforeTheWorkerOfAMemberLeaves)
{
    FakeCell cell(4);
    cell.lead();
    CellJob gang = cellJob("gang", 8, 1000, Duration(5000));
    gang.steps[0].gang = true;
    cell.submit(gang);
    cell.run(Duration(700));
    int holder = 0;
    while (cell.worker(holder).running.empty()) {
        ++holder;
    }
    cell.worker(holder).info.draining = true;
    cell.worker(holder).info.remaining = Duration(1800);
    cell.run(Duration(1500));
    CHECK_TRUE(cell.worker(holder).running.empty());
    CHECK_EQUAL(8, cell.runningTasks());
    NO_VIOLATION(cell);
}

TEST_GROUP(CellSchedulerTakeover){};

// Guards against a new leader that starts what still runs.
TEST(CellSchedulerTakeover, AdoptsWhatRunsAndLosesNothing)
{
    FakeCell cell(3);
    cell.lead();
    for (int i = 0; i < 5; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 3, 1000, Duration(1500)));
    }
    cell.run(Duration(900));
    cell.lead(2);
    cell.run(Duration(6000));
    for (int i = 0; i < 5; ++i) {
        CHECK_TRUE(cell.state("job" + std::to_string(i)) == CellJobState::Succeeded);
    }
    NO_VIOLATION(cell);
}

// Guards against a second run of a task on a worker that the new leader can't reach yet.
TEST(CellSchedulerTakeover, WaitsForLeasesOfWorkersThatItCannotReach)
{
    FakeCell cell(2);
    cell.lead();
    cell.submit(cellJob("job", 6, 1000, Duration(20000)));
    cell.run(Duration(1000));
    cell.worker(0).reachable = false;
    cell.hidden.insert(WorkerId("w0"));
    cell.lead(2);
    cell.run(Duration(30000));
    NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("job") == CellJobState::Active || cell.state("job") == CellJobState::Succeeded);
}

// Guards against a worker over its capacity: the runs of a job that has ended still take room, though its demands are not stored any
// more (pattern: jobs are cancelled just before the leader changes).
TEST(CellSchedulerTakeover, StartsNothingBesideRunsOfAJobThatHasEnded)
{
    FakeCell cell(1);
    cell.lead();
    cell.submit(cellJob("ended", 4, 1000, Duration(20000)));
    cell.run(Duration(500));
    cell.storedProgress[JobId("ended")].finalState = CellJobState::Cancelled;
    cell.lead(2);
    cell.submit(cellJob("next", 4, 1000, Duration(500)));
    cell.run(Duration(3000));
    NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("next") == CellJobState::Succeeded);
}

// Guards against failures that are counted twice and end a job too early.
TEST(CellSchedulerTakeover, CountsAFailureOnceThoughTwoLeadersSeeIt)
{
    FakeCell cell(2);
    cell.lead();
    cell.submit(cellJob("job", 1, 1000, Duration(1000)));
    cell.run(Duration(400));
    FakeCellWorker &holder = cell.worker(0).running.empty() ? cell.worker(1) : cell.worker(0);
    holder.end(holder.running.begin()->first, RunEnd::Failed);
    cell.run(Duration(20));
    holder.acknowledged = EndNumber();
    cell.lead(2);
    cell.run(Duration(4000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}

// Guards against a workspace above its maximum while a new leader does not know what runs on workers it can't reach.
TEST(CellSchedulerTakeover, CountsWhatMayRunOnWorkersThatDoNotAnswer)
{
    FakeCell cell(2);
    cell.config->workspaces[0].maximum.cpu = MilliCores(4000);
    cell.lead();
    cell.submit(cellJob("job", 4, 1000, Duration(20000)));
    cell.run(Duration(1000));
    const int full = cell.worker(0).running.empty() ? 1 : 0;
    cell.worker(full).reachable = false;
    cell.hidden.insert(cell.worker(full).info.id);
    cell.lead(2);
    cell.submit(cellJob("next", 4, 1000, Duration(20000)));
    cell.run(Duration(3000));
    CHECK_EQUAL(4, cell.runningTasks());
}

// Guards against new work that stands still because one worker is out of reach (pattern: change of leader with a long queue).
TEST(CellSchedulerTakeover, CountsNoMoreThanTheSilentWorkersCanHold)
{
    FakeCell cell(4);
    cell.config->workspaces[0].maximum.cpu = MilliCores(12000);
    cell.lead();
    for (int i = 0; i < 20; ++i) {
        cell.submit(cellJob("old" + std::to_string(i), 4, 1000, Duration(900)));
    }
    cell.run(Duration(800));
    cell.worker(0).crashed = true;
    cell.lead(2);
    cell.submit(cellJob("next", 2, 1000, Duration(500)));
    cell.run(Duration(3000));
    CHECK_TRUE(cell.state("next") == CellJobState::Succeeded);
}

// Guards against jobs that wait for the leases of a worker on which nobody can have started them (pattern: the leader's failure
// domain is cut off, and callers go on submitting).
TEST(CellSchedulerTakeover, StartsAtOnceWhatNoEarlierLeaderCanHaveStarted)
{
    FakeCell cell(4);
    cell.lead();
    cell.run(Duration(200));
    cell.worker(0).crashed = true;
    CellJob job = cellJob("gap", 4, 1000, Duration(500));
    job.submittedUnixMs = cell.time().unixMs;
    cell.storedJobs[job.id] = job;
    cell.unstarted.insert(job.id);
    cell.lead(2);
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("gap") == CellJobState::Succeeded);
}

// Guards against a start that the next leader takes for impossible, since the row of the leader is older than the job's.
TEST(CellSchedulerTakeover, StartsNothingBeforeTheLeadersRowWasRenewed)
{
    FakeCell cell(2);
    cell.lead();
    cell.run(Duration(100));
    cell.renews = false;
    cell.submit(cellJob("job", 1, 1000));
    cell.run(Duration(300));
    CHECK_EQUAL(0, cell.starts);
    CHECK_TRUE(cell.scheduler->wantsRenewal());
    cell.renews = true;
    cell.run(Duration(100));
    CHECK_EQUAL(1, cell.starts);
}

// Guards against a workspace that is held below its maximum for the length of a lease because of tasks that can't exist (pattern:
// change of leader while one worker does not answer and the workspace is at its maximum).
TEST(CellSchedulerTakeover, LeavesTheRoomThatTheMaximumHasBesideWhatWasFound)
{
    FakeCell cell(3);
    cell.config->workspaces[0].maximum.cpu = MilliCores(8000);
    cell.configSince = TimePoint(Duration(1));
    cell.lead();
    cell.submit(cellJob("running", 8, 1000, Duration(2000)));
    cell.run(Duration(1000));
    cell.submit(cellJob("waiting", 8, 1000, Duration(2000)));
    cell.run(Duration(200));
    for (int i = 0; i < 3; ++i) {
        cell.worker(i).crashed = cell.worker(i).running.empty();
    }
    cell.lead(2);
    cell.submit(cellJob("next", 8, 1000, Duration(2000)));
    cell.run(Duration(1800));
    CHECK_EQUAL(8, cell.runningTasks());
    NO_VIOLATION(cell);
}
