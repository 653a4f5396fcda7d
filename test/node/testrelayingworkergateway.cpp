#include "eventloophelpers.h"
#include "node/relayingworkergateway.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

/// Workers that answer immediately or not at all.
class FakeWorkerGateway : public WorkerGateway
{
public:
    explicit FakeWorkerGateway(EventLoop &loop) : m_loop(loop) { }
    bool answers = true;
    int starts = 0;
    int stops = 0;
    int holds = 0;
    StartOrder lastStart;
    HoldOrder lastHold;
    HoldReply holdReply;

    void start(const StartOrder &order, Epoch, OrderCallback callback) override
    {
        ++starts;
        lastStart = order;
        m_loop.defer([this, callback = std::move(callback)] { callback(OrderAnswer{answers ? OrderOutcome::StaleRunNumber : OrderOutcome::NoAnswer, 4711}); });
    }
    void stop(const StopOrder &, Epoch, OrderCallback callback) override
    {
        ++stops;
        m_loop.defer([callback = std::move(callback)] { callback(OrderAnswer{OrderOutcome::Done, 1}); });
    }
    void hold(const HoldOrder &order, Epoch, HoldCallback callback) override
    {
        ++holds;
        lastHold = order;
        m_loop.defer([this, callback = std::move(callback)] { callback(answers ? std::optional<HoldReply>(holdReply) : std::nullopt); });
    }

private:
    EventLoop &m_loop;
};

CellMember member(const std::string &id, const std::string &address)
{
    return CellMember{DaemonId(id), Incarnation(1), address, FailureDomain("a"), MilliCores(500)};
}

/// One daemon: its direct access to workers, its peers, and the calls that it relays.
struct TestDaemon {
    TestDaemon(EventLoop &loop, const CellMember &self) : directWorkers(loop)
    {
        peers = std::move(PeerMessaging::create(loop, self, [this](const PeerMessaging::Envelope &message) {
                    if (message.has_worker_order()) {
                        workers->serve(message);
                    }
                })).value();
        workers = std::make_unique<RelayingWorkerGateway>(loop, directWorkers, *peers);
    }

    FakeWorkerGateway directWorkers;
    std::unique_ptr<PeerMessaging> peers;
    std::unique_ptr<RelayingWorkerGateway> workers;
};

HoldOrder holdOrder()
{
    HoldOrder order;
    order.worker = WorkerId("w");
    order.address = "127.0.0.1:9";
    order.incarnation = WorkerIncarnation(3);
    order.acknowledged = EndNumber(17);
    order.deadline = 1234;
    order.wait = Duration(50);
    return order;
}

} // namespace

TEST_GROUP(RelayingWorkerGateway)
{
    void setup() override
    {
        // ZeroMQ threads free memory after a test has ended, so leaks of this group are detected by the sanitizer build instead.
        IGNORE_ALL_LEAKS_IN_TEST();
    }
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    CellMember leaderMember = member("d1", "127.0.0.1:17311");
    CellMember relayMember = member("d2", "127.0.0.1:17312");
    TestDaemon leader{*loop, leaderMember};
    std::unique_ptr<TestDaemon> relay = std::make_unique<TestDaemon>(*loop, relayMember);

    void runUntil(const std::function<bool()> &condition, Duration timeout = Duration(4000))
    {
        const auto step = EventWatch::repeating(*loop, Duration(5), [this] {
            leader.peers->expire(loop->now());
            if (relay) {
                relay->peers->expire(loop->now());
            }
        });
        KingCupLadder::runUntil(*loop, condition, timeout);
    }

    void connect()
    {
        leader.workers->setRelays({relayMember});
        // The first message to a peer is dropped while the connection is being opened, in both directions.
        const auto connectionAttempts = EventWatch::repeating(*loop, Duration(20), [this] {
            leader.peers->send(relayMember.peerAddress, PeerMessaging::Envelope());
            relay->peers->send(leaderMember.peerAddress, PeerMessaging::Envelope());
        });
        runUntil([this] { return leader.peers->counters().received > 0 && relay->peers->counters().received > 0; });
    }
};

