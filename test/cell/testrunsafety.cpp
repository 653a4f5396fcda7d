#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

/// What happens to the first start that is sent to worker 0.
enum class FirstStart {
    Arrives,
    IsLost,
    ArrivesWithoutAnswer,
    ArrivesAfterRetries,
    ArrivesAfterItsDeadline,
};

constexpr Duration delayWithinStartValidity{1500};
constexpr Duration delayBeyondStartValidity{2600};
constexpr Duration laterJobAt{1300}; // In the longer partitions, when worker 0 has been recorded as silent.
constexpr Duration simulatedTime{30000};

struct Scenario {
    FirstStart firstStart = FirstStart::Arrives;
    Duration takeover{0}; ///< Time at which a second leader takes over; 0: never.
    Duration partitionAt{0}; ///< Time at which worker 0 is partitioned; 0: never.
    Duration partitionLength{0};
    bool restarts = false; ///< Worker 0 restarts when the partition ends.
    Duration secondTakeover{0}; ///< Time at which a third leader takes over; 0: never.

    [[nodiscard]] std::string text() const
    {
        return "first start " + std::to_string(static_cast<int>(firstStart)) + ", takeover at " + std::to_string(takeover.count()) + " ms, partition at "
            + std::to_string(partitionAt.count()) + " ms for " + std::to_string(partitionLength.count()) + (restarts ? ", worker restart" : "")
            + ", second takeover at " + std::to_string(secondTakeover.count()) + " ms";
    }
};

void interceptFirstStart(FakeCell &cell, const Scenario &scenario)
{
    auto isFirst = std::make_shared<bool>(true);
    cell.onStart = [&cell, scenario, isFirst](const StartOrder &order) {
        if (order.worker != WorkerId("w0") || !std::exchange(*isFirst, false)) {
            return true;
        }
        switch (scenario.firstStart) {
        case FirstStart::Arrives:
            return true;
        case FirstStart::IsLost:
            return false;
        case FirstStart::ArrivesWithoutAnswer:
            cell.deliverStartAt(order, cell.now + Duration(5));
            return false;
        case FirstStart::ArrivesAfterRetries:
            cell.deliverStartAt(order, cell.now + delayWithinStartValidity);
            return false;
        case FirstStart::ArrivesAfterItsDeadline:
            cell.deliverStartAt(order, cell.now + delayBeyondStartValidity);
            return false;
        }
        return true;
    };
}

void runScenario(FakeCell &cell, const Scenario &scenario)
{
    interceptFirstStart(cell, scenario);
    cell.startLeadership();
    CellJob job = cellJob("job", 3, 2000, Duration(1200));
    StepSpec secondStep = job.steps[0];
    secondStep.after = {0};
    job.steps.push_back(secondStep);
    cell.submit(job);
    const TimePoint begin = cell.now;
    const auto isDue = [&](Duration when) { return when > Duration(0) && cell.now < begin + when && cell.now + Duration(5) >= begin + when; };
    while (cell.now < begin + simulatedTime) {
        if (isDue(scenario.takeover)) {
            cell.startLeadership(2);
        }
        if (isDue(scenario.secondTakeover)) {
            cell.startLeadership(3);
        }
        if (isDue(laterJobAt)) {
            cell.submit(cellJob("later", 5, 1000, Duration(700)));
        }
        if (isDue(scenario.partitionAt)) {
            cell.worker(0).reachable = false;
            cell.unregistered.insert(WorkerId("w0"));
        }
        if (scenario.partitionAt > Duration(0) && isDue(scenario.partitionAt + scenario.partitionLength)) {
            cell.worker(0).reachable = true;
            cell.unregistered.clear();
            if (scenario.restarts) {
                cell.worker(0).restart();
            }
        }
        cell.run(Duration(5));
    }
}

} // namespace

TEST_GROUP(RunSafety){};

// Guards against concurrent runs of a task and against jobs that never end, for all combinations of a late or lost start, a partition,
// a worker restart and a change of leader.
TEST(RunSafety, RunsNoTaskTwiceAndEndsTheJobUnderEveryFaultCombination)
{
    int scenariosRun = 0;
    for (const FirstStart first :
         {FirstStart::Arrives, FirstStart::IsLost, FirstStart::ArrivesWithoutAnswer, FirstStart::ArrivesAfterRetries, FirstStart::ArrivesAfterItsDeadline}) {
        for (const int takeover : {0, 400, 900, 1600, 2800}) {
            for (const auto &[partitionAt, partitionLength] : std::vector<std::pair<int, int>>{{0, 0}, {600, 1500}, {600, 5500}, {1400, 9000}}) {
                // The second takeover comes while worker 0 is recorded as silent, or while it is used again.
                for (const auto &[restarts, secondTakeover] :
                     std::vector<std::pair<bool, int>>{{false, 0}, {true, 0}, {false, 3200}, {true, 3200}, {false, 6400}, {true, 6400}}) {
                    const Scenario scenario{
                        first, Duration(takeover), Duration(partitionAt), Duration(partitionLength), restarts, Duration(takeover > 0 ? secondTakeover : 0)};
                    FakeCell cell(2);
                    runScenario(cell, scenario);
                    const std::string problem = cell.violations.empty() ? std::string() : cell.violations.front() + " in: " + scenario.text();
                    STRCMP_EQUAL("", problem.c_str());
                    STRCMP_EQUAL("succeeded",
                                 (std::string(toString(cell.state("job"))) + (cell.state("job") == CellJobState::Succeeded ? "" : scenario.text())).c_str());
                    STRCMP_EQUAL(
                        "succeeded",
                        (std::string(toString(cell.state("later"))) + (cell.state("later") == CellJobState::Succeeded ? "" : scenario.text())).c_str());
                    ++scenariosRun;
                }
            }
        }
    }
    CHECK_EQUAL(600, scenariosRun);
}

// Guards against a second start of a task whose success was known to the former leader but not stored: the record of its draining worker listed
// only the jobs that still had runs there.
TEST(RunSafety, RecordsTheJobsOfEndsThatAreNotStored)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.progressIsStored = false;
    cell.submit(cellJob("job", 1, 1000, Duration(300)));
    cell.run(Duration(1000));
    CHECK_EQUAL(1, cell.starts);
    FakeCellWorker &worker = cell.worker(0).ended.empty() ? cell.worker(1) : cell.worker(0);
    worker.info.draining = true;
    worker.info.remaining = Duration(20000);
    cell.run(Duration(1500));
    worker.reachable = false;
    cell.startLeadership(2);
    cell.run(Duration(2000));
    CHECK_EQUAL(1, cell.starts);
    worker.reachable = true;
    cell.progressIsStored = true;
    cell.run(Duration(3000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_EQUAL(1, cell.starts);
    CHECK_NO_VIOLATION(cell);
}
