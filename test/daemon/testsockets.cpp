// Tests of ConnectionPool and PeerSocket over the loopback interface.
#include "daemon/connectionpool.h"
#include "daemon/peersocket.h"
#include "looptest.h"

#include <zmq.h>

#include <array>

using namespace KingCupLadder;

TEST_GROUP(ConnectionPoolSockets)
{
    std::unique_ptr<EventLoop> loop = makeLoop();
    std::string address = freeAddress();
    std::vector<HttpCallPtr> calls;
    std::unique_ptr<HttpFrontend> server = startServer(*loop, address, [this](const HttpCallPtr &call) { calls.push_back(call); });
    std::vector<ClientResult> results;

    std::unique_ptr<ConnectionPool> makePool(std::size_t connections)
    {
        ConnectionPoolSettings settings;
        settings.maxConnections = connections;
        settings.maxQueued = 2;
        return std::make_unique<ConnectionPool>(*loop, address, settings);
    }

    ConnectionPool::Ticket send(ConnectionPool & pool, const std::string &target, Duration timeout = Duration(1000))
    {
        ClientRequest request;
        request.target = target;
        request.timeout = timeout;
        return pool.send(request, [this](const ClientResult &result) { results.push_back(result); });
    }

    bool awaitCalls(std::size_t count)
    {
        return runUntil(*loop, [this, count] { return calls.size() >= count; });
    }

    bool awaitResults(std::size_t count)
    {
        return runUntil(*loop, [this, count] { return results.size() >= count; });
    }

    void teardown() override
    {
        calls.clear();
        server.reset();
        loop.reset();
    }
};

// Guards against taking a late response for the response to the next request.
TEST(ConnectionPoolSockets, ATimedOutConnectionIsNotReused)
{
    const auto pool = makePool(1);
    send(*pool, "/first", Duration(30));
    CHECK_TRUE(awaitResults(1));
    send(*pool, "/second");
    CHECK_TRUE(awaitCalls(2));
    calls[0]->respond({200, {}, "late"});
    calls[1]->respond({200, {}, "right"});
    CHECK_TRUE(awaitResults(2));
    STRCMP_EQUAL("right", results[1].response.body.c_str());
}

// Guards against reporting "not run" for a request that the server may have read.
TEST(ConnectionPoolSockets, ATimeoutAfterSendingReportsThatBytesWereSent)
{
    const auto pool = makePool(1);
    send(*pool, "/first", Duration(30));
    CHECK_TRUE(awaitResults(1));
    CHECK_TRUE(results[0].byteSent);
}

// Guards against reporting "unknown" for a request that was only queued.
TEST(ConnectionPoolSockets, ATimeoutInTheQueueReportsThatNoByteWasSent)
{
    const auto pool = makePool(1);
    send(*pool, "/first");
    send(*pool, "/second", Duration(30));
    CHECK_TRUE(awaitResults(1));
    CHECK_FALSE(results[0].byteSent);
}

// Guards against an unbounded queue for a slow upstream. Of four requests, one is sent, two wait and one is refused.
TEST(ConnectionPoolSockets, FailsRequestsAboveTheQueueLimit)
{
    const auto pool = makePool(1);
    for (int i = 0; i < 4; ++i) {
        send(*pool, "/x");
    }
    CHECK_TRUE(awaitResults(1));
    CHECK_TRUE(results[0].kind == ClientResult::Kind::Failed);
}

// Guards against using the other connections to an upstream without a probe after one of them timed out.
TEST(ConnectionPoolSockets, ATimeoutCausesProbesOfTheOtherConnections)
{
    const auto pool = makePool(2);
    send(*pool, "/a");
    send(*pool, "/b", Duration(60));
    CHECK_TRUE(awaitCalls(2));
    calls[calls[0]->request().target == "/a" ? 0 : 1]->respond({200, {}, ""});
    CHECK_TRUE(awaitResults(2));
    CHECK_TRUE(awaitCalls(3));
    STRCMP_EQUAL("/", calls[2]->request().target.c_str());
}

// Guards against opening a new connection for every request.
TEST(ConnectionPoolSockets, ReusesAConnectionThatAnswered)
{
    const auto pool = makePool(4);
    for (std::size_t i = 1; i <= 3; ++i) {
        send(*pool, "/x");
        CHECK_TRUE(awaitCalls(i));
        calls.back()->respond({200, {}, ""});
        CHECK_TRUE(awaitResults(i));
    }
    LONGS_EQUAL(1, pool->connectionCount());
}

