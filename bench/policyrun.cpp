// Simulation of one placement policy.
#include "policyrun.h"

#include "core/fairqueue.h"
#include "core/gang.h"
#include "sharemeter.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <queue>
#include <string>
#include <utility>

namespace KingCupLadder {

namespace {

/// Virtual time between two scheduling rounds. The daemon ticks at least as often.
constexpr std::int64_t roundIntervalMs = 20;
constexpr std::int64_t sampleIntervalMs = 250;
constexpr Duration gangTimeout{10000}; ///< As in ShardSettings.
/// Fraction of a run after which packing efficiency and fair shares are sampled, because the queues have built up by then.
constexpr double warmUpFraction = 0.3;

using Clock = std::chrono::steady_clock;

struct SimulatedTask {
    std::int64_t end = 0;
    std::uint32_t worker = 0;
    std::uint32_t team = 0;
    Resources demand;
    std::int64_t declaredEnd = 0;
};

struct EndsLater {
    bool operator()(const SimulatedTask &a, const SimulatedTask &b) const
    {
        return a.end > b.end;
    }
};

TeamId teamId(std::uint32_t team)
{
    return TeamId("team" + std::to_string(team));
}

/// Queue, placement index, gang reservation and running tasks of one shard.
struct BenchShard {
    BenchShard(const BenchProfile &profile, std::uint32_t number, const PolicyConfig &policy)
        : index(policy.placementPolicy), queue(FairQueueSettings{}), gang(gangTimeout)
    {
        for (std::uint32_t i = number; i < profile.workers; i += profile.domains) {
            WorkerLoad load;
            load.worker = WorkerId("vm-" + std::to_string(100000 + i));
            load.rack = RackId("rack" + std::to_string(i / profile.rackSize));
            load.capacity = workerCapacity();
            workerIndexes.emplace(load.worker, static_cast<std::uint32_t>(workers.size()));
            index.update(load);
            workers.push_back(load);
        }
        total = index.totalCapacity();
        queue.setTotalCapacity(total);
        // Without fair shares, all jobs belong to one team.
        const std::size_t teams = policy.fairShares ? profile.teamShares.size() : 1;
        for (std::uint32_t i = 0; i < teams; ++i) {
            queue.setTeamWeight(teamId(i), policy.fairShares ? profile.teamShares[i] : 1.0);
            queue.setAllotment(teamId(i), total); // Allotments limit no team.
        }
    }

    PlacementIndex index;
    FairQueue queue;
    GangReservation gang;
    std::vector<WorkerLoad> workers;
    std::unordered_map<WorkerId, std::uint32_t> workerIndexes; ///< Indexes in workers.
    std::priority_queue<SimulatedTask, std::vector<SimulatedTask>, EndsLater> running;
    Resources total;
};

class PolicyRun
{
public:
    PolicyRun(const BenchProfile &profile, const std::vector<WorkloadJob> &workload, const PolicyConfig &policy)
        : m_profile(profile)
        , m_workload(workload)
        , m_policy(policy)
        , m_meter(profile.teamShares)
        , m_use(profile.teamShares.size())
        , m_waiting(profile.teamShares.size())
    {
        m_result.policyName = policy.name;
        for (std::uint32_t i = 0; i < profile.domains; ++i) {
            m_shards.push_back(std::make_unique<BenchShard>(profile, i, policy));
        }
        for (const auto &shard : m_shards) {
            m_total += shard->total;
        }
    }

    PolicyRunResult run()
    {
        const auto endMs = static_cast<std::int64_t>(m_profile.seconds * 1000.0);
        for (m_now = 0; m_now < endMs; m_now += roundIntervalMs) {
            while (m_nextArrival < m_workload.size() && m_workload[m_nextArrival].arrivalMs <= m_now) {
                enqueueArrival(m_nextArrival++);
            }
            for (const auto &shard : m_shards) {
                endTasks(*shard);
                runRound(*shard);
            }
            // Selects the first round of each sample interval, whose length is not a multiple of the round interval.
            if (m_now % sampleIntervalMs < roundIntervalMs && static_cast<double>(m_now) >= warmUpFraction * static_cast<double>(endMs)) {
                sample();
            }
        }
        finish();
        return std::move(m_result);
    }

private:
    TimePoint now() const
    {
        return TimePoint(Duration(m_now));
    }

