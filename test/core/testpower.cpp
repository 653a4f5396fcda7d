#include "core/power.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Power){};

// Guards against batch work using up the generator's fuel.
TEST(Power, BatchIsCheckpointedOnTheGenerator)
{
    CHECK_TRUE(powerEffect(PowerSource::Generator, WorkClass::Batch, Priority::Normal, false) == PowerEffect::Checkpoint);
}

// Guards against ending the only attempt of a startOnce task.
TEST(Power, StartOnceBatchIsThrottledOnTheGenerator)
{
    CHECK_TRUE(powerEffect(PowerSource::Generator, WorkClass::Batch, Priority::Normal, true) == PowerEffect::Throttle);
}

// Guards against urgent batch work, such as a late settlement, waiting for the grid.
TEST(Power, UrgentBatchStartsOnTheGenerator)
{
    CHECK_TRUE(mayStart(PowerSource::Generator, WorkClass::Batch, Priority::Urgent));
}

// Guards against services stopping with the grid.
TEST(Power, ServicesRunOnTheGenerator)
{
    CHECK_TRUE(powerEffect(PowerSource::Generator, WorkClass::Service, Priority::Normal, false) == PowerEffect::Run);
}

// Guards against batch work being held back on the grid.
TEST(Power, BatchStartsOnTheGrid)
{
    CHECK_TRUE(mayStart(PowerSource::Grid, WorkClass::Batch, Priority::Normal));
}
