// How long a task that is suspected of crashing workers waits for a worker without other runs, while every worker has some.
#include "cellwithservices.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <random>
#include <string>

using namespace KingCupLadder;

namespace {

constexpr Duration maxSearch{7000}; ///< The search for a worker without runs takes 5 s; calls and reads of the registry come on top.
constexpr Duration maxWaitWithRoom{9000}; ///< The search, differences between the leaders' clocks, and the take-over of the last leader.
constexpr int seedsInCi = 60;

/// A job whose task crashes its worker at its first start. The crash is stored, and the task waits again.
struct StoredSuspect {
    explicit StoredSuspect(int gangSize = 0) : trial(WorkerReturn::Never, Duration(200000))
    {
        CellJob job = cellJob("job", std::max(gangSize, 1), 1000, Duration(60000));
        job.steps[0].gang = gangSize > 0;
        trial.crashing.makeDeadly("job");
        CHECK_TRUE(trial.cell.submit(job) == AdmissionVerdict::Admitted);
        while (trial.crashing.crashes() == 0) {
            trial.cell.run(Duration(5));
        }
        trial.crashing.makeHarmless("job");
        // The worker does not come back, so its leases have to expire first. Then the next leader does not wait for it.
        while (trial.cell.storedProgress.count(JobId("job")) == 0) {
            trial.cell.run(Duration(5));
        }
        trial.cell.run(Duration(1000));
    }

    CellWithServices trial;
};

/// Starts a job's only task, and restarts its worker before a list has shown the run.
void restartBeforeTheRunIsListed(CellWithServices &trial)
{
    WorkerId silent;
    trial.cell.onHold = [&silent](const HoldOrder &order) { return order.worker != silent; };
    trial.cell.onRunStarted = [&silent](const FakeCellWorker &worker, const StartOrder &) { silent = worker.info.id; };
    CHECK_TRUE(trial.cell.submit(cellJob("job", 1, 1000, Duration(60000))) == AdmissionVerdict::Admitted);
    while (trial.workerOf("job").isEmpty()) {
        trial.cell.run(Duration(5));
    }
    trial.cell.onRunStarted = nullptr;
    trial.cell.run(Duration(250));
    trial.cell.workers.at(silent).restart();
    trial.cell.run(Duration(100));
    trial.cell.onHold = [](const HoldOrder &) { return true; };
}

/// Jobs with stored progress of any kind, under leaders that change every few seconds while each worker runs a service.
class StoredProgressSeries
{
public:
    explicit StoredProgressSeries(int seed) : m_random(static_cast<unsigned>(seed)), m_trial(WorkerReturn::Never, Duration(200000)) { }

    /// Returns the first job that was not started in time; empty: all were.
    std::string play()
    {
        FakeCell &cell = m_trial.cell;
        for (int i = 0; i < jobs; ++i) {
            CellJob job = cellJob("job" + std::to_string(i), between(1, 3), between(200, 900), Duration(60000));
            job.steps[0].gang = between(0, 1) == 1;
            job.submittedUnixMs = cell.time().unixMs - between(0, 60000);
            cell.storedProgress[job.id].steps[{0, 0}] = randomProgress(job.steps[0]);
            cell.storedJobs[job.id] = job;
        }
        std::set<JobId> started;
        cell.onRunStarted = [&started](const FakeCellWorker &, const StartOrder &order) { started.insert(order.task.step.job); };
        const TimePoint begin = cell.now;
        for (std::uint64_t epoch = 2; cell.now < begin + maxWaitWithRoom; ++epoch) {
            cell.loadDuration = Duration(between(0, 300));
            cell.startLeadership(epoch);
            cell.run(std::min(Duration(between(1500, 4000)), std::chrono::duration_cast<Duration>(begin + maxWaitWithRoom - cell.now)));
        }
        for (const auto &[id, job] : cell.storedJobs) {
            if (started.count(id) == 0 && id.value() != "service") {
                return "job " + id.value() + " has room and was not started";
            }
        }
        return cell.violations.empty() ? std::string() : cell.violations.front();
    }

private:
    [[nodiscard]] int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    [[nodiscard]] StepProgress randomProgress(const StepSpec &step)
    {
        StepProgress progress;
        for (int task = 0; task < (step.gang ? 1 : step.count); ++task) {
            for (int run = between(0, 4); run > 0; --run) {
                // From the leaders' clocks, which differ by a second, or without a time, as from an earlier version.
                const std::int64_t at = between(0, 4) == 0 ? 0 : m_trial.cell.time().unixMs + between(-60000, 1000);
                progress.crashes[task][RunNumber(static_cast<std::uint64_t>(run))] =
                    WorkerCrash{static_cast<CrashTiming>(between(1, 2)), between(0, 1) == 1, between(0, 1) == 1, at};
            }
            if (between(0, 2) == 0) {
                progress.failedRuns[task].insert(RunNumber(9));
            }
        }
        progress.gangCheckpoint = step.gang && between(0, 1) == 1 ? "checkpoint" : "";
        return progress;
    }

