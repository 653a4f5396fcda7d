// End-to-end tests of requests and jobs through the HTTP server, filters, handlers and clients, with a fake core.
#include "daemon/apihandlers.h"
#include "daemon/corerunner.h"
#include "daemon/forwarder.h"
#include "daemon/httpconnection.h"
#include "daemon/platformclient.h"
#include "daemon/requestfilters.h"
#include "fakecore.h"
#include "looptest.h"

using namespace KingCupLadder;

namespace {

Route bookings()
{
    Route route;
    route.name = RouteName("bookings");
    route.path = "/bookings";
    route.workClass = WorkClass::Request;
    route.pool = PoolName("p");
    return route;
}

Route rosters()
{
    Route route;
    route.name = RouteName("rosters");
    route.workClass = WorkClass::Batch;
    route.pool = PoolName("p");
    route.demand.cpu = MilliCores(500);
    return route;
}

} // namespace

TEST_GROUP(RequestPath)
{
    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<CoreRunner> runner;
    std::unique_ptr<Forwarder> forwarder;
    std::unique_ptr<PlatformClient> platform;
    std::unique_ptr<ApiHandlers> api;
    std::unique_ptr<RequestChain> chain;
    std::unique_ptr<HttpFrontend> frontend;
    std::unique_ptr<HttpFrontend> worker;
    std::unique_ptr<HttpFrontend> store;
    std::unique_ptr<HttpConnection> client;
    std::vector<HttpCallPtr> workerCalls;
    std::vector<HttpCallPtr> storeCalls;
    std::vector<RequestReport> reports;
    std::optional<ClientResult> result;
    std::string frontendAddress;

    void setup() override
    {
        fakeCore() = FakeCore();
        loop = makeLoop();
        fakeCore().workerAddress = freeAddress();
        worker = startServer(*loop, fakeCore().workerAddress, [this](const HttpCallPtr &call) { workerCalls.push_back(call); });
        PlatformClientSettings storeSettings;
        storeSettings.address = freeAddress();
        storeSettings.timeout = Duration(200);
        store = startServer(*loop, storeSettings.address, [this](const HttpCallPtr &call) { storeCalls.push_back(call); });
        runner = std::make_unique<CoreRunner>(*loop, std::move(DaemonCore::create({}, loop->now())).value());
        platform = std::make_unique<PlatformClient>(
            *loop, storeSettings, [this](const StoreReply &reply) { runner->onStoreReply(reply); }, [](const VmListReply &) {});
        forwarder = std::make_unique<Forwarder>(*loop, ConnectionPoolSettings());
        CoreExecutors executors;
        executors.transact = [this](const StoreTransaction &command) { platform->transact(command); };
        runner->start(executors);
        ApiServices apiServices;
        apiServices.digest = [](const std::string &text) { return "digest of " + text; };
        apiServices.randomHex = [](std::size_t) { return std::optional<std::string>("random"); };
        apiServices.route = [](const RouteName &name) { return name == RouteName("rosters") ? std::optional<Route>(rosters()) : std::nullopt; };
        apiServices.team = [](const TeamId &id) { return id == TeamId("a") ? std::optional<Team>(Team()) : std::nullopt; };
        apiServices.mayUse = [](const TeamId &, const PoolName &) { return true; };
        apiServices.ready = [] { return true; };
        apiServices.reportJobSubmission = [](const RouteName &, const TeamId &, ErrorKind, Duration) {};
        api = std::make_unique<ApiHandlers>(*runner, ApiSettings{DaemonId("d"), "digest of operator"}, apiServices);
        chain = std::make_unique<RequestChain>(requestServices(), RequestSettings());
        frontendAddress = freeAddress();
        frontend = startServer(*loop, frontendAddress, [this](const HttpCallPtr &call) {
            if (!api->handle(call)) {
                chain->handle(call);
            }
        });
        client = std::make_unique<HttpConnection>(*loop, *parseSocketAddress(frontendAddress), 1024 * 1024);
    }

    RequestServices requestServices()
    {
        RequestServices services;
        services.now = [this] { return loop->now(); };
        services.routeForPath = [](const std::string &path) { return path.compare(0, 9, "/bookings") == 0 ? std::optional<Route>(bookings()) : std::nullopt; };
        services.identify = [this](const std::string &secret) { return runner->core().identify(secret, loop->now()); };
        services.mayUse = [](const TeamId &, const PoolName &) { return true; };
        services.acquireGrant = [this](const GrantSpec &spec, RequestServices::AnswerHandler handler) {
            return runner->call([spec](DaemonCore &core, TimePoint now) { return core.acquireGrant(spec, now); }, std::move(handler));
        };
        services.cancelGrantRequest = [this](OpId op) { runner->cancelGrantRequest(op); };
        services.releaseGrant = [this](const Grant &grant, GrantOutcome grantOutcome) { runner->releaseGrant(grant, grantOutcome); };
        services.claim = [this](const TeamId &team, const std::string &key, const std::string &fingerprint, RequestServices::AnswerHandler handler) {
            runner->call([=](DaemonCore &core, TimePoint now) { return core.claim(team, key, fingerprint, now); }, std::move(handler));
        };
        services.finishClaim = [this](const TeamId &team, const std::string &key, const std::string &outcome) {
            runner->call([=](DaemonCore &core, TimePoint now) { return core.finishClaim(team, key, outcome, now); }, [](const CallerAnswer &) {});
        };
        services.digest = [](const std::string &text) { return text; };
        services.forward = [this](const ForwardRequest &request, ForwardCallback callback) { return forwarder->forward(request, std::move(callback)); };
        services.newRequestId = [] { return std::string("request-1"); };
        services.report = [this](const RequestReport &report) { reports.push_back(report); };
        return services;
    }

    void teardown() override
    {
        client.reset();
        frontend.reset();
        chain.reset();
        api.reset();
        forwarder.reset();
        platform.reset();
        runner.reset();
        worker.reset();
        store.reset();
        workerCalls.clear();
        storeCalls.clear();
        loop.reset();
        fakeCore() = FakeCore();
    }

    void send(const std::string &method, const std::string &target, const std::string &body, Headers extra = {}, const std::string &key = "team-secret")
    {
        ClientRequest request;
        request.method = method;
        request.target = target;
        request.headers = std::move(extra);
        request.headers.emplace_back("Authorization", "Bearer " + key);
        request.body = body;
        request.timeout = Duration(2000);
        client->send(request, [this](const ClientResult &answer) { result = answer; });
    }

    void sendToWorker(Headers extra = {})
    {
        send("POST", "/bookings/7?x=1", "two beds", std::move(extra));
        CHECK_TRUE(runUntil(*loop, [this] { return !workerCalls.empty(); }));
    }

    int awaitStatus()
    {
        CHECK_TRUE(runUntil(*loop, [this] { return result.has_value(); }));
        return result->response.status;
    }
};

