// Helpers that run an event loop in tests.
#pragma once

#include "daemon/eventloop.h"

#include <functional>

namespace KingCupLadder {

/// Processes events until the condition holds, for at most @p timeout.
inline void runUntil(EventLoop &loop, const std::function<bool()> &condition, Duration timeout)
{
    bool isTimedOut = false;
    const auto timer = EventWatch::timer(loop, [&isTimedOut] { isTimedOut = true; });
    timer->start(timeout);
    while (!isTimedOut && !condition()) {
        loop.runOnce();
    }
}

/// Processes events for the given time.
inline void runFor(EventLoop &loop, Duration duration)
{
    runUntil(
        loop, [] { return false; }, duration);
}

} // namespace KingCupLadder
