// Gangs whose allowed workers are full while other workers have room.
#include "largecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

/// Of what its callers could get, each kind of job has to get this part on this workload, see docs/hard-load.md.
constexpr double targetFraction = 0.71;

constexpr std::int64_t wholeWorker = 4000; // Millicores of a worker.
constexpr Duration longTime{60000}; // Longer than a test.
constexpr Duration callTime{1000};
constexpr int workersFree = 120; // When the gang asks for the first time; more than one call names, and more than half of the cell.
constexpr int workersFull = 100;
constexpr int gangTasks = 20;

/// A cell in which a gang has an answer about the workers that were free at first. By then they are full, with tasks that take @p occupiedFor.
class FullCellWithGang
{
public:
    explicit FullCellWithGang(Duration occupiedFor) : cell(workersFree + workersFull, wholeWorker)
    {
        for (int i = 0; i < workersFree + workersFull; ++i) {
            cell.worker(i).info.labels.emplace_back(i < workersFree ? "free at first" : i % 10 == 0 ? "every tenth" : "full at first");
        }
        cell.addRoute("filling", 0);
        cell.addRoute("gangs", 1, AdviceSettings{static_cast<double>(callTime.count()), 0, Duration(2500)});
        cell.config->routes.back().stretch = 10; // The gang stays in time.
        cell.startLeadership();
        cell.run(Duration(500));
        fill("full at first", workersFull * 9 / 10, longTime);
        fill("every tenth", workersFull / 10, longTime);
        cell.run(Duration(200));
        CellJob gang = cellJob("gang", gangTasks, wholeWorker, Duration(1000), "gangs");
        gang.steps[0].gang = true;
        store(gang);
        cell.run(Duration(50));
        fill("free at first", workersFree, occupiedFor);
        cell.run(callTime);
    }

    /// Ends the tasks that were running at first on the workers with @p label.
    void release(const std::string &label)
    {
        cell.cancel(label);
        cell.run(Duration(50));
    }

    [[nodiscard]] int runningMembers() const
    {
        int running = 0;
        for (const auto &[id, worker] : cell.workers) {
            for (const auto &[task, run] : worker.running) {
                running += task.step.job == JobId("gang") ? 1 : 0;
            }
        }
        return running;
    }

    FakeCell cell;

private:
    void store(CellJob job)
    {
        job.submittedUnixMs = cell.time().unixMs;
        cell.storedJobs[job.id] = job;
        cell.scheduler->onJobStored(job, cell.time());
    }

    /// Stores a job with the id @p label that fills the workers with this label.
    void fill(const std::string &label, int workers, Duration taskDuration)
    {
        CellJob job = cellJob(label, workers, wholeWorker, taskDuration, "filling");
        job.steps[0].requiredLabel = label;
        store(job);
    }
};

} // namespace

TEST_GROUP(GangsOnAFullCell){};

// Guards against gangs that stop asking about further workers while those that they may use are full and others have room.
TEST(GangsOnAFullCell, GetTheirPartBesideSmallTasksOfALowerPriority)
{
    for (const unsigned seed : {1U, 3U}) {
        LargeCell largeCell(lendingLoad(), seed);
        largeCell.serve(Duration(20000), {{quick, 1.5}, {gangs, 1.5}, {batches, 1.5}});
        CHECK_TRUE(largeCell.fractionOnTime(gangs) >= targetFraction);
        CHECK_TRUE(largeCell.fractionOnTime(quick) >= targetFraction);
        CHECK_TRUE(largeCell.fractionOnTime(batches) >= targetFraction);
        // Tickets expire before there is room.
        CHECK_TRUE(largeCell.cell.scheduler->counters().advice.calls.at({1, AdvicePurpose::Renewal}).calls > 0);
        CHECK_NO_VIOLATION(largeCell.cell);
    }
}

// Guards against a gang that is never started although the cell has room for it, on workers that it has not asked about: the capacity of its
// allowed workers when they are idle was taken for room.
TEST(GangsOnAFullCell, StartOnWorkersThatTheyHaveNotAskedAbout)
{
    FullCellWithGang fullCell(longTime);
    fullCell.release("full at first");
    fullCell.cell.run(callTime + Duration(100));
    CHECK_EQUAL(gangTasks, fullCell.runningMembers());
    CHECK_NO_VIOLATION(fullCell.cell);
}

// Guards against many short calls about further workers, each of which costs the fixed part again. Workers take no time in this cell.
TEST(GangsOnAFullCell, NameAsManyFurtherWorkersAsTheFixedPartOfACallCosts)
{
    FullCellWithGang fullCell(longTime);
    const int namedBefore = fullCell.cell.workersNamed;
    fullCell.release("full at first");
    fullCell.cell.run(callTime);
    CHECK_EQUAL(workersFull * 9 / 10, fullCell.cell.workersNamed - namedBefore);
}

// Guards against a size of calls that grows without a bound when workers take nearly no time.
TEST(GangsOnAFullCell, AskAboutABoundedNumberOfWorkersWhateverTheyCost)
{
    CHECK_EQUAL(70U, (AdviceSettings{455, 6.5, Duration(2500)}.workersForFixedPart()));
    CHECK_EQUAL(0U, (AdviceSettings{0, 6.5, Duration(2500)}.workersForFixedPart()));
    CHECK_EQUAL(1000000U, (AdviceSettings{455, 0, Duration(2500)}.workersForFixedPart()));
    CHECK_EQUAL(1000000U, (AdviceSettings{455, 1e-300, Duration(2500)}.workersForFixedPart()));
}

// Guards against calls that can't give a gang the room that it lacks.
TEST(GangsOnAFullCell, AskNoFurtherIfOtherWorkersHaveTooLittleRoom)
{
    FullCellWithGang fullCell(longTime);
    fullCell.release("every tenth"); // Room for half of the gang.
    fullCell.cell.run(callTime * 2);
    CHECK_EQUAL(1, fullCell.cell.adviceCalls);
}

// Guards against calls whose answer comes only after the start for which the gang has reserved room.
TEST(GangsOnAFullCell, AskNoFurtherIfTheyStartBeforeTheAnswer)
{
    FullCellWithGang fullCell(callTime + Duration(400));
    fullCell.release("full at first");
    fullCell.cell.run(Duration(500));
    CHECK_EQUAL(1, fullCell.cell.adviceCalls);
    CHECK_EQUAL(gangTasks, fullCell.runningMembers());
}

} // namespace KingCupLadder
