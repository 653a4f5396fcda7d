// Steps that could run and wait for a slow policy service: two daemons with one call at a time each. Every test states the calls that its
// steps need, so that it demands nothing that the service cannot do.
#include "stallcheck.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

constexpr std::int64_t wholeWorker = 4000; // Millicores of a worker.
constexpr std::int64_t smallTask = 500;
constexpr Duration checkAfterTraffic{14000}; // The users' rule is checked this long after the last job was submitted.
constexpr Duration longTime{60000}; // Longer than a test.

/// Adds a label to the workers @p first to @p last.
void addLabel(FakeCell &cell, const std::string &label, int first, int last)
{
    for (int i = first; i <= last; ++i) {
        cell.worker(i).info.labels.push_back(label);
    }
}

/// Returns a job that fills @p workers workers of the label for @p span without asking the policy service. Its tasks are as small as the others,
/// so that it takes whatever they leave.
CellJob fillingJob(const std::string &id, const std::string &label, int workers, Duration span)
{
    CellJob job = cellJob(id, workers * static_cast<int>(wholeWorker / smallTask), smallTask, span, "urgent");
    job.steps[0].requiredLabel = label;
    return job;
}

/// Stores a job that was accepted @p age ago.
void storeAccepted(FakeCell &cell, CellJob job, Duration age)
{
    job.submittedUnixMs = cell.time().unixMs - age.count();
    cell.storedJobs[job.id] = job;
    cell.scheduler->onJobStored(job, cell.time());
}

/// Runs the cell for @p span while a short urgent job of the route "quick" arrives every @p interval.
void runWithStream(FakeCell &cell, Duration span, Duration interval)
{
    const TimePoint until = cell.now + span;
    while (cell.now < until) {
        cell.submit(cellJob("quick" + std::to_string(cell.now.time_since_epoch().count()), 1, smallTask, Duration(200), "quick"));
        cell.run(interval);
    }
}

constexpr int burstJobs = 260;
constexpr int earlyWorkers = 19;
constexpr int lateWorkers = 26;

/// A cell for a burst of small jobs. A call names the 16 workers with the most room and takes 77 ms, so that the two daemons make 26 calls per
/// second. The early workers are free until a job fills them for good, the late ones are free from the end of the traffic on. Two fifths of the
/// room are in use then.
FakeCell burstCell()
{
    FakeCell cell(earlyWorkers + lateWorkers, wholeWorker);
    addLabel(cell, "early", 0, earlyWorkers - 1);
    addLabel(cell, "late", earlyWorkers, earlyWorkers + lateWorkers - 1);
    cell.addRoute("slow", 1, AdviceSettings{60, 1, Duration(2500)});
    return cell;
}

/// Stores the jobs as accepted, since the admission refuses those whose call to the policy service would come too late.
void storeBurst(FakeCell &cell)
{
    for (int i = 0; i < burstJobs; ++i) {
        storeAccepted(cell, cellJob("small" + std::to_string(i), 1, smallTask, Duration(300), "slow"), Duration(0));
    }
}

int unfinishedJobs(const FakeCell &cell)
{
    int sum = 0;
    for (int i = 0; i < burstJobs; ++i) {
        sum += cell.state("small" + std::to_string(i)) == CellJobState::Succeeded ? 0 : 1;
    }
    return sum;
}

} // namespace

TEST_GROUP(StallCheck){};

// Guards against a check that overlooks a job that is never started.
TEST(StallCheck, RecordsAJobThatCouldRun)
{
    FakeCell cell(2);
    cell.startLeadership();
    StallCheck stalls(cell);
    const CellJob job = cellJob("job", 1, 1000);
    cell.storedJobs[job.id] = job; // Unknown to the scheduler.
    cell.run(Duration(3100));
    CHECK_EQUAL(1, cell.violations.size());
}

// Guards against a check that forgets what a job has waited before the time from which it records.
TEST(StallCheck, RecordsOnlyFromTheGivenTime)
{
    FakeCell cell(2);
    cell.startLeadership();
    StallCheck stalls(cell);
    stalls.from = cell.now + Duration(5000);
    const CellJob job = cellJob("job", 1, 1000);
    cell.storedJobs[job.id] = job;
    cell.run(Duration(4900));
    CHECK_EQUAL(0, cell.violations.size());
    cell.run(Duration(200));
    CHECK_EQUAL(1, cell.violations.size());
}

