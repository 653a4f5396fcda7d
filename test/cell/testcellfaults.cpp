#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(CellSchedulerLateOrders){};

// Guards against a second run of a task whose first start was delayed, not lost.
TEST(CellSchedulerLateOrders, NeverRunsATaskTwiceWhenAStartTakesEffectLate)
{
    for (int delay = 100; delay <= 4000; delay += 300) {
        FakeCell cell(3);
        cell.startLeadership();
        bool first = true;
        cell.onStart = [&](const StartOrder &order) {
            if (first) {
                first = false;
                cell.deliverStartAt(order, cell.now + Duration(delay));
                return false;
            }
            return true;
        };
        cell.submit(cellJob("job", 2, 1000, Duration(1500)));
        cell.run(Duration(12000));
        CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
        CHECK_NO_VIOLATION(cell);
    }
}

// Guards against a task that is never started because it stays assigned to a worker that does not answer starts. The worker looks
// usable, since it answers holds and stops.
TEST(CellSchedulerLateOrders, MovesATaskFromAWorkerThatAnswersNoStart)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.onStart = [](const StartOrder &order) { return order.worker != WorkerId("w0"); };
    cell.submit(cellJob("job", 6, 1000, Duration(300)));
    cell.run(Duration(15000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a queue length that omits jobs whose starts were lost, as when their workers are cut off: no task of them has started.
TEST(CellSchedulerLateOrders, CountsAJobAsQueuedUntilAWorkerHasStartedATask)
{
    FakeCell cell(2);
    cell.startLeadership();
    bool areStartsLost = true;
    cell.onStart = [&](const StartOrder &) { return !areStartsLost; };
    cell.submit(cellJob("job", 2, 1000, Duration(20000)));
    cell.run(Duration(1500));
    CHECK_EQUAL(1, cell.scheduler->queuedByRoute()[RouteName("batch")]);
    areStartsLost = false;
    cell.run(Duration(4000));
    CHECK_TRUE(cell.runningTasks() > 0);
    CHECK_EQUAL(0, cell.scheduler->queuedByRoute()[RouteName("batch")]);
}

// Guards against counting a started job as queued under the next leader.
TEST(CellSchedulerLateOrders, CountsAJobOfAPreviousLeaderAsStarted)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 2, 1000, Duration(6000)));
    cell.run(Duration(1000));
    cell.startLeadership(2);
    cell.run(Duration(1000));
    CHECK_EQUAL(0, cell.scheduler->queuedByRoute()[RouteName("batch")]);
}

TEST_GROUP(CellSchedulerWorkerFaults){};

// Guards against tasks that wait forever for a crashed worker.
TEST(CellSchedulerWorkerFaults, RunsTasksOfACrashedWorkerElsewhereAfterItsLease)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 8, 1000, Duration(3000)));
    cell.run(Duration(500));
    cell.worker(0).crashed = true;
    cell.run(Duration(4000));
    CHECK_TRUE(cell.state("job") == CellJobState::Active);
    cell.run(Duration(9000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against restarting tasks that kept running during a short partition.
TEST(CellSchedulerWorkerFaults, KeepsTasksRunningDuringAShortPartitionOfTheirWorker)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 8, 1000, Duration(3000)));
    cell.run(Duration(1500));
    cell.worker(0).reachable = false;
    cell.unregistered.insert(WorkerId("w0"));
    cell.run(Duration(5000));
    cell.worker(0).reachable = true;
    cell.unregistered.clear();
    cell.run(Duration(2000));
    CHECK_EQUAL(8, cell.starts);
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}

// Guards against tasks that wait for lease expiry although their worker has already restarted.
TEST(CellSchedulerWorkerFaults, RestartsTasksAsSoonAsANewWorkerIncarnationIsSeen)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.submit(cellJob("job", 2, 1000, Duration(1000)));
    cell.run(Duration(500));
    cell.worker(0).restart();
    cell.run(Duration(2500));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against jobs that use up their attempts on one faulty worker.
TEST(CellSchedulerWorkerFaults, FinishesJobsWhileOneWorkerFailsEveryRun)
{
    FakeCell cell(4);
    cell.worker(0).failsAll = true;
    cell.startLeadership();
    for (int i = 0; i < 12; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 1, 1000, Duration(300)));
        cell.run(Duration(100));
    }
    cell.run(Duration(4000));
    for (int i = 0; i < 12; ++i) {
        CHECK_TRUE(cell.state("job" + std::to_string(i)) == CellJobState::Succeeded);
    }
}