    void enqueueArrival(std::size_t number)
    {
        const WorkloadJob &job = m_workload[number];
        QueueEntry entry;
        entry.job = JobId("job-" + std::to_string(number));
        entry.team = teamId(m_policy.fairShares ? job.team : 0);
        const bool isUrgent = job.workClass == BenchClass::Urgent || job.workClass == BenchClass::Request;
        entry.priority = m_policy.fairShares && isUrgent ? Priority::Urgent : Priority::Normal;
        entry.demand = job.demand;
        entry.tasks = job.tasks;
        entry.allAtOnce = job.workClass == BenchClass::Gang;
        entry.declaredRunTime = Duration(job.declaredRunMs);
        entry.queuedAt = TimePoint(Duration(job.arrivalMs));
        const auto begin = Clock::now();
        m_shards[job.shard]->queue.push(entry);
        m_result.decisionSeconds += secondsSince(begin);
        m_waiting[job.team] += job.demand * job.tasks;
    }

    static double secondsSince(Clock::time_point begin)
    {
        return std::chrono::duration<double>(Clock::now() - begin).count();
    }

    void addCommitted(BenchShard &shard, std::uint32_t worker, const Resources &change)
    {
        WorkerLoad &load = shard.workers[worker];
        load.committed += change;
        load.observed = load.committed;
        shard.index.update(load);
    }

    void endTasks(BenchShard &shard)
    {
        while (!shard.running.empty() && shard.running.top().end <= m_now) {
            const SimulatedTask ended = shard.running.top();
            shard.running.pop();
            const auto begin = Clock::now();
            addCommitted(shard, ended.worker, ended.demand * -1);
            shard.queue.discharge(teamId(m_policy.fairShares ? ended.team : 0), ended.demand);
            m_result.decisionSeconds += secondsSince(begin);
            m_use[ended.team] -= ended.demand;
        }
    }

    void runRound(BenchShard &shard)
    {
        auto begin = Clock::now();
        shard.queue.beginRound(now());
        if (shard.gang.isExpired(now())) {
            shard.gang.end();
        }
        while (const auto entry = shard.queue.next()) {
            const bool continueRound = tryStart(shard, *entry);
            const double seconds = secondsSince(begin);
            m_result.decisionMicros.add(seconds * 1e6);
            m_result.decisionSeconds += seconds;
            if (!continueRound) {
                break;
            }
            begin = Clock::now();
        }
    }

    /// Tries to place the entry and starts its tasks. Returns false if the round is over, because without fair shares a job that does not fit blocks those
    /// behind it.
    bool tryStart(BenchShard &shard, const QueueEntry &entry)
    {
        const bool holdsReservation = shard.gang.isActive() && shard.gang.entry().job == entry.job;
        if (!holdsReservation && !shard.gang.mayBackfill(entry, now())) {
            shard.queue.skip(entry.job);
            return true;
        }
        const std::uint32_t count = entry.allAtOnce ? entry.tasks : 1;
        auto chosen = chooseWorkers(shard, entry, count);
        if (chosen) {
            start(shard, entry, *chosen);
            return true;
        }
        if (!m_policy.fairShares) {
            return false;
        }
        if (entry.allAtOnce) {
            reserve(shard, entry);
            shard.queue.skip(entry.job);
        } else {
            shard.queue.skipDemand(entry.priority, entry.demand);
        }
        return true;
    }

    static std::optional<std::vector<WorkerId>> chooseWorkers(const BenchShard &shard, const QueueEntry &entry, std::uint32_t count)
    {
        if (entry.allAtOnce) {
            return shard.index.chooseAll(entry.demand, count, {});
        }
        const auto one = shard.index.choose(entry.demand, {});
        return one ? std::optional<std::vector<WorkerId>>({*one}) : std::nullopt;
    }

    /// Reserves capacity for a gang. The expected start is the latest declared end among the tasks that have to end before the gang
    /// fits; they are taken in the order of their actual ends.
    void reserve(BenchShard &shard, const QueueEntry &entry)
    {
        if (shard.gang.isActive()) {
            return;
        }
        auto running = shard.running;
        Resources free = shard.index.totalFree();
        std::int64_t expected = m_now;
        while (!running.empty() && !(entry.demand * entry.tasks).fitsIn(free)) {
            free += running.top().demand;
            expected = std::max(expected, running.top().declaredEnd);
            running.pop();
        }
        (void)shard.gang.begin(entry, TimePoint(Duration(expected)), now());
    }

