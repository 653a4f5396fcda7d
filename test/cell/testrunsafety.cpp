#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

/// What becomes of the first start that is sent to worker 0.
enum class FirstStart {
    Arrives,
    IsLost,
    LosesItsAnswer,
    ArrivesAfterRepeats,
    ArrivesAfterItsTerm,
};

constexpr Duration lateWithinTerm{1500};
constexpr Duration latePastTerm{2600};
constexpr Duration horizon{30000};

struct Scenario {
    FirstStart first = FirstStart::Arrives;
    Duration takeover{0}; ///< When a second leader takes over; 0: never.
    Duration cutAt{0}; ///< When worker 0 is cut off; 0: never.
    Duration cutFor{0};
    bool crash = false; ///< Worker 0 starts again when the cut ends.

    [[nodiscard]] std::string text() const
    {
        return "first start " + std::to_string(static_cast<int>(first)) + ", takeover " + std::to_string(takeover.count()) + ", cut "
            + std::to_string(cutAt.count()) + " for " + std::to_string(cutFor.count()) + (crash ? ", crash" : "");
    }
};

void prepare(FakeCell &cell, const Scenario &scenario)
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
        case FirstStart::LosesItsAnswer:
            cell.deliverLate(order, cell.now + Duration(5));
            return false;
        case FirstStart::ArrivesAfterRepeats:
            cell.deliverLate(order, cell.now + lateWithinTerm);
            return false;
        case FirstStart::ArrivesAfterItsTerm:
            cell.deliverLate(order, cell.now + latePastTerm);
            return false;
        }
        return true;
    };
}

void play(FakeCell &cell, const Scenario &scenario)
{
    prepare(cell, scenario);
    cell.lead();
    CellJob job = cellJob("job", 3, 2000, Duration(1200));
    StepSpec after = job.steps[0];
    after.after = {0};
    job.steps.push_back(after);
    cell.submit(job);
    const TimePoint begin = cell.now;
    const auto at = [&](Duration when) { return when > Duration(0) && cell.now < begin + when && cell.now + Duration(5) >= begin + when; };
    while (cell.now < begin + horizon) {
        if (at(scenario.takeover)) {
            cell.lead(2);
        }
        if (at(scenario.cutAt)) {
            cell.worker(0).reachable = false;
            cell.hidden.insert(WorkerId("w0"));
        }
        if (scenario.cutAt > Duration(0) && at(scenario.cutAt + scenario.cutFor)) {
            cell.worker(0).reachable = true;
            cell.hidden.clear();
            if (scenario.crash) {
                cell.worker(0).restart();
            }
        }
        cell.run(Duration(5));
    }
}

} // namespace

TEST_GROUP(RunSafety){};

// Guards against a second run of a task in any order of late starts, partitions, restarts and changes of leader within the bounds.
TEST(RunSafety, NoOrderOfDeliveriesRunsATaskTwiceOrLosesTheJob)
{
    int played = 0;
    for (const FirstStart first :
         {FirstStart::Arrives, FirstStart::IsLost, FirstStart::LosesItsAnswer, FirstStart::ArrivesAfterRepeats, FirstStart::ArrivesAfterItsTerm}) {
        for (const int takeover : {0, 400, 900, 1600, 2800}) {
            for (const auto &[cutAt, cutFor] : std::vector<std::pair<int, int>>{{0, 0}, {600, 1500}, {600, 5500}, {1400, 9000}}) {
                for (const bool crash : {false, true}) {
                    const Scenario scenario{first, Duration(takeover), Duration(cutAt), Duration(cutFor), crash};
                    FakeCell cell(2);
                    play(cell, scenario);
                    const std::string problem = cell.violations.empty() ? std::string() : cell.violations.front() + " in: " + scenario.text();
                    STRCMP_EQUAL("", problem.c_str());
                    STRCMP_EQUAL("succeeded",
                                 (std::string(toString(cell.state("job"))) + (cell.state("job") == CellJobState::Succeeded ? "" : scenario.text())).c_str());
                    ++played;
                }
            }
        }
    }
    CHECK_EQUAL(200, played);
}
