// Room that is withheld for gangs that fit but lack valid tickets of the policy service.
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

constexpr std::int64_t wholeWorker = 4000; // Millicores of a worker.
constexpr Duration longTime{60000}; // Longer than a test.
constexpr int filledWorkers = 12; // More than half of the cell, so that no step is ranked first for its long wait.
constexpr int wideWorkers = 8; // For the gangs and the small step.

/// A cell for gangs, which come after the jobs of the route "first" and before those of the route "small".
FakeCell gangCell(const AdviceSettings &advice, int daemons)
{
    FakeCell cell(filledWorkers + wideWorkers, wholeWorker);
    for (int i = 0; i < filledWorkers + wideWorkers; ++i) {
        cell.worker(i).info.labels.emplace_back(i < filledWorkers ? "filled" : "wide");
    }
    cell.addRoute("first", 0);
    cell.config->routes.back().stretch = 1000; // Its jobs never become late.
    cell.addRoute("gangs", 1, advice);
    cell.addRoute("small", 2);
    cell.daemonCount = daemons;
    return cell;
}

void storeAccepted(FakeCell &cell, CellJob job, const std::string &label)
{
    job.steps[0].requiredLabel = label;
    job.submittedUnixMs = cell.time().unixMs;
    cell.storedJobs[job.id] = job;
    cell.scheduler->onJobStored(job, cell.time());
}

/// Fills the cell with long tasks, until releaseWideWorkers() where the gangs may run. A gang ends soon after its start.
void fill(FakeCell &cell)
{
    cell.duration = [](const StartOrder &order) { return order.task.step.job.value().rfind("gang", 0) == 0 ? Duration(300) : longTime; };
    cell.startLeadership();
    cell.run(Duration(500));
    storeAccepted(cell, cellJob("filling", filledWorkers, wholeWorker, longTime, "first"), "filled");
    storeAccepted(cell, cellJob("occupying", wideWorkers, wholeWorker, longTime, "first"), "wide");
    cell.run(Duration(200));
}

void storeGangs(FakeCell &cell, int gangs, int tasks, std::int64_t milliCores)
{
    for (int i = 0; i < gangs; ++i) {
        CellJob gang = cellJob("gang" + std::to_string(i), tasks, milliCores, longTime, "gangs");
        gang.steps[0].gang = true;
        storeAccepted(cell, gang, "wide");
    }
}

void releaseWideWorkers(FakeCell &cell)
{
    cell.cancel("occupying");
    cell.run(Duration(50));
}

/// Stores a small step without advice and returns whether it is started within @p span.
bool startsSmallStep(FakeCell &cell, Duration span)
{
    storeAccepted(cell, cellJob("small", 1, 500, longTime, "small"), "wide");
    cell.run(span);
    int running = 0;
    for (const auto &[id, worker] : cell.workers) {
        running += static_cast<int>(worker.running.count(TaskRef{StepRef{JobId("small"), 0, 0}, 0}));
    }
    return running == 1;
}

} // namespace

TEST_GROUP(GangReservations){};

// Guards against room that is withheld for gangs whose renewals wait for many others in the queue of calls.
TEST(GangReservations, WithholdNothingForRenewalsFarBackInTheQueue)
{
    FakeCell cell = gangCell(AdviceSettings{1000, 0, Duration(2500)}, 2);
    fill(cell);
    storeGangs(cell, 12, 4, 2000); // Four of them need all the room. Two calls can be under way.
    cell.run(Duration(12000));
    releaseWideWorkers(cell);
    CHECK_TRUE(startsSmallStep(cell, Duration(500)));
}

// Guards against room that is withheld for an unlimited number of gangs at a time.
TEST(GangReservations, WithholdRoomForALimitedNumberOfGangs)
{
    FakeCell cell = gangCell(AdviceSettings{1000, 0, Duration(2500)}, 40);
    fill(cell);
    storeGangs(cell, 20, 4, 400); // They need all the room, and all of their calls can be under way.
    cell.run(Duration(6000));
    releaseWideWorkers(cell);
    CHECK_TRUE(startsSmallStep(cell, Duration(500)));
}

} // namespace KingCupLadder
