// Measures how long the event loop of the process did not get to its periodic timer: a turn of the loop took long, or the VM was suspended.
#pragma once

#include "core/units.h"

#include <algorithm>
#include <optional>

namespace KingCupLadder {

class LoopMonitor
{
public:
    /// @p interval: of the timer.
    explicit LoopMonitor(Duration interval) : m_interval(interval) { }

    /// Records that the timer has fired and returns by how much it was late; zero for the first time.
    Duration observe(TimePoint now)
    {
        const Duration delay = m_last ? std::max(now - *m_last - m_interval, Duration(0)) : Duration(0);
        m_last = now;
        m_longest = std::max(m_longest, delay);
        return delay;
    }

    [[nodiscard]] Duration longest() const
    {
        return m_longest;
    }

private:
    Duration m_interval;
    std::optional<TimePoint> m_last;
    Duration m_longest{0};
};

} // namespace KingCupLadder
