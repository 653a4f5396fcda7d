// Stored progress of jobs.
#include "node/rowcodec.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

TEST_GROUP(RowCodec){};

// Guards against a deadly task that is counted from zero after a change of leader.
TEST(RowCodec, KeepsTheCrashesUnderATask)
{
    StepProgress step;
    step.succeeded = {false, false, false};
    step.crashes[2][RunNumber(7)] = WorkerCrash{CrashTiming::AtStart, true, true, 1796666400123};
    step.crashes[2][RunNumber(8)] = WorkerCrash{CrashTiming::Soon, false, false};
    JobProgress progress;
    progress.steps[{0, 1}] = step;
    const JobProgress restored = fromWire(toWire(progress, 0));
    CHECK_TRUE(restored.steps.at({0, 1}).crashes == step.crashes);
}

// Guards against occurrences that run again after a change of leader, because their ends were not stored.
TEST(RowCodec, KeepsTheOccurrencesThatHaveEnded)
{
    JobProgress progress;
    progress.doneOccurrences = {{0, 28000}, {28003, 28003}};
    CHECK_TRUE(fromWire(toWire(progress, 1)).doneOccurrences == progress.doneOccurrences);
}

// Guards against a leader that does not know the rules of an accepted job whose route has been removed.
TEST(RowCodec, KeepsTheRulesOfAJob)
{
    CellJob job;
    job.id = JobId("j");
    job.steps.resize(1);
    RouteRules rules;
    rules.upstream = UpstreamName("desk");
    rules.priority = 2;
    rules.attempts = 3;
    rules.stretch = 2.5;
    rules.targetLatency = Duration(250);
    rules.advice = AdviceSettings{1.5, 0.25, Duration(2000)};
    job.admitted = AdmittedRules{rules, Resources{MilliCores(4000), MebiBytes(0), Accelerators(1), Slots(0)}};
    const auto restored = fromWire(toWire(job));
    CHECK_TRUE(restored.has_value() && restored->admitted.has_value());
    const RouteRules &route = restored->admitted->route;
    STRCMP_EQUAL("desk", route.upstream.value().c_str());
    CHECK_EQUAL(2, route.priority);
    CHECK_EQUAL(3, route.attempts);
    DOUBLES_EQUAL(2.5, route.stretch, 0);
    CHECK_EQUAL(250, route.targetLatency.count());
    DOUBLES_EQUAL(0.25, route.advice->perWorkerMs, 0);
    CHECK_EQUAL(2000, route.advice->validity.count());
    CHECK_TRUE(restored->admitted->workspaceMaximum == job.admitted->workspaceMaximum);
}

// Guards against skipping the jobs that a daemon of the former version has stored.
TEST(RowCodec, ReadsAJobWithoutRules)
{
    CellJob job;
    job.id = JobId("j");
    job.steps.resize(1);
    const auto restored = fromWire(toWire(job));
    CHECK_TRUE(restored.has_value());
    CHECK_FALSE(restored->admitted.has_value());
}

} // namespace KingCupLadder
