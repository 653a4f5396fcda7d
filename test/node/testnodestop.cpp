// What callers get from a daemon that stops.
#include "eventloophelpers.h"
#include "memorytablestore.h"
#include "node/node.h"
#include "node/rowcodec.h"
#include "nodesettings.h"
#include "silentgateways.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace KingCupLadder;

namespace {

/// One public route without a prefix, so that the path is a job's id.
PlatformCodec codecWithOneRoute()
{
    PlatformCodec codec;
    codec.decodeConfig = [](const std::string &) {
        CellConfig config;
        CellRoute route;
        route.name = RouteName("batch");
        route.host = "desk.example";
        route.pathPrefix = "/";
        route.isPublic = true;
        config.routes.push_back(route);
        config.buildIndexes();
        return Result<CellConfig>(config);
    };
    codec.decodeWorker = [](const std::string &, const std::string &) { return std::optional<WorkerInfo>(); };
    codec.parseHeaders = [](const HttpRequest &) { return CallerHeaders{"desk.example", "", "", Duration(0)}; };
    codec.isJobId = [](const std::string &) { return true; };
    codec.encodeError = [](const Error &error) { return error.message; };
    codec.encodeState = [](CellJobState) { return std::string("{}"); };
    codec.configTable = "config";
    codec.configKey = "config";
    codec.workerTable = "workers";
    return codec;
}

constexpr std::uint16_t callerPort = 17361;

/// A caller's connection.
class Caller
{
public:
    Caller() : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(callerPort);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_isConnected = connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    ~Caller()
    {
        close(m_socket);
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    [[nodiscard]] bool isConnected() const
    {
        return m_isConnected;
    }

    void requestState() const
    {
        const std::string text = "GET /0123456789abcdef HTTP/1.1\r\nHost: desk.example\r\n\r\n";
        CHECK_EQUAL(static_cast<ssize_t>(text.size()), send(m_socket, text.data(), text.size(), MSG_NOSIGNAL));
    }

    /// The status of the response that has arrived; 0: none has.
    [[nodiscard]] int status() const
    {
        std::array<char, 512> bytes{};
        const ssize_t size = recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return size > 12 ? std::atoi(bytes.data() + 9) : 0; // After "HTTP/1.1 ".
    }

private:
    int m_socket = -1;
    bool m_isConnected = false;
};

} // namespace

TEST_GROUP(NodeStop)
{
    void setup() override
    {
        // ZeroMQ threads free memory after a test has ended, so leaks of this group are detected by the sanitizer build instead.
        IGNORE_ALL_LEAKS_IN_TEST();
        store.put(RowKey{"config", {}, "config"}, "config");
        // Another daemon leads and does not answer, so requests are answered from the store.
        LeaderRecord leader;
        leader.holder = DaemonId("other");
        leader.peerAddress = "127.0.0.1:17399";
        leader.epoch = Epoch(1);
        leader.members = {CellMember{leader.holder, Incarnation(1), leader.peerAddress, FailureDomain("a"), MilliCores(500)}};
        store.put(RowKey{"cell", {}, "leader"}, encodeRow(toWire(leader)));
    }

    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    MemoryTableStore store{*loop};
    NoWorkers workers;
    NoAdvice advice;

    std::unique_ptr<Node> start(Duration minDrainTime, Duration maxDrainTime)
    {
        NodeSettings settings = nodeSettingsAt("d1", callerPort - 1);
        settings.minDrainTime = minDrainTime;
        settings.maxDrainTime = maxDrainTime;
        auto node = std::move(Node::create(*loop, settings, codecWithOneRoute(), store, workers, advice)).value();
        runFor(*loop, Duration(400));
        return node;
    }

    /// Stops the daemon and processes events until it has stopped.
    void stop(Node & node)
    {
        node.beginStop([this] { loop->stop(); });
        loop->run();
    }
};

// Guards against a response that is lost because the daemon ends in the turn of the event loop in which it was made, before it was written.
TEST(NodeStop, WritesTheLastResponseBeforeTheEnd)
{
    auto node = start(Duration(0), Duration(3000));
    const Caller caller;
    store.holdsAnswers = true;
    caller.requestState();
    runFor(*loop, Duration(700)); // The leader's time-out, after which the store is read.
    store.holdsAnswers = false;
    const auto answer = EventWatch::timer(*loop, [this, &node] {
        store.releaseAnswers(); // Of the job rows; that of the progress rows, from which the response is made, is deferred before the stop.
        loop->defer([this, &node] { node->beginStop([this] { loop->stop(); }); });
    });
    answer->start(Duration(0));
    loop->run();
    node.reset();
    CHECK_EQUAL(410, caller.status());
}

// Guards against a request that is taken shortly before the daemon ends, and given up with it.
TEST(NodeStop, AnswersARequestThatIsNotReadyInTime)
{
    auto node = start(Duration(100), Duration(1500));
    const Caller first;
    const Caller second;
    store.holdsAnswers = true;
    first.requestState();
    runFor(*loop, Duration(50));
    const auto late = EventWatch::timer(*loop, [&second] { second.requestState(); });
    late->start(Duration(300));
    stop(*node);
    node.reset();
    CHECK_EQUAL(504, first.status());
    CHECK_EQUAL(504, second.status());
}

// Guards against a request that can't be answered any more and waits for the end of the daemon.
TEST(NodeStop, RejectsARequestThatLeavesTooLittleTime)
{
    auto node = start(Duration(100), Duration(1500));
    const Caller first;
    const Caller second;
    store.holdsAnswers = true;
    first.requestState(); // Keeps the daemon from ending before the other request.
    runFor(*loop, Duration(50));
    int status = 0;
    const auto late = EventWatch::timer(*loop, [&second] { second.requestState(); });
    late->start(Duration(1000));
    const auto check = EventWatch::timer(*loop, [&second, &status] { status = second.status(); });
    check->start(Duration(1150));
    stop(*node);
    CHECK_EQUAL(503, status);
}

// Guards against requests that reach a daemon long after it was told to stop, when callers have been told to use others.
TEST(NodeStop, RefusesConnectionsOnceProbesHaveFailed)
{
    auto node = start(Duration(300), Duration(1500));
    const Caller caller;
    store.holdsAnswers = true;
    caller.requestState();
    runFor(*loop, Duration(50));
    bool couldConnect = true;
    const auto late = EventWatch::timer(*loop, [&couldConnect] { couldConnect = Caller().isConnected(); });
    late->start(Duration(600));
    stop(*node);
    CHECK_FALSE(couldConnect);
}
