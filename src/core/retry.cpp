// The retry policy of requests and the retry budget.
#include "retry.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr double millisecondsPerSecond = 1000.0;

RetryDecision refusal(ErrorKind kind, const char *message, const char *remedy, ExecutionStatus ran)
{
    return RetryDecision{false, {}, Error{kind, message, remedy}, ran};
}

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &settings, TimePoint now)
    : m_settings(settings), m_tokens(std::min(settings.retriesPerSecond, settings.maxTokens)), m_lastRefill(now)
{
}

void RetryBudget::onRequest()
{
    m_tokens = std::min(m_tokens + m_settings.retriesPerRequest, m_settings.maxTokens);
}

double RetryBudget::available(TimePoint now)
{
    if (now > m_lastRefill) {
        const double seconds = static_cast<double>((now - m_lastRefill).count()) / millisecondsPerSecond;
        // Refilling over time stops at the tokens of one second; only the tokens that requests earn can fill the bucket beyond that.
        const double ceiling = std::max(m_tokens, m_settings.retriesPerSecond);
        m_tokens = std::min({m_tokens + seconds * m_settings.retriesPerSecond, ceiling, m_settings.maxTokens});
        m_lastRefill = now;
    }
    return m_tokens;
}

bool RetryBudget::take(TimePoint now)
{
    if (available(now) < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

RetryPolicy::RetryPolicy(std::uint32_t maxAttempts, Duration minAttemptTime) : m_maxAttempts(maxAttempts), m_minAttemptTime(minAttemptTime) { }

RetryDecision RetryPolicy::afterFailure(const FailedAttempt &attempt, RetryBudget &budget, TimePoint now)
{
    ++m_failures;
    if (!attempt.worker.isEmpty() && std::find(m_avoid.begin(), m_avoid.end(), attempt.worker) == m_avoid.end()) {
        m_avoid.push_back(attempt.worker);
    }
    const ExecutionStatus ran = attempt.bytesSent ? ExecutionStatus::Unknown : ExecutionStatus::NotRun;
    if (attempt.bytesSent && !attempt.idempotent) {
        return refusal(ErrorKind::OutcomeUnknown, "the upstream failed after the request was sent", "check the outcome before sending the request again", ran);
    }
    if (now + m_minAttemptTime >= attempt.deadline) {
        return refusal(ErrorKind::Timeout, "the deadline leaves no time for another attempt", "send the request again with a later deadline", ran);
    }
    if (m_failures >= m_maxAttempts) {
        return refusal(ErrorKind::Unavailable, "all attempts of the request failed", "send the request again later", ran);
    }
    if (!budget.take(now)) {
        return refusal(ErrorKind::LimitReached, "the retry budget is exhausted", "send the request again after a second", ran);
    }
    return RetryDecision{true, m_avoid, {}, ran};
}

} // namespace KingCupLadder
