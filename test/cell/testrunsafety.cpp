#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

/// Delivery of the first start that is sent to worker 0.
enum class FirstStart {
    Arrives,
    IsLost,
    ArrivesWithoutAnswer,
    ArrivesAfterRetries,
    ArrivesAfterItsDeadline,
};

constexpr Duration delayWithinStartValidity{1500};
constexpr Duration delayBeyondStartValidity{2600};
constexpr Duration simulatedTime{30000};

struct Scenario {
    FirstStart first = FirstStart::Arrives;
    Duration takeover{0}; ///< Time at which a second leader takes over; 0: never.
    Duration partitionAt{0}; ///< Time at which worker 0 is partitioned; 0: never.
    Duration partitionLength{0};
    bool crash = false; ///< Worker 0 restarts when the partition ends.

    [[nodiscard]] std::string text() const
    {
        return "first start " + std::to_string(static_cast<int>(first)) + ", takeover " + std::to_string(takeover.count()) + ", partition "
            + std::to_string(partitionAt.count()) + " for " + std::to_string(partitionLength.count()) + (crash ? ", crash" : "");
    }
};

void interceptFirstStart(FakeCell &cell, const Scenario &scenario)
{
    auto isFirst = std::make_shared<bool>(true);
    cell.onStart = [&cell, scenario, isFirst](const StartOrder &order) {
        if (order.worker != WorkerId("w0") || !std::exchange(*isFirst, false)) {
            return true;
        }
        switch (scenario.first) {
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
    StepSpec after = job.steps[0];
    after.after = {0};
    job.steps.push_back(after);
    cell.submit(job);
    const TimePoint begin = cell.now;
    const auto at = [&](Duration when) { return when > Duration(0) && cell.now < begin + when && cell.now + Duration(5) >= begin + when; };
    while (cell.now < begin + simulatedTime) {
        if (at(scenario.takeover)) {
            cell.startLeadership(2);
        }
        if (at(scenario.partitionAt)) {
            cell.worker(0).reachable = false;
            cell.unregistered.insert(WorkerId("w0"));
        }
        if (scenario.partitionAt > Duration(0) && at(scenario.partitionAt + scenario.partitionLength)) {
            cell.worker(0).reachable = true;
            cell.unregistered.clear();
            if (scenario.crash) {
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
TEST(RunSafety, NoOrderOfDeliveriesRunsATaskTwiceOrLosesTheJob)
{
    int scenariosRun = 0;
    for (const FirstStart first :
         {FirstStart::Arrives, FirstStart::IsLost, FirstStart::ArrivesWithoutAnswer, FirstStart::ArrivesAfterRetries, FirstStart::ArrivesAfterItsDeadline}) {
        for (const int takeover : {0, 400, 900, 1600, 2800}) {
            for (const auto &[partitionAt, partitionLength] : std::vector<std::pair<int, int>>{{0, 0}, {600, 1500}, {600, 5500}, {1400, 9000}}) {
                for (const bool crash : {false, true}) {
                    const Scenario scenario{first, Duration(takeover), Duration(partitionAt), Duration(partitionLength), crash};
                    FakeCell cell(2);
                    runScenario(cell, scenario);
                    const std::string problem = cell.violations.empty() ? std::string() : cell.violations.front() + " in: " + scenario.text();
                    STRCMP_EQUAL("", problem.c_str());
                    STRCMP_EQUAL("succeeded",
                                 (std::string(toString(cell.state("job"))) + (cell.state("job") == CellJobState::Succeeded ? "" : scenario.text())).c_str());
                    ++scenariosRun;
                }
            }
        }
    }
    CHECK_EQUAL(200, scenariosRun);
}
