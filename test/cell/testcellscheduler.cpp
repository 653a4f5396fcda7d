#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(CellSchedulerNormalOperation){};

// Guards against admitted jobs that never end and tasks that are started more than once, without any fault in the cell: there are 40
// tasks and capacity for 16 at a time.
TEST(CellSchedulerNormalOperation, RunsEveryTaskOnceAndEndsTheJob)
{
    FakeCell cell(4);
    cell.startLeadership();
    for (int i = 0; i < 10; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 4, 1000));
    }
    cell.run(Duration(8000));
    for (int i = 0; i < 10; ++i) {
        CHECK_TRUE(cell.state("job" + std::to_string(i)) == CellJobState::Succeeded);
    }
    CHECK_EQUAL(40, cell.starts);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a step that starts while a step it depends on still runs.
TEST(CellSchedulerNormalOperation, StartsAStepOnlyAfterTheStepsBeforeIt)
{
    FakeCell cell(4);
    cell.startLeadership();
    CellJob job = cellJob("chain", 2, 1000);
    StepSpec second = job.steps[0];
    second.after = {0};
    job.steps.push_back(second);
    cell.submit(job);
    bool tooEarly = false;
    cell.onStart = [&](const StartOrder &order) {
        tooEarly = tooEarly || (order.task.step.step == 1 && cell.runningTasks() > 1);
        return true;
    };
    cell.run(Duration(4000));
    CHECK_FALSE(tooEarly);
    CHECK_TRUE(cell.state("chain") == CellJobState::Succeeded);
}

// Guards against showing a final state that is not stored yet and would be lost if the leader failed.
TEST(CellSchedulerNormalOperation, ShowsAFinalStateOnlyOnceItIsStored)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.submit(cellJob("job", 1, 1000, Duration(200)));
    cell.run(Duration(150));
    cell.storeReachable = false;
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("job") == CellJobState::Active);
    CHECK_EQUAL(0U, cell.worker(0).acknowledged.value() + cell.worker(1).acknowledged.value());
}

// Guards against tasks on a worker that the next leader would not know of.
TEST(CellSchedulerNormalOperation, UsesAWorkerOnlyOnceItsIdIsStored)
{
    FakeCell cell(2);
    cell.storeReachable = false;
    cell.startLeadership();
    cell.submit(cellJob("job", 1, 1000));
    cell.run(Duration(2000));
    CHECK_EQUAL(0, cell.starts);
}

TEST_GROUP(CellSchedulerLimits){};

// Guards against exceeding a workspace's maximum, which happens if only the capacity of the workers limits its tasks.
TEST(CellSchedulerLimits, KeepsAWorkspaceWithinItsMaximum)
{
    FakeCell cell(4);
    cell.config->workspaces[0].maximum.cpu = MilliCores(3000);
    cell.startLeadership();
    cell.submit(cellJob("job", 8, 1000));
    int peak = 0;
    for (int i = 0; i < 400; ++i) {
        cell.run(Duration(5));
        peak = std::max(peak, cell.runningTasks());
    }
    CHECK_EQUAL(3, peak);
}

// Guards against more tasks of a step on one worker than maxPerWorker allows: each worker has capacity for all of them, and placement
// prefers the fullest one.
TEST(CellSchedulerLimits, LimitsTheTasksOfAStepPerWorker)
{
    FakeCell cell(4, 8000);
    cell.startLeadership();
    CellJob job = cellJob("job", 4, 1000);
    job.steps[0].maxPerWorker = 1;
    cell.submit(job);
    cell.run(Duration(500));
    for (int i = 0; i < 4; ++i) {
        CHECK_EQUAL(1U, cell.worker(i).running.size());
    }
}

// Guards against placing a task on a worker without the required label, although such workers have enough capacity.
TEST(CellSchedulerLimits, PlacesOnlyOnWorkersWithTheRequiredLabel)
{
    FakeCell cell(4);
    cell.worker(2).info.labels = {"b", "r1"};
    cell.startLeadership();
    CellJob job = cellJob("job", 2, 1000);
    job.steps[0].requiredLabel = "b";
    cell.submit(job);
    cell.run(Duration(300));
    CHECK_EQUAL(2U, cell.worker(2).running.size());
}

