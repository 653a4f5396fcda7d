// A vector of the resources that a task or a request takes from a VM.
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

    /// True if every component of this vector is at most the one of @p room.
    [[nodiscard]] bool fitsIn(const Resources &room) const;

    [[nodiscard]] bool isZero() const;

    /// The largest of component / component of @p total. Components of which @p total has none are left out.
    [[nodiscard]] double dominantShareOf(const Resources &total) const;

    /// The component-wise smaller vector.
    [[nodiscard]] Resources limitedTo(const Resources &upper) const;

    /// This vector with negative components replaced by zero.
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
