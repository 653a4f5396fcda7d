// Implements EventLoop and EventWatch on libevent.
#include "eventloop.h"

#include <event2/event.h>

#include <ctime>

namespace KingCupLadder {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr std::int64_t microsecondsPerMillisecond = 1000;

timeval toTimeval(Duration duration)
{
    const std::int64_t count = std::max<std::int64_t>(duration.count(), 0);
    timeval value{};
    value.tv_sec = count / millisecondsPerSecond;
    value.tv_usec = (count % millisecondsPerSecond) * microsecondsPerMillisecond;
    return value;
}

} // namespace

Result<std::unique_ptr<EventLoop>> EventLoop::create()
{
    std::unique_ptr<EventLoop> loop(new EventLoop);
    event_config *config = event_config_new();
    // Without early close detection, a client that disconnects would hold its grant until the deadline.
    event_config_require_features(config, EV_FEATURE_EARLY_CLOSE | EV_FEATURE_ET);
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    loop->m_base = event_base_new_with_config(config);
    event_config_free(config);
    if (loop->m_base == nullptr) {
        return Error{ErrorKind::Unavailable, "the event loop can't be created", "run on a Linux kernel with epoll"};
    }
    EventLoop *self = loop.get();
    loop->m_deferredEvent = event_new(
        loop->m_base, -1, 0, [](evutil_socket_t, short, void *argument) { static_cast<EventLoop *>(argument)->runDeferred(); }, self);
    return loop;
}

EventLoop::~EventLoop()
{
    // Functions passed to dispose() still run, since the objects that they free would leak. Functions passed to defer() are dropped:
    // they may refer to destroyed objects.
    for (const auto &function : std::exchange(m_disposals, {})) {
        function();
    }
    if (m_deferredEvent != nullptr) {
        event_free(m_deferredEvent);
    }
    if (m_base != nullptr) {
        event_base_free(m_base);
    }
}

event_base *EventLoop::base() const
{
    return m_base;
}

TimePoint EventLoop::now() const
{
    // Leases also expire while the VM is suspended. The steady clock stands still during that time, CLOCK_BOOTTIME does not.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(since));
}

void EventLoop::run()
{
    event_base_dispatch(m_base);
}

void EventLoop::runOnce()
{
    event_base_loop(m_base, EVLOOP_ONCE);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

void EventLoop::defer(std::function<void()> function)
{
    m_deferred.push_back(std::move(function));
    const timeval zero{0, 0};
    event_add(m_deferredEvent, &zero);
}

void EventLoop::dispose(std::function<void()> function)
{
    m_disposals.push_back(std::move(function));
    const timeval zero{0, 0};
    event_add(m_deferredEvent, &zero);
}

void EventLoop::runDeferred()
{
    for (const auto &function : std::exchange(m_deferred, {})) {
        function();
    }
    for (const auto &function : std::exchange(m_disposals, {})) {
        function();
    }
}

EventWatch::EventWatch(EventLoop &loop, int descriptor, short flags, Handler handler) : m_handler(std::move(handler))
{
    m_event = event_new(
        loop.base(),
        descriptor,
        flags,
        [](evutil_socket_t, short, void *argument) {
            // Copied because the handler may destroy this object.
            const Handler call = static_cast<EventWatch *>(argument)->m_handler;
            call();
        },
        this);
}

EventWatch::~EventWatch()
{
    event_free(m_event);
}

std::unique_ptr<EventWatch> EventWatch::timer(EventLoop &loop, Handler handler)
{
    return std::unique_ptr<EventWatch>(new EventWatch(loop, -1, 0, std::move(handler)));
}

std::unique_ptr<EventWatch> EventWatch::repeating(EventLoop &loop, Duration interval, Handler handler)
{
    std::unique_ptr<EventWatch> watch(new EventWatch(loop, -1, EV_PERSIST, std::move(handler)));
    watch->start(interval);
    return watch;
}

std::unique_ptr<EventWatch> EventWatch::readable(EventLoop &loop, int descriptor, Handler handler)
{
    std::unique_ptr<EventWatch> watch(new EventWatch(loop, descriptor, EV_READ | EV_ET | EV_PERSIST, std::move(handler)));
    event_add(watch->m_event, nullptr);
    return watch;
}

std::unique_ptr<EventWatch> EventWatch::closed(EventLoop &loop, int descriptor, Handler handler)
{
    std::unique_ptr<EventWatch> watch(new EventWatch(loop, descriptor, EV_CLOSED, std::move(handler)));
    event_add(watch->m_event, nullptr);
    return watch;
}

std::unique_ptr<EventWatch> EventWatch::signal(EventLoop &loop, int number, Handler handler)
{
    std::unique_ptr<EventWatch> watch(new EventWatch(loop, number, EV_SIGNAL | EV_PERSIST, std::move(handler)));
    event_add(watch->m_event, nullptr);
    return watch;
}

void EventWatch::start(Duration timeout)
{
    const timeval value = toTimeval(timeout);
    event_add(m_event, &value);
}

void EventWatch::activate()
{
    event_active(m_event, EV_TIMEOUT, 0);
}

void EventWatch::stop()
{
    event_del(m_event);
}

void DelayedCalls::after(Duration delay, std::function<void()> function)
{
    const auto timer = m_timers.emplace(m_timers.end());
    *timer = EventWatch::timer(m_loop, [this, timer, function = std::move(function)] {
        m_timers.erase(timer);
        function(); // May destroy this object.
    });
    (*timer)->start(delay);
}

bool DelayedCalls::isEmpty() const
{
    return m_timers.empty();
}

} // namespace KingCupLadder
