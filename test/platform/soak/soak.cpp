// Faults, callers and the order of events of a soak.
#include "soak.h"

#include "jsonvalue.h"
#include "platformcodec.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace KingCupLadder::SoakTest {

namespace {

constexpr Duration tickInterval{5};
constexpr Duration callerPatience{3000};
constexpr Duration jobInterval{45};
constexpr Duration lookInterval{25};
constexpr Duration settleTime{2500}; // Daemons elect a leader and read the configuration.
constexpr int attemptsOfACaller = 5;
const char host[] = "desk.example";
const char key[] = "soak-key";

/// A job body as callers send it: quick tasks, a wide step after another, or a gang.
nlohmann::json jobBody(int kind, const std::string &payload)
{
    const nlohmann::json small = {{"count", 2}, {"cpu", 500}, {"mem_mb", 100}, {"estimate_ms", 300}};
    nlohmann::json wide = {{"count", 5}, {"cpu", 800}, {"mem_mb", 100}, {"estimate_ms", 500}};
    nlohmann::json steps = nlohmann::json::array({small});
    if (kind == 1) {
        wide["after"] = {0};
        steps.push_back(wide);
    } else if (kind == 2) {
        wide["gang"] = true;
        steps = nlohmann::json::array({wide});
    }
    return {{"spec", payload}, {"steps", steps}};
}

} // namespace

Soak::Soak(const SoakSettings &settings) : m_settings(settings), m_random(settings.seed), m_loop(std::move(EventLoop::create()).value()), m_book(*m_loop)
{
    const auto freeAddress = [] { return ProcessTest::freeAddress(); };
    const std::string storeAddress = freeAddress();
    const std::string policyAddress = freeAddress();
    m_store = std::make_unique<FakeStoreServer>(*m_loop, storeAddress);
    m_workers = std::make_unique<FakeWorkerServers>(*m_loop, m_book, *m_store, settings.workers, freeAddress);
    m_policy = std::make_unique<FakePolicyServer>(*m_loop, policyAddress, *m_workers);
    ConnectionPoolSettings pool;
    pool.probeSuspects = false;
    m_clients = std::make_unique<ConnectionPools>(*m_loop, pool);
    m_delayed = std::make_unique<DelayedCalls>(*m_loop);
    std::filesystem::create_directories(settings.folder);
    for (int i = 0; i < settings.daemons; ++i) {
        Daemon &daemon = m_daemons.emplace_back();
        daemon.id = "entry-" + std::to_string(i);
        daemon.callers = freeAddress();
        daemon.storeLink = std::make_unique<FaultProxy>(*m_loop, freeAddress(), storeAddress);
        daemon.callerLink = std::make_unique<FaultProxy>(*m_loop, freeAddress(), daemon.callers);
        daemon.settingsFile = settings.folder + "/" + daemon.id + ".json";
        const std::string peers = freeAddress();
        const int port = parseSocketAddress(peers)->port;
        const nlohmann::json boot = {
            {"node", daemon.id},
            {"ip", parseSocketAddress(peers)->host},
            {"zone", i % 2 == 0 ? "a" : "b"},
            {"listen_addrs", {{"frontend_addr", daemon.callers}, {"readiness_addr", freeAddress()}}},
            {"internal_ports", {port, port}},
            {"limits", {{"cpu_share", 0.5}, {"cores", 1}}},
            {"heartbeat_ms", 500},
            {"bounds", {{"max_hold_ms", FakeWorkerServers::longestLease.count()}, {"revoke_ms", 5000}, {"grace_s", 6}, {"status_s", 120}}},
            {"advice", policyAddress},
            {"platform", {{"address", daemon.storeLink->address()}, {"writes_per_s", 600}, {"part_writes_per_s", 200}}}};
        std::ofstream(daemon.settingsFile) << boot.dump();
    }
}

Soak::~Soak() = default;

int Soak::pick(int below)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(below));
}

Duration Soak::span(int least, int most)
{
    return Duration(least + pick(most - least + 1));
}

void Soak::note(const std::string &fault)
{
    m_faults.push_back(std::to_string((m_loop->now() - m_begun).count()) + " ms: " + fault);
}

void Soak::writeConfig()
{
    ++m_configVersion;
    const auto route = [](const std::string &name) {
        return nlohmann::json{{"name", name},
                              {"host", host},
                              {"path_prefix", "/" + name + "/"},
                              {"backend", "desk"},
                              {"priority", 1},
                              {"attempts", 50}, // Workers that fail everything use up some attempts.
                              {"stretch", 20},
                              {"target_latency_ms", 20000},
                              {"advice", {{"decision_ms", 10}, {"period_ms", 0}, {"validity_ms", 1500}}}};
    };
    nlohmann::json config = {{"version", m_configVersion}, {"routes", {route("jobs")}}, {"services", {{{"name", "desk"}, {"enforces_capacity", false}}}}};
    config["routes"].push_back(route("other" + std::to_string(m_configVersion)));
    config["tenants"] = {{{"name", "museum"}, {"api_keys", {key}}, {"weight", 1000}, {"maximum", nlohmann::json::object()}}};
    m_store->rows.put(RowKey{"op", {}, "config"}, config.dump());
}

