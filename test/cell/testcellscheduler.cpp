#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(CellSchedulerCalm){};

// Guards against jobs that are admitted and never end.
TEST(CellSchedulerCalm, RunsEveryTaskOnceAndEndsTheJob)
{
    FakeCell cell(4);
    cell.lead();
    for (int i = 0; i < 10; ++i) {
        cell.submit(cellJob("job" + std::to_string(i), 4, 1000));
    }
    cell.run(Duration(8000));
    for (int i = 0; i < 10; ++i) {
        CHECK_TRUE(cell.state("job" + std::to_string(i)) == CellJobState::Succeeded);
    }
    CHECK_EQUAL(40, cell.starts);
    NO_VIOLATION(cell);
}

// Guards against a step that starts while an earlier one still runs.
TEST(CellSchedulerCalm, StartsAStepOnlyAfterTheStepsBeforeIt)
{
    FakeCell cell(4);
    cell.lead();
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

// Guards against a state that a failure right afterwards could take back.
TEST(CellSchedulerCalm, ShowsAJobAsEndedOnlyOnceThatIsStored)
{
    FakeCell cell(2);
    cell.lead();
    cell.submit(cellJob("job", 1, 1000, Duration(200)));
    cell.run(Duration(150));
    cell.storeAnswers = false;
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("job") == CellJobState::Active);
    CHECK_EQUAL(0U, cell.worker(0).acknowledged.value() + cell.worker(1).acknowledged.value());
}

// Guards against tasks on a worker that a later leader would not look at.
TEST(CellSchedulerCalm, UsesAWorkerOnlyOnceItsIdIsStored)
{
    FakeCell cell(2);
    cell.storeAnswers = false;
    cell.lead();
    cell.submit(cellJob("job", 1, 1000));
    cell.run(Duration(2000));
    CHECK_EQUAL(0, cell.starts);
}

TEST_GROUP(CellSchedulerLimits){};

// Guards against a workspace above its upper limit.
TEST(CellSchedulerLimits, KeepsAWorkspaceWithinItsMaximum)
{
    FakeCell cell(4);
    cell.config->workspaces[0].maximum.cpu = MilliCores(3000);
    cell.lead();
    cell.submit(cellJob("job", 8, 1000));
    int most = 0;
    for (int i = 0; i < 400; ++i) {
        cell.run(Duration(5));
        most = std::max(most, cell.runningTasks());
    }
    CHECK_EQUAL(3, most);
}

// Guards against two tasks of a step on one worker although the step forbids it.
TEST(CellSchedulerLimits, SpreadsAStepOverWorkersWhenItAsksForThat)
{
    FakeCell cell(4, 8000);
    cell.lead();
    CellJob job = cellJob("job", 4, 1000);
    job.steps[0].maxPerWorker = 1;
    cell.submit(job);
    cell.run(Duration(500));
    for (int i = 0; i < 4; ++i) {
        CHECK_EQUAL(1U, cell.worker(i).running.size());
    }
}

// Guards against a task on a worker without the label that it needs.
TEST(CellSchedulerLimits, PlacesOnlyOnWorkersWithTheRequiredLabel)
{
    FakeCell cell(4);
    cell.worker(2).info.labels = {"b", "r1"};
    cell.lead();
    CellJob job = cellJob("job", 2, 1000);
    job.steps[0].requiredLabel = "b";
    cell.submit(job);
    cell.run(Duration(300));
    CHECK_EQUAL(2U, cell.worker(2).running.size());
}

// Guards against one workspace that crowds out the others by sending more than its share.
TEST(CellSchedulerLimits, RefusesAWorkspaceAboveItsRateWhileTheCellIsBusy)
{
    FakeCell cell(1);
    cell.config->workspaces[0].weight = 2;
    cell.lead();
    cell.run(Duration(500));
    CHECK_TRUE(cell.submit(cellJob("a", 8, 1000, Duration(4000))) == AdmissionVerdict::Admitted);
    CHECK_TRUE(cell.submit(cellJob("b", 8, 1000, Duration(4000))) == AdmissionVerdict::Admitted);
    CHECK_TRUE(cell.submit(cellJob("c", 8, 1000, Duration(4000))) == AdmissionVerdict::OverRate);
}

