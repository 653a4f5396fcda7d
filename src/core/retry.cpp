// Retry rules of requests, the retry budget and the pauses between tries.
#include "retry.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr double millisecondsPerSecond = 1000.0;

RetryDecision refused(ErrorKind kind, const char *message, const char *remedy, ExecutionStatus ran)
{
    return RetryDecision{false, {}, Error{kind, message, remedy}, ran};
}

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &settings, TimePoint now)
    : m_settings(settings), m_tokens(std::min(settings.perSecond, settings.most)), m_refilled(now)
{
}

void RetryBudget::onRequest()
{
    m_tokens = std::min(m_tokens + m_settings.share, m_settings.most);
}

double RetryBudget::available(TimePoint now)
{
    if (now > m_refilled) {
        const double seconds = static_cast<double>((now - m_refilled).count()) / millisecondsPerSecond;
        // The time-based part alone never saves up more than one second's worth; only requests earn a larger reserve.
        const double ceiling = std::max(m_tokens, m_settings.perSecond);
        m_tokens = std::min({m_tokens + seconds * m_settings.perSecond, ceiling, m_settings.most});
        m_refilled = now;
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

RetryPolicy::RetryPolicy(std::uint32_t maxAttempts, Duration minAttemptTime) : m_mostAttempts(maxAttempts), m_shortestAttempt(minAttemptTime) { }

RetryDecision RetryPolicy::afterFailure(const FailedAttempt &attempt, RetryBudget &budget, TimePoint now)
{
    ++m_failures;
    if (!attempt.worker.isEmpty() && std::find(m_avoid.begin(), m_avoid.end(), attempt.worker) == m_avoid.end()) {
        m_avoid.push_back(attempt.worker);
    }
    const ExecutionStatus ran = attempt.bytesSent ? ExecutionStatus::Unknown : ExecutionStatus::NotRun;
    if (attempt.bytesSent && !attempt.idempotent) {
        return refused(ErrorKind::OutcomeUnknown, "the upstream failed after the request was sent", "check the outcome before sending it again", ran);
    }
    if (now + m_shortestAttempt >= attempt.deadline) {
        return refused(ErrorKind::Timeout, "the deadline leaves no time for another attempt", "send it again with a later deadline", ran);
    }
    if (m_failures >= m_mostAttempts) {
        return refused(ErrorKind::Unavailable, "several upstreams failed the request", "send it again later", ran);
    }
    if (!budget.take(now)) {
        return refused(ErrorKind::LimitReached, "the retry budget is used up", "send it again after a second", ran);
    }
    return RetryDecision{true, m_avoid, {}, ran};
}

} // namespace KingCupLadder
