#include "core/ledger.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

Resources amount(int cpu, int memory, int accelerators = 0, int slots = 0)
{
    return Resources{MilliCores(cpu), MebiBytes(memory), Accelerators(accelerators), Slots(slots)};
}

TaskId task(std::uint32_t index)
{
    return TaskId{JobId("j"), index, 1};
}

} // namespace

TEST_GROUP(Ledger)
{
    Ledger ledger;
    void setup() override
    {
        ledger.setCapacity(amount(10, 10, 1, 2));
    }
};

// Guards against overcommitting one resource of a VM while the others are free.
TEST(Ledger, RefusesDemandAboveOneFreeResource)
{
    CHECK_TRUE(ledger.commit(task(0), amount(1, 1, 1)));
    CHECK_FALSE(ledger.commit(task(1), amount(1, 1, 1)));
}

// Guards against counting a repeated commitment twice.
TEST(Ledger, RefusesAnEntryThatExists)
{
    CHECK_TRUE(ledger.commit(task(0), amount(1, 1)));
    CHECK_FALSE(ledger.commit(task(0), amount(1, 1)));
    CHECK_TRUE(ledger.committed() == amount(1, 1));
}

// Guards against a release that frees resources which were never committed.
TEST(Ledger, ReleaseOfAnUnknownEntryFreesNothing)
{
    CHECK_TRUE(ledger.release(task(7)).isZero());
    CHECK_TRUE(ledger.free() == amount(10, 10, 1, 2));
}

// Guards against new commitments on a VM whose capacity was reduced below its current commitments.
TEST(Ledger, CommitsNothingAboveAReducedCapacity)
{
    ledger.adopt(task(0), amount(8, 8));
    ledger.setCapacity(amount(4, 4));
    CHECK_FALSE(ledger.commit(task(1), amount(1, 0)));
}

// Guards against adding a new reserve to the previous one instead of replacing it.
TEST(Ledger, ReserveIsReplaced)
{
    ledger.setReserve(amount(0, 0, 0, 2));
    ledger.setReserve(amount(0, 0, 0, 1));
    CHECK_TRUE(ledger.commit(GrantId("g"), amount(0, 0, 0, 1)));
    CHECK_FALSE(ledger.commit(GrantId("h"), amount(0, 0, 0, 1)));
}
