// A daemon process under callers that ignore the limits: it stays alive and within its memory and descriptors, and serves an ordinary
// caller. The tests check no times and no share of served requests.
#include "callercrowd.h"
#include "limitedcell.h"

#include <CppUTest/TestHarness.h>

#include <iostream>

using namespace KingCupLadder;
using namespace KingCupLadder::LimitsTest;

namespace {

constexpr int memoryMb = 64;
constexpr int descriptors = 256;
constexpr int crowdSize = 150; // Leaves room for ordinary callers within the descriptors.
constexpr int pipeliningCrowdSize = 50;
constexpr int shortRequests = 1000; // In each connection.
constexpr int crowdBeyondDescriptors = 320;
constexpr Duration misuseTime{3000};
constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = kibibyte * kibibyte; // The largest body of the test's configuration.

#ifdef __SANITIZE_ADDRESS__
// The address sanitizer keeps freed memory and shadow memory, so VmHWM says nothing about the daemon.
constexpr bool checksMemory = false;
#else
constexpr bool checksMemory = true;
#endif

std::string requestHead(const std::string &method, const std::string &target, const std::string &headers)
{
    return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\n" + headers;
}

const char jobTarget[] = "/jobs/bbbbbbbbbbbbbbbb";

std::string bodyStart(std::size_t length)
{
    return requestHead("POST", jobTarget, "Authorization: Bearer limits-key\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n");
}

/// Requests whose responses are never read: many short ones, whose responses fill the buffers of the sockets, then long ones.
Misuse pipelinedRequests()
{
    Misuse misuse;
    for (int i = 0; i < shortRequests; ++i) {
        misuse.opening += requestHead("GET", "/nowhere", "\r\n");
    }
    misuse.repeated = requestHead("GET", "/nowhere/" + std::string(8 * kibibyte, 'x'), "\r\n");
    misuse.connections = pipeliningCrowdSize;
    return misuse;
}

} // namespace

TEST_GROUP(CallerLimits)
{
    LimitedCell cell{CellLimits{memoryMb, descriptors}};

    void survives(const std::string &address, const Misuse &misuse)
    {
        CHECK_TEXT(cell.submitsJob(), "the daemon has not started");
        const CallerCrowd crowd(cell.loop(), address, misuse);
        cell.runFor(misuseTime);
        const bool isServed = cell.submitsJob(); // While the crowd goes on.
        CHECK_TEXT(cell.isDaemonRunning(), "the daemon has ended");
        std::cout << "peak " << cell.peakMemoryMb() << " MB, " << cell.peakDescriptors() << " descriptors, the crowd sent " << crowd.bytesSent() / mebibyte
                  << " MB\n";
        CHECK_TEXT(!checksMemory || cell.peakMemoryMb() <= memoryMb, "the daemon exceeded its memory");
        CHECK_TEXT(cell.peakDescriptors() <= descriptors, "the daemon exceeded its descriptors");
        CHECK_TEXT(isServed, "an ordinary job was not accepted");
    }
};

// Guards against a daemon that stores a body which was announced as larger than the limit.
TEST(CallerLimits, BodiesAnnouncedFarOverTheLimit)
{
    Misuse misuse;
    misuse.opening = bodyStart(1024 * mebibyte);
    misuse.repeated = std::string(16 * kibibyte, 'x');
    misuse.connections = crowdSize;
    survives(cell.callerAddress(), misuse);
}

// Guards against a daemon that limits single bodies but not their sum, and waits for the rest of each without end.
TEST(CallerLimits, BodiesThatAreNeverCompleted)
{
    Misuse misuse;
    misuse.opening = bodyStart(mebibyte - 1);
    misuse.repeated = std::string(16 * kibibyte, 'x');
    misuse.total = misuse.opening.size() + mebibyte - 100;
    misuse.connections = crowdSize;
    survives(cell.callerAddress(), misuse);
}

// Guards against a daemon that limits only bodies with an announced length.
TEST(CallerLimits, EndlessChunks)
{
    Misuse misuse;
    misuse.opening = requestHead("POST", jobTarget, "Authorization: Bearer limits-key\r\nTransfer-Encoding: chunked\r\n\r\n");
    misuse.repeated = "4000\r\n" + std::string(16 * kibibyte, 'x') + "\r\n";
    misuse.connections = crowdSize;
    survives(cell.callerAddress(), misuse);
}

// Guards against a daemon that reads requests without bound while their callers do not read the responses.
TEST(CallerLimits, PipelinedRequestsWhoseResponsesAreNeverRead)
{
    survives(cell.callerAddress(), pipelinedRequests());
}

// Guards against connections that send headers without end and use up all descriptors.
TEST(CallerLimits, ManyConnectionsWithSlowHeaders)
{
    Misuse misuse;
    misuse.opening = requestHead("GET", jobTarget, "X-Slow: ");
    misuse.repeated = "x";
    misuse.bytesPerTurn = 1;
    misuse.connections = crowdBeyondDescriptors;
    survives(cell.callerAddress(), misuse);
}

// Guards against limits that apply to the callers' API only.
TEST(CallerLimits, PipelinedRequestsToTheReadinessProbe)
{
    survives(cell.readyAddress(), pipelinedRequests());
}

// Guards against limits that apply to the callers' API only.
TEST(CallerLimits, PipelinedRequestsForMetrics)
{
    survives(cell.metricsAddress(), pipelinedRequests());
}

// Guards against connections to the readiness probe that use up the descriptors of the callers' API.
TEST(CallerLimits, ManyConnectionsToTheReadinessProbe)
{
    Misuse misuse;
    misuse.opening = requestHead("GET", "/ready", "X-Slow: ");
    misuse.repeated = "x";
    misuse.bytesPerTurn = 1;
    misuse.connections = crowdBeyondDescriptors;
    survives(cell.readyAddress(), misuse);
}
