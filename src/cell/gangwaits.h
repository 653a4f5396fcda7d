// Where the waiting time of a gang goes: how long it has waited for each of the things that a start needs.
#pragma once

#include "core/units.h"

#include <array>
#include <cstddef>
#include <string>

namespace KingCupLadder {

/// What a gang that has not started waits for.
enum class GangWaitCause {
    FirstAnswer, ///< No answer of the policy service yet.
    Room, ///< The allowed workers have no room for all of its tasks.
    ReservedRoom, ///< They have the room, but it is reserved for other steps.
    Tickets, ///< They have the room, and the tickets of some of them have expired.
    Other, ///< For example a pause after a failure, runs that are not settled, or its workspace's maximum.
};

constexpr std::size_t gangWaitCauseCount = 5;

[[nodiscard]] const char *toString(GangWaitCause cause);

/// The waits of one gang since it was ready or its last run ended.
class GangWaits
{
public:
    /// From @p now on the gang waits for @p cause. Ends the wait before.
    void waitFor(GangWaitCause cause, TimePoint now);
    /// Forgets all waits. To be called when the gang starts.
    void clear();
    [[nodiscard]] Duration total(GangWaitCause cause, TimePoint now) const;
    /// Returns the causes with their times for a log line, or "without a wait".
    [[nodiscard]] std::string describe(TimePoint now) const;

private:
    std::array<Duration, gangWaitCauseCount> m_ended{}; ///< Sums over the waits that have ended, by cause.
    GangWaitCause m_cause = GangWaitCause::Other;
    TimePoint m_since; ///< Begin of the present wait; zero: the gang does not wait.
};

} // namespace KingCupLadder