// Guards against a check that demands a start where the job has too little room.
TEST(StallCheck, IgnoresAJobWithoutRoomForItTwice)
{
    FakeCell cell(3);
    cell.addRoute("advised", 1, AdviceSettings{40, 1, Duration(2500)});
    cell.allowedWorkers = {WorkerId("w0")};
    cell.startLeadership();
    StallCheck stalls(cell);
    const CellJob job = cellJob("job", 1, 2100, Duration(1000), "advised");
    cell.storedJobs[job.id] = job;
    cell.run(Duration(5000));
    CHECK_NO_VIOLATION(cell);
}

// Guards against a check that demands a start while a tenant uses half of its maximum.
TEST(StallCheck, IgnoresAJobWhoseWorkspaceUsesHalfOfItsMaximum)
{
    FakeCell cell(4);
    cell.config->workspaces[0].maximum = cellResources(2000, 0);
    cell.startLeadership();
    cell.submit(cellJob("running", 1, 1000, longTime));
    cell.run(Duration(200));
    StallCheck stalls(cell);
    const CellJob job = cellJob("job", 1, 100);
    cell.storedJobs[job.id] = job;
    cell.run(Duration(5000));
    CHECK_NO_VIOLATION(cell);
}

// Guards against a check that demands a start while half of the room is in use.
TEST(StallCheck, IgnoresJobsWhileHalfOfTheRoomIsInUse)
{
    FakeCell cell(2, wholeWorker);
    cell.startLeadership();
    cell.submit(cellJob("running", 1, wholeWorker, longTime));
    cell.run(Duration(200));
    StallCheck stalls(cell);
    const CellJob job = cellJob("job", 1, 100);
    cell.storedJobs[job.id] = job;
    cell.run(Duration(5000));
    CHECK_NO_VIOLATION(cell);
}