// Guards against a leader that spends its CPU time on calls to workers, because in a large cell it makes them continuously.
TEST(RelayingWorkerGateway, RelaysARenewalAndReturnsTheLists)
{
    connect();
    const TaskRef task{StepRef{JobId("job"), 1, 2}, 3};
    relay->directWorkers.holdReply.incarnation = WorkerIncarnation(3);
    relay->directWorkers.holdReply.clock = 99;
    relay->directWorkers.holdReply.running.push_back(RunningEntry{task, RunNumber(5), "saved", 40, 7});
    relay->directWorkers.holdReply.ended.push_back(EndedEntry{EndNumber(18), task, RunNumber(4), RunEnd::Failed, "point"});
    relay->directWorkers.holdReply.mayOmitEnds = true;
    std::optional<HoldReply> holdReply;
    leader.workers->hold(holdOrder(), Epoch(2), [&holdReply](const std::optional<HoldReply> &answer) { holdReply = answer; });
    runUntil([&holdReply] { return holdReply.has_value(); });
    CHECK_TRUE(holdReply.has_value());
    CHECK_EQUAL(0, leader.directWorkers.holds);
    CHECK_EQUAL(1234, relay->directWorkers.lastHold.deadline);
    CHECK_TRUE(holdReply->running.at(0).task == task);
    CHECK_EQUAL(5U, holdReply->running.at(0).run.value());
    CHECK_TRUE(holdReply->ended.at(0).end == RunEnd::Failed);
    CHECK_EQUAL(18U, holdReply->ended.at(0).number.value());
    CHECK_TRUE(holdReply->mayOmitEnds);
}

// Guards against the lists of one worker being applied to another, whatever the reason for which a relay sends them.
TEST(RelayingWorkerGateway, UsesNoListsOfAnotherWorker)
{
    connect();
    relay.reset();
    std::unique_ptr<PeerMessaging> confused;
    confused = std::move(PeerMessaging::create(*loop, relayMember, [&confused](const PeerMessaging::Envelope &message) {
                   PeerMessaging::Envelope reply;
                   reply.mutable_worker_result()->set_worker("another");
                   reply.mutable_worker_result()->mutable_lists()->set_life(9);
                   confused->sendReply(PeerMessaging::returnAddressOf(message), std::move(reply));
               })).value();
    leader.directWorkers.holdReply.incarnation = WorkerIncarnation(3);
    std::optional<HoldReply> holdReply;
    leader.workers->hold(holdOrder(), Epoch(2), [&holdReply](const std::optional<HoldReply> &answer) { holdReply = answer; });
    runUntil([&holdReply] { return holdReply.has_value(); });
    CHECK_TRUE(holdReply.has_value());
    CHECK_EQUAL(3U, holdReply->incarnation.value());
    CHECK_EQUAL(1, leader.directWorkers.holds);
}

// Guards against ends that stay unacknowledged for ever because renewals are relayed.
TEST(RelayingWorkerGateway, RelaysAnAcknowledgementOnceTheIncarnationHasAnswered)
{
    connect();
    relay->directWorkers.holdReply.incarnation = WorkerIncarnation(3);
    int answered = 0;
    const auto count = [&answered](const std::optional<HoldReply> &) { ++answered; };
    leader.workers->hold(holdOrder(), Epoch(2), count);
    runUntil([&answered] { return answered == 1; });
    leader.workers->hold(holdOrder(), Epoch(2), count);
    runUntil([&answered] { return answered == 2; });
    CHECK_EQUAL(0, leader.directWorkers.holds);
    CHECK_EQUAL(17U, relay->directWorkers.lastHold.acknowledged.value());
}

// Guards against a task that runs again after its success: the acknowledgement for a worker's former process reached the restarted one,
// which dropped ends that had not been read.
TEST(RelayingWorkerGateway, AcknowledgesNothingToAWorkerThatMayHaveRestarted)
{
    leader.directWorkers.holdReply.incarnation = WorkerIncarnation(3);
    int answered = 0;
    const auto count = [&answered](const std::optional<HoldReply> &) { ++answered; };
    leader.workers->hold(holdOrder(), Epoch(2), count);
    runUntil([&answered] { return answered == 1; });
    leader.directWorkers.answers = false;
    leader.workers->hold(holdOrder(), Epoch(2), count);
    runUntil([&answered] { return answered == 2; });
    leader.directWorkers.answers = true;
    leader.workers->hold(holdOrder(), Epoch(2), count);
    CHECK_EQUAL(3, leader.directWorkers.holds);
    CHECK_EQUAL(0U, leader.directWorkers.lastHold.acknowledged.value());
}

