// The filter chain and its filters, except attemptFilter(), which is in requestattempt.cpp.
#include "requestfilters.h"

#include "jsonfields.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxIdempotencyKeyLength = 200; // The key becomes part of a row's key.
constexpr std::size_t maxRequestIdLength = 128;
constexpr std::size_t maxRecordedBodyBytes = 64UL * 1024; // Largest response body that is recorded for repeats; of larger responses, only the status is.
constexpr std::int64_t maxDeadlineMs = 24LL * 3600 * 1000;

/// Returns whether all characters are printable ASCII characters other than the space.
bool isPrintableWithoutSpaces(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<std::int64_t> parsePositive(const std::string &text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value <= 0) {
        return std::nullopt;
    }
    return value;
}

bool isUtf8(const std::string &text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

/// Returns the digest by which requests with the same idempotency key are compared.
std::string requestFingerprint(const RequestServices &services, const HttpRequest &request)
{
    return services.digest(request.method + " " + request.target + "\n" + request.body);
}

void onClaimAnswer(
    const RequestServices &services, const RequestContextPtr &context, const std::string &key, const CallerAnswer &answer, const NextFilter &next)
{
    const auto *state = std::get_if<ClaimState>(&answer.body);
    if (answer.error.kind != ErrorKind::None || state == nullptr) {
        const Error claimFailed{ErrorKind::Unavailable, "the idempotency key could not be claimed", "send the request again with the same key"};
        context->fail(answer.error.kind != ErrorKind::None ? answer.error : claimFailed, ExecutionStatus::NotRun, answer.retryAfter);
        return;
    }
    if (state->acquired) {
        context->claimKey = key;
        context->finishHooks.emplace_back([services, team = context->team, key](const HttpResponse &response, ExecutionStatus ran) {
            // If the outcome is unknown, the claim stays unfinished, so that a repeat is answered with "unknown" and never runs. If
            // the request did not run, an empty text removes the claim, so that a repeat can run.
            if (ran != ExecutionStatus::Unknown) {
                services.finishClaim(team, key, ran == ExecutionStatus::Ran ? encodeOutcome(response) : std::string());
            }
        });
        next();
        return;
    }
    const auto recorded = state->outcome.empty() ? std::nullopt : decodeOutcome(state->outcome);
    if (recorded) {
        context->finish(*recorded, ExecutionStatus::Ran);
        return;
    }
    context->fail({ErrorKind::OutcomeUnknown,
                   "a request with this idempotency key is running or its outcome is unknown",
                   "ask again later with the same key, or check the result in the application"},
                  ExecutionStatus::Unknown);
}

} // namespace

void RequestContext::finish(const HttpResponse &response, ExecutionStatus ran)
{
    if (finished) {
        return;
    }
    finished = true;
    const auto hooks = std::exchange(finishHooks, {});
    for (auto hook = hooks.rbegin(); hook != hooks.rend(); ++hook) {
        (*hook)(response, ran);
    }
    HttpResponse outgoing = response;
    if (!id.isEmpty() && headerValue(outgoing.headers, "X-Request-Id").empty()) {
        outgoing.headers.emplace_back("X-Request-Id", id.value());
    }
    call->respond(outgoing);
}

void RequestContext::fail(const Error &reason, ExecutionStatus ran, Duration retryAfter)
{
    error = reason.kind;
    finish(errorResponse(reason, ran, retryAfter), ran);
}

std::string bearerKey(const Headers &headers)
{
    const std::string prefix = "bearer ";
    const std::string value = headerValue(headers, "Authorization");
    if (value.size() <= prefix.size() || !equalsIgnoreCase(value.substr(0, prefix.size()), prefix)) {
        return {};
    }
    return value.substr(prefix.size());
}

std::string encodeOutcome(const HttpResponse &response)
{
    nlohmann::json out{{"status", response.status}, {"type", headerValue(response.headers, "Content-Type")}};
    if (response.body.size() > maxRecordedBodyBytes) {
        out["truncated"] = true;
    } else if (isUtf8(response.body)) {
        out["body"] = response.body;
    } else {
        out["escaped"] = percentEncode(response.body);
    }
    return dumpJson(out);
}

std::optional<HttpResponse> decodeOutcome(const std::string &text)
{
    const auto json = parseJson(text);
    if (!json) {
        return std::nullopt;
    }
    std::string parseError;
    JsonFields fields(*json, parseError, "outcome");
    const std::int64_t status = fields.number("status");
    const std::string type = fields.textOr("type", {});
    // encodeOutcome() writes "body" or "escaped", never both.
    const auto escaped = percentDecode(fields.textOr("escaped", {}));
    const std::string body = fields.textOr("body", escaped.value_or(std::string()));
    constexpr std::int64_t minOutcomeStatus = 200;
    constexpr std::int64_t maxOutcomeStatus = 599;
    if (!parseError.empty() || !escaped || status < minOutcomeStatus || status > maxOutcomeStatus) {
        return std::nullopt;
    }
    if (fields.booleanOr("truncated", false)) {
        return errorResponse({ErrorKind::Conflict,
                              "the request ran and ended with status " + std::to_string(status) + "; its response was too large to be stored",
                              "read the result from the application"},
                             ExecutionStatus::Ran);
    }
    HttpResponse response{static_cast<int>(status), {}, body};
    if (!type.empty()) {
        response.headers.emplace_back("Content-Type", type);
    }
    return response;
}

