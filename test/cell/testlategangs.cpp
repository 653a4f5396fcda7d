// The order of late gangs among other steps.
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

constexpr int workerCount = 4;
constexpr std::int64_t wholeWorker = 4000;
constexpr Duration fillingTime{5000};
constexpr Duration smallTask{1000};

void submitStored(FakeCell &cell, CellJob job)
{
    job.submittedUnixMs = cell.time().unixMs;
    cell.storedJobs[job.id] = job;
    cell.scheduler->onJobStored(job, cell.time());
}

/// Submits as much work as the cell can run.
void streamSmallWork(FakeCell &cell, Duration span)
{
    const TimePoint until = cell.now + span;
    while (cell.now < until) {
        submitStored(cell, cellJob("small" + std::to_string(cell.storedJobs.size()), 4, wholeWorker / 4, smallTask));
        cell.run(smallTask / workerCount);
    }
}

} // namespace

TEST_GROUP(LateGangs){};

// Guards against gangs that wait for as long as a stream of small work of a lower priority lasts: having become late while the cell was full,
// a gang came after that work, although it could wait.
TEST(LateGangs, StartDespiteAStreamOfSmallWork)
{
    FakeCell cell(workerCount, wholeWorker);
    cell.startLeadership();
    cell.run(Duration(500));
    submitStored(cell, cellJob("filling", workerCount, wholeWorker, fillingTime, "urgent"));
    cell.run(Duration(200));
    CellJob gang = cellJob("gang", workerCount, wholeWorker, smallTask, "urgent");
    gang.steps[0].gang = true;
    submitStored(cell, gang);
    // The objective of the gang is 4 s, so it is late when the filling tasks end.
    cell.run(fillingTime - Duration(700));
    streamSmallWork(cell, Duration(4000));
    CHECK_TRUE(isFinal(cell.state("gang")));
    CHECK_NO_VIOLATION(cell);
}

} // namespace KingCupLadder
