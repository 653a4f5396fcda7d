// The two tables that operators edit: routes (where each kind of work goes) and pools (what each group of VMs is for and who
// may use it). Parsed from YAML and checked whole.
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
    double share = 0.0; ///< Part of the work that must meet targetWait, between 0 and 1.
    Duration window{0}; ///< Span over which the share is counted.
};

struct Route {
    RouteName name;
    std::string path; ///< Prefix of request paths; empty for routes of jobs.
    WorkClass workClass = WorkClass::Batch;
    PoolName pool;
    Priority priority = Priority::Normal;
    PartitionPolicy partition = PartitionPolicy::Stay;
    bool open = false; ///< Needs no key.
    TeamId openTeam; ///< Charged for work of an open route; set exactly if open.
    bool idempotent = false; ///< Only for requests: may be sent again.
    bool startOnce = false; ///< Only for jobs.
    bool allAtOnce = false; ///< Only for jobs.
    Duration deadline{0}; ///< Only for requests: the longest a request may take.
    Resources demand; ///< Default demand of one request or task.
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
    std::vector<TeamId> teams; ///< Those who may use it.
};

struct Team {
    TeamId id;
    WorkspaceId workspace;
    double share = 1.0; ///< Weight when the cell is full; above 0.
    Resources limit; ///< Upper limit of what runs, fleet-wide.
};

/// One thing that is wrong with a table.
struct TableProblem {
    std::string document; ///< "routes" or "pools".
    int line = 0; ///< From 1; 0 if it concerns the whole document.
    std::string message;
    std::string remedy;

    [[nodiscard]] std::string text() const;
};

class Tables;

/// The tables, or everything that is wrong with them.
struct TablesParseResult {
    std::optional<Tables> tables() const;
    std::vector<TableProblem> problems; ///< Empty exactly if there are tables.

private:
    friend class Tables;
    std::vector<Tables> m_tables; ///< At most one.
};

/// A checked pair of tables. Every name that is used is defined.
class Tables
{
public:
    /// Largest accepted size of one document, in bytes.
    static constexpr std::size_t maxDocumentBytes = std::size_t{1024} * 1024;
    /// Most entries of each list of routes, pools or teams; bounds the time of the check.
    static constexpr std::size_t maxEntries = 2000;
    /// Deadline of a request route that states none.
    static constexpr Duration defaultDeadline{30000};
    /// Longest accepted deadline: a new shard owner counts the slots of an earlier epoch as busy for this span.
    static constexpr Duration longestDeadline{30000};

    /// Parses both documents and checks them whole.
    [[nodiscard]] static TablesParseResult parse(const std::string &routesYaml, const std::string &poolsYaml);

    [[nodiscard]] const std::vector<Route> &routes() const;
    [[nodiscard]] const std::vector<Pool> &pools() const;
    [[nodiscard]] const std::vector<Team> &teams() const;

    /// Null if there is none.
    [[nodiscard]] const Route *route(const RouteName &name) const;
    /// The route with the longest path that is a prefix of @p path at a segment boundary; null if there is none.
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
    // Positions in the lists above; the names, paths and groups are unique.
    std::unordered_map<RouteName, std::size_t> m_routeByName;
    std::unordered_map<std::string, std::size_t> m_routeByPath;
    std::unordered_map<PoolName, std::size_t> m_poolByName;
    std::unordered_map<std::string, std::size_t> m_poolByGroup;
    std::unordered_map<TeamId, std::size_t> m_teamById;
};

} // namespace KingCupLadder
