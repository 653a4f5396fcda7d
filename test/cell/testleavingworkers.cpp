#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

/// A run of 5 s on a worker that announces, 0.7 s after the start, to leave in 3 s.
TEST_GROUP(LeavingWorkers)
{
    FakeCell cell{4};
    int holder = 0;

    void start(bool gang)
    {
        cell.startLeadership();
        CellJob job = cellJob("job", gang ? 8 : 4, 1000, Duration(5000));
        job.steps[0].checkpointing = true;
        job.steps[0].gang = gang;
        cell.submit(job);
        cell.run(Duration(700));
        while (cell.worker(holder).running.empty()) {
            ++holder;
        }
        cell.worker(holder).info.draining = true;
        cell.worker(holder).info.remaining = Duration(3000);
    }

    /// Reports a steady heartbeat: the remaining time falls as time passes.
    void runWhileLeaving(Duration span)
    {
        const TimePoint until = cell.now + span;
        while (cell.now < until) {
            cell.run(Duration(100));
            cell.worker(holder).info.remaining -= Duration(100);
        }
    }
};

// Guards against runs that are stopped long before their worker leaves, although their checkpoint makes a late stop free. Happens when many
// workers announce to leave and few do.
TEST(LeavingWorkers, KeepARunWithCheckpointsUntilTheLatestStop)
{
    start(false);
    runWhileLeaving(Duration(1300));
    LONGS_EQUAL(4, static_cast<int>(cell.worker(holder).running.size()));
    runWhileLeaving(Duration(1200));
    LONGS_EQUAL(0, static_cast<int>(cell.worker(holder).running.size()));
    LONGS_EQUAL(4, cell.runningTasks());
    CHECK_NO_VIOLATION(cell);
}

// Guards against gangs that are restarted several times, or in parts, because one of their workers leaves.
TEST(LeavingWorkers, MoveAGangWithCheckpointsOnce)
{
    start(true);
    runWhileLeaving(Duration(1300));
    LONGS_EQUAL(8, cell.starts);
    runWhileLeaving(Duration(1500));
    LONGS_EQUAL(0, static_cast<int>(cell.worker(holder).running.size()));
    LONGS_EQUAL(8, cell.runningTasks());
    LONGS_EQUAL(16, cell.starts);
}

} // namespace KingCupLadder
