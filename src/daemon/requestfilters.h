// The filter chain that every forwarded request passes: route, identity, limits, deadline, idempotency claim, attempts. Each
// filter either ends the request or passes it on, at once or later. All contact with the rest of the daemon is by hooks.
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

/// How a request ended, for metrics and objectives.
struct RequestReport {
    RouteName route; ///< Empty if no route matched.
    TeamId team; ///< Empty if not identified.
    ErrorKind error = ErrorKind::None; ///< None: the upstream's answer was passed on.
    int status = 0;
    std::optional<Duration> waited; ///< From arrival to the first grant; empty if there was none.
    Duration total{0};
    std::optional<Objective> objective;
};

/// The rest of the daemon as the filters see it.
struct RequestServices {
    using AnswerHandler = std::function<void(const CallerAnswer &)>;

    std::function<TimePoint()> now;
    std::function<std::optional<Route>(const std::string &path)> routeForPath;
    std::function<Result<Identity>(const std::string &secret)> identify;
    std::function<bool(const TeamId &team, const PoolName &pool)> mayUse;
    std::function<OpId(const GrantWish &wish, AnswerHandler handler)> acquireGrant;
    std::function<void(OpId op)> cancelGrantRequest;
    std::function<void(const Grant &grant, GrantOutcome end)> releaseGrant;
    std::function<void(const TeamId &team, const std::string &key, const std::string &fingerprint, AnswerHandler handler)> claim;
    std::function<void(const TeamId &team, const std::string &key, const std::string &outcome)> finishClaim;
    std::function<std::string(const std::string &text)> digest; ///< SHA-256 in hexadecimal.
    std::function<ForwardCancel(const ForwardRequest &request, ForwardCallback callback)> forward;
    std::function<std::string()> newRequestId;
    std::function<void(const RequestReport &report)> report;
};

struct RequestSettings {
    std::size_t maxActivePerTeam = 4000;
    Duration defaultDeadline{30000};
};

/// One request on its way through the chain.
struct RequestContext {
    using FinishHook = std::function<void(const HttpResponse &response, ExecutionStatus ran)>;

    HttpCallPtr call;
    Route route;
    TeamId team;
    RequestId id;
    TimePoint deadline;
    std::string claimKey; ///< Set exactly while this request holds a claim.
    RetryPolicy retry;
    std::vector<WorkerId> avoid;
    bool byteSent = false; ///< In any attempt.
    std::optional<Duration> waited;
    OpId grantRequest; ///< Set while a wish waits for its answer.
    std::optional<Grant> grant; ///< Held, to be released exactly once.
    ForwardCancel cancelForward; ///< Set while an attempt is under way.
    std::vector<FinishHook> finishHooks; ///< Run once, the last one first.
    bool finished = false;

    /// Ends the request with an answer.
    void finish(const HttpResponse &response, ExecutionStatus ran);
    void fail(const Error &error, ExecutionStatus ran = ExecutionStatus::NotRun, Duration retryAfter = Duration(0));
    ErrorKind error = ErrorKind::None;
};

using RequestContextPtr = std::shared_ptr<RequestContext>;
using NextFilter = std::function<void()>;
using RequestFilter = std::function<void(const RequestContextPtr &context, const NextFilter &next)>;

[[nodiscard]] RequestFilter reportFilter(const RequestServices &services);
[[nodiscard]] RequestFilter routeFilter(const RequestServices &services);
[[nodiscard]] RequestFilter identityFilter(const RequestServices &services);
[[nodiscard]] RequestFilter limitFilter(const RequestSettings &settings);
[[nodiscard]] RequestFilter deadlineFilter(const RequestServices &services, const RequestSettings &settings);
[[nodiscard]] RequestFilter claimFilter(const RequestServices &services);
/// The last filter: grant, forward and retry until there is an answer.
[[nodiscard]] RequestFilter attemptFilter(const RequestServices &services, std::shared_ptr<RetryBudget> budget);

/// All filters in their order.
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

/// The key of "Authorization: Bearer <key>"; empty if there is none.
[[nodiscard]] std::string bearerKey(const Headers &headers);

/// A stored outcome of a claimed request.
[[nodiscard]] std::string encodeOutcome(const HttpResponse &response);
/// The answer to a repeat of it; empty if the text is malformed.
[[nodiscard]] std::optional<HttpResponse> decodeOutcome(const std::string &text);

} // namespace KingCupLadder
