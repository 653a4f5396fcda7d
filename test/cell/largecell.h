// Load of large cells: hundreds of workers, many workspaces, a policy service that allows a third of the workers, large gangs, wide batch
// jobs and many short jobs that arrive at random. Short jobs are the most urgent; gangs are worth most to the users, which the scheduler does
// not consider.
#pragma once

#include "fakecell.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace KingCupLadder {

constexpr std::int64_t largeCellMilliCores = 16000;
constexpr Duration arrivalInterval{5};

/// Parameters of one class of jobs.
struct LoadClass {
    const char *route;
    double perSecond;
    double steps; ///< Mean number of steps, 1 to 2.
    double width; ///< Mean number of tasks per step.
    std::int64_t milliCores;
    std::int64_t memory;
    Duration taskDuration;
    bool gang;
    double stretch;
    Duration target;
    int priority;
    int attempts;
    AdviceSettings advice;
    int allowedPercent; ///< Share of the workers that the policy service allows for a step.
    double spread = 0; ///< Standard deviation of the demands and durations of jobs, as a fraction of their means.
    int gangPercent = 100; ///< Share of the jobs that are gangs if gang is set.
    int checkpointPercent = 0; ///< Share of the jobs whose runs save checkpoints.
};

/// A cell and the classes of jobs that arrive there.
struct CellLoad {
    int workers;
    int daemons;
    int workspaces;
    std::int64_t memory; ///< Of a worker, in MiB.
    std::vector<LoadClass> classes;
    double workspaceRate = 20;
};

inline const char *const gangs = "gangs";
inline const char *const batches = "batches";
inline const char *const quick = "quick";

/// A cell of 350 workers and 41 daemons, the size at which the leader's CPU was the bottleneck, at its average load.
inline CellLoad averageLoad()
{
    return CellLoad{350,
                    41,
                    20,
                    65536,
                    {{quick, 125, 1, 3, 2500, 1500, Duration(640), false, 1.5, Duration(300), 0, 2, AdviceSettings{12, 0.3, Duration(2000)}, 35},
                     {gangs, 4.28, 1.2, 20, 4500, 13000, Duration(5000), true, 2.2, Duration(1000), 1, 4, AdviceSettings{440, 6.2, Duration(2000)}, 35},
                     {batches, 8.95, 1.5, 25, 1700, 3600, Duration(2700), false, 4.0, Duration(3000), 2, 3, AdviceSettings{60, 1, Duration(2000)}, 35}}};
}

/// A cell of 540 workers and 97 daemons that is four fifths full on average.
inline CellLoad busyLoad()
{
    return CellLoad{540,
                    97,
                    29,
                    32768,
                    {{quick, 79.1, 1, 3, 3900, 5600, Duration(1000), false, 1.5, Duration(300), 0, 4, AdviceSettings{20, 0.28, Duration(2500)}, 70, 0.45},
                     {gangs, 8.34, 1.2, 20, 4500, 8600, Duration(4000), true, 2.2, Duration(1000), 1, 2, AdviceSettings{390, 5.6, Duration(2500)}, 35, 0.4},
                     {batches, 11.1, 1.5, 24, 2800, 2800, Duration(2200), false, 4.0, Duration(3000), 2, 4, AdviceSettings{140, 2, Duration(2500)}, 45, 0.45}}};
}

/// The first workload of docs/hard-load.md: the policy service and then the CPU are the bottlenecks.
inline CellLoad lendingLoad()
{
    return CellLoad{
        350,
        40,
        20,
        32768,
        {{quick, 88.3, 1, 3, 2500, 2000, Duration(1000), true, 1.5, Duration(250), 0, 4, AdviceSettings{14.3, 0.208, Duration(2500)}, 70, 0.45, 30},
         {gangs, 5.9, 1.2, 20, 4500, 7000, Duration(4000), true, 2.2, Duration(1000), 1, 4, AdviceSettings{455, 6.5, Duration(2500)}, 35, 0.4, 100, 50},
         {batches, 12.3, 1.5, 25, 1700, 2000, Duration(2200), false, 4.0, Duration(3000), 2, 4, AdviceSettings{104, 1.43, Duration(2500)}, 45, 0.45, 0, 80}}};
}