// Guards against a caller that waits for a job that can't end in time.
TEST(CellSchedulerLimits, RefusesAJobThatWouldWaitPastItsLateLimit)
{
    FakeCell cell(1);
    cell.lead();
    cell.run(Duration(500));
    CHECK_TRUE(cell.submit(cellJob("large", 200, 4000, Duration(1000))) == AdmissionVerdict::Admitted);
    CHECK_TRUE(cell.submit(cellJob("next", 1, 1000, Duration(1000))) == AdmissionVerdict::Busy);
}

TEST_GROUP(CellSchedulerGangs){};

// Guards against members that wait on the workers for others that have no room.
TEST(CellSchedulerGangs, StartsAllMembersWithOneRunNumberOrNone)
{
    FakeCell cell(3);
    cell.lead();
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

// Guards against a gang that never starts because smaller work takes each gap.
TEST(CellSchedulerGangs, ReservesRoomForAGangWhileSmallTasksKeepComing)
{
    FakeCell cell(4);
    cell.lead();
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
    NO_VIOLATION(cell);
}

// Guards against a gang that is started again while a member of its last run still runs.
TEST(CellSchedulerGangs, StopsTheOtherMembersBeforeItStartsAgain)
{
    FakeCell cell(3);
    cell.lead();
    CellJob job = cellJob("gang", 3, 3000, Duration(1500));
    job.steps[0].gang = true;
    cell.submit(job);
    cell.run(Duration(400));
    cell.worker(1).end(TaskRef{StepRef{JobId("gang"), 0, 0}, cell.worker(1).running.begin()->first.index}, RunEnd::Failed);
    cell.run(Duration(6000));
    CHECK_TRUE(cell.state("gang") == CellJobState::Succeeded);
    CHECK_EQUAL(6, cell.starts);
    NO_VIOLATION(cell);
}

TEST_GROUP(CellSchedulerCancels){};

// Guards against tasks that run on after their job was cancelled.
TEST(CellSchedulerCancels, StopsRunningTasksAndStartsNoMore)
{
    FakeCell cell(1);
    cell.lead();
    cell.submit(cellJob("job", 8, 1000, Duration(5000)));
    cell.run(Duration(500));
    cell.cancel("job");
    cell.run(Duration(300));
    CHECK_EQUAL(0, cell.runningTasks());
    CHECK_EQUAL(4, cell.starts);
    CHECK_TRUE(cell.state("job") == CellJobState::Cancelled);
}

TEST_GROUP(CellSchedulerAdvice){};

// Guards against starts on workers that the policy does not allow.
TEST(CellSchedulerAdvice, StartsOnlyOnWorkersThatThePolicyAllows)
{
    FakeCell cell(6);
    cell.addRoute("advised", 1, AdviceSettings{40, 1, Duration(2500)});
    cell.goodWorkers = {WorkerId("w4"), WorkerId("w5")};
    cell.lead();
    cell.submit(cellJob("job", 4, 1000, Duration(800), "advised"));
    cell.run(Duration(600));
    CHECK_EQUAL(4U, cell.worker(4).running.size() + cell.worker(5).running.size());
}

// Guards against a job that waits for room longer than its tickets last and then never starts.
TEST(CellSchedulerAdvice, RenewsTicketsThatRanOutWhileTheStepWaited)
{
    FakeCell cell(1);
    cell.addRoute("advised", 1, AdviceSettings{40, 1, Duration(2500)});
    cell.lead();
    cell.submit(cellJob("long", 4, 1000, Duration(5000)));
    cell.run(Duration(200));
    cell.submit(cellJob("job", 1, 1000, Duration(300), "advised"));
    cell.run(Duration(7000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_TRUE(cell.adviceCalls >= 2);
}

// Guards against gangs that wait without tickets behind others that wait for room (pattern: many gangs on a full cell).
TEST(CellSchedulerAdvice, RenewsTicketsOfGangsThatFitBehindGangsThatDoNot)
{
    FakeCell cell(12);
    cell.addRoute("advised", 1, AdviceSettings{100, 1, Duration(2500)});
    cell.duration = [](const StartOrder &order) {
        const bool isShort = order.task.step.job == JobId("filler") && order.task.index < 4;
        return order.task.step.job == JobId("filler") ? Duration(isShort ? 4000 : 12000) : Duration(500);
    };
    cell.lead();
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

// Guards against a gang that waits for its allowed workers while others stand idle (pattern: wide gang on a large cell).
TEST(CellSchedulerAdvice, AsksAboutFurtherWorkersWhenTheAllowedOnesAreFull)
{
    FakeCell cell(130);
    cell.addRoute("advised", 1, AdviceSettings{100, 1, Duration(2500)});
    for (int i = 0; i < 130; ++i) {
        if (i % 3 == 0 || i > 110) {
            cell.goodWorkers.insert(cell.worker(i).info.id);
        }
    }
    cell.lead();
    cell.run(Duration(300));
    CellJob wide = cellJob("wide", 45, 4000, Duration(500), "advised");
    wide.steps[0].gang = true;
    cell.submit(wide);
    cell.run(Duration(4000));
    CHECK_TRUE(cell.state("wide") == CellJobState::Succeeded);
}

TEST_GROUP(CellSchedulerLoad){};

// Guards against urgent callers that wait behind batch work that came first (pattern: urgent burst on a busy cell).
TEST(CellSchedulerLoad, StartsUrgentWorkBeforeBatchThatWaitsLonger)
{
    FakeCell cell(2);
    cell.lead();
    for (int i = 0; i < 8; ++i) {
        cell.submit(cellJob("batch" + std::to_string(i), 4, 1000, Duration(700)));
    }
    cell.run(Duration(200));
    cell.submit(cellJob("urgent", 4, 1000, Duration(300), "urgent"));
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("urgent") == CellJobState::Succeeded);
}

// Guards against a backlog of late work that keeps the rest from being on time (pattern: burst far above what can be started).
TEST(CellSchedulerLoad, ServesNewWorkOnTimeWhileABacklogIsTooLateToHelpAnybody)
{
    FakeCell cell(2);
    cell.lead();
    cell.run(Duration(200));
    for (int i = 0; i < 60; ++i) {
        cell.submit(cellJob("old" + std::to_string(i), 2, 1000, Duration(700)));
    }
    cell.run(Duration(9500));
    cell.submit(cellJob("new", 2, 1000, Duration(700)));
    cell.run(Duration(2600));
    CHECK_TRUE(cell.state("new") == CellJobState::Succeeded);
}

// Guards against jobs that are admitted though the leader can't start them in time (pattern: hot tenant and burst together).
TEST(CellSchedulerLoad, RefusesWhatCanNotBeStartedInTime)
{
    FakeCell cell(400);
    cell.config->workspaces[0].weight = 100000;
    cell.addRoute("advised", 0, AdviceSettings{400, 1, Duration(2500)});
    cell.lead();
    cell.run(Duration(300));
    int refused = 0;
    for (int i = 0; i < 300; ++i) {
        refused += cell.submit(cellJob("job" + std::to_string(i), 4, 1000, Duration(300), "advised")) == AdmissionVerdict::Busy ? 1 : 0;
        cell.run(Duration(5));
    }
    CHECK_TRUE(refused > 0);
}

// Guards against a slow policy service that is kept busy with tickets nobody uses (pattern: many gangs on a full cell).
TEST(CellSchedulerLoad, RenewsTicketsLessOftenForGangsThatDoNotStart)
{
    FakeCell cell(6);
    cell.addRoute("advised", 1, AdviceSettings{300, 1, Duration(1500)});
    cell.duration = [](const StartOrder &order) { return order.task.step.job == JobId("filler") ? Duration(20000) : Duration(500); };
    cell.lead();
    cell.submit(cellJob("filler", 6, 3500, Duration(400)));
    cell.run(Duration(300));
    for (int i = 0; i < 5; ++i) {
        CellJob gang = cellJob("gang" + std::to_string(i), 6, 1000, Duration(500), "advised");
        gang.steps[0].gang = true;
        cell.submit(gang);
    }
    cell.run(Duration(15000));
    CHECK_TRUE(cell.adviceCalls <= 5 * 8);
}

// Guards against a wide step that gets a few tickets at a time after its first ones ran out (pattern: wide batch on a large cell).
TEST(CellSchedulerLoad, RenewsEnoughTicketsForAWideStep)
{
    FakeCell cell(60);
    cell.addRoute("advised", 2, AdviceSettings{200, 1, Duration(1500)});
    cell.duration = [](const StartOrder &order) { return order.task.step.job == JobId("filler") ? Duration(4000) : Duration(2000); };
    cell.lead();
    cell.submit(cellJob("filler", 60, 3500, Duration(400)));
    cell.run(Duration(300));
    cell.submit(cellJob("wide", 60, 3000, Duration(2000), "advised"));
    cell.run(Duration(5700));
    CHECK_TRUE(cell.runningTasks() >= 50);
}
