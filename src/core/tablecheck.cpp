// Checks across the entries of both tables.
#include "tabledraft.h"

#include <set>
#include <unordered_map>

namespace KingCupLadder {

namespace {

/// Finds repeated texts of one kind; empty ones have been reported already.
class UniqueTexts
{
public:
    UniqueTexts(std::string kind, TableProblemCollector &problems) : m_kind(std::move(kind)), m_problems(problems) { }

    void add(const std::string &text, int line)
    {
        const auto [first, added] = m_lines.emplace(text, line);
        if (!text.empty() && !added) {
            m_problems.add(line, m_kind + " " + quoted(text) + " is used before, at line " + std::to_string(first->second), "change or remove one of them");
        }
    }

private:
    std::string m_kind;
    TableProblemCollector &m_problems;
    std::unordered_map<std::string, int> m_lines;
};

class DraftCheck
{
public:
    DraftCheck(const TablesDraft &draft, TableProblemCollector &routeProblems, TableProblemCollector &poolProblems)
        : m_draft(draft), m_routeProblems(routeProblems), m_poolProblems(poolProblems)
    {
        for (const TeamDraft &team : draft.teams) {
            m_teams.emplace(team.team.id, &team);
        }
        for (const PoolDraft &pool : draft.pools) {
            m_pools.emplace(pool.pool.name, &pool);
        }
    }

    void run()
    {
        checkUniqueInPools();
        checkUniqueInRoutes();
        checkPoolTeams();
        checkUnusedTeams();
        for (const RouteDraft &route : m_draft.routes) {
            checkRoute(route);
        }
        checkLimits();
    }

private:
    void checkUniqueInPools()
    {
        UniqueTexts teams("team name", m_poolProblems);
        UniqueTexts pools("pool name", m_poolProblems);
        UniqueTexts groups("VM group", m_poolProblems);
        for (const TeamDraft &team : m_draft.teams) {
            teams.add(team.team.id.value(), team.line);
        }
        for (const PoolDraft &pool : m_draft.pools) {
            pools.add(pool.pool.name.value(), pool.line);
            groups.add(pool.pool.vmGroup, pool.vmsLine);
        }
    }

    void checkUniqueInRoutes()
    {
        UniqueTexts names("route name", m_routeProblems);
        UniqueTexts paths("path", m_routeProblems);
        for (const RouteDraft &route : m_draft.routes) {
            names.add(route.route.name.value(), route.line);
            if (!route.route.path.empty()) {
                paths.add(route.route.path, route.lines.at("path"));
            }
        }
    }

    void checkPoolTeams()
    {
        for (const PoolDraft &pool : m_draft.pools) {
            std::set<TeamId> seen;
            for (std::size_t i = 0; i < pool.pool.teams.size(); ++i) {
                const TeamId &team = pool.pool.teams[i];
                const std::string what = "pool " + quoted(pool.pool.name.value()) + " names team " + quoted(team.value());
                if (!seen.insert(team).second) {
                    m_poolProblems.add(pool.teamLines[i], what + " twice", "remove one of them");
                } else if (m_teams.count(team) == 0) {
                    m_poolProblems.add(pool.teamLines[i], what + ", which is not defined", "correct the name or add the team under \"teams:\"");
                }
            }
        }
    }

    void checkUnusedTeams()
    {
        std::set<TeamId> used;
        for (const PoolDraft &pool : m_draft.pools) {
            used.insert(pool.pool.teams.begin(), pool.pool.teams.end());
        }
        for (const TeamDraft &team : m_draft.teams) {
            if (!team.team.id.isEmpty() && used.count(team.team.id) == 0) {
                const std::string what = "team " + quoted(team.team.id.value()) + " has a share but no pool names it";
                m_poolProblems.add(team.line, what, "add it to the teams of a pool, or remove it");
            }
        }
    }

    void checkRoute(const RouteDraft &draft)
    {
        const Route &route = draft.route;
        const std::string what = "route " + quoted(route.name.value());
        if (route.open && m_teams.count(route.openTeam) == 0) {
            const std::string message = what + " is open for team " + quoted(route.openTeam.value()) + ", which is not defined";
            m_routeProblems.add(draft.lines.at("open"), message, "correct the name or add the team to the pools document");
        }
        if (route.pool.isEmpty()) {
            return;
        }
        const auto found = m_pools.find(route.pool);
        if (found == m_pools.end()) {
            const std::string message = what + " names pool " + quoted(route.pool.value()) + ", which is not defined";
            m_routeProblems.add(draft.lines.at("pool"), message, "correct the name or add the pool to the pools document");
            return;
        }
        checkRouteTeams(draft, found->second->pool, what);
    }

    void checkRouteTeams(const RouteDraft &draft, const Pool &pool, const std::string &what)
    {
        if (pool.teams.empty()) {
            m_routeProblems.add(
                draft.lines.at("pool"), what + " goes to pool " + quoted(pool.name.value()) + ", which no team may use", "add a team to the pool");
            return;
        }
        const bool listed = std::find(pool.teams.begin(), pool.teams.end(), draft.route.openTeam) != pool.teams.end();
        if (draft.route.open && m_teams.count(draft.route.openTeam) > 0 && !listed) {
            const std::string message =
                what + " is open for team " + quoted(draft.route.openTeam.value()) + ", which may not use pool " + quoted(pool.name.value());
            m_routeProblems.add(draft.lines.at("open"), message, "add the team to the pool, or choose another team");
        }
    }

    /// Every team that may send work by a route must be able to run one unit of it.
    void checkLimits()
    {
        for (const RouteDraft &draft : m_draft.routes) {
            const auto pool = m_pools.find(draft.route.pool);
            if (pool == m_pools.end()) {
                continue;
            }
            for (const TeamId &id : pool->second->pool.teams) {
                const auto team = m_teams.find(id);
                const bool charged = !draft.route.open || id == draft.route.openTeam;
                if (charged && team != m_teams.end()) {
                    checkLimit(draft, *team->second);
                }
            }
        }
    }

    void checkLimit(const RouteDraft &draft, const TeamDraft &team)
    {
        if (team.team.limit.isZero() || draft.route.demand.fitsIn(team.team.limit) || !m_tooSmall.insert({team.team.id, draft.route.name}).second) {
            return;
        }
        const std::string message = "limit of team " + quoted(team.team.id.value()) + " can't hold one unit of route " + quoted(draft.route.name.value());
        m_poolProblems.add(
            team.limitLine, message, "raise the limit, lower the route's demand, or take the team out of pool " + quoted(draft.route.pool.value()));
    }

    const TablesDraft &m_draft;
    TableProblemCollector &m_routeProblems;
    TableProblemCollector &m_poolProblems;
    std::unordered_map<TeamId, const TeamDraft *> m_teams;
    std::unordered_map<PoolName, const PoolDraft *> m_pools;
    std::set<std::pair<TeamId, RouteName>> m_tooSmall; ///< Reported already.
};

} // namespace

void checkDraft(const TablesDraft &draft, TableProblemCollector &routeProblems, TableProblemCollector &poolProblems)
{
    DraftCheck(draft, routeProblems, poolProblems).run();
}

} // namespace KingCupLadder
