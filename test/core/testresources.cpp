#include "core/resources.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

Resources makeResources(int cpu, int memory, int accelerators, int slots)
{
    return Resources{MilliCores(cpu), MebiBytes(memory), Accelerators(accelerators), Slots(slots)};
}

} // namespace

TEST_GROUP(Resources){};

// A worker must not be overcommitted in one resource because the others are sufficient.
TEST(Resources, DoesNotFitIfOneComponentIsTooLarge)
{
    CHECK_FALSE(makeResources(1, 1, 2, 1).fitsIn(makeResources(10, 10, 1, 10)));
}

// Guards against a dominant share that is not the largest component share, and against a division by zero for a resource of which
// the total is zero.
TEST(Resources, DominantShareIsTheLargestComponentShare)
{
    DOUBLES_EQUAL(0.5, makeResources(1, 5, 0, 0).dominantShareOf(makeResources(10, 10, 0, 8)), 1e-9);
}

// Guards against negative free resources, and against changing the other components when one is negative.
TEST(Resources, ClampedToNonNegativeKeepsPositiveComponents)
{
    CHECK_TRUE(makeResources(0, 3, 0, 0) == makeResources(-1, 3, -2, 0).clampedToNonNegative());
}
