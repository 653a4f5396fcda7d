// Decides whether a failed request may be retried, and limits the load that retries add.
#pragma once

#include "error.h"
#include "ids.h"
#include "messages.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace KingCupLadder {

/// A failed attempt of a request.
struct FailedAttempt {
    bool idempotent = false; ///< The request can safely be executed more than once.
    bool bytesSent = false; ///< At least one byte of the request may have reached the worker.
    WorkerId worker; ///< The worker of the attempt; empty if none was reached.
    TimePoint deadline{}; ///< Deadline of the request.
};

/// Whether to retry, or the error for the caller.
struct RetryDecision {
    bool retry = false;
    std::vector<WorkerId> avoid; ///< Workers that the next attempt must not use.
    Error error; ///< ErrorKind::None if and only if retry is true.
    ExecutionStatus ran = ExecutionStatus::NotRun; ///< Only valid if there is an error.
};

struct RetryBudgetSettings {
    double retriesPerRequest = 0.2; ///< Tokens earned by each request.
    double retriesPerSecond = 3.0; ///< Tokens refilled over time, so that a daemon with little traffic can retry.
    double maxTokens = 200.0; ///< Limits the burst of retries that can accumulate.
};

/// A token bucket for retries. Without it, retries would multiply the load on upstreams that fail because of overload.
class RetryBudget
{
public:
    RetryBudget(const RetryBudgetSettings &settings, TimePoint now);

    /// Adds the tokens that the first attempt of a request earns.
    void onRequest();
    /// Takes one token; returns false if there is none.
    [[nodiscard]] bool take(TimePoint now);
    /// Refills the bucket and returns the number of tokens.
    [[nodiscard]] double available(TimePoint now);

private:
    RetryBudgetSettings m_settings;
    double m_tokens; ///< Between 0 and m_settings.maxTokens.
    TimePoint m_lastRefill; ///< Monotonic.
};

/// Tracks the attempts of one request and decides about retries.
class RetryPolicy
{
public:
    /// @p minAttemptTime: no attempt is started with this much time or less left until the deadline.
    explicit RetryPolicy(std::uint32_t maxAttempts = 3, Duration minAttemptTime = Duration(20));

    /// Takes one token from @p budget if and only if the request is to be retried.
    [[nodiscard]] RetryDecision afterFailure(const FailedAttempt &attempt, RetryBudget &budget, TimePoint now);

private:
    std::uint32_t m_maxAttempts;
    Duration m_minAttemptTime;
    std::uint32_t m_failures = 0;
    std::vector<WorkerId> m_avoid;
};

} // namespace KingCupLadder
