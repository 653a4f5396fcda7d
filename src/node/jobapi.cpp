// Operations of callers.
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
constexpr int httpGatewayTimeout = 504;
constexpr Duration storeRetryAfter{1000}; // A store outage lasts seconds; an earlier retry would meet it again.
constexpr Duration configRetryAfter{1000};
constexpr std::int64_t millisecondsPerSecond = 1000;

std::int64_t unixNowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

JobApi::JobApi(EventLoop &loop, const JobApiSettings &settings, const PlatformCodec &translation, ConfigWatcher &config, CellStorage &rows, CellAccess cell)
    : m_loop(loop), m_settings(settings), m_translation(translation), m_config(config), m_rows(rows), m_cell(std::move(cell))
{
}

Duration JobApi::left(const RequestPtr &request) const
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
    const Duration took = m_loop.now() - request->call->request().arrival;
    const bool isRoutine = status == httpOk && request->operation != std::string("submit") && request->operation != std::string("cancel");
    logLine(LogPart::Caller,
            isRoutine ? LogLevel::Debug : LogLevel::Info,
            std::string(request->operation) + " " + (request->job.isEmpty() ? request->routeName.value() : request->job.value()) + " request "
                + request->head.requestId + ": " + std::to_string(status) + " " + reason + ", " + std::to_string(took.count()) + " ms");
    request->call->respond(response);
}

void JobApi::refuse(const RequestPtr &request, int status, const Error &error, Duration retryAfter)
{
    respond(request, status, m_translation.encodeError(error), error.message, retryAfter);
}

void JobApi::handle(const HttpCallPtr &call)
{
    auto request = std::make_shared<Request>();
    request->call = call;
    request->head = m_translation.parseHeaders(call->request());
    const Duration patience = request->head.patience > Duration(0) ? request->head.patience : m_settings.defaultCallerTimeout;
    request->deadline = m_loop.now() + patience - std::min(m_settings.answerMargin, patience / 4);
    const std::string &method = call->request().method;
    request->operation = method == "POST" ? "submit" : (method == "DELETE" ? "cancel" : "show");
    if (!passesFilters(request)) {
        return;
    }
    if (request->job.isEmpty() && method == "GET") {
        count(request);
    } else if (request->job.isEmpty()) {
        refuse(request, httpMethodNotAllowed, {ErrorKind::InvalidInput, "the path names no job", "append the job's id to the path"});
    } else if (method == "POST") {
        submit(request);
    } else if (method == "GET") {
        show(request);
    } else if (method == "DELETE") {
        cancel(request);
    } else {
        refuse(request, httpMethodNotAllowed, {ErrorKind::InvalidInput, "unknown method", "use POST, GET or DELETE"});
    }
}

bool JobApi::passesFilters(const RequestPtr &request)
{
    const std::shared_ptr<const CellConfig> &config = m_config.config();
    if (!config) {
        refuse(request, httpUnavailable, {ErrorKind::Unavailable, "no configuration yet, not run", "try again later"}, configRetryAfter);
        return false;
    }
    const std::string &path = request->call->request().path;
    const CellRoute *route = config->findRoute(request->head.host, path);
    if (route == nullptr && !m_config.isFresh(m_loop.now())) {
        refuse(request, httpUnavailable, {ErrorKind::Unavailable, "the configuration is not confirmed, not run", "try again later"}, configRetryAfter);
        return false;
    }
    if (route == nullptr) {
        refuse(request, httpNotFound, {ErrorKind::NotFound, "no route for this host and path", "check the path"});
        return false;
    }
    request->routeName = route->name;
    request->job = JobId(path.substr(route->pathPrefix.size()));
    const Workspace *workspace = config->workspaceOfKey(request->head.key);
    if (workspace != nullptr) {
        request->workspace = workspace->name;
    }
    if (route->isPublic) {
        return true;
    }
    if (!m_config.isFresh(m_loop.now())) {
        refuse(request,
               httpUnavailable,
               {ErrorKind::Unavailable, "keys can't be checked while the configuration is not confirmed, not run", "try again later"},
               configRetryAfter);
        return false;
    }
    if (workspace == nullptr) {
        refuse(request, httpUnauthorized, {ErrorKind::Unauthorized, "unknown key, not run", "send a key of the workspace"});
        return false;
    }
    return true;
}