void Soak::startDaemon(Daemon &daemon)
{
    daemon.process = std::make_unique<ProcessTest::Process>(std::vector<std::string>{m_settings.program, "--boot", daemon.settingsFile},
                                                            m_settings.folder + "/" + daemon.id + ".log");
}

std::string Soak::callerAddress()
{
    return std::next(m_daemons.begin(), pick(m_settings.daemons))->callerLink->address();
}

void Soak::submitJob()
{
    std::string text = std::to_string(++m_lastJob);
    const JobId id(std::string(16 - text.size(), 'a') + text);
    const std::string body = jobBody(pick(4), "payload of " + text).dump();
    m_bodies[id] = body;
    m_jobs.push_back(id);
    attempt(id, attemptsOfACaller);
}

void Soak::attempt(const JobId &id, int left)
{
    CellJob job = std::move(decodeJobBody(m_bodies.at(id))).value();
    job.id = id;
    m_book.recordSent(job);
    ClientRequest request;
    request.method = "POST";
    request.target = "/jobs/" + id.value();
    request.headers = {
        {"Authorization", std::string("Bearer ") + key}, {"Content-Type", "application/json"}, {"X-Deadline-Ms", std::to_string(callerPatience.count())}};
    request.headers.emplace_back("Host", host);
    request.body = m_bodies.at(id);
    request.timeout = callerPatience;
    (void)m_clients->pool(callerAddress()).send(request, [this, id, left](const ClientResult &result) {
        const bool answered = result.kind == ClientResult::Kind::Answered;
        const int status = answered ? result.response.status : 0;
        const bool refused = status == 429 || status == httpUnavailable || status == 401 || status == httpNotFound;
        m_book.recordAttempt(id, refused || (!answered && !result.byteSent));
        if (status >= httpOk && status < 300) {
            m_book.recordAdmitted(id);
            if (pick(12) == 0) {
                m_delayed->after(span(0, 900), [this, id] { cancelJob(id); });
            }
        } else if (left > 1) {
            m_delayed->after(span(50, 900), [this, id, left] { attempt(id, left - 1); });
        }
    });
}

void Soak::askState(const JobId &id)
{
    ClientRequest request;
    request.target = "/jobs/" + id.value();
    request.headers = {{"Authorization", std::string("Bearer ") + key}, {"Host", host}};
    request.timeout = callerPatience;
    (void)m_clients->pool(callerAddress()).send(request, [this, id, asked = m_loop->now()](const ClientResult &result) {
        if (result.kind != ClientResult::Kind::Answered) {
            return;
        }
        if (result.response.status == httpOk) {
            m_book.recordObservedState(id, textOf(member(parseJson(result.response.body).value_or(nlohmann::json()), "state")), asked);
        } else if (result.response.status == 410) {
            m_book.recordObservedState(id, std::string(), asked);
        }
    });
}

void Soak::cancelJob(const JobId &id)
{
    ClientRequest request;
    request.method = "DELETE";
    request.target = "/jobs/" + id.value();
    request.headers = {{"Authorization", std::string("Bearer ") + key}, {"Host", host}};
    request.timeout = callerPatience;
    m_book.recordCancelled(id); // The cancellation may take effect without an answer.
    (void)m_clients->pool(callerAddress()).send(request, [](const ClientResult &) {});
}