// Guards against workers that get no work any more under a leader that has forgotten all of its workers and so had no records to store.
TEST(CellSchedulerWorkerFaults, UsesTheOnlyWorkerAgainAfterItWasForgotten)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.run(Duration(500));
    cell.worker(0).crashed = true;
    cell.run(Duration(10000));
    cell.worker(0).crashed = false;
    cell.worker(0).restart();
    cell.run(Duration(2000));
    cell.submit(cellJob("job", 1, 1000, Duration(500)));
    cell.run(Duration(3000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}

// Guards against unlimited attempts of a job that cannot succeed: every worker fails its task, and the route allows two attempts.
TEST(CellSchedulerWorkerFaults, FailsAJobWhoseTaskUsesUpTheAttemptsOfItsRoute)
{
    FakeCell cell(3);
    for (int i = 0; i < 3; ++i) {
        cell.worker(i).failsAll = true;
    }
    cell.startLeadership();
    cell.submit(cellJob("poison", 1, 1000));
    cell.run(Duration(5000));
    CHECK_TRUE(cell.state("poison") == CellJobState::Failed);
    CHECK_EQUAL(2, cell.starts);
}

// Guards against a task that runs twice because its start reached the worker's next incarnation. Happens if a worker restarts while
// starts are sent to it and the leader learns of the restart later (soak test seeds 106, 110, 113 and 209).
TEST(CellSchedulerWorkerFaults, NeverRunsATaskTwiceWhenItsStartReachesTheNextIncarnation)
{
    FakeCell cell(3);
    cell.startLeadership();
    cell.run(Duration(300));
    for (int i = 0; i < 12; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 3, 1000, Duration(400)));
        cell.worker(i % 3).restart();
        cell.run(Duration(5 + i % 4 * 5));
    }
    cell.run(Duration(6000));
    CHECK_NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("job11") == CellJobState::Succeeded);
}

// Guards against starts on a draining worker.
TEST(CellSchedulerWorkerFaults, SendsNoNewWorkToADrainingWorker)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.run(Duration(300));
    cell.worker(0).info.draining = true;
    cell.run(Duration(600));
    cell.submit(cellJob("job", 4, 1000, Duration(2000)));
    cell.run(Duration(500));
    CHECK_TRUE(cell.worker(0).running.empty());
}

// Guards against tasks that are lost with their worker and have to wait for lease expiry. Happens if workers are removed at short
// notice.
TEST(CellSchedulerWorkerFaults, MovesTasksThatCannotEndBeforeTheirWorkerLeaves)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 4, 1000, Duration(5000)));
    cell.run(Duration(700));
    const int holder = cell.worker(0).running.empty() ? 1 : 0;
    cell.worker(holder).info.draining = true;
    cell.worker(holder).info.remaining = Duration(1800);
    cell.run(Duration(1200));
    CHECK_TRUE(cell.worker(holder).running.empty());
    CHECK_EQUAL(4U, cell.worker(1 - holder).running.size());
    CHECK_NO_VIOLATION(cell);
}

// Guards against stopping tasks on a draining worker although they can end before it leaves.
TEST(CellSchedulerWorkerFaults, KeepsTasksThatCanEndBeforeTheirWorkerLeaves)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 4, 1000, Duration(1000)));
    cell.run(Duration(700));
    const int holder = cell.worker(0).running.empty() ? 1 : 0;
    cell.worker(holder).info.draining = true;
    cell.worker(holder).info.remaining = Duration(1800);
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_EQUAL(4, cell.starts);
}

// Guards against a gang that waits for lease expiry because one member was lost with its worker. Happens if workers are removed at
// short notice.
TEST(CellSchedulerWorkerFaults, RestartsAGangBeforeTheDrainingWorkerOfAMemberLeaves)
{
    FakeCell cell(4);
    cell.startLeadership();
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
    CHECK_NO_VIOLATION(cell);
}

TEST_GROUP(CellSchedulerTakeover){};

// Guards against a new leader that starts tasks that are still running. Happens if it places stored jobs before the workers have
// reported their runs.
TEST(CellSchedulerTakeover, AdoptsRunningTasksAndLosesNoJob)
{
    FakeCell cell(3);
    cell.startLeadership();
    for (int i = 0; i < 5; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 3, 1000, Duration(1500)));
    }
    cell.run(Duration(900));
    cell.startLeadership(2);
    cell.run(Duration(6000));
    for (int i = 0; i < 5; ++i) {
        CHECK_TRUE(cell.state("job" + std::to_string(i)) == CellJobState::Succeeded);
    }
    CHECK_NO_VIOLATION(cell);
}

// Guards against a second run of a task that still runs on a worker the new leader cannot reach.
TEST(CellSchedulerTakeover, WaitsForTheLeasesOfUnreachableWorkers)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 6, 1000, Duration(20000)));
    cell.run(Duration(1000));
    cell.worker(0).reachable = false;
    cell.unregistered.insert(WorkerId("w0"));
    cell.startLeadership(2);
    cell.run(Duration(30000));
    CHECK_NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("job") == CellJobState::Active || cell.state("job") == CellJobState::Succeeded);
}