// Guards against a workspace that starves the others by exceeding its rate.
TEST(CellSchedulerLimits, RefusesAWorkspaceAboveItsRateWhileTheCellIsBusy)
{
    FakeCell cell(1);
    cell.config->workspaces[0].weight = 2;
    cell.startLeadership();
    cell.run(Duration(500));
    CHECK_TRUE(cell.submit(cellJob("a", 8, 1000, Duration(4000))) == AdmissionVerdict::Admitted);
    CHECK_TRUE(cell.submit(cellJob("b", 8, 1000, Duration(4000))) == AdmissionVerdict::Admitted);
    CHECK_TRUE(cell.submit(cellJob("c", 8, 1000, Duration(4000))) == AdmissionVerdict::OverRate);
}

// Guards against admitting a job that cannot end in time because a large job is queued ahead of it.
TEST(CellSchedulerLimits, RefusesAJobThatWouldMissItsFirmDeadline)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.run(Duration(500));
    CHECK_TRUE(cell.submit(cellJob("large", 200, 4000, Duration(1000))) == AdmissionVerdict::Admitted);
    CHECK_TRUE(cell.submit(cellJob("next", 1, 1000, Duration(1000))) == AdmissionVerdict::Busy);
}

TEST_GROUP(CellSchedulerGangs){};

// Guards against gang members that occupy workers while other members cannot be placed.
TEST(CellSchedulerGangs, StartsAllMembersWithOneRunNumberOrNone)
{
    FakeCell cell(3);
    cell.startLeadership();
    CellJob job = cellJob("gang", 6, 2000);
    job.steps[0].gang = true;
    cell.submit(job);
    std::set<RunNumber> runs;
    cell.onStart = [&](const StartOrder &order) {
        runs.insert(order.run);
        return true;
    };
    cell.run(Duration(300));
    CHECK_EQUAL(6, cell.runningTasks());
    CHECK_EQUAL(1U, runs.size());
}

