// A daemon process under callers that ignore the limits: it stays alive and within its memory and descriptors, and serves an ordinary
// caller. The tests check no times and no share of served requests.
#include "limitsfixture.h"

using namespace KingCupLadder;
using namespace KingCupLadder::LimitsTest;

namespace {

constexpr CellLimits limits{64, 256};
constexpr int crowdSize = 150; // Leaves room for ordinary callers within the descriptors.
constexpr int pipeliningCrowdSize = 50;
constexpr int crowdBeyondDescriptors = 320;
constexpr std::size_t mebibyte = 1024UL * 1024; // The largest body of the test's configuration.
constexpr std::size_t maxLogBytes = 256UL * 1024; // Of one crowd, which sends several MB.

} // namespace

class CallerLimitsFixture : public LimitsFixture
{
public:
    CallerLimitsFixture() : LimitsFixture(limits) { }
};

TEST_GROUP_BASE(CallerLimits, CallerLimitsFixture){};

// Guards against a daemon that stores a body which was announced as larger than the limit.
TEST(CallerLimits, BodiesAnnouncedFarOverTheLimit)
{
    survives(cell.callerAddress(), announcedBodies(jobs, 1024 * mebibyte, crowdSize));
}

// Guards against a daemon that limits single bodies but not their sum, and waits for the rest of each without end.
TEST(CallerLimits, BodiesThatAreNeverCompleted)
{
    survives(cell.callerAddress(), unfinishedBodies(jobs, mebibyte - 1, crowdSize));
}

// Guards against a daemon that limits only bodies with an announced length.
TEST(CallerLimits, EndlessChunks)
{
    survives(cell.callerAddress(), endlessChunks(jobs, crowdSize));
}

// Guards against a daemon that stores the size of a chunk without bound, and against two framings of one body.
TEST(CallerLimits, EndlessChunkSizes)
{
    survives(cell.callerAddress(), endlessChunkSize(jobs, crowdSize));
}

// Guards against headers without end.
TEST(CallerLimits, EndlessHeaders)
{
    survives(cell.callerAddress(), endlessHeaders(jobs, crowdSize));
}

// Guards against a daemon that reads requests without bound while their callers do not read the responses.
TEST(CallerLimits, PipelinedRequestsWhoseResponsesAreNeverRead)
{
    survives(cell.callerAddress(), pipelinedRequests(jobs, "/nowhere", pipeliningCrowdSize));
}

// Guards against bounds that hold only for requests that are answered at once.
TEST(CallerLimits, PipelinedRequestsForAJob)
{
    survives(cell.callerAddress(), pipelinedRequests(jobs, jobs.path, pipeliningCrowdSize));
}

// Guards against connections that send headers without end and use up all descriptors.
TEST(CallerLimits, ManyConnectionsWithSlowHeaders)
{
    survives(cell.callerAddress(), slowHeaders(jobs, crowdBeyondDescriptors));
}

// Guards against connections without a request that use up all descriptors.
TEST(CallerLimits, ManySilentConnections)
{
    survives(cell.callerAddress(), silentConnections(crowdBeyondDescriptors));
}

// Guards against a daemon that keeps state of connections that were closed at once.
TEST(CallerLimits, ConnectionsThatAreClosedAtOnce)
{
    survives(cell.callerAddress(), shortConnections(crowdSize));
}

// Guards against an error of a connection that ends the process or keeps the response.
TEST(CallerLimits, ConnectionsThatAreResetInTheResponse)
{
    survives(cell.callerAddress(), resetResponses(jobs, jobs.path, pipeliningCrowdSize));
}

// Guards against connections whose caller has ended its direction, and which stay forever or are read in a loop.
TEST(CallerLimits, HalfClosedConnections)
{
    survives(cell.callerAddress(), halfClosedConnections(jobs, "/nowhere", crowdSize));
}

// Guards against callers who keep a response alive by reading very slowly.
TEST(CallerLimits, ResponsesThatAreReadOneByteASecond)
{
    survives(cell.callerAddress(), slowReaders(jobs, "/nowhere", pipeliningCrowdSize));
}

