// Tasks that crash their workers, innocent tasks on workers that crash or are cut off, and workers whose capacity changes while they run.
#include "crashingtasks.h"

#include <CppUTest/TestHarness.h>

#include <iterator>
#include <random>

using namespace KingCupLadder;

namespace {

constexpr Duration longEnough{90000}; // Several times as long as three crashes and three more starts take if every loss is seen by an expired lease.
constexpr Duration timeToFail{20000}; // Three crashes, each seen by an expired lease of six seconds.
constexpr int maxCrashes = 5; // Three, and one under each of the two further starts that the rules allow.
constexpr int fewestCrashes = 3; // A task may be given up after two crashes; a third one may be needed to tell it from the tasks beside it.

/// A cell whose workers crash under tasks and come back.
struct Trial {
    explicit Trial(int workers, WorkerReturn workerReturn = WorkerReturn::WithNewId) : cell(workers), crashing(cell)
    {
        crashing.workerReturn = workerReturn;
        cell.startLeadership();
        cell.run(Duration(300));
    }

    /// Submits a job of @p tasks tasks, the first of which is deadly.
    void submitDeadly(const std::string &id, int tasks = 1, std::int64_t milliCores = 1000)
    {
        submitDeadly(cellJob(id, tasks, milliCores));
    }

    void submitDeadly(const CellJob &job)
    {
        crashing.makeDeadly(job.id.value());
        CHECK_TRUE(cell.submit(job) == AdmissionVerdict::Admitted);
    }

    void submitInnocents(int jobs, Duration estimate, const std::string &prefix = "innocent")
    {
        for (int i = 0; i < jobs; ++i) {
            CHECK_TRUE(cell.submit(cellJob(prefix + std::to_string(i), 1, 1000, estimate)) == AdmissionVerdict::Admitted);
        }
    }

    /// Number of jobs whose stored final state is @p state. The scheduler forgets a job some time after it has ended.
    [[nodiscard]] int innocentsIn(CellJobState state, const std::string &prefix = "innocent") const
    {
        return static_cast<int>(std::count_if(cell.storedProgress.begin(), cell.storedProgress.end(), [&](const auto &job) {
            return job.first.value().rfind(prefix, 0) == 0 && job.second.finalState == state;
        }));
    }

    /// Runs the cell until a task runs, and one second more.
    void runUntilStarted()
    {
        constexpr Duration longestWait{20000};
        const TimePoint end = cell.now + longestWait;
        while (cell.now < end && cell.runningTasks() == 0) {
            cell.run(Duration(5));
        }
        cell.run(Duration(1000));
        CHECK_TRUE(cell.runningTasks() > 0);
    }

    /// Crashes the worker that runs the first task of the job, and returns whether there is one.
    bool crashWorkerOf(const std::string &job)
    {
        for (const auto &[id, worker] : cell.workers) {
            if (!worker.crashed && worker.running.count(TaskRef{StepRef{JobId(job), 0, 0}, 0}) > 0) {
                crashing.crash(id);
                return true;
            }
        }
        return false;
    }

    /// Runs the cell, and changes the leader @p delay after each crash.
    void runWithChangesOfLeader(Duration span, Duration delay)
    {
        const TimePoint end = cell.now + span;
        std::uint64_t epoch = 1;
        TimePoint handled = crashing.lastCrash();
        while (cell.now < end) {
            cell.run(Duration(5));
            if (crashing.lastCrash() != handled && cell.now >= crashing.lastCrash() + delay) {
                handled = crashing.lastCrash();
                cell.startLeadership(++epoch);
            }
        }
    }

    FakeCell cell;
    CrashingTasks crashing;
};

/// A job of one gang with four members.
CellJob gangJob(const std::string &id)
{
    CellJob job = cellJob(id, 4, 2000);
    job.steps[0].gang = true;
    return job;
}

CellJob longRunningJob(const std::string &id)
{
    CellJob job = cellJob(id, 1, 1000, Duration(200000));
    job.steps[0].longRunning = true;
    return job;
}

/// A job of a step of two tasks on different workers, which take long, and a step that depends on it.
CellJob dependentJob(const std::string &id)
{
    CellJob job = cellJob(id, 2, 1000, Duration(60000));
    job.steps[0].maxPerWorker = 1;
    StepSpec dependant = job.steps[0];
    dependant.after = {0};
    dependant.estimate = Duration(500);
    job.steps.push_back(dependant);
    return job;
}

/// The start of each run of the job takes effect, but its answer is lost.
void loseStartAnswersOf(FakeCell &cell, const std::string &job)
{
    cell.onStart = [&cell, job](const StartOrder &order) {
        if (order.task.step.job != JobId(job)) {
            return true;
        }
        cell.callAt(cell.now + Duration(5), [&cell, order] { (void)cell.apply(order); });
        return false;
    };
}

/// Submits innocent jobs and, if wanted, deadly ones while workers crash, are cut off and change their capacity at random.
struct RandomFaults {
    RandomFaults(unsigned seed, bool withDeadlyTasks)
        : random(seed), withDeadly(withDeadlyTasks), trial(6, seed % 2 == 0 ? WorkerReturn::WithNewIncarnation : WorkerReturn::WithNewId)
    {
    }

