#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(RunProofs){/// Starts one long task and returns its worker, which drains from then on and goes on for long.
                      static FakeCellWorker & startTaskOnDrainingWorker(FakeCell & cell){cell.startLeadership();
cell.submit(cellJob("job", 1, 1000, Duration(9000)));
cell.run(Duration(1000));
CHECK_EQUAL(1, cell.starts);
FakeCellWorker &worker = cell.worker(0).running.empty() ? cell.worker(1) : cell.worker(0);
worker.info.draining = true;
worker.info.remaining = Duration(20000);
cell.run(Duration(1200));
return worker;
}
}
;

// Guards against a task that runs twice because the registry entry of its draining worker expired during an outage of the store (review case 7).
TEST(RunProofs, KeepsTheRunsOfADrainingWorkerWhoseEntryIsMissing)
{
    FakeCell cell(2);
    const FakeCellWorker &worker = startTaskOnDrainingWorker(cell);
    cell.unregistered.insert(worker.info.id);
    cell.run(Duration(1200));
    cell.unregistered.clear();
    cell.run(Duration(12000));
    CHECK_EQUAL(1, cell.starts);
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a task that runs twice because a new leader read the entry of its draining worker, which was cut off, shortly before the entry
// expired (review case 9).
TEST(RunProofs, WaitsForTheLeasesOfADrainingWorkerThatANewLeaderHasNotReached)
{
    FakeCell cell(2);
    FakeCellWorker &worker = startTaskOnDrainingWorker(cell);
    worker.reachable = false;
    cell.run(Duration(600));
    cell.startLeadership(2);
    cell.run(Duration(700));
    cell.unregistered.insert(worker.info.id);
    cell.run(Duration(20000));
    CHECK_EQUAL(2, cell.starts);
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a task that waits for ever because its worker answers holds, but neither the start nor the stop of the run: a worker whose
// connections are used up keeps the open one of the holds and resets all new ones.
TEST(RunProofs, StartsATaskElsewhereIfItsWorkerAnswersOnlyHolds)
{
    FakeCell cell(2);
    const WorkerId silent("w0");
    cell.onStart = [&silent](const StartOrder &order) { return !(order.worker == silent); };
    cell.onStop = [&silent](const StopOrder &order) { return !(order.worker == silent); };
    cell.unregistered.insert(WorkerId("w1"));
    cell.startLeadership();
    cell.run(Duration(500));
    CHECK_TRUE(cell.submit(cellJob("job", 1, 1000, Duration(9000))) == AdmissionVerdict::Admitted);
    cell.run(Duration(300));
    cell.unregistered.clear();
    cell.run(Duration(3500));
    CHECK_EQUAL(1U, cell.worker(1).running.size());
    CHECK_NO_VIOLATION(cell);
}

// Guards against a task that waits for ever because its worker left while it ran.
TEST(RunProofs, StartsATaskElsewhereOnceTheLeasesOfItsDrainingWorkerHaveExpired)
{
    FakeCell cell(2);
    FakeCellWorker &worker = startTaskOnDrainingWorker(cell);
    worker.crashed = true;
    cell.run(Duration(8000));
    CHECK_EQUAL(2, cell.starts);
    CHECK_NO_VIOLATION(cell);
}