/// The workload "table booking" of docs/hard-load.md without its faults. A third of the workers is 2.4 times slower, see setUnevenSpeeds().
inline CellLoad tableBookingLoad()
{
    return CellLoad{350,
                    34,
                    20,
                    65536,
                    {{quick, 88, 1, 3, 5000, 2800, Duration(680), false, 1.5, Duration(250), 0, 4, AdviceSettings{9, 0.13, Duration(2500)}, 70, 0.3},
                     {gangs, 4.77, 1.2, 20, 9000, 8600, Duration(3400), true, 2.2, Duration(1000), 1, 4, AdviceSettings{340, 4.9, Duration(2500)}, 35, 0.3},
                     {batches, 9.85, 1.5, 25, 3500, 2800, Duration(1900), false, 4.0, Duration(3000), 2, 4, AdviceSettings{80, 1.1, Duration(2500)}, 45, 0.3}}};
}

inline const char *const smallGangs = "smallgangs";

/// A cell that is nearly full on average: the instalment lending workload of docs/hard-load.md with 100 of its 350 workers and, in proportion,
/// fewer jobs.
inline CellLoad hardLoad()
{
    const AdviceSettings quickAdvice{14.3, 0.208, Duration(2500)};
    const AdviceSettings gangAdvice{455, 6.5, Duration(2500)};
    const AdviceSettings batchAdvice{104, 1.43, Duration(2500)};
    return CellLoad{100,
                    12,
                    6,
                    32768,
                    {{quick, 17.7, 1, 3, 2500, 1500, Duration(1000), false, 1.5, Duration(250), 0, 4, quickAdvice, 70, 0.4},
                     {smallGangs, 7.57, 1, 3, 2500, 1500, Duration(1000), true, 1.5, Duration(250), 0, 4, quickAdvice, 70, 0.4},
                     {gangs, 1.69, 1.2, 20, 4500, 3000, Duration(4000), true, 2.2, Duration(1000), 1, 4, gangAdvice, 35, 0.4, 100, 50},
                     {batches, 3.51, 1.5, 25, 1700, 1500, Duration(2200), false, 4.0, Duration(3000), 2, 4, batchAdvice, 45, 0.4, 100, 80}}};
}

class LargeCell
{
public:
    explicit LargeCell(const CellLoad &load, unsigned seed = 20260704, std::int64_t milliCores = largeCellMilliCores)
        : cell(load.workers, milliCores), m_load(load), m_random(seed)
    {
        cell.config->workspaces.clear();
        for (int i = 0; i < load.workspaces; ++i) {
            cell.config->workspaces.push_back(Workspace{WorkspaceId("t" + std::to_string(i)), {"key"}, load.workspaceRate, Resources{}});
        }
        for (const LoadClass &kind : load.classes) {
            addClass(kind);
        }
        for (auto &[id, worker] : cell.workers) {
            worker.info.capacity = cellResources(milliCores, load.memory);
        }
        cell.duration = [this](const StartOrder &order) {
            const LoadClass &kind = classOf(order.payload);
            const auto percent = static_cast<int>(50 + std::hash<std::string>()(order.task.text()) % 100);
            const Duration mean = durationOf(order.task.step.job, kind);
            return cell.storedJobs.at(order.task.step.job).steps[0].gang ? mean : mean * percent / 100;
        };
        cell.isAllowed = [this](const StepRef &step, const WorkerId &worker) {
            const LoadClass &kind = classOf(cell.storedJobs.at(step.job).payload);
            return static_cast<int>(std::hash<std::string>()(step.job.value() + std::to_string(step.step) + worker.value()) % 100) < kind.allowedPercent;
        };
        startLeadership(1);
        cell.run(Duration(500));
    }

    /// Every third worker takes 1.7 times the duration of a task, the others 0.7 times.
    void setUnevenSpeeds()
    {
        int index = 0;
        for (auto &[id, worker] : cell.workers) {
            worker.slowness = index++ % 3 == 0 ? 1.7 : 0.7;
        }
    }