    /// In the end all faults are over for long.
    void run()
    {
        constexpr int rounds = 60;
        for (int i = 0; i < rounds; ++i) {
            const bool isDeadlyDue = random() % 10 == 0 && withDeadly;
            if (isDeadlyDue && trial.cell.submit(cellJob("deadly" + std::to_string(i), 1, 1000)) == AdmissionVerdict::Admitted) {
                trial.crashing.makeDeadly("deadly" + std::to_string(i));
            }
            admitted += trial.cell.submit(cellJob("innocent" + std::to_string(i), 1, 1000, Duration(1500))) == AdmissionVerdict::Admitted ? 1 : 0;
            FakeCellWorker &worker = anyWorker();
            switch (random() % 12) {
            case 0:
                trial.crashing.crash(worker.info.id);
                break;
            case 1:
                cutOff(worker.info.id, Duration(500 + random() % 9000));
                break;
            case 2:
                worker.changeCapacity(cellResources(1000 + static_cast<std::int64_t>(random() % 3000), 64000), trial.cell.now);
                break;
            default:
                break;
            }
            trial.cell.run(Duration(random() % 800));
        }
        for (auto &[id, worker] : trial.cell.workers) {
            worker.changeCapacity(cellResources(4000, 64000), trial.cell.now);
        }
        trial.cell.run(longEnough * 2);
    }

    std::mt19937 random;
    bool withDeadly;
    Trial trial;
    int admitted = 0; ///< Innocent jobs.

private:
    FakeCellWorker &anyWorker()
    {
        auto worker = trial.cell.workers.begin();
        std::advance(worker, static_cast<std::ptrdiff_t>(random() % trial.cell.workers.size()));
        return worker->second;
    }

    /// Cuts the worker off. If it crashes meanwhile, the next worker of its VM stays cut off as long.
    void cutOff(const WorkerId &id, Duration span)
    {
        const VmId vm = trial.cell.workers.at(id).info.vm;
        trial.cell.workers.at(id).reachable = false;
        trial.cell.callAt(trial.cell.now + span, [this, vm] {
            for (auto &[other, worker] : trial.cell.workers) {
                worker.reachable = worker.reachable || worker.info.vm == vm;
            }
        });
    }
};

/// Starts a task of 1000 millicores on the only worker, whose capacity has shrunk to 500 millicores @p ago, and returns the violations.
std::size_t violationsOfStart(Duration ago)
{
    FakeCell cell(1);
    cell.startLeadership();
    cell.storedJobs[JobId("job")] = cellJob("job", 1, 1000);
    cell.worker(0).changeCapacity(cellResources(500, 64000), cell.now);
    cell.run(ago);
    StartOrder order;
    order.worker = WorkerId("w0");
    order.task = TaskRef{StepRef{JobId("job"), 0, 0}, 0};
    order.run = RunNumber(1);
    order.deadline = cell.worker(0).clock(cell.now) + 1000;
    (void)cell.apply(order);
    return cell.violations.size();
}

} // namespace

TEST_GROUP(FakeCellCapacity){};

// Guards against a check that blames the scheduler for a change that it can't know yet.
TEST(FakeCellCapacity, AllowsTheOldCapacityForAWhile)
{
    CHECK_EQUAL(0U, violationsOfStart(Duration(4000)));
}

// Guards against a check that never notices a start over a capacity that has shrunk.
TEST(FakeCellCapacity, ReportsAStartOverACapacityThatHasShrunk)
{
    CHECK_EQUAL(1U, violationsOfStart(Duration(5000)));
}

TEST_GROUP(DeadlyTask){};

