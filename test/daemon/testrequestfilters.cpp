#include "daemon/requestfilters.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(RequestFilters)
{
    RequestServices services;
    RequestSettings settings;
    Route route;
    TimePoint now{Duration(5000)};
    ClaimState claimState{true, {}};
    Error claimError;
    std::vector<ClientResult> results; // Results of the next attempts.
    std::vector<HttpCallPtr> calls;
    std::vector<HttpResponse> responses;
    std::vector<GrantSpec> grantRequests;
    std::vector<Duration> forwardTimeouts;
    std::vector<GrantOutcome> releases;
    std::vector<std::string> finishedOutcomes;
    std::vector<RequestServices::AnswerHandler> heldGrantRequests;
    bool holdGrantRequests = false;
    int claimCount = 0;

    void setup() override
    {
        route.name = RouteName("r");
        route.workClass = WorkClass::Request;
        route.pool = PoolName("p");
        route.deadline = Duration(1000);
        services.now = [this] { return now; };
        services.routeForPath = [this](const std::string &) { return std::optional<Route>(route); };
        services.identify = [](const std::string &) { return Result<Identity>(Identity{KeyId("k"), TeamId("t"), {}}); };
        services.mayUse = [](const TeamId &, const PoolName &) { return true; };
        services.acquireGrant = [this](const GrantSpec &spec, const RequestServices::AnswerHandler &handler) { return acquireGrant(spec, handler); };
        services.cancelGrantRequest = [this](OpId) { heldGrantRequests.clear(); };
        services.releaseGrant = [this](const Grant &, GrantOutcome grantOutcome) { releases.push_back(grantOutcome); };
        services.claim = [this](const TeamId &, const std::string &, const std::string &, const RequestServices::AnswerHandler &handler) {
            ++claimCount;
            CallerAnswer answer;
            answer.error = claimError;
            answer.body = claimState;
            handler(answer);
        };
        services.finishClaim = [this](const TeamId &, const std::string &, const std::string &outcome) { finishedOutcomes.push_back(outcome); };
        services.digest = [](const std::string &text) { return text; };
        services.forward = [this](const ForwardRequest &request, const ForwardCallback &callback) {
            forwardTimeouts.push_back(request.timeout);
            const ClientResult result = results.empty() ? answered(200) : results.front();
            if (!results.empty()) {
                results.erase(results.begin());
            }
            pendingCallbacks.emplace_back([callback, result] { callback(result); });
            return [] { return true; };
        };
        services.newRequestId = [] { return std::string("id"); };
        services.report = [](const RequestReport &) {};
    }

    std::vector<std::function<void()>> pendingCallbacks;

    OpId acquireGrant(const GrantSpec &spec, const RequestServices::AnswerHandler &handler)
    {
        grantRequests.push_back(spec);
        if (holdGrantRequests) {
            heldGrantRequests.push_back(handler);
            return OpId(1);
        }
        pendingCallbacks.emplace_back([handler, n = grantRequests.size()] {
            CallerAnswer answer;
            answer.body = Grant{GrantId("g"), ShardId("s"), Epoch(1), WorkerId("w" + std::to_string(n)), "a:1", Duration(400)};
            handler(answer);
        });
        return OpId(1);
    }

    static ClientResult answered(int status)
    {
        return {ClientResult::Kind::Answered, true, {status, {}, "body"}};
    }

    HttpCallPtr request(Headers headers = {})
    {
        headers.emplace_back("Authorization", "Bearer x");
        HttpRequest incoming{"POST", "/a", "/a", "", std::move(headers), "", now};
        auto call = std::make_shared<HttpCall>(incoming, [this](const HttpResponse &response) { responses.push_back(response); });
        calls.push_back(call);
        return call;
    }

    void handle(const Headers &headers = {})
    {
        RequestChain(services, settings).handle(request(headers));
        runPendingCallbacks();
    }

    void runPendingCallbacks()
    {
        while (!pendingCallbacks.empty()) {
            const auto next = pendingCallbacks.front();
            pendingCallbacks.erase(pendingCallbacks.begin());
            next();
        }
    }
};

// Guards against sending a non-idempotent request, such as a payment, a second time.
TEST(RequestFilters, SendsANonIdempotentRequestOnce)
{
    results = {{ClientResult::Kind::Failed, true, {}}, answered(200)};
    handle();
    LONGS_EQUAL(1, forwardTimeouts.size());
}

// Guards against failing a request although nothing was sent and a retry is safe.
TEST(RequestFilters, RetriesWhenNoByteWasSent)
{
    results = {{ClientResult::Kind::Failed, false, {}}, answered(200)};
    handle();
    LONGS_EQUAL(200, responses.at(0).status);
}

// Guards against retrying on the worker that just failed.
TEST(RequestFilters, RetryAvoidsTheWorkerThatFailed)
{
    results = {{ClientResult::Kind::Failed, false, {}}, answered(200)};
    handle();
    CHECK_TRUE(grantRequests.at(1).avoid == std::vector<WorkerId>{WorkerId("w1")});
}