// Guards against detecting a disconnected client only on the next write, as evhttp does by itself.
TEST(ConnectionPoolSockets, TheServerDetectsAClientThatDisconnects)
{
    const auto pool = makePool(1);
    const auto ticket = send(*pool, "/x");
    CHECK_TRUE(awaitCalls(1));
    bool gone = false;
    calls[0]->setDisconnectHandler([&gone] { gone = true; });
    CHECK_TRUE(pool->cancel(ticket));
    CHECK_TRUE(runUntil(*loop, [&gone] { return gone; }));
}

TEST_GROUP(PeerSocketPairs)
{
    void setup() override
    {
        // ZeroMQ threads free their memory only after the test has ended, so CppUTest would report it as leaked. The sanitizer build
        // detects real leaks in this group.
        IGNORE_ALL_LEAKS_IN_TEST();
    }
    std::unique_ptr<EventLoop> loop = makeLoop();
    std::string address = freeAddress();
    std::vector<DaemonId> senders;

    std::unique_ptr<PeerSocket> open(const std::string &id, const std::string &at, const std::optional<CurveKeys> &curve)
    {
        auto socket = PeerSocket::create(*loop, {DaemonId(id), at, curve}, [this](const DaemonId &from, const PeerMessage &) { senders.push_back(from); });
        CHECK_TRUE(socket.hasValue());
        return std::move(socket).value();
    }

    static CurveKeys newKeys()
    {
        std::array<char, 41> publicKey{};
        std::array<char, 41> secretKey{};
        zmq_curve_keypair(publicKey.data(), secretKey.data());
        return {publicKey.data(), secretKey.data()};
    }

    /// Sends repeatedly until a message arrives. Returns false on a timeout.
    bool sendUntilReceived(PeerSocket & from, Duration timeout)
    {
        const SendPeerMessage message{DaemonId("b"), address, StatusQuery{OpId(1), "vms"}};
        const auto sending = EventWatch::repeating(*loop, Duration(10), [&] { from.send(message); });
        return runUntil(
            *loop, [this] { return !senders.empty(); }, timeout);
    }
};

// Guards against messages that stay in the socket: its descriptor is edge-triggered, so nothing reports the messages that are left
// when receiving stops after a batch of 256. 600 messages take three batches.
TEST(PeerSocketPairs, DeliversEveryMessage)
{
    const auto a = open("a", freeAddress(), std::nullopt);
    const auto b = open("b", address, std::nullopt);
    CHECK_TRUE(sendUntilReceived(*a, Duration(2000)));
    const std::uint64_t before = a->counters().sent;
    for (int i = 0; i < 600; ++i) {
        a->send({DaemonId("b"), address, StatusQuery{OpId(1), "vms"}});
    }
    CHECK_TRUE(a->counters().sent > before);
    CHECK_TRUE(runUntil(*loop, [&] { return senders.size() == a->counters().sent; }));
}

// Guards against authentication that rejects daemons with the fleet's key pair.
TEST(PeerSocketPairs, DeliversWithTheFleetKeys)
{
    const CurveKeys keys = newKeys();
    const auto a = open("a", freeAddress(), keys);
    const auto b = open("b", address, keys);
    CHECK_TRUE(sendUntilReceived(*a, Duration(2000)));
}

// Guards against accepting peers that know only the fleet's public key.
TEST(PeerSocketPairs, RefusesAnotherSecretKey)
{
    const CurveKeys keys = newKeys();
    const CurveKeys otherKeys = newKeys();
    const auto b = open("b", address, keys);
    void *context = zmq_ctx_new();
    void *dealer = zmq_socket(context, ZMQ_DEALER);
    const int linger = 0;
    zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY, keys.publicKey.data(), keys.publicKey.size());
    zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY, otherKeys.publicKey.data(), otherKeys.publicKey.size());
    zmq_setsockopt(dealer, ZMQ_CURVE_SECRETKEY, otherKeys.secretKey.data(), otherKeys.secretKey.size());
    zmq_connect(dealer, ("tcp://" + address).c_str());
    zmq_send(dealer, "x", 1, ZMQ_DONTWAIT);
    runUntil(
        *loop, [] { return false; }, Duration(400));
    zmq_close(dealer);
    zmq_ctx_term(context);
    LONGS_EQUAL(0, b->counters().received);
}

// Guards against queueing messages for peers that are not connected.
TEST(PeerSocketPairs, DropsMessagesToAnAbsentPeer)
{
    const auto a = open("a", freeAddress(), std::nullopt);
    a->send({DaemonId("b"), address, StatusQuery{OpId(1), "vms"}});
    LONGS_EQUAL(1, a->counters().dropped);
}
