#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

/// A cell of which every third worker takes 1.7 times the duration of a task, the others 0.7 times.
TEST_GROUP(CellSpeeds)
{
    FakeCell cell{12};
    int submitted = 0;

    void learn()
    {
        cell.startLeadership();
        for (int i = 0; i < 12; ++i) {
            cell.worker(i).slowness = isSlow(i) ? 1.7 : 0.7;
        }
        for (int i = 0; i < 40; ++i) {
            cell.submit(cellJob("learn" + std::to_string(i), 10, 1000, Duration(600)));
            cell.run(Duration(100));
        }
        cell.run(Duration(12000));
        LONGS_EQUAL(0, cell.runningTasks());
    }

    [[nodiscard]] static bool isSlow(int worker)
    {
        return worker % 3 == 0;
    }

    [[nodiscard]] int runsOnSlowWorkers()
    {
        int runs = 0;
        for (int i = 0; i < 12; ++i) {
            runs += isSlow(i) ? static_cast<int>(cell.worker(i).running.size()) : 0;
        }
        return runs;
    }

    /// Submits a job and waits until it has started.
    void submitTo(const std::string &route, int tasks, bool gang)
    {
        CellJob job = cellJob(route + std::to_string(submitted++), tasks, 1000, Duration(1000), route);
        job.steps[0].gang = gang;
        cell.submit(job);
        cell.run(Duration(40));
    }

    void setup() override
    {
        cell.config->routes[1].stretch = 1.3;
        cell.config->routes[1].targetLatency = Duration(250);
    }
};

// Guards against urgent work that is late because it was placed on a worker that is 2.4 times slower.
TEST(CellSpeeds, PlacesUrgentTasksOnFastWorkers)
{
    learn();
    submitTo("urgent", 8, false);
    LONGS_EQUAL(8, cell.runningTasks());
    LONGS_EQUAL(0, runsOnSlowWorkers());
}

// Guards against fast workers that are occupied by work that has time, so that urgent work finds only slow ones.
TEST(CellSpeeds, PlacesWorkThatHasTimeOnSlowWorkers)
{
    learn();
    submitTo("batch", 8, false);
    LONGS_EQUAL(8, runsOnSlowWorkers());
}

// Guards against gangs with a single slow member, for which all others wait.
TEST(CellSpeeds, StartsAGangOnWorkersOfOneSpeed)
{
    learn();
    submitTo("batch", 20, true); // The slow workers have room for 16 of them, the fast ones for 32.
    LONGS_EQUAL(20, cell.runningTasks());
    LONGS_EQUAL(0, runsOnSlowWorkers());
}

// Guards against slow workers that stay idle while work waits that can't be in time on any worker.
TEST(CellSpeeds, LeavesNoRoomUnusedUnderOverload)
{
    learn();
    submitTo("urgent", 120, false); // Of which 48 fit at a time.
    cell.run(Duration(1500));
    CHECK_TRUE(runsOnSlowWorkers() > 8);
    CHECK_NO_VIOLATION(cell);
}

// Guards against new work on a worker that has become far slower while it runs its present tasks.
TEST(CellSpeeds, AvoidsAWorkerThatTurnsSlow)
{
    learn();
    cell.worker(1).changeSlowness(5.25, cell.now);
    for (int i = 0; i < 10; ++i) {
        submitTo("urgent", 24, false);
        cell.run(Duration(800));
    }
    submitTo("urgent", 20, false);
    LONGS_EQUAL(0, static_cast<int>(cell.worker(1).running.size()));
}

} // namespace KingCupLadder