RequestFilter reportFilter(const RequestServices &services)
{
    return [services](const RequestContextPtr &context, const NextFilter &next) {
        const std::string requestedId = headerValue(context->call->request().headers, "X-Request-Id");
        const bool usable = !requestedId.empty() && requestedId.size() <= maxRequestIdLength && isPrintableWithoutSpaces(requestedId);
        context->id = RequestId(usable ? requestedId : services.newRequestId());
        // A weak pointer: the context stores the hook, so a shared pointer would be a reference cycle.
        context->finishHooks.emplace_back([services, weak = std::weak_ptr<RequestContext>(context)](const HttpResponse &response, ExecutionStatus) {
            const RequestContextPtr finishedContext = weak.lock(); // Not null: finish() of the context calls the hook.
            RequestReport report;
            report.route = finishedContext->route.name;
            report.team = finishedContext->team;
            report.error = finishedContext->error;
            report.status = response.status;
            report.waitTime = finishedContext->waitTime;
            report.total = services.now() - finishedContext->call->request().arrival;
            report.objective = finishedContext->route.objective;
            services.report(report);
        });
        next();
    };
}

RequestFilter routeFilter(const RequestServices &services)
{
    return [services](const RequestContextPtr &context, const NextFilter &next) {
        const auto route = services.routeForPath(context->call->request().path);
        if (!route) {
            context->fail({ErrorKind::NotFound, "no route has a path that matches", "check the path against the routes table"});
            return;
        }
        if (route->workClass != WorkClass::Request) {
            context->fail({ErrorKind::NotAllowed, "route '" + route->name.value() + "' takes jobs", "submit the work with POST /v1/jobs"});
            return;
        }
        context->route = *route;
        next();
    };
}

RequestFilter authenticationFilter(const RequestServices &services)
{
    return [services](const RequestContextPtr &context, const NextFilter &next) {
        if (context->route.open) {
            context->team = context->route.openTeam;
            next();
            return;
        }
        const std::string secret = bearerKey(context->call->request().headers);
        if (secret.empty()) {
            context->fail({ErrorKind::Unauthorized, "the request has no key", "send the header 'Authorization: Bearer <key>'"});
            return;
        }
        const auto identity = services.identify(secret);
        if (!identity) {
            context->fail(identity.reason());
            return;
        }
        context->team = identity.value().team;
        if (!services.mayUse(context->team, context->route.pool)) {
            context->fail({ErrorKind::NotAllowed,
                           "team '" + context->team.value() + "' may not use pool '" + context->route.pool.value() + "'",
                           "ask an operator to add the team to the pool"});
            return;
        }
        next();
    };
}

RequestFilter teamLimitFilter(const RequestSettings &settings)
{
    auto active = std::make_shared<std::map<TeamId, std::size_t>>();
    return [active, maxActive = settings.maxActivePerTeam](const RequestContextPtr &context, const NextFilter &next) {
        std::size_t &count = (*active)[context->team];
        if (count >= maxActive) {
            context->fail(
                {ErrorKind::LimitReached, "the team has too many active requests on this daemon", "wait for the stated time, then send the request again"});
            return;
        }
        ++count;
        context->finishHooks.emplace_back([active, team = context->team](const HttpResponse &, ExecutionStatus) {
            const auto entry = active->find(team);
            if (--entry->second == 0) {
                active->erase(entry);
            }
        });
        next();
    };
}

RequestFilter deadlineFilter(const RequestServices &services, const RequestSettings &settings)
{
    return [services, settings](const RequestContextPtr &context, const NextFilter &next) {
        const HttpRequest &request = context->call->request();
        Duration timeout = context->route.deadline > Duration(0) ? context->route.deadline : settings.defaultDeadline;
        const std::string text = headerValue(request.headers, "X-Deadline-Ms");
        if (!text.empty()) {
            const auto requested = parsePositive(text);
            if (!requested || *requested > maxDeadlineMs) {
                context->fail({ErrorKind::InvalidInput, "X-Deadline-Ms is not a number of milliseconds", "send a whole number from 1 to 86400000"});
                return;
            }
            timeout = std::min(timeout, Duration(*requested));
        }
        context->deadline = request.arrival + timeout;
        next();
    };
}

RequestFilter claimFilter(const RequestServices &services)
{
    return [services](const RequestContextPtr &context, const NextFilter &next) {
        const HttpRequest &request = context->call->request();
        const std::string key = headerValue(request.headers, "Idempotency-Key");
        if (context->route.idempotent || key.empty()) {
            next();
            return;
        }
        if (key.size() > maxIdempotencyKeyLength || !isPrintableWithoutSpaces(key)) {
            context->fail({ErrorKind::InvalidInput, "the idempotency key is invalid", "send 1 to 200 printable characters without spaces"});
            return;
        }
        services.claim(context->team, key, requestFingerprint(services, request), [services, context, key, next](const CallerAnswer &answer) {
            onClaimAnswer(services, context, key, answer, next);
        });
    };
}

RequestChain::RequestChain(const RequestServices &services, const RequestSettings &settings)
    : RequestChain({reportFilter(services),
                    routeFilter(services),
                    authenticationFilter(services),
                    teamLimitFilter(settings),
                    deadlineFilter(services, settings),
                    claimFilter(services),
                    attemptFilter(services, std::make_shared<RetryBudget>(RetryBudgetSettings(), services.now()))})
{
}

RequestChain::RequestChain(std::vector<RequestFilter> filters) : m_filters(std::make_shared<const std::vector<RequestFilter>>(std::move(filters))) { }

void RequestChain::handle(const HttpCallPtr &call) const
{
    auto context = std::make_shared<RequestContext>();
    context->call = call;
    run(m_filters, 0, context);
}

void RequestChain::run(const std::shared_ptr<const std::vector<RequestFilter>> &filters, std::size_t index, const RequestContextPtr &context)
{
    if (index < filters->size() && !context->finished) {
        filters->at(index)(context, [filters, index, context] { run(filters, index + 1, context); });
    }
}

} // namespace KingCupLadder