// Guards against a relayed refusal that the leader receives as a different outcome. The relay sends the outcome as the number of its
// enumerator.
TEST(RelayingWorkerGateway, RelaysAStartWithItsTicketAndReturnsTheRefusal)
{
    connect();
    StartOrder order;
    order.worker = WorkerId("w");
    order.task = TaskRef{StepRef{JobId("job"), 0, 1}, 4};
    order.run = RunNumber(9);
    order.payload = "payload";
    order.ticket = "ticket";
    std::optional<OrderAnswer> result;
    leader.workers->start(order, Epoch(2), [&result](const OrderAnswer &answer) { result = answer; });
    runUntil([&result] { return result.has_value(); });
    CHECK_TRUE(result.has_value());
    CHECK_TRUE(result->outcome == OrderOutcome::StaleRunNumber);
    CHECK_EQUAL(4711, result->clock);
    STRCMP_EQUAL("ticket", relay->directWorkers.lastStart.ticket.c_str());
    CHECK_TRUE(relay->directWorkers.lastStart.task == order.task);
}

// Guards against treating workers as silent because the peer that relayed their calls was killed.
TEST(RelayingWorkerGateway, RenewsDirectlyWhenTheRelayIsGone)
{
    connect();
    relay.reset();
    std::optional<HoldReply> holdReply;
    leader.workers->hold(holdOrder(), Epoch(2), [&holdReply](const std::optional<HoldReply> &answer) { holdReply = answer; });
    leader.workers->setRelays({});
    runUntil([&holdReply] { return holdReply.has_value(); });
    CHECK_TRUE(holdReply.has_value());
    CHECK_EQUAL(1, leader.directWorkers.holds);
}

// Guards against a worker that gets no more orders because its relay is cut off from it while the leader is not.
TEST(RelayingWorkerGateway, CallsAWorkerDirectlyAfterItsRelayDidNotReachIt)
{
    connect();
    relay->directWorkers.answers = false;
    int answered = 0;
    const auto count = [&answered](const OrderAnswer &) { ++answered; };
    StartOrder order;
    order.worker = WorkerId("w");
    leader.workers->start(order, Epoch(2), count);
    runUntil([&answered] { return answered == 1; });
    leader.workers->start(order, Epoch(2), count);
    runUntil([&answered] { return answered == 2; });
    CHECK_EQUAL(1, relay->directWorkers.starts);
    CHECK_EQUAL(1, leader.directWorkers.starts);
}

// Guards against treating an order as refused that may still take effect.
TEST(RelayingWorkerGateway, ReportsNoAnswerWhenTheRelayIsGone)
{
    connect();
    relay.reset();
    std::optional<OrderAnswer> result;
    leader.workers->start(StartOrder{}, Epoch(2), [&result](const OrderAnswer &answer) { result = answer; });
    runUntil([&result] { return result.has_value(); });
    CHECK_TRUE(result.has_value());
    CHECK_TRUE(result->outcome == OrderOutcome::NoAnswer);
    CHECK_EQUAL(0, leader.directWorkers.starts);
}

// Guards against renewals by a former leader that lost its leadership while a relay was not answering.
TEST(RelayingWorkerGateway, SendsNothingMoreOnceTheLeadershipHasEnded)
{
    connect();
    relay.reset();
    bool called = false;
    leader.workers->hold(holdOrder(), Epoch(2), [&called](const std::optional<HoldReply> &) { called = true; });
    leader.workers->dropPendingCalls();
    runUntil([&called] { return called; }, Duration(1500)); // The relayed call times out after 850 ms.
    CHECK_FALSE(called);
    CHECK_EQUAL(0, leader.directWorkers.holds);
}
