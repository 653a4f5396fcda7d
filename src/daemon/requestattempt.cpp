// Attempts of one request: acquires a grant, forwards the request to its worker and retries where that is allowed.
#include "requestfilters.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int firstServerErrorStatus = 500;
constexpr Duration minForwardTimeout{1};

/// Runs the attempts of one request. Pending callbacks keep it alive.
class AttemptSequence : public std::enable_shared_from_this<AttemptSequence>
{
public:
    AttemptSequence(const RequestServices &services, std::shared_ptr<RetryBudget> budget, RequestContextPtr context)
        : m_services(services), m_budget(std::move(budget)), m_context(std::move(context))
    {
    }

    void begin()
    {
        m_budget->onRequest();
        m_context->call->setDisconnectHandler([self = shared_from_this()] { self->onDisconnect(); });
        if (m_context->call->isDone()) {
            onDisconnect(); // The client disconnected while the claim was being written.
            return;
        }
        requestGrant();
    }

private:
    void requestGrant();
    void onGrantAnswer(const CallerAnswer &answer, TimePoint requestedAt);
    void forward(TimePoint requestedAt);
    void onResult(const ClientResult &result);
    void onServerError(const ClientResult &result);
    void retryOrFail(const WorkerId &worker);
    void releaseGrant(GrantOutcome grantOutcome);
    void onDisconnect();
    [[nodiscard]] ExecutionStatus executionStatusSoFar() const
    {
        return m_context->byteSent ? ExecutionStatus::Unknown : ExecutionStatus::NotRun;
    }

    RequestServices m_services;
    std::shared_ptr<RetryBudget> m_budget;
    RequestContextPtr m_context;
};

void AttemptSequence::requestGrant()
{
    const TimePoint now = m_services.now();
    GrantSpec spec;
    spec.route = m_context->route.name;
    spec.pool = m_context->route.pool;
    spec.team = m_context->team;
    spec.priority = m_context->route.priority;
    spec.demand = m_context->route.demand;
    spec.demand.slots = std::max(spec.demand.slots, Slots(1));
    spec.term = m_context->deadline - now;
    spec.avoid = m_context->avoid;
    if (spec.term <= Duration(0)) {
        m_context->fail({ErrorKind::Timeout, "the deadline of the request has passed", "allow more time with X-Deadline-Ms"}, executionStatusSoFar());
        return;
    }
    m_context->grantRequest = m_services.acquireGrant(spec, [self = shared_from_this(), now](const CallerAnswer &answer) { self->onGrantAnswer(answer, now); });
}

void AttemptSequence::onGrantAnswer(const CallerAnswer &answer, TimePoint requestedAt)
{
    m_context->grantRequest = OpId();
    const auto *grant = std::get_if<Grant>(&answer.body);
    if (answer.error.kind != ErrorKind::None || grant == nullptr) {
        const Error noGrant{ErrorKind::Unavailable, "no worker was granted", "send the request again"};
        const Error reason = answer.error.kind != ErrorKind::None ? answer.error : noGrant;
        m_context->fail(reason, executionStatusSoFar(), answer.retryAfter);
        return;
    }
    m_context->grant = *grant;
    forward(requestedAt);
}

void AttemptSequence::forward(TimePoint requestedAt)
{
    const TimePoint now = m_services.now();
    // The term of a grant counts from the request for it.
    const TimePoint attemptDeadline = std::min(m_context->deadline, requestedAt + m_context->grant->term);
    if (attemptDeadline - now < minForwardTimeout) {
        releaseGrant(GrantOutcome::Unused);
        m_context->fail({ErrorKind::Timeout, "the grant came too late for the deadline", "allow more time with X-Deadline-Ms"}, executionStatusSoFar());
        return;
    }
    const HttpRequest &request = m_context->call->request();
    if (!m_context->waitTime) {
        m_context->waitTime = now - request.arrival;
    }
    ForwardRequest outgoing{m_context->grant->address,
                            request.method,
                            request.target,
                            request.headers,
                            request.body,
                            m_context->id,
                            m_context->grant->epoch,
                            attemptDeadline - now};
    m_context->cancelForward = m_services.forward(outgoing, [self = shared_from_this()](const ClientResult &result) { self->onResult(result); });
}

void AttemptSequence::onResult(const ClientResult &result)
{
    m_context->cancelForward = nullptr;
    m_context->byteSent = m_context->byteSent || result.byteSent;
    if (result.kind != ClientResult::Kind::Answered) {
        const WorkerId worker = m_context->grant->worker;
        // Once a byte was sent, the worker may still be serving the request, so its slot must not count as free.
        releaseGrant(result.byteSent ? GrantOutcome::TimedOut : GrantOutcome::Failed);
        retryOrFail(worker);
        return;
    }
    if (result.response.status >= firstServerErrorStatus) {
        onServerError(result);
        return;
    }
    releaseGrant(GrantOutcome::Succeeded);
    m_context->finish(HttpResponse{result.response.status, endToEndHeaders(result.response.headers), result.response.body}, ExecutionStatus::Ran);
}

void AttemptSequence::onServerError(const ClientResult &result)
{
    const WorkerId worker = m_context->grant->worker;
    releaseGrant(GrantOutcome::Failed);
    if (m_context->route.idempotent) {
        // The first two values: the request is idempotent, and it was sent, since there is a response.
        const auto decision = m_context->retry.afterFailure({true, true, worker, m_context->deadline}, *m_budget, m_services.now());
        if (decision.retry) {
            m_context->avoid = decision.avoid;
            requestGrant();
            return;
        }
    }
    m_context->finish(HttpResponse{result.response.status, endToEndHeaders(result.response.headers), result.response.body}, ExecutionStatus::Ran);
}

void AttemptSequence::retryOrFail(const WorkerId &worker)
{
    // A request that is not idempotent is sent at most once: RetryPolicy never retries it after a byte was sent.
    const FailedAttempt attempt{m_context->route.idempotent, m_context->byteSent, worker, m_context->deadline};
    const auto decision = m_context->retry.afterFailure(attempt, *m_budget, m_services.now());
    if (decision.retry) {
        m_context->avoid = decision.avoid;
        requestGrant();
        return;
    }
    m_context->fail(decision.error, m_context->byteSent ? ExecutionStatus::Unknown : decision.ran);
}

void AttemptSequence::releaseGrant(GrantOutcome grantOutcome)
{
    if (m_context->grant) {
        m_services.releaseGrant(*m_context->grant, grantOutcome);
        m_context->grant.reset();
    }
}

void AttemptSequence::onDisconnect()
{
    if (m_context->finished) {
        return;
    }
    if (m_context->cancelForward && !m_context->claimKey.empty()) {
        return; // The attempt continues, so that its response is recorded for a repeat of the request with the same key.
    }
    if (m_context->grantRequest != OpId()) {
        m_services.cancelGrantRequest(std::exchange(m_context->grantRequest, OpId()));
    }
    if (m_context->cancelForward) {
        const bool sent = std::exchange(m_context->cancelForward, nullptr)();
        m_context->byteSent = m_context->byteSent || sent;
        releaseGrant(sent ? GrantOutcome::TimedOut : GrantOutcome::Unused);
    }
    m_context->fail({ErrorKind::Timeout, "the client closed the connection", "send the request again"}, executionStatusSoFar());
}

} // namespace

RequestFilter attemptFilter(const RequestServices &services, std::shared_ptr<RetryBudget> budget)
{
    return [services, budget = std::move(budget)](const RequestContextPtr &context, const NextFilter & /*next*/) {
        std::make_shared<AttemptSequence>(services, budget, context)->begin();
    };
}

} // namespace KingCupLadder
