// The event loop of the process, based on libevent, with RAII classes for timers and for watches on file descriptors and
// signals.
#pragma once

#include "core/error.h"
#include "core/units.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace KingCupLadder {

class EventLoop
{
public:
    [[nodiscard]] static Result<std::unique_ptr<EventLoop>> create();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    [[nodiscard]] event_base *base() const;
    /// Returns the time of the boot clock, which also advances while the VM is suspended.
    [[nodiscard]] TimePoint now() const;
    /// Runs until stop().
    void run();
    /// Waits for at least one event and handles all that are ready.
    void runOnce();
    void stop();
    /// Calls the function after the currently active events. Drops it if the loop is destroyed first.
    void defer(std::function<void()> function);
    /// Like defer(), for functions that free an object which its caller still uses, such as a connection in its own callback.
    /// Called at the latest when the loop is destroyed.
    void dispose(std::function<void()> function);

private:
    EventLoop() = default;
    void runDeferred();

    event_base *m_base = nullptr;
    event *m_deferredEvent = nullptr;
    std::vector<std::function<void()>> m_deferred;
    std::vector<std::function<void()>> m_disposals;
};

/// Calls a handler when a timer expires, a file descriptor becomes ready or a signal arrives. Stops on destruction.
class EventWatch
{
public:
    using Handler = std::function<void()>;

    /// One-shot timer that must be started with start().
    [[nodiscard]] static std::unique_ptr<EventWatch> timer(EventLoop &loop, Handler handler);
    /// Periodic timer, already started.
    [[nodiscard]] static std::unique_ptr<EventWatch> repeating(EventLoop &loop, Duration interval, Handler handler);
    /// Edge-triggered: the handler must drain the descriptor.
    [[nodiscard]] static std::unique_ptr<EventWatch> readable(EventLoop &loop, int descriptor, Handler handler);
    /// Calls the handler once when the peer has closed the connection. Does not read from the connection.
    [[nodiscard]] static std::unique_ptr<EventWatch> closed(EventLoop &loop, int descriptor, Handler handler);
    [[nodiscard]] static std::unique_ptr<EventWatch> signal(EventLoop &loop, int number, Handler handler);
    ~EventWatch();
    EventWatch(const EventWatch &) = delete;
    EventWatch &operator=(const EventWatch &) = delete;

    /// Starts or restarts a timer. Must not be called for other watches.
    void start(Duration timeout);
    void stop();
    /// Calls the handler after the events that are active already, before the loop waits for further events.
    void activate();

private:
    EventWatch(EventLoop &loop, int descriptor, short flags, Handler handler);

    event *m_event = nullptr;
    Handler m_handler;
};

/// Calls functions once after a delay. Calls that are still pending when this object is destroyed are dropped.
class DelayedCalls
{
public:
    explicit DelayedCalls(EventLoop &loop) : m_loop(loop) { }

    void after(Duration delay, std::function<void()> function);
    [[nodiscard]] bool isEmpty() const;

private:
    EventLoop &m_loop;
    std::list<std::unique_ptr<EventWatch>> m_timers;
};

} // namespace KingCupLadder