    void startLeadership(std::uint64_t epoch)
    {
        cell.startLeadership(epoch);
        std::vector<DaemonId> ids;
        ids.reserve(static_cast<std::size_t>(m_load.daemons));
        for (int i = 0; i < m_load.daemons; ++i) {
            ids.emplace_back("d" + std::to_string(i));
        }
        cell.scheduler->setAdviceDaemons(ids);
    }

    /// Runs the cell for @p span while jobs arrive at their average rates, multiplied by the factors of their classes.
    void serve(Duration span, const std::map<std::string, double> &factors = {})
    {
        const TimePoint until = cell.now + span;
        while (cell.now < until) {
            for (const LoadClass &kind : m_load.classes) {
                const auto factor = factors.find(kind.route);
                submitArrivals(kind, factor == factors.end() ? 1 : factor->second);
            }
            cell.run(arrivalInterval);
            recordEnds();
        }
    }

    /// Fraction of the admitted jobs of a class that met their objective, among those whose objective has passed.
    [[nodiscard]] double fractionOnTime(const std::string &route) const
    {
        int due = 0;
        int onTime = 0;
        for (const auto &[id, job] : m_jobs) {
            if (job.route == route && job.softDeadline <= cell.now) {
                ++due;
                onTime += job.ended != TimePoint() && job.ended <= job.softDeadline ? 1 : 0;
            }
        }
        return due > 0 ? static_cast<double>(onTime) / due : 1;
    }

    /// Fraction of the admitted jobs of a class that ended before they were worthless, among those that would be worthless by now.
    [[nodiscard]] double fractionServed(const std::string &route) const
    {
        int due = 0;
        int served = 0;
        for (const auto &[id, job] : m_jobs) {
            const TimePoint firmDeadline = job.submitted + (job.softDeadline - job.submitted) * firmDeadlineFactor;
            if (job.route == route && firmDeadline <= cell.now) {
                ++due;
                served += job.ended != TimePoint() && job.ended <= firmDeadline ? 1 : 0;
            }
        }
        return due > 0 ? static_cast<double>(served) / due : 1;
    }

    /// Number of jobs of a class that were refused.
    [[nodiscard]] int refused(const std::string &route) const
    {
        const auto found = m_refused.find(route);
        return found == m_refused.end() ? 0 : found->second;
    }

    /// Number of jobs of a class that were admitted.
    [[nodiscard]] int admitted(const std::string &route) const
    {
        return static_cast<int>(std::count_if(m_jobs.begin(), m_jobs.end(), [&route](const auto &entry) { return entry.second.route == route; }));
    }

    /// Returns a table of the service seconds by priority and purpose, the waits for first answers, and the share of each class in time.
    [[nodiscard]] std::string report() const
    {
        const CellCounters &counters = cell.scheduler->counters();
        std::string text;
        for (const auto &[key, usage] : counters.advice.calls) {
            text += "  priority " + std::to_string(key.first) + " " + toString(key.second) + ": " + std::to_string(usage.calls) + " calls, "
                + std::to_string(usage.named / std::max<std::uint64_t>(usage.calls, 1)) + " workers a call, " + std::to_string(usage.serviceTime.count())
                + " ms\n";
        }
        for (const auto &[priority, waits] : counters.advice.firstAnswers) {
            text += "  priority " + std::to_string(priority) + " first answers: " + std::to_string(waits.answers) + ", mean wait "
                + std::to_string(waits.totalWait.count() / static_cast<std::int64_t>(waits.answers)) + " ms, longest "
                + std::to_string(waits.longestWait.count()) + " ms\n";
        }
        for (const LoadClass &kind : m_load.classes) {
            text += "  " + std::string(kind.route) + ": admitted " + std::to_string(admitted(kind.route)) + ", refused " + std::to_string(refused(kind.route))
                + ", in time " + std::to_string(fractionOnTime(kind.route)) + ", served " + std::to_string(fractionServed(kind.route)) + "\n";
        }
        return text + "  starts " + std::to_string(counters.starts) + "\n";
    }

    [[nodiscard]] const LoadClass &classOf(const std::string &route) const
    {
        return *std::find_if(m_load.classes.begin(), m_load.classes.end(), [&route](const LoadClass &kind) { return route == kind.route; });
    }

