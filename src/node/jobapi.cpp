// Implementation of the caller operations.
#include "jobapi.h"

#include "daemon/log.h"
#include "rowcodec.h"

#include <algorithm>
#include <chrono>

namespace KingCupLadder {

namespace {

constexpr int httpBadRequest = 400;
constexpr int httpUnauthorized = 401;
constexpr int httpMethodNotAllowed = 405;
constexpr int httpGone = 410;
constexpr int httpTooManyRequests = 429;
constexpr int httpServerError = 500;
constexpr int httpGatewayTimeout = 504;
constexpr Duration storeRetryDelay{1000}; // A store outage lasts seconds, so an earlier retry would fail again.
constexpr Duration configRetryDelay{1000};
constexpr Duration shareRetryDelay{1000}; // Requests in progress end within seconds, unless the store does not answer.
constexpr Duration minTimeToServe{600}; // Of a daemon that stops: for the leader's time-out and two calls to the store.
constexpr Duration otherDaemonRetryDelay{1}; // Other daemons can serve the request at once; sent as one second, the shortest Retry-After.
constexpr std::int64_t millisecondsPerSecond = 1000;

/// Returns the start of a caller's text, for a log line.
std::string shortened(const std::string &text)
{
    constexpr std::size_t maxLoggedLength = 64;
    return text.size() <= maxLoggedLength ? text : text.substr(0, maxLoggedLength) + "...";
}

std::int64_t currentUnixTimeMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

JobApi::JobApi(
    EventLoop &loop, const JobApiSettings &settings, const PlatformCodec &codec, ConfigWatcher &config, CellStorage &storage, LeaderAccess leaderAccess)
    : m_loop(loop)
    , m_settings(settings)
    , m_codec(codec)
    , m_configWatcher(config)
    , m_storage(storage)
    , m_access(std::move(leaderAccess))
    , m_workspaceShares(settings.workspaceShare)
{
}

Duration JobApi::remainingTime(const RequestPtr &request) const
{
    return std::max(request->deadline - m_loop.now(), Duration(1));
}

void JobApi::respond(const RequestPtr &request, int status, const std::string &body, const std::string &reason, Duration retryAfter)
{
    if (request->call->isDone()) {
        return;
    }
    HttpResponse response;
    response.status = status;
    response.body = body;
    response.headers.emplace_back("Content-Type", "application/json");
    if (retryAfter > Duration(0)) {
        const std::int64_t seconds = (retryAfter.count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    ++m_counters.answers[std::string(request->operation) + " " + std::to_string(status)];
    logResponse(request, status, reason);
    request->call->respond(response);
}

void JobApi::logResponse(const RequestPtr &request, int status, const std::string &reason) const
{
    const Duration elapsed = m_loop.now() - request->call->request().arrival;
    // Any caller can choose these texts, also without a key.
    const std::string subject = shortened(request->job.isEmpty() ? request->routeName.value() : request->job.value());
    const std::string text = std::string(request->operation) + " " + subject + " request " + shortened(request->callerHeaders.requestId) + ": "
        + std::to_string(status) + " " + reason + ", " + std::to_string(elapsed.count()) + " ms"
        + (m_stopRequestedAt == TimePoint()
               ? ""
               : ", taken " + std::to_string((request->call->request().arrival - m_stopRequestedAt).count()) + " ms after the stop request");
    // Submissions and cancellations of a workspace are always logged at level info, other requests only if they fail. Errors of callers are
    // rate-limited, since nothing else bounds their number.
    const bool isRoutine = status == httpOk && request->operation != std::string("submit") && request->operation != std::string("cancel");
    const bool isCallerError = status >= httpBadRequest && status < httpServerError && status != httpTooManyRequests;
    if (isCallerError) {
        logRateLimited(LogComponent::Caller, LogLevel::Info, std::string(request->operation) + " " + std::to_string(status), text);
    } else {
        logLine(LogComponent::Caller, isRoutine ? LogLevel::Debug : LogLevel::Info, text);
    }
}

void JobApi::respondWithError(const RequestPtr &request, int status, const Error &error, Duration retryAfter)
{
    respond(request, status, m_codec.encodeError(error), error.message, retryAfter);
}

void JobApi::handle(const HttpCallPtr &call)
{
    auto request = std::make_shared<Request>();
    request->call = call;
    request->callerHeaders = m_codec.parseHeaders(call->request());
    const Duration requested = request->callerHeaders.callerTimeout > Duration(0) ? request->callerHeaders.callerTimeout : m_settings.defaultCallerTimeout;
    const Duration timeout = std::min(requested, m_settings.maxRequestTime);
    // If the caller's time-out is short, the margin takes at most a quarter of it.
    request->deadline = m_loop.now() + timeout - std::min(m_settings.responseMargin, timeout / 4);
    const std::string &method = call->request().method;
    request->operation = method == "POST" ? "submit" : (method == "DELETE" ? "cancel" : "show");
    if (!limitToStopTime(request) || !checkRequest(request) || !takeShare(request)) {
        return;
    }
    if (request->job.isEmpty() && method == "GET") {
        reportQueueLength(request);
    } else if (request->job.isEmpty()) {
        respondWithError(request, httpMethodNotAllowed, {ErrorKind::InvalidInput, "the path contains no job id", "append the job's id to the path"});
    } else if (method == "POST") {
        submit(request);
    } else if (method == "GET") {
        show(request);
    } else if (method == "DELETE") {
        cancel(request);
    } else {
        respondWithError(request, httpMethodNotAllowed, {ErrorKind::InvalidInput, "method not allowed", "use POST, GET or DELETE"});
    }
}

void JobApi::setStopTime(TimePoint requestedAt, TimePoint end)
{
    m_stopRequestedAt = requestedAt;
    m_stopTime = end;
}

bool JobApi::limitToStopTime(const RequestPtr &request)
{
    if (m_stopRequestedAt == TimePoint()) {
        return true;
    }
    request->deadline = std::min(request->deadline, m_stopTime);
    if (m_loop.now() + minTimeToServe <= m_stopTime) {
        return true;
    }
    respondWithError(
        request, httpUnavailable, {ErrorKind::Unavailable, "the daemon stops, not run", "send the request to another daemon"}, otherDaemonRetryDelay);
    return false;
}

bool JobApi::checkRequest(const RequestPtr &request)
{
    const std::shared_ptr<const CellConfig> &config = m_configWatcher.config();
    if (!config) {
        respondWithError(
            request, httpUnavailable, {ErrorKind::Unavailable, "the configuration is not loaded yet, not run", "try again later"}, configRetryDelay);
        return false;
    }
    const std::string &path = request->call->request().path;
    const CellRoute *route = config->findRoute(request->callerHeaders.host, path);
    if (route == nullptr && !m_configWatcher.isFresh(m_loop.now())) {
        respondWithError(
            request, httpUnavailable, {ErrorKind::Unavailable, "the configuration is not confirmed, not run", "try again later"}, configRetryDelay);
        return false;
    }
    if (route == nullptr) {
        respondWithError(request, httpNotFound, {ErrorKind::NotFound, "no route for this host and path", "check the path"});
        return false;
    }
    request->routeName = route->name;
    request->job = JobId(path.substr(route->pathPrefix.size()));
    const Workspace *workspace = config->workspaceOfKey(request->callerHeaders.key);
    if (workspace != nullptr) {
        request->workspace = workspace->name;
    }
    if (route->isPublic) {
        return checkJobId(request);
    }
    if (!m_configWatcher.isFresh(m_loop.now())) {
        respondWithError(request,
                         httpUnavailable,
                         {ErrorKind::Unavailable, "API keys can't be checked while the configuration is not confirmed, not run", "try again later"},
                         configRetryDelay);
        return false;
    }
    if (workspace == nullptr) {
        respondWithError(request, httpUnauthorized, {ErrorKind::Unauthorized, "unknown API key, not run", "send an API key of the workspace"});
        return false;
    }
    return checkJobId(request);
}

bool JobApi::takeShare(const RequestPtr &request)
{
    request->share = m_workspaceShares.begin(request->workspace, request->call->request().body.size());
    if (request->share == nullptr) {
        respondWithError(request,
                         httpTooManyRequests,
                         {ErrorKind::LimitReached, "the workspace has too many requests in progress on this daemon, not run", "try again later"},
                         shareRetryDelay);
    }
    return request->share != nullptr;
}

bool JobApi::checkJobId(const RequestPtr &request)
{
    if (request->job.isEmpty() || m_codec.isJobId(request->job.value())) {
        return true;
    }
    if (request->operation == std::string("submit")) {
        respondWithError(request, httpBadRequest, {ErrorKind::InvalidInput, "not the id of a job, not run", "send an id of the documented form"});
    } else {
        respondWithError(request, httpGone, {ErrorKind::NotFound, "no such job", "check the id"});
    }
    return false;
}

void JobApi::submit(const RequestPtr &request)
{
    auto decoded = m_codec.decodeJob(request->call->request().body);
    if (!decoded) {
        respondWithError(request, httpBadRequest, decoded.reason());
        return;
    }
    if (m_access.isStoreDown()) {
        respondWithError(request, httpUnavailable, {ErrorKind::Unavailable, "the store does not answer, not run", "try again later"}, storeRetryDelay);
        return;
    }
    CellJob job = std::move(decoded).value();
    job.id = request->job;
    job.route = request->routeName;
    job.workspace = request->workspace;
    job.submittedUnixMs = currentUnixTimeMs();
    if (const CellRoute *route = m_configWatcher.config()->route(request->routeName)) {
        const Workspace *workspace = m_configWatcher.config()->workspace(request->workspace);
        job.admitted = AdmittedRules{*route, workspace != nullptr ? workspace->maximum : Resources{}};
    }
    const auto checked = checkJob(job);
    if (!checked) {
        respondWithError(request, httpBadRequest, checked.reason());
        return;
    }
    const CellWire::JobRow row = toWire(job);
    if (row.ByteSizeLong() > maxRowBytes) {
        respondWithError(request, httpBadRequest, {ErrorKind::InvalidInput, "the job is too large to be stored, not run", "send a shorter payload"});
        return;
    }
    PeerMessaging::Envelope peerRequest;
    *peerRequest.mutable_submit_job()->mutable_job() = row;
    m_access.sendRequest(
        std::move(peerRequest), std::min(m_settings.leaderTimeout, remainingTime(request)), [this, request, job](const PeerMessaging::Envelope *reply) {
            const CellWire::SubmitReply decision = reply != nullptr ? reply->submit_reply() : CellWire::SubmitReply();
            const Duration retryAfter(decision.retry_after_ms());
            switch (decision.admission()) {
            case CellWire::REFUSED_BUSY:
                respondWithError(request, httpUnavailable, {ErrorKind::NoRoom, "the cell is full, not run", "try again later"}, retryAfter);
                return;
            case CellWire::REFUSED_LIMIT:
                respondWithError(
                    request, httpTooManyRequests, {ErrorKind::LimitReached, "the workspace exceeds its rate, not run", "try again later"}, retryAfter);
                return;
            case CellWire::ALREADY_STORED:
                respond(request, httpOk, "{}", "already stored");
                return;
            default:
                // Without a leader the job is stored anyway; the next leader loads it from the store.
                storeJob(request, job);
                return;
            }
        });
}

void JobApi::storeJob(const RequestPtr &request, const CellJob &job)
{
    const TimePoint deadline = std::min(request->deadline, m_loop.now() + m_settings.maxAdmissionTime);
    m_storage.admit(job, deadline, [this, request, job](AdmitOutcome outcome) {
        PeerMessaging::Envelope notice;
        switch (outcome) {
        case AdmitOutcome::Stored:
            notice.mutable_job_stored()->mutable_job()->set_id(job.id.value());
            notifyLeader(job, std::move(notice));
            respond(request, httpOk, "{}", "stored");
            return;
        case AdmitOutcome::AlreadyExists:
            // If the leader missed the row, it finds it by polling the store.
            respond(request, httpOk, "{}", "already stored");
            return;
        case AdmitOutcome::NotStored:
            notice.mutable_job_dropped()->set_id(job.id.value());
            notifyLeader(job, std::move(notice));
            respondWithError(request, httpUnavailable, {ErrorKind::Unavailable, "the job could not be stored, not run", "try again later"}, storeRetryDelay);
            return;
        case AdmitOutcome::Unknown:
            respondWithError(request, httpGatewayTimeout, {ErrorKind::OutcomeUnknown, "the store did not answer", "send the job again with the same id"});
            return;
        }
    });
}

void JobApi::notifyLeader(const CellJob &job, PeerMessaging::Envelope message)
{
    Notice notice;
    notice.job = job;
    notice.message = std::move(message);
    notice.nextAttempt = m_loop.now();
    notice.expiry = m_loop.now() + m_settings.noticeExpiry;
    m_notices.emplace(++m_lastNoticeId, std::move(notice));
    tick();
}

void JobApi::tick()
{
    const TimePoint now = m_loop.now();
    std::vector<std::uint64_t> dueIds;
    for (auto &[id, notice] : m_notices) {
        if (!notice.inFlight && notice.nextAttempt <= now) {
            dueIds.push_back(id);
        }
    }
    for (const std::uint64_t id : dueIds) {
        const auto notice = m_notices.find(id);
        if (notice == m_notices.end()) {
            continue;
        }
        if (notice->second.expiry <= now) {
            m_notices.erase(notice);
            continue;
        }
        notice->second.inFlight = true;
        m_access.sendRequest(notice->second.message, m_settings.leaderTimeout, [this, id](const PeerMessaging::Envelope *reply) {
            const auto pending = m_notices.find(id);
            if (pending == m_notices.end()) {
                return;
            }
            if (reply != nullptr && reply->has_acknowledgement()) {
                m_notices.erase(pending);
                return;
            }
            if (pending->second.message.has_job_stored()) {
                // A new leader may not have seen the submission, so it gets the whole job.
                *pending->second.message.mutable_job_stored()->mutable_job() = toWire(pending->second.job);
            }
            pending->second.inFlight = false;
            pending->second.nextAttempt = m_loop.now() + m_settings.noticeRetryInterval;
        });
    }
}

std::size_t JobApi::pendingNotices() const
{
    return m_notices.size();
}

bool JobApi::canAccess(const RequestPtr &request, const WorkspaceId &owner) const
{
    // Only a request on a public route without a valid API key has no workspace, and neither has a job that it submits. Such a caller may access
    // all jobs, and all callers may access such a job.
    return request->workspace.isEmpty() || owner.isEmpty() || owner == request->workspace;
}

void JobApi::respondWithState(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace)
{
    if (state == CellJobState::Unknown || !canAccess(request, workspace)) {
        respondWithError(request, httpGone, {ErrorKind::NotFound, "no such job", "check the id"});
        return;
    }
    respond(request, httpOk, m_codec.encodeState(state), toString(state));
}

void JobApi::show(const RequestPtr &request)
{
    PeerMessaging::Envelope peerRequest;
    peerRequest.mutable_state_query()->set_job(request->job.value());
    // The other half of the time remains for reading the store.
    m_access.sendRequest(
        std::move(peerRequest), std::min(m_settings.leaderTimeout, remainingTime(request) / 2), [this, request](const PeerMessaging::Envelope *reply) {
            if (reply != nullptr && reply->state_reply().state() != CellWire::UNKNOWN_STATE) {
                respondWithState(request, fromWire(reply->state_reply().state()), WorkspaceId(reply->state_reply().workspace()));
                return;
            }
            showStoredState(request);
        });
}

void JobApi::showStoredState(const RequestPtr &request)
{
    m_storage.readState(request->job, remainingTime(request), [this, request](const StoredState &stored) {
        if (!stored.wasRead) {
            respondWithError(
                request, httpUnavailable, {ErrorKind::Unavailable, "the job's state can't be read at the moment", "try again later"}, storeRetryDelay);
            return;
        }
        respondWithState(request, stored.state, stored.workspace);
    });
}

void JobApi::cancel(const RequestPtr &request)
{
    PeerMessaging::Envelope peerRequest;
    peerRequest.mutable_state_query()->set_job(request->job.value());
    m_access.sendRequest(
        std::move(peerRequest), std::min(m_settings.leaderTimeout, remainingTime(request) / 2), [this, request](const PeerMessaging::Envelope *reply) {
            if (reply != nullptr && reply->state_reply().state() != CellWire::UNKNOWN_STATE) {
                cancelInState(request, fromWire(reply->state_reply().state()), WorkspaceId(reply->state_reply().workspace()));
                return;
            }
            m_storage.readState(request->job, remainingTime(request), [this, request](const StoredState &stored) {
                if (!stored.wasRead) {
                    respondWithError(
                        request, httpUnavailable, {ErrorKind::Unavailable, "the job can't be looked up at the moment", "try again later"}, storeRetryDelay);
                    return;
                }
                cancelInState(request, stored.state, stored.workspace);
            });
        });
}

void JobApi::cancelInState(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace)
{
    if (state == CellJobState::Unknown || !canAccess(request, workspace)) {
        respondWithError(request, httpGone, {ErrorKind::NotFound, "no such job", "check the id"});
        return;
    }
    if (isFinal(state)) {
        respond(request, httpOk, m_codec.encodeState(state), "already ended");
        return;
    }
    m_storage.cancel(request->job, request->deadline, [this, request](bool stored) {
        if (!stored) {
            respondWithError(request, httpGatewayTimeout, {ErrorKind::OutcomeUnknown, "the store did not answer", "cancel again"});
            return;
        }
        PeerMessaging::Envelope notice;
        notice.mutable_cancel_notice()->set_job(request->job.value());
        CellJob job;
        job.id = request->job;
        notifyLeader(job, std::move(notice));
        respond(request, httpOk, m_codec.encodeState(CellJobState::Cancelled), "cancellation stored");
    });
}

void JobApi::reportQueueLength(const RequestPtr &request)
{
    request->operation = "count";
    const std::map<RouteName, int> *queued = m_access.queued(m_settings.maxQueueCountAge);
    if (queued == nullptr) {
        respondWithError(
            request, httpUnavailable, {ErrorKind::Unavailable, "queue lengths are not available at the moment", "try again later"}, storeRetryDelay);
        return;
    }
    const auto found = queued->find(request->routeName);
    respond(request, httpOk, m_codec.encodeQueued(found == queued->end() ? 0 : found->second), "counted");
}

const JobApiCounters &JobApi::counters() const
{
    return m_counters;
}

} // namespace KingCupLadder
