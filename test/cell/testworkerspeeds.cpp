#include "cell/workerspeeds.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

/// Feeds WorkerSpeeds with runs of steps, each with one task on some of the workers.
TEST_GROUP(WorkerSpeeds)
{
    static constexpr std::size_t workerCount = 12;
    WorkerSpeeds speeds;
    int steps = 0;

    [[nodiscard]] static DurationObservation observation(int step, std::size_t worker, double ms)
    {
        const TaskRef task{StepRef{JobId("j" + std::to_string(step)), 0, 0}, static_cast<int>(worker)};
        return DurationObservation{task, worker, WorkerIncarnation(1), Duration(static_cast<std::int64_t>(ms)), 1, false, Duration(0)};
    }

    /// One step on three workers in turn; @p factor returns the factor of a worker.
    template<typename Factor>
    void runStep(Factor factor, double ms = 1000)
    {
        StepDurations durations;
        for (std::size_t i = 0; i < 3; ++i) {
            const std::size_t worker = (static_cast<std::size_t>(steps) + i * 5) % workerCount;
            speeds.observe(durations, RouteName("r"), Duration(500), false, 1, observation(steps, worker, ms * factor(worker)));
        }
        ++steps;
    }

    void update()
    {
        (void)speeds.updateClasses([](std::size_t) { return true; });
    }

    [[nodiscard]] WorkerSpeed speedOf(std::size_t worker) const
    {
        return speeds.speedOf(worker, WorkerIncarnation(1));
    }
};

// Guards against placement that does not know the slow third of the workers: jobs with very different durations.
TEST(WorkerSpeeds, SeparatesTheSlowThirdWhateverTheDurationsOfTheSteps)
{
    const auto factor = [](std::size_t worker) { return worker % 3 == 0 ? 1.7 : 0.7; };
    for (int i = 0; i < 150; ++i) {
        runStep(factor, 300 + (i * 733) % 5000);
    }
    update();
    CHECK_TRUE(speeds.isSeparated());
    for (std::size_t worker = 0; worker < workerCount; ++worker) {
        CHECK_TRUE((speedOf(worker).speedClass == SpeedClass::Slow) == (worker % 3 == 0));
    }
    DOUBLES_EQUAL(1.7 / 0.7, speeds.classFactor(SpeedClass::Slow), 0.25);
}

// Guards against another order of the workers in a cell of equal workers, whose tasks differ in duration by chance.
TEST(WorkerSpeeds, FindsNoGroupsAmongEqualWorkers)
{
    int call = 0;
    for (int i = 0; i < 200; ++i) {
        runStep([&call](std::size_t) { return 0.5 + static_cast<double>((call++ * 37) % 100) / 100; });
        update();
        CHECK_FALSE(speeds.isSeparated());
    }
}

// Guards against work on a worker that turns 7.5 times slower: it has to be recognised within a few runs.
TEST(WorkerSpeeds, RecognisesAWorkerThatTurnsSlowAndRecovers)
{
    for (int i = 0; i < 40; ++i) {
        runStep([](std::size_t) { return 1.0; });
    }
    for (int i = 0; i < 12; ++i) {
        runStep([](std::size_t worker) { return worker == 4 ? 7.5 : 1.0; });
    }
    update();
    CHECK_TRUE(speedOf(4).speedClass == SpeedClass::Degraded);
    CHECK_TRUE(speedOf(5).speedClass == SpeedClass::Fast);
    for (int i = 0; i < 12; ++i) {
        runStep([](std::size_t) { return 1.0; });
    }
    update();
    CHECK_TRUE(speedOf(4).speedClass == SpeedClass::Fast);
}

// Guards against a factor that outlives its worker: another kind of machine may come back under the same address.
TEST(WorkerSpeeds, ForgetsTheFactorOfAnEarlierIncarnation)
{
    for (int i = 0; i < 40; ++i) {
        runStep([](std::size_t worker) { return worker == 4 ? 5.0 : 1.0; });
    }
    update();
    CHECK_TRUE(speedOf(4).factor > 3);
    DOUBLES_EQUAL(1, speeds.speedOf(4, WorkerIncarnation(2)).factor, 1e-9);
    DOUBLES_EQUAL(0, speeds.speedOf(4, WorkerIncarnation(2)).observations, 1e-9);
}

// Guards against starts that come too late because the caller's estimate is eight times too low.
TEST(WorkerSpeeds, LearnsTheDurationOfAStepFromItsRuns)
{
    StepDurations durations;
    for (std::size_t worker = 0; worker < 4; ++worker) {
        speeds.observe(durations, RouteName("r"), Duration(500), false, 1, observation(0, worker, 4000));
    }
    const Duration expected = speeds.expectedDuration(durations, RouteName("r"), Duration(500));
    CHECK_TRUE(expected > Duration(2800) && expected <= Duration(4000));
}

// Guards against durations that no run can have, as from a clock that jumps.
TEST(WorkerSpeeds, LimitsImpossibleDurations)
{
    for (int i = 0; i < 40; ++i) {
        runStep([](std::size_t worker) { return worker == 4 ? 1e9 : 1.0; });
    }
    CHECK_TRUE(speedOf(4).factor <= maxSpeedFactor);
    CHECK_TRUE(speeds.limitedObservations() > 0);
}

} // namespace KingCupLadder
