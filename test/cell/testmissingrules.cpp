// Jobs whose route or workspace is missing from the configuration, and leaders without a configuration.
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

constexpr int tasks = 4;
constexpr std::int64_t millicores = 1000;
constexpr Duration taskDuration{1500};

} // namespace

TEST_GROUP(MissingRules)
{
    FakeCell cell{2};
    std::shared_ptr<CellConfig> complete;

    void setup() override
    {
        cell.startLeadership();
        complete = cell.config;
        cell.submit(cellJob("job", tasks, millicores, taskDuration));
        cell.run(Duration(500));
        CHECK_EQUAL(tasks, cell.runningTasks());
    }

    void apply(const std::shared_ptr<CellConfig> &config)
    {
        cell.config = config;
        cell.config->buildIndexes();
        cell.scheduler->setConfig(config, cell.now);
    }

    /// Applies a version of the configuration without the routes.
    void removeRoutes()
    {
        auto changed = std::make_shared<CellConfig>(*complete);
        changed->routes.clear();
        apply(changed);
    }

    /// Ends a run of the job as failed.
    void failOneRun()
    {
        for (auto &[id, worker] : cell.workers) {
            if (!worker.running.empty()) {
                worker.end(worker.running.begin()->first, RunEnd::Failed);
                return;
            }
        }
        FAIL("no task runs");
    }
};

// Guards against a job that is shown as failed after one failed run, although its route allows more, because the route was missing meanwhile.
TEST(MissingRules, AJobKeepsItsAttemptsWhileItsRouteIsMissing)
{
    removeRoutes();
    failOneRun();
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("job") == CellJobState::Active);
    apply(complete);
    cell.run(Duration(5000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against an accepted job that is not completed because its route was removed for good.
TEST(MissingRules, TasksStartWhileTheirRouteIsMissing)
{
    removeRoutes();
    failOneRun();
    cell.run(Duration(5000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against the same after a change of leader: the next leader has never seen the route.
TEST(MissingRules, ANewLeaderKnowsTheRulesOfARemovedRoute)
{
    removeRoutes();
    cell.startLeadership(2);
    failOneRun();
    cell.run(Duration(8000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a job that fails after one failed run because the leader has restarted and has not read a configuration yet.
TEST(MissingRules, ALeaderWithoutConfigurationKnowsTheRulesOfItsJobs)
{
    cell.isConfigKnown = false;
    cell.startLeadership(2);
    failOneRun();
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("job") == CellJobState::Active);
    apply(complete);
    cell.run(Duration(8000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a job that goes on beyond its attempts because they were used up while its route was missing.
TEST(MissingRules, AttemptsCountWhileTheRouteIsMissing)
{
    removeRoutes();
    cell.worker(0).failsAll = true;
    cell.worker(1).failsAll = true;
    cell.run(Duration(3000));
    CHECK_TRUE(cell.state("job") == CellJobState::Failed);
    CHECK_NO_VIOLATION(cell);
}

// Guards against rules from the time of the admission that replace those of the configuration in force.
TEST(MissingRules, ARouteThatComesBackChangedAppliesAsItIs)
{
    removeRoutes();
    auto changed = std::make_shared<CellConfig>(*complete);
    changed->routes[0].attempts = 1;
    apply(changed);
    failOneRun();
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("job") == CellJobState::Failed);
}

// Guards against runs beyond the maximum of a workspace that is missing from the configuration.
TEST(MissingRules, TheMaximumOfAWorkspaceHoldsWhileItIsMissing)
{
    auto limited = std::make_shared<CellConfig>(*complete);
    limited->workspaces[0].maximum = cellResources(tasks * millicores, 0);
    apply(limited);
    auto changed = std::make_shared<CellConfig>(*limited);
    changed->workspaces.clear();
    apply(changed);
    cell.scheduler->onJobStored(cell.storedJobs[JobId("more")] = cellJob("more", tasks, millicores, taskDuration), cell.time());
    cell.run(Duration(500));
    CHECK_EQUAL(tasks, cell.runningTasks());
}

TEST_GROUP(JobsOfTheFormerVersion)
{
    FakeCell cell{2};

    /// Starts a leadership without a configuration. One task of the job has failed @p failures times.
    void startWithoutConfiguration(int failures)
    {
        cell.storedJobs[JobId("job")] = cellJob("job", tasks, millicores, taskDuration);
        for (int run = 1; run <= failures; ++run) {
            cell.storedProgress[JobId("job")].steps[{0, 0}].failedRuns[0].insert(RunNumber(static_cast<std::uint64_t>(run)));
        }
        cell.isConfigKnown = false;
        cell.mayGiveUp = [](const JobId &) { return true; }; // The failed runs precede this cell.
        cell.startLeadership(2);
        cell.run(Duration(1000));
        CHECK_FALSE(isFinal(cell.state("job")));
        cell.scheduler->setConfig(cell.config, cell.now);
    }
};

// Guards against a job, stored without the rules of its route, that a leader without a configuration gives up for good.
TEST(JobsOfTheFormerVersion, AreJudgedOnlyOnceTheirRulesAreKnown)
{
    startWithoutConfiguration(1);
    cell.run(Duration(8000));
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}

// Guards against a start beyond the attempts, after a leader without a configuration could not judge the failed runs.
TEST(JobsOfTheFormerVersion, FailOnceTheirRulesAreKnownIfTheirAttemptsAreUsedUp)
{
    startWithoutConfiguration(2);
    cell.run(Duration(1000));
    CHECK_TRUE(cell.state("job") == CellJobState::Failed);
    CHECK_EQUAL(0, cell.starts);
}
