#include "core/powerpolicy.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Power){};

// Guards against batch work that uses up the fuel of the generator.
TEST(Power, BatchIsCheckpointedOnTheGenerator)
{
    CHECK_TRUE(powerEffect(PowerSource::Generator, WorkClass::Batch, Priority::Normal, false) == PowerEffect::Checkpoint);
}

// Guards against ending the only attempt of a startOnce task.
TEST(Power, StartOnceBatchIsThrottledOnTheGenerator)
{
    CHECK_TRUE(powerEffect(PowerSource::Generator, WorkClass::Batch, Priority::Normal, true) == PowerEffect::Throttle);
}

// Guards against holding back urgent batch work, such as a late settlement, until grid power returns.
TEST(Power, UrgentBatchStartsOnTheGenerator)
{
    CHECK_TRUE(mayStart(PowerSource::Generator, WorkClass::Batch, Priority::Urgent));
}

// Guards against stopping services when grid power fails.
TEST(Power, ServicesRunOnTheGenerator)
{
    CHECK_TRUE(powerEffect(PowerSource::Generator, WorkClass::Service, Priority::Normal, false) == PowerEffect::Run);
}

// Guards against holding back batch work on grid power.
TEST(Power, BatchStartsOnTheGrid)
{
    CHECK_TRUE(mayStart(PowerSource::Grid, WorkClass::Batch, Priority::Normal));
}
