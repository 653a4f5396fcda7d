// The order in which a large number of waiting steps is considered.
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

constexpr std::int64_t wholeWorker = 4000; // Millicores of a worker.
constexpr Duration longTime{60000}; // Longer than a test.

/// Stores a job that was accepted by an earlier leader, so that no admission rule applies.
void storeAccepted(FakeCell &cell, CellJob job, const std::string &label)
{
    job.steps[0].requiredLabel = label;
    job.submittedUnixMs = cell.time().unixMs;
    cell.storedJobs[job.id] = job;
    cell.scheduler->onJobStored(job, cell.time());
}

} // namespace

TEST_GROUP(PlacementTurns){};

// Guards against a step that is never considered, since the passes that consider only a part of the waiting steps make those that consider all
// of them begin again before they reach it.
TEST(PlacementTurns, RetryTheLastOfManyWaitingSteps)
{
    FakeCell cell(4, wholeWorker);
    for (int i = 0; i < 4; ++i) {
        cell.worker(i).info.labels.emplace_back(i < 3 ? "filled" : "free");
    }
    cell.addRoute("last", 2);
    cell.startLeadership();
    cell.run(Duration(500));
    storeAccepted(cell, cellJob("filling", 3, wholeWorker, longTime), "filled"); // No step is ranked first for its long wait on a cell that is this full.
    storeAccepted(cell, cellJob("last", 1, wholeWorker, longTime, "last"), "free");
    cell.run(Duration(200));
    // Waiting gangs take part in every pass. These never fit, the other steps wait for room.
    for (int i = 0; i < 245; ++i) {
        CellJob gang = cellJob("gang" + std::to_string(i), 2, wholeWorker, longTime, "urgent");
        gang.steps[0].gang = true;
        storeAccepted(cell, gang, "free");
    }
    for (int i = 0; i < 300; ++i) {
        storeAccepted(cell, cellJob("other" + std::to_string(i), 1, wholeWorker, longTime), "filled");
    }
    cell.run(Duration(500));
    cell.worker(3).failsAll = true;
    cell.run(Duration(5));
    cell.worker(3).failsAll = false;
    // The failed task may start again after 50 ms, without any change on a worker then. Full passes come every 50 ms; seven reach every step.
    cell.run(Duration(1000));
    CHECK_EQUAL(1, static_cast<int>(cell.worker(3).running.size()));
}

} // namespace KingCupLadder
