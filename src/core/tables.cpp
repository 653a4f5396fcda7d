// Assembly of validated tables, and lookups.
#include "tables.h"

#include "tabledraft.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

/// Bounds the memory that a malformed document can use; a longer list would not help an operator either.
constexpr std::size_t maxProblems = 500;

template<typename Map, typename List, typename Key>
auto findEntry(const Map &positions, const List &list, const Key &key) -> decltype(list.data())
{
    const auto found = positions.find(key);
    return found == positions.end() ? nullptr : &list[found->second];
}

void truncateProblems(std::vector<TableProblem> &problems)
{
    if (problems.size() <= maxProblems) {
        return;
    }
    const std::size_t omitted = problems.size() - maxProblems;
    problems.resize(maxProblems);
    problems.push_back(TableProblem{problems.back().document, 0, std::to_string(omitted) + " more problems", "correct the problems above and check again"});
}

/// Orders routes before pools, which is the reverse of alphabetical order, then by line.
bool precedes(const TableProblem &a, const TableProblem &b)
{
    return std::tie(b.document, a.line) < std::tie(a.document, b.line);
}

} // namespace

std::string TableProblem::text() const
{
    const std::string place = line > 0 ? document + ", line " + std::to_string(line) : document;
    return place + ": " + message + "; " + remedy;
}

std::optional<Tables> TablesParseResult::tables() const
{
    return m_tables.empty() ? std::nullopt : std::optional<Tables>(m_tables.front());
}

TablesParseResult Tables::parse(const std::string &routesYaml, const std::string &poolsYaml)
{
    TablesParseResult result;
    TableProblemCollector routeProblems("routes", result.problems);
    TableProblemCollector poolProblems("pools", result.problems);
    TablesDraft draft;
    const bool routesRead = readRoutes(routesYaml, draft, routeProblems);
    const bool poolsRead = readPools(poolsYaml, draft, poolProblems);
    if (routesRead && poolsRead) {
        checkDraft(draft, routeProblems, poolProblems); // With one document missing, every name it defines would be reported as undefined.
    }
    if (!result.problems.empty()) {
        std::stable_sort(result.problems.begin(), result.problems.end(), precedes);
        truncateProblems(result.problems);
        return result;
    }
    std::vector<Route> routes;
    std::vector<Pool> pools;
    std::vector<Team> teams;
    std::transform(draft.routes.begin(), draft.routes.end(), std::back_inserter(routes), [](const RouteDraft &d) { return d.route; });
    std::transform(draft.pools.begin(), draft.pools.end(), std::back_inserter(pools), [](const PoolDraft &d) { return d.pool; });
    std::transform(draft.teams.begin(), draft.teams.end(), std::back_inserter(teams), [](const TeamDraft &d) { return d.team; });
    result.m_tables.push_back(Tables(std::move(routes), std::move(pools), std::move(teams)));
    return result;
}

Tables::Tables(std::vector<Route> routes, std::vector<Pool> pools, std::vector<Team> teams)
    : m_routes(std::move(routes)), m_pools(std::move(pools)), m_teams(std::move(teams))
{
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        m_routeByName.emplace(m_routes[i].name, i);
        if (!m_routes[i].path.empty()) {
            m_routeByPath.emplace(m_routes[i].path, i);
        }
    }
    for (std::size_t i = 0; i < m_pools.size(); ++i) {
        m_poolByName.emplace(m_pools[i].name, i);
        m_poolByGroup.emplace(m_pools[i].vmGroup, i);
    }
    for (std::size_t i = 0; i < m_teams.size(); ++i) {
        m_teamById.emplace(m_teams[i].id, i);
    }
}

const std::vector<Route> &Tables::routes() const
{
    return m_routes;
}

const std::vector<Pool> &Tables::pools() const
{
    return m_pools;
}

const std::vector<Team> &Tables::teams() const
{
    return m_teams;
}

const Route *Tables::route(const RouteName &name) const
{
    return findEntry(m_routeByName, m_routes, name);
}

const Route *Tables::routeForPath(const std::string &path) const
{
    std::string prefix = path.substr(0, path.find_first_of("?#"));
    while (!prefix.empty()) {
        if (const Route *found = findEntry(m_routeByPath, m_routes, prefix)) {
            return found;
        }
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string::npos) {
            return nullptr;
        }
        prefix.resize(slash);
    }
    // The loop strips the leading slash with the first segment, so the route "/" is looked up here.
    return path.empty() || path[0] != '/' ? nullptr : findEntry(m_routeByPath, m_routes, std::string("/"));
}

const Pool *Tables::pool(const PoolName &name) const
{
    return findEntry(m_poolByName, m_pools, name);
}

const Pool *Tables::poolForGroup(const std::string &vmGroup) const
{
    return findEntry(m_poolByGroup, m_pools, vmGroup);
}

const Team *Tables::team(const TeamId &id) const
{
    return findEntry(m_teamById, m_teams, id);
}

bool Tables::mayUse(const TeamId &team, const PoolName &pool) const
{
    const Pool *found = this->pool(pool);
    return found != nullptr && std::find(found->teams.begin(), found->teams.end(), team) != found->teams.end();
}

} // namespace KingCupLadder
