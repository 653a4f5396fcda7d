// Preemption of running tasks on a full cell.
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

constexpr std::int64_t wholeWorker = 4000; // Millicores of a worker.
constexpr int workerCount = 4;
constexpr Duration longTime{20000};

/// A cell that is full of tasks of the route "batch", which has the lower priority.
class FullCell : public FakeCell
{
public:
    explicit FullCell(int urgentPriority = 0, int tasksPerWorker = 1) : FakeCell(workerCount, wholeWorker)
    {
        config->routes[1].priority = urgentPriority;
        stopDuration = Duration(300);
        startLeadership();
        run(Duration(500));
        CellJob filling = cellJob("filling", workerCount * tasksPerWorker, wholeWorker / tasksPerWorker, longTime);
        filling.steps[0].checkpointing = true;
        submitStored(filling);
        run(Duration(2000));
    }

    /// Stores the job as if it had been admitted.
    void submitStored(CellJob job)
    {
        job.submittedUnixMs = time().unixMs;
        storedJobs[job.id] = job;
        scheduler->onJobStored(job, time());
    }

    void submitUrgent(int tasks, bool isGang = false)
    {
        CellJob job = cellJob("urgent", tasks, wholeWorker, Duration(1000), "urgent");
        job.steps[0].gang = isGang;
        submitStored(job);
    }
};

} // namespace

TEST_GROUP(Preemption){};

// Guards against work of the highest priority that misses its objective on a cell full of long tasks of a lower one.
TEST(Preemption, StartsUrgentWorkInTimeOnAFullCell)
{
    FullCell cell;
    cell.submitUrgent(1);
    cell.run(Duration(2500));
    CHECK_TRUE(isFinal(cell.state("urgent")));
    CHECK_EQUAL(1, cell.scheduler->counters().preempted);
    CHECK_NO_VIOLATION(cell);
}

// Guards against changes for deployments whose routes all have the same priority.
TEST(Preemption, StopsNothingAmongEqualPriorities)
{
    FullCell cell(1);
    cell.submitUrgent(1);
    cell.run(Duration(2500));
    CHECK_EQUAL(0, cell.scheduler->counters().preempted);
}

// Guards against the loss of the work that a preempted task had done before.
TEST(Preemption, ContinuesThePreemptedTaskFromItsCheckpoint)
{
    FullCell cell;
    cell.submitUrgent(1);
    cell.run(longTime + Duration(1000));
    CHECK_EQUAL(1, cell.scheduler->counters().preempted);
    CHECK_TRUE(isFinal(cell.state("filling")));
    CHECK_NO_VIOLATION(cell);
}

// Guards against a task that never ends because urgent work stops it again and again.
TEST(Preemption, StopsNoTaskTwiceInARow)
{
    FullCell cell;
    std::map<TaskRef, std::set<RunNumber>> stoppedRuns;
    cell.onStop = [&stoppedRuns](const StopOrder &order) {
        stoppedRuns[order.task].insert(order.run);
        return true;
    };
    for (int i = 0; i < 12; ++i) {
        CellJob job = cellJob("urgent" + std::to_string(i), 1, wholeWorker, Duration(1000), "urgent");
        cell.submitStored(job);
        cell.run(Duration(1600));
    }
    CHECK_TRUE(stoppedRuns.size() >= 2);
    for (const auto &[task, runs] : stoppedRuns) {
        CHECK_EQUAL(1, runs.size());
    }
    CHECK_NO_VIOLATION(cell);
}

// Guards against smaller work of a lower priority that takes the room of the first run that has ended, while the step waits for the others.
TEST(Preemption, ReservesTheRoomForTheWaitingStep)
{
    FullCell cell(0, 2);
    int stops = 0;
    cell.onStop = [&stops](const StopOrder &) { return ++stops != 2; }; // The second stop takes effect when it is repeated.
    cell.submitUrgent(1);
    cell.run(Duration(150));
    CHECK_EQUAL(2, cell.scheduler->counters().preempted);
    cell.submitStored(cellJob("small", 8, wholeWorker / 2, longTime));
    cell.run(Duration(1000));
    int urgentRuns = 0;
    for (const auto &[id, worker] : cell.workers) {
        urgentRuns += static_cast<int>(worker.running.count(TaskRef{StepRef{JobId("urgent"), 0, 0}, 0}));
    }
    CHECK_EQUAL(1, urgentRuns);
}

// Guards against room that stays reserved for a job that was cancelled.
TEST(Preemption, ReleasesTheRoomOfACancelledJob)
{
    FullCell cell;
    cell.submitUrgent(1);
    cell.run(Duration(150));
    cell.cancel("urgent");
    cell.run(Duration(600));
    CHECK_EQUAL(workerCount, cell.runningTasks());
    CHECK_NO_VIOLATION(cell);
}

// Guards against a lost stop order after which the urgent step waits until its reservation lapses.
TEST(Preemption, RepeatsALostStop)
{
    FullCell cell;
    int stops = 0;
    cell.onStop = [&stops](const StopOrder &) { return ++stops > 1; };
    cell.submitUrgent(1);
    cell.run(Duration(2500));
    CHECK_TRUE(isFinal(cell.state("urgent")));
    CHECK_TRUE(stops >= 2);
    CHECK_EQUAL(1, cell.scheduler->counters().preempted);
}

// Guards against stopped tasks that are lost, or run twice, when the leader changes before their ends are listed.
TEST(Preemption, SurvivesAChangeOfLeader)
{
    FullCell cell;
    cell.submitUrgent(1);
    cell.run(Duration(150));
    CHECK_EQUAL(1, cell.scheduler->counters().preempted);
    cell.startLeadership(2);
    cell.run(longTime * 3);
    CHECK_TRUE(isFinal(cell.state("urgent")));
    CHECK_TRUE(isFinal(cell.state("filling")));
    CHECK_NO_VIOLATION(cell);
}

} // namespace KingCupLadder