void JobApi::submit(const RequestPtr &request)
{
    auto decoded = m_translation.decodeJob(request->call->request().body);
    if (!decoded) {
        refuse(request, httpBadRequest, decoded.reason());
        return;
    }
    if (m_cell.isStoreDown()) {
        refuse(request, httpUnavailable, {ErrorKind::Unavailable, "the store does not answer, not run", "try again later"}, storeRetryAfter);
        return;
    }
    CellJob job = std::move(decoded).value();
    job.id = request->job;
    job.route = request->routeName;
    job.workspace = request->workspace;
    job.submittedUnixMs = unixNowMs();
    const auto checked = checkJob(job);
    if (!checked) {
        refuse(request, httpBadRequest, checked.reason());
        return;
    }
    PeerMessaging::Envelope question;
    *question.mutable_submit_job()->mutable_job() = toWire(job);
    m_cell.ask(std::move(question), std::min(m_settings.leaderTimeout, left(request)), [this, request, job](const PeerMessaging::Envelope *reply) {
        const CellWire::SubmitReply verdict = reply != nullptr ? reply->submit_reply() : CellWire::SubmitReply();
        const Duration retryAfter(verdict.retry_after_ms());
        switch (verdict.admission()) {
        case CellWire::REFUSED_BUSY:
            refuse(request, httpUnavailable, {ErrorKind::NoRoom, "the cell is full, not run", "try again later"}, retryAfter);
            return;
        case CellWire::REFUSED_LIMIT:
            refuse(request, httpTooManyRequests, {ErrorKind::LimitReached, "the workspace sends more than its share, not run", "try again later"}, retryAfter);
            return;
        case CellWire::ALREADY_STORED:
            respond(request, httpOk, "{}", "already stored");
            return;
        default:
            // Without a leader the job is stored all the same; the next leader finds it.
            store(request, job);
            return;
        }
    });
}

void JobApi::store(const RequestPtr &request, const CellJob &job)
{
    const TimePoint deadline = std::min(request->deadline, m_loop.now() + m_settings.maxAdmissionTime);
    m_rows.admit(job, deadline, [this, request, job](AdmitOutcome outcome) {
        PeerMessaging::Envelope notice;
        switch (outcome) {
        case AdmitOutcome::Stored:
            notice.mutable_job_stored()->mutable_job()->set_id(job.id.value());
            notify(job, std::move(notice));
            respond(request, httpOk, "{}", "stored");
            return;
        case AdmitOutcome::AlreadyExists:
            // The leader gets the stored row by itself if it has missed it.
            respond(request, httpOk, "{}", "already stored");
            return;
        case AdmitOutcome::NotStored:
            notice.mutable_job_dropped()->set_id(job.id.value());
            notify(job, std::move(notice));
            refuse(request, httpUnavailable, {ErrorKind::Unavailable, "the store refuses the job, not run", "try again later"}, storeRetryAfter);
            return;
        case AdmitOutcome::Unknown:
            refuse(request, httpGatewayTimeout, {ErrorKind::OutcomeUnknown, "the store did not answer", "send the job again with the same id"});
            return;
        }
    });
}

void JobApi::notify(const CellJob &job, PeerMessaging::Envelope message)
{
    Notice notice;
    notice.job = job;
    notice.message = std::move(message);
    notice.next = m_loop.now();
    notice.giveUp = m_loop.now() + m_settings.noticeExpiry;
    m_notices.emplace(++m_lastNotice, std::move(notice));
    tick();
}

void JobApi::tick()
{
    const TimePoint now = m_loop.now();
    std::vector<std::uint64_t> due;
    for (auto &[id, notice] : m_notices) {
        if (!notice.open && notice.next <= now) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        const auto notice = m_notices.find(id);
        if (notice == m_notices.end()) {
            continue;
        }
        if (notice->second.giveUp <= now) {
            m_notices.erase(notice);
            continue;
        }
        notice->second.open = true;
        m_cell.ask(notice->second.message, m_settings.leaderTimeout, [this, id](const PeerMessaging::Envelope *reply) {
            const auto open = m_notices.find(id);
            if (open == m_notices.end()) {
                return;
            }
            if (reply != nullptr && reply->has_acknowledgement()) {
                m_notices.erase(open);
                return;
            }
            if (open->second.message.has_job_stored()) {
                // This leader may not have seen the submission.
                *open->second.message.mutable_job_stored()->mutable_job() = toWire(open->second.job);
            }
            open->second.open = false;
            open->second.next = m_loop.now() + m_settings.noticeRetryInterval;
        });
    }
}