void Soak::faultLink(FaultProxy &link, const std::string &name)
{
    const Duration length = span(300, 3500);
    switch (pick(5)) {
    case 0:
        note(name + " is silent for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::Silent);
        break;
    case 1: {
        const Duration delay = span(50, 1500);
        note(name + " delays by " + std::to_string(delay.count()) + " ms for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::Delayed, delay);
        break;
    }
    case 2:
        note(name + " loses answers for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::AnswersLost);
        break;
    case 3:
        note(name + " refuses for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::Refused);
        break;
    default:
        note(name + " is reset");
        link.resetAll();
        return;
    }
    m_delayed->after(length, [&link] { link.setFault(LinkFault::None); });
}

void Soak::faultDaemon(Daemon &daemon)
{
    if (!daemon.process || !daemon.process->isRunning()) {
        return;
    }
    const auto restartLater = [this, &daemon](Duration pause) {
        m_delayed->after(pause, [this, &daemon] { startDaemon(daemon); }); // Also ends a process that has not stopped by then.
    };
    switch (pick(4)) {
    case 0:
        note(daemon.id + " is killed");
        daemon.process->signal(SIGKILL);
        restartLater(span(100, 2500));
        break;
    case 1: {
        const Duration length = span(200, 5000);
        note(daemon.id + " is paused for " + std::to_string(length.count()) + " ms");
        daemon.process->signal(SIGSTOP);
        m_delayed->after(length, [process = daemon.process.get(), &daemon] {
            if (daemon.process.get() == process) {
                process->signal(SIGCONT);
            }
        });
        break;
    }
    case 2:
        note(daemon.id + " is stopped");
        daemon.process->signal(SIGTERM);
        restartLater(Duration(6000));
        break;
    default:
        note(daemon.id + " is told to reload");
        daemon.process->signal(SIGHUP);
        break;
    }
}

void Soak::faultStore()
{
    const Duration length = span(300, 3500);
    if (pick(2) == 0) {
        note("the store refuses for " + std::to_string(length.count()) + " ms");
        m_store->refuses = true;
    } else {
        m_store->slowBy = span(20, 400);
        note("the store is slower by " + std::to_string(m_store->slowBy.count()) + " ms for " + std::to_string(length.count()) + " ms");
    }
    m_delayed->after(length, [this] {
        m_store->refuses = false;
        m_store->slowBy = Duration(0);
    });
}

void Soak::injectFault()
{
    Daemon &daemon = *std::next(m_daemons.begin(), pick(m_settings.daemons));
    const auto worker = static_cast<std::size_t>(pick(m_settings.workers));
    const std::string workerName = "w" + std::to_string(worker);
    switch (pick(8)) {
    case 0:
    case 1:
        faultDaemon(daemon);
        break;
    case 2:
        faultLink(*daemon.storeLink, "the way of " + daemon.id + " to the store");
        break;
    case 3:
        faultLink(*daemon.callerLink, "the way of callers to " + daemon.id);
        break;
    case 4:
        faultLink(m_workers->link(worker), "the way to worker " + workerName);
        break;
    case 5:
        note("worker " + workerName + " restarts");
        m_workers->restart(worker);
        break;
    case 6:
        faultStore();
        break;
    default:
        if (pick(2) == 0) {
            note("the configuration changes");
            writeConfig();
        } else {
            note("worker " + workerName + " fails everything for a while");
            m_workers->setFailing(worker, true);
            m_delayed->after(span(200, 2000), [this, worker] { m_workers->setFailing(worker, false); });
        }
        break;
    }
}

void Soak::tick()
{
    const TimePoint now = m_loop->now();
    m_workers->tick();
    if (m_submits && m_nextJob <= now) {
        m_nextJob = now + jobInterval;
        submitJob();
    }
    if (m_injects && m_nextFault <= now) {
        m_nextFault = now + span(100, 900);
        injectFault();
    }
    if (m_nextLook <= now && !m_jobs.empty()) {
        m_nextLook = now + lookInterval;
        const std::vector<JobId> open = m_book.unfinished();
        const bool asksOpen = !open.empty() && pick(4) > 0;
        askState(asksOpen ? open[static_cast<std::size_t>(pick(static_cast<int>(open.size())))]
                          : m_jobs[static_cast<std::size_t>(pick(static_cast<int>(m_jobs.size())))]);
    }
}

void Soak::runFor(Duration length, const std::function<bool()> &isOver)
{
    const TimePoint until = m_loop->now() + length;
    while (m_loop->now() < until && !(isOver && isOver())) {
        m_loop->runOnce();
    }
}

SoakReport Soak::run()
{
    m_begun = m_loop->now();
    const auto ticks = EventWatch::repeating(*m_loop, tickInterval, [this] { tick(); });
    writeConfig();
    for (Daemon &daemon : m_daemons) {
        startDaemon(daemon);
    }
    runFor(settleTime, nullptr);
    m_submits = true;
    runFor(Duration(1000), nullptr);
    m_injects = true;
    runFor(m_settings.faultDuration, nullptr);
    m_injects = false;
    m_submits = false;
    note("the last fault was injected");
    runFor(m_settings.recoveryTimeout, [this] { return m_book.unfinished().empty() && m_delayed->isEmpty(); });
    SoakReport report;
    report.breaches = m_book.breaches();
    for (const JobId &id : m_book.unfinished()) {
        report.breaches.push_back("admitted job " + id.value() + (m_book.isSucceeded(id) ? " has succeeded but is not shown so" : " has not ended"));
    }
    report.admitted = m_book.admitted();
    report.succeeded = m_book.succeeded();
    report.starts = m_book.starts();
    report.faults = m_faults;
    return report;
}

} // namespace KingCupLadder::SoakTest
