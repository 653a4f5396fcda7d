// Resource vectors: the resources of a VM that a task or a request uses.
#pragma once

#include "units.h"

#include <ostream>

namespace KingCupLadder {

/// An amount of every resource. All components of a demand or a capacity are zero or more.
struct Resources {
    MilliCores cpu;
    MebiBytes memory;
    Accelerators accelerators;
    Slots slots;

    /// Returns true if no component exceeds the same component of @p available.
    [[nodiscard]] bool fitsIn(const Resources &available) const;

    [[nodiscard]] bool isZero() const;

    /// Returns the dominant share: the largest ratio of a component to the same component of @p total. Components that are zero in
    /// @p total are ignored.
    [[nodiscard]] double dominantShareOf(const Resources &total) const;

    /// Returns the component-wise minimum.
    [[nodiscard]] Resources limitedTo(const Resources &upper) const;

    /// Returns this vector with negative components replaced by zero.
    [[nodiscard]] Resources clampedToNonNegative() const;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    friend Resources operator+(Resources a, const Resources &b)
    {
        return a += b;
    }
    friend Resources operator-(Resources a, const Resources &b)
    {
        return a -= b;
    }
    friend Resources operator*(const Resources &a, std::int64_t factor)
    {
        return Resources{a.cpu * factor, a.memory * factor, a.accelerators * factor, a.slots * factor};
    }
    friend bool operator==(const Resources &a, const Resources &b)
    {
        return a.cpu == b.cpu && a.memory == b.memory && a.accelerators == b.accelerators && a.slots == b.slots;
    }
    friend bool operator!=(const Resources &a, const Resources &b)
    {
        return !(a == b);
    }
    friend std::ostream &operator<<(std::ostream &out, const Resources &r);
};

} // namespace KingCupLadder
