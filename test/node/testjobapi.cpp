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
    CellStorage rows{*loop, store};
    PlatformCodec translation;
    std::unique_ptr<ConfigWatcher> config;
    std::unique_ptr<JobApi> desk;
    CellWire::Admission admission = CellWire::ADMITTED;
    bool leaderAnswers = true;
    bool storeDown = false;
    int notices = 0;
    std::map<RouteName, int> queued;

    void setup() override
    {
        translation.parseHeaders = [](const HttpRequest &request) {
            CallerHeaders head;
            head.host = headerValue(request.headers, "Host");
            head.key = headerValue(request.headers, "Key");
            head.patience = Duration(800);
            return head;
        };
        translation.decodeJob = [](const std::string &body) -> Result<CellJob> {
            if (body != "job") {
                return Error{ErrorKind::InvalidInput, "not a job", "send one"};
            }
            CellJob job;
            job.steps.resize(1);
            return job;
        };
        translation.encodeState = [](CellJobState state) { return std::string(toString(state)); };
        translation.encodeQueued = [](int count) { return std::to_string(count); };
        translation.encodeError = [](const Error &error) { return error.message; };
        translation.decodeConfig = fakeConfig;
        translation.configTable = "op";
        translation.configKey = "config";
        CellAccess leader;
        leader.ask = [this](const PeerMessaging::Envelope &question, Duration, const PeerMessaging::AnswerCallback &callback) {
            loop->defer([this, question, callback] { answer(question, callback); });
        };
        leader.isStoreDown = [this] { return storeDown; };
        leader.queued = [this](Duration) { return leaderAnswers ? &queued : nullptr; };
        ConfigWatcherSettings following;
        following.maxConfigAge = Duration(400);
        config = std::make_unique<ConfigWatcher>(*loop, store, translation, following, [](const std::shared_ptr<const CellConfig> &) {});
        desk = std::make_unique<JobApi>(*loop, JobApiSettings(), translation, *config, rows, leader);
    }

    void answer(const PeerMessaging::Envelope &question, const PeerMessaging::AnswerCallback &callback)
    {
        if (!leaderAnswers) {
            callback(nullptr);
            return;
        }
        PeerMessaging::Envelope reply;
        if (question.has_submit_job()) {
            reply.mutable_submit_reply()->set_admission(admission);
            reply.mutable_submit_reply()->set_retry_after_ms(2500);
        } else if (question.has_state_query()) {
            reply.mutable_state_reply()->set_state(CellWire::UNKNOWN_STATE);
        } else {
            ++notices;
            reply.mutable_acknowledgement();
        }
        callback(&reply);
    }

    void readConfig(const std::string &bytes = "config one")
    {
        store.put(RowKey{"op", {}, "config"}, bytes);
        config->start();
        spin(Duration(20));
    }

    void spin(Duration span)
    {
        const TimePoint until = loop->now() + span;
        const auto timer = EventWatch::repeating(*loop, Duration(2), [] {});
        while (loop->now() < until) {
            loop->runOnce();
        }
    }

    HttpResponse send(const std::string &method, const std::string &path, const std::string &key, const std::string &body = std::string())
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.target = path;
        request.headers = {{"Host", "desk.example"}, {"Key", key}};
        request.body = body;
        request.arrival = loop->now();
        HttpResponse answer;
        answer.status = 0;
        const auto call = std::make_shared<HttpCall>(request, [&answer](const HttpResponse &response) { answer = response; });
        desk->handle(call);
        const TimePoint giveUp = loop->now() + Duration(2000);
        while (!call->isDone() && loop->now() < giveUp) {
            spin(Duration(4));
        }
        return answer;
    }
};

