// The attempts of one request: wish for a grant, forward to its worker, retry where that is allowed.
#include "requestfilters.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr int leastServerError = 500;
constexpr Duration shortestForward{1};

/// Drives the attempts of one request. Kept alive by the callbacks it waits for.
class AttemptLoop : public std::enable_shared_from_this<AttemptLoop>
{
public:
    AttemptLoop(const RequestServices &services, std::shared_ptr<RetryBudget> budget, RequestContextPtr context)
        : m_services(services), m_budget(std::move(budget)), m_context(std::move(context))
    {
    }

    void begin()
    {
        m_budget->onRequest();
        m_context->call->setDisconnectHandler([self = shared_from_this()] { self->onDisconnect(); });
        if (m_context->call->isDone()) {
            onDisconnect(); // The client went away while the claim was being written.
            return;
        }
        wish();
    }

private:
    void wish();
    void onGrant(const CallerAnswer &answer, TimePoint wishedAt);
    void forward(TimePoint wishedAt);
    void onResult(const ClientResult &result);
    void onServerError(const ClientResult &result);
    void retryOrFail(const WorkerId &worker);
    void release(GrantOutcome end);
    void onDisconnect();
    [[nodiscard]] ExecutionStatus ranSoFar() const
    {
        return m_context->byteSent ? ExecutionStatus::Unknown : ExecutionStatus::NotRun;
    }

    RequestServices m_services;
    std::shared_ptr<RetryBudget> m_budget;
    RequestContextPtr m_context;
};

void AttemptLoop::wish()
{
    const TimePoint now = m_services.now();
    GrantWish wish;
    wish.route = m_context->route.name;
    wish.pool = m_context->route.pool;
    wish.team = m_context->team;
    wish.priority = m_context->route.priority;
    wish.demand = m_context->route.demand;
    wish.demand.slots = std::max(wish.demand.slots, Slots(1));
    wish.term = m_context->deadline - now;
    wish.avoid = m_context->avoid;
    if (wish.term <= Duration(0)) {
        m_context->fail({ErrorKind::Timeout, "the deadline of the request has passed", "allow more time with X-Deadline-Ms"}, ranSoFar());
        return;
    }
    m_context->wish = m_services.acquire(wish, [self = shared_from_this(), now](const CallerAnswer &answer) { self->onGrant(answer, now); });
}

void AttemptLoop::onGrant(const CallerAnswer &answer, TimePoint wishedAt)
{
    m_context->wish = OpId();
    const auto *grant = std::get_if<Grant>(&answer.body);
    if (answer.error.kind != ErrorKind::None || grant == nullptr) {
        const Error lost{ErrorKind::Unavailable, "no worker was granted", "send the request again"};
        const Error reason = answer.error.kind != ErrorKind::None ? answer.error : lost;
        m_context->fail(reason, ranSoFar(), answer.retryAfter);
        return;
    }
    m_context->grant = *grant;
    forward(wishedAt);
}

void AttemptLoop::forward(TimePoint wishedAt)
{
    const TimePoint now = m_services.now();
    const TimePoint end = std::min(m_context->deadline, wishedAt + m_context->grant->term);
    if (end - now < shortestForward) {
        release(GrantOutcome::Unused);
        m_context->fail({ErrorKind::Timeout, "the grant came too late for the deadline", "allow more time with X-Deadline-Ms"}, ranSoFar());
        return;
    }
    const HttpRequest &request = m_context->call->request();
    if (!m_context->waited) {
        m_context->waited = now - request.arrival;
    }
    ForwardRequest outgoing{
        m_context->grant->address, request.method, request.target, request.headers, request.body, m_context->id, m_context->grant->epoch, end - now};
    m_context->cancelForward = m_services.forward(outgoing, [self = shared_from_this()](const ClientResult &result) { self->onResult(result); });
}

void AttemptLoop::onResult(const ClientResult &result)
{
    m_context->cancelForward = nullptr;
    m_context->byteSent = m_context->byteSent || result.byteSent;
    if (result.kind != ClientResult::Kind::Answered) {
        const WorkerId worker = m_context->grant->worker;
        // Without an answer the worker may still be serving the request, so its slot must not count as free.
        release(result.byteSent ? GrantOutcome::TimedOut : GrantOutcome::Failed);
        retryOrFail(worker);
        return;
    }
    if (result.response.status >= leastServerError) {
        onServerError(result);
        return;
    }
    release(GrantOutcome::Succeeded);
    m_context->finish(HttpResponse{result.response.status, passedHeaders(result.response.headers), result.response.body}, ExecutionStatus::Ran);
}

void AttemptLoop::onServerError(const ClientResult &result)
{
    const WorkerId worker = m_context->grant->worker;
    release(GrantOutcome::Failed);
    if (m_context->route.idempotent) {
        const auto verdict = m_context->retry.afterFailure({true, true, worker, m_context->deadline}, *m_budget, m_services.now());
        if (verdict.retry) {
            m_context->avoid = verdict.avoid;
            wish();
            return;
        }
    }
    m_context->finish(HttpResponse{result.response.status, passedHeaders(result.response.headers), result.response.body}, ExecutionStatus::Ran);
}

void AttemptLoop::retryOrFail(const WorkerId &worker)
{
    // A request that is not idempotent is sent at most once: the policy never repeats it after a byte.
    const FailedAttempt attempt{m_context->route.idempotent, m_context->byteSent, worker, m_context->deadline};
    const auto verdict = m_context->retry.afterFailure(attempt, *m_budget, m_services.now());
    if (verdict.retry) {
        m_context->avoid = verdict.avoid;
        wish();
        return;
    }
    m_context->fail(verdict.error, m_context->byteSent ? ExecutionStatus::Unknown : verdict.ran);
}

void AttemptLoop::release(GrantOutcome end)
{
    if (m_context->grant) {
        m_services.release(*m_context->grant, end);
        m_context->grant.reset();
    }
}

void AttemptLoop::onDisconnect()
{
    if (m_context->finished) {
        return;
    }
    if (m_context->cancelForward && !m_context->claimKey.empty()) {
        return; // The answer is recorded for the repeat that the client will probably send.
    }
    if (m_context->wish != OpId()) {
        m_services.abandon(std::exchange(m_context->wish, OpId()));
    }
    if (m_context->cancelForward) {
        const bool sent = std::exchange(m_context->cancelForward, nullptr)();
        m_context->byteSent = m_context->byteSent || sent;
        release(sent ? GrantOutcome::TimedOut : GrantOutcome::Unused);
    }
    m_context->fail({ErrorKind::Timeout, "the client closed the connection", "send the request again"}, ranSoFar());
}

} // namespace

RequestFilter attemptFilter(const RequestServices &services, std::shared_ptr<RetryBudget> budget)
{
    return [services, budget = std::move(budget)](const RequestContextPtr &context, const NextFilter & /*next*/) {
        std::make_shared<AttemptLoop>(services, budget, context)->begin();
    };
}

} // namespace KingCupLadder
