// Waiting on an event loop in tests.
#pragma once

#include "daemon/eventloop.h"

#include <functional>

namespace KingCupLadder {

/// Handles events until the condition holds, at most for @p most.
inline void runUntil(EventLoop &loop, const std::function<bool()> &condition, Duration most)
{
    bool over = false;
    const auto timer = EventWatch::timer(loop, [&over] { over = true; });
    timer->start(most);
    while (!over && !condition()) {
        loop.runOnce();
    }
}

/// Handles events for the given time.
inline void runFor(EventLoop &loop, Duration span)
{
    runUntil(
        loop, [] { return false; }, span);
}

} // namespace KingCupLadder