    static constexpr int jobs = 5;
    std::mt19937 m_random;
    CellWithServices m_trial;
};

int environmentNumber(const char *name, int fallback)
{
    const char *text = std::getenv(name);
    return text != nullptr ? std::atoi(text) : fallback;
}

} // namespace

TEST_GROUP(IsolationWaits){};

// Guards against a wait without an end: the worker restarts before it has listed the run, so that no run of the task counts as ended, and the
// search for a worker without other runs was bounded from the end of a run only.
TEST(IsolationWaits, EndsForATaskWhoseRunWasNotListedBeforeItsWorkerRestarted)
{
    CellWithServices trial(WorkerReturn::Never, Duration(200000));
    restartBeforeTheRunIsListed(trial);
    CHECK_COMPARE(trial.timeUntilRunning("job", Duration(30000)).count(), <, maxSearch.count());
    CHECK_NO_VIOLATION(trial.cell);
}

// Guards against taking such a run for one that never ran: a gang would go on without its member.
TEST(IsolationWaits, ARunThatWasNotListedBeforeItsWorkerRestartedCountsAsLost)
{
    CellWithServices trial(WorkerReturn::Never, Duration(200000));
    restartBeforeTheRunIsListed(trial);
    trial.cell.run(Duration(3000));
    CHECK_EQUAL(0U, trial.cell.scheduler->counters().neverRan);
    CHECK_TRUE(trial.cell.scheduler->counters().lost > 0);
}

// Guards against a wait without an end after a change of the leader: the new one knows the crash from the store, and no end of a run.
TEST(IsolationWaits, EndsUnderALeaderThatKnowsTheCrashFromTheStore)
{
    StoredSuspect suspect;
    suspect.trial.cell.startLeadership(2);
    CHECK_COMPARE(suspect.trial.timeUntilRunning("job", Duration(30000)).count(), <, maxSearch.count());
}

// As before, for a gang, which waits for as many such workers as it needs.
TEST(IsolationWaits, EndsForAGangUnderALeaderThatKnowsTheCrashFromTheStore)
{
    StoredSuspect suspect(3);
    suspect.trial.cell.startLeadership(2);
    CHECK_COMPARE(suspect.trial.timeUntilRunning("job", Duration(30000)).count(), <, maxSearch.count());
}

// Guards against leaders that each begin the wait anew, so that it never ends while they change often.
TEST(IsolationWaits, IsNotBegunAnewByEachLeader)
{
    StoredSuspect suspect;
    const TimePoint begin = suspect.trial.cell.now;
    std::uint64_t epoch = 2;
    Duration waited{0};
    while (waited < Duration(30000) && suspect.trial.workerOf("job").isEmpty()) {
        suspect.trial.cell.startLeadership(epoch++);
        (void)suspect.trial.timeUntilRunning("job", Duration(2000));
        waited = suspect.trial.cell.now - begin;
    }
    CHECK_COMPARE(waited.count(), <, maxWaitWithRoom.count());
}

// Guards against leaders that each wait anew for the leases of a worker that is gone, so that its tasks never start again while leaders change often.
TEST(IsolationWaits, ForAWorkerThatIsGoneAreNotBegunAnewByEachLeader)
{
    CellWithServices trial(WorkerReturn::Never, Duration(200000));
    CHECK_TRUE(trial.cell.submit(cellJob("job", 1, 1000, Duration(60000))) == AdmissionVerdict::Admitted);
    trial.cell.run(Duration(3000));
    trial.crashing.crash(trial.workerOf("job"));
    const TimePoint begin = trial.cell.now;
    std::uint64_t epoch = 2;
    while (trial.cell.now < begin + Duration(30000) && trial.workerOf("job").isEmpty()) {
        (void)trial.timeUntilRunning("job", Duration(2000));
        trial.cell.startLeadership(epoch++);
    }
    // The leases last 6.4 s.
    CHECK_COMPARE((trial.cell.now - begin).count(), <, (maxWaitWithRoom + Duration(6400)).count());
}

// Guards against any wait that has no bound, or a bound that each leader begins anew, whatever earlier leaders have stored.
TEST(IsolationWaits, AreBoundedWhateverIsStored)
{
    const int first = environmentNumber("LADDER_WAITS_SEED", 1);
    const int runs = environmentNumber("LADDER_WAITS_RUNS", seedsInCi);
    for (int seed = first; seed < first + runs; ++seed) {
        const std::string fault = StoredProgressSeries(seed).play();
        STRCMP_EQUAL_TEXT("", fault.c_str(), ("play this seed alone with LADDER_WAITS_SEED=" + std::to_string(seed) + " LADDER_WAITS_RUNS=1").c_str());
    }
}
