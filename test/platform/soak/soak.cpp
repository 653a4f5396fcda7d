// Fault injection, simulated callers and the phases of a soak run.
#include "soak.h"

#include "jsonvalue.h"
#include "platformcodec.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace KingCupLadder::SoakTest {

namespace {

constexpr Duration tickInterval{5};
constexpr Duration callerTimeout{3000};
constexpr Duration jobInterval{45};
constexpr Duration queryInterval{25};
constexpr Duration startupTime{2500}; // Time to elect a leader and read the configuration.
constexpr int maxSubmitAttempts = 5;
constexpr Duration cancelRetryInterval{500}; // Callers repeat a cancellation until it is confirmed.
constexpr std::uint64_t jobsPerDeadlyJob = 50; // Two crashes per deadly job take about a fifth of twelve workers away.
constexpr std::size_t minWorkersForRelays = 100; // In such a cell, any daemon may send the orders of the leader.
const char storeMachine[] = "store"; // Name of the store among the disturbed machines.
constexpr int httpGone = 410;
const char host[] = "desk.example";
const char key[] = "soak-key";

/// Returns a job body: short tasks only, short tasks followed by a wide step, or a gang.
nlohmann::json jobBody(int variant, const std::string &payload)
{
    const nlohmann::json small = {{"count", 2}, {"cpu", 500}, {"mem_mb", 100}, {"estimate_ms", 300}};
    nlohmann::json wide = {{"count", 5}, {"cpu", 800}, {"mem_mb", 100}, {"estimate_ms", 500}};
    nlohmann::json steps = nlohmann::json::array({small});
    if (variant == 1) {
        wide["after"] = {0};
        steps.push_back(wide);
    } else if (variant == 2) {
        wide["gang"] = true;
        steps = nlohmann::json::array({wide});
    }
    return {{"spec", payload}, {"steps", steps}};
}

} // namespace

Soak::Soak(const SoakSettings &settings) : m_settings(settings), m_random(settings.seed), m_loop(std::move(EventLoop::create()).value()), m_checker(*m_loop)
{
    const auto freeAddress = [] { return ProcessTest::freeAddress(); };
    const std::string storeAddress = freeAddress();
    const std::string policyAddress = freeAddress();
    m_store = std::make_unique<FakeStoreServer>(*m_loop, storeAddress);
    m_workers = std::make_unique<FakeWorkerServers>(*m_loop, m_checker, *m_store, settings.workers, freeAddress, settings.seed);
    m_workers->isInTouch = [this](Epoch epoch) { return isLeaderInTouch(epoch); };
    m_workers->isLinkCalm = [this](const std::string &address) { return isCalm(address); };
    m_workers->onCrash = [this](const std::string &text) { logFault(text); };
    m_storage = std::make_unique<CellStorage>(*m_loop, m_store->rows);
    m_policy = std::make_unique<FakePolicyServer>(*m_loop, policyAddress, *m_workers);
    ConnectionPoolSettings pool;
    pool.probeSuspects = false;
    m_clients = std::make_unique<ConnectionPools>(*m_loop, pool);
    m_delayedCalls = std::make_unique<DelayedCalls>(*m_loop);
    std::filesystem::create_directories(settings.directory);
    for (int i = 0; i < settings.daemons; ++i) {
        Daemon &daemon = m_daemons.emplace_back();
        daemon.id = "entry-" + std::to_string(i);
        daemon.callerAddress = freeAddress();
        daemon.storeLink = std::make_unique<FaultProxy>(*m_loop, freeAddress(), storeAddress);
        daemon.callerLink = std::make_unique<FaultProxy>(*m_loop, freeAddress(), daemon.callerAddress);
        daemon.settingsFile = settings.directory + "/" + daemon.id + ".json";
        const std::string peers = freeAddress();
        const int port = parseSocketAddress(peers)->port;
        const nlohmann::json bounds = {{"max_hold_ms", FakeWorkerServers::longestLease.count()},
                                       {"contact_ms", soakContact.count()},
                                       {"revoke_ms", 5000},
                                       {"grace_s", 6},
                                       {"status_s", 120}};
        const nlohmann::json boot = {{"node", daemon.id},
                                     {"ip", parseSocketAddress(peers)->host},
                                     {"zone", i % 2 == 0 ? "a" : "b"},
                                     {"listen_addrs", {{"frontend_addr", daemon.callerAddress}, {"readiness_addr", freeAddress()}}},
                                     {"internal_ports", {port, port}},
                                     {"limits", {{"cpu_share", 0.5}, {"cores", 1}}},
                                     {"heartbeat_ms", soakHeartbeat.count()},
                                     {"bounds", bounds},
                                     {"advice", policyAddress},
                                     {"platform", {{"address", daemon.storeLink->address()}, {"writes_per_s", 600}, {"part_writes_per_s", 200}}}};
        std::ofstream(daemon.settingsFile) << boot.dump();
    }
}

