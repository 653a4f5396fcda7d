// Simulation loop of the daemons. Every reply and message is delivered one tick (20 ms) after its command.
#include "daemonrun.h"

#include "memorystore.h"
#include "messagesize.h"
#include "workersimulator.h"
#include "workload.h"

#include "core/daemoncore.h"

#include <ctime>
#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace KingCupLadder {

namespace {

constexpr Duration tickInterval{20};
constexpr Duration warmUp{20000};
constexpr Duration measuredSpan{10000};
constexpr std::uint32_t domainCount = 5;
constexpr std::uint32_t teamCount = 50;

double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string poolsYaml()
{
    std::string teams = "teams:\n";
    std::string names;
    for (std::uint32_t i = 0; i < teamCount; ++i) {
        const std::string name = "team" + std::to_string(i);
        teams += "  - {name: " + name + ", workspace: space, share: 1, limit: {cpu: 20000, memory: 80000GiB, slots: 20000}}\n";
        names += (i == 0 ? "" : ", ") + name;
    }
    return teams + "pools:\n  - {name: pool, vms: group, power: grid, teams: [" + names + "]}\n";
}

constexpr const char *routesYaml = "routes:\n  - name: batch\n    class: batch\n    pool: pool\n    demand: {cpu: 2, memory: 4GiB}\n";

struct Daemon {
    PeerInfo info;
    std::unique_ptr<DaemonCore> core;
    std::vector<std::function<void(DaemonCore &, TimePoint)>> inbox; ///< Calls to the core in the next tick.
    double cpuSeconds = 0.0;
    Samples tickMicros;
    std::uint64_t syncs = 0;
    std::uint64_t peerMessages = 0;
    std::uint64_t heartbeatBytesSent = 0; ///< Estimated; other peer messages are not included.
    bool ownsShard = false; ///< Set by resetMeasurements().
};

class DaemonLoop
{
public:
    explicit DaemonLoop(const DaemonRunSettings &settings);
    DaemonRunResult run();

private:
    void addDaemon(std::uint32_t index);
    void advance(Duration span);
    void submitDueJobs();
    void runDaemon(Daemon &daemon);
    void execute(Daemon &daemon, Command &command);
    /// Counts a store operation and delivers its reply in the next tick.
    void queueStoreReply(Daemon &daemon, const std::string &name, StoreReply reply);
    void deliverPeerMessage(Daemon &from, SendPeerMessage &send);
    void executeSync(Daemon &daemon, const SyncWorker &sync);
    /// Resets all counts. A daemon that has sent worker syncs since its sync count was last reset is marked as a shard owner.
    void resetMeasurements();
    void addDaemonMetrics(RoleMetrics &role, const Daemon &daemon) const;

