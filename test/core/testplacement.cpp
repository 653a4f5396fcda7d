#include "core/placement.h"

#include <algorithm>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

Resources amount(std::int64_t milliCores, std::int64_t memory, std::int64_t accelerators = 0, std::int64_t slots = 0)
{
    return Resources{MilliCores(milliCores), MebiBytes(memory), Accelerators(accelerators), Slots(slots)};
}

WorkerLoad load(const std::string &worker, const Resources &committed, const Resources &capacity = amount(16000, 65536, 0, 8))
{
    return WorkerLoad{WorkerId(worker), RackId("r"), capacity, committed, {}};
}

/// Counts decisions that differ from those of a full scan in a random sequence of task starts and ends.
int wrongDecisions(PlacementPolicy placementPolicy)
{
    std::mt19937_64 random(7);
    PlacementIndex index(placementPolicy);
    std::vector<WorkerLoad> workers;
    for (int i = 0; i < 60; ++i) {
        workers.push_back(load("w" + std::to_string(100 + i), {}, amount(8000 + 8000 * (i % 2), 65536, i % 10 == 0 ? 2 : 0, 8)));
        index.update(workers.back());
    }
    std::vector<std::pair<std::size_t, Resources>> tasks;
    int wrong = 0;
    for (int i = 0; i < 5000; ++i) {
        const auto accelerators = static_cast<std::int64_t>(random() % 20 == 0);
        const Resources demand = amount(100 + static_cast<std::int64_t>(random() % 9000), static_cast<std::int64_t>(random() % 40000), accelerators, 0);
        const auto chosen = index.choose(demand, {});
        const auto fits = [&demand](const WorkerLoad &worker) { return demand.fitsIn(worker.capacity - worker.committed); };
        wrong += chosen.has_value() != std::any_of(workers.begin(), workers.end(), fits);
        if (chosen) {
            const auto number = static_cast<std::size_t>(std::stoi(chosen->value().substr(1)) - 100);
            wrong += !fits(workers[number]);
            workers[number].committed += demand;
            index.update(workers[number]);
            tasks.emplace_back(number, demand);
        }
        if (!chosen || tasks.size() > 120) {
            std::swap(tasks[random() % tasks.size()], tasks.back());
            workers[tasks.back().first].committed -= tasks.back().second;
            index.update(workers[tasks.back().first]);
            tasks.pop_back();
        }
    }
    return wrong;
}

} // namespace

TEST_GROUP(PlacementIndex){};

// These three guard against an index that misses a fitting worker or commits a worker beyond its capacity.
TEST(PlacementIndex, FirstFitAgreesWithAFullScan)
{
    LONGS_EQUAL(0, wrongDecisions(PlacementPolicy::FirstFit));
}

TEST(PlacementIndex, BestFitAgreesWithAFullScan)
{
    LONGS_EQUAL(0, wrongDecisions(PlacementPolicy::BestFit));
}

TEST(PlacementIndex, DotProductAgreesWithAFullScan)
{
    LONGS_EQUAL(0, wrongDecisions(PlacementPolicy::DotProduct));
}

// Guards against choosing by insertion order, which differs between owners of a shard.
TEST(PlacementIndex, FirstFitTakesTheLowestId)
{
    PlacementIndex index(PlacementPolicy::FirstFit);
    index.update(load("b", {}));
    index.update(load("a", {}));
    STRCMP_EQUAL("a", index.choose(amount(1000, 1000), {})->value().c_str());
}

// Guards against fragmentation: small work on an empty worker that large work needs.
TEST(PlacementIndex, BestFitTakesTheFullerWorker)
{
    PlacementIndex index(PlacementPolicy::BestFit);
    index.update(load("a", {}));
    index.update(load("b", amount(12000, 40000)));
    STRCMP_EQUAL("b", index.choose(amount(1000, 1000), {})->value().c_str());
}

// Guards against placing memory-heavy work on a worker that is short of memory.
TEST(PlacementIndex, DotProductChoosesFreeResourcesInTheProportionOfTheDemand)
{
    PlacementIndex index(PlacementPolicy::DotProduct);
    index.update(load("a", amount(2000, 50000)));
    index.update(load("b", amount(12000, 8000)));
    STRCMP_EQUAL("b", index.choose(amount(500, 14000), {})->value().c_str());
}

// Guards against a retry on a worker on which the work has just failed.
TEST(PlacementIndex, AvoidedWorkerIsNotChosen)
{
    PlacementIndex index(PlacementPolicy::BestFit);
    index.update(load("a", {}));
    CHECK_FALSE(index.choose(amount(1000, 1000), {{WorkerId("a")}, false}).has_value());
}

// Guards against placing work on a removed worker.
TEST(PlacementIndex, RemovedWorkerIsNotChosen)
{
    PlacementIndex index(PlacementPolicy::FirstFit);
    index.update(load("a", {}));
    index.remove(WorkerId("a"));
    CHECK_FALSE(index.choose(amount(1000, 1000), {}).has_value());
}

// Guards against spreading work over idle VMs, which has to be avoided on generator power.
TEST(PlacementIndex, PackTightlyLeavesEmptyWorkersEmpty)
{
    PlacementIndex index(PlacementPolicy::FirstFit);
    index.update(load("a", {}));
    index.update(load("b", amount(1000, 1000)));
    STRCMP_EQUAL("b", index.choose(amount(1000, 1000), {{}, true})->value().c_str());
}

// Guards against preferring a worker whose observed usage is above its commitments.
TEST(PlacementIndex, OverusedWorkerRanksBehindOthers)
{
    PlacementIndex index(PlacementPolicy::BestFit);
    WorkerLoad overused = load("a", amount(8000, 8000));
    overused.observed = amount(15000, 8000);
    index.update(overused);
    index.update(load("b", amount(8000, 8000)));
    STRCMP_EQUAL("b", index.choose(amount(1000, 1000), {})->value().c_str());
}

// Guards against placing several tasks of one job on the same free resources.
TEST(PlacementIndex, ChooseAllCountsTheTasksAlreadyPlaced)
{
    PlacementIndex index(PlacementPolicy::BestFit);
    index.update(load("a", {}));
    index.update(load("b", {}));
    CHECK_FALSE(index.chooseAll(amount(9000, 1000), 3, {}).has_value());
}

// Guards against a failed chooseAll() leaving its tentative placements in the index.
TEST(PlacementIndex, ChooseAllLeavesTheIndexUnchanged)
{
    PlacementIndex index(PlacementPolicy::BestFit);
    index.update(load("a", {}));
    (void)index.chooseAll(amount(9000, 1000), 3, {});
    CHECK_TRUE(index.choose(amount(16000, 65536, 0, 8), {}).has_value());
}

// Guards against queueing a task forever that fits only into the sum of all workers.
TEST(PlacementIndex, CouldEverFitLooksAtSingleWorkers)
{
    PlacementIndex index(PlacementPolicy::BestFit);
    index.update(load("a", {}));
    index.update(load("b", {}));
    CHECK_FALSE(index.couldEverFit(amount(17000, 1000)));
}

// Guards against wrong totals after a worker is updated.
TEST(PlacementIndex, TotalFreeFollowsUpdates)
{
    PlacementIndex index(PlacementPolicy::BestFit);
    index.update(load("a", amount(1000, 0)));
    index.update(load("a", amount(5000, 0)));
    LONGS_EQUAL(11000, index.totalFree().cpu.value());
}
