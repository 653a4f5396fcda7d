// Decides whether a failed attempt of a request may be repeated, and limits how many repeats the daemon adds to the load.
#pragma once

#include "error.h"
#include "ids.h"
#include "messages.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace KingCupLadder {

/// What is known about an attempt that failed.
struct FailedAttempt {
    bool idempotent = false; ///< The request may be executed more than once.
    bool bytesSent = false; ///< At least one byte of the request may have reached the worker.
    WorkerId worker; ///< The worker that failed it; empty if none was reached.
    TimePoint deadline{}; ///< Of the request.
};

/// Another attempt, or the error for the caller.
struct RetryDecision {
    bool retry = false;
    std::vector<WorkerId> avoid; ///< Workers that the next attempt leaves out.
    Error error; ///< ErrorKind::None exactly if retry.
    ExecutionStatus ran = ExecutionStatus::NotRun; ///< Only read if there is an error.
};

struct RetryBudgetSettings {
    double share = 0.2; ///< Retries per request.
    double perSecond = 3.0; ///< Retries that are always allowed; keeps a quiet daemon able to retry.
    double most = 200.0; ///< Retries that can be saved up; bounds the burst after a long quiet time.
};

/// Token bucket of retries. Without it, retries multiply the load of upstreams that fail because of load.
class RetryBudget
{
public:
    RetryBudget(const RetryBudgetSettings &settings, TimePoint now);

    /// A first attempt was made.
    void onRequest();
    /// Takes one retry from the budget; false if it is used up.
    [[nodiscard]] bool take(TimePoint now);
    [[nodiscard]] double available(TimePoint now);

private:
    RetryBudgetSettings m_settings;
    double m_tokens; ///< Between 0 and m_settings.most.
    TimePoint m_refilled; ///< Never goes back.
};

/// The attempts of one request.
class RetryPolicy
{
public:
    /// @p minAttemptTime: an attempt with less time left until the deadline is not worth starting.
    explicit RetryPolicy(std::uint32_t maxAttempts = 3, Duration minAttemptTime = Duration(20));

    /// Takes one retry from @p budget exactly if the verdict is to retry.
    [[nodiscard]] RetryDecision afterFailure(const FailedAttempt &attempt, RetryBudget &budget, TimePoint now);

private:
    std::uint32_t m_mostAttempts;
    Duration m_shortestAttempt;
    std::uint32_t m_failures = 0;
    std::vector<WorkerId> m_avoid;
};

} // namespace KingCupLadder
