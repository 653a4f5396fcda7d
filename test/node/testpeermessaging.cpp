#include "eventloophelpers.h"
#include "node/peermessaging.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

CellMember member(const std::string &id, const std::string &address, std::uint64_t incarnation = 1)
{
    return CellMember{DaemonId(id), Incarnation(incarnation), address, FailureDomain("a"), MilliCores(500)};
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

TEST_GROUP(PeerMessagingReplies)
{
    void setup() override
    {
        // ZeroMQ threads free memory after a test has ended, so leaks of this group are detected by the sanitizer build instead.
        IGNORE_ALL_LEAKS_IN_TEST();
    }
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    CellMember answering = member("d2", "127.0.0.1:17364");
    std::vector<PeerMessaging::Envelope> requests; ///< That the answering daemon has received.
    std::unique_ptr<PeerMessaging> answerer;
    std::unique_ptr<PeerMessaging> asker;
    std::vector<std::string> replies; ///< Tables named in the replies that the asking process has passed on.

    void startAnswerer(const CellMember &self)
    {
        answerer = std::move(PeerMessaging::create(*loop, self, [this](const PeerMessaging::Envelope &message) {
                       if (message.call() != 0) {
                           requests.push_back(message);
                       }
                   })).value();
    }

    /// Starts a process of the asking daemon, which replaces the former one at the same address, and waits until both can send.
    void startAsker(std::uint64_t incarnation)
    {
        asker.reset();
        bool isReached = false;
        bool isReaching = false;
        asker = std::move(PeerMessaging::create(*loop, member("d1", "127.0.0.1:17363", incarnation), [&isReached](const PeerMessaging::Envelope &message) {
                    isReached = isReached || message.call() == 0;
                })).value();
        const auto connectionAttempts = EventWatch::repeating(*loop, Duration(20), [this] {
            answerer->send("127.0.0.1:17363", PeerMessaging::Envelope());
            asker->send(answering.peerAddress, PeerMessaging::Envelope());
        });
        const std::uint64_t before = answerer->counters().received;
        runUntil(
            *loop,
            [&] {
                isReaching = answerer->counters().received > before;
                return isReached && isReaching;
            },
            Duration(4000));
        CHECK_TRUE(isReached && isReaching);
        runFor(*loop, Duration(50));
    }

    void ask()
    {
        PeerMessaging::Envelope question;
        question.mutable_store_call();
        const std::size_t before = requests.size();
        asker->sendRequest(answering.peerAddress, std::move(question), Duration(3000), [this](const PeerMessaging::Envelope *reply) {
            replies.push_back(reply != nullptr ? reply->store_reply().rows(0).key().table() : "none");
        });
        runUntil(
            *loop, [&] { return requests.size() > before; }, Duration(2000));
        CHECK_EQUAL(before + 1, requests.size());
    }

    void answer(const PeerMessaging::ReturnAddress &to, const std::string &table)
    {
        PeerMessaging::Envelope reply;
        reply.mutable_store_reply()->add_rows()->mutable_key()->set_table(table);
        answerer->sendReply(to, std::move(reply));
        runFor(*loop, Duration(100));
    }
};

// Guards against the lists of one worker being applied to another: the reply to a request of the killed process reached the next process at
// the same address and was taken for the reply to that one's request with the same number (review case 6).
TEST(PeerMessagingReplies, DropsTheReplyToARequestOfAFormerProcess)
{
    startAnswerer(answering);
    startAsker(1);
    ask();
    startAsker(2);
    ask();
    answer(PeerMessaging::returnAddressOf(requests[0]), "former");
    answer(PeerMessaging::returnAddressOf(requests[1]), "present");
    CHECK_EQUAL(1U, replies.size());
    STRCMP_EQUAL("present", replies[0].c_str());
    CHECK_EQUAL(1U, asker->unmatchedReplies());
}

// Guards against the same during a roll: a reply of a version that does not name the process that asked carries only the number of the request.
TEST(PeerMessagingReplies, DropsAnUnmarkedReplyToARequestOfAFormerProcess)
{
    startAnswerer(answering);
    startAsker(1);
    ask();
    startAsker(2);
    ask();
    PeerMessaging::ReturnAddress former = PeerMessaging::returnAddressOf(requests[0]);
    former.incarnation = Incarnation(0);
    answer(former, "former");
    CHECK_EQUAL(0U, replies.size());
}

// Guards against a cell that cannot be rolled: a reply without the mark is used if its number matches.
TEST(PeerMessagingReplies, UsesAReplyThatDoesNotNameTheProcessThatAsked)
{
    startAnswerer(answering);
    startAsker(1);
    ask();
    PeerMessaging::ReturnAddress unmarked = PeerMessaging::returnAddressOf(requests[0]);
    unmarked.incarnation = Incarnation(0);
    answer(unmarked, "present");
    CHECK_EQUAL(1U, replies.size());
}

// Guards against a reply whose number matches by chance, but which was meant for another process of the daemon.
TEST(PeerMessagingReplies, DropsAReplyThatNamesAnotherProcess)
{
    startAnswerer(answering);
    startAsker(2);
    ask();
    PeerMessaging::ReturnAddress other = PeerMessaging::returnAddressOf(requests[0]);
    other.incarnation = Incarnation(1);
    answer(other, "former");
    CHECK_EQUAL(0U, replies.size());
}

// Guards against a reply of a daemon that was not asked.
TEST(PeerMessagingReplies, DropsTheReplyOfAnotherDaemon)
{
    startAnswerer(answering);
    startAsker(1);
    ask();
    const auto other = std::move(PeerMessaging::create(*loop, member("d3", "127.0.0.1:17365"), [](const PeerMessaging::Envelope &) {})).value();
    const auto attempts = EventWatch::repeating(*loop, Duration(20), [&] {
        PeerMessaging::Envelope reply;
        reply.mutable_store_reply()->add_rows()->mutable_key()->set_table("other");
        other->sendReply(PeerMessaging::returnAddressOf(requests[0]), std::move(reply));
    });
    runUntil(
        *loop, [this] { return asker->unmatchedReplies() > 0; }, Duration(2000));
    CHECK_TRUE(asker->unmatchedReplies() > 0);
    CHECK_EQUAL(0U, replies.size());
}