// Guards against a gang that starves because smaller tasks use all capacity that becomes free.
TEST(CellSchedulerGangs, ReservesCapacityForAGangWhileSmallTasksKeepArriving)
{
    FakeCell cell(4);
    cell.startLeadership();
    for (int i = 0; i < 16; ++i) {
        cell.submit(cellJob("first" + std::to_string(i), 1, 1000, Duration(400 + 50 * i)));
    }
    cell.run(Duration(100));
    CellJob gang = cellJob("gang", 4, 4000, Duration(500));
    gang.steps[0].gang = true;
    gang.route = RouteName("urgent");
    cell.submit(gang);
    for (int i = 0; i < 400; ++i) {
        cell.submit(cellJob("small" + std::to_string(i), 1, 1000, Duration(900)));
        cell.run(Duration(10));
    }
    CHECK_TRUE(cell.state("gang") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against restarting a gang while a member of its previous run still runs. Happens if one member fails before the others end.
TEST(CellSchedulerGangs, StopsTheOtherMembersBeforeAGangRestarts)
{
    FakeCell cell(3);
    cell.startLeadership();
    CellJob job = cellJob("gang", 3, 3000, Duration(1500));
    job.steps[0].gang = true;
    cell.submit(job);
    cell.run(Duration(400));
    cell.worker(1).end(TaskRef{StepRef{JobId("gang"), 0, 0}, cell.worker(1).running.begin()->first.index}, RunEnd::Failed);
    cell.run(Duration(6000));
    CHECK_TRUE(cell.state("gang") == CellJobState::Succeeded);
    CHECK_EQUAL(6, cell.starts);
    CHECK_NO_VIOLATION(cell);
}

TEST_GROUP(CellSchedulerCancels){};

// Guards against tasks that keep running, or are started, after their job was cancelled. The worker has capacity for 4 of the 8 tasks,
// so some run and some wait at that time.
TEST(CellSchedulerCancels, StopsRunningTasksAndStartsNoMore)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.submit(cellJob("job", 8, 1000, Duration(5000)));
    cell.run(Duration(500));
    cell.cancel("job");
    cell.run(Duration(300));
    CHECK_EQUAL(0, cell.runningTasks());
    CHECK_EQUAL(4, cell.starts);
    CHECK_TRUE(cell.state("job") == CellJobState::Cancelled);
}

TEST_GROUP(CellSchedulerAdvice){};

// Guards against starts on workers that the policy service does not allow.
TEST(CellSchedulerAdvice, StartsOnlyOnWorkersThatThePolicyAllows)
{
    FakeCell cell(6);
    cell.addRoute("advised", 1, AdviceSettings{40, 1, Duration(2500)});
    cell.allowedWorkers = {WorkerId("w4"), WorkerId("w5")};
    cell.startLeadership();
    cell.submit(cellJob("job", 4, 1000, Duration(800), "advised"));
    cell.run(Duration(600));
    CHECK_EQUAL(4U, cell.worker(4).running.size() + cell.worker(5).running.size());
}

// Guards against a job that never starts because its tickets expired while it waited for capacity.
TEST(CellSchedulerAdvice, RenewsTicketsThatExpiredWhileTheStepWaited)
{
    FakeCell cell(1);
    cell.addRoute("advised", 1, AdviceSettings{40, 1, Duration(2500)});
    cell.startLeadership();
    cell.submit(cellJob("long", 4, 1000, Duration(5000)));
    cell.run(Duration(200));
    cell.submit(cellJob("job", 1, 1000, Duration(300), "advised"));
    cell.run(Duration(7000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_TRUE(cell.adviceCalls >= 2);
}

// Guards against gangs whose tickets are not renewed because gangs ahead of them wait for capacity. Happens with many gangs on a full
// cell.
TEST(CellSchedulerAdvice, RenewsTicketsOfGangsThatFitBehindGangsThatDoNot)
{
    FakeCell cell(12);
    cell.addRoute("advised", 1, AdviceSettings{100, 1, Duration(2500)});
    cell.duration = [](const StartOrder &order) {
        const bool isShort = order.task.step.job == JobId("filler") && order.task.index < 4;
        return order.task.step.job == JobId("filler") ? Duration(isShort ? 4000 : 12000) : Duration(500);
    };
    cell.startLeadership();
    cell.submit(cellJob("filler", 24, 2000, Duration(12000)));
    cell.run(Duration(300));
    for (int i = 0; i < 6; ++i) {
        CellJob wide = cellJob("a" + std::to_string(i), 12, 4000, Duration(500), "advised");
        wide.steps[0].gang = true;
        cell.submit(wide);
    }
    CellJob small = cellJob("b", 2, 2000, Duration(500), "advised");
    small.steps[0].gang = true;
    cell.submit(small);
    cell.run(Duration(6000));
    CHECK_TRUE(cell.state("b") == CellJobState::Succeeded);
}

// Guards against a gang that waits for its allowed workers while other workers are idle. Happens with a large gang on a
// large cell.
TEST(CellSchedulerAdvice, AsksAboutFurtherWorkersWhenTheAllowedOnesAreFull)
{
    FakeCell cell(130);
    cell.addRoute("advised", 1, AdviceSettings{100, 1, Duration(2500)});
    // 56 workers are allowed, and each fits one task. The first call names at most 100 of the 130 workers, about 43 allowed ones, which
    // are too few for the gang of 45.
    for (int i = 0; i < 130; ++i) {
        if (i % 3 == 0 || i > 110) {
            cell.allowedWorkers.insert(cell.worker(i).info.id);
        }
    }
    cell.startLeadership();
    cell.run(Duration(300));
    CellJob wide = cellJob("wide", 45, 4000, Duration(500), "advised");
    wide.steps[0].gang = true;
    cell.submit(wide);
    cell.run(Duration(4000));
    CHECK_TRUE(cell.state("wide") == CellJobState::Succeeded);
}

TEST_GROUP(CellSchedulerLoad){};

// Guards against urgent jobs that wait behind batch jobs submitted earlier. Happens with a burst of urgent jobs on
// a busy cell.
TEST(CellSchedulerLoad, StartsUrgentJobsBeforeBatchJobsThatWaitLonger)
{
    FakeCell cell(2);
    cell.startLeadership();
    for (int i = 0; i < 8; ++i) {
        cell.submit(cellJob("batch" + std::to_string(i), 4, 1000, Duration(700)));
    }
    cell.run(Duration(200));
    cell.submit(cellJob("urgent", 4, 1000, Duration(300), "urgent"));
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("urgent") == CellJobState::Succeeded);
}

// Guards against a backlog of late jobs that delays new ones beyond their objective. Happens after a burst far above the
// cell's capacity.
TEST(CellSchedulerLoad, ServesNewJobsOnTimeWhileABacklogIsPastItsFirmDeadline)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.run(Duration(200));
    for (int i = 0; i < 60; ++i) {
        cell.submit(cellJob("old" + std::to_string(i), 2, 1000, Duration(700)));
    }
    // With FakeCell's stretch of 3 and target of 1000 ms, the old jobs' firm deadline is 9300 ms and the new job's objective 3100 ms.
    cell.run(Duration(9500));
    cell.submit(cellJob("new", 2, 1000, Duration(700)));
    cell.run(Duration(2600));
    CHECK_TRUE(cell.state("new") == CellJobState::Succeeded);
}

// Guards against admitting jobs that the leader cannot start in time. Happens with a burst while one workspace submits most jobs.
TEST(CellSchedulerLoad, RefusesJobsThatCannotBeStartedInTime)
{
    FakeCell cell(400);
    cell.config->workspaces[0].weight = 100000;
    cell.addRoute("advised", 0, AdviceSettings{400, 1, Duration(2500)});
    cell.startLeadership();
    cell.run(Duration(300));
    int refused = 0;
    for (int i = 0; i < 300; ++i) {
        refused += cell.submit(cellJob("job" + std::to_string(i), 4, 1000, Duration(300), "advised")) == AdmissionVerdict::Busy ? 1 : 0;
        cell.run(Duration(5));
    }
    CHECK_TRUE(refused > 0);
}

// Guards against overloading a slow policy service with renewals of tickets that are not used. Happens with many gangs on a full cell.
TEST(CellSchedulerLoad, RenewsTicketsLessOftenForGangsThatDoNotStart)
{
    FakeCell cell(6);
    cell.addRoute("advised", 1, AdviceSettings{300, 1, Duration(1500)});
    cell.duration = [](const StartOrder &order) { return order.task.step.job == JobId("filler") ? Duration(20000) : Duration(500); };
    cell.startLeadership();
    cell.submit(cellJob("filler", 6, 3500, Duration(400)));
    cell.run(Duration(300));
    for (int i = 0; i < 5; ++i) {
        CellJob gang = cellJob("gang" + std::to_string(i), 6, 1000, Duration(500), "advised");
        gang.steps[0].gang = true;
        cell.submit(gang);
    }
    cell.run(Duration(15000));
    // Eight calls per gang: the first one and seven renewals, with pauses of 0.4, 0.8, 1.6 and then 3.2 s.
    CHECK_TRUE(cell.adviceCalls <= 5 * 8);
}

// Guards against a gang that never starts although most of the cell is free: once its result was worthless, every newer gang came
// before it.
TEST(CellSchedulerLoad, StartsAStarvingGangWhileTheCellHasRoom)
{
    FakeCell cell(10);
    cell.addRoute("tight", 1);
    cell.config->routes.back().stretch = 1;
    cell.config->routes.back().targetLatency = Duration(0);
    cell.startLeadership();
    cell.run(Duration(300));
    cell.submit(cellJob("filler", 10, 4000, Duration(2000)));
    cell.run(Duration(100));
    CellJob starving = cellJob("starving", 7, 4000, Duration(500), "tight");
    starving.steps[0].gang = true;
    cell.storedJobs[starving.id] = starving;
    cell.scheduler->onJobStored(starving, cell.time());
    cell.run(Duration(1600));
    // Four of the ten workers are always busy with newer gangs.
    for (int i = 0; i < 40; ++i) {
        CellJob newer = cellJob("newer" + std::to_string(i), 2, 4000, Duration(600));
        newer.steps[0].gang = true;
        cell.submit(newer);
        cell.run(Duration(300));
    }
    CHECK_TRUE(cell.state("starving") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a step with many tasks that gets only a few tickets at a time after its first ones have expired. Happens with a wide
// batch job on a large cell.
TEST(CellSchedulerLoad, RenewsEnoughTicketsForAWideStep)
{
    FakeCell cell(60);
    cell.addRoute("advised", 2, AdviceSettings{200, 1, Duration(1500)});
    cell.duration = [](const StartOrder &order) { return order.task.step.job == JobId("filler") ? Duration(4000) : Duration(2000); };
    cell.startLeadership();
    cell.submit(cellJob("filler", 60, 3500, Duration(400)));
    cell.run(Duration(300));
    cell.submit(cellJob("wide", 60, 3000, Duration(2000), "advised"));
    // The fillers end after about 4 s. Tasks that start at once then still run at 6 s, but with eight renewed tickets at a time too few of
    // them have started by then.
    cell.run(Duration(5700));
    CHECK_TRUE(cell.runningTasks() >= 50);
}