// Guards against failing an idempotent request because of one faulty worker.
TEST(RequestFilters, RetriesAnIdempotentRequestAfterAServerError)
{
    route.idempotent = true;
    results = {answered(500), answered(200)};
    handle();
    LONGS_EQUAL(200, responses.at(0).status);
}

// Guards against replacing the error response of the application by one of the daemon.
TEST(RequestFilters, ReturnsAServerErrorThatMayNotBeRetried)
{
    results = {answered(500)};
    handle();
    STRCMP_EQUAL("body", responses.at(0).body.c_str());
}

// Guards against an exchange with a worker that continues after its grant has expired.
TEST(RequestFilters, ForwardEndsWithTheGrant)
{
    handle();
    LONGS_EQUAL(400, forwardTimeouts.at(0).count());
}

// Guards against ignoring the caller's deadline.
TEST(RequestFilters, ShortensTheDeadlineToTheHeader)
{
    handle({{"X-Deadline-Ms", "70"}});
    LONGS_EQUAL(70, grantRequests.at(0).term.count());
}

// Guards against reading a malformed deadline as another value.
TEST(RequestFilters, RejectsAMalformedDeadline)
{
    handle({{"X-Deadline-Ms", "5s"}});
    LONGS_EQUAL(400, responses.at(0).status);
}

// Guards against forwarding a request before its claim is stored.
TEST(RequestFilters, SendsNothingWhenTheClaimFails)
{
    claimError = {ErrorKind::Unavailable, "store down", "wait"};
    handle({{"Idempotency-Key", "k"}});
    LONGS_EQUAL(0, grantRequests.size());
}

// Guards against running a request with an idempotency key twice: a repeat gets the recorded response.
TEST(RequestFilters, RepeatGetsTheRecordedResponse)
{
    claimState = {false, encodeOutcome({201, {}, "charged"})};
    handle({{"Idempotency-Key", "k"}});
    STRCMP_EQUAL("charged", responses.at(0).body.c_str());
}

// Guards against reporting "not run" for a repeat while the first request may be running.
TEST(RequestFilters, RepeatWithoutOutcomeIsUnknown)
{
    claimState = {false, {}};
    handle({{"Idempotency-Key", "k"}});
    CHECK_TRUE(responses.at(0).body.find("\"ran\":\"unknown\"") != std::string::npos);
}

// Guards against a claim that still blocks repeats after its request never ran. An empty outcome removes the claim.
TEST(RequestFilters, RemovesTheClaimOfARequestThatDidNotRun)
{
    route.deadline = Duration(10); // Leaves no time for a second attempt.
    results = {{ClientResult::Kind::Failed, false, {}}};
    handle({{"Idempotency-Key", "k"}});
    STRCMP_EQUAL("", finishedOutcomes.at(0).c_str());
}

// Guards against removing a claim although its request may have run.
TEST(RequestFilters, KeepsTheClaimWhenTheOutcomeIsUnknown)
{
    results = {{ClientResult::Kind::TimedOut, true, {}}};
    handle({{"Idempotency-Key", "k"}});
    LONGS_EQUAL(0, finishedOutcomes.size());
}

// Guards against changing the bytes of a recorded response.
TEST(RequestFilters, OutcomeKeepsBinaryBodies)
{
    const std::string body("\xff\x00\x01%", 4);
    CHECK_TRUE(decodeOutcome(encodeOutcome({200, {}, body}))->body == body);
}

// Guards against an empty recorded response to a repeat: a body above 64 KiB is not stored, so the repeat must get an error that
// says that the request ran.
TEST(RequestFilters, OutcomeOfALargeResponseSaysThatItRan)
{
    const auto repeat = decodeOutcome(encodeOutcome({200, {}, std::string(65537, 'x')}));
    CHECK_TRUE(repeat->body.find("\"ran\":\"ran\"") != std::string::npos);
}

// Guards against one team using up the daemon's limit of active requests.
TEST(RequestFilters, RefusesATeamAboveItsLimit)
{
    settings.maxActivePerTeam = 1;
    holdGrantRequests = true;
    RequestChain chain(services, settings);
    chain.handle(request());
    chain.handle(request());
    LONGS_EQUAL(429, responses.at(0).status);
    calls.at(0)->disconnect();
}

// Guards against a limit that still counts finished requests.
TEST(RequestFilters, CountsOnlyActiveRequests)
{
    settings.maxActivePerTeam = 1;
    RequestChain chain(services, settings);
    chain.handle(request());
    runPendingCallbacks();
    chain.handle(request());
    runPendingCallbacks();
    LONGS_EQUAL(200, responses.at(1).status);
}

// Guards against grant requests that stay pending for callers that have disconnected.
TEST(RequestFilters, CancelsTheGrantRequestWhenTheClientDisconnects)
{
    holdGrantRequests = true;
    handle();
    calls.at(0)->disconnect();
    LONGS_EQUAL(0, heldGrantRequests.size());
}

// Guards against claims on idempotent routes, which need none.
TEST(RequestFilters, IdempotentRoutesNeedNoClaim)
{
    route.idempotent = true;
    handle({{"Idempotency-Key", "k"}});
    LONGS_EQUAL(0, claimCount);
}