// Guards against a check that demands a second run before the first is known to be gone.
TEST(StallCheck, WaitsForTheLeaseOfACrashedWorker)
{
    FakeCell cell(4);
    cell.startLeadership();
    StallCheck stalls(cell);
    cell.submit(cellJob("job", 1, 1000, Duration(3000)));
    cell.run(Duration(500));
    for (auto &[id, worker] : cell.workers) {
        worker.crashed = !worker.running.empty();
    }
    cell.run(Duration(12000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a check that takes a step for due before the steps that it needs.
TEST(StallCheck, AcceptsAJobOfSeveralStepsThatRuns)
{
    FakeCell cell(4);
    cell.startLeadership();
    StallCheck stalls(cell);
    CellJob job = cellJob("job", 2, 1000, Duration(4000));
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};
    job.steps[1].gang = true;
    cell.submit(job);
    cell.run(Duration(12000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

TEST_GROUP(StalledSteps){};

// Guards against accepted jobs that are lost after a burst: their queued questions name the workers that had room when they were queued.
TEST(StalledSteps, EndTheJobsOfABurstWhenTheirFirstWorkersAreFull)
{
    FakeCell cell = burstCell();
    cell.startLeadership();
    cell.run(Duration(500));
    cell.submit(fillingJob("first", "late", lateWorkers, Duration(2500)));
    cell.run(Duration(500));
    storeBurst(cell);
    cell.run(Duration(100));
    cell.submit(fillingJob("second", "early", earlyWorkers, longTime));
    cell.run(Duration(1900));
    // One call per job takes 10 s, and the time is enough for 360 calls.
    cell.run(checkAfterTraffic);
    CHECK_EQUAL(0, unfinishedJobs(cell));
}

// Guards against accepted jobs that are lost because a new leader asks for all of them again and meanwhile their workers have filled.
TEST(StalledSteps, KeepTheRuleAfterAChangeOfLeaderInABurst)
{
    FakeCell cell = burstCell();
    cell.startLeadership();
    cell.run(Duration(500));
    StallCheck stalls(cell);
    cell.submit(fillingJob("first", "late", lateWorkers, Duration(2500)));
    cell.run(Duration(500));
    storeBurst(cell);
    cell.run(Duration(500));
    cell.startLeadership(2);
    cell.run(Duration(200));
    cell.submit(fillingJob("second", "early", earlyWorkers, longTime));
    cell.run(Duration(1300));
    // One call per job takes 10 s, and the time is enough for 360 calls.
    stalls.from = cell.now + checkAfterTraffic;
    cell.run(checkAfterTraffic + Duration(100));
    CHECK_NO_VIOLATION(cell);
}

// Guards against a step that is not started again after a crash, since its call comes after those of late gangs that have no room.
TEST(StalledSteps, RestartASmallStepBehindABacklogOfLateGangs)
{
    FakeCell cell(24, wholeWorker);
    addLabel(cell, "wide", 0, 7);
    addLabel(cell, "full", 0, 0);
    cell.addRoute("small", 1, AdviceSettings{200, 1, Duration(2500)});
    cell.addRoute("gangs", 1, AdviceSettings{400, 6, Duration(2500)});
    cell.startLeadership();
    cell.run(Duration(500));
    StallCheck stalls(cell);
    stalls.limit *= 2;
    cell.submit(fillingJob("filling", "full", 1, longTime));
    cell.submit(cellJob("small", 1, smallTask, Duration(1500), "small"));
    cell.run(Duration(1000));
    for (auto &[id, worker] : cell.workers) {
        worker.crashed = worker.running.count(TaskRef{StepRef{JobId("small"), 0, 0}, 0}) > 0;
    }
    cell.run(Duration(4500));
    // The gangs need all eight workers of their label, and one of them is filled.
    for (int i = 0; i < 60; ++i) {
        CellJob gang = cellJob("gang" + std::to_string(i), 8, wholeWorker, Duration(3000), "gangs");
        gang.steps[0].gang = true;
        gang.steps[0].requiredLabel = "wide";
        storeAccepted(cell, gang, Duration(12000));
    }
    // The step needs one call of about 210 ms.
    cell.run(Duration(12000));
    CHECK_NO_VIOLATION(cell);
}

namespace {

/// A cell of 24 workers, of which the first 8 are allowed for the job "waiting" alone. They are filled for 12 s, while the job becomes late. From
/// 8 s on 22 urgent jobs per second need one call each. It takes 97 ms, so that the two daemons make 20.6 calls per second: the urgent jobs
/// wait for less than a second by the end, and one call more for the job "waiting" would delay them by 50 ms.
FakeCell streamCell()
{
    FakeCell cell(24, wholeWorker);
    addLabel(cell, "first", 0, 7);
    cell.addRoute("slow", 2, AdviceSettings{80, 1, Duration(2500)});
    cell.addRoute("quick", 0, AdviceSettings{80, 1, Duration(2500)});
    cell.isAllowed = [](const StepRef &step, const WorkerId &worker) {
        const bool isFirst = std::stoi(worker.value().substr(1)) < 8;
        return (step.job == JobId("waiting")) == isFirst;
    };
    return cell;
}

/// Runs the cell until the job "waiting" has had room for 8 s.
void runWaitingJob(FakeCell &cell, const CellJob &waiting)
{
    cell.run(Duration(500));
    cell.submit(fillingJob("filling", "first", 8, Duration(12000)));
    cell.run(Duration(100));
    cell.submit(waiting);
    cell.run(Duration(8000));
    runWithStream(cell, Duration(12000), Duration(45));
}

} // namespace

// Guards against a late gang that is never started while newer urgent steps arrive: its call comes after all of theirs.
TEST(StalledSteps, StartALateGangDuringAStreamOfUrgentSteps)
{
    FakeCell cell = streamCell();
    cell.startLeadership();
    StallCheck stalls(cell);
    stalls.limit *= 2;
    CellJob gang = cellJob("waiting", 4, wholeWorker, Duration(1000), "slow");
    gang.steps[0].gang = true;
    runWaitingJob(cell, gang);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a late step that is never started while newer urgent steps arrive: its call comes after all of theirs.
TEST(StalledSteps, StartALateStepDuringAStreamOfUrgentSteps)
{
    FakeCell cell = streamCell();
    cell.startLeadership();
    StallCheck stalls(cell);
    stalls.limit *= 2;
    runWaitingJob(cell, cellJob("waiting", 1, wholeWorker, Duration(1000), "slow"));
    CHECK_NO_VIOLATION(cell);
}

namespace {

/// Runs the cell of streamCell() with the step "waiting" beside an older job of 120 small tasks, whose only worker is full.
void runWaitingJobBesideABlockedOne(FakeCell &cell, bool isGang)
{
    addLabel(cell, "last", 23, 23);
    cell.startLeadership();
    StallCheck stalls(cell);
    stalls.limit *= 2;
    cell.run(Duration(300));
    cell.submit(fillingJob("full", "last", 1, longTime));
    cell.run(Duration(300));
    CellJob blocked = cellJob("blocked", 120, smallTask, Duration(1000), "batch");
    blocked.steps[0].gang = isGang;
    blocked.steps[0].requiredLabel = "last";
    cell.submit(blocked);
    runWaitingJob(cell, cellJob("waiting", 1, wholeWorker, Duration(1000), "slow"));
}

} // namespace

// Guards against an older wide step without any room that uses up the room by which starving steps are counted.
TEST(StalledSteps, StartALateStepBesideAnOlderWideStepThatHasNoRoom)
{
    FakeCell cell = streamCell();
    runWaitingJobBesideABlockedOne(cell, false);
    CHECK_NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("waiting") == CellJobState::Succeeded);
}

// Guards against an older gang, wider than the workers that it may use, that uses up the room by which starving steps are counted.
TEST(StalledSteps, StartALateStepBesideAnOlderGangThatHasNoRoom)
{
    FakeCell cell = streamCell();
    runWaitingJobBesideABlockedOne(cell, true);
    CHECK_NO_VIOLATION(cell);
    CHECK_TRUE(cell.state("waiting") == CellJobState::Succeeded);
}

namespace {

// By how much later room becomes free in the variants of a test: the ends of runs are read, and full passes made, at intervals of some 10 ms.
constexpr Duration shiftStep{5};
constexpr Duration maxShift{350};

CellJob sharedJob(const std::string &id, int tasks, Duration estimate, const std::string &route)
{
    CellJob job = cellJob(id, tasks, wholeWorker, estimate, route);
    job.steps[0].requiredLabel = "shared";
    return job;
}

/// Returns the state of an urgent job 1 s after the second of the two workers that it may use has become free, while the first one runs a task of
/// a wide job that waits for the second one.
CellJobState stateOfUrgentJobBesideAWideOne(Duration shift)
{
    FakeCell cell(8, wholeWorker);
    addLabel(cell, "shared", 0, 1);
    addLabel(cell, "filled", 1, 1);
    cell.startLeadership();
    cell.run(Duration(500));
    cell.submit(fillingJob("filling", "filled", 1, Duration(5000) + shift));
    cell.run(Duration(200));
    cell.submit(sharedJob("wide", 40, longTime, "batch"));
    cell.run(Duration(4000));
    cell.submit(sharedJob("urgent", 1, Duration(500), "urgent"));
    cell.run(Duration(2000));
    return cell.state("urgent");
}

/// Returns the state of an urgent job 1 s after a wide job has released the only worker that both may use.
CellJobState stateOfUrgentJobAfterARunOfAWideOne(Duration shift)
{
    FakeCell cell(8, wholeWorker);
    addLabel(cell, "shared", 0, 0);
    cell.duration = [shift](const StartOrder &order) { return order.task.step.job == JobId("wide") ? Duration(4000) + shift : Duration(500); };
    cell.startLeadership();
    cell.run(Duration(500));
    cell.submit(sharedJob("wide", 40, longTime, "batch"));
    cell.run(Duration(3000));
    cell.submit(sharedJob("urgent", 1, Duration(500), "urgent"));
    cell.run(Duration(2000));
    return cell.state("urgent");
}

} // namespace

// Guards against a wide step that runs and takes room before work that is in time, since its other tasks have waited long.
TEST(StalledSteps, DoNotCountAStepThatRunsAsStarving)
{
    for (Duration shift{0}; shift < maxShift; shift += shiftStep) {
        CHECK_TRUE(stateOfUrgentJobBesideAWideOne(shift) == CellJobState::Succeeded);
    }
}

// Guards against a step whose run has just ended that takes room before work that is in time, since it became ready long ago.
TEST(StalledSteps, CountTheWaitOfAStepSinceItsLastRun)
{
    for (Duration shift{0}; shift < maxShift; shift += shiftStep) {
        CHECK_TRUE(stateOfUrgentJobAfterARunOfAWideOne(shift) == CellJobState::Succeeded);
    }
}

namespace {

constexpr Duration endlessRun{1000000000}; // Reports no progress during a test, from which the scheduler would learn that the run is long.

/// Runs a small job for 10 s on 8 workers beside an older gang that needs all of them whole. A quarter of each is in use by a run that does not
/// end. Returns the state of the small job.
CellJobState stateOfSmallJobBesideEndlessRuns(FakeCell &cell, bool isService)
{
    cell.startLeadership();
    StallCheck stalls(cell);
    cell.run(Duration(500));
    CellJob endless = cellJob("endless", 8, 1000, Duration(1000), "urgent");
    endless.steps[0].maxPerWorker = 1;
    endless.steps[0].longRunning = isService;
    cell.duration = [](const StartOrder &order) { return order.task.step.job == JobId("endless") ? endlessRun : Duration(1000); };
    cell.submit(endless);
    cell.run(Duration(2000));
    CellJob gang = cellJob("gang", 8, wholeWorker, Duration(1000), "urgent");
    gang.steps[0].gang = true;
    cell.submit(gang);
    cell.run(Duration(500));
    cell.submit(cellJob("small", 1, smallTask, Duration(1000)));
    cell.run(Duration(10000));
    return cell.state("small");
}

} // namespace

// Guards against a gang that reserves the capacity of a service, which never ends, and so withholds the room beside it from other steps.
TEST(StalledSteps, StartASmallJobBesideAServiceWhileAGangWaitsForItsWorkers)
{
    FakeCell cell(8, wholeWorker);
    CHECK_TRUE(stateOfSmallJobBesideEndlessRuns(cell, true) == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// The same with runs that take much longer than their estimate and report only little progress.
TEST(StalledSteps, StartASmallJobBesideOverrunningTasksWhileAGangWaitsForTheirWorkers)
{
    FakeCell cell(8, wholeWorker);
    CHECK_TRUE(stateOfSmallJobBesideEndlessRuns(cell, false) == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

namespace {

/// Runs the scheduler for @p span with a step whose calls to the policy service all fail at once if made by the daemons @p failing, and are not
/// answered otherwise. Returns the number of calls by daemon.
std::map<DaemonId, int> callsByDaemon(FakeCell &cell, const std::set<DaemonId> &failing, Duration span)
{
    cell.addRoute("slow", 1, AdviceSettings{60, 1, Duration(2500)});
    cell.startLeadership();
    cell.run(Duration(1000));
    cell.submit(cellJob("job", 1, smallTask, Duration(1000), "slow"));
    std::map<DaemonId, int> calls;
    for (const TimePoint until = cell.now + span; cell.now < until; cell.now += Duration(5)) {
        cell.scheduler->onLeadershipRenewed(cell.now);
        for (const AdviceCall &call : cell.scheduler->tick(cell.time()).advice) {
            ++calls[call.daemon];
            if (failing.count(call.daemon) > 0) {
                cell.scheduler->onAdvice(call.id, AdviceAnswer{}, cell.now, cell.now);
            }
        }
    }
    return calls;
}

// Shorter than the time after which the workers count as unresponsive, since their lease renewals are not answered in callsByDaemon().
constexpr Duration callSpan{1200};

} // namespace

// Guards against a daemon that cannot reach the policy service, and whose calls fail at once, being chosen for every call because it is
// always free.
TEST(StalledSteps, MakeACallByAnotherDaemonAfterAFailure)
{
    FakeCell cell(4, wholeWorker);
    const auto calls = callsByDaemon(cell, {DaemonId("d1")}, callSpan);
    CHECK_EQUAL(1, calls.count(DaemonId("d2")));
}

// Guards against a pause of all daemons, each of which has failed, during which no step can ask.
TEST(StalledSteps, ShareTheCallsAmongDaemonsThatAllFail)
{
    FakeCell cell(4, wholeWorker);
    auto calls = callsByDaemon(cell, {DaemonId("d1"), DaemonId("d2")}, callSpan);
    CHECK_TRUE(calls[DaemonId("d1")] > 3);
    CHECK_TRUE(calls[DaemonId("d2")] > 0);
}

// Guards against a pause of the only daemon after a failure: nobody else can ask meanwhile.
TEST(StalledSteps, KeepAskingByTheOnlyDaemonAfterFailures)
{
    FakeCell cell(4, wholeWorker);
    cell.daemonCount = 1;
    auto calls = callsByDaemon(cell, {DaemonId("d1")}, callSpan);
    CHECK_TRUE(calls[DaemonId("d1")] > 6);
}

// Guards against a long pause between renewals of a step after its renewals were dropped, because the room had been taken when they would have
// been sent.
TEST(StalledSteps, RenewSoonAfterRenewalsThatWereNotSent)
{
    FakeCell cell(4, wholeWorker);
    addLabel(cell, "first", 0, 0);
    addLabel(cell, "others", 1, 3);
    cell.daemonCount = 1;
    cell.ticketValidity = Duration(1000);
    cell.addRoute("slow", 1, AdviceSettings{300, 0, Duration(1000)});
    cell.isAllowed = [](const StepRef &step, const WorkerId &worker) { return step.job == JobId("waiting") && worker == WorkerId("w0"); };
    cell.startLeadership();
    cell.run(Duration(500));
    cell.submit(fillingJob("others", "others", 3, longTime));
    cell.submit(fillingJob("full0", "first", 1, longTime));
    cell.run(Duration(100));
    cell.submit(cellJob("waiting", 1, wholeWorker, Duration(1000), "slow"));
    const auto releaseFirst = [&cell] {
        while (!cell.worker(0).running.empty()) {
            cell.worker(0).end(cell.worker(0).running.begin()->first, RunEnd::Succeeded);
        }
    };
    // Three times the room is free only while the daemon is busy with the question of another step.
    for (int i = 1; i <= 3; ++i) {
        cell.run(Duration(3000));
        cell.submit(cellJob("asking" + std::to_string(i), 1, smallTask, Duration(1000), "slow"));
        cell.run(Duration(20));
        releaseFirst();
        cell.run(Duration(100));
        cell.submit(fillingJob("full" + std::to_string(i), "first", 1, longTime));
    }
    cell.run(Duration(500));
    releaseFirst();
    // One call of 300 ms, and a run of 1 s.
    cell.run(Duration(1800));
    CHECK_TRUE(cell.state("waiting") == CellJobState::Succeeded);
}

// Guards against questions of a gang that are queued although no worker that it has not asked about has room; they would name no worker.
TEST(StalledSteps, QueueNoQuestionAboutWorkersWithoutRoom)
{
    FakeCell cell(24, wholeWorker);
    addLabel(cell, "first", 0, 15); // As many as a call names.
    addLabel(cell, "last", 16, 23);
    cell.daemonCount = 1;
    cell.addRoute("gangs", 1, AdviceSettings{100, 0, Duration(2500)});
    cell.addRoute("slow", 1, AdviceSettings{3000, 0, Duration(2500)});
    cell.startLeadership();
    cell.run(Duration(500));
    cell.submit(fillingJob("last", "last", 8, longTime));
    cell.run(Duration(100));
    CellJob gang = cellJob("gang", 4, wholeWorker, Duration(1000), "gangs");
    gang.steps[0].gang = true;
    cell.submit(gang);
    cell.run(Duration(10));
    cell.submit(fillingJob("first", "first", 16, longTime));
    cell.run(Duration(500));
    CHECK_EQUAL(1, cell.adviceCalls);
    cell.submit(cellJob("asking", 1, smallTask, Duration(1000), "slow"));
    cell.run(Duration(1000));
    STRCMP_CONTAINS("1 advice calls in flight, 0 queued", cell.scheduler->describeLoad(cell.now).c_str());
}

} // namespace KingCupLadder