// Guards against exceeding a worker's capacity: runs of a job that has ended still use resources, although the job's demands are no
// longer stored. Happens if jobs are cancelled just before the leader changes.
TEST(CellSchedulerTakeover, StartsNothingOnAWorkerWithRunsOfUnknownDemand)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.submit(cellJob("ended", 4, 1000, Duration(20000)));
    cell.run(Duration(500));
    cell.storedProgress[JobId("ended")].finalState = CellJobState::Cancelled;
    cell.startLeadership(2);
    cell.submit(cellJob("next", 4, 1000, Duration(500)));
    cell.run(Duration(3000));
    CHECK_NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("next") == CellJobState::Succeeded);
}

// Guards against counting one failure twice, which would fail a job too early. Happens if the failure is stored but not acknowledged
// when the leader changes: the worker reports it to the next leader as well.
TEST(CellSchedulerTakeover, CountsAFailureOnceIfItIsReportedToTwoLeaders)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 1, 1000, Duration(1000)));
    cell.run(Duration(400));
    FakeCellWorker &holder = cell.worker(0).running.empty() ? cell.worker(1) : cell.worker(0);
    holder.end(holder.running.begin()->first, RunEnd::Failed);
    cell.run(Duration(20));
    holder.acknowledged = EndNumber();
    cell.startLeadership(2);
    cell.run(Duration(4000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}

// Guards against exceeding a workspace's maximum while a new leader does not know what runs on unreachable workers.
TEST(CellSchedulerTakeover, CountsUnreportedTasksTowardsTheMaximum)
{
    FakeCell cell(2);
    cell.config->workspaces[0].maximum.cpu = MilliCores(4000);
    cell.startLeadership();
    cell.submit(cellJob("job", 4, 1000, Duration(20000)));
    cell.run(Duration(1000));
    const int full = cell.worker(0).running.empty() ? 1 : 0;
    cell.worker(full).reachable = false;
    cell.unregistered.insert(cell.worker(full).info.id);
    cell.startLeadership(2);
    cell.submit(cellJob("next", 4, 1000, Duration(20000)));
    cell.run(Duration(3000));
    CHECK_EQUAL(4, cell.runningTasks());
}

// Guards against holding back new jobs because one worker is unreachable. Happens if the leader changes while many jobs wait.
TEST(CellSchedulerTakeover, LimitsUnreportedTasksToTheCapacityOfUnresponsiveWorkers)
{
    FakeCell cell(4);
    cell.config->workspaces[0].maximum.cpu = MilliCores(12000);
    cell.startLeadership();
    for (int i = 0; i < 20; ++i) {
        cell.submit(cellJob("old" + std::to_string(i), 4, 1000, Duration(900)));
    }
    cell.run(Duration(800));
    cell.worker(0).crashed = true;
    cell.startLeadership(2);
    cell.submit(cellJob("next", 2, 1000, Duration(500)));
    cell.run(Duration(3000));
    CHECK_TRUE(cell.state("next") == CellJobState::Succeeded);
}

// Guards against every older job waiting for the longest lease after a change of leader, because workers that left before it are still
// in the stored records.
TEST(CellSchedulerTakeover, DoesNotWaitForWorkersThatHadLeft)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.run(Duration(200));
    cell.worker(0).info.draining = true;
    cell.worker(0).info.remaining = Duration(600);
    cell.run(Duration(700));
    cell.worker(0).crashed = true;
    cell.run(Duration(700));
    cell.submit(cellJob("blocking", 4, 1000, Duration(2000)));
    cell.submit(cellJob("old", 2, 1000, Duration(500)));
    cell.run(Duration(200));
    cell.cancel("blocking");
    cell.startLeadership(2);
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("old") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a worker that restarts without ever answering and keeps the jobs of the previous leader from starting after all leases of that
// leader have expired.
TEST(CellSchedulerTakeover, StartsPreviousJobsWhileAWorkerRestartsWithoutAnswering)
{
    FakeCell cell(8);
    cell.startLeadership();
    cell.run(Duration(500));
    CellJob old = cellJob("old", 1, 500);
    old.steps[0].requiredLabel = "late"; // Of no worker yet.
    cell.submit(old);
    cell.run(Duration(500));
    cell.worker(7).reachable = false; // Keeps the reconciliation from ending at once.
    cell.startLeadership(2);
    cell.worker(5).info.labels.emplace_back("late");
    cell.worker(0).info.labels.emplace_back("cut");
    cell.neverStarted.insert(JobId("new"));
    cell.run(Duration(1600));
    cell.onStart = [](const StartOrder &order) { return order.worker != WorkerId("w0"); };
    CellJob fresh = cellJob("new", 1, 500); // Its start may have reached any of the next incarnations of w0.
    fresh.steps[0].requiredLabel = "cut";
    cell.submit(fresh);
    cell.run(Duration(100));
    cell.worker(0).reachable = false;
    for (int i = 0; i < 8; ++i) {
        cell.worker(0).restart();
        cell.run(Duration(3000));
    }
    CHECK_TRUE(cell.state("old") == CellJobState::Succeeded);
}

// Guards against every older job waiting for the longest lease after a change of leader, because some workers had crashed before it. Only
// jobs that had runs on these workers have to wait.
TEST(CellSchedulerTakeover, HoldsBackOnlyTheJobsThatASilentWorkerMayRun)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("lost", 4, 1000, Duration(2000)));
    cell.run(Duration(700));
    const int holder = cell.worker(0).running.empty() ? 1 : 0;
    cell.worker(holder).reachable = false;
    cell.unregistered.insert(cell.worker(holder).info.id);
    cell.run(Duration(800));
    cell.submit(cellJob("blocking", 4, 1000, Duration(20000)));
    cell.run(Duration(200));
    cell.submit(cellJob("old", 2, 1000, Duration(500)));
    cell.run(Duration(200));
    cell.cancel("blocking");
    cell.startLeadership(2);
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("old") == CellJobState::Succeeded);
    CHECK_TRUE(cell.state("lost") == CellJobState::Active || cell.state("lost") == CellJobState::Pending);
    cell.run(Duration(10000));
    CHECK_TRUE(cell.state("lost") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a second run of a task: the next leader must not rely on a record of a silent worker that has got new work since.
TEST(CellSchedulerTakeover, SendsNoNewWorkToARecordedWorkerBeforeItsRecordIsReplaced)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.run(Duration(300));
    cell.worker(0).reachable = false;
    cell.run(Duration(900));
    cell.storeReachable = false;
    cell.worker(0).reachable = true;
    cell.submit(cellJob("job", 1, 1000, Duration(500)));
    cell.run(Duration(1000));
    CHECK_EQUAL(0, cell.starts);
    cell.storeReachable = true;
    cell.run(Duration(1000));
    CHECK_EQUAL(1, cell.starts);
}

