// Simulation loop of a shard controller with job arrivals and a tick every 10 ms. Worker replies arrive one tick after their request.
#include "shardrun.h"

#include "messagesize.h"
#include "workersimulator.h"
#include "workload.h"

#include "core/shardcontroller.h"

#include <algorithm>
#include <ctime>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr Duration tickInterval{10};
constexpr Duration warmUp{20000};
constexpr Duration measuredSpan{20000};
constexpr std::uint32_t teamCount = 50;
constexpr double startsPerWorker = 6800.0 / 7800.0; // Per second, at the peak load of the target profile.
constexpr double servicesPerWorker = 72000.0 / 7800.0 / 5.0; // A fifth of the running tasks are services.
constexpr double urgentStartFraction = 0.05; // Assumed fraction of urgent task starts.
// At 6,800 starts/s the mean run time of 8.47 s yields 57,600 running batch tasks on 7,800 workers. With the 14,400 services these
// are the 72,000 running tasks of the target profile.
constexpr std::int64_t shortestRunMs = 2000;
constexpr std::int64_t longestRunMs = 14940;

double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

class ShardLoop
{
public:
    explicit ShardLoop(const ShardRunSettings &settings);

    ShardRunResult run();
    void advance(Duration span);
    void addJobs(std::uint32_t tasks, WorkClass workClass);
    /// Destroys the controller and returns the number of bytes that this frees.
    std::int64_t destroyController();
    [[nodiscard]] std::size_t runningTasks() const;
    [[nodiscard]] std::size_t queuedTasks() const;

private:
    struct Arrival {
        TimePoint at;
        Priority priority;
    };

    /// Runs @p call, adds its CPU time to the result and returns the CPU time in seconds.
    template<typename Call>
    double timed(Call call)
    {
        const double begin = threadCpuSeconds();
        call();
        const double spent = threadCpuSeconds() - begin;
        m_result.cpuSeconds += spent;
        return spent;
    }
    JobSpec makeJob(std::uint32_t tasks, WorkClass workClass, Priority priority);
    void enqueue(JobSpec job);
    void submitDueJobs();
    void tick();
    /// Processes an output of the controller and adds the number of tasks that it starts to @p started.
    void handle(ShardOutput &output, std::uint64_t &started);
    void recordWaitTimes(const SyncRequest &request);
    void deliverReplies();

    ShardRunSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now{Duration(1000000)};
    std::unique_ptr<ShardController> m_controller;
    WorkerSimulator m_workerSimulator;
    std::vector<SyncWorker> m_requests;
    std::unordered_map<JobId, Arrival> m_arrivals;
    std::uint64_t m_jobs = 0;
    double m_pendingNormalTasks = 0.0; ///< Normal tasks that are due but not submitted, since only whole jobs are.
    double m_pendingUrgentTasks = 0.0;
    double m_tickSeconds = 0.0;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_bodyBytes = 0; ///< Of requests and replies.
    ShardRunResult m_result;
};

ShardLoop::ShardLoop(const ShardRunSettings &settings) : m_settings(settings), m_random(settings.seed), m_workerSimulator(settings.alwaysListRunning)
{
    ShardSettings shard;
    shard.id = ShardId("pool/domain/0");
    shard.pool = PoolName("pool");
    shard.domain = FailureDomain("domain");
    shard.owner = DaemonId("entry-1");
    shard.epoch = Epoch(1);
    shard.syncInterval = settings.syncInterval;
    shard.placementPolicy = settings.placementPolicy;
    m_controller = std::move(ShardController::create(shard, nullptr, m_now)).value();
    m_controller->setLeaseConfirmed(true, m_now);
    // Every team may use the whole shard, so that no allotment limits the starts.
    for (std::uint32_t team = 0; team < teamCount; ++team) {
        m_controller->setAllotment(TeamId("team" + std::to_string(team)), workerCapacity() * settings.workers, m_now);
    }
    std::vector<VmInfo> vms;
    for (std::uint32_t i = 0; i < settings.workers; ++i) {
        const std::string id = "worker" + std::to_string(i);
        vms.push_back(VmInfo{WorkerId(id), "10.0.100.100:8080", "group", FailureDomain("domain"), RackId("rack" + std::to_string(i / 40)), false});
    }
    m_controller->setWorkers(vms, m_now);
    // The shard starts without stored jobs, so recovery and the scan of its queue find none.
    m_controller->recover({}, m_now);
    m_controller->endQueueScan(m_controller->beginQueueScan(), m_now);
    advance(Duration(1000));
}

