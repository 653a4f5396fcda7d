// HTTP API for operators and job submitters: jobs, tables, keys, status, SLOs, metrics and health checks.
#pragma once

#include "corerunner.h"
#include "httptypes.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

struct ApiSettings {
    DaemonId daemon;
    std::string operatorKeyDigest; ///< SHA-256, 64 lower-case hexadecimal digits.
};

/// Dependencies of the handlers other than the core. The tables are accessed through callbacks, so that tests need no YAML.
struct ApiServices {
    std::function<std::string(const std::string &text)> digest; ///< SHA-256 in hexadecimal; applied to keys.
    std::function<std::optional<std::string>(std::size_t bytes)> randomHex; ///< From the system's random source; empty if it fails.
    std::function<std::optional<Route>(const RouteName &name)> route;
    std::function<std::optional<Team>(const TeamId &id)> team;
    std::function<bool(const TeamId &team, const PoolName &pool)> mayUse;
    std::function<std::vector<TableProblem>(const std::string &routes, const std::string &pools)> checkTables;
    std::function<bool()> ready; ///< False during a shutdown. The readiness of the core is queried separately.
    std::function<std::string()> metricsText;
    std::function<std::string()> sloJson;
    std::function<void(const RouteName &route, const TeamId &team, ErrorKind error, Duration total)> reportJobSubmission;
};

class ApiHandlers
{
public:
    ApiHandlers(CoreRunner &runner, ApiSettings settings, ApiServices services);

    /// Returns false, without touching the call, if the path does not belong to the API.
    [[nodiscard]] bool handle(const HttpCallPtr &call);

private:
    /// The authenticated caller: an operator or a member of a team.
    struct Caller {
        bool isOperator = false;
        TeamId team; ///< Empty for an operator; the core then applies a list or a cancellation to the jobs of all teams.
        WorkspaceId workspace;
    };

    bool handleMonitoring(const HttpCallPtr &call);
    void handleJobs(const HttpCallPtr &call, const std::string &id);
    void handleTables(const HttpCallPtr &call);
    void handleKeys(const HttpCallPtr &call, const std::string &id);
    void handleStatus(const HttpCallPtr &call);
    void submitJob(const HttpCallPtr &call);
    void listJobs(const HttpCallPtr &call, const Caller &caller);
    void readJob(const HttpCallPtr &call, const Caller &caller, const JobId &id);
    void cancelJob(const HttpCallPtr &call, const Caller &caller, const JobId &id);
    void putTables(const HttpCallPtr &call);
    void addKey(const HttpCallPtr &call);
    void listKeys(const HttpCallPtr &call);

    [[nodiscard]] bool isOperator(const HttpRequest &request) const;
    /// Responds with an error and returns false if the request lacks the operator key.
    [[nodiscard]] bool requireOperator(const HttpCallPtr &call) const;
    /// Authenticates the caller by the key in the Authorization header.
    [[nodiscard]] Result<Caller> identify(const HttpRequest &request) const;
    /// Returns the team that submits a job to the route: the team of an open route, or the authenticated team if it may use the pool.
    [[nodiscard]] Result<Caller> identifySubmitter(const HttpRequest &request, const Route &route) const;
    /// Returns the complete job of a POST /v1/jobs request, with the team of its caller and the defaults of its route.
    [[nodiscard]] Result<JobSpec> parseSubmission(const HttpRequest &request) const;
    /// Returns the id under which a job is stored, "<team>:<id>". Teams may omit the prefix, as they do when they submit the job.
    [[nodiscard]] static JobId storedJobId(const std::string &given, const Caller &caller);
    /// Returns the id of a submitted job: the team's name with the Idempotency-Key header, else with the id in the body, else with a
    /// random id.
    [[nodiscard]] Result<JobId> jobIdFor(const HttpRequest &request, const std::string &given, const TeamId &team) const;

    CoreRunner &m_runner;
    ApiSettings m_settings;
    ApiServices m_services;
};

} // namespace KingCupLadder
