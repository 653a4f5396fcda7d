// Starts the daemon and observes its process.
#include "limitedcell.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace KingCupLadder::LimitsTest {

namespace {

constexpr Duration tickInterval{5};
constexpr Duration sampleInterval{25};
constexpr Duration attemptTimeout{3000};
constexpr Duration attemptPause{100};
constexpr int maxAttempts = 100; // Bounds a failing test; a passing one needs few, except while the daemon starts.
constexpr int workers = 2;
constexpr Duration maxStopTime{30000}; // The settings end the drain after 5.2 s; the rest is for a slow machine.
const char host[] = "desk.example";
const char key[] = "limits-key";
const char crowdKey[] = "crowd-key"; // Of another workspace than the ordinary caller's.

} // namespace

LimitedCell::LimitedCell(const CellLimits &limits) : m_loop(std::move(EventLoop::create()).value()), m_checker(*m_loop)
{
    const auto freeAddress = [] { return ProcessTest::freeAddress(); };
    const char *build = std::getenv("LADDER_BUILD_DIR");
    const std::string buildDirectory = build != nullptr ? build : "build";
    m_directory = buildDirectory + "/limits-test";
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    const std::string storeAddress = freeAddress();
    const std::string policyAddress = freeAddress();
    m_callerAddress = freeAddress();
    m_readyAddress = freeAddress();
    // The daemon serves peers on the first and metrics on the second port of a range.
    do {
        m_peerAddress = m_metricsAddress.empty() ? freeAddress() : m_metricsAddress;
        m_metricsAddress = freeAddress();
    } while (parseSocketAddress(m_metricsAddress)->port != parseSocketAddress(m_peerAddress)->port + 1);
    m_store = std::make_unique<SoakTest::FakeStoreServer>(*m_loop, storeAddress);
    m_workers = std::make_unique<SoakTest::FakeWorkerServers>(*m_loop, m_checker, *m_store, workers, freeAddress, 1);
    m_workers->isInTouch = [](Epoch) { return true; };
    m_workers->isLinkCalm = [](const std::string &) { return true; };
    m_workers->onCrash = [](const std::string &) {};
    m_policy = std::make_unique<SoakTest::FakePolicyServer>(*m_loop, policyAddress, *m_workers);
    ConnectionPoolSettings pool;
    pool.probeSuspects = false;
    m_clients = std::make_unique<ConnectionPools>(*m_loop, pool);
    writeConfig(1, 16UL * 1024, 1024UL * 1024);
    writeSettings(storeAddress, policyAddress, limits);
    m_timer = EventWatch::repeating(*m_loop, tickInterval, [this] {
        m_workers->tick();
        if (m_use && m_nextSample <= m_loop->now()) {
            m_use->sample();
            m_nextSample = m_loop->now() + sampleInterval;
        }
    });
    m_daemon = std::make_unique<ProcessTest::Process>(
        std::vector<std::string>{buildDirectory + "/platform/kingcupladder-node", "--boot", m_directory + "/settings.json"}, m_directory + "/daemon.log");
    m_use = std::make_unique<ProcessUse>(m_daemon->pid(), listenerAddresses());
}

LimitedCell::~LimitedCell() = default;