    FakeCell cell;

private:
    CellLoad m_load;
    int m_submitted = 0;

    struct Submitted {
        std::string route;
        TimePoint submitted;
        TimePoint softDeadline;
        TimePoint ended;
    };

    void addClass(const LoadClass &kind)
    {
        cell.addRoute(kind.route, kind.priority, kind.advice);
        CellRoute &route = cell.config->routes.back();
        route.stretch = kind.stretch;
        route.targetLatency = kind.target;
        route.attempts = kind.attempts;
    }

    [[nodiscard]] Duration durationOf(const JobId &job, const LoadClass &kind) const
    {
        const auto found = m_durations.find(job);
        return found == m_durations.end() ? kind.taskDuration : found->second;
    }

    /// Returns a random factor with a mean of about 1.
    double around(double spread)
    {
        return std::clamp(std::normal_distribution<double>(1, spread)(m_random), 0.3, 1.7);
    }

    /// Returns a random number with an exponential distribution, rounded, and at least 1.
    int exponentialAtLeastOne(double mean)
    {
        return std::max(1, static_cast<int>(std::lround(mean * std::exponential_distribution<double>(1)(m_random))));
    }

    /// Submits the jobs of a class that arrive within one arrivalInterval.
    void submitArrivals(const LoadClass &kind, double factor)
    {
        const double expected = factor * kind.perSecond * static_cast<double>(arrivalInterval.count()) / 1000;
        const int number = std::poisson_distribution<int>(expected)(m_random);
        for (int i = 0; i < number; ++i) {
            ++m_submitted;
            const int steps = kind.steps > 1 && std::uniform_real_distribution<double>(0, 1)(m_random) < kind.steps - 1 ? 2 : 1;
            const int width = std::min(kind.width > 5 ? exponentialAtLeastOne(kind.width) : static_cast<int>(kind.width), 120);
            const auto cpu = static_cast<std::int64_t>(static_cast<double>(kind.milliCores) * around(kind.spread));
            const auto memory = static_cast<std::int64_t>(static_cast<double>(kind.memory) * around(kind.spread));
            const auto duration = Duration(static_cast<std::int64_t>(static_cast<double>(kind.taskDuration.count()) * around(kind.spread)));
            CellJob job = cellJob(std::string(kind.route) + std::to_string(m_submitted), width, cpu, duration, kind.route);
            m_durations[job.id] = duration;
            job.payload = kind.route;
            job.workspace = WorkspaceId("t" + std::to_string(m_random() % static_cast<unsigned>(m_load.workspaces)));
            job.steps[0].gang = kind.gang && (kind.gangPercent >= 100 || static_cast<int>(m_random() % 100) < kind.gangPercent);
            job.steps[0].checkpointing = kind.checkpointPercent > 0 && static_cast<int>(m_random() % 100) < kind.checkpointPercent;
            job.steps[0].demand = cellResources(cpu, memory);
            job.steps[0].estimate = duration * std::uniform_int_distribution<int>(100 - static_cast<int>(kind.spread * 100), 100)(m_random) / 100;
            if (steps == 2) {
                StepSpec second = job.steps[0];
                second.after = {0};
                job.steps.push_back(second);
            }
            if (cell.submit(job) != AdmissionVerdict::Admitted) {
                ++m_refused[kind.route];
                continue;
            }
            const Duration criticalPath = duration * steps;
            const Duration objective = Duration(static_cast<std::int64_t>(static_cast<double>(criticalPath.count()) * kind.stretch)) + kind.target;
            m_jobs[job.id] = Submitted{kind.route, cell.now, cell.now + objective, TimePoint()};
            m_open.insert(job.id);
        }
    }

    void recordEnds()
    {
        for (auto id = m_open.begin(); id != m_open.end();) {
            if (isFinal(cell.scheduler->state(*id))) {
                m_jobs[*id].ended = cell.now;
                id = m_open.erase(id);
            } else {
                ++id;
            }
        }
    }

    std::mt19937 m_random;
    std::map<JobId, Duration> m_durations;
    std::map<JobId, Submitted> m_jobs;
    std::set<JobId> m_open;
    std::map<std::string, int> m_refused;
};

} // namespace KingCupLadder
