// kingcupladderd under callers that ignore the limits: the process stays alive and within its memory and descriptors, and serves an ordinary
// caller. The tests check no times and no share of served requests.
#include "callercrowd.h"
#include "misuses.h"
#include "process/fleet.h"
#include "processuse.h"

#include "daemon/httptypes.h"

// Before TestHarness.h, whose macro for new breaks <future>.
#include <csignal>
#include <future>
#include <iostream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;
using namespace KingCupLadder::LimitsTest;
using namespace KingCupLadder::ProcessTest;

namespace {

constexpr double memoryMb = 64;
constexpr std::size_t descriptors = 256;
constexpr std::size_t maxBody = 1024UL * 1024;
constexpr int crowdSize = 150;
constexpr int pipeliningCrowdSize = 50;
constexpr int peerCrowdSize = 60;
constexpr int crowdBeyondDescriptors = 320;
constexpr Duration misuseTime{3000};
constexpr Duration sampleInterval{25};
constexpr int maxAttempts = 100; // Of the ordinary caller, who repeats a request that was not answered.
constexpr Millis attemptPause{100};
constexpr Millis maxStopTime{30000};

#ifdef __SANITIZE_ADDRESS__
constexpr bool checksMemory = false; // The address sanitizer keeps freed memory and shadow memory.
#else
constexpr bool checksMemory = true;
#endif

} // namespace

TEST_GROUP(DaemonLimits)
{
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    ProcessFleet fleet{FleetSettings{", maxBody: 1MiB", "limits: {memory: 64MiB, descriptors: 256}\n"}};
    std::unique_ptr<ProcessUse> use;
    std::unique_ptr<EventWatch> sampleTimer;
    Target target{"127.0.0.1", "/v1/jobs", {}};

    void setup() override
    {
        const std::string failure = fleet.start();
        CHECK_TEXT(failure.empty(), failure.c_str());
        target.key = fleet.teamKey;
        use = std::make_unique<ProcessUse>(fleet.daemons[0].process->pid(), std::set<std::string>{fleet.daemons[0].httpAddress, fleet.daemons[0].peerAddress});
        sampleTimer = EventWatch::repeating(*loop, sampleInterval, [this] { use->sample(); });
    }

    /// Runs the loop until the function has returned.
    void runBeside(const std::function<void()> &function)
    {
        const auto done = std::async(std::launch::async, function);
        while (done.wait_for(Millis(0)) != std::future_status::ready) {
            loop->runOnce();
        }
    }

    /// Sends a request that a worker answers, like an ordinary caller.
    [[nodiscard]] bool isServed() const
    {
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            if (fleet.requestAsTeam(0, "GET", "/app/roster/start").status == httpOk) {
                return true;
            }
            std::this_thread::sleep_for(attemptPause);
        }
        return false;
    }

    void survives(const Misuse &misuse)
    {
        survives(fleet.daemons[0].httpAddress, misuse);
    }

    void survives(const std::string &address, const Misuse &misuse)
    {
        bool isServedDuringMisuse = false;
        {
            const CallerCrowd crowd(*loop, address, misuse);
            runBeside([&] {
                std::this_thread::sleep_for(misuseTime);
                isServedDuringMisuse = isServed();
            });
            std::cout << use->text() << ", the crowd sent " << crowd.bytesSent() / maxBody << " MB\n";
        }
        CHECK_TEXT(fleet.daemons[0].process->isRunning(), "the daemon has ended");
        CHECK_TEXT(!checksMemory || use->peakMemoryMb() <= memoryMb, "the daemon exceeded its memory");
        CHECK_TEXT(use->peakDescriptors() <= descriptors, "the daemon exceeded its descriptors");
        CHECK_TEXT(isServedDuringMisuse, "an ordinary request was not served during the misuse");
        CHECK_TEXT(isServed(), "an ordinary request was not served after the misuse");
    }
};

// Guards against a daemon that stores a body which was announced as larger than the limit.
TEST(DaemonLimits, BodiesAnnouncedFarOverTheLimit)
{
    survives(announcedBodies(target, 1024 * maxBody, crowdSize));
}

// Guards against a daemon that limits single bodies but not their sum.
TEST(DaemonLimits, BodiesThatAreNeverCompleted)
{
    survives(unfinishedBodies(target, maxBody - 1, crowdSize));
}

// Guards against a daemon that limits only bodies with an announced length.
TEST(DaemonLimits, EndlessChunks)
{
    survives(endlessChunks(target, crowdSize));
}

// Guards against headers without end.
TEST(DaemonLimits, EndlessHeaders)
{
    survives(endlessHeaders(target, crowdSize));
}

// Guards against a daemon that reads requests without bound while their callers do not read the responses.
TEST(DaemonLimits, PipelinedRequestsWhoseResponsesAreNeverRead)
{
    survives(pipelinedRequests(target, "/nowhere", pipeliningCrowdSize));
}

// Guards against bounds that hold only for paths without a route.
TEST(DaemonLimits, PipelinedRequestsForAJob)
{
    survives(pipelinedRequests(target, "/v1/jobs/guides:none", pipeliningCrowdSize));
}

// Guards against connections that use up all descriptors.
TEST(DaemonLimits, ManyConnectionsWithSlowHeaders)
{
    survives(slowHeaders(target, crowdBeyondDescriptors));
}

// Guards against connections without a request that use up all descriptors.
TEST(DaemonLimits, ManySilentConnections)
{
    survives(silentConnections(crowdBeyondDescriptors));
}

// Guards against large responses that fill the daemon's and the sockets' buffers.
TEST(DaemonLimits, PipelinedRequestsForMetrics)
{
    survives(pipelinedRequests(target, "/metrics", pipeliningCrowdSize));
}

// Guards against a daemon that keeps state of connections that were closed at once or reset in the response.
TEST(DaemonLimits, ConnectionsThatAreResetInTheResponse)
{
    survives(resetResponses(target, "/nowhere", pipeliningCrowdSize));
}

// Guards against messages whose end never comes and which are kept without a bound on their sum.
TEST(DaemonLimits, PeerMessagesThatAreNeverCompleted)
{
    survives(fleet.daemons[0].peerAddress, unfinishedPeerMessages(8 * maxBody - 1, peerCrowdSize));
}

// Guards against messages that arrive faster than they are handled.
TEST(DaemonLimits, MalformedPeerMessages)
{
    survives(fleet.daemons[0].peerAddress, malformedPeerMessages(64UL * 1024, peerCrowdSize));
}

// Guards against an error of a connection that ends the process while messages of it wait to be handled.
TEST(DaemonLimits, PeersThatAreResetWhileMessagesWait)
{
    survives(fleet.daemons[0].peerAddress, resetPeers(1, peerCrowdSize));
}

// Guards against peers that send nothing and use up all descriptors.
TEST(DaemonLimits, ManySilentPeers)
{
    survives(fleet.daemons[0].peerAddress, silentPeers(crowdBeyondDescriptors));
}

// Guards against a shutdown that waits for callers who never end.
TEST(DaemonLimits, AStopDuringTheMisuse)
{
    const CallerCrowd crowd(*loop, fleet.daemons[0].httpAddress, pipelinedRequests(target, "/nowhere", pipeliningCrowdSize));
    std::optional<int> exitCode;
    runBeside([&] {
        std::this_thread::sleep_for(misuseTime);
        fleet.daemons[0].process->signal(SIGTERM);
        exitCode = fleet.daemons[0].process->exitCode(maxStopTime);
    });
    CHECK_TEXT(exitCode.has_value(), "the daemon did not end, or was killed");
    LONGS_EQUAL(0, *exitCode);
}
