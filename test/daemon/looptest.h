// Helpers for tests that run the event loop.
#pragma once

#include "daemon/eventloop.h"
#include "daemon/httpfrontend.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

namespace KingCupLadder {

/// Returns a loopback address with a port that is currently free.
inline std::string freeAddress()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const bool bound = bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) == 0;
    CHECK_TRUE(bound && getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    close(descriptor);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// Runs the loop until the condition holds. Returns false on a timeout, by default after two seconds.
inline bool runUntil(EventLoop &loop, const std::function<bool()> &condition, Duration timeout = Duration(2000))
{
    const TimePoint end = loop.now() + timeout;
    const auto wakeUp = EventWatch::repeating(loop, Duration(2), [] {});
    while (!condition() && loop.now() < end) {
        loop.runOnce();
    }
    return condition();
}

inline std::unique_ptr<EventLoop> makeLoop()
{
    auto loop = EventLoop::create();
    CHECK_TRUE(loop.hasValue());
    return std::move(loop).value();
}

inline std::unique_ptr<HttpFrontend> startServer(EventLoop &loop, const std::string &address, HttpHandler handler)
{
    HttpFrontendSettings settings;
    settings.address = address;
    settings.maxBody = std::size_t{1024} * 1024;
    auto server = HttpFrontend::create(loop, settings, std::move(handler));
    CHECK_TRUE(server.hasValue());
    return std::move(server).value();
}

} // namespace KingCupLadder
