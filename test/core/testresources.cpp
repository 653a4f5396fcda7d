#include "core/resources.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

Resources vectorOf(int cpu, int memory, int accelerators, int slots)
{
    return Resources{MilliCores(cpu), MebiBytes(memory), Accelerators(accelerators), Slots(slots)};
}

} // namespace

TEST_GROUP(Resources){};

TEST(Resources, DoesNotFitIfOneComponentIsTooLarge)
{
    CHECK_FALSE(vectorOf(1, 1, 2, 1).fitsIn(vectorOf(10, 10, 1, 10)));
}

TEST(Resources, DominantShareIsTheLargestComponentShare)
{
    DOUBLES_EQUAL(0.5, vectorOf(1, 5, 0, 0).dominantShareOf(vectorOf(10, 10, 0, 8)), 1e-9);
}

TEST(Resources, ClampedToZeroKeepsPositiveComponents)
{
    CHECK_TRUE(vectorOf(0, 3, 0, 0) == vectorOf(-1, 3, -2, 0).clampedToNonNegative());
}
