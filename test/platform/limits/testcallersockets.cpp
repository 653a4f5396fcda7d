// Bytes of callers that wait in the kernel: received and not read, or written and not sent. They count toward the memory of the machine like
// the daemon's own.
#include "limitsfixture.h"

using namespace KingCupLadder;
using namespace KingCupLadder::LimitsTest;

namespace {

constexpr CellLimits limits{24, 600};
constexpr int crowdSize = 180; // Below the bound on connections.

} // namespace

class CallerSocketsFixture : public LimitsFixture
{
public:
    CallerSocketsFixture() : LimitsFixture(limits) { }
};

TEST_GROUP_BASE(CallerSockets, CallerSocketsFixture){};

// Guards against input that fills the sockets' buffers while reading pauses behind an unread response.
TEST(CallerSockets, PipelinedRequestsWhoseResponsesAreNeverRead)
{
    survives(cell.callerAddress(), pipelinedRequests(jobs, "/nowhere", crowdSize));
}

// Guards against input that fills the sockets' buffers while a request is handled.
TEST(CallerSockets, PipelinedRequestsForAJob)
{
    survives(cell.callerAddress(), pipelinedRequests(jobs, jobs.path, crowdSize));
}

// Guards against large responses that fill the sockets' buffers.
TEST(CallerSockets, PipelinedRequestsForMetrics)
{
    survives(cell.metricsAddress(), pipelinedRequests(jobs, "/nowhere", crowdSize));
}

// Guards against bodies that fill the sockets' buffers while reading pauses at the limit of one request.
TEST(CallerSockets, EndlessChunks)
{
    survives(cell.callerAddress(), endlessChunks(jobs, crowdSize));
}
