#include "eventloophelpers.h"
#include "node/relayingworkergateway.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

/// Workers that answer at once, or not at all.
class FakeWorkerPort : public WorkerGateway
{
public:
    explicit FakeWorkerPort(EventLoop &loop) : m_loop(loop) { }
    bool answers = true;
    int starts = 0;
    int stops = 0;
    int holds = 0;
    StartOrder lastStart;
    HoldOrder lastHold;
    HoldReply view;

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
        m_loop.defer([this, callback = std::move(callback)] { callback(answers ? std::optional<HoldReply>(view) : std::nullopt); });
    }

private:
    EventLoop &m_loop;
};

CellMember member(const std::string &id, const std::string &address)
{
    return CellMember{DaemonId(id), Incarnation(1), address, FailureDomain("a"), MilliCores(500)};
}

/// One daemon: its own way to the workers, its peers, and the calls that it carries.
struct CarrierDaemon {
    CarrierDaemon(EventLoop &loop, const CellMember &self) : port(loop)
    {
        peers = std::move(PeerMessaging::create(loop, self, [this](const PeerMessaging::Envelope &message) {
                    if (message.has_worker_order()) {
                        workers->serve(message);
                    }
                })).value();
        workers = std::make_unique<RelayingWorkerGateway>(loop, port, *peers);
    }

    FakeWorkerPort port;
    std::unique_ptr<PeerMessaging> peers;
    std::unique_ptr<RelayingWorkerGateway> workers;
};

HoldOrder holdOrder()
{
    HoldOrder order;
    order.worker = WorkerId("w");
    order.address = "127.0.0.1:9";
    order.life = WorkerIncarnation(3);
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
        // Threads of ZeroMQ free their memory after a test has ended; the sanitizer build detects leaks of this group.
        IGNORE_ALL_LEAKS_IN_TEST();
    }
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    CellMember leaderMember = member("d1", "127.0.0.1:17311");
    CellMember carrierMember = member("d2", "127.0.0.1:17312");
    CarrierDaemon leader{*loop, leaderMember};
    std::unique_ptr<CarrierDaemon> carrier = std::make_unique<CarrierDaemon>(*loop, carrierMember);

    void runUntil(const std::function<bool()> &condition, Duration most = Duration(4000))
    {
        const auto step = EventWatch::repeating(*loop, Duration(5), [this] {
            leader.peers->expire(loop->now());
            if (carrier) {
                carrier->peers->expire(loop->now());
            }
        });
        KingCupLadder::runUntil(*loop, condition, most);
    }

    void connect()
    {
        leader.workers->setRelays({carrierMember});
        // The first message to a peer is dropped while the connection is being opened, in both directions.
        const auto knock = EventWatch::repeating(*loop, Duration(20), [this] {
            leader.peers->send(carrierMember.peerAddress, PeerMessaging::Envelope());
            carrier->peers->send(leaderMember.peerAddress, PeerMessaging::Envelope());
        });
        runUntil([this] { return leader.peers->counters().received > 0 && carrier->peers->counters().received > 0; });
    }
};

// Guards against a leader whose processor goes into calls to workers (pattern: every second of a large cell).
TEST(RelayingWorkerGateway, APeerCarriesARenewalAndReturnsTheLists)
{
    connect();
    const TaskRef task{StepRef{JobId("job"), 1, 2}, 3};
    carrier->port.view.life = WorkerIncarnation(3);
    carrier->port.view.clock = 99;
    carrier->port.view.running.push_back(RunningEntry{task, RunNumber(5), "saved", 40, 7});
    carrier->port.view.ended.push_back(EndedEntry{EndNumber(18), task, RunNumber(4), RunEnd::Failed, "point"});
    std::optional<HoldReply> view;
    leader.workers->hold(holdOrder(), Epoch(2), [&view](const std::optional<HoldReply> &answer) { view = answer; });
    runUntil([&view] { return view.has_value(); });
    CHECK_TRUE(view.has_value());
    CHECK_EQUAL(0, leader.port.holds);
    CHECK_EQUAL(17U, carrier->port.lastHold.acknowledged.value());
    CHECK_EQUAL(1234, carrier->port.lastHold.deadline);
    CHECK_TRUE(view->running.at(0).task == task);
    CHECK_EQUAL(5U, view->running.at(0).run.value());
    CHECK_TRUE(view->ended.at(0).end == RunEnd::Failed);
    CHECK_EQUAL(18U, view->ended.at(0).number.value());
}

// Guards against a refusal that reaches the leader as something else.
TEST(RelayingWorkerGateway, APeerCarriesAStartWithItsTicketAndReturnsTheRefusal)
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
    STRCMP_EQUAL("ticket", carrier->port.lastStart.ticket.c_str());
    CHECK_TRUE(carrier->port.lastStart.task == order.task);
}

// Guards against workers that count as silent because the peer that carried their calls is gone (pattern: kill of a carrier).
TEST(RelayingWorkerGateway, RenewsDirectlyWhenTheCarrierIsGone)
{
    connect();
    carrier.reset();
    std::optional<HoldReply> view;
    leader.workers->hold(holdOrder(), Epoch(2), [&view](const std::optional<HoldReply> &answer) { view = answer; });
    leader.workers->setRelays({});
    runUntil([&view] { return view.has_value(); });
    CHECK_TRUE(view.has_value());
    CHECK_EQUAL(1, leader.port.holds);
}

// Guards against a worker that only the leader reaches and that gets no more orders (pattern: the carrier is cut off from a worker).
TEST(RelayingWorkerGateway, CallsAWorkerDirectlyAfterItsCarrierDidNotReachIt)
{
    connect();
    carrier->port.answers = false;
    int answered = 0;
    const auto count = [&answered](const OrderAnswer &) { ++answered; };
    StartOrder order;
    order.worker = WorkerId("w");
    leader.workers->start(order, Epoch(2), count);
    runUntil([&answered] { return answered == 1; });
    leader.workers->start(order, Epoch(2), count);
    runUntil([&answered] { return answered == 2; });
    CHECK_EQUAL(1, carrier->port.starts);
    CHECK_EQUAL(1, leader.port.starts);
}

// Guards against an order that may still take effect and that the leader takes for refused.
TEST(RelayingWorkerGateway, AnOrderThatACarrierTookAlongHasNoAnswer)
{
    connect();
    carrier.reset();
    std::optional<OrderAnswer> result;
    leader.workers->start(StartOrder{}, Epoch(2), [&result](const OrderAnswer &answer) { result = answer; });
    runUntil([&result] { return result.has_value(); });
    CHECK_TRUE(result.has_value());
    CHECK_TRUE(result->outcome == OrderOutcome::NoAnswer);
    CHECK_EQUAL(0, leader.port.starts);
}

// Guards against renewals by a daemon that no longer leads (pattern: the leader loses its leadership while a carrier is silent).
TEST(RelayingWorkerGateway, SendsNothingMoreOnceTheLeadershipHasEnded)
{
    connect();
    carrier.reset();
    bool called = false;
    leader.workers->hold(holdOrder(), Epoch(2), [&called](const std::optional<HoldReply> &) { called = true; });
    leader.workers->abandon();
    runUntil([&called] { return called; }, Duration(1500));
    CHECK_FALSE(called);
    CHECK_EQUAL(0, leader.port.holds);
}