void LimitedCell::writeConfig(int version, std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
{
    const nlohmann::json route = {{"name", "jobs"},
                                  {"host", host},
                                  {"path_prefix", "/jobs/"},
                                  {"backend", "desk"},
                                  {"priority", 1},
                                  {"attempts", 50},
                                  {"stretch", 20},
                                  {"target_latency_ms", 20000},
                                  {"advice", {{"decision_ms", 10}, {"period_ms", 0}, {"validity_ms", 1500}}}};
    const nlohmann::json callerLimits = {
        {"max_header_bytes", maxHeaderBytes}, {"max_body_bytes", maxBodyBytes}, {"header_timeout_ms", 2000}, {"idle_timeout_ms", 10000}};
    const auto tenant = [](const char *name, const char *apiKey) {
        return nlohmann::json({{"name", name}, {"api_keys", {apiKey}}, {"weight", 1000}, {"maximum", nlohmann::json::object()}});
    };
    const nlohmann::json config = {{"version", version},
                                   {"routes", {route}},
                                   {"services", {{{"name", "desk"}, {"enforces_capacity", false}}}},
                                   {"tenants", {tenant("museum", key), tenant("school", crowdKey)}},
                                   {"limits", callerLimits}};
    m_store->rows.put(RowKey{"op", {}, "config"}, config.dump());
}

void LimitedCell::writeSettings(const std::string &storeAddress, const std::string &policyAddress, const CellLimits &limits) const
{
    const auto peer = parseSocketAddress(m_peerAddress);
    const nlohmann::json bounds = {{"max_hold_ms", SoakTest::FakeWorkerServers::longestLease.count()},
                                   {"contact_ms", SoakTest::soakContact.count()},
                                   {"revoke_ms", 5000},
                                   {"grace_s", 6},
                                   {"status_s", 120}};
    const nlohmann::json settings = {{"node", "entry-0"},
                                     {"ip", peer->host},
                                     {"zone", "a"},
                                     {"listen_addrs", {{"frontend_addr", m_callerAddress}, {"readiness_addr", m_readyAddress}}},
                                     {"internal_ports", {peer->port, peer->port + 1}},
                                     {"limits", {{"cpu_share", 0.5}, {"cores", 1}, {"memory_mb", limits.memoryMb}, {"max_fds", limits.descriptors}}},
                                     {"heartbeat_ms", SoakTest::soakHeartbeat.count()},
                                     {"bounds", bounds},
                                     {"advice", policyAddress},
                                     {"platform", {{"address", storeAddress}, {"writes_per_s", 600}, {"part_writes_per_s", 200}}}};
    std::ofstream(m_directory + "/settings.json") << settings.dump();
}

EventLoop &LimitedCell::loop()
{
    return *m_loop;
}

const std::string &LimitedCell::callerAddress() const
{
    return m_callerAddress;
}

const std::string &LimitedCell::readyAddress() const
{
    return m_readyAddress;
}

const std::string &LimitedCell::metricsAddress() const
{
    return m_metricsAddress;
}

ClientResult LimitedCell::answerOf(const std::string &address, const ClientRequest &request)
{
    std::optional<ClientResult> answer;
    (void)m_clients->pool(address).send(request, [&answer](const ClientResult &result) { answer = result; });
    while (!answer) {
        m_loop->runOnce();
    }
    return *answer;
}

bool LimitedCell::submitsJob()
{
    std::string number = std::to_string(++m_lastJob);
    const std::string id = std::string(16 - number.size(), 'a') + number;
    const nlohmann::json step = {{"count", 1}, {"cpu", 500}, {"mem_mb", 100}, {"estimate_ms", 100}};
    ClientRequest request;
    request.method = "POST";
    request.target = "/jobs/" + id;
    request.headers = {{"Authorization", std::string("Bearer ") + key},
                       {"Content-Type", "application/json"},
                       {"X-Deadline-Ms", std::to_string(attemptTimeout.count())},
                       {"Host", host}};
    request.body = nlohmann::json({{"spec", "ordinary"}, {"steps", {step}}}).dump();
    request.timeout = attemptTimeout;
    CellJob job;
    job.id = JobId(id);
    job.payload = "ordinary";
    job.steps.emplace_back();
    m_checker.recordSent(job);
    for (int attempt = 0; attempt < maxAttempts && isDaemonRunning(); ++attempt) {
        const ClientResult result = answerOf(m_callerAddress, request);
        if (result.kind == ClientResult::Kind::Answered && result.response.status >= httpOk && result.response.status < 300) {
            return true;
        }
        runFor(attemptPause);
    }
    return false;
}

void LimitedCell::runFor(Duration length)
{
    const TimePoint until = m_loop->now() + length;
    while (m_loop->now() < until) {
        m_loop->runOnce();
    }
}

bool LimitedCell::isDaemonRunning() const
{
    return m_daemon->isRunning();
}

const std::string &LimitedCell::peerAddress() const
{
    return m_peerAddress;
}

std::set<std::string> LimitedCell::listenerAddresses() const
{
    return {m_callerAddress, m_readyAddress, m_metricsAddress, m_peerAddress};
}

void LimitedCell::lowerRequestLimits()
{
    writeConfig(2, 2UL * 1024, 4UL * 1024);
}

void LimitedCell::delayStore(Duration delay)
{
    m_store->extraDelay = delay;
}

std::optional<int> LimitedCell::stopDaemon()
{
    m_daemon->signal(SIGTERM);
    const TimePoint end = m_loop->now() + maxStopTime;
    while (isDaemonRunning() && m_loop->now() < end) {
        m_loop->runOnce();
    }
    return m_daemon->exitCode(ProcessTest::Millis(100));
}

const ProcessUse &LimitedCell::use() const
{
    return *m_use;
}

std::string LimitedCell::metrics()
{
    ClientRequest metricsRequest;
    metricsRequest.target = "/metrics";
    return answerOf(m_metricsAddress, metricsRequest).response.body;
}

std::size_t LimitedCell::logBytes() const
{
    return static_cast<std::size_t>(std::filesystem::file_size(m_directory + "/daemon.log"));
}

} // namespace KingCupLadder::LimitsTest
