// Tests of the limits of HttpFrontend over the loopback interface.
#include "daemon/httpfrontend.h"
#include "looptest.h"

#include <fcntl.h>

#include <array>

using namespace KingCupLadder;

namespace {

/// A caller that sends raw bytes.
class RawCaller
{
public:
    explicit RawCaller(const std::string &address) : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto parsed = parseSocketAddress(address);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(parsed->port);
        inet_pton(AF_INET, parsed->host.c_str(), &target.sin_addr);
        CHECK_EQUAL(0, connect(m_descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)));
        fcntl(m_descriptor, F_SETFL, O_NONBLOCK);
    }
    ~RawCaller()
    {
        close(m_descriptor);
    }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void sendText(const std::string &text) const
    {
        LONGS_EQUAL(text.size(), send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL));
    }

    /// Sends as much as the sockets' buffers take. The caller's own buffer is small. Returns the number of bytes.
    [[nodiscard]] std::size_t sendWhatFits(const std::string &text) const
    {
        const int smallest = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_SNDBUF, &smallest, sizeof(smallest));
        const ssize_t count = send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    /// Reads what has arrived.
    const std::string &received()
    {
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = recv(m_descriptor, buffer.data(), buffer.size(), 0)) > 0) {
            m_text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        m_isClosed = m_isClosed || count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return m_text;
    }

    bool isClosed()
    {
        (void)received();
        return m_isClosed;
    }

