#include "eventloophelpers.h"
#include "node/peermessaging.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

CellMember member(const std::string &id, const std::string &address)
{
    return CellMember{DaemonId(id), Incarnation(1), address, FailureDomain("a"), MilliCores(500)};
}

/// A message that carries so many bytes.
PeerMessaging::Envelope messageOf(std::size_t bytes)
{
    PeerMessaging::Envelope message;
    message.mutable_store_reply()->add_rows()->set_value(std::string(bytes, 'x'));
    return message;
}

} // namespace

TEST_GROUP(PeerMessaging)
{
    void setup() override
    {
        // Threads of ZeroMQ free their memory after a test has ended; the sanitizer build detects leaks of this group.
        IGNORE_ALL_LEAKS_IN_TEST();
    }
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    CellMember first = member("d1", "127.0.0.1:17361");
    CellMember second = member("d2", "127.0.0.1:17362");
    std::vector<std::size_t> received;
    std::unique_ptr<PeerMessaging> sender;
    std::unique_ptr<PeerMessaging> receiver;

    void connect()
    {
        sender = std::move(PeerMessaging::create(*loop, first, [](const PeerMessaging::Envelope &) {})).value();
        receiver = std::move(PeerMessaging::create(*loop, second, [this](const PeerMessaging::Envelope &message) {
                       received.push_back(message.store_reply().rows_size() > 0 ? message.store_reply().rows(0).value().size() : 0);
                   })).value();
        // The first message to a peer is dropped while the connection is being opened.
        const auto knock = EventWatch::repeating(*loop, Duration(20), [this] { sender->send(second.peerAddress, PeerMessaging::Envelope()); });
        runUntil(
            *loop, [this] { return !received.empty(); }, Duration(4000));
        runFor(*loop, Duration(50));
        received.clear();
    }
};

// Guards against a leader whose processor goes into single messages (pattern: hundreds of questions and answers a second).
TEST(PeerMessaging, SendsMessagesOfOneMomentTogether)
{
    connect();
    const std::uint64_t before = sender->counters().sent;
    for (std::size_t i = 1; i <= 50; ++i) {
        sender->send(second.peerAddress, messageOf(i));
    }
    runUntil(
        *loop, [this] { return received.size() >= 50; }, Duration(2000));
    CHECK_EQUAL(50U, received.size());
    CHECK_EQUAL(1U, received.front());
    CHECK_EQUAL(50U, received.back());
    CHECK_TRUE(sender->counters().sent - before <= 3);
}

// Guards against messages that are dropped because they are too large together (pattern: peers carry the store's answers for others).
TEST(PeerMessaging, SendsLargeMessagesOneByOneAndInOrder)
{
    connect();
    constexpr std::size_t large = 1024UL * 1024;
    sender->send(second.peerAddress, messageOf(1));
    for (std::size_t i = 0; i < 12; ++i) {
        sender->send(second.peerAddress, messageOf(large + i));
    }
    runUntil(
        *loop, [this] { return received.size() >= 13; }, Duration(3000));
    CHECK_EQUAL(13U, received.size());
    CHECK_EQUAL(1U, received.front());
    CHECK_EQUAL(large + 11, received.back());
}
