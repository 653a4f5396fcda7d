// Strong types for durations, points in time and amounts of resources.
#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>

namespace KingCupLadder {

/// A duration in milliseconds.
using Duration = std::chrono::milliseconds;

/// A point in time on this process's monotonic clock. Values of different processes are never compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// An amount of one resource. The tag makes amounts of different resources distinct types.
template<typename Tag>
class Amount
{
public:
    constexpr Amount() = default;
    constexpr explicit Amount(std::int64_t value) : m_value(value) { }

    [[nodiscard]] constexpr std::int64_t value() const
    {
        return m_value;
    }

    constexpr Amount &operator+=(Amount other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Amount &operator-=(Amount other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr Amount operator+(Amount a, Amount b)
    {
        return Amount(a.m_value + b.m_value);
    }
    friend constexpr Amount operator-(Amount a, Amount b)
    {
        return Amount(a.m_value - b.m_value);
    }
    friend constexpr Amount operator*(Amount a, std::int64_t factor)
    {
        return Amount(a.m_value * factor);
    }
    friend constexpr bool operator==(Amount a, Amount b)
    {
        return a.m_value == b.m_value;
    }
    friend constexpr bool operator!=(Amount a, Amount b)
    {
        return a.m_value != b.m_value;
    }
    friend constexpr bool operator<(Amount a, Amount b)
    {
        return a.m_value < b.m_value;
    }
    friend constexpr bool operator<=(Amount a, Amount b)
    {
        return a.m_value <= b.m_value;
    }
    friend constexpr bool operator>(Amount a, Amount b)
    {
        return b < a;
    }
    friend constexpr bool operator>=(Amount a, Amount b)
    {
        return b <= a;
    }
    friend std::ostream &operator<<(std::ostream &out, Amount amount)
    {
        return out << amount.m_value;
    }

private:
    std::int64_t m_value = 0;
};

using MilliCores = Amount<struct MilliCoresTag>; ///< Thousandths of a CPU core.
using MebiBytes = Amount<struct MebiBytesTag>; ///< Memory in MiB.
using Accelerators = Amount<struct AcceleratorsTag>; ///< Whole accelerators.
using Slots = Amount<struct SlotsTag>; ///< Request slots.

} // namespace KingCupLadder