JobSpec ShardLoop::makeJob(std::uint32_t tasks, WorkClass workClass, Priority priority)
{
    std::uniform_int_distribution<std::int64_t> size(2, 5);
    std::uniform_int_distribution<std::int64_t> run(shortestRunMs, longestRunMs);
    JobSpec job;
    job.id = JobId("job-of-the-bench-" + std::to_string(++m_jobs));
    job.team = TeamId("team" + std::to_string(m_random() % teamCount));
    job.workspace = WorkspaceId("workspace");
    job.route = RouteName("route");
    job.pool = PoolName("pool");
    job.workClass = workClass;
    job.priority = priority;
    job.taskCount = tasks;
    const std::int64_t halves = size(m_random); // In units of half a core: 1 to 2.5 cores, 1.75 on average.
    job.demand = Resources{MilliCores(halves * 500), MebiBytes(halves * 2000), Accelerators(0), Slots(0)};
    job.declaredRunTime = Duration(workClass == WorkClass::Service ? 0 : run(m_random));
    job.payload = "{\"command\":\"run the tally of this week\"}";
    return job;
}

void ShardLoop::enqueue(JobSpec job)
{
    m_arrivals.emplace(job.id, Arrival{m_now, job.priority});
    timed([&] { (void)m_controller->enqueue(job, m_now); });
}

void ShardLoop::addJobs(std::uint32_t tasks, WorkClass workClass)
{
    for (std::uint32_t added = 0; added < tasks; added += m_settings.tasksPerJob) {
        enqueue(makeJob(std::min(m_settings.tasksPerJob, tasks - added), workClass, Priority::Normal));
    }
}

void ShardLoop::submitDueJobs()
{
    const double tasks = startsPerWorker * m_settings.workers * m_settings.load * static_cast<double>(tickInterval.count()) / 1000.0;
    m_pendingNormalTasks += tasks * (1.0 - urgentStartFraction);
    m_pendingUrgentTasks += tasks * urgentStartFraction;
    while (m_pendingNormalTasks >= m_settings.tasksPerJob) {
        enqueue(makeJob(m_settings.tasksPerJob, WorkClass::Batch, Priority::Normal));
        m_pendingNormalTasks -= m_settings.tasksPerJob;
    }
    while (m_pendingUrgentTasks >= 1.0) {
        enqueue(makeJob(1, WorkClass::Batch, Priority::Urgent));
        m_pendingUrgentTasks -= 1.0;
    }
}

void ShardLoop::recordWaitTimes(const SyncRequest &request)
{
    for (const TaskStart &start : request.starts) {
        const auto arrived = m_arrivals.find(start.id.job);
        // Only first attempts of batch tasks count; a service has no run time.
        if (arrived == m_arrivals.end() || start.id.attempt > 1 || start.runTime == Duration(0)) {
            continue;
        }
        const auto wait = static_cast<double>((m_now - arrived->second.at).count());
        (arrived->second.priority == Priority::Urgent ? m_result.urgentWaitMs : m_result.normalWaitMs).add(wait);
    }
}

void ShardLoop::handle(ShardOutput &output, std::uint64_t &started)
{
    if (auto *sync = std::get_if<SyncWorker>(&output)) {
        started += sync->request.starts.size();
        recordWaitTimes(sync->request);
        m_bodyBytes += bodyBytes(sync->request);
        ++m_syncs;
        m_requests.push_back(std::move(*sync));
    } else if (const auto *record = std::get_if<PersistJobState>(&output)) {
        timed([&] { m_controller->jobStatePersisted(record->job, record->state, m_now); });
    }
}

void ShardLoop::deliverReplies()
{
    for (const SyncWorker &sync : std::exchange(m_requests, {})) {
        const WorkerReply reply = m_workerSimulator.handleSync(sync, m_now);
        m_bodyBytes += bodyBytes(*reply.reply);
        timed([&] { m_controller->onWorkerReply(reply, m_now); });
    }
}