// Guards against workers that a deadly task crashes one after the other. Happens if a crashed VM comes back as another worker.
TEST(DeadlyTask, IsStartedFewTimesIfWorkersReturnWithNewIds)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against workers that a deadly task crashes one after the other. Happens if a crashed worker comes back in a new incarnation.
TEST(DeadlyTask, IsStartedFewTimesIfWorkersReturnWithNewIncarnations)
{
    Trial trial(6, WorkerReturn::WithNewIncarnation);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a deadly task that takes all workers away: a worker that never comes back counts as crashed as well.
TEST(DeadlyTask, IsStartedFewTimesIfWorkersNeverReturn)
{
    Trial trial(16, WorkerReturn::Never);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a deadly task that is started again and again on the only worker.
TEST(DeadlyTask, IsStartedFewTimesOnTheOnlyWorker)
{
    Trial trial(1);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a deadly task that is given up only after a while: crashes have to stop, not to become rare.
TEST(DeadlyTask, CrashesNoWorkerAnyMoreInTheEnd)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_TRUE(trial.crashing.lastCrash() < trial.cell.now - longEnough / 3);
}

// Guards against more crashes than the rules allow, for runs that take their worker away at any time after their start.
TEST(DeadlyTask, CrashesAtMostFiveWorkersWheneverItCrashesThem)
{
    for (const int delay : {10, 25, 60, 400, 900}) {
        for (const WorkerReturn workerReturn : {WorkerReturn::WithNewId, WorkerReturn::WithNewIncarnation, WorkerReturn::Never}) {
            Trial trial(16, workerReturn);
            trial.crashing.makeDeadly("deadly", 0, 0, Duration(delay));
            trial.cell.submit(cellJob("deadly", 1, 1000));
            trial.cell.run(longEnough);
            CHECK_COMPARE(trial.crashing.crashesUnder("deadly"), <=, maxCrashes);
        }
    }
}

// Guards against more crashes than needed: each one takes a worker and its other tasks away.
TEST(DeadlyTask, CrashesAtMostThreeWorkersThatReturnWithNewIds)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_COMPARE(trial.crashing.crashesUnder("deadly"), <=, fewestCrashes);
}

// Guards against more crashes than needed if the crashed workers come back under their old ids.
TEST(DeadlyTask, CrashesAtMostThreeWorkersThatReturnWithNewIncarnations)
{
    Trial trial(6, WorkerReturn::WithNewIncarnation);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_COMPARE(trial.crashing.crashesUnder("deadly"), <=, fewestCrashes);
}

// Guards against a caller that waits for a job that cannot succeed.
TEST(DeadlyTask, FailsItsJobSoonIfWorkersReturnWithNewIds)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.cell.run(timeToFail);
    CHECK_TRUE(trial.cell.state("deadly") == CellJobState::Failed);
}

// Guards against a caller that waits for a job that cannot succeed, if the crashed workers come back under their old ids.
TEST(DeadlyTask, FailsItsJobSoonIfWorkersReturnWithNewIncarnations)
{
    Trial trial(6, WorkerReturn::WithNewIncarnation);
    trial.submitDeadly("deadly");
    trial.cell.run(timeToFail);
    CHECK_TRUE(trial.cell.state("deadly") == CellJobState::Failed);
}

// Guards against a caller that waits for a job that cannot succeed, if the crashed workers never come back.
TEST(DeadlyTask, FailsItsJobSoonIfWorkersNeverReturn)
{
    Trial trial(16, WorkerReturn::Never);
    trial.submitDeadly("deadly");
    trial.cell.run(timeToFail);
    CHECK_TRUE(trial.cell.state("deadly") == CellJobState::Failed);
}

