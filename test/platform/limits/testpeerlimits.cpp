// The port for other daemons under connections that greet as a peer. Callers who reach the machine can reach it.
#include "limitsfixture.h"

using namespace KingCupLadder;
using namespace KingCupLadder::LimitsTest;

namespace {

constexpr CellLimits limits{64, 256};
constexpr int crowdSize = 60;
constexpr int crowdBeyondDescriptors = 320;
constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = kibibyte * kibibyte;

} // namespace

class PeerLimitsFixture : public LimitsFixture
{
public:
    PeerLimitsFixture() : LimitsFixture(limits) { }
};

TEST_GROUP_BASE(PeerLimits, PeerLimitsFixture){};

// Guards against messages whose end never comes and which are kept without a bound on their sum.
TEST(PeerLimits, MessagesThatAreNeverCompleted)
{
    survives(cell.peerAddress(), unfinishedPeerMessages(8 * mebibyte - 1, crowdSize));
}

// Guards against the same with messages of a size that daemons use, for which an unfinished one has to be kept.
TEST(PeerLimits, MessagesWithinTheLimitThatAreNeverCompleted)
{
    survives(cell.peerAddress(), unfinishedPeerMessages(4 * mebibyte - 1, crowdSize));
}

// Guards against a message of an enormous announced size.
TEST(PeerLimits, MessagesAnnouncedFarOverTheLimit)
{
    survives(cell.peerAddress(), unfinishedPeerMessages(mebibyte * mebibyte, crowdSize));
}

// Guards against messages that arrive faster than they are handled.
TEST(PeerLimits, MalformedMessages)
{
    survives(cell.peerAddress(), malformedPeerMessages(64 * kibibyte, crowdSize));
}

// Guards against many short messages, each of which takes far more memory than its bytes.
TEST(PeerLimits, ShortMalformedMessages)
{
    survives(cell.peerAddress(), malformedPeerMessages(1, crowdSize));
}

// Guards against an error of a connection that ends the process while messages of it wait to be handled.
TEST(PeerLimits, ConnectionsThatAreResetWhileMessagesWait)
{
    survives(cell.peerAddress(), resetPeers(1, crowdSize));
}

// Guards against peers that send nothing and use up all descriptors.
TEST(PeerLimits, ManySilentPeers)
{
    survives(cell.peerAddress(), silentPeers(crowdBeyondDescriptors));
}

// Guards against connections that do not even greet.
TEST(PeerLimits, ManyConnectionsWithoutAGreeting)
{
    survives(cell.peerAddress(), silentConnections(crowdBeyondDescriptors));
}

// Guards against a connection for each address that strangers name as their own.
TEST(PeerLimits, RequestsOfStrangers)
{
    survives(cell.peerAddress(), requestsOfStrangers(crowdSize));
}

// Guards against answers to pings that are kept without bound.
TEST(PeerLimits, PingsWhoseAnswersAreNeverRead)
{
    survives(cell.peerAddress(), unreadPings(crowdSize));
}

// Guards against connections whose peer has ended its direction, and which stay forever.
TEST(PeerLimits, HalfClosedPeers)
{
    survives(cell.peerAddress(), halfClosedPeers(crowdBeyondDescriptors));
}

// Guards against a shutdown that waits for peers who never end.
TEST(PeerLimits, AStopDuringTheMisuse)
{
    CHECK_TEXT(cell.submitsJob(), "the daemon has not started");
    const CallerCrowd crowd(cell.loop(), cell.peerAddress(), unfinishedPeerMessages(4 * mebibyte - 1, crowdSize));
    cell.runFor(misuseTime);
    const auto exitCode = cell.stopDaemon();
    CHECK_TEXT(exitCode.has_value(), "the daemon did not end, or was killed");
    LONGS_EQUAL(0, *exitCode);
    staysWithinLimits(crowd.bytesSent());
}
