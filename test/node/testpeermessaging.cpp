#include "eventloophelpers.h"
#include "node/peermessaging.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

CellMember member(const std::string &id, const std::string &address)
{
    return CellMember{DaemonId(id), Incarnation(1), address, FailureDomain("a"), MilliCores(500)};
}

/// A message with a value of @p bytes bytes.
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
        // ZeroMQ threads free memory after a test has ended, so leaks of this group are detected by the sanitizer build instead.
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
        const auto connectionAttempts = EventWatch::repeating(*loop, Duration(20), [this] { sender->send(second.peerAddress, PeerMessaging::Envelope()); });
        runUntil(
            *loop, [this] { return !received.empty(); }, Duration(4000));
        runFor(*loop, Duration(50));
        received.clear();
    }
};

// Guards against a leader that spends its CPU time on sending hundreds of requests and replies a second one by one.
TEST(PeerMessaging, BatchesMessagesSentAtTheSameTime)
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

// Guards against dropping messages that together exceed the size limit of 8 MiB of one ZeroMQ message, as relayed answers of the store can
// when they are batched.
TEST(PeerMessaging, SendsLargeMessagesSeparatelyAndInOrder)
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
