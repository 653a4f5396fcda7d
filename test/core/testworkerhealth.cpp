#include "core/workerhealth.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(WorkerHealth)
{
    TimePoint now{Duration(1000)};
    WorkerHealth health{WorkerHealthSettings{}};

    void quarantine()
    {
        for (const char *job : {"a", "b", "c"}) {
            (void)health.onFailure(JobId(job), now);
        }
    }
};

// Guards against counting the failures of a bad worker against good jobs.
TEST(WorkerHealth, QuarantineReturnsTheJobsWhoseFailuresDoNotCount)
{
    (void)health.onFailure(JobId("a"), now);
    (void)health.onFailure(JobId("b"), now);
    LONGS_EQUAL(3, static_cast<long>(health.onFailure(JobId("c"), now).size()));
}

// Guards against quarantining a worker because of one bad job.
TEST(WorkerHealth, FailuresOfOneJobDoNotQuarantine)
{
    for (int i = 0; i < 5; ++i) {
        (void)health.onFailure(JobId("a"), now);
    }
    CHECK_TRUE(health.state() == HealthState::Healthy);
}

// Guards against a worker that never returns from quarantine.
TEST(WorkerHealth, ReturnsThroughProbation)
{
    quarantine();
    now = health.quarantinedUntil();
    CHECK_TRUE(health.tick(now));
    health.onSuccess();
    CHECK_TRUE(health.state() == HealthState::Healthy);
}

// Guards against a bad worker that fails a task after each of many short quarantines.
TEST(WorkerHealth, FailedProbationDoublesTheQuarantine)
{
    quarantine();
    const Duration first = health.quarantinedUntil() - now;
    now = health.quarantinedUntil();
    (void)health.tick(now);
    (void)health.onFailure(JobId("d"), now);
    CHECK_TRUE(health.quarantinedUntil() - now == first * 2);
}