void ShardLoop::tick()
{
    m_now += tickInterval;
    deliverReplies();
    const double spent = timed([&] { m_controller->tick(m_now); });
    std::vector<ShardOutput> outputs;
    timed([&] { outputs = m_controller->takeOutputs(); });
    std::uint64_t started = 0;
    for (ShardOutput &output : outputs) {
        handle(output, started);
    }
    m_tickSeconds += spent;
    m_result.tickMicros.add(spent * 1e6);
    for (std::uint64_t i = 0; i < started; ++i) {
        m_result.startMicros.add(spent * 1e6 / static_cast<double>(started));
    }
}

void ShardLoop::advance(Duration span)
{
    for (Duration passed{0}; passed < span; passed += tickInterval) {
        tick();
    }
}

ShardRunResult ShardLoop::run()
{
    addJobs(static_cast<std::uint32_t>(servicesPerWorker * m_settings.workers), WorkClass::Service);
    for (Duration passed{0}; passed < warmUp; passed += tickInterval) {
        submitDueJobs();
        tick();
    }
    m_result = ShardRunResult();
    m_tickSeconds = 0.0;
    m_syncs = 0;
    m_bodyBytes = 0;
    const ShardCounters before = m_controller->counters();
    for (Duration passed{0}; passed < measuredSpan; passed += tickInterval) {
        submitDueJobs();
        tick();
    }
    const ShardCounters after = m_controller->counters();
    m_result.starts = after.taskStarts - before.taskStarts;
    m_result.preemptions = after.preemptions - before.preemptions;
    m_result.virtualSeconds = static_cast<double>(measuredSpan.count()) / 1000.0;
    m_result.tickShare = m_tickSeconds / m_result.cpuSeconds;
    const double workerSeconds = m_result.virtualSeconds * m_settings.workers;
    m_result.syncRate = static_cast<double>(m_syncs) / workerSeconds;
    m_result.bodyByteRate = static_cast<double>(m_bodyBytes) / workerSeconds;
    m_result.runningTasks = static_cast<double>(m_workerSimulator.running());
    m_result.queuedTasks = m_controller->queuedTasks();
    return m_result;
}

std::int64_t ShardLoop::destroyController()
{
    const std::int64_t before = allocatedBytes();
    m_controller.reset();
    return before - allocatedBytes();
}

std::size_t ShardLoop::runningTasks() const
{
    return m_workerSimulator.running();
}

std::size_t ShardLoop::queuedTasks() const
{
    return m_controller->queuedTasks();
}

} // namespace

ShardRunResult runShard(const ShardRunSettings &settings)
{
    ShardLoop loop(settings);
    return loop.run();
}

ShardMemory measureShardMemory(std::uint32_t workers, std::uint32_t tasksPerJob)
{
    ShardRunSettings settings;
    settings.workers = workers;
    settings.tasksPerJob = tasksPerJob;
    ShardMemory memory;
    const auto idle = static_cast<double>(ShardLoop(settings).destroyController());
    memory.perWorker = idle / workers;
    // All of these services fit: five of them need at most 12.5 of the 16 cores and 50,000 of the 65,536 MiB of a worker.
    const std::uint32_t fitting = workers * 5;
    ShardLoop busy(settings);
    busy.addJobs(fitting, WorkClass::Service);
    busy.advance(Duration(3000));
    const auto running = static_cast<double>(busy.runningTasks());
    const auto used = static_cast<double>(busy.destroyController());
    memory.perRunningTask = (used - idle) / running;
    ShardLoop full(settings);
    full.addJobs(workers * 40, WorkClass::Service); // More than fit, so the rest is queued.
    full.advance(Duration(5000));
    const auto queued = static_cast<double>(full.queuedTasks());
    const auto fullRunning = static_cast<double>(full.runningTasks());
    memory.perQueuedTask = (static_cast<double>(full.destroyController()) - idle - fullRunning * memory.perRunningTask) / queued;
    return memory;
}

} // namespace KingCupLadder
