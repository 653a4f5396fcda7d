#include "node/loopmonitor.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(LoopMonitor)
{
    LoopMonitor monitor{Duration(25)};
    const TimePoint start{Duration(1000)};
};

// Guards against a daemon that stands still for seconds without a trace in its log.
TEST(LoopMonitor, MeasuresByHowMuchTheTimerIsLate)
{
    CHECK_TRUE(monitor.observe(start) == Duration(0));
    CHECK_TRUE(monitor.observe(start + Duration(25)) == Duration(0));
    CHECK_TRUE(monitor.observe(start + Duration(2050)) == Duration(2000));
    CHECK_TRUE(monitor.observe(start + Duration(2075)) == Duration(0));
    CHECK_TRUE(monitor.longest() == Duration(2000));
}