    void start(BenchShard &shard, const QueueEntry &entry, const std::vector<WorkerId> &chosen)
    {
        // enqueueArrival() names a job "job-" and its index in the workload.
        const std::size_t number = std::stoul(entry.job.value().substr(4));
        const WorkloadJob &job = m_workload[number];
        shard.queue.dequeue(entry.job);
        for (const WorkerId &chosenWorker : chosen) {
            const std::uint32_t worker = shard.workerIndexes.at(chosenWorker);
            addCommitted(shard, worker, job.demand);
            shard.running.push({m_now + job.runMs, worker, job.team, job.demand, m_now + job.declaredRunMs});
            m_use[job.team] += job.demand;
        }
        if (shard.gang.isActive() && shard.gang.entry().job == entry.job) {
            shard.gang.end();
        }
        m_started.resize(m_workload.size());
        m_started[number] = true;
        m_result.starts += chosen.size();
        m_result.waitMs[static_cast<std::size_t>(job.workClass)].add(static_cast<double>(m_now - job.arrivalMs));
        m_waiting[job.team] -= job.demand * job.tasks;
    }

    void sample()
    {
        Resources used;
        for (const Resources &use : m_use) {
            used += use;
        }
        Resources waiting;
        for (const Resources &demand : m_waiting) {
            waiting += demand;
        }
        m_meter.add(m_use, m_waiting, m_total);
        const Resources achievable = (used + waiting).limitedTo(m_total);
        m_packingSum += used.dominantShareOf(achievable);
        ++m_samples;
    }

    void finish()
    {
        m_started.resize(m_workload.size());
        // A job that has not started counts with its waiting time so far.
        for (std::size_t i = 0; i < m_nextArrival; ++i) {
            if (!m_started[i]) {
                m_result.waitMs[static_cast<std::size_t>(m_workload[i].workClass)].add(static_cast<double>(m_now - m_workload[i].arrivalMs));
            }
        }
        m_result.packingEfficiency = m_samples > 0 ? m_packingSum / static_cast<double>(m_samples) : 0.0;
        m_result.fairShareDeviation = m_meter.maxDeviation();
    }

    const BenchProfile &m_profile;
    const std::vector<WorkloadJob> &m_workload;
    const PolicyConfig &m_policy;
    ShareMeter m_meter;
    std::vector<Resources> m_use; ///< Resources in use by each team.
    std::vector<Resources> m_waiting; ///< Total demand of each team's waiting tasks.
    std::vector<std::unique_ptr<BenchShard>> m_shards;
    Resources m_total;
    std::vector<bool> m_started; ///< Whether each job of m_workload has started.
    std::size_t m_nextArrival = 0; ///< Index in m_workload of the next job to enqueue.
    std::int64_t m_now = 0;
    double m_packingSum = 0.0; ///< Sum of the packing efficiencies over the samples.
    std::size_t m_samples = 0;
    PolicyRunResult m_result;
};

} // namespace

PolicyRunResult runPolicy(const BenchProfile &profile, const std::vector<WorkloadJob> &workload, const PolicyConfig &policy)
{
    return PolicyRun(profile, workload, policy).run();
}

PolicyMemory measureMemory(const BenchProfile &profile)
{
    constexpr int jobs = 50000;
    PolicyMemory result;
    const std::uint32_t workers = profile.workers / profile.domains;
    const std::int64_t empty = allocatedBytes();
    PlacementIndex index(PlacementPolicy::BestFit);
    for (std::uint32_t i = 0; i < workers; ++i) {
        index.update({WorkerId("vm-" + std::to_string(100000 + i)), RackId("rack" + std::to_string(i / profile.rackSize)), workerCapacity(), {}, {}});
    }
    // The first choice builds the search tree of the index, so its memory is included.
    (void)index.choose(Resources{MilliCores(1), MebiBytes(1), {}, {}}, {});
    const std::int64_t withIndex = allocatedBytes();
    result.perWorker = static_cast<double>(withIndex - empty) / static_cast<double>(workers);
    FairQueue queue{FairQueueSettings{}};
    for (std::int64_t i = 0; i < jobs; ++i) {
        QueueEntry entry;
        entry.job = JobId("job-" + std::to_string(1000000 + i));
        entry.team = teamId(static_cast<std::uint32_t>(i) % static_cast<std::uint32_t>(profile.teamShares.size()));
        entry.demand = Resources{MilliCores(250 * (1 + i % 4)), MebiBytes(1024 * (1 + i % 5)), {}, {}};
        queue.push(entry);
    }
    result.perQueuedTask = static_cast<double>(allocatedBytes() - withIndex) / jobs;
    const auto begin = Clock::now();
    for (int i = 0; i < jobs; ++i) {
        queue.remove(JobId("job-" + std::to_string(1000000 + i)));
    }
    result.cancelMicros = std::chrono::duration<double>(Clock::now() - begin).count() * 1e6 / jobs;
    return result;
}

} // namespace KingCupLadder
