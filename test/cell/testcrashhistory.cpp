// Verdicts on tasks under which workers have crashed.
#include "cell/crashhistory.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

constexpr WorkerCrash aloneAtStart{CrashTiming::AtStart, true, true};
constexpr WorkerCrash besideOthersAtStart{CrashTiming::AtStart, false, true};
constexpr WorkerCrash soonAfterStart{CrashTiming::Soon, true, true};
constexpr WorkerCrash longAfterStart{CrashTiming::Late, true, true};
constexpr WorkerCrash silentAtStart{CrashTiming::AtStart, true, false};

CrashHistory historyOf(std::initializer_list<WorkerCrash> crashes)
{
    CrashHistory history;
    std::uint64_t run = 0;
    for (const WorkerCrash &crash : crashes) {
        (void)history.add(RunNumber(++run), crash, TimePoint());
    }
    return history;
}

} // namespace

TEST_GROUP(CrashHistory){};

// Guards against giving up a task under which one worker has crashed.
TEST(CrashHistory, OneCrashIsNoVerdict)
{
    CHECK_FALSE(historyOf({aloneAtStart}).isCause());
}

// Guards against a third crash under a task that has crashed two workers at its start, the second one without another possible cause.
TEST(CrashHistory, TwoCrashesAtTheStartAreAVerdictIfNoOtherRunCanBeTheCause)
{
    CHECK_TRUE(historyOf({besideOthersAtStart, aloneAtStart}).isCause());
}

// Guards against giving up a task that was twice beside the task that caused the crash.
TEST(CrashHistory, TwoCrashesBesideOthersAreNoVerdict)
{
    CHECK_FALSE(historyOf({besideOthersAtStart, besideOthersAtStart}).isCause());
}

// Guards against giving up a task whose workers crash from time to time for other reasons.
TEST(CrashHistory, CrashesLongAfterTheStartAreNoVerdict)
{
    CHECK_FALSE(historyOf({longAfterStart, longAfterStart, longAfterStart, longAfterStart, longAfterStart}).isCause());
}

// Guards against a task that crashes more than five workers, whatever the evidence.
TEST(CrashHistory, FourCrashesSoonAfterTheStartAreAVerdict)
{
    CHECK_FALSE(historyOf({soonAfterStart, soonAfterStart, soonAfterStart}).isCause());
    CHECK_TRUE(historyOf({soonAfterStart, soonAfterStart, soonAfterStart, soonAfterStart}).isCause());
}

// Guards against giving up a task after two workers that were only cut off.
TEST(CrashHistory, SilentWorkersAreAVerdictOnlyAfterThreeTimes)
{
    CHECK_FALSE(historyOf({silentAtStart, silentAtStart}).isCause());
    CHECK_TRUE(historyOf({silentAtStart, silentAtStart, silentAtStart}).isCause());
}

// Guards against counting a worker that was cut off and has answered again.
TEST(CrashHistory, ForgetsASilentWorkerThatAnswersAgain)
{
    CrashHistory history = historyOf({silentAtStart});
    CHECK_TRUE(history.retract(RunNumber(1)));
    CHECK_TRUE(history.crashes().empty());
}

// Guards against forgetting a proven crash.
TEST(CrashHistory, KeepsAProvenCrash)
{
    CrashHistory history = historyOf({silentAtStart});
    CHECK_TRUE(history.add(RunNumber(1), aloneAtStart, TimePoint()));
    CHECK_FALSE(history.retract(RunNumber(1)));
    CHECK_EQUAL(1, history.crashes().size());
}

// Guards against counting a crash twice that several members of a gang report.
TEST(CrashHistory, CountsARunOnce)
{
    CrashHistory history;
    CHECK_TRUE(history.add(RunNumber(1), aloneAtStart, TimePoint()));
    CHECK_FALSE(history.add(RunNumber(1), aloneAtStart, TimePoint()));
    CHECK_FALSE(history.isCause());
}

// Guards against a suspect that takes other tasks with it when it crashes its next worker.
TEST(CrashHistory, IsolatesATaskAfterACrashAtItsStart)
{
    CHECK_TRUE(historyOf({besideOthersAtStart}).isolation() == RunIsolation::Short);
}

// Guards against isolating the tasks that a worker had carried for long when it crashed.
TEST(CrashHistory, DoesNotIsolateATaskAfterACrashLongAfterItsStart)
{
    CHECK_TRUE(historyOf({longAfterStart}).isolation() == RunIsolation::None);
}

// Guards against a task that crashes its workers some time after its start and takes other tasks with it.
TEST(CrashHistory, IsolatesATaskForItsWholeRunAfterTwoEarlyCrashes)
{
    CHECK_TRUE(historyOf({soonAfterStart, soonAfterStart}).isolation() == RunIsolation::Long);
}

// Guards against waits that each report of a known crash begins anew.
TEST(CrashHistory, AKnownCrashKeepsTheTimeAtWhichItBecameKnown)
{
    CrashHistory history;
    (void)history.add(RunNumber(1), silentAtStart, TimePoint(Duration(2000)));
    CHECK_TRUE(history.add(RunNumber(1), aloneAtStart, TimePoint(Duration(9000))));
    CHECK_EQUAL(2000, history.lastCrashAt().time_since_epoch().count());
}

} // namespace KingCupLadder