// Guards against jobs that wait for leases of unreachable workers although no leader can have started them there. Happens if the
// leader's failure domain is partitioned while callers keep submitting.
TEST(CellSchedulerTakeover, StartsJobsAtOnceThatNoPreviousLeaderCanHaveStarted)
{
    FakeCell cell(4);
    cell.startLeadership();
    cell.run(Duration(200));
    cell.worker(0).crashed = true;
    CellJob job = cellJob("gap", 4, 1000, Duration(500));
    job.submittedUnixMs = cell.time().unixMs;
    cell.storedJobs[job.id] = job;
    cell.neverStarted.insert(job.id);
    cell.startLeadership(2);
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("gap") == CellJobState::Succeeded);
}

// Guards against two runs of a task after a change of leader. The next leader assumes that a job was never started if its row is newer
// than the last write of the leader's row, so a leader must renew its row before it starts the job.
TEST(CellSchedulerTakeover, StartsAJobOnlyAfterARenewalOfTheLeadersRow)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.run(Duration(100));
    cell.renewalsSucceed = false;
    cell.submit(cellJob("job", 1, 1000));
    cell.run(Duration(300));
    CHECK_EQUAL(0, cell.starts);
    CHECK_TRUE(cell.scheduler->needsLeadershipRenewal());
    cell.renewalsSucceed = true;
    cell.run(Duration(100));
    CHECK_EQUAL(1, cell.starts);
}

// Guards against keeping a workspace below its maximum until leases expire because of tasks that cannot exist. Happens if the leader
// changes while one worker does not answer and the workspace is at its maximum.
TEST(CellSchedulerTakeover, LimitsUnreportedTasksToTheMaximumMinusDiscoveredRuns)
{
    FakeCell cell(3);
    cell.config->workspaces[0].maximum.cpu = MilliCores(8000);
    cell.configSince = TimePoint(Duration(1)); // Longer ago than minStableMaximumTime; zero would mean the start of the leadership.
    cell.startLeadership();
    cell.submit(cellJob("running", 8, 1000, Duration(2000)));
    cell.run(Duration(1000));
    cell.submit(cellJob("waiting", 8, 1000, Duration(2000)));
    cell.run(Duration(200));
    // Crashes the worker without runs: best-fit placement has put the eight tasks on two of the three workers, which report them.
    for (int i = 0; i < 3; ++i) {
        cell.worker(i).crashed = cell.worker(i).running.empty();
    }
    cell.startLeadership(2);
    cell.submit(cellJob("next", 8, 1000, Duration(2000)));
    cell.run(Duration(1800));
    CHECK_EQUAL(8, cell.runningTasks());
    CHECK_NO_VIOLATION(cell);
}