Soak::~Soak() = default;

int Soak::randomBelow(int below)
{
    return static_cast<int>(m_random() % static_cast<std::uint64_t>(below));
}

Duration Soak::randomDuration(int min, int max)
{
    return Duration(min + randomBelow(max - min + 1));
}

void Soak::logFault(const std::string &fault)
{
    m_faults.push_back(std::to_string((m_loop->now() - m_startedAt).count()) + " ms: " + fault);
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
                              {"attempts", 50}, // Workers that fail all tasks use up some attempts.
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
    daemon.process = std::make_unique<ProcessTest::Process>(std::vector<std::string>{m_settings.programPath, "--boot", daemon.settingsFile},
                                                            m_settings.directory + "/" + daemon.id + ".log");
}

std::string Soak::randomCallerAddress()
{
    return std::next(m_daemons.begin(), randomBelow(m_settings.daemons))->callerLink->address();
}

void Soak::submitJob()
{
    std::string text = std::to_string(++m_lastJob);
    const JobId id(std::string(16 - text.size(), 'a') + text);
    const int variant = randomBelow(4);
    const bool isDeadly = m_settings.playsCrashes && m_lastJob % jobsPerDeadlyJob == m_settings.seed % jobsPerDeadlyJob;
    const std::string body = jobBody(variant, (isDeadly ? deadlyMark : std::string()) + "payload of " + text).dump();
    m_jobBodies[id] = body;
    m_jobs.push_back(id);
    attempt(id, maxSubmitAttempts);
}

void Soak::attempt(const JobId &id, int attemptsLeft)
{
    CellJob job = std::move(decodeJobBody(m_jobBodies.at(id))).value();
    job.id = id;
    m_checker.recordSent(job);
    ClientRequest request;
    request.method = "POST";
    request.target = "/jobs/" + id.value();
    request.headers = {
        {"Authorization", std::string("Bearer ") + key}, {"Content-Type", "application/json"}, {"X-Deadline-Ms", std::to_string(callerTimeout.count())}};
    request.headers.emplace_back("Host", host);
    request.body = m_jobBodies.at(id);
    request.timeout = callerTimeout;
    (void)m_clients->pool(randomCallerAddress()).send(request, [this, id, attemptsLeft](const ClientResult &result) {
        const bool answered = result.kind == ClientResult::Kind::Answered;
        const int status = answered ? result.response.status : 0;
        const bool refused = status == 429 || status == httpUnavailable || status == 401 || status == httpNotFound;
        m_checker.recordAttemptOutcome(id, refused || (!answered && !result.byteSent));
        if (status >= httpOk && status < 300) {
            m_checker.recordAdmitted(id);
            if (randomBelow(12) == 0) {
                m_delayedCalls->after(randomDuration(0, 900), [this, id] { cancelJob(id); });
            }
        } else if (attemptsLeft > 1) {
            m_delayedCalls->after(randomDuration(50, 900), [this, id, attemptsLeft] { attempt(id, attemptsLeft - 1); });
        }
    });
}

void Soak::queryState(const JobId &id)
{
    ClientRequest request;
    request.target = "/jobs/" + id.value();
    request.headers = {{"Authorization", std::string("Bearer ") + key}, {"Host", host}};
    request.timeout = callerTimeout;
    (void)m_clients->pool(randomCallerAddress()).send(request, [this, id, requestedAt = m_loop->now()](const ClientResult &result) {
        if (result.kind != ClientResult::Kind::Answered) {
            return;
        }
        if (result.response.status == httpOk) {
            m_checker.recordObservedState(id, textOf(member(parseJson(result.response.body).value_or(nlohmann::json()), "state")), requestedAt);
        } else if (result.response.status == httpGone) {
            m_checker.recordObservedState(id, std::string(), requestedAt);
        }
    });
}

void Soak::cancelJob(const JobId &id)
{
    ClientRequest request;
    request.method = "DELETE";
    request.target = "/jobs/" + id.value();
    request.headers = {{"Authorization", std::string("Bearer ") + key}, {"Host", host}};
    request.timeout = callerTimeout;
    m_checker.recordCancelled(id); // Recorded first, since the cancellation may take effect without a response.
    (void)m_clients->pool(randomCallerAddress()).send(request, [this, id](const ClientResult &result) {
        const int status = result.kind == ClientResult::Kind::Answered ? result.response.status : 0;
        if ((status >= httpOk && status < 300) || status == httpGone) {
            m_checker.recordCancelAcknowledged(id);
        } else {
            m_delayedCalls->after(cancelRetryInterval, [this, id] { cancelJob(id); });
        }
    });
}

