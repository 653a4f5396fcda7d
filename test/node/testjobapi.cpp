#include "memorytablestore.h"
#include "node/jobapi.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const char configBytes[] = "config";

Result<CellConfig> fakeConfig(const std::string &bytes)
{
    if (bytes.rfind(configBytes, 0) != 0) {
        return Error{ErrorKind::InvalidInput, "no configuration", "write one"};
    }
    CellConfig config;
    config.version = ConfigVersion(bytes.size());
    CellRoute route;
    route.name = RouteName("batch");
    route.host = "desk.example";
    route.pathPrefix = "/a/b/";
    config.routes.push_back(route);
    if (bytes != "config without keys") {
        config.workspaces.push_back(Workspace{WorkspaceId("museum"), {"good"}, 10, {}});
    }
    config.workspaces.push_back(Workspace{WorkspaceId("other"), {"theirs"}, 10, {}});
    return config;
}

} // namespace

TEST_GROUP(JobApi)
{
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    MemoryTableStore store{*loop};
    CellStorage storage{*loop, store};
    PlatformCodec codec;
    std::unique_ptr<ConfigWatcher> config;
    std::unique_ptr<JobApi> jobApi;
    CellWire::Admission leaderAdmission = CellWire::ADMITTED;
    bool leaderAnswers = true;
    bool storeDown = false;
    int acknowledgedNotices = 0;
    std::map<RouteName, int> queued;
    std::vector<HttpResponse> answers; ///< In the order in which they were sent.

    void setup() override
    {
        codec.parseHeaders = [](const HttpRequest &request) {
            CallerHeaders callerHeaders;
            callerHeaders.host = headerValue(request.headers, "Host");
            callerHeaders.key = headerValue(request.headers, "Key");
            callerHeaders.callerTimeout = Duration(800);
            return callerHeaders;
        };
        codec.isJobId = [](const std::string &text) { return text.find('.') == std::string::npos; };
        codec.decodeJob = [](const std::string &body) -> Result<CellJob> {
            if (body != "job") {
                return Error{ErrorKind::InvalidInput, "not a job", "send one"};
            }
            CellJob job;
            job.steps.resize(1);
            return job;
        };
        codec.encodeState = [](CellJobState state) { return std::string(toString(state)); };
        codec.encodeQueued = [](int count) { return std::to_string(count); };
        codec.encodeError = [](const Error &error) { return error.message; };
        codec.decodeConfig = fakeConfig;
        codec.configTable = "op";
        codec.configKey = "config";
        ConfigWatcherSettings configSettings;
        configSettings.maxConfigAge = Duration(400);
        config = std::make_unique<ConfigWatcher>(*loop, store, codec, configSettings, [](const std::shared_ptr<const CellConfig> &) {});
        makeJobApi(JobApiSettings());
    }

    void makeJobApi(const JobApiSettings &settings)
    {
        LeaderAccess access;
        access.sendRequest = [this](const PeerMessaging::Envelope &peerRequest, Duration, const PeerMessaging::ReplyCallback &callback) {
            loop->defer([this, peerRequest, callback] { replyAsLeader(peerRequest, callback); });
        };
        access.isStoreDown = [this] { return storeDown; };
        access.queued = [this](Duration) { return leaderAnswers ? &queued : nullptr; };
        jobApi = std::make_unique<JobApi>(*loop, settings, codec, *config, storage, access);
    }

    void replyAsLeader(const PeerMessaging::Envelope &peerRequest, const PeerMessaging::ReplyCallback &callback)
    {
        if (!leaderAnswers) {
            callback(nullptr);
            return;
        }
        PeerMessaging::Envelope reply;
        if (peerRequest.has_submit_job()) {
            reply.mutable_submit_reply()->set_admission(leaderAdmission);
            reply.mutable_submit_reply()->set_retry_after_ms(2500);
        } else if (peerRequest.has_state_query()) {
            reply.mutable_state_reply()->set_state(CellWire::UNKNOWN_STATE);
        } else {
            ++acknowledgedNotices;
            reply.mutable_acknowledgement();
        }
        callback(&reply);
    }

    void readConfig(const std::string &bytes = "config one")
    {
        store.put(RowKey{"op", {}, "config"}, bytes);
        config->start();
        runEventLoop(Duration(20));
    }

    void runEventLoop(Duration duration)
    {
        const TimePoint endTime = loop->now() + duration;
        const auto timer = EventWatch::repeating(*loop, Duration(2), [] {});
        while (loop->now() < endTime) {
            loop->runOnce();
        }
    }

    /// Starts a request. Its response is appended to answers.
    HttpCallPtr begin(const std::string &method, const std::string &path, const std::string &key, const std::string &body = std::string())
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.target = path;
        request.headers = {{"Host", "desk.example"}, {"Key", key}};
        request.body = body;
        request.arrival = loop->now();
        auto call = std::make_shared<HttpCall>(request, [this](const HttpResponse &response) { answers.push_back(response); });
        jobApi->handle(call);
        return call;
    }

    HttpResponse send(const std::string &method, const std::string &path, const std::string &key, const std::string &body = std::string())
    {
        const auto call = begin(method, path, key, body);
        const TimePoint deadline = loop->now() + Duration(2000);
        while (!call->isDone() && loop->now() < deadline) {
            runEventLoop(Duration(4));
        }
        HttpResponse noAnswer;
        noAnswer.status = 0;
        return call->isDone() ? answers.back() : noAnswer;
    }
};

