// Tests of the bounds for callers that follow from the resources of the process.
#include "core/callerlimits.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

constexpr std::uint64_t mebibyte = 1024UL * 1024;

/// What the kernel may hold of all connections: it reserves twice the size of a buffer, in each direction.
std::uint64_t socketBytes(const ConnectionBudget &budget)
{
    return 4 * std::uint64_t(budget.maxConnections) * budget.socketBufferBytes;
}

} // namespace

TEST_GROUP(ConnectionBudget){};

// Guards against sockets whose buffers together exceed the memory of the smallest machine.
TEST(ConnectionBudget, TheBuffersOfAllSocketsTakeAQuarterOfTheMemory)
{
    for (const std::uint64_t memory : {16UL, 120UL, 260UL, 512UL, 4096UL}) {
        for (const std::uint64_t descriptors : {64UL, 3075UL, 4100UL, 10250UL, 10000000UL}) {
            const ConnectionBudget budget = ConnectionBudget::forCallers({memory * mebibyte, descriptors});
            CHECK_TRUE(socketBytes(budget) <= memory * mebibyte / 4);
        }
    }
}

// Guards against a bound on connections that does not follow the descriptors.
TEST(ConnectionBudget, AThirdOfTheDescriptorsIsForCallers)
{
    LONGS_EQUAL(1025, ConnectionBudget::forCallers({120 * mebibyte, 3075}).maxConnections);
}

// Guards against buffers in which no ordinary request fits, where descriptors are many and the memory is small.
TEST(ConnectionBudget, FewerConnectionsInsteadOfTinyBuffers)
{
    const ConnectionBudget budget = ConnectionBudget::forCallers({16 * mebibyte, 10000000});
    LONGS_EQUAL(4096, budget.socketBufferBytes);
    LONGS_EQUAL(256, budget.maxConnections);
}

// Guards against other bounds where the resources are not known.
TEST(ConnectionBudget, UnknownResourcesGiveTheDefaults)
{
    const ConnectionBudget budget = ConnectionBudget::forCallers({});
    LONGS_EQUAL(ConnectionBudget().maxConnections, budget.maxConnections);
    LONGS_EQUAL(ConnectionBudget().maxBytes, budget.maxBytes);
    LONGS_EQUAL(ConnectionBudget().socketBufferBytes, budget.socketBufferBytes);
}

// Guards against connections of peers that take the descriptors and the memory of callers and of the daemon's own connections.
TEST(ConnectionBudget, AnEighthIsForPeers)
{
    const ConnectionBudget budget = ConnectionBudget::forPeers({120 * mebibyte, 3075});
    LONGS_EQUAL(384, budget.maxConnections);
    CHECK_TRUE(2 * budget.maxConnections * budget.socketBufferBytes <= 120 * mebibyte / 8);
}
