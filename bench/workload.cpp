// Workload profiles. They are assumptions, since no recorded load exists:
// - nuit: most task starts are short requests; rosters are urgent; imports and mailings are batch jobs; planning runs are small
//   gangs; booking applications are services.
// - hardanger: fewer requests; settlements are urgent; tallies are memory-intensive batch jobs; payroll runs are gangs; lookups are
//   served by services.
// - tenfold and target combine both. target has the start rate of docs/design.md, and its run times are scaled to that rate.
// All teams submit equal amounts of work although their shares differ, so that the shares take effect when the cluster is full.
#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace KingCupLadder {

namespace {

constexpr std::int64_t workerMilliCores = 16000;
constexpr std::int64_t workerMemoryMiB = 65536;
constexpr std::int64_t workerSlots = 8;
constexpr double targetStartRate = 6800.0;

// The columns of the kinds are: class, fraction of the starts, millicores, MiB of memory, shortest and longest run time in seconds,
// fewest and most tasks of a job.
std::vector<WorkloadKind> nuitKinds()
{
    return {{BenchClass::Request, 0.80, {250, 500}, {256, 512, 1024}, 0.04, 0.4, 1, 1},
            {BenchClass::Urgent, 0.01, {1000, 2000}, {2048, 4096}, 2.0, 10.0, 1, 1},
            {BenchClass::Batch, 0.15, {500, 1000, 2000, 4000}, {1024, 2048, 6144, 12288}, 2.0, 40.0, 1, 1},
            {BenchClass::Gang, 0.01, {1000, 2000}, {2048, 4096}, 5.0, 20.0, 4, 8},
            {BenchClass::Service, 0.03, {1000, 2000, 4000}, {4096, 8192, 16384}, 60.0, 180.0, 1, 1}};
}

std::vector<WorkloadKind> hardangerKinds()
{
    return {{BenchClass::Request, 0.50, {100, 250}, {128, 256}, 0.02, 0.2, 1, 1},
            {BenchClass::Urgent, 0.01, {2000}, {8192}, 5.0, 20.0, 1, 1},
            {BenchClass::Batch, 0.42, {1000, 2000, 4000, 8000}, {2048, 8192, 16384, 24576}, 5.0, 60.0, 1, 1},
            {BenchClass::Gang, 0.04, {1000, 2000, 4000}, {4096, 8192, 16384}, 10.0, 40.0, 4, 8},
            {BenchClass::Service, 0.03, {1000, 2000}, {4096, 8192}, 60.0, 180.0, 1, 1}};
}

std::vector<WorkloadKind> combinedKinds()
{
    std::vector<WorkloadKind> kinds = nuitKinds();
    const std::vector<WorkloadKind> others = hardangerKinds();
    kinds.insert(kinds.end(), others.begin(), others.end());
    for (WorkloadKind &kind : kinds) {
        kind.startFraction /= 2.0;
    }
    return kinds;
}

/// Returns the shares 1 to 5, repeated for @p count teams.
std::vector<double> cyclicShares(std::size_t count)
{
    constexpr std::size_t distinctShares = 5;
    std::vector<double> shares;
    for (std::size_t i = 0; i < count; ++i) {
        shares.push_back(1.0 + static_cast<double>(i % distinctShares));
    }
    return shares;
}

double mean(const std::vector<std::int64_t> &values)
{
    return static_cast<double>(std::accumulate(values.begin(), values.end(), std::int64_t(0))) / static_cast<double>(values.size());
}

/// Mean of the log-uniform distribution of run times.
double meanSeconds(const WorkloadKind &kind)
{
    return (kind.maxSeconds - kind.minSeconds) / std::log(kind.maxSeconds / kind.minSeconds);
}

/// Mean CPU core seconds per task start.
double coreSecondsPerStart(const std::vector<WorkloadKind> &kinds)
{
    double sum = 0.0;
    for (const WorkloadKind &kind : kinds) {
        sum += kind.startFraction * mean(kind.milliCores) / 1000.0 * meanSeconds(kind);
    }
    return sum;
}

class WorkloadGenerator
{
public:
    WorkloadGenerator(const BenchProfile &profile, double load, std::uint64_t seed) : m_profile(profile), m_random(seed)
    {
        const double cores = static_cast<double>(profile.workers) * workerMilliCores / 1000.0;
        const double saturatingRate = cores / coreSecondsPerStart(profile.kinds);
        m_startRate = (profile.startRate > 0.0 ? profile.startRate : saturatingRate) * load;
        m_runScale = profile.startRate > 0.0 ? saturatingRate / profile.startRate : 1.0;
    }

