#include "cell/localitywait.h"
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(LocalityWait)
{
    LocalityWaitInput input{TimePoint(Duration(10000)), Duration(1000), 1.5, TimePoint(Duration(10300)), TimePoint(Duration(20000)), TimePoint()};
};

// Guards against a start far from the data although a place near it is free soon, and against a wait that costs more than it gains.
TEST(LocalityWait, WaitsOnlyWhileTheEndIsEarlierThere)
{
    CHECK_TRUE(shouldWaitForPlace(input));
    input.placeFree = input.now + Duration(500);
    CHECK_FALSE(shouldWaitForPlace(input));
}

// Guards against a wait past the latest start.
TEST(LocalityWait, NeverWaitsPastTheLatestStart)
{
    input.latestStart = input.placeFree - Duration(1);
    CHECK_FALSE(shouldWaitForPlace(input));
}

// Guards against a place that is always expected to be free soon.
TEST(LocalityWait, IsBoundedInTime)
{
    input.estimate = Duration(100000);
    input.waitingSince = input.now - maxLocalityWait;
    CHECK_FALSE(shouldWaitForPlace(input));
}

// Guards against several tasks that all count on the same room.
TEST(LocalityWait, EachWaitingTaskCountsOnRoomOfItsOwn)
{
    const std::vector<TimedResources> releases{{input.now + Duration(100), cellResources(1000)}, {input.now + Duration(200), cellResources(1000)}};
    const auto slots = expectedSlots({CandidateWorker{0, cellResources(0), 9, &releases}}, cellResources(1000, 0), 3, input.now, input.now + Duration(900));
    LONGS_EQUAL(2, slots.size());
    CHECK_TRUE(slots[1] == input.now + Duration(200));
}

TEST_GROUP(LocalityPlacement)
{
    FakeCell cell{4};

    void setup() override
    {
        for (int i = 0; i < 4; ++i) {
            cell.worker(i).info.rack = "r" + std::to_string(i / 2);
        }
    }

    void start(double spreadFactor)
    {
        cell.settings.spreadFactor = spreadFactor;
        cell.startLeadership();
        cell.run(Duration(500));
    }

    /// Fills @p workers workers of the rack for 300 ms.
    void fill(const std::string &rack, int workers)
    {
        CellJob filler = cellJob("filler " + rack, workers, 4000, Duration(300));
        filler.steps.front().preferredRack = rack;
        (void)cell.submit(filler);
        cell.run(Duration(50));
    }

    /// Submits a job of four tasks that fill one rack.
    void submit(bool gang)
    {
        CellJob job = cellJob("job", 4, 2000, Duration(1000));
        job.steps.front().gang = gang;
        job.steps.front().sameRack = gang;
        job.steps.front().preferredRack = gang ? "" : "r0";
        job.steps.front().maxPerWorker = 2;
        (void)cell.submit(job);
    }

    [[nodiscard]] int jobRunsOnRack(int rack)
    {
        int runs = 0;
        for (const int i : {2 * rack, 2 * rack + 1}) {
            for (const auto &[task, run] : cell.worker(i).running) {
                runs += task.step.job == JobId("job") ? 1 : 0;
            }
        }
        return runs;
    }
};

// Guards against tasks that start far from their data just before room near it is released.
TEST(LocalityPlacement, ATaskWaitsForItsRack)
{
    start(3);
    fill("r0", 2);
    submit(false);
    cell.run(Duration(600));
    LONGS_EQUAL(4, jobRunsOnRack(0));
}

// Guards against a change for deployments whose tasks take equally long everywhere.
TEST(LocalityPlacement, ATaskDoesNotWaitWithoutAGain)
{
    start(1);
    fill("r0", 2);
    submit(false);
    cell.run(Duration(100));
    LONGS_EQUAL(4, jobRunsOnRack(1));
}

// Guards against a gang that is spread over racks although one rack has room for it soon.
TEST(LocalityPlacement, AGangWaitsForOneRack)
{
    start(3);
    fill("r0", 1);
    fill("r1", 1);
    submit(true);
    cell.run(Duration(600));
    LONGS_EQUAL(4, std::max(jobRunsOnRack(0), jobRunsOnRack(1)));
}

// Guards against a gang that waits for one rack longer than its members would need elsewhere.
TEST(LocalityPlacement, AGangIsSpreadIfTheWaitCostsMore)
{
    start(1.1);
    fill("r0", 1);
    fill("r1", 1);
    submit(true);
    cell.run(Duration(100));
    LONGS_EQUAL(2, jobRunsOnRack(0));
    LONGS_EQUAL(2, jobRunsOnRack(1));
}
