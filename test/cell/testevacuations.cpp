#include "cell/domainevacuations.h"
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const FailureDomain east("east");

} // namespace

TEST_GROUP(Evacuations)
{
    FakeCell cell{6};

    void setup() override
    {
        for (int i = 0; i < 6; ++i) {
            cell.worker(i).info.domain = FailureDomain(i < 2 ? "east" : "west");
        }
        cell.startLeadership();
        cell.run(Duration(500));
    }

    /// Starts a job of @p tasks tasks that last for @p estimate.
    void submit(const std::string &id, int tasks, Duration estimate = Duration(1000))
    {
        (void)cell.submit(cellJob(id, tasks, 1000, estimate));
    }

    [[nodiscard]] std::size_t runsInEast()
    {
        return cell.worker(0).running.size() + cell.worker(1).running.size();
    }

    [[nodiscard]] int usableInEast()
    {
        const auto &workers = cell.scheduler->workers().all();
        return (workers.at(WorkerId("w0")).wasUsable ? 1 : 0) + (workers.at(WorkerId("w1")).wasUsable ? 1 : 0);
    }
};

// Guards against starts in a failure domain that the operator has evacuated.
TEST(Evacuations, NoTaskStartsInAnEvacuatedDomain)
{
    cell.scheduler->setEvacuatedDomains({east}, cell.now);
    submit("a", 24);
    cell.run(Duration(300));
    LONGS_EQUAL(0, runsInEast());
    LONGS_EQUAL(16, cell.runningTasks());
}

// Guards against stopping the runs of an evacuated domain, which end by themselves.
TEST(Evacuations, RunsInAnEvacuatedDomainEndByThemselves)
{
    submit("a", 24);
    cell.run(Duration(300));
    cell.scheduler->setEvacuatedDomains({east}, cell.now);
    cell.run(Duration(2000));
    LONGS_EQUAL(24, cell.scheduler->counters().succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a start without an answer that is repeated in an evacuated domain, where it would take effect long after the row was written.
TEST(Evacuations, AnUnansweredStartIsStoppedInsteadOfRepeated)
{
    int startsInEast = 0;
    cell.onStart = [&startsInEast](const StartOrder &order) {
        const bool isEast = order.worker == WorkerId("w0") || order.worker == WorkerId("w1");
        startsInEast += isEast ? 1 : 0;
        return !isEast;
    };
    submit("a", 24);
    cell.run(Duration(100));
    const int sent = startsInEast;
    cell.scheduler->setEvacuatedDomains({east}, cell.now);
    cell.run(Duration(4000));
    LONGS_EQUAL(sent, startsInEast);
    LONGS_EQUAL(sent, cell.scheduler->counters().startsStoppedInEvacuation);
    LONGS_EQUAL(24, cell.scheduler->counters().succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a gang that waits for members in an evacuated domain until its workers return.
TEST(Evacuations, AGangThatLacksMembersThereRunsElsewhere)
{
    cell.onStart = [](const StartOrder &order) { return !(order.worker == WorkerId("w0")); };
    CellJob gang = cellJob("g", 16, 1000);
    gang.steps.front().gang = true;
    (void)cell.submit(gang);
    cell.run(Duration(50));
    cell.scheduler->setEvacuatedDomains({east}, cell.now);
    cell.run(Duration(6000));
    CHECK_TRUE(cell.state("g") == CellJobState::Succeeded);
}

// Guards against a new leader that starts tasks in an evacuated domain because the set was lost with the state of the former leadership.
TEST(Evacuations, ANewLeadershipKeepsTheSet)
{
    cell.scheduler->setEvacuatedDomains({east}, cell.now);
    cell.scheduler->beginEpoch(Epoch(2), cell.now);
    cell.epoch = Epoch(2);
    cell.scheduler->finishLoading(cell.now);
    submit("a", 24);
    cell.run(Duration(1500));
    LONGS_EQUAL(0, runsInEast());
    CHECK_TRUE(cell.runningTasks() > 0);
}

// Guards against a domain that receives most of the waiting work at once while its workers are cold.
TEST(Evacuations, WorkersReturnOneAfterTheOther)
{
    cell.scheduler->setEvacuatedDomains({east}, cell.now);
    cell.worker(0).info.coldRemaining = Duration(800);
    cell.run(Duration(1000));
    cell.scheduler->setEvacuatedDomains({}, cell.now);
    cell.run(Duration(100));
    LONGS_EQUAL(0, usableInEast());
    cell.run(Duration(1500));
    CHECK_TRUE(cell.scheduler->workers().find(WorkerId("w1"))->wasUsable);
    LONGS_EQUAL(1, usableInEast());
    cell.run(Duration(1500));
    LONGS_EQUAL(2, usableInEast());
}

// Guards against a cell that is idle for seconds because all of it was evacuated.
TEST(Evacuations, HalfOfTheCellIsUsableAtOnceAfterAllOfItWasEvacuated)
{
    cell.scheduler->setEvacuatedDomains({east, FailureDomain("west")}, cell.now);
    cell.run(Duration(100));
    cell.scheduler->setEvacuatedDomains({}, cell.now);
    submit("a", 24);
    cell.run(Duration(100));
    LONGS_EQUAL(12, cell.runningTasks());
}

// Guards against a prediction that counts capacity on which nothing may start: the second job would be admitted and end late.
TEST(Evacuations, EvacuatedCapacityDoesNotCountInThePredictedWait)
{
    cell.scheduler->setEvacuatedDomains({FailureDomain("west")}, cell.now);
    submit("a", 120);
    cell.run(Duration(100));
    CHECK_TRUE(cell.submit(cellJob("b", 1, 1000)) == AdmissionVerdict::Busy);
}

// Guards against log lines that do not say why most workers get no work.
TEST(Evacuations, TheLoadLineNamesTheEvacuatedDomain)
{
    cell.scheduler->setEvacuatedDomains({east}, cell.now);
    cell.run(Duration(100));
    CHECK_TRUE(cell.scheduler->describeLoad(cell.now).find("east 0 of 2 with 0 runs (evacuated), west 4 of 4 with 0 runs") != std::string::npos);
}

// Guards against cold workers that get work before warm ones.
TEST(Evacuations, ThePlanBeginsWithWarmWorkers)
{
    const TimePoint end{Duration(5000)};
    const auto plan = planReturn({{WorkerId("a"), Duration(700)}, {WorkerId("b"), Duration(0)}, {WorkerId("c"), Duration(100)}}, 1, end);
    CHECK_TRUE(plan.at(WorkerId("b")) == end);
    CHECK_TRUE(plan.at(WorkerId("c")) < plan.at(WorkerId("a")));
    CHECK_TRUE(plan.at(WorkerId("a")) == end + evacuationReturnTime);
}