    DaemonRunSettings m_settings;
    TimePoint m_now{Duration(1000000)};
    std::mt19937_64 m_random{1};
    MemoryStore m_store;
    WorkerSimulator m_workerSimulator{false};
    std::vector<VmInfo> m_vms;
    std::vector<Daemon> m_daemons;
    double m_pendingJobs = 0.0; ///< Jobs that are due but not submitted. Each tick adds a fraction, and only whole jobs are submitted.
    std::uint64_t m_submittedJobs = 0;
    std::uint64_t m_taskStarts = 0;
    std::uint64_t m_acceptedJobs = 0;
    std::uint64_t m_writtenRows = 0;
    std::map<std::string, std::uint64_t> m_storeOperations;
    DaemonRunResult m_result;
};

DaemonLoop::DaemonLoop(const DaemonRunSettings &settings) : m_settings(settings)
{
    for (std::uint32_t i = 0; i < settings.workers; ++i) {
        const FailureDomain domain("domain" + std::to_string(i % domainCount));
        m_vms.push_back(VmInfo{WorkerId("worker" + std::to_string(i)), "10.0.100.100:8080", "group", domain, RackId("rack" + std::to_string(i / 40)), false});
    }
    for (std::uint32_t i = 0; i < settings.daemons; ++i) {
        addDaemon(i);
    }
}

void DaemonLoop::addDaemon(std::uint32_t index)
{
    Daemon daemon;
    daemon.info.id = DaemonId("entry-" + std::to_string(index));
    daemon.info.incarnation = Incarnation(1);
    daemon.info.domain = FailureDomain("domain" + std::to_string(index % domainCount));
    daemon.info.peerAddress = "10.0.0." + std::to_string(index) + ":7070";
    daemon.info.httpAddress = "10.0.0." + std::to_string(index) + ":8080";
    DaemonCoreSettings core;
    core.self = daemon.info;
    core.seed = 1000 + index;
    core.syncInterval = Duration(m_settings.syncIntervalMs);
    core.vmListInterval = Duration(m_settings.vmListIntervalMs);
    core.peerAddresses = {"10.0.0.0:7070"};
    daemon.core = std::move(DaemonCore::create(core, m_now)).value();
    m_daemons.push_back(std::move(daemon));
}

void DaemonLoop::queueStoreReply(Daemon &daemon, const std::string &name, StoreReply reply)
{
    ++m_storeOperations[name];
    daemon.inbox.emplace_back([reply = std::move(reply)](DaemonCore &core, TimePoint now) { core.onStoreReply(reply, now); });
}

void DaemonLoop::deliverPeerMessage(Daemon &from, SendPeerMessage &send)
{
    ++from.peerMessages;
    if (const auto *heartbeat = std::get_if<Heartbeat>(&send.message)) {
        const std::size_t bytes = bodyBytes(*heartbeat);
        from.heartbeatBytesSent += bytes;
        m_result.heartbeatBytes.add(static_cast<double>(bytes));
    }
    for (Daemon &daemon : m_daemons) {
        if (daemon.info.peerAddress == send.address) {
            daemon.inbox.emplace_back(
                [id = from.info.id, message = std::move(send.message)](DaemonCore &core, TimePoint now) { core.onPeerMessage(id, message, now); });
            return;
        }
    }
}

void DaemonLoop::executeSync(Daemon &daemon, const SyncWorker &sync)
{
    ++daemon.syncs;
    m_taskStarts += sync.request.starts.size();
    daemon.inbox.emplace_back([reply = m_workerSimulator.handleSync(sync, m_now)](DaemonCore &core, TimePoint now) { core.onWorkerReply(reply, now); });
}

void DaemonLoop::execute(Daemon &daemon, Command &command)
{
    if (const auto *write = std::get_if<StoreTransaction>(&command)) {
        m_writtenRows += write->writes.size();
        queueStoreReply(daemon, "write " + (write->writes.empty() ? "nothing" : write->writes.back().table), m_store.execute(*write));
    } else if (const auto *scan = std::get_if<StoreScan>(&command)) {
        queueStoreReply(daemon, "scan " + scan->table, m_store.execute(*scan));
    } else if (const auto *read = std::get_if<StoreRead>(&command)) {
        queueStoreReply(daemon, "read " + read->table, m_store.execute(*read));
    } else if (const auto *list = std::get_if<VmListRead>(&command)) {
        ++m_storeOperations["list vms"];
        daemon.inbox.emplace_back([reply = VmListReply{list->op, m_vms}](DaemonCore &core, TimePoint now) { core.onVmList(reply, now); });
    } else if (const auto *sync = std::get_if<SyncWorker>(&command)) {
        executeSync(daemon, *sync);
    } else if (auto *send = std::get_if<SendPeerMessage>(&command)) {
        deliverPeerMessage(daemon, *send);
    } else if (const auto *callerAnswer = std::get_if<CallerAnswer>(&command)) {
        m_acceptedJobs += callerAnswer->error.kind == ErrorKind::None ? 1 : 0;
    }
}

void DaemonLoop::submitDueJobs()
{
    constexpr std::int64_t shortestRunMs = 2000;
    constexpr std::int64_t longestRunMs = 14940; // Same run times as in shardrun.cpp, where their mean is explained.
    std::uniform_int_distribution<std::int64_t> run(shortestRunMs, longestRunMs);
    m_pendingJobs += m_settings.jobsPerSecond * static_cast<double>(tickInterval.count()) / 1000.0;
    for (; m_pendingJobs >= 1.0; m_pendingJobs -= 1.0) {
        JobSpec job;
        job.id = JobId("job-of-the-bench-" + std::to_string(++m_submittedJobs));
        job.team = TeamId("team" + std::to_string(m_random() % teamCount));
        job.workspace = WorkspaceId("space");
        job.route = RouteName("batch");
        job.pool = PoolName("pool");
        job.taskCount = m_settings.tasksPerJob;
        job.demand = Resources{MilliCores(1500), MebiBytes(6000), Accelerators(0), Slots(0)};
        job.declaredRunTime = Duration(run(m_random));
        Daemon &daemon = m_daemons[m_submittedJobs % m_daemons.size()];
        daemon.inbox.emplace_back([job](DaemonCore &core, TimePoint now) { (void)core.submitJob(job, now); });
    }
}

void DaemonLoop::runDaemon(Daemon &daemon)
{
    const auto inbox = std::exchange(daemon.inbox, {});
    const double begin = threadCpuSeconds();
    for (const auto &event : inbox) {
        event(*daemon.core, m_now);
    }
    const double tickBegin = threadCpuSeconds();
    daemon.core->tick(m_now);
    std::vector<Command> commands = daemon.core->takeCommands();
    const double end = threadCpuSeconds();
    daemon.cpuSeconds += end - begin;
    daemon.tickMicros.add((end - tickBegin) * 1e6);
    for (Command &command : commands) {
        execute(daemon, command);
    }
}

void DaemonLoop::advance(Duration span)
{
    for (Duration passed{0}; passed < span; passed += tickInterval) {
        m_now += tickInterval;
        submitDueJobs();
        for (Daemon &daemon : m_daemons) {
            runDaemon(daemon);
        }
    }
}

void DaemonLoop::resetMeasurements()
{
    for (Daemon &daemon : m_daemons) {
        daemon.ownsShard = daemon.syncs > 0;
        daemon.cpuSeconds = 0.0;
        daemon.tickMicros = Samples();
        daemon.syncs = 0;
        daemon.peerMessages = 0;
        daemon.heartbeatBytesSent = 0;
    }
    m_result = DaemonRunResult();
    m_storeOperations.clear();
    m_taskStarts = 0;
    m_acceptedJobs = 0;
    m_writtenRows = 0;
}

void DaemonLoop::addDaemonMetrics(RoleMetrics &role, const Daemon &daemon) const
{
    const double seconds = static_cast<double>(measuredSpan.count()) / 1000.0;
    ++role.daemons;
    role.cpuShare += daemon.cpuSeconds / seconds;
    role.syncRate += static_cast<double>(daemon.syncs) / seconds;
    role.peerMessageRate += static_cast<double>(daemon.peerMessages) / seconds;
    role.heartbeatByteRate += static_cast<double>(daemon.heartbeatBytesSent) / seconds;
    // RoleMetrics merges the daemons by their quantiles; the maximum over the role is exact.
    for (const double fraction : {0.5, 0.99, 1.0}) {
        role.tickMicros.add(daemon.tickMicros.percentile(fraction));
    }
}

DaemonRunResult DaemonLoop::run()
{
    constexpr Duration startupSpan{3000}; // Time for peer discovery and lease confirmation.
    advance(startupSpan);
    (void)m_daemons[0].core->applyTables(ConfigVersion(), routesYaml, poolsYaml(), m_now);
    advance(warmUp);
    for (Daemon &daemon : m_daemons) {
        daemon.syncs = 0;
    }
    advance(Duration(2000)); // Daemons that send worker syncs in this time own a shard; resetMeasurements() marks them.
    resetMeasurements();
    advance(measuredSpan);
    const double seconds = static_cast<double>(measuredSpan.count()) / 1000.0;
    for (const Daemon &daemon : m_daemons) {
        addDaemonMetrics(daemon.ownsShard ? m_result.owners : m_result.others, daemon);
    }
    for (const auto &[name, count] : m_storeOperations) {
        const double rate = static_cast<double>(count) / seconds;
        m_result.storeOperationRates[name] = rate;
        // execute() names the operations "write", "scan" and "read" with a table, and "list vms".
        (name[0] == 'w' ? m_result.transactionRate : name[0] == 'l' ? m_result.vmListRate : m_result.readRate) += rate;
    }
    m_result.writtenRowRate = static_cast<double>(m_writtenRows) / seconds;
    m_result.taskStartRate = static_cast<double>(m_taskStarts) / seconds;
    m_result.acceptedJobRate = static_cast<double>(m_acceptedJobs) / seconds;
    m_result.runningTasks = static_cast<double>(m_workerSimulator.running());
    return m_result;
}

} // namespace

DaemonRunResult runDaemons(const DaemonRunSettings &settings)
{
    DaemonLoop loop(settings);
    return loop.run();
}

} // namespace KingCupLadder
