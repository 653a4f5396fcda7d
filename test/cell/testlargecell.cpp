// Typical load of a large cell: 350 workers, 20 workspaces, a policy service that allows a third of the workers, large gangs, wide
// batch jobs and many short jobs at average arrival rates. Short jobs are the most urgent; gangs are worth most to the
// users, which the scheduler does not consider.
#include "fakecell.h"

#include <cmath>
#include <random>

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

constexpr int largeCellWorkers = 350; // With 41 daemons, the size of a site on which the leader's CPU was the bottleneck.
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
};

const LoadClass gangs{"gangs", 4.28, 1.2, 20, 4500, 13000, Duration(5000), true, 2.2, Duration(1000)};
const LoadClass batches{"batches", 8.95, 1.5, 25, 1700, 3600, Duration(2700), false, 4.0, Duration(3000)};
const LoadClass quick{"quick", 125, 1, 3, 2500, 1500, Duration(640), false, 1.5, Duration(300)};

class LargeCell
{
public:
    explicit LargeCell(int daemons = 41) : cell(largeCellWorkers, largeCellMilliCores)
    {
        addClass(quick, 0, AdviceSettings{12, 0.3, Duration(2000)}, 2);
        addClass(gangs, 1, AdviceSettings{440, 6.2, Duration(2000)}, 4);
        addClass(batches, 2, AdviceSettings{60, 1, Duration(2000)}, 3);
        cell.config->workspaces.clear();
        for (int i = 0; i < workspaces; ++i) {
            cell.config->workspaces.push_back(Workspace{WorkspaceId("t" + std::to_string(i)), {"key"}, 20, Resources{}});
        }
        for (auto &[id, worker] : cell.workers) {
            worker.info.capacity = cellResources(largeCellMilliCores, 65536);
        }
        cell.duration = [](const StartOrder &order) {
            const auto percent = static_cast<int>(50 + std::hash<std::string>()(order.task.text()) % 100);
            if (order.payload == gangs.route) {
                return gangs.taskDuration;
            }
            return (order.payload == quick.route ? quick.taskDuration : batches.taskDuration) * percent / 100;
        };
        cell.isAllowed = [](const StepRef &step, const WorkerId &worker) {
            return std::hash<std::string>()(step.job.value() + std::to_string(step.step) + worker.value()) % 100 < 35;
        };
        cell.startLeadership();
        std::vector<DaemonId> ids;
        ids.reserve(static_cast<std::size_t>(daemons));
        for (int i = 0; i < daemons; ++i) {
            ids.emplace_back("d" + std::to_string(i));
        }
        cell.scheduler->setAdviceDaemons(ids);
        cell.run(Duration(500));
    }

    /// Runs the cell for @p span while jobs arrive at their average rates.
    void serve(Duration span)
    {
        const TimePoint until = cell.now + span;
        while (cell.now < until) {
            submitArrivals(gangs);
            submitArrivals(batches);
            submitArrivals(quick);
            cell.run(arrivalInterval);
            recordEnds();
        }
    }

    /// Fraction of the admitted jobs of a class that met their objective, among those whose objective has passed.
    [[nodiscard]] double fractionOnTime(const LoadClass &kind) const
    {
        int due = 0;
        int onTime = 0;
        for (const auto &[id, job] : m_jobs) {
            if (job.route == kind.route && job.softDeadline <= cell.now) {
                ++due;
                onTime += job.ended != TimePoint() && job.ended <= job.softDeadline ? 1 : 0;
            }
        }
        return due > 0 ? static_cast<double>(onTime) / due : 1;
    }

    FakeCell cell;

private:
    static constexpr int workspaces = 20;
    int m_submitted = 0;

    struct Submitted {
        std::string route;
        TimePoint softDeadline;
        TimePoint ended;
    };

    void addClass(const LoadClass &kind, int priority, const AdviceSettings &advice, int attempts)
    {
        cell.addRoute(kind.route, priority, advice);
        CellRoute &route = cell.config->routes.back();
        route.stretch = kind.stretch;
        route.targetLatency = kind.target;
        route.attempts = attempts;
    }

    /// Returns a random number with an exponential distribution, rounded, and at least 1.
    int exponentialAtLeastOne(double mean)
    {
        return std::max(1, static_cast<int>(std::lround(mean * std::exponential_distribution<double>(1)(m_random))));
    }

    /// Submits the jobs of a class that arrive within one arrivalInterval.
    void submitArrivals(const LoadClass &kind)
    {
        const double expected = kind.perSecond * static_cast<double>(arrivalInterval.count()) / 1000;
        const int number = std::poisson_distribution<int>(expected)(m_random);
        for (int i = 0; i < number; ++i) {
            ++m_submitted;
            const int steps = kind.steps > 1 && std::uniform_real_distribution<double>(0, 1)(m_random) < kind.steps - 1 ? 2 : 1;
            const int width = std::min(kind.width > 5 ? exponentialAtLeastOne(kind.width) : static_cast<int>(kind.width), 120);
            CellJob job = cellJob(std::string(kind.route) + std::to_string(m_submitted), width, kind.milliCores, kind.taskDuration, kind.route);
            job.payload = kind.route;
            job.workspace = WorkspaceId("t" + std::to_string(m_random() % workspaces));
            job.steps[0].gang = kind.gang;
            job.steps[0].demand = cellResources(kind.milliCores, kind.memory);
            if (steps == 2) {
                StepSpec second = job.steps[0];
                second.after = {0};
                job.steps.push_back(second);
            }
            if (cell.submit(job) != AdmissionVerdict::Admitted) {
                continue;
            }
            const Duration criticalPath = kind.taskDuration * steps;
            const Duration objective = Duration(static_cast<std::int64_t>(static_cast<double>(criticalPath.count()) * kind.stretch)) + kind.target;
            m_jobs[job.id] = Submitted{kind.route, cell.now + objective, TimePoint()};
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

    std::mt19937 m_random{20260704};
    std::map<JobId, Submitted> m_jobs;
    std::set<JobId> m_open;
};

} // namespace

TEST_GROUP(LargeCell){};

// Guards against scheduling that serves one class of jobs at the expense of another under the average load of a
// large cell.
TEST(LargeCell, ServesEveryClassOfJobsOnTime)
{
    LargeCell largeCell;
    largeCell.serve(Duration(12000));
    CHECK_TRUE(largeCell.fractionOnTime(quick) >= 0.9);
    CHECK_TRUE(largeCell.fractionOnTime(gangs) >= 0.9);
    CHECK_TRUE(largeCell.fractionOnTime(batches) >= 0.9);
    CHECK_NO_VIOLATION(largeCell.cell);
}

// Guards against advice calls that name far more workers than needed and delay a gang by their duration. Happens with a gang of
// average size on an idle cell.
TEST(LargeCell, NamesNoMoreWorkersThanAGangNeeds)
{
    LargeCell largeCell;
    CellJob gang = cellJob("gang", 20, gangs.milliCores, gangs.taskDuration, gangs.route);
    gang.payload = gangs.route;
    gang.workspace = WorkspaceId("t0");
    gang.steps[0].gang = true;
    largeCell.cell.submit(gang);
    largeCell.cell.run(Duration(1500));
    CHECK_EQUAL(20, largeCell.cell.runningTasks());
    // An idle worker fits three tasks, and the policy service allows about a third of the workers: 20 named workers would be just enough. At
    // most twice as many may be named.
    CHECK_TRUE(largeCell.cell.workersNamed <= 2 * 3 * 20 / 3);
}

} // namespace KingCupLadder