private:
    int m_descriptor;
    std::string m_text;
    bool m_isClosed = false;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_GROUP(HttpFrontendLimits)
{
    static constexpr std::size_t kibibyte = 1024;
    std::unique_ptr<EventLoop> loop = makeLoop();
    std::string address = freeAddress();
    std::vector<HttpCallPtr> calls;
    bool respondsAtOnce = true;
    std::shared_ptr<CallerConnections> connections = std::make_shared<CallerConnections>(ConnectionBudget{600, 1024 * kibibyte}, CallerLimits());
    std::unique_ptr<HttpFrontend> server = makeServer();

    std::unique_ptr<HttpFrontend> makeServer()
    {
        HttpFrontendSettings settings;
        settings.address = address;
        settings.maxBody = 64 * kibibyte;
        settings.connections = connections;
        return std::move(HttpFrontend::create(*loop,
                                              settings,
                                              [this](const HttpCallPtr &call) {
                                                  calls.push_back(call);
                                                  if (respondsAtOnce) {
                                                      call->respond(HttpResponse{httpOk, {}, "answer"});
                                                  }
                                              }))
            .value();
    }

    bool runUntilTrue(const std::function<bool()> &condition)
    {
        return runUntil(*loop, condition, Duration(10000));
    }

    static std::string post(std::size_t length)
    {
        return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    void teardown() override
    {
        calls.clear();
        server.reset();
        loop.reset();
    }
};

// Guards against a body over the limit that is read before it is rejected.
TEST(HttpFrontendLimits, AnnouncedBodyOverTheLimitIsRejectedBeforeItIsSent)
{
    RawCaller caller(address);
    caller.sendText(post(65 * kibibyte));
    CHECK_TRUE(runUntilTrue([&] { return caller.isClosed(); }));
    STRCMP_CONTAINS("HTTP/1.1 413", caller.received().c_str());
    CHECK_TRUE(calls.empty());
}

// Guards against rejections that are missing from the metrics.
TEST(HttpFrontendLimits, RejectedBodiesAreCounted)
{
    RawCaller caller(address);
    caller.sendText(post(65 * kibibyte));
    CHECK_TRUE(runUntilTrue([&] { return caller.isClosed(); }));
    LONGS_EQUAL(1, connections->rejected().at(RejectReason::BodyTooLarge));
}

// Guards against a limit that also rejects the largest allowed body.
TEST(HttpFrontendLimits, BodyAtTheLimitIsServed)
{
    RawCaller caller(address);
    caller.sendText(post(64 * kibibyte));
    caller.sendText(std::string(64 * kibibyte, 'x'));
    CHECK_TRUE(runUntilTrue([&] { return !calls.empty(); }));
    LONGS_EQUAL(64 * kibibyte, calls.front()->request().body.size());
}

// Guards against chunks that pass the limit because the length is not announced.
TEST(HttpFrontendLimits, ChunkedBodyOverTheLimitIsRejected)
{
    RawCaller caller(address);
    caller.sendText("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 5; ++i) {
        caller.sendText("4000\r\n" + std::string(16 * kibibyte, 'x') + "\r\n");
    }
    CHECK_TRUE(runUntilTrue([&] { return caller.isClosed(); }));
    CHECK_TRUE(calls.empty());
}

// Guards against pipelined requests that are lost because reading pauses while a response is written.
TEST(HttpFrontendLimits, PipelinedRequestsAreServedInOrder)
{
    RawCaller caller(address);
    std::string text;
    for (int i = 0; i < 40; ++i) {
        text += "GET /" + std::to_string(i) + "-" + std::string(2000, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    caller.sendText(text);
    CHECK_TRUE(runUntilTrue([&] { return countOf(caller.received(), "answer") == 40; }));
    for (std::size_t i = 0; i < calls.size(); ++i) {
        CHECK_EQUAL(0, calls[i]->request().path.find("/" + std::to_string(i) + "-"));
    }
}

// Guards against a pipelined body that exceeds the input buffer allowed behind a response and is never read.
TEST(HttpFrontendLimits, ALargeBodyBehindAnotherRequestIsServed)
{
    RawCaller caller(address);
    caller.sendText("GET /x HTTP/1.1\r\nHost: a\r\n\r\n" + post(60 * kibibyte) + std::string(60 * kibibyte, 'x'));
    CHECK_TRUE(runUntilTrue([&] { return countOf(caller.received(), "answer") == 2; }));
}

// Guards against a request that is closed while its response is awaited for longer than the time-outs.
TEST(HttpFrontendLimits, ARequestMayWaitForItsResponse)
{
    respondsAtOnce = false;
    CallerLimits limits;
    limits.headerTimeout = Duration(100);
    limits.idleTimeout = Duration(100);
    connections->setLimits(limits);
    server->setLimits(32 * kibibyte, 64 * kibibyte, Duration(100));
    RawCaller caller(address);
    caller.sendText("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK_TRUE(runUntilTrue([&] { return !calls.empty(); }));
    (void)runUntil(
        *loop, [] { return false; }, Duration(500));
    calls.front()->respond(HttpResponse{httpOk, {}, "late answer"});
    CHECK_TRUE(runUntilTrue([&] { return countOf(caller.received(), "late answer") == 1; }));
}

// Guards against a slow request that keeps its connection.
TEST(HttpFrontendLimits, ASlowRequestIsClosed)
{
    CallerLimits limits;
    limits.headerTimeout = Duration(100);
    connections->setLimits(limits);
    RawCaller caller(address);
    caller.sendText("GET /x HTTP/1.1\r\nHost:");
    CHECK_TRUE(runUntilTrue([&] { return caller.isClosed(); }));
    LONGS_EQUAL(1, connections->closed().at(CloseReason::SlowRequest));
}

// Guards against connections that stay counted, or whose descriptors stay open, after callers have left.
TEST(HttpFrontendLimits, ConnectionsThatEndAreReleased)
{
    {
        RawCaller leaving(address);
        RawCaller served(address);
        served.sendText("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CHECK_TRUE(runUntilTrue([&] { return served.isClosed() && connections->count() > 0; }));
    }
    CHECK_TRUE(runUntilTrue([&] { return connections->count() == 0; }));
}

// Guards against limits that ordinary callers with many open connections reach.
TEST(HttpFrontendLimits, HundredsOfIdleConnectionsAreKeptAndServed)
{
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 500; ++i) {
        callers.push_back(std::make_unique<RawCaller>(address));
        // The server runs in this thread: a further connection would wait for ever once the listener's backlog is full.
        CHECK_TRUE(runUntilTrue([&] { return connections->count() == callers.size(); }));
    }
    for (int round = 1; round <= 2; ++round) {
        for (const auto &caller : callers) {
            caller->sendText("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        CHECK_TRUE(runUntilTrue([&] { return calls.size() == callers.size() * static_cast<std::size_t>(round); }));
    }
    CHECK_TRUE(connections->closed().empty());
}

// Guards against a lowered limit that requests on present connections evade.
TEST(HttpFrontendLimits, ALoweredLimitAppliesToPresentConnections)
{
    RawCaller caller(address);
    caller.sendText("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK_TRUE(runUntilTrue([&] { return calls.size() == 1; }));
    server->setLimits(32 * kibibyte, 2 * kibibyte, Duration(60000));
    caller.sendText(post(3 * kibibyte) + std::string(3 * kibibyte, 'x'));
    CHECK_TRUE(runUntilTrue([&] { return caller.isClosed(); }));
    STRCMP_CONTAINS("HTTP/1.1 413", caller.received().c_str());
    LONGS_EQUAL(1, calls.size());
}

// Guards against rejections of evhttp itself, which are HTML pages without a remedy.
TEST(HttpFrontendLimits, RejectionsBeforeTheHandlerHaveJsonBodies)
{
    const std::pair<std::string, int> rejected[] = {
        {post(65 * kibibyte), 413},
        {"GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(40 * kibibyte, 'x') + "\r\n\r\n", 400},
        {"GET /x HTTP/1.1\r\nno colon\r\n\r\n", 400},
        {"nonsense\r\n\r\n", 400},
        {"TRACE /x HTTP/1.1\r\nHost: a\r\n\r\n", 501},
    };
    for (const auto &[text, status] : rejected) {
        RawCaller caller(address);
        caller.sendText(text);
        CHECK_TRUE(runUntilTrue([&] { return caller.isClosed(); }));
        const std::string response = caller.received();
        STRCMP_CONTAINS(("HTTP/1.1 " + std::to_string(status) + " ").c_str(), response.c_str());
        STRCMP_CONTAINS("Content-Type: application/json", response.c_str());
        STRCMP_CONTAINS("Connection: close", response.c_str());
        const std::string body = response.substr(response.find("\r\n\r\n") + 4);
        STRCMP_CONTAINS(("Content-Length: " + std::to_string(body.size()) + "\r\n").c_str(), response.c_str());
        STRCMP_CONTAINS("\"ran\":\"not run\"", body.c_str());
        LONGS_EQUAL(1, countOf(response, "HTTP/1.1"));
    }
    CHECK_TRUE(calls.empty());
}

// Guards against a caller who sees a reset connection instead of the reason why its body is rejected.
TEST(HttpFrontendLimits, ARejectionArrivesAlthoughTheBodyIsBeingSent)
{
    RawCaller caller(address);
    caller.sendText(post(300 * kibibyte));
    caller.sendText(std::string(300 * kibibyte, 'x'));
    CHECK_TRUE(runUntilTrue([&] { return caller.isClosed(); }));
    STRCMP_CONTAINS("HTTP/1.1 413", caller.received().c_str());
}

// Guards against a rejection at the bound on bytes that does not say when to come back, or whether the request has run.
TEST(HttpFrontendLimits, ARejectionAtTheBoundOnBytesSaysWhenToComeBack)
{
    respondsAtOnce = false;
    CallerLimits limits;
    limits.maxBodyBytes = 64 * kibibyte;
    connections->setLimits(limits);
    std::vector<std::unique_ptr<RawCaller>> waiting;
    const auto sendAnother = [&](std::size_t bodyBytes) {
        waiting.push_back(std::make_unique<RawCaller>(address));
        waiting.back()->sendText(post(bodyBytes) + std::string(bodyBytes, 'x'));
    };
    for (const std::size_t kibibytes : {63, 63, 63, 63, 63, 63, 63, 63, 63, 63, 63, 63, 63, 63, 63, 63, 10}) {
        sendAnother(kibibytes * kibibyte);
        CHECK_TRUE(runUntilTrue([&] { return calls.size() == waiting.size(); }));
    }
    sendAnother(8 * kibibyte);
    RawCaller &caller = *waiting.back();
    CHECK_TRUE(runUntilTrue([&] { return countOf(caller.received(), "\r\n\r\n") == 1; }));
    STRCMP_CONTAINS("HTTP/1.1 429", caller.received().c_str());
    STRCMP_CONTAINS("Retry-After: ", caller.received().c_str());
    STRCMP_CONTAINS("\"ran\":\"not run\"", caller.received().c_str());
}

// Guards against input that fills the kernel's buffers while reading pauses, beyond the bound on bytes.
TEST(HttpFrontendLimits, TheKernelHoldsAsMuchOfAConnectionAsTheBudgetSays)
{
    respondsAtOnce = false;
    RawCaller caller(address);
    caller.sendText("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK_TRUE(runUntilTrue([&] { return !calls.empty(); }));
    std::size_t taken = 0;
    (void)runUntil(
        *loop,
        [&] {
            taken += caller.sendWhatFits(std::string(64 * kibibyte, 'x'));
            return false;
        },
        Duration(1000));
    // The caller's own buffer has its smallest size.
    const std::size_t ownBuffer = 16 * kibibyte;
    const std::size_t readBeforeThePause = 32 * kibibyte;
    CHECK_TRUE(taken <= 2 * connections->budget().socketBufferBytes + readBeforeThePause + ownBuffer);
}
