// End-to-end tests with a platform, four workers and three daemons as real processes, real signals and real clocks.
#include "fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <limits>
#include <thread>

using namespace KingCupLadder;
using namespace KingCupLadder::ProcessTest;

namespace {

// Covers the lease term of 4 s, the margin of 1 s, the claim by the new owner and its first worker inventory.
constexpr Millis takeoverTimeout{20000};
constexpr Millis jobTimeout{10000};
constexpr Millis withdrawalTimeout{5000}; // A withdrawn key stops working within timeouts.keyBound, 5 s by default (invariant I3).
constexpr Millis restartTimeout{10000};
constexpr Millis stopTimeout{20000};

/// Describes the number of task indexes that succeeded, the number of starts and whether an index succeeded twice.
std::string outcomeSummary(const std::vector<Json> &tasks)
{
    std::map<int, int> succeeded;
    for (const Json &task : tasks) {
        if (task.at("outcome") == "succeeded") {
            ++succeeded[task.at("index").get<int>()];
        }
    }
    const bool twice = std::any_of(succeeded.begin(), succeeded.end(), [](const auto &entry) { return entry.second > 1; });
    return std::to_string(succeeded.size()) + " succeeded of " + std::to_string(tasks.size()) + " started" + (twice ? ", one of them twice" : "");
}

bool ranConcurrently(const std::vector<Json> &tasks)
{
    std::int64_t lastStart = 0;
    std::int64_t firstEnd = std::numeric_limits<std::int64_t>::max();
    for (const Json &task : tasks) {
        lastStart = std::max(lastStart, task.at("startedMs").get<std::int64_t>());
        firstEnd = std::min(firstEnd, task.at("endedMs").get<std::int64_t>());
    }
    return lastStart < firstEnd;
}

/// Sends requests sequentially from each of several threads until it is stopped or destroyed.
class RequestLoad
{
public:
    RequestLoad(const ProcessFleet &fleet, std::size_t daemon, int threads, int requestMs)
    {
        for (int i = 0; i < threads; ++i) {
            m_threads.emplace_back([this, &fleet, daemon, requestMs] { run(fleet, daemon, requestMs); });
        }
    }
    ~RequestLoad()
    {
        stop();
    }
    RequestLoad(const RequestLoad &) = delete;
    RequestLoad &operator=(const RequestLoad &) = delete;