void Soak::recordDisturbance(const std::string &machine, Duration length)
{
    TimePoint &until = m_disturbedUntil[machine];
    until = std::max(until, m_loop->now() + length);
}

bool Soak::isCalm(const std::string &machine) const
{
    const auto found = m_disturbedUntil.find(machine);
    return found == m_disturbedUntil.end() || m_loop->now() - found->second >= soakContact;
}

bool Soak::isLeaderInTouch(Epoch epoch) const
{
    const auto leader = m_leaders.find(epoch);
    const bool isAnySender = m_workers->size() >= minWorkersForRelays;
    return isCalm(storeMachine) && leader != m_leaders.end() && std::all_of(m_daemons.begin(), m_daemons.end(), [&](const Daemon &daemon) {
               return (!isAnySender && daemon.id != leader->second) || isCalm(daemon.id);
           });
}

void Soak::faultLink(FaultProxy &link, const std::string &linkName, const std::string &machine)
{
    const Duration length = randomDuration(300, 3500);
    recordDisturbance(machine, length);
    switch (randomBelow(5)) {
    case 0:
        logFault(linkName + " drops all data for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::Silent);
        break;
    case 1: {
        const Duration delay = randomDuration(50, 1500);
        logFault(linkName + " delays by " + std::to_string(delay.count()) + " ms for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::Delayed, delay);
        break;
    }
    case 2:
        logFault(linkName + " loses answers for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::AnswersLost);
        break;
    case 3:
        logFault(linkName + " refuses connections for " + std::to_string(length.count()) + " ms");
        link.setFault(LinkFault::Refused);
        break;
    default:
        logFault(linkName + " is reset");
        link.resetAll();
        return;
    }
    m_delayedCalls->after(length, [&link] { link.setFault(LinkFault::None); });
}

void Soak::faultDaemon(Daemon &daemon)
{
    if (!daemon.process || !daemon.process->isRunning()) {
        return;
    }
    const auto restartLater = [this, &daemon](Duration pause) {
        recordDisturbance(daemon.id, pause);
        m_delayedCalls->after(pause, [this, &daemon] { startDaemon(daemon); }); // Also kills a process that has not stopped by then.
    };
    switch (randomBelow(4)) {
    case 0:
        logFault(daemon.id + " is killed");
        daemon.process->signal(SIGKILL);
        restartLater(randomDuration(100, 2500));
        break;
    case 1: {
        const Duration length = randomDuration(200, 5000);
        logFault(daemon.id + " is paused for " + std::to_string(length.count()) + " ms");
        recordDisturbance(daemon.id, length);
        daemon.process->signal(SIGSTOP);
        m_delayedCalls->after(length, [process = daemon.process.get(), &daemon] {
            if (daemon.process.get() == process) {
                process->signal(SIGCONT);
            }
        });
        break;
    }
    case 2:
        logFault(daemon.id + " is stopped");
        daemon.process->signal(SIGTERM);
        restartLater(Duration(6000)); // The grace period grace_s in the daemon's settings.
        break;
    default:
        logFault(daemon.id + " receives a reload signal");
        daemon.process->signal(SIGHUP);
        break;
    }
}

void Soak::shrinkWorker()
{
    const auto worker = static_cast<std::size_t>(randomBelow(m_settings.workers));
    const int percent = 25 + randomBelow(50);
    const Duration length = randomDuration(2000, 8000); // Mostly longer than the grace time after a shrinking.
    logFault("worker w" + std::to_string(worker) + " shrinks to " + std::to_string(percent) + " % for " + std::to_string(length.count()) + " ms");
    m_workers->setCapacity(worker, percent);
    m_delayedCalls->after(length, [this, worker] { m_workers->setCapacity(worker, 100); });
}

void Soak::evacuateDomain()
{
    const std::string domain = randomBelow(2) == 0 ? "a" : "b";
    const Duration length = randomDuration(14000, 16000); // Longer than the bound for machines that are not in touch, which is 11 s.
    const RowKey row{"op", {}, "evacuate/" + domain};
    logFault("failure domain " + domain + " is evacuated for " + std::to_string(length.count()) + " ms");
    m_store->rows.put(row, "{}");
    m_checker.recordEvacuation(FailureDomain(domain), true);
    m_delayedCalls->after(length, [this, row, domain] {
        m_checker.recordEvacuation(FailureDomain(domain), false);
        m_store->rows.transact(Transaction{{}, {}, {row}}, Duration(0), [](const StoreAnswer &) {});
    });
}

void Soak::faultStore()
{
    const Duration length = randomDuration(300, 3500);
    recordDisturbance(storeMachine, length);
    if (randomBelow(2) == 0) {
        logFault("the store refuses for " + std::to_string(length.count()) + " ms");
        m_store->refusesCalls = true;
    } else {
        m_store->extraDelay = randomDuration(20, 400);
        logFault("the store is slower by " + std::to_string(m_store->extraDelay.count()) + " ms for " + std::to_string(length.count()) + " ms");
    }
    m_delayedCalls->after(length, [this] {
        m_store->refusesCalls = false;
        m_store->extraDelay = Duration(0);
    });
}

void Soak::injectFault()
{
    Daemon &daemon = *std::next(m_daemons.begin(), randomBelow(m_settings.daemons));
    const auto worker = static_cast<std::size_t>(randomBelow(m_settings.workers));
    const std::string workerName = "w" + std::to_string(worker);
    switch (randomBelow(8)) {
    case 0:
    case 1:
        faultDaemon(daemon);
        break;
    case 2:
        faultLink(*daemon.storeLink, "the link from " + daemon.id + " to the store", daemon.id);
        break;
    case 3:
        faultLink(*daemon.callerLink, "the link from callers to " + daemon.id, daemon.id);
        break;
    case 4:
        faultLink(m_workers->link(worker), "the link to worker " + workerName, m_workers->link(worker).address());
        break;
    case 5:
        logFault("worker " + workerName + " restarts");
        m_workers->restart(worker);
        break;
    case 6:
        faultStore();
        break;
    default:
        if (randomBelow(2) == 0) {
            logFault("the configuration changes");
            writeConfig();
        } else {
            logFault("worker " + workerName + " fails all tasks for a while");
            m_workers->setFailing(worker, true);
            m_delayedCalls->after(randomDuration(200, 2000), [this, worker] { m_workers->setFailing(worker, false); });
        }
        break;
    }
}

void Soak::tick()
{
    const TimePoint now = m_loop->now();
    m_workers->tick();
    if (m_submitting && m_nextJob <= now) {
        m_nextJob = now + jobInterval;
        submitJob();
    }
    if (m_injectingFaults && m_nextFault <= now) {
        m_nextFault = now + randomDuration(100, 900);
        injectFault();
    }
    if (m_injectingFaults && m_settings.playsCrashes && m_nextShrinking <= now) {
        m_nextShrinking = now + randomDuration(500, 1500);
        shrinkWorker();
    }
    if (m_injectingFaults && m_settings.playsEvacuations && m_nextEvacuation <= now) {
        m_nextEvacuation = now + randomDuration(16500, 18000); // After the end of the one before.
        evacuateDomain();
    }
    m_storage->readLeader([this](bool, const std::optional<LeaderRecord> &leader, RowVersion) {
        if (leader && !leader->holder.isEmpty()) {
            m_leaders[leader->epoch] = leader->holder.value();
        }
    });
    if (m_nextQuery <= now && !m_jobs.empty()) {
        m_nextQuery = now + queryInterval;
        const std::vector<JobId> unfinishedJobs = m_checker.unfinished();
        const bool queriesUnfinished = !unfinishedJobs.empty() && randomBelow(4) > 0;
        queryState(queriesUnfinished ? unfinishedJobs[static_cast<std::size_t>(randomBelow(static_cast<int>(unfinishedJobs.size())))]
                                     : m_jobs[static_cast<std::size_t>(randomBelow(static_cast<int>(m_jobs.size())))]);
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
    m_startedAt = m_loop->now();
    const auto tickTimer = EventWatch::repeating(*m_loop, tickInterval, [this] { tick(); });
    writeConfig();
    for (Daemon &daemon : m_daemons) {
        startDaemon(daemon);
    }
    runFor(startupTime, nullptr);
    m_submitting = true;
    runFor(Duration(1000), nullptr);
    m_injectingFaults = true;
    runFor(m_settings.faultDuration, nullptr);
    m_injectingFaults = false;
    m_submitting = false;
    logFault("the last fault was injected");
    runFor(m_settings.recoveryTimeout, [this] { return m_checker.unfinished().empty() && m_delayedCalls->isEmpty(); });
    SoakReport report;
    report.violations = m_checker.violations();
    for (const JobId &id : m_checker.unfinished()) {
        report.violations.push_back("admitted job " + id.value()
                                    + (m_checker.isSucceeded(id) ? " has succeeded but is not reported as completed" : " has not ended"));
    }
    report.admitted = m_checker.admitted();
    report.succeeded = m_checker.succeeded();
    report.starts = m_checker.starts();
    report.crashes = m_checker.crashes();
    report.startsBesideEvacuations = m_checker.startsBesideEvacuations();
    report.faults = m_faults;
    return report;
}

} // namespace KingCupLadder::SoakTest