std::size_t JobApi::pendingNotices() const
{
    return m_notices.size();
}

bool JobApi::mayRead(const RequestPtr &request, const WorkspaceId &owner) const
{
    return request->workspace.isEmpty() || owner.isEmpty() || owner == request->workspace;
}

void JobApi::answerState(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace)
{
    if (state == CellJobState::Unknown || !mayRead(request, workspace)) {
        refuse(request, httpGone, {ErrorKind::NotFound, "no such job", "check the id"});
        return;
    }
    respond(request, httpOk, m_translation.encodeState(state), toString(state));
}

void JobApi::show(const RequestPtr &request)
{
    PeerMessaging::Envelope question;
    question.mutable_state_query()->set_job(request->job.value());
    m_cell.ask(std::move(question), std::min(m_settings.leaderTimeout, left(request) / 2), [this, request](const PeerMessaging::Envelope *reply) {
        if (reply != nullptr && reply->state_reply().state() != CellWire::UNKNOWN_STATE) {
            answerState(request, fromWire(reply->state_reply().state()), WorkspaceId(reply->state_reply().workspace()));
            return;
        }
        showStored(request);
    });
}

void JobApi::showStored(const RequestPtr &request)
{
    m_rows.readState(request->job, left(request), [this, request](const StoredState &stored) {
        if (!stored.known) {
            refuse(request, httpUnavailable, {ErrorKind::Unavailable, "the job's state can't be read now", "try again later"}, storeRetryAfter);
            return;
        }
        answerState(request, stored.state, stored.workspace);
    });
}

void JobApi::cancel(const RequestPtr &request)
{
    PeerMessaging::Envelope question;
    question.mutable_state_query()->set_job(request->job.value());
    m_cell.ask(std::move(question), std::min(m_settings.leaderTimeout, left(request) / 2), [this, request](const PeerMessaging::Envelope *reply) {
        if (reply != nullptr && reply->state_reply().state() != CellWire::UNKNOWN_STATE) {
            cancelKnown(request, fromWire(reply->state_reply().state()), WorkspaceId(reply->state_reply().workspace()));
            return;
        }
        m_rows.readState(request->job, left(request), [this, request](const StoredState &stored) {
            if (!stored.known) {
                refuse(request, httpUnavailable, {ErrorKind::Unavailable, "the job can't be found now", "try again later"}, storeRetryAfter);
                return;
            }
            cancelKnown(request, stored.state, stored.workspace);
        });
    });
}

void JobApi::cancelKnown(const RequestPtr &request, CellJobState state, const WorkspaceId &workspace)
{
    if (state == CellJobState::Unknown || !mayRead(request, workspace)) {
        refuse(request, httpGone, {ErrorKind::NotFound, "no such job", "check the id"});
        return;
    }
    if (isFinal(state)) {
        respond(request, httpOk, m_translation.encodeState(state), "has ended already");
        return;
    }
    m_rows.cancel(request->job, request->deadline, [this, request](bool stored) {
        if (!stored) {
            refuse(request, httpGatewayTimeout, {ErrorKind::OutcomeUnknown, "the store did not answer", "cancel again"});
            return;
        }
        PeerMessaging::Envelope notice;
        notice.mutable_cancel_notice()->set_job(request->job.value());
        CellJob job;
        job.id = request->job;
        notify(job, std::move(notice));
        respond(request, httpOk, m_translation.encodeState(CellJobState::Cancelled), "cancellation stored");
    });
}

void JobApi::count(const RequestPtr &request)
{
    request->operation = "count";
    const std::map<RouteName, int> *queued = m_cell.queued(m_settings.maxQueueCountAge);
    if (queued == nullptr) {
        refuse(request, httpUnavailable, {ErrorKind::Unavailable, "the queues can't be counted now", "try again later"}, storeRetryAfter);
        return;
    }
    const auto found = queued->find(request->routeName);
    respond(request, httpOk, m_translation.encodeQueued(found == queued->end() ? 0 : found->second), "counted");
}

const JobApiCounters &JobApi::counters() const
{
    return m_counters;
}

} // namespace KingCupLadder