    std::vector<WorkloadJob> generate()
    {
        std::vector<WorkloadJob> jobs;
        for (const WorkloadKind &kind : m_profile.kinds) {
            addKind(kind, jobs);
        }
        std::stable_sort(jobs.begin(), jobs.end(), [](const WorkloadJob &a, const WorkloadJob &b) { return a.arrivalMs < b.arrivalMs; });
        return jobs;
    }

private:
    std::int64_t pick(const std::vector<std::int64_t> &values)
    {
        return values[std::uniform_int_distribution<std::size_t>(0, values.size() - 1)(m_random)];
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    WorkloadJob drawJob(const WorkloadKind &kind)
    {
        WorkloadJob job;
        job.workClass = kind.workClass;
        job.team = std::uniform_int_distribution<std::uint32_t>(0, static_cast<std::uint32_t>(m_profile.teamShares.size()) - 1)(m_random);
        job.shard = std::uniform_int_distribution<std::uint32_t>(0, m_profile.domains - 1)(m_random);
        job.tasks = std::uniform_int_distribution<std::uint32_t>(kind.minTasks, kind.maxTasks)(m_random);
        const bool takesSlot = kind.workClass == BenchClass::Request;
        job.demand = Resources{MilliCores(pick(kind.milliCores)), MebiBytes(pick(kind.memoryMiB)), Accelerators(0), Slots(takesSlot ? 1 : 0)};
        const double seconds = kind.minSeconds * std::exp(uniform(0.0, std::log(kind.maxSeconds / kind.minSeconds))) * m_runScale;
        job.runMs = std::max<std::int64_t>(1, std::llround(seconds * 1000.0));
        job.declaredRunMs = std::max<std::int64_t>(1, std::llround(seconds * 1000.0 * std::exp2(uniform(-1.0, 1.0))));
        return job;
    }

    void addKind(const WorkloadKind &kind, std::vector<WorkloadJob> &jobs)
    {
        const double tasksPerJob = (kind.minTasks + kind.maxTasks) / 2.0;
        const double jobsPerSecond = m_startRate * kind.startFraction / tasksPerJob;
        if (kind.workClass == BenchClass::Service) {
            addRunningServices(kind, jobsPerSecond, jobs);
        }
        std::exponential_distribution<double> gap(jobsPerSecond);
        for (double at = gap(m_random); at < m_profile.seconds; at += gap(m_random)) {
            WorkloadJob job = drawJob(kind);
            job.arrivalMs = static_cast<std::int64_t>(at * 1000.0);
            jobs.push_back(job);
        }
    }

    /// Adds services that run from the beginning, as many as the arrivals sustain, with uniformly distributed remaining run times.
    void addRunningServices(const WorkloadKind &kind, double jobsPerSecond, std::vector<WorkloadJob> &jobs)
    {
        const auto count = static_cast<int>(jobsPerSecond * meanSeconds(kind) * m_runScale);
        for (int i = 0; i < count; ++i) {
            WorkloadJob job = drawJob(kind);
            job.runMs = std::max<std::int64_t>(1, static_cast<std::int64_t>(static_cast<double>(job.runMs) * uniform(0.0, 1.0)));
            jobs.push_back(job);
        }
    }

    const BenchProfile &m_profile;
    std::mt19937_64 m_random;
    double m_startRate = 0.0; ///< Task starts per second.
    double m_runScale = 1.0; ///< Factor of the run times with which the start rate of the profile occupies all cores at load 1.
};

} // namespace

const char *toString(BenchClass workClass)
{
    switch (workClass) {
    case BenchClass::Request:
        return "request";
    case BenchClass::Urgent:
        return "urgent";
    case BenchClass::Batch:
        return "batch";
    case BenchClass::Gang:
        return "gang";
    case BenchClass::Service:
        return "service";
    }
    return "unknown";
}

Resources workerCapacity()
{
    return Resources{MilliCores(workerMilliCores), MebiBytes(workerMemoryMiB), Accelerators(0), Slots(workerSlots)};
}

BenchProfile benchProfile(const std::string &name)
{
    // One team for each of the six workspaces of a deployment; a few workspaces have most of the shares.
    const std::vector<double> sixShares{4.0, 3.0, 2.0, 1.0, 1.0, 1.0};
    // The columns are: name, workers, failure domains, workers per rack, team shares, kinds, start rate (0: derived), seconds.
    if (name == "nuit") {
        return {name, 50, 3, 8, sixShares, nuitKinds(), 0.0, 600.0};
    }
    if (name == "hardanger") {
        return {name, 50, 4, 6, sixShares, hardangerKinds(), 0.0, 600.0};
    }
    if (name == "tenfold") {
        return {name, 500, 4, 8, cyclicShares(12), combinedKinds(), 0.0, 300.0};
    }
    return {"target", 7800, 5, 8, cyclicShares(50), combinedKinds(), targetStartRate, 60.0};
}

std::vector<WorkloadJob> generateWorkload(const BenchProfile &profile, double load, std::uint64_t seed)
{
    return WorkloadGenerator(profile, load, seed).generate();
}

} // namespace KingCupLadder
