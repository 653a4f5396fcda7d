// Arithmetic on resource vectors.
#include "resources.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

template<typename T>
double shareOf(T part, T total)
{
    return total.value() > 0 ? static_cast<double>(part.value()) / static_cast<double>(total.value()) : 0.0;
}

template<typename T>
T atLeastZero(T value)
{
    return std::max(value, T(0));
}

} // namespace

bool Resources::fitsIn(const Resources &available) const
{
    return cpu <= available.cpu && memory <= available.memory && accelerators <= available.accelerators && slots <= available.slots;
}

bool Resources::isZero() const
{
    return *this == Resources{};
}

double Resources::dominantShareOf(const Resources &total) const
{
    const double computeShare = std::max(shareOf(cpu, total.cpu), shareOf(memory, total.memory));
    return std::max({computeShare, shareOf(accelerators, total.accelerators), shareOf(slots, total.slots)});
}

Resources Resources::limitedTo(const Resources &upper) const
{
    return Resources{std::min(cpu, upper.cpu), std::min(memory, upper.memory), std::min(accelerators, upper.accelerators), std::min(slots, upper.slots)};
}

Resources Resources::clampedToNonNegative() const
{
    return Resources{atLeastZero(cpu), atLeastZero(memory), atLeastZero(accelerators), atLeastZero(slots)};
}

Resources &Resources::operator+=(const Resources &other)
{
    cpu += other.cpu;
    memory += other.memory;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    cpu -= other.cpu;
    memory -= other.memory;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
}

std::ostream &operator<<(std::ostream &out, const Resources &resources)
{
    return out << resources.cpu << "m cpu, " << resources.memory << " MiB, " << resources.accelerators << " accelerators, " << resources.slots << " slots";
}

} // namespace KingCupLadder
