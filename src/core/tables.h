// The two tables that operators edit: routes (which pool runs each kind of work) and pools (the VM group of each pool and the
// teams that may use it). Parsed from YAML and validated as a whole.
#pragma once

#include "ids.h"
#include "job.h"
#include "resources.h"
#include "units.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

/// A service-level objective of a route.
struct Objective {
    Duration targetWait{0};
    double share = 0.0; ///< Fraction of the work that must meet targetWait, between 0 and 1.
    Duration window{0}; ///< The time over which the share is computed.
};

struct Route {
    RouteName name;
    std::string path; ///< Prefix of request paths; empty for job routes.
    WorkClass workClass = WorkClass::Batch;
    PoolName pool;
    Priority priority = Priority::Normal;
    PartitionPolicy partition = PartitionPolicy::Stay;
    bool open = false; ///< Requests need no key.
    TeamId openTeam; ///< The team charged for work of an open route; empty for other routes.
    bool idempotent = false; ///< Only for requests: a request may be retried.
    bool startOnce = false; ///< Only for jobs: see JobSpec::startOnce.
    bool allAtOnce = false; ///< Only for jobs: see JobSpec::allAtOnce.
    Duration deadline{0}; ///< Only for requests: the maximum duration of a request.
    Resources demand; ///< The default demand of one request or task.
    std::optional<Objective> objective;
};

enum class PowerSource {
    Grid,
    Generator,
};

struct Pool {
    PoolName name;
    std::string vmGroup;
    PowerSource power = PowerSource::Grid;
    std::vector<TeamId> teams; ///< The teams that may use the pool.
};

struct Team {
    TeamId id;
    WorkspaceId workspace;
    double share = 1.0; ///< Fair-share weight when resources are scarce; above 0.
    Resources limit; ///< Upper limit of the resources in use, fleet-wide.
};

/// One problem of a table document.
struct TableProblem {
    std::string document; ///< "routes" or "pools".
    int line = 0; ///< Counted from 1; 0 if the problem concerns the whole document.
    std::string message;
    std::string remedy;

    [[nodiscard]] std::string text() const;
};

class Tables;

/// The result of Tables::parse(): the tables, or all problems.
struct TablesParseResult {
    std::optional<Tables> tables() const;
    std::vector<TableProblem> problems; ///< Empty if and only if there are tables.

private:
    friend class Tables;
    std::vector<Tables> m_tables; ///< Contains at most one element. Tables is incomplete here, which std::vector allows and std::optional does not.
};

/// A validated pair of tables. Every name that is referenced is defined.
class Tables
{
public:
    /// The maximum size of one document.
    static constexpr std::size_t maxDocumentBytes = std::size_t{1024} * 1024;
    /// The maximum number of routes, pools or teams each; bounds the validation time.
    static constexpr std::size_t maxEntries = 2000;
    /// The deadline of a request route that does not set one.
    static constexpr Duration defaultDeadline{30000};
    /// The maximum deadline. A new shard owner counts the slots granted in earlier epochs as busy for this long.
    static constexpr Duration maxDeadline{30000};

    /// Parses and validates both documents.
    [[nodiscard]] static TablesParseResult parse(const std::string &routesYaml, const std::string &poolsYaml);

    [[nodiscard]] const std::vector<Route> &routes() const;
    [[nodiscard]] const std::vector<Pool> &pools() const;
    [[nodiscard]] const std::vector<Team> &teams() const;

    /// Returns null if the route does not exist.
    [[nodiscard]] const Route *route(const RouteName &name) const;
    /// Returns the route with the longest path that is a prefix of @p path at a segment boundary, or null if there is none.
    [[nodiscard]] const Route *routeForPath(const std::string &path) const;
    [[nodiscard]] const Pool *pool(const PoolName &name) const;
    [[nodiscard]] const Pool *poolForGroup(const std::string &vmGroup) const;
    [[nodiscard]] const Team *team(const TeamId &id) const;
    [[nodiscard]] bool mayUse(const TeamId &team, const PoolName &pool) const;

private:
    Tables(std::vector<Route> routes, std::vector<Pool> pools, std::vector<Team> teams);

    std::vector<Route> m_routes;
    std::vector<Pool> m_pools;
    std::vector<Team> m_teams;
    // Indexes into the lists above. Names, paths and VM groups are unique.
    std::unordered_map<RouteName, std::size_t> m_routeByName;
    std::unordered_map<std::string, std::size_t> m_routeByPath;
    std::unordered_map<PoolName, std::size_t> m_poolByName;
    std::unordered_map<std::string, std::size_t> m_poolByGroup;
    std::unordered_map<TeamId, std::size_t> m_teamById;
};

} // namespace KingCupLadder