// Guards against limits that apply to the callers' API only.
TEST(CallerLimits, PipelinedRequestsToTheReadinessProbe)
{
    survives(cell.readyAddress(), pipelinedRequests(jobs, "/nowhere", pipeliningCrowdSize));
}

// Guards against limits that apply to the callers' API only.
TEST(CallerLimits, PipelinedRequestsForMetrics)
{
    survives(cell.metricsAddress(), pipelinedRequests(jobs, "/nowhere", pipeliningCrowdSize));
}

// Guards against connections to the readiness probe that use up the descriptors of the callers' API.
TEST(CallerLimits, ManyConnectionsToTheReadinessProbe)
{
    survives(cell.readyAddress(), slowHeaders({jobs.host, "/ready", jobs.key}, crowdBeyondDescriptors));
}

// Guards against bodies at a listener whose requests have none.
TEST(CallerLimits, EndlessChunksToTheReadinessProbe)
{
    survives(cell.readyAddress(), endlessChunks(jobs, crowdSize));
}

// Guards against bodies at a listener whose requests have none.
TEST(CallerLimits, EndlessChunksForMetrics)
{
    survives(cell.metricsAddress(), endlessChunks(jobs, crowdSize));
}

// Guards against a log line for each request of callers who have no key, and against names of callers in metrics.
TEST(CallerLimits, UnknownNamesAreNotLoggedOneByOneAndMakeNoSeries)
{
    CHECK_TEXT(cell.submitsJob(), "the daemon has not started");
    const std::size_t before = cell.logBytes();
    survives(cell.callerAddress(), unknownNames(jobs, pipeliningCrowdSize));
    std::cout << "the log grew by " << (cell.logBytes() - before) / 1024 << " KiB\n";
    CHECK_TEXT(cell.logBytes() - before <= maxLogBytes, "the daemon logged too much");
    CHECK_TEXT(cell.metrics().find("nowhere") == std::string::npos, "metrics contain names that callers chose");
}

// Guards against requests of one workspace that occupy all connections while the store answers slowly.
TEST(CallerLimits, RequestsOfOneKeyThatWaitForTheStore)
{
    CHECK_TEXT(cell.submitsJob(), "the daemon has not started");
    cell.delayStore(Duration(300));
    Misuse misuse;
    misuse.repeated = requestHead(jobs, "GET", jobs.path, "Authorization: Bearer crowd-key\r\nX-Deadline-Ms: 3600000\r\n\r\n");
    misuse.connections = crowdSize;
    misuse.bytesPerTurn = misuse.repeated.size();
    survives(cell.callerAddress(), misuse);
}

// Guards against limits that are lowered for new connections only, and against a configuration that a crowd delays.
TEST(CallerLimits, LimitsThatAreLoweredDuringTheMisuse)
{
    CHECK_TEXT(cell.submitsJob(), "the daemon has not started");
    const CallerCrowd crowd(cell.loop(), cell.callerAddress(), unfinishedBodies(jobs, mebibyte - 1, crowdSize));
    cell.runFor(misuseTime);
    cell.lowerRequestLimits();
    cell.runFor(misuseTime);
    CHECK_TEXT(cell.isDaemonRunning(), "the daemon has ended");
    staysWithinLimits(crowd.bytesSent());
    CHECK_TEXT(cell.submitsJob(), "an ordinary job was not accepted under the lower limits");
}

// Guards against a shutdown that waits for callers who never end.
TEST(CallerLimits, AStopDuringTheMisuse)
{
    CHECK_TEXT(cell.submitsJob(), "the daemon has not started");
    const CallerCrowd crowd(cell.loop(), cell.callerAddress(), pipelinedRequests(jobs, jobs.path, pipeliningCrowdSize));
    cell.runFor(misuseTime);
    const auto exitCode = cell.stopDaemon();
    CHECK_TEXT(exitCode.has_value(), "the daemon did not end, or was killed");
    LONGS_EQUAL(0, *exitCode);
    staysWithinLimits(crowd.bytesSent());
}
