// Routes API calls by path and handles them.
#include "apihandlers.h"

#include "jobjson.h"
#include "jsonfields.h"
#include "requestfilters.h"

namespace KingCupLadder {

namespace {

constexpr std::size_t keySecretBytes = 32;
constexpr std::size_t randomIdBytes = 16;
const char jobsPath[] = "/v1/jobs";
const char keysPath[] = "/v1/keys";

/// Compares two strings in a time that doesn't reveal where they differ.
bool constantTimeEquals(const std::string &a, const std::string &b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

/// Returns the decoded rest of the path after "<collection>/", an empty string for the collection itself, or nullopt for any
/// other path.
std::optional<std::string> idUnderCollection(const std::string &path, const std::string &collection)
{
    if (path == collection || path == collection + "/") {
        return std::string();
    }
    if (path.compare(0, collection.size() + 1, collection + "/") != 0) {
        return std::nullopt;
    }
    return percentDecode(path.substr(collection.size() + 1));
}

std::string queryValue(const std::string &query, const std::string &name)
{
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string part = query.substr(start, end - start);
        if (part.compare(0, name.size() + 1, name + "=") == 0) {
            return percentDecode(part.substr(name.size() + 1)).value_or(std::string());
        }
        start = end + 1;
    }
    return {};
}

void respondMethodNotAllowed(const HttpCallPtr &call, const std::string &allowed)
{
    HttpResponse response = errorResponse({ErrorKind::InvalidInput, "the method " + call->request().method + " is not supported here", "use " + allowed});
    response.status = 405;
    response.headers.emplace_back("Allow", allowed);
    call->respond(response);
}

/// Returns the body of a successful answer. If the answer is an error or its body is not a T, responds to the call with an error and
/// returns null.
template<typename T>
const T *bodyOrRespondError(const HttpCallPtr &call, const CallerAnswer &answer)
{
    if (answer.error.kind != ErrorKind::None) {
        call->respond(errorResponse(answer.error, answer.ran, answer.retryAfter));
        return nullptr;
    }
    const T *body = std::get_if<T>(&answer.body);
    if (body == nullptr) {
        call->respond(
            errorResponse({ErrorKind::OutcomeUnknown, "the daemon has no result for this call", "read the state and try again"}, ExecutionStatus::Unknown));
    }
    return body;
}

nlohmann::json jsonOrNull(const std::string &text)
{
    return parseJson(text).value_or(nlohmann::json());
}

} // namespace

ApiHandlers::ApiHandlers(CoreRunner &runner, ApiSettings settings, ApiServices services)
    : m_runner(runner), m_settings(std::move(settings)), m_services(std::move(services))
{
}

bool ApiHandlers::handle(const HttpCallPtr &call)
{
    const std::string &path = call->request().path;
    if (handleMonitoring(call)) {
        return true;
    }
    if (path == "/v1/tables") {
        handleTables(call);
        return true;
    }
    if (path == "/v1/status") {
        handleStatus(call);
        return true;
    }
    if (path == "/v1/slo") {
        if (requireOperator(call)) {
            call->respond(jsonResponse(httpOk, m_services.sloJson()));
        }
        return true;
    }
    if (const auto job = idUnderCollection(path, jobsPath)) {
        handleJobs(call, *job);
        return true;
    }
    if (const auto key = idUnderCollection(path, keysPath)) {
        handleKeys(call, *key);
        return true;
    }
    if (path.compare(0, 4, "/v1/") == 0) {
        call->respond(errorResponse({ErrorKind::NotFound, "the API has no such path", "see the recipes page for the paths of the API"}));
        return true;
    }
    return false;
}

bool ApiHandlers::handleMonitoring(const HttpCallPtr &call)
{
    const std::string &path = call->request().path;
    if (path == "/healthz") {
        call->respond(HttpResponse{httpOk, {{"Content-Type", "text/plain"}}, "ok\n"});
        return true;
    }
    if (path == "/readyz") {
        const bool ready = m_services.ready() && m_runner.core().ready(m_runner.now());
        call->respond(HttpResponse{ready ? httpOk : httpUnavailable, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"});
        return true;
    }
    if (path == "/metrics") {
        call->respond(HttpResponse{httpOk, {{"Content-Type", "text/plain; version=0.0.4"}}, m_services.metricsText()});
        return true;
    }
    return false;
}

bool ApiHandlers::isOperator(const HttpRequest &request) const
{
    const std::string secret = bearerKey(request.headers);
    return !secret.empty() && constantTimeEquals(m_services.digest(secret), m_settings.operatorKeyDigest);
}

bool ApiHandlers::requireOperator(const HttpCallPtr &call) const
{
    if (isOperator(call->request())) {
        return true;
    }
    call->respond(errorResponse({ErrorKind::Unauthorized, "this call needs the operator key", "send the header 'Authorization: Bearer <operator key>'"}));
    return false;
}

Result<ApiHandlers::Caller> ApiHandlers::identify(const HttpRequest &request) const
{
    if (isOperator(request)) {
        return Caller{true, {}, {}};
    }
    const std::string secret = bearerKey(request.headers);
    if (secret.empty()) {
        return Error{ErrorKind::Unauthorized, "the request has no key", "send the header 'Authorization: Bearer <key>'"};
    }
    const auto identity = m_runner.core().identify(secret, m_runner.now());
    if (!identity) {
        return identity.reason();
    }
    return Caller{false, identity.value().team, identity.value().workspace};
}

Result<ApiHandlers::Caller> ApiHandlers::identifySubmitter(const HttpRequest &request, const Route &route) const
{
    if (route.open) {
        const auto team = m_services.team(route.openTeam);
        return Caller{false, route.openTeam, team ? team->workspace : WorkspaceId()};
    }
    auto caller = identify(request);
    if (!caller) {
        return caller;
    }
    if (caller.value().isOperator) {
        return Error{ErrorKind::NotAllowed, "the operator key belongs to no team", "submit with a team's key"};
    }
    if (!m_services.mayUse(caller.value().team, route.pool)) {
        return Error{ErrorKind::NotAllowed,
                     "team '" + caller.value().team.value() + "' may not use pool '" + route.pool.value() + "'",
                     "ask an operator to add the team to the pool"};
    }
    return caller;
}

// ---------------------------------------------------------------- jobs

void ApiHandlers::handleJobs(const HttpCallPtr &call, const std::string &id)
{
    const std::string &method = call->request().method;
    if (id.empty() && method == "POST") {
        submitJob(call);
        return;
    }
    // GET is allowed with and without an id, DELETE only with one.
    if (method != "GET" && (method != "DELETE" || id.empty())) {
        respondMethodNotAllowed(call, id.empty() ? "GET, POST" : "GET, DELETE");
        return;
    }
    if (!id.empty() && !isValidId(id)) {
        call->respond(errorResponse({ErrorKind::InvalidInput, "the job id is invalid", "send 1 to 200 printable characters without spaces"}));
        return;
    }
    const auto caller = identify(call->request());
    if (!caller) {
        call->respond(errorResponse(caller.reason()));
    } else if (id.empty()) {
        listJobs(call, caller.value());
    } else if (method == "GET") {
        readJob(call, caller.value(), storedJobId(id, caller.value()));
    } else {
        cancelJob(call, caller.value(), storedJobId(id, caller.value()));
    }
}

JobId ApiHandlers::storedJobId(const std::string &given, const Caller &caller)
{
    const std::string prefix = caller.team.value() + ":";
    const bool isFull = caller.isOperator || given.compare(0, prefix.size(), prefix) == 0;
    return JobId(isFull ? given : prefix + given);
}

Result<JobId> ApiHandlers::jobIdFor(const HttpRequest &request, const std::string &given, const TeamId &team) const
{
    std::string idWithoutTeam = headerValue(request.headers, "Idempotency-Key");
    if (idWithoutTeam.empty()) {
        idWithoutTeam = given;
    }
    if (idWithoutTeam.empty()) {
        const auto random = m_services.randomHex(randomIdBytes);
        if (!random) {
            return Error{ErrorKind::Unavailable, "a random job id can't be generated", "send an id of your own"};
        }
        idWithoutTeam = *random;
    }
    // Without the team prefix, a team could take or guess the ids of another team's jobs.
    const std::string id = team.value() + ":" + idWithoutTeam;
    if (!isValidId(id)) {
        return Error{ErrorKind::InvalidInput, "the job id is invalid", "send 1 to 200 printable characters without spaces, the team's name included"};
    }
    return JobId(id);
}

Result<JobSpec> ApiHandlers::parseSubmission(const HttpRequest &request) const
{
    const auto parsed = parseJobRequest(request.body);
    if (!parsed) {
        return parsed.reason();
    }
    const auto route = m_services.route(parsed.value().route);
    if (!route) {
        return Error{ErrorKind::NotFound, "there is no route '" + parsed.value().route.value() + "'", "choose a route of the routes table"};
    }
    if (route->workClass == WorkClass::Request) {
        return Error{ErrorKind::NotAllowed, "route '" + route->name.value() + "' takes requests", "send the request to its path " + route->path};
    }
    const auto caller = identifySubmitter(request, *route);
    if (!caller) {
        return caller.reason();
    }
    auto spec = makeJobSpec(parsed.value(), *route);
    if (!spec) {
        return spec;
    }
    const auto id = jobIdFor(request, parsed.value().id, caller.value().team);
    if (!id) {
        return id.reason();
    }
    spec.value().id = id.value();
    spec.value().team = caller.value().team;
    spec.value().workspace = caller.value().workspace;
    return spec;
}

void ApiHandlers::submitJob(const HttpCallPtr &call)
{
    const auto spec = parseSubmission(call->request());
    if (!spec) {
        m_services.reportJobSubmission({}, {}, spec.reason().kind, Duration(0));
        call->respond(errorResponse(spec.reason()));
        return;
    }
    const JobSpec &job = spec.value();
    m_runner.call([job](DaemonCore &core, TimePoint now) { return core.submitJob(job, now); },
                  [this, call, job](const CallerAnswer &answer) {
                      m_services.reportJobSubmission(job.route, job.team, answer.error.kind, m_runner.now() - call->request().arrival);
                      if (answer.error.kind != ErrorKind::None) {
                          // With the id, the caller can query the state of the job later.
                          HttpResponse response = errorResponse(answer.error, answer.ran, answer.retryAfter);
                          nlohmann::json body = jsonOrNull(response.body);
                          body["id"] = job.id.value();
                          response.body = dumpJson(body);
                          call->respond(response);
                          return;
                      }
                      if (const auto *accepted = bodyOrRespondError<JobAccepted>(call, answer)) {
                          call->respond(jsonResponse(accepted->existed ? httpOk : httpAccepted,
                                                     dumpJson({{"id", accepted->id.value()}, {"existed", accepted->existed}})));
                      }
                  });
}

void ApiHandlers::listJobs(const HttpCallPtr &call, const Caller &caller)
{
    m_runner.call([team = caller.team](DaemonCore &core, TimePoint now) { return core.listJobs(team, now); },
                  [call](const CallerAnswer &answer) {
                      if (const auto *records = bodyOrRespondError<std::vector<JobRecord>>(call, answer)) {
                          nlohmann::json list = nlohmann::json::array();
                          for (const JobRecord &record : *records) {
                              list.push_back(jobJson(record));
                          }
                          call->respond(jsonResponse(httpOk, dumpJson({{"jobs", std::move(list)}})));
                      }
                  });
}

void ApiHandlers::readJob(const HttpCallPtr &call, const Caller &caller, const JobId &id)
{
    m_runner.call([id](DaemonCore &core, TimePoint now) { return core.readJob(id, now); },
                  [call, caller](const CallerAnswer &answer) {
                      const auto *record = bodyOrRespondError<JobRecord>(call, answer);
                      if (record == nullptr) {
                          return;
                      }
                      if (!caller.isOperator && record->spec.team != caller.team) {
                          // The same response as for a missing job, so that callers can't probe for the ids of other teams.
                          call->respond(errorResponse({ErrorKind::NotFound, "there is no such job", "check the id"}));
                          return;
                      }
                      call->respond(jsonResponse(httpOk, dumpJson(jobJson(*record))));
                  });
}

void ApiHandlers::cancelJob(const HttpCallPtr &call, const Caller &caller, const JobId &id)
{
    m_runner.call([id, team = caller.team](DaemonCore &core, TimePoint now) { return core.cancelJob(id, team, now); },
                  [call](const CallerAnswer &answer) {
                      if (const auto *cancelled = bodyOrRespondError<JobCancelled>(call, answer)) {
                          call->respond(jsonResponse(httpOk, dumpJson({{"id", cancelled->id.value()}, {"cancelled", true}})));
                      }
                  });
}

// ---------------------------------------------------------------- tables

void ApiHandlers::handleTables(const HttpCallPtr &call)
{
    if (!requireOperator(call)) {
        return;
    }
    if (call->request().method == "PUT") {
        putTables(call);
        return;
    }
    if (call->request().method != "GET") {
        respondMethodNotAllowed(call, "GET, PUT");
        return;
    }
    DaemonCore &core = m_runner.core();
    call->respond(jsonResponse(httpOk, dumpJson({{"version", core.tablesVersion().value()}, {"routes", core.routesYaml()}, {"pools", core.poolsYaml()}})));
}

void ApiHandlers::putTables(const HttpCallPtr &call)
{
    const auto json = parseJson(call->request().body);
    std::string parseError = json ? "" : "the body is not JSON";
    const nlohmann::json empty = nlohmann::json::object();
    JsonFields fields(json ? *json : empty, parseError, "tables");
    const ConfigVersion expected(static_cast<std::uint64_t>(fields.number("expected")));
    const std::string routes = fields.text("routes");
    const std::string pools = fields.text("pools");
    if (!parseError.empty()) {
        call->respond(errorResponse({ErrorKind::InvalidInput, parseError, R"(send {"expected": <version>, "routes": "<YAML>", "pools": "<YAML>"})"}));
        return;
    }
    const auto problems = m_services.checkTables(routes, pools);
    if (!problems.empty()) {
        HttpResponse response = errorResponse({ErrorKind::InvalidInput, problems.front().text(), "correct all listed problems and apply again"});
        nlohmann::json body = jsonOrNull(response.body);
        for (const TableProblem &problem : problems) {
            body["problems"].push_back({{"document", problem.document}, {"line", problem.line}, {"message", problem.message}, {"remedy", problem.remedy}});
        }
        response.body = dumpJson(body);
        call->respond(response);
        return;
    }
    m_runner.call([expected, routes, pools](DaemonCore &core, TimePoint now) { return core.applyTables(expected, routes, pools, now); },
                  [call](const CallerAnswer &answer) {
                      if (const auto *accepted = bodyOrRespondError<ConfigAccepted>(call, answer)) {
                          call->respond(jsonResponse(httpOk, dumpJson({{"version", accepted->version.value()}})));
                      }
                  });
}

// ---------------------------------------------------------------- keys

void ApiHandlers::handleKeys(const HttpCallPtr &call, const std::string &id)
{
    if (!requireOperator(call)) {
        return;
    }
    const std::string &method = call->request().method;
    if (id.empty() && method == "GET") {
        listKeys(call);
    } else if (id.empty() && method == "POST") {
        addKey(call);
    } else if (!id.empty() && method == "DELETE") {
        m_runner.call([key = KeyId(id)](DaemonCore &core, TimePoint now) { return core.withdrawKey(key, now); },
                      [call, id](const CallerAnswer &answer) {
                          if (const auto *accepted = bodyOrRespondError<ConfigAccepted>(call, answer)) {
                              call->respond(jsonResponse(httpOk, dumpJson({{"id", id}, {"withdrawn", true}, {"version", accepted->version.value()}})));
                          }
                      });
    } else {
        respondMethodNotAllowed(call, id.empty() ? "GET, POST" : "DELETE");
    }
}

void ApiHandlers::listKeys(const HttpCallPtr &call)
{
    nlohmann::json list = nlohmann::json::array();
    for (const TeamKey &key : m_runner.core().keys()) {
        list.push_back({{"id", key.id.value()}, {"team", key.team.value()}, {"withdrawn", key.withdrawn}});
    }
    call->respond(jsonResponse(httpOk, dumpJson({{"version", m_runner.core().keysVersion().value()}, {"keys", std::move(list)}})));
}

void ApiHandlers::addKey(const HttpCallPtr &call)
{
    const auto json = parseJson(call->request().body);
    std::string parseError = json ? "" : "the body is not JSON";
    const nlohmann::json empty = nlohmann::json::object();
    JsonFields fields(json ? *json : empty, parseError, "key");
    const TeamId team(fields.text("team"));
    std::string id = fields.textOr("id", {});
    if (!parseError.empty() || (!id.empty() && !isValidId(id))) {
        call->respond(
            errorResponse({ErrorKind::InvalidInput, parseError.empty() ? "the key id is invalid" : parseError, R"(send {"team": "...", "id": "..."})"}));
        return;
    }
    if (!m_services.team(team)) {
        call->respond(errorResponse({ErrorKind::NotFound, "there is no team '" + team.value() + "'", "add the team to the pools table first"}));
        return;
    }
    const auto random = m_services.randomHex(randomIdBytes);
    const auto secret = m_services.randomHex(keySecretBytes);
    if (!random || !secret) {
        call->respond(errorResponse({ErrorKind::Unavailable, "the system's random source is not available", "try again on another daemon"}));
        return;
    }
    const TeamKey key{KeyId(id.empty() ? *random : id), team, m_services.digest(*secret), false};
    m_runner.call(
        [key](DaemonCore &core, TimePoint now) { return core.issueKey(key, now); },
        [call, key, secret = *secret](const CallerAnswer &answer) {
            if (const auto *accepted = bodyOrRespondError<ConfigAccepted>(call, answer)) {
                const nlohmann::json body{{"id", key.id.value()}, {"team", key.team.value()}, {"secret", secret}, {"version", accepted->version.value()}};
                HttpResponse response = jsonResponse(201, dumpJson(body));
                response.headers.emplace_back("Cache-Control", "no-store");
                call->respond(response);
            }
        });
}

// ---------------------------------------------------------------- status

void ApiHandlers::handleStatus(const HttpCallPtr &call)
{
    if (!requireOperator(call)) {
        return;
    }
    const std::string &query = call->request().query;
    const std::string requestedTopic = queryValue(query, "topic");
    const std::string topic = requestedTopic.empty() ? "daemon" : requestedTopic;
    if (queryValue(query, "scope") != "fleet") {
        call->respond(jsonResponse(httpOk, m_runner.core().status(topic, m_runner.now())));
        return;
    }
    m_runner.call([topic](DaemonCore &core, TimePoint now) { return core.fleetStatus(topic, now); },
                  [call, topic](const CallerAnswer &answer) {
                      const auto *fleet = bodyOrRespondError<FleetStatus>(call, answer);
                      if (fleet == nullptr) {
                          return;
                      }
                      nlohmann::json parts = nlohmann::json::array();
                      for (const FleetStatus::Part &part : fleet->parts) {
                          parts.push_back({{"daemon", part.daemon.value()}, {"status", jsonOrNull(part.json)}});
                      }
                      nlohmann::json silent = nlohmann::json::array();
                      for (const DaemonId &daemon : fleet->silent) {
                          silent.push_back(daemon.value());
                      }
                      call->respond(jsonResponse(httpOk, dumpJson({{"topic", topic}, {"parts", std::move(parts)}, {"silent", std::move(silent)}})));
                  });
}

} // namespace KingCupLadder
