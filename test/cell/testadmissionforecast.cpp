#include "cell/admissionforecast.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

WaitingWork work(int tasks, std::int64_t cpu, Duration estimate, int tier = 0)
{
    WaitingWork waiting;
    waiting.tier = tier;
    waiting.workspace = WorkspaceId("museum");
    waiting.tasks = tasks;
    waiting.cpuPerTask = cpu;
    waiting.estimate = estimate;
    waiting.work = static_cast<double>(tasks * cpu * estimate.count());
    waiting.isReady = true;
    return waiting;
}

AdmissionForecast forecastOf(std::int64_t freeCpu, const WaitingWork &waiting)
{
    AdmissionForecast forecast;
    forecast.reset(CellSupply{10000, freeCpu, 2, 1000});
    forecast.add(waiting);
    return forecast;
}

} // namespace

TEST_GROUP(AdmissionForecast){};

// Guards against a predicted wait although the waiting work and the job fit into the free capacity.
TEST(AdmissionForecast, PredictsNoWaitWhileThereIsRoom)
{
    const AdmissionForecast forecast = forecastOf(8000, work(4, 1000, Duration(5000)));
    CHECK_EQUAL(0, forecast.wait(work(1, 1000, Duration(1000)), Duration(0)).count());
}

// Guards against admitting work behind a backlog that uses the cell for longer than the work is useful.
TEST(AdmissionForecast, PredictsTheTimeThatTheWorkAheadTakes)
{
    const AdmissionForecast forecast = forecastOf(0, work(40, 1000, Duration(5000)));
    CHECK_TRUE(forecast.wait(work(1, 1000, Duration(1000)), Duration(0)) >= Duration(20000));
}

// Guards against a wait for work of lower priority.
TEST(AdmissionForecast, IgnoresWorkOfALowerPriority)
{
    const AdmissionForecast forecast = forecastOf(0, work(40, 1000, Duration(5000), 2));
    CHECK_EQUAL(0, forecast.wait(work(1, 1000, Duration(1000), 1), Duration(0)).count());
}

// Guards against single tasks that are rejected because gangs wait which find no room on their allowed workers.
TEST(AdmissionForecast, GangsDoNotDelaySingleTasksThatFitBesideThem)
{
    WaitingWork gang = work(40, 1000, Duration(5000));
    gang.isGang = true;
    const AdmissionForecast forecast = forecastOf(3000, gang);
    CHECK_EQUAL(0, forecast.wait(work(2, 1000, Duration(1000)), Duration(0)).count());
}

// Guards against admitting jobs that wait for calls to the policy service.
TEST(AdmissionForecast, CountsCallsToThePolicyService)
{
    WaitingWork first = work(1, 1000, Duration(1000));
    first.unqueuedCall = Duration(1000);
    const AdmissionForecast forecast = forecastOf(10000, first);
    CHECK_EQUAL(500 + 250, forecast.wait(first, Duration(250)).count());
}

// Guards against other workspaces that wait for work which its workspace's maximum holds back.
TEST(AdmissionForecast, IgnoresWorkThatIsAtItsMaximum)
{
    WaitingWork blocked = work(40, 1000, Duration(5000));
    blocked.isAtMaximum = true;
    CHECK_EQUAL(0, forecastOf(0, blocked).wait(work(1, 1000, Duration(1000)), Duration(0)).count());
}

// Guards against a workspace at its maximum that waits for the work of others.
TEST(AdmissionForecast, AWorkspaceAtItsMaximumWaitsForItsOwnWork)
{
    WaitingWork own = work(4, 1000, Duration(3000));
    own.shareOfMaximum = 0.5;
    own.isAtMaximum = true;
    AdmissionForecast forecast = forecastOf(0, work(400, 1000, Duration(5000)));
    forecast.add(own);
    CHECK_EQUAL(6000, forecast.wait(own, Duration(0)).count());
}

// Guards against callers that return together after a rejection.
TEST(AdmissionForecast, SpreadsRetries)
{
    CHECK_TRUE(retryAfter(JobId("a"), Duration(2000), Duration(9000)) != retryAfter(JobId("b"), Duration(2000), Duration(9000)));
}

// Guards against a Retry-After at which the result is worthless.
TEST(AdmissionForecast, RetriesWithinTheTimeOfUse)
{
    CHECK_TRUE(retryAfter(JobId("a"), Duration(9000), Duration(4000)) <= Duration(4000));
}

} // namespace KingCupLadder
