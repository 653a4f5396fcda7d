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

// The share of a team must not be computed from a resource that it uses little, nor fail for a resource of which there is none.
TEST(Resources, DominantShareIsTheLargestComponentShare)
{
    DOUBLES_EQUAL(0.5, makeResources(1, 5, 0, 0).dominantShareOf(makeResources(10, 10, 0, 8)), 1e-9);
}

// Negative components must become zero without changing the positive ones.
TEST(Resources, ClampedToZeroKeepsPositiveComponents)
{
    CHECK_TRUE(makeResources(0, 3, 0, 0) == makeResources(-1, 3, -2, 0).clampedToNonNegative());
}