// Guards against forwarding a request with a wrong path or without its query or body.
TEST(RequestPath, ForwardsPathQueryAndBody)
{
    sendToWorker();
    STRCMP_EQUAL("/app/bookings/7?x=1 two beds", (workerCalls[0]->request().target + " " + workerCalls[0]->request().body).c_str());
}

// Guards against leaking team keys to applications.
TEST(RequestPath, DoesNotForwardTheKey)
{
    sendToWorker();
    STRCMP_EQUAL("", headerValue(workerCalls[0]->request().headers, "Authorization").c_str());
}

// Guards against forwarding without the grant's epoch, by which a worker detects that the grant is from an old epoch.
TEST(RequestPath, SendsTheEpochOfTheGrant)
{
    sendToWorker();
    STRCMP_EQUAL("7", headerValue(workerCalls[0]->request().headers, "X-Ladder-Epoch").c_str());
}

// Guards against losing the body or the status of a response.
TEST(RequestPath, ReturnsTheWholeResponse)
{
    sendToWorker();
    workerCalls[0]->respond({201, {{"Content-Type", "text/plain"}}, std::string(100000, 'x')});
    LONGS_EQUAL(201, awaitStatus());
    LONGS_EQUAL(100000, result->response.body.size());
}

// Guards against slots that stay in use after their request has ended.
TEST(RequestPath, ReleasesTheGrantAfterTheResponse)
{
    sendToWorker();
    workerCalls[0]->respond({200, {}, "ok"});
    awaitStatus();
    CHECK_TRUE(fakeCore().releases == std::vector<GrantOutcome>{GrantOutcome::Succeeded});
}

// Guards against returning a response that belongs to the request of another caller.
TEST(RequestPath, RefusesAResponseWithAnotherRequestId)
{
    sendToWorker();
    workerCalls[0]->respond({200, {{"X-Request-Id", "other"}}, "not yours"});
    LONGS_EQUAL(502, awaitStatus());
}

// Guards against reporting "not run" for a request that the worker may have run.
TEST(RequestPath, SaysUnknownWhenTheWorkerDoesNotRespond)
{
    sendToWorker({{"X-Deadline-Ms", "60"}});
    awaitStatus();
    CHECK_TRUE(result->response.body.find("\"ran\":\"unknown\"") != std::string::npos);
}

// Guards against freeing a slot while the worker still serves an aborted request.
TEST(RequestPath, ReleasesAsTimedOutWhenTheClientDisconnects)
{
    sendToWorker();
    client->abort();
    CHECK_TRUE(runUntil(*loop, [] { return !fakeCore().releases.empty(); }));
    CHECK_TRUE(fakeCore().releases[0] == GrantOutcome::TimedOut);
}

