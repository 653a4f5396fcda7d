// Filter chain of forwarded requests: report, route, authentication, team limit, deadline, idempotency claim, attempts. Each filter either
// finishes the request or passes it on, immediately or later. Filters access the rest of the daemon only through callbacks.
#pragma once

#include "core/daemoncore.h"
#include "core/retry.h"
#include "forwarder.h"
#include "httptypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// Outcome of a request, for metrics and SLOs.
struct RequestReport {
    RouteName route; ///< Empty if no route matched.
    TeamId team; ///< Empty if not identified.
    ErrorKind error = ErrorKind::None; ///< None if the upstream's response was passed on.
    int status = 0;
    std::optional<Duration> waitTime; ///< From the arrival to the first grant; empty if there was no grant.
    Duration total{0}; ///< From the arrival to the response.
    std::optional<Objective> objective;
};

/// Functions of the daemon that the filters call.
struct RequestServices {
    using AnswerHandler = std::function<void(const CallerAnswer &)>;

    std::function<TimePoint()> now;
    std::function<std::optional<Route>(const std::string &path)> routeForPath;
    std::function<Result<Identity>(const std::string &secret)> identify;
    std::function<bool(const TeamId &team, const PoolName &pool)> mayUse;
    std::function<OpId(const GrantSpec &spec, AnswerHandler handler)> acquireGrant;
    std::function<void(OpId op)> cancelGrantRequest;
    std::function<void(const Grant &grant, GrantOutcome grantOutcome)> releaseGrant;
    /// Claims an idempotency key for the request with the fingerprint. The answer contains a ClaimState.
    std::function<void(const TeamId &team, const std::string &key, const std::string &fingerprint, AnswerHandler handler)> claim;
    /// Records the outcome of a claimed request. An empty outcome removes the claim.
    std::function<void(const TeamId &team, const std::string &key, const std::string &outcome)> finishClaim;
    std::function<std::string(const std::string &text)> digest; ///< SHA-256 in hexadecimal; used as the fingerprint of requests.
    std::function<ForwardCancel(const ForwardRequest &request, ForwardCallback callback)> forward;
    std::function<std::string()> newRequestId;
    std::function<void(const RequestReport &report)> report;
};

struct RequestSettings {
    std::size_t maxActivePerTeam = 4000;
    Duration defaultDeadline{30000};
};

/// State of one request in the filter chain.
struct RequestContext {
    using FinishHook = std::function<void(const HttpResponse &response, ExecutionStatus ran)>;

    HttpCallPtr call;
    Route route;
    TeamId team;
    RequestId id;
    TimePoint deadline;
    std::string claimKey; ///< Set if and only if this request holds an idempotency claim.
    RetryPolicy retry;
    std::vector<WorkerId> avoid; ///< Workers that have failed the request.
    bool byteSent = false; ///< Whether any attempt has sent a byte to a worker.
    std::optional<Duration> waitTime; ///< From the arrival to the first grant.
    OpId grantRequest; ///< Set while a grant request is pending.
    std::optional<Grant> grant; ///< The grant held, which must be released exactly once.
    ForwardCancel cancelForward; ///< Set while an attempt is in progress.
    std::vector<FinishHook> finishHooks; ///< Run once, in reverse order.
    bool finished = false;

    /// Finishes the request with a response.
    void finish(const HttpResponse &response, ExecutionStatus ran);
    /// Finishes the request with an error response.
    void fail(const Error &error, ExecutionStatus ran = ExecutionStatus::NotRun, Duration retryAfter = Duration(0));
    ErrorKind error = ErrorKind::None; ///< Set by fail().
};

using RequestContextPtr = std::shared_ptr<RequestContext>;
using NextFilter = std::function<void()>;
using RequestFilter = std::function<void(const RequestContextPtr &context, const NextFilter &next)>;

/// Sets the id of the request and reports its outcome when it has finished.
[[nodiscard]] RequestFilter reportFilter(const RequestServices &services);
/// Finds the route by the path.
[[nodiscard]] RequestFilter routeFilter(const RequestServices &services);
/// Determines the team by the key of the request and checks that the team may use the pool. Open routes need no key.
[[nodiscard]] RequestFilter authenticationFilter(const RequestServices &services);
/// Refuses requests of a team above its limit of active requests.
[[nodiscard]] RequestFilter teamLimitFilter(const RequestSettings &settings);
/// Sets the deadline from the route or the default, shortened by the X-Deadline-Ms header.
[[nodiscard]] RequestFilter deadlineFilter(const RequestServices &services, const RequestSettings &settings);
/// Claims the Idempotency-Key of requests on routes that are not idempotent; a repeat gets the recorded response.
[[nodiscard]] RequestFilter claimFilter(const RequestServices &services);
/// The last filter: acquires a grant, forwards the request and retries as long as RetryPolicy allows it.
[[nodiscard]] RequestFilter attemptFilter(const RequestServices &services, std::shared_ptr<RetryBudget> budget);

/// Runs all filters in order.
class RequestChain
{
public:
    RequestChain(const RequestServices &services, const RequestSettings &settings);
    explicit RequestChain(std::vector<RequestFilter> filters);

    void handle(const HttpCallPtr &call) const;

private:
    static void run(const std::shared_ptr<const std::vector<RequestFilter>> &filters, std::size_t index, const RequestContextPtr &context);

    std::shared_ptr<const std::vector<RequestFilter>> m_filters;
};

/// Returns the key of "Authorization: Bearer <key>", or an empty string if there is none.
[[nodiscard]] std::string bearerKey(const Headers &headers);

/// Encodes the response to a request with an idempotency claim, to be stored with the claim.
[[nodiscard]] std::string encodeOutcome(const HttpResponse &response);
/// Decodes the response for repeats of the request. Returns nullopt if the text is malformed.
[[nodiscard]] std::optional<HttpResponse> decodeOutcome(const std::string &text);

} // namespace KingCupLadder
