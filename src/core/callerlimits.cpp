// Derives the bounds for callers from the resources of the process.
#include "callerlimits.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

// The daemon's own connections need the other two thirds of the descriptors: to 400 workers, about 5 each, to the store and to peers.
constexpr std::uint64_t descriptorsPerConnection = 3;
constexpr std::uint64_t memoryPerByte = 16;
constexpr std::uint64_t memoryPerSocketByte = 8; // For each direction.
constexpr std::uint64_t descriptorsPerPeer = 8;
constexpr std::uint64_t kernelFactor = 2; // The kernel reserves twice the requested size.
// An ordinary submission fits, so that it arrives without waiting for the daemon to read.
constexpr std::uint64_t minSocketBuffer = 4UL * 1024;
constexpr std::uint64_t maxSocketBuffer = 128UL * 1024; // More would not be faster on the links between callers and daemons.

ConnectionBudget divide(const ProcessResources &resources, std::uint64_t descriptorsPerOne)
{
    ConnectionBudget budget;
    const std::uint64_t memory = resources.memoryBytes.value_or(budget.maxBytes * memoryPerByte);
    const std::uint64_t descriptors = resources.descriptors.value_or(budget.maxConnections * descriptorsPerConnection);
    const std::uint64_t socketMemory = memory / memoryPerSocketByte / kernelFactor;
    const std::uint64_t connections = std::max<std::uint64_t>(std::min(descriptors / descriptorsPerOne, socketMemory / minSocketBuffer), 1);
    budget.maxConnections = static_cast<std::size_t>(connections);
    budget.maxBytes = static_cast<std::size_t>(memory / memoryPerByte);
    budget.socketBufferBytes = static_cast<std::size_t>(std::clamp(socketMemory / connections, minSocketBuffer, maxSocketBuffer));
    return budget;
}

} // namespace

ConnectionBudget ConnectionBudget::forCallers(const ProcessResources &resources)
{
    return divide(resources, descriptorsPerConnection);
}

ConnectionBudget ConnectionBudget::forPeers(const ProcessResources &resources)
{
    return divide(resources, descriptorsPerPeer);
}

} // namespace KingCupLadder