    void stop()
    {
        m_stopping = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }
    [[nodiscard]] int served() const
    {
        return m_served;
    }
    /// Number of requests that were neither served nor refused as "not run".
    [[nodiscard]] int interrupted() const
    {
        return m_interrupted;
    }

private:
    void run(const ProcessFleet &fleet, std::size_t daemon, int requestMs)
    {
        while (!m_stopping) {
            const HttpResult result = fleet.requestAsTeam(daemon, "POST", "/app/roster?ms=" + std::to_string(requestMs), "x");
            const bool refused = result.json().value("ran", "") == "not run";
            if (result.status == 200) {
                ++m_served;
            } else if (refused || !result.connected) {
                return; // The daemon no longer accepts requests.
            } else {
                ++m_interrupted;
            }
        }
    }

    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_served{0};
    std::atomic<int> m_interrupted{0};
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_GROUP(Process)
{
    ProcessFleet *fleet = nullptr;
    void setup() override
    {
        // All tests share one fleet, because starting a new one includes initial shard claims and elections.
        static ProcessFleet shared;
        fleet = &shared;
        static const std::string failure = shared.start();
        STRCMP_EQUAL("", failure.c_str());
        STRCMP_EQUAL("", fleet->restore().c_str());
    }
    void teardown() override
    {
        if (fleet == nullptr) {
            return; // setup() has failed and reported why.
        }
        fleet->setPlatformFault("none");
        STRCMP_EQUAL("[]", fleet->violations().dump().c_str());
    }
    void expectState(std::size_t daemon, const std::string &id, const std::string &state, Millis maxWait)
    {
        std::string last;
        (void)waitFor(
            [&] {
                last = fleet->jobState(daemon, id);
                return last == state;
            },
            maxWait);
        if (last != state) {
            UT_PRINT(fleet->requestAsOperator(daemon, "GET", "/v1/status?scope=fleet&topic=explain/guides:" + id).body.c_str());
            UT_PRINT(fleet->requestAsOperator(daemon, "GET", "/v1/status?scope=fleet&topic=vms").body.c_str());
        }
        STRCMP_EQUAL(state.c_str(), last.c_str());
    }
    /// Submits a job and waits until all its tasks have started. Returns the index of the daemon that owns its shard.
    std::size_t startJob(const std::string &id, int tasks, int runMs)
    {
        LONGS_EQUAL(202, fleet->submit(0, id, "evening", tasks, runMs).status);
        CHECK_TRUE(waitFor([&] { return fleet->tasksOf(id).size() == static_cast<std::size_t>(tasks); }, jobTimeout));
        const std::string shard = fleet->requestAsTeam(0, "GET", "/v1/jobs/" + id).json().value("shard", "");
        const auto owner = fleet->ownerOf(0, shard);
        CHECK_TRUE(owner.has_value());
        return *owner;
    }
    std::size_t otherDaemon(std::size_t daemon) const
    {
        return (daemon + 1) % fleet->daemons.size();
    }
    HttpResult applyTables(std::size_t daemon, std::int64_t expected, const std::string &comment) const
    {
        return fleet->requestAsOperator(
            daemon, "PUT", "/v1/tables", {{"expected", expected}, {"routes", std::string(routesYaml) + comment}, {"pools", poolsYaml}});
    }
};

// Guards against a job that is accepted but never finishes because HTTP API, store, shards and workers do not fit together.
TEST(Process, RunsABatchJobToItsEnd)
{
    LONGS_EQUAL(202, fleet->submit(0, "plain", "evening", 3, 300).status);
    expectState(1, "plain", "succeeded", jobTimeout);
    STRCMP_EQUAL("3 succeeded of 3 started", outcomeSummary(fleet->tasksOf("plain")).c_str());
}

// Guards against a gang whose tasks do not run concurrently, because they are placed one by one as single tasks are.
TEST(Process, RunsAllTasksOfAGangAtOnce)
{
    LONGS_EQUAL(202, fleet->submit(0, "gang", "reckoning", 4, 1000).status);
    expectState(0, "gang", "succeeded", jobTimeout);
    STRCMP_EQUAL("4 succeeded of 4 started", outcomeSummary(fleet->tasksOf("gang")).c_str());
    CHECK_TRUE(ranConcurrently(fleet->tasksOf("gang")));
}

// Guards against a caller that receives the response to another request, through a shard owner or through a forwarding daemon.
TEST(Process, AnswersARequestThroughEveryDaemon)
{
    for (std::size_t i = 0; i < fleet->daemons.size(); ++i) {
        const HttpResult result = fleet->requestAsTeam(i, "POST", "/app/roster/group", "body " + std::to_string(i));
        LONGS_EQUAL(200, result.status);
        STRCMP_EQUAL(("body " + std::to_string(i)).c_str(), result.json().value("body", "").c_str());
        STRCMP_EQUAL(result.requestId.c_str(), result.json().value("requestId", "none").c_str());
    }
}

// Guards against refusing a team's first request, while nothing runs, because it arrives at a daemon that owns no shard. When the
// shard owner refuses a request that a peer forwarded, it has to increase the team's allotment.
TEST(Process, ServesTheFirstRequestOfATeamThroughADaemonWithoutShards)
{
    std::size_t daemon = 0;
    while (fleet->ownerOf(0, "cell/north/0") == daemon || fleet->ownerOf(0, "cell/south/0") == daemon) {
        ++daemon;
    }
    CHECK_TRUE(daemon < fleet->daemons.size());
    LONGS_EQUAL(200, http(fleet->daemons[daemon].httpAddress, {"GET", "/app/visit/tent", {}, {}}).status);
}

// Guards against tasks that are lost or run again after the daemon that placed them crashes, and against a daemon that cannot
// restart under the same id.
TEST(Process, FinishesAJobOnceAfterItsOwnerIsKilled)
{
    const std::size_t owner = startJob("killed", 4, 3000);
    fleet->daemons[owner].process->signal(SIGKILL);
    expectState(otherDaemon(owner), "killed", "succeeded", takeoverTimeout);
    STRCMP_EQUAL("4 succeeded of 4 started", outcomeSummary(fleet->tasksOf("killed")).c_str());
    fleet->startDaemon(owner);
    CHECK_TRUE(waitFor([&] { return fleet->isReady(owner); }, restartTimeout));
}

// Guards against a paused shard owner whose delayed commands start a task that its successor has already started elsewhere.
TEST(Process, RunsNoTaskTwiceAfterItsOwnerWasPaused)
{
    const std::size_t owner = startJob("paused", 4, 3000);
    const std::string shard = fleet->requestAsTeam(otherDaemon(owner), "GET", "/v1/jobs/paused").json().value("shard", "");
    fleet->daemons[owner].process->signal(SIGSTOP);
    const bool taken = waitFor(
        [&] {
            const auto now = fleet->ownerOf(otherDaemon(owner), shard);
            return now && *now != owner;
        },
        takeoverTimeout);
    fleet->daemons[owner].process->signal(SIGCONT);
    CHECK_TRUE(taken);
    expectState(otherDaemon(owner), "paused", "succeeded", takeoverTimeout);
    // The daemon may refuse jobs as not run until it notices that it lost its shards; then it has to accept them.
    CHECK_TRUE(waitFor([&] { return fleet->submit(owner, "after-pause", "evening", 2, 100).status / 100 == 2; }, takeoverTimeout));
    expectState(owner, "after-pause", "succeeded", takeoverTimeout);
    STRCMP_EQUAL("4 succeeded of 4 started", outcomeSummary(fleet->tasksOf("paused")).c_str());
}

// Guards against a platform outage that interrupts requests, and against a job that runs although it was reported as not run.
TEST(Process, ServesRequestsAndRefusesJobsWhileThePlatformIsDown)
{
    const auto serves = [&](std::size_t daemon) { return http(fleet->daemons[daemon].httpAddress, {"POST", "/app/booking/tent", "x", {}}).status == 200; };
    // An allotment grows only after its row is stored, so only teams with requests before the outage are served during it.
    CHECK_TRUE(waitFor([&] { return int(serves(0)) + int(serves(1)) + int(serves(2)) == 3; }, takeoverTimeout));
    fleet->setPlatformFault("down");
    const HttpResult submitted = fleet->submit(0, "outage", "evening", 1, 100);
    const std::string ran = submitted.json().value("ran", "");
    CHECK_TRUE(submitted.status >= 500);
    CHECK_TRUE(ran == "unknown" || ran == "not run");
    for (std::size_t i = 0; i < fleet->daemons.size(); ++i) {
        CHECK_TRUE(serves(i));
    }
    fleet->setPlatformFault("none");
    CHECK_TRUE(waitFor([&] { return fleet->submit(1, "after-outage", "evening", 1, 100).status / 100 == 2; }, takeoverTimeout));
    expectState(1, "after-outage", "succeeded", takeoverTimeout);
    if (ran == "not run") {
        LONGS_EQUAL(0, fleet->tasksOf("outage").size());
    }
}

// Guards against a graceful shutdown that closes connections with requests in progress, or that never completes because it waits for
// requests that keep arriving.
TEST(Process, InterruptsNoRequestWhenADaemonStops)
{
    RequestLoad load(*fleet, 1, 4, 100);
    CHECK_TRUE(waitFor([&] { return load.served() >= 20; }, jobTimeout));
    fleet->daemons[1].process->signal(SIGTERM);
    const auto code = fleet->daemons[1].process->exitCode(stopTimeout);
    load.stop();
    LONGS_EQUAL(0, load.interrupted());
    CHECK_TRUE(code.has_value());
    LONGS_EQUAL(0, *code);
}

// Guards against a daemon that continues to accept a withdrawn key, because it does not learn of the withdrawal from the daemon that
// executed it.
TEST(Process, WithdrawnKeyStopsWorkingAtEveryDaemon)
{
    const std::string secret = fleet->requestAsOperator(0, "POST", "/v1/keys", {{"team", "guides"}, {"id", "short-lived"}}).json().value("secret", "");
    const auto status = [&](std::size_t daemon) { return http(fleet->daemons[daemon].httpAddress, {"GET", "/app/roster/x", {}, secret}).status; };
    for (std::size_t i = 0; i < fleet->daemons.size(); ++i) {
        CHECK_TRUE(waitFor([&] { return status(i) == 200; }, withdrawalTimeout));
    }
    LONGS_EQUAL(200, fleet->requestAsOperator(0, "DELETE", "/v1/keys/short-lived").status);
    CHECK_TRUE(waitFor([&] { return status(0) == 401 && status(1) == 401 && status(2) == 401; }, withdrawalTimeout));
}

// Guards against two concurrent table updates that are both accepted, so that the later one overwrites the other unseen.
TEST(Process, AcceptsOnlyOneOfTwoConcurrentTableUpdates)
{
    const std::int64_t version = fleet->requestAsOperator(0, "GET", "/v1/tables").json().value("version", -1);
    HttpResult second;
    std::thread other([&] { second = applyTables(2, version, "# second\n"); });
    const HttpResult first = applyTables(0, version, "# first\n");
    other.join();
    LONGS_EQUAL(200, std::min(first.status, second.status));
    LONGS_EQUAL(409, std::max(first.status, second.status));
    const std::string winner = first.status == 200 ? "# first" : "# second";
    CHECK_TRUE(waitFor([&] { return fleet->requestAsOperator(1, "GET", "/v1/tables").json().value("routes", "").find(winner) != std::string::npos; },
                       withdrawalTimeout));
}