// Guards against counting no crash if the start got no answer: the run was never confirmed, but it took its worker away.
TEST(DeadlyTask, IsStartedFewTimesIfItsStartsGetNoAnswer)
{
    Trial trial(6);
    loseStartAnswersOf(trial.cell, "deadly");
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against counting no crash if the start got no answer and a stop to the next incarnation proves that the run does not exist.
TEST(DeadlyTask, IsStartedFewTimesIfItsStartsGetNoAnswerAndWorkersReturnWithNewIncarnations)
{
    Trial trial(6, WorkerReturn::WithNewIncarnation);
    loseStartAnswersOf(trial.cell, "deadly");
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against taking a crash for a cut: the worker was cut off before it crashed, and its VM is back as another worker.
TEST(DeadlyTask, IsStartedFewTimesIfItsWorkersAreCutOffBeforeTheyCrash)
{
    Trial trial(6);
    trial.cell.submit(cellJob("deadly", 1, 1000));
    trial.crashing.makeDeadly("deadly", 0, 0, Duration(400));
    const TimePoint end = trial.cell.now + longEnough;
    while (trial.cell.now < end) {
        trial.cell.run(Duration(5));
        for (auto &[id, worker] : trial.cell.workers) {
            worker.reachable = worker.running.empty();
        }
    }
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a service that crashes its workers forever, because a service is restarted whenever it ends.
TEST(DeadlyTask, IsStartedFewTimesIfItIsLongRunning)
{
    Trial trial(6);
    trial.submitDeadly(longRunningJob("deadly"));
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a service that is never given up, because services have no limit of attempts.
TEST(DeadlyTask, FailsItsJobSoonIfItIsLongRunning)
{
    Trial trial(6);
    trial.submitDeadly(longRunningJob("deadly"));
    trial.cell.run(timeToFail);
    CHECK_TRUE(trial.cell.state("deadly") == CellJobState::Failed);
}

// Guards against giving up a task under which only one worker has crashed.
TEST(DeadlyTask, SucceedsIfItCrashesOnlyOneWorker)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.cell.run(Duration(100));
    CHECK_EQUAL(1, trial.crashing.crashes());
    trial.crashing.makeHarmless("deadly");
    trial.cell.run(timeToFail);
    CHECK_TRUE(trial.cell.state("deadly") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(trial.cell);
}

TEST_GROUP(DeadlyGangMember){};

// Guards against a gang whose deadly member crashes a worker at each start of the gang.
TEST(DeadlyGangMember, IsStartedFewTimes)
{
    Trial trial(6);
    trial.submitDeadly(gangJob("deadly"));
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a gang whose deadly member crashes a worker at each start, if the workers come back under their old ids.
TEST(DeadlyGangMember, IsStartedFewTimesIfWorkersReturnWithNewIncarnations)
{
    Trial trial(6, WorkerReturn::WithNewIncarnation);
    trial.submitDeadly(gangJob("deadly"));
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a caller that waits for a gang that cannot succeed. The other members are suspects too, but of the same job.
TEST(DeadlyGangMember, FailsItsJob)
{
    Trial trial(6);
    trial.submitDeadly(gangJob("deadly"));
    trial.cell.run(longEnough / 3);
    CHECK_TRUE(trial.cell.state("deadly") == CellJobState::Failed);
}

// Guards against members that are started after their gang was given up.
TEST(DeadlyGangMember, IsNotStartedAnyMoreInTheEnd)
{
    Trial trial(6);
    trial.submitDeadly(gangJob("deadly"));
    trial.cell.run(longEnough);
    const int starts = trial.cell.starts;
    trial.cell.run(longEnough / 3);
    CHECK_EQUAL(starts, trial.cell.starts);
}

TEST_GROUP(DeadlyTaskAndOthers){};

// Guards against giving up a task because it ran beside a deadly one.
TEST(DeadlyTaskAndOthers, InnocentTasksOnFullWorkersSucceed)
{
    Trial trial(3);
    trial.submitDeadly("deadly");
    trial.submitInnocents(30, Duration(2500));
    trial.cell.run(longEnough);
    CHECK_EQUAL(30, trial.innocentsIn(CellJobState::Succeeded));
}

// Guards against giving up a task because it ran beside a deadly one, if the workers come back under their old ids.
TEST(DeadlyTaskAndOthers, InnocentTasksSucceedIfWorkersReturnWithNewIncarnations)
{
    Trial trial(3, WorkerReturn::WithNewIncarnation);
    trial.submitDeadly("deadly");
    trial.submitInnocents(30, Duration(2500));
    trial.cell.run(longEnough);
    CHECK_EQUAL(30, trial.innocentsIn(CellJobState::Succeeded));
}

// Guards against giving up an innocent task that is always on the same worker as the deadly one.
TEST(DeadlyTaskAndOthers, InnocentTasksBesideADeadlyOneOnTheOnlyWorkerSucceed)
{
    Trial trial(1);
    trial.submitInnocents(3, Duration(2500));
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_EQUAL(3, trial.innocentsIn(CellJobState::Succeeded));
}

// Guards against a deadly task that is never given up, because other tasks are suspects as well.
TEST(DeadlyTaskAndOthers, ADeadlyTaskOnFullWorkersIsStartedFewTimes)
{
    Trial trial(3);
    trial.submitInnocents(11, Duration(20000));
    trial.cell.run(Duration(500));
    trial.submitDeadly("deadly");
    trial.cell.run(Duration(500));
    trial.submitInnocents(8, Duration(2500), "later");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against an innocent gang that is given up because one of its workers crashed under a deadly task.
TEST(DeadlyTaskAndOthers, AnInnocentGangBesideADeadlyTaskSucceeds)
{
    Trial trial(2);
    CellJob gang = cellJob("gang", 6, 1000, Duration(1500));
    gang.steps[0].gang = true;
    trial.cell.submit(gang);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough);
    CHECK_TRUE(trial.cell.state("gang") == CellJobState::Succeeded);
}

// Guards against two deadly tasks that hide each other, because each crash has two suspects.
TEST(DeadlyTaskAndOthers, TwoDeadlyTasksOnOneWorkerAreStartedFewTimes)
{
    Trial trial(1);
    trial.submitDeadly("deadly1");
    trial.submitDeadly("deadly2");
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a caller that waits for one of two jobs that cannot succeed.
TEST(DeadlyTaskAndOthers, TwoDeadlyTasksOnOneWorkerFailTheirJobs)
{
    Trial trial(1);
    trial.submitDeadly("deadly1");
    trial.submitDeadly("deadly2");
    trial.cell.run(timeToFail * 2);
    CHECK_TRUE(trial.cell.state("deadly1") == CellJobState::Failed && trial.cell.state("deadly2") == CellJobState::Failed);
}

// Guards against a cell most of which is away because of a handful of deadly tasks: new jobs have to succeed quickly again.
TEST(DeadlyTaskAndOthers, SixDeadlyTasksDelayLaterJobsOnlyForAWhile)
{
    Trial trial(6);
    for (int i = 0; i < 6; ++i) {
        trial.submitDeadly("deadly" + std::to_string(i), 1, 3000);
    }
    trial.cell.run(longEnough / 2);
    trial.submitInnocents(12, Duration(1000));
    trial.cell.run(Duration(3500));
    CHECK_EQUAL(12, trial.innocentsIn(CellJobState::Succeeded));
}

// Guards against giving up or losing innocent tasks while many deadly ones are tried at random times.
TEST(DeadlyTaskAndOthers, InnocentTasksSucceedBesideManyDeadlyOnes)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        std::mt19937 random(seed);
        Trial trial(6, seed % 2 == 0 ? WorkerReturn::WithNewIncarnation : WorkerReturn::WithNewId);
        int submitted = 0;
        for (int i = 0; i < 60; ++i) {
            if (random() % 10 == 0) {
                trial.submitDeadly("deadly" + std::to_string(i));
            }
            const bool isAdmitted = trial.cell.submit(cellJob("innocent" + std::to_string(i), 1, 1000, Duration(1500))) == AdmissionVerdict::Admitted;
            submitted += isAdmitted ? 1 : 0;
            trial.cell.run(Duration(random() % 500));
        }
        trial.cell.run(longEnough);
        CHECK_EQUAL(submitted, trial.innocentsIn(CellJobState::Succeeded));
    }
}

// Guards against any broken rule under deadly tasks, crashes for other reasons, cuts and changes of capacity together.
TEST(DeadlyTaskAndOthers, NoRuleIsBrokenUnderRandomFaults)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        RandomFaults faults(seed, true);
        faults.run();
        CHECK_NO_VIOLATION(faults.trial.cell);
    }
}

// Guards against innocent tasks that are given up or never started under all these faults together.
TEST(DeadlyTaskAndOthers, InnocentTasksSucceedUnderRandomFaults)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        RandomFaults faults(seed, true);
        faults.run();
        CHECK_EQUAL(faults.admitted, faults.trial.innocentsIn(CellJobState::Succeeded));
    }
}

TEST_GROUP(DeadlyTaskOfAStep){};

// Guards against a caller that waits for a job one of whose tasks cannot succeed while another one still runs.
TEST(DeadlyTaskOfAStep, FailsItsJobSoon)
{
    Trial trial(6);
    trial.submitDeadly(dependentJob("deadly"));
    trial.cell.run(timeToFail);
    CHECK_TRUE(trial.cell.state("deadly") == CellJobState::Failed);
}

// Guards against tasks that use workers although their job has failed.
TEST(DeadlyTaskOfAStep, StopsTheOtherTasksOfItsJob)
{
    Trial trial(6);
    trial.submitDeadly(dependentJob("deadly"));
    trial.cell.run(timeToFail * 2);
    CHECK_EQUAL(0, trial.cell.runningTasks());
}

// Guards against a start of the next step after its earlier one was given up.
TEST(DeadlyTaskOfAStep, StartsNoTaskOfTheStepsAfterIt)
{
    Trial trial(6);
    bool anyStarted = false;
    trial.cell.onStart = [&](const StartOrder &order) {
        anyStarted = anyStarted || order.task.step.step == 1;
        return true;
    };
    trial.submitDeadly(dependentJob("deadly"));
    trial.cell.run(longEnough);
    CHECK_FALSE(anyStarted);
}

// Guards against a task that is started too often because it belongs to a later step.
TEST(DeadlyTaskOfAStep, IsStartedFewTimesInALaterStep)
{
    Trial trial(6);
    CellJob job = cellJob("deadly", 2, 1000, Duration(500));
    StepSpec dependant = job.steps[0];
    dependant.after = {0};
    job.steps.push_back(dependant);
    trial.crashing.makeDeadly("deadly", 1, 1);
    trial.cell.submit(job);
    trial.cell.run(longEnough);
    CHECK_NO_VIOLATION(trial.cell);
}

TEST_GROUP(DeadlyTaskAndLeaders){};

// Guards against leaders that each start counting from zero. Here the old leader only knows that the worker is silent.
TEST(DeadlyTaskAndLeaders, IsStartedFewTimesIfTheLeaderChangesSoonAfterEachCrash)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.runWithChangesOfLeader(longEnough, Duration(1000));
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against leaders that each start counting from zero. Here the VM is back before the leader changes.
TEST(DeadlyTaskAndLeaders, IsStartedFewTimesIfTheLeaderChangesOnceTheWorkerIsBack)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.runWithChangesOfLeader(longEnough, Duration(4500));
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against leaders that each start counting from zero, if workers come back under their old ids.
TEST(DeadlyTaskAndLeaders, IsStartedFewTimesIfTheLeaderChangesAndWorkersReturnWithNewIncarnations)
{
    Trial trial(6, WorkerReturn::WithNewIncarnation);
    trial.submitDeadly("deadly");
    trial.runWithChangesOfLeader(longEnough, Duration(4500));
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a job that is started again by the next leader after it was given up.
TEST(DeadlyTaskAndLeaders, StaysGivenUpAfterAChangeOfLeader)
{
    Trial trial(6);
    trial.submitDeadly("deadly");
    trial.cell.run(longEnough / 2);
    trial.cell.startLeadership(2);
    const int before = trial.crashing.crashes();
    trial.cell.run(longEnough / 2);
    CHECK_EQUAL(before, trial.crashing.crashes());
}

// Guards against giving up innocent tasks because the next leader counts a crash again that the last one has counted.
TEST(DeadlyTaskAndLeaders, InnocentTasksSucceedIfTheLeaderChangesAfterEachCrash)
{
    Trial trial(3);
    trial.submitDeadly("deadly");
    trial.submitInnocents(20, Duration(2500));
    trial.runWithChangesOfLeader(longEnough * 2, Duration(1000));
    CHECK_EQUAL(20, trial.innocentsIn(CellJobState::Succeeded));
}

TEST_GROUP(InnocentTaskAndFaults){};

// Guards against taking a silent worker for a crashed one: its task ends there, since the lease runs out, and has done nothing wrong.
TEST(InnocentTaskAndFaults, IsNotGivenUpHoweverOftenItsWorkerIsCutOff)
{
    Trial trial(1);
    trial.submitInnocents(1, Duration(10000));
    for (int i = 0; i < 6; ++i) {
        trial.runUntilStarted();
        trial.cell.worker(0).reachable = false;
        trial.cell.run(Duration(9000));
        trial.cell.worker(0).reachable = true;
    }
    trial.cell.run(Duration(15000));
    CHECK_TRUE(trial.cell.state("innocent0") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against taking a worker whose registry entry has expired for a crashed one.
TEST(InnocentTaskAndFaults, IsNotGivenUpIfItsWorkersLeaveTheRegistryWhileTheyAreCutOff)
{
    Trial trial(2);
    trial.submitInnocents(1, Duration(10000));
    for (int i = 0; i < 6; ++i) {
        trial.runUntilStarted();
        FakeCellWorker &holder = trial.cell.worker(trial.cell.worker(0).running.empty() ? 1 : 0);
        holder.reachable = false;
        trial.cell.unregistered.insert(holder.info.id);
        trial.cell.run(Duration(6500));
        holder.reachable = true;
        trial.cell.unregistered.clear();
    }
    trial.cell.run(Duration(30000));
    CHECK_TRUE(trial.cell.state("innocent0") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a leader that never uses a worker again after it has forgotten its last one.
TEST(InnocentTaskAndFaults, IsStartedAgainIfTheOnlyWorkerComesBackAfterItWasForgotten)
{
    Trial trial(1);
    trial.submitInnocents(1, Duration(10000));
    trial.runUntilStarted();
    trial.cell.worker(0).reachable = false;
    trial.cell.unregistered.insert(WorkerId("w0"));
    trial.cell.run(Duration(9000));
    trial.cell.worker(0).reachable = true;
    trial.cell.unregistered.clear();
    trial.cell.run(Duration(20000));
    CHECK_TRUE(trial.cell.state("innocent0") == CellJobState::Succeeded);
}

// Guards against taking a cut-off worker for a crashed one after a change of leader.
TEST(InnocentTaskAndFaults, IsNotGivenUpIfTheLeaderChangesWhileItsWorkerIsCutOff)
{
    Trial trial(1);
    trial.submitInnocents(1, Duration(10000));
    for (std::uint64_t i = 0; i < 6; ++i) {
        trial.runUntilStarted();
        trial.cell.worker(0).reachable = false;
        trial.cell.run(Duration(1000));
        trial.cell.startLeadership(2 + i);
        trial.cell.run(Duration(8000));
        trial.cell.worker(0).reachable = true;
    }
    trial.cell.run(Duration(15000));
    CHECK_TRUE(trial.cell.state("innocent0") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against giving up tasks that have lost several workers by chance, each time long after their start.
TEST(InnocentTaskAndFaults, SucceedsIfWorkersCrashAtRandom)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        std::mt19937 random(seed);
        Trial trial(4, seed % 2 == 0 ? WorkerReturn::WithNewIncarnation : WorkerReturn::WithNewId);
        trial.submitInnocents(16, Duration(6000));
        for (int i = 0; i < 10; ++i) {
            trial.cell.run(Duration(1500 + random() % 2000));
            std::vector<WorkerId> busy;
            for (const auto &[id, worker] : trial.cell.workers) {
                if (!worker.running.empty()) {
                    busy.push_back(id);
                }
            }
            if (!busy.empty()) {
                trial.crashing.crash(busy[random() % busy.size()]);
            }
        }
        trial.cell.run(longEnough);
        CHECK_EQUAL(16, trial.innocentsIn(CellJobState::Succeeded));
        CHECK_NO_VIOLATION(trial.cell);
    }
}

// Guards against giving up tasks that ran together on a worker each of the three times that it crashed.
TEST(InnocentTaskAndFaults, SucceedsIfTheOnlyWorkerCrashesThreeTimes)
{
    for (const WorkerReturn workerReturn : {WorkerReturn::WithNewId, WorkerReturn::WithNewIncarnation}) {
        Trial trial(1, workerReturn);
        trial.submitInnocents(4, Duration(3000));
        for (int i = 0; i < 3; ++i) {
            trial.runUntilStarted();
            trial.cell.run(Duration(1000));
            trial.crashWorkerOf("innocent0");
            trial.crashWorkerOf("innocent1");
        }
        trial.cell.run(longEnough);
        CHECK_EQUAL(4, trial.innocentsIn(CellJobState::Succeeded));
        CHECK_NO_VIOLATION(trial.cell);
    }
}

// Guards against giving up a task that ran alone on the two workers that crashed, each time long after its start.
TEST(InnocentTaskAndFaults, SucceedsAloneIfTwoWorkersCrashLateUnderIt)
{
    for (const WorkerReturn workerReturn : {WorkerReturn::WithNewId, WorkerReturn::WithNewIncarnation}) {
        Trial trial(2, workerReturn);
        trial.submitInnocents(1, Duration(5000));
        for (int i = 0; i < 2; ++i) {
            trial.runUntilStarted();
            trial.cell.run(Duration(3000));
            CHECK_TRUE(trial.crashWorkerOf("innocent0"));
        }
        trial.cell.run(longEnough);
        CHECK_EQUAL(1, trial.innocentsIn(CellJobState::Succeeded));
        CHECK_NO_VIOLATION(trial.cell);
    }
}

// Guards against giving up a long-running task whose workers crash from time to time for other reasons.
TEST(InnocentTaskAndFaults, KeepsALongRunningTaskWhoseWorkersCrashFromTimeToTime)
{
    Trial trial(4);
    trial.cell.submit(longRunningJob("service"));
    for (int i = 0; i < 4; ++i) {
        trial.cell.run(Duration(20000));
        CHECK_TRUE(trial.crashWorkerOf("service"));
    }
    trial.cell.run(Duration(10000));
    CHECK_TRUE(trial.cell.state("service") == CellJobState::Active);
}

// Guards against innocent tasks that are given up or never started under crashes, cuts and changes of capacity, where none is deadly.
TEST(InnocentTaskAndFaults, SucceedsUnderRandomFaults)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        RandomFaults faults(seed, false);
        faults.run();
        CHECK_EQUAL(faults.admitted, faults.trial.innocentsIn(CellJobState::Succeeded));
        CHECK_NO_VIOLATION(faults.trial.cell);
    }
}

TEST_GROUP(ChangingCapacity){};

// Guards against starts that bring a worker over a capacity that has shrunk while tasks run on it.
TEST(ChangingCapacity, StartsNothingOverACapacityThatHasShrunk)
{
    Trial trial(2);
    trial.submitInnocents(20, Duration(900));
    trial.cell.run(Duration(700));
    trial.cell.worker(0).changeCapacity(cellResources(1500, 64000), trial.cell.now);
    trial.cell.run(Duration(5000));
    trial.submitInnocents(20, Duration(900), "later");
    trial.cell.run(longEnough / 3);
    CHECK_EQUAL(20, trial.innocentsIn(CellJobState::Succeeded, "later"));
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against starts before the tasks that use the lost capacity have ended.
TEST(ChangingCapacity, StartsNothingWhileTheRunsExceedTheCapacity)
{
    Trial trial(1);
    trial.submitInnocents(4, Duration(12000));
    trial.cell.run(Duration(500));
    CHECK_EQUAL(4, trial.cell.runningTasks());
    trial.cell.worker(0).changeCapacity(cellResources(2000, 64000), trial.cell.now);
    trial.submitInnocents(4, Duration(500), "later");
    trial.cell.run(longEnough / 3);
    CHECK_EQUAL(4, trial.innocentsIn(CellJobState::Succeeded, "later"));
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against stopping tasks because the capacity of their worker has shrunk: only starts are limited.
TEST(ChangingCapacity, StopsNoTaskIfTheCapacityShrinks)
{
    Trial trial(1);
    trial.submitInnocents(4, Duration(6000));
    trial.cell.run(Duration(500));
    trial.cell.worker(0).changeCapacity(cellResources(1000, 64000), trial.cell.now);
    trial.cell.run(Duration(7000));
    CHECK_EQUAL(4, trial.innocentsIn(CellJobState::Succeeded));
    CHECK_EQUAL(4, trial.cell.starts);
}

// Guards against capacity that stays unused after it has grown again.
TEST(ChangingCapacity, UsesACapacitySoonAfterItHasGrown)
{
    Trial trial(1);
    trial.cell.worker(0).changeCapacity(cellResources(1000, 64000), trial.cell.now);
    trial.cell.run(Duration(600));
    trial.submitInnocents(4, Duration(8000));
    trial.cell.run(Duration(600));
    trial.cell.worker(0).changeCapacity(cellResources(4000, 64000), trial.cell.now);
    trial.cell.run(Duration(1500));
    CHECK_EQUAL(4, trial.cell.runningTasks());
}

// Guards against a task that is never started because no worker was large enough for it when it was considered.
TEST(ChangingCapacity, StartsATaskThatNoWorkerHadRoomForBefore)
{
    Trial trial(2);
    trial.cell.worker(0).changeCapacity(cellResources(1000, 64000), trial.cell.now);
    trial.cell.worker(1).changeCapacity(cellResources(1000, 64000), trial.cell.now);
    trial.cell.run(Duration(600));
    trial.cell.submit(cellJob("large", 1, 3000, Duration(1000)));
    trial.cell.run(Duration(5000));
    trial.cell.worker(1).changeCapacity(cellResources(4000, 64000), trial.cell.now);
    trial.cell.run(Duration(3000));
    CHECK_TRUE(trial.cell.state("large") == CellJobState::Succeeded);
}

// Guards against a new leader that relies on a larger capacity, or does not count the runs of the last leader.
TEST(ChangingCapacity, StartsNothingOverItAfterAChangeOfLeader)
{
    for (const int delay : {0, 300, 2000}) {
        Trial trial(2);
        trial.submitInnocents(8, Duration(9000));
        trial.cell.run(Duration(700));
        trial.cell.worker(0).changeCapacity(cellResources(1500, 64000), trial.cell.now);
        trial.submitInnocents(12, Duration(900), "later");
        trial.cell.run(Duration(delay));
        trial.cell.startLeadership(2);
        trial.cell.run(longEnough / 3);
        CHECK_EQUAL(12, trial.innocentsIn(CellJobState::Succeeded, "later"));
        CHECK_NO_VIOLATION(trial.cell);
    }
}

// Guards against counting a run that is being stopped as gone: it uses its demand until it has ended.
TEST(ChangingCapacity, CountsWhatIsBeingStopped)
{
    Trial trial(1);
    trial.cell.stopDuration = Duration(200);
    trial.cell.submit(cellJob("old", 4, 1000, Duration(60000)));
    trial.cell.run(Duration(500));
    trial.cell.worker(0).changeCapacity(cellResources(2000, 64000), trial.cell.now);
    trial.cell.run(Duration(6000));
    trial.submitInnocents(6, Duration(500));
    trial.cell.cancel("old");
    trial.cell.run(longEnough / 3);
    CHECK_EQUAL(6, trial.innocentsIn(CellJobState::Succeeded));
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against a new leader that does not count a run that the last leader was stopping.
TEST(ChangingCapacity, CountsWhatIsBeingStoppedAfterAChangeOfLeader)
{
    for (const int delay : {5, 50, 150}) {
        Trial trial(1);
        trial.cell.stopDuration = Duration(200);
        trial.cell.submit(cellJob("old", 4, 1000, Duration(60000)));
        trial.cell.run(Duration(500));
        trial.cell.worker(0).changeCapacity(cellResources(2000, 64000), trial.cell.now);
        trial.cell.run(Duration(6000));
        trial.submitInnocents(6, Duration(500));
        trial.cell.cancel("old");
        trial.cell.run(Duration(delay));
        trial.cell.startLeadership(2);
        trial.cell.run(longEnough / 3);
        CHECK_EQUAL(6, trial.innocentsIn(CellJobState::Succeeded));
        CHECK_NO_VIOLATION(trial.cell);
    }
}

// Guards against a gang that is lost or started over the capacity while it waits for workers whose capacity changes.
TEST(ChangingCapacity, StartsAGangOnceTheCapacityHasGrownAgain)
{
    Trial trial(2);
    trial.cell.worker(0).changeCapacity(cellResources(1000, 64000), trial.cell.now);
    trial.cell.run(Duration(5000));
    CellJob gang = cellJob("gang", 6, 1000, Duration(1000));
    gang.steps[0].gang = true;
    trial.cell.submit(gang);
    trial.cell.run(Duration(3000));
    trial.cell.worker(0).changeCapacity(cellResources(3000, 64000), trial.cell.now);
    trial.cell.run(Duration(5000));
    CHECK_TRUE(trial.cell.state("gang") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against starts over the capacity, and against tasks that are never started, for random changes of capacity and of the leader.
TEST(ChangingCapacity, KeepsTheLimitUnderRandomChanges)
{
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
        std::mt19937 random(seed);
        Trial trial(3);
        trial.cell.stopDuration = Duration(random() % 200);
        std::uint64_t epoch = 1;
        int submitted = 0;
        for (int i = 0; i < 80; ++i) {
            const bool isAdmitted = trial.cell.submit(cellJob("innocent" + std::to_string(i),
                                                              1 + static_cast<int>(random() % 3),
                                                              700 + static_cast<std::int64_t>(random() % 600),
                                                              Duration(300 + random() % 3000)))
                == AdmissionVerdict::Admitted;
            submitted += isAdmitted ? 1 : 0;
            if (random() % 4 == 0) {
                trial.cell.worker(static_cast<int>(random() % 3))
                    .changeCapacity(cellResources(500 + static_cast<std::int64_t>(random() % 3500), 64000), trial.cell.now);
            }
            if (random() % 15 == 0) {
                trial.cell.startLeadership(++epoch);
            }
            trial.cell.run(Duration(random() % 1200));
        }
        for (int i = 0; i < 3; ++i) {
            trial.cell.worker(i).changeCapacity(cellResources(4000, 64000), trial.cell.now);
        }
        trial.cell.run(longEnough);
        CHECK_EQUAL(submitted, trial.innocentsIn(CellJobState::Succeeded));
        CHECK_NO_VIOLATION(trial.cell);
    }
}