// Guards against losing the outcome of a request with an idempotency key whose caller has disconnected.
TEST(RequestPath, RecordsTheOutcomeOfAClaimedRequestWhoseClientDisconnected)
{
    sendToWorker({{"Idempotency-Key", "charge-1"}});
    client->abort();
    runUntil(*loop, [this] { return frontend->activeCalls() == 0; });
    workerCalls[0]->respond({200, {}, "charged"});
    CHECK_TRUE(runUntil(*loop, [] { return !fakeCore().finishedOutcomes.empty(); }));
    CHECK_TRUE(fakeCore().finishedOutcomes[0].find("charged") != std::string::npos);
}

// Guards against reporting "unknown" when the worker is down and nothing was sent.
TEST(RequestPath, SaysNotRunWhenNoWorkerCanBeReached)
{
    fakeCore().workerAddress = freeAddress();
    send("POST", "/bookings", "x");
    awaitStatus();
    CHECK_TRUE(result->response.body.find("\"ran\":\"not run\"") != std::string::npos);
}

// Guards against refusals without a Retry-After header.
TEST(RequestPath, RefusalStatesRetryAfter)
{
    fakeCore().workerAddress.clear();
    send("POST", "/bookings", "x");
    awaitStatus();
    STRCMP_EQUAL("1", headerValue(result->response.headers, "Retry-After").c_str());
}

// Guards against accepting work with an invalid key.
TEST(RequestPath, RefusesAnUnknownKey)
{
    send("POST", "/bookings", "x", {}, "wrong");
    LONGS_EQUAL(401, awaitStatus());
}

// Guards against acknowledging a job before it is stored.
TEST(RequestPath, AcceptsAJobOnlyAfterTheStoreResponded)
{
    fakeCore().storeJobs = true;
    send("POST", "/v1/jobs", R"({"route":"rosters","tasks":2,"runTime":"90s"})", {{"Idempotency-Key", "night-7"}});
    CHECK_TRUE(runUntil(*loop, [this] { return !storeCalls.empty(); }));
    CHECK_FALSE(result.has_value());
    storeCalls[0]->respond(jsonResponse(200, R"({"ok":true,"rows":[{"table":"jobs","key":"a:night-7","version":1}]})"));
    LONGS_EQUAL(202, awaitStatus());
}

// Guards against reporting "accepted" or "not run" when the store's response is lost.
TEST(RequestPath, JobIsUnknownWhenTheStoreDoesNotRespond)
{
    fakeCore().storeJobs = true;
    send("POST", "/v1/jobs", R"({"route":"rosters"})", {{"Idempotency-Key", "night-7"}});
    LONGS_EQUAL(502, awaitStatus());
}

// Guards against job ids without the team, with which a team could take the id of another team's job by submitting it first.
TEST(RequestPath, PrefixesTheJobIdWithTheTeam)
{
    send("POST", "/v1/jobs", R"({"route":"rosters","id":"night-7"})");
    awaitStatus();
    STRCMP_EQUAL("a:night-7", fakeCore().submittedJobs.at(0).id.value().c_str());
}

// Guards against losing the demand that a job inherits from its route when the submission overrides one component.
TEST(RequestPath, TakesMissingFieldsOfAJobFromItsRoute)
{
    send("POST", "/v1/jobs", R"({"route":"rosters","demand":{"memoryMiB":64}})");
    awaitStatus();
    CHECK_TRUE(fakeCore().submittedJobs.at(0).demand == (Resources{MilliCores(500), MebiBytes(64), {}, {}}));
}

// Guards against teams reading each other's jobs.
TEST(RequestPath, HidesJobsOfOtherTeams)
{
    send("GET", "/v1/jobs/b:1", "");
    LONGS_EQUAL(404, awaitStatus());
}

// Guards against a submitter who can't find a job by the id given in the submission.
TEST(RequestPath, FindsAJobByItsIdWithoutTheTeam)
{
    send("DELETE", "/v1/jobs/night-7", "");
    awaitStatus();
    CHECK_TRUE(result->response.body.find("\"a:night-7\"") != std::string::npos);
}

// Guards against accepting operator calls with a team's key.
TEST(RequestPath, KeysNeedTheOperatorKey)
{
    send("POST", "/v1/keys", R"({"team":"a"})");
    LONGS_EQUAL(401, awaitStatus());
}

// Guards against storing a secret instead of its digest.
TEST(RequestPath, StoresTheDigestOfANewKey)
{
    send("POST", "/v1/keys", R"({"team":"a"})", {}, "operator");
    LONGS_EQUAL(201, awaitStatus());
    STRCMP_EQUAL("digest of random", fakeCore().issuedKeys.at(0).digest.c_str());
}

// Guards against reports without the wait time, which the SLO needs.
TEST(RequestPath, ReportsTheWaitingTime)
{
    sendToWorker();
    workerCalls[0]->respond({200, {}, "ok"});
    awaitStatus();
    CHECK_TRUE(reports.at(0).waitTime.has_value());
}
