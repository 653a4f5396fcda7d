#include "core/retry.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const TimePoint start{Duration(100000)};

FailedAttempt failedOn(const char *worker, bool idempotent, bool bytesSent)
{
    return FailedAttempt{idempotent, bytesSent, WorkerId(worker), start + Duration(1000)};
}

} // namespace

TEST_GROUP(RetryPolicy)
{
    RetryBudget budget{RetryBudgetSettings{}, start};
    RetryPolicy policy;
};

// Guards against executing a non-idempotent request twice.
TEST(RetryPolicy, RefusesNonIdempotentRequestOnceAByteWasSent)
{
    const RetryDecision decision = policy.afterFailure(failedOn("w1", false, true), budget, start);
    CHECK_FALSE(decision.retry);
    CHECK_TRUE(decision.ran == ExecutionStatus::Unknown);
}

// Guards against giving up on a request that cannot have run.
TEST(RetryPolicy, RepeatsNonIdempotentRequestOfWhichNothingWasSent)
{
    CHECK_TRUE(policy.afterFailure(failedOn("w1", false, false), budget, start).retry);
}

// Guards against an attempt that can only end after the deadline.
TEST(RetryPolicy, RefusesWhenTheDeadlineIsTooClose)
{
    CHECK_FALSE(policy.afterFailure(failedOn("w1", true, true), budget, start + Duration(990)).retry);
}

// Guards against retrying on a worker that has already failed the request.
TEST(RetryPolicy, AvoidsEveryWorkerThatFailed)
{
    (void)policy.afterFailure(failedOn("w1", true, true), budget, start);
    const RetryDecision decision = policy.afterFailure(failedOn("w2", true, true), budget, start);
    CHECK_EQUAL(2U, decision.avoid.size());
}

TEST_GROUP(RetryBudget){};

// Guards against retries that multiply the load on a failing upstream. 100 requests earn 20 tokens beyond the initial 3; adding 0.2
// repeatedly may lose one token to rounding.
TEST(RetryBudget, AllowsAFifthOfTheRequestsBeyondTheInitialTokens)
{
    RetryBudget budget(RetryBudgetSettings{}, start);
    for (int i = 0; i < 100; ++i) {
        budget.onRequest();
    }
    int taken = 0;
    while (budget.take(start)) {
        ++taken;
    }
    CHECK_TRUE(taken >= 22 && taken <= 23);
}

// Guards against a daemon with little traffic that can never retry.
TEST(RetryBudget, RefillsAFewPerSecondWithoutRequests)
{
    RetryBudget budget(RetryBudgetSettings{}, start);
    while (budget.take(start)) { }
    CHECK_TRUE(budget.take(start + Duration(400)));
}