// Guards against an answer from a daemon that knows no routes yet.
TEST(JobApi, RefusesAsUnavailableWithoutAConfiguration)
{
    CHECK_EQUAL(503, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against a job that is acknowledged before it is stored.
TEST(JobApi, StoresAJobBeforeItIsAcknowledged)
{
    readConfig();
    CHECK_EQUAL(200, send("POST", "/a/b/j1", "good", "job").status);
    CHECK_TRUE(store.has("jobs", "j1"));
    CHECK_EQUAL(1, notices);
}

// Guards against work that runs for nobody.
TEST(JobApi, RefusesAnUnknownKey)
{
    readConfig();
    CHECK_EQUAL(401, send("POST", "/a/b/j1", "bad", "job").status);
    CHECK_FALSE(store.has("jobs", "j1"));
}

// Guards against the loss of jobs while no daemon leads.
TEST(JobApi, AdmitsJobsWhileThereIsNoLeader)
{
    readConfig();
    leaderAnswers = false;
    CHECK_EQUAL(200, send("POST", "/a/b/j1", "good", "job").status);
    CHECK_TRUE(store.has("jobs", "j1"));
}

// Guards against a refused job that is stored all the same and runs.
TEST(JobApi, DoesNotStoreAJobThatTheLeaderRefuses)
{
    readConfig();
    admission = CellWire::REFUSED_LIMIT;
    const HttpResponse answer = send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(429, answer.status);
    STRCMP_EQUAL("3", headerValue(answer.headers, "Retry-After").c_str());
    CHECK_FALSE(store.has("jobs", "j1"));
}

// Guards against a withdrawn key that works on because the store is away.
TEST(JobApi, StopsTrustingKeysWhenTheConfigurationIsNotConfirmed)
{
    readConfig();
    store.script = std::vector<StoreOutcome>(1000, StoreOutcome::NotApplied);
    spin(Duration(500));
    CHECK_EQUAL(503, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against a withdrawn key that works on after the configuration without it is known.
TEST(JobApi, RefusesAKeyThatWasTakenAway)
{
    readConfig();
    store.put(RowKey{"op", {}, "config"}, "config without keys");
    spin(Duration(200));
    CHECK_EQUAL(401, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against "gone" for a job that is stored but that the leader has not heard of.
TEST(JobApi, LooksIntoTheStoreForAJobThatTheLeaderDoesNotKnow)
{
    readConfig();
    (void)send("POST", "/a/b/j1", "good", "job");
    STRCMP_EQUAL("pending", send("GET", "/a/b/j1", "good").body.c_str());
    CHECK_EQUAL(410, send("GET", "/a/b/j2", "good").status);
}

// Guards against a workspace that reads the jobs of another.
TEST(JobApi, HidesJobsOfOtherWorkspaces)
{
    readConfig();
    (void)send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(410, send("GET", "/a/b/j1", "theirs").status);
    CHECK_EQUAL(410, send("DELETE", "/a/b/j1", "theirs").status);
}

// Guards against a cancellation that is forgotten.
TEST(JobApi, StoresACancellationBeforeItIsAcknowledged)
{
    readConfig();
    (void)send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(200, send("DELETE", "/a/b/j1", "good").status);
    CHECK_TRUE(store.has("jobs", "j1.cancel"));
}

// Guards against a count of nothing while nobody can count.
TEST(JobApi, CountsAQueueOnlyWithFreshNumbers)
{
    readConfig();
    queued[RouteName("batch")] = 12;
    STRCMP_EQUAL("12", send("GET", "/a/b/", "good").body.c_str());
    leaderAnswers = false;
    CHECK_EQUAL(503, send("GET", "/a/b/", "good").status);
}

// Guards against a claim "not run" while the lost write may take effect.
TEST(JobApi, AnswersWithAGatewayTimeoutWhenTheWriteIsInDoubt)
{
    readConfig();
    store.writeScript = {StoreOutcome::Unknown};
    store.writeScript.insert(store.writeScript.end(), 1000, StoreOutcome::NotApplied);
    CHECK_EQUAL(504, send("POST", "/a/b/j1", "good", "job").status);
}

// Guards against callers that wait until their deadline for a store that is known to be away.
TEST(JobApi, RefusesJobsAtOnceWhileTheStoreIsAway)
{
    readConfig();
    storeDown = true;
    const TimePoint before = loop->now();
    const HttpResponse answer = send("POST", "/a/b/j1", "good", "job");
    CHECK_EQUAL(503, answer.status);
    CHECK_TRUE(loop->now() - before < Duration(100));
    STRCMP_EQUAL("1", headerValue(answer.headers, "Retry-After").c_str());
}
