// The choice of the runs that are stopped for a waiting step.
#include "cell/preemptionplan.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

const PreemptionBounds wideBounds{1000000, Duration(500)};

Resources cores(std::int64_t milliCores)
{
    return Resources{MilliCores(milliCores), MebiBytes(100), Accelerators(0), Slots(0)};
}

/// A run of priority 2 with checkpoints that ends late and loses little work.
PreemptibleRun cheapRun(std::size_t id)
{
    return PreemptibleRun{id, 2, cores(1000), Duration(5000), true, 100000, false};
}

/// A full worker with the runs.
PreemptionCandidate fullWorker(std::size_t worker, std::vector<PreemptibleRun> runs)
{
    return PreemptionCandidate{CandidateWorker{worker, cores(0), 10, nullptr}, std::move(runs)};
}

/// Stops for one task of priority 0 that needs a core for a second; the CPU work is 1,000,000 millicore milliseconds.
std::optional<PreemptionPlan> planForOneTask(std::vector<PreemptibleRun> runs, const PreemptionBounds &bounds = wideBounds)
{
    return planPreemption(PreemptionDemand{0, cores(1000), 1, false, Duration(1000)}, {fullWorker(0, std::move(runs))}, bounds);
}

} // namespace

TEST_GROUP(PreemptionPlan){};

// Guards against the loss of work on a full cell while runs with checkpoints could be stopped instead.
TEST(PreemptionPlan, PrefersRunsWithCheckpoints)
{
    PreemptibleRun other = cheapRun(0);
    other.savesCheckpoint = false;
    other.workLost = 1;
    const auto plan = planForOneTask({other, cheapRun(1)});
    CHECK_TRUE(plan.has_value());
    CHECK_EQUAL(1, plan->stops.size());
    CHECK_EQUAL(1, plan->stops[0].run);
}

// Guards against preemption among routes of one priority, which would only move the wait.
TEST(PreemptionPlan, StopsNoRunOfTheSamePriority)
{
    PreemptibleRun equal = cheapRun(0);
    equal.priority = 0;
    CHECK_FALSE(planForOneTask({equal}).has_value());
}

// Guards against a stop that frees the room no earlier than the end of the run.
TEST(PreemptionPlan, StopsNoRunThatIsAboutToEnd)
{
    PreemptibleRun ending = cheapRun(0);
    ending.untilEnd = wideBounds.stopTime;
    CHECK_FALSE(planForOneTask({ending}).has_value());
}

// Guards against an overload in which more work is repeated than becomes in time.
TEST(PreemptionPlan, LosesNoMoreWorkThanItGains)
{
    PreemptibleRun expensive = cheapRun(0);
    expensive.workLost = 1000000;
    CHECK_FALSE(planForOneTask({expensive}).has_value());
}

// Guards against a job of a lower priority that becomes late although the task of another could be stopped.
TEST(PreemptionPlan, AvoidsRunsWhoseJobsBecomeLate)
{
    PreemptibleRun late = cheapRun(0);
    late.becomesLate = true;
    PreemptibleRun withoutCheckpoint = cheapRun(1);
    withoutCheckpoint.savesCheckpoint = false;
    const auto plan = planForOneTask({late, withoutCheckpoint});
    CHECK_TRUE(plan.has_value());
    CHECK_EQUAL(1, plan->stops[0].run);
}

// Guards against a burst of urgent work that stops a large part of the cell at once.
TEST(PreemptionPlan, StaysWithinItsBounds)
{
    CHECK_FALSE(planForOneTask({cheapRun(0)}, PreemptionBounds{999, Duration(500)}).has_value());
}

// Guards against members of a gang that hold room without ever running: the stops would be in vain.
TEST(PreemptionPlan, StopsNothingForPartOfAGang)
{
    const std::vector<PreemptionCandidate> workers{fullWorker(0, {cheapRun(0)}), fullWorker(1, {})};
    CHECK_FALSE(planPreemption(PreemptionDemand{0, cores(1000), 2, true, Duration(1000)}, workers, wideBounds).has_value());
}

// Guards against stops for members of a gang that fit into free room.
TEST(PreemptionPlan, UsesFreeRoomForAGangFirst)
{
    PreemptionCandidate half = fullWorker(1, {cheapRun(1)});
    half.worker.free = cores(1000);
    const auto plan = planPreemption(PreemptionDemand{0, cores(1000), 2, true, Duration(1000)}, {fullWorker(0, {cheapRun(0)}), half}, wideBounds);
    CHECK_TRUE(plan.has_value());
    CHECK_EQUAL(1, plan->stops.size());
    CHECK_EQUAL(2, plan->allocations.size());
}

} // namespace KingCupLadder