// Guards against a daemon that rejects requests for existing routes with 404 because it has not loaded the routes yet.
TEST(JobApi, RefusesAsUnavailableWithoutAConfiguration)
{
    CHECK_EQUAL(503, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against a job that is lost after it was acknowledged, because it was not stored before the response.
TEST(JobApi, StoresAJobBeforeItIsAcknowledged)
{
    readConfig();
    CHECK_EQUAL(200, send("POST", "/a/b/j1", "good", "job").status);
    CHECK_TRUE(store.has("jobs", "j1"));
    CHECK_EQUAL(1, acknowledgedNotices);
}

// Guards against jobs that run without a valid API key.
TEST(JobApi, RefusesAnUnknownKey)
{
    readConfig();
    CHECK_EQUAL(401, send("POST", "/a/b/j1", "bad", "job").status);
    CHECK_FALSE(store.has("jobs", "j1"));
}

// Guards against losing submissions while no daemon leads.
TEST(JobApi, AdmitsJobsWhileThereIsNoLeader)
{
    readConfig();
    leaderAnswers = false;
    CHECK_EQUAL(200, send("POST", "/a/b/j1", "good", "job").status);
    CHECK_TRUE(store.has("jobs", "j1"));
}

// Guards against a job that was rejected but runs, because it was stored before the leader's decision was known. The retry delay of 2500 ms
// is rounded up to seconds.
TEST(JobApi, DoesNotStoreAJobThatTheLeaderRefuses)
{
    readConfig();
    leaderAdmission = CellWire::REFUSED_LIMIT;
    const HttpResponse answer = send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(429, answer.status);
    STRCMP_EQUAL("3", headerValue(answer.headers, "Retry-After").c_str());
    CHECK_FALSE(store.has("jobs", "j1"));
}

// Guards against a revoked API key that stays valid because the store is unreachable.
TEST(JobApi, StopsTrustingKeysWhenTheConfigurationIsNotConfirmed)
{
    readConfig();
    store.readOutcomes = std::vector<StoreOutcome>(1000, StoreOutcome::NotApplied);
    runEventLoop(Duration(500));
    CHECK_EQUAL(503, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against a revoked API key that stays valid after the configuration without it was read.
TEST(JobApi, RefusesARevokedKey)
{
    readConfig();
    store.put(RowKey{"op", {}, "config"}, "config without keys");
    runEventLoop(Duration(200));
    CHECK_EQUAL(401, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against "gone" for a stored job that the leader does not know yet.
TEST(JobApi, ReadsTheStoreForAJobThatTheLeaderDoesNotKnow)
{
    readConfig();
    (void)send("POST", "/a/b/j1", "good", "job");
    STRCMP_EQUAL("pending", send("GET", "/a/b/j1", "good").body.c_str());
    CHECK_EQUAL(410, send("GET", "/a/b/j2", "good").status);
}

// Guards against access to the jobs of another workspace.
TEST(JobApi, HidesJobsOfOtherWorkspaces)
{
    readConfig();
    (void)send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(410, send("GET", "/a/b/j1", "theirs").status);
    CHECK_EQUAL(410, send("DELETE", "/a/b/j1", "theirs").status);
}

// Guards against a cancellation that is lost after it was acknowledged, because it was not stored before the response.
TEST(JobApi, StoresACancellationBeforeItIsAcknowledged)
{
    readConfig();
    (void)send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(200, send("DELETE", "/a/b/j1", "good").status);
    CHECK_TRUE(store.has("jobs", "j1.cancel"));
}

// Guards against reporting a queue length of 0 while it is not known.
TEST(JobApi, ReportsQueueLengthsOnlyWhileTheyAreCurrent)
{
    readConfig();
    queued[RouteName("batch")] = 12;
    STRCMP_EQUAL("12", send("GET", "/a/b/", "good").body.c_str());
    leaderAnswers = false;
    CHECK_EQUAL(503, send("GET", "/a/b/", "good").status);
}

// Guards against reporting "not run" while an unanswered write may still take effect.
TEST(JobApi, AnswersWithAGatewayTimeoutWhenTheWriteOutcomeIsUnknown)
{
    readConfig();
    store.writeOutcomes = {StoreOutcome::Unknown};
    store.writeOutcomes.insert(store.writeOutcomes.end(), 1000, StoreOutcome::NotApplied);
    CHECK_EQUAL(504, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against callers that wait until their deadline although the store is known to be unreachable.
TEST(JobApi, RefusesJobsImmediatelyWhileTheStoreIsUnreachable)
{
    readConfig();
    storeDown = true;
    const TimePoint before = loop->now();
    const HttpResponse answer = send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(503, answer.status);
    CHECK_TRUE(loop->now() - before < Duration(100));
    STRCMP_EQUAL("1", headerValue(answer.headers, "Retry-After").c_str());
}

// Guards against ids that can't be part of a task's name or of a row's key: workers' lists would name a task that no daemon recognizes.
TEST(JobApi, RefusesATextThatIsNoJobId)
{
    readConfig();
    CHECK_EQUAL(400, send("POST", "/a/b/j1.cancel", "good", "job").status);
    CHECK_EQUAL(410, send("GET", "/a/b/j1.cancel", "good").status);
    CHECK_EQUAL(410, send("DELETE", "/a/b/j1.cancel", "good").status);
    CHECK_TRUE(store.rows.size() == 1); // The configuration.
}

// Guards against a job that is refused only at its deadline, because the store refuses its row again and again.
TEST(JobApi, RefusesAJobThatDoesNotFitIntoARowAtOnce)
{
    readConfig();
    const TimePoint sent = loop->now();
    CHECK_EQUAL(400, send("POST", "/a/b/j1", "good", std::string(maxRowBytes, 'x')).status);
    CHECK_TRUE(loop->now() - sent < Duration(200));
}

// Guards against requests of one workspace that occupy the daemon while the leader and the store are slow, so that no other workspace is served.
TEST(JobApi, RefusesRequestsBeyondTheShareOfAWorkspaceAtOnce)
{
    JobApiSettings settings;
    settings.workspaceShare.maxRequests = 2;
    makeJobApi(settings);
    readConfig();
    const auto first = begin("GET", "/a/b/j0", "good");
    const auto second = begin("GET", "/a/b/j1", "good");
    const auto beyond = begin("POST", "/a/b/j9", "good", "job");
    CHECK_TRUE(beyond->isDone());
    CHECK_EQUAL(429, answers.back().status);
    STRCMP_EQUAL("1", headerValue(answers.back().headers, "Retry-After").c_str());
    CHECK_FALSE(begin("GET", "/a/b/j1", "theirs")->isDone());
    runEventLoop(Duration(100));
    CHECK_EQUAL(200, send("POST", "/a/b/j9", "good", "job").status);
}

// Guards against a share that callers evade by closing their connections while their requests still wait for the store.
TEST(JobApi, RequestsOfCallersWhoHaveLeftCountTowardTheShare)
{
    JobApiSettings settings;
    settings.workspaceShare.maxRequests = 1;
    makeJobApi(settings);
    readConfig();
    begin("GET", "/a/b/j1", "good")->disconnect();
    CHECK_TRUE(begin("GET", "/a/b/j2", "good")->isDone());
    CHECK_EQUAL(429, answers.back().status);
}

// Guards against a caller's deadline of an hour, until when its request would hold a connection to a store that does not answer.
TEST(JobApi, ALaterDeadlineThanTheLongestRequestIsNotUsed)
{
    JobApiSettings settings;
    settings.maxRequestTime = Duration(200);
    makeJobApi(settings);
    readConfig();
    store.writeOutcomes = std::vector<StoreOutcome>(1000, StoreOutcome::NotApplied);
    const TimePoint sent = loop->now();
    CHECK_EQUAL(503, send("POST", "/a/b/j1", "good", "job").status);
    CHECK_TRUE(loop->now() - sent < Duration(500)); // The caller states 800 ms.
}
