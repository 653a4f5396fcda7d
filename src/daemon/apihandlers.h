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
    std::function<std::string(const std::string &text)> digest; ///< SHA-256 in hexadecimal.
    std::function<std::optional<std::string>(std::size_t bytes)> randomHex; ///< From the system's random source; empty if it fails.
    std::function<std::optional<Route>(const RouteName &name)> route;
    std::function<std::optional<Team>(const TeamId &id)> team;
    std::function<bool(const TeamId &team, const PoolName &pool)> mayUse;
    std::function<std::vector<TableProblem>(const std::string &routes, const std::string &pools)> checkTables;
    std::function<bool()> ready; ///< Readiness of the process; the core reports its own.
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
        TeamId team;
        WorkspaceId workspace;
    };

    bool handleHealth(const HttpCallPtr &call);
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
    [[nodiscard]] Result<Caller> identify(const HttpRequest &request) const;
    [[nodiscard]] Result<Caller> identifyFor(const HttpRequest &request, const Route &route) const;
    [[nodiscard]] Result<JobSpec> readSpec(const HttpRequest &request) const;
    /// Returns the id under which a job is stored. A team may omit its own prefix, as in the submission of the job.
    [[nodiscard]] static JobId fullJobId(const std::string &given, const Caller &caller);
    [[nodiscard]] Result<JobId> jobIdFor(const HttpRequest &request, const std::string &given, const TeamId &team) const;

    CoreRunner &m_runner;
    ApiSettings m_settings;
    ApiServices m_services;
};

} // namespace KingCupLadder
