// The one event loop of the process, on libevent, with its timers and descriptor watches as objects that clean up after
// themselves.
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
    [[nodiscard]] TimePoint now() const;
    /// Runs until stop().
    void run();
    /// Handles what is ready, waits for at least one event.
    void runOnce();
    void stop();
    /// Calls the function after the events that are active now; dropped if the loop is destroyed before.
    void defer(std::function<void()> function);
    /// Like defer(), for functions that free what is in use now; called at the latest when the loop is destroyed.
    void dispose(std::function<void()> function);

private:
    EventLoop() = default;
    void runDeferred();

    event_base *m_base = nullptr;
    event *m_deferredEvent = nullptr;
    std::vector<std::function<void()>> m_deferred;
    std::vector<std::function<void()>> m_disposals;
};

/// Calls a function when a span has passed, a descriptor has news or a signal arrives. Stops on destruction.
class EventWatch
{
public:
    using Handler = std::function<void()>;

    [[nodiscard]] static std::unique_ptr<EventWatch> timer(EventLoop &loop, Handler handler);
    [[nodiscard]] static std::unique_ptr<EventWatch> repeating(EventLoop &loop, Duration interval, Handler handler);
    /// Edge-triggered: the handler must drain the descriptor.
    [[nodiscard]] static std::unique_ptr<EventWatch> readable(EventLoop &loop, int descriptor, Handler handler);
    /// The other side closed the connection; nothing is read from it.
    [[nodiscard]] static std::unique_ptr<EventWatch> closed(EventLoop &loop, int descriptor, Handler handler);
    [[nodiscard]] static std::unique_ptr<EventWatch> signal(EventLoop &loop, int number, Handler handler);
    ~EventWatch();
    EventWatch(const EventWatch &) = delete;
    EventWatch &operator=(const EventWatch &) = delete;

    /// Only for timers: (re)starts the span.
    void start(Duration span);
    void stop();

private:
    EventWatch(EventLoop &loop, int descriptor, short flags, Handler handler);

    event *m_event = nullptr;
    Handler m_handler;
};

/// Functions that are each called once after a pause; those that are not due when this object is destroyed are dropped.
class DelayedCalls
{
public:
    explicit DelayedCalls(EventLoop &loop) : m_loop(loop) { }

    void after(Duration pause, std::function<void()> function);
    [[nodiscard]] bool isEmpty() const;

private:
    EventLoop &m_loop;
    std::list<std::unique_ptr<EventWatch>> m_timers;
};

} // namespace KingCupLadder
