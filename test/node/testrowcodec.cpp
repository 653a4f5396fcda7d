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
    step.crashes[2][RunNumber(7)] = WorkerCrash{CrashTiming::AtStart, true, true};
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

} // namespace KingCupLadder
