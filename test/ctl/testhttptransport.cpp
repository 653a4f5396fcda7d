#include "ctl/transport.h"

#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace KingCupLadder;
using namespace KingCupLadder::Ctl;

TEST_GROUP(HttpTransport)
{
    int listener = -1;
    std::string address;
    void setup() override
    {
        listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in loopback{};
        loopback.sin_family = AF_INET;
        loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(loopback);
        CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr *>(&loopback), size));
        getsockname(listener, reinterpret_cast<sockaddr *>(&loopback), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(loopback.sin_port));
    }
    void teardown() override
    {
        close(listener);
    }
    HttpOutcome call(Duration timeout, int *progressCalls = nullptr) const
    {
        const auto progress = [progressCalls](const std::string &, Duration) {
            if (progressCalls != nullptr) {
                ++*progressCalls;
            }
        };
        return libeventTransport(timeout, progress)({address, "POST", "/x", "{}", "key"});
    }
};

// Guards against reporting a refused connection as an unknown outcome, which would prevent failover to the next daemon.
TEST(HttpTransport, ReportsARefusedConnectionAsNotSent)
{
    const HttpOutcome outcome = call(Duration(500));
    CHECK_EQUAL(0, outcome.status);
    CHECK_FALSE(outcome.maybeSent);
}

// Guards against repeating a request that the daemon may have executed, because the timeout is reported like a refused connection.
TEST(HttpTransport, ReportsATimeoutAsMaybeSent)
{
    CHECK_EQUAL(0, listen(listener, 1));
    const HttpOutcome outcome = call(Duration(200));
    CHECK_EQUAL(0, outcome.status);
    CHECK_TRUE(outcome.maybeSent);
}

// Guards against a command that seems to hang while a daemon accepts its connection but does not respond.
TEST(HttpTransport, ShowsProgressAfterASecond)
{
    CHECK_EQUAL(0, listen(listener, 1));
    int progressCalls = 0;
    (void)call(Duration(1200), &progressCalls);
    CHECK_EQUAL(1, progressCalls);
}
