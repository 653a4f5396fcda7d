// Validation that spans several entries of the tables.
#include "tabledraft.h"

#include <set>
#include <unordered_map>

namespace KingCupLadder {

namespace {

/// Reports duplicate values of one kind. Skips empty values, which the parser has already reported as absent or malformed.
class DuplicateCheck
{
public:
    DuplicateCheck(std::string kind, TableProblemCollector &problems) : m_kind(std::move(kind)), m_problems(problems) { }

    void add(const std::string &text, int line)
    {
        const auto [first, added] = m_lines.emplace(text, line);
        if (!text.empty() && !added) {
            m_problems.add(line, m_kind + " " + quoted(text) + " is already used at line " + std::to_string(first->second), "change or remove one of them");
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
        DuplicateCheck teams("team name", m_poolProblems);
        DuplicateCheck pools("pool name", m_poolProblems);
        DuplicateCheck groups("VM group", m_poolProblems);
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
        DuplicateCheck names("route name", m_routeProblems);
        DuplicateCheck paths("path", m_routeProblems);
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
            std::set<TeamId> listedTeams;
            for (std::size_t i = 0; i < pool.pool.teams.size(); ++i) {
                const TeamId &team = pool.pool.teams[i];
                const std::string subject = "pool " + quoted(pool.pool.name.value()) + " lists team " + quoted(team.value());
                if (!listedTeams.insert(team).second) {
                    m_poolProblems.add(pool.teamLines[i], subject + " twice", "remove one of them");
                } else if (m_teams.count(team) == 0) {
                    m_poolProblems.add(pool.teamLines[i], subject + ", which is not defined", "correct the name or add the team under \"teams:\"");
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
                const std::string subject = "team " + quoted(team.team.id.value()) + " is not listed in any pool";
                m_poolProblems.add(team.line, subject, "add it to the teams of a pool, or remove it");
            }
        }
    }

    void checkRoute(const RouteDraft &draft)
    {
        const Route &route = draft.route;
        const std::string subject = "route " + quoted(route.name.value());
        if (route.open && m_teams.count(route.openTeam) == 0) {
            const std::string message = subject + " is open for team " + quoted(route.openTeam.value()) + ", which is not defined";
            m_routeProblems.add(draft.lines.at("open"), message, "correct the name or add the team to the pools document");
        }
        if (route.pool.isEmpty()) {
            return;
        }
        const auto found = m_pools.find(route.pool);
        if (found == m_pools.end()) {
            const std::string message = subject + " names pool " + quoted(route.pool.value()) + ", which is not defined";
            m_routeProblems.add(draft.lines.at("pool"), message, "correct the name or add the pool to the pools document");
            return;
        }
        checkRouteTeams(draft, found->second->pool, subject);
    }

    void checkRouteTeams(const RouteDraft &draft, const Pool &pool, const std::string &subject)
    {
        if (pool.teams.empty()) {
            m_routeProblems.add(
                draft.lines.at("pool"), subject + " uses pool " + quoted(pool.name.value()) + ", which no team may use", "add a team to the pool");
            return;
        }
        const bool listed = std::find(pool.teams.begin(), pool.teams.end(), draft.route.openTeam) != pool.teams.end();
        if (draft.route.open && m_teams.count(draft.route.openTeam) > 0 && !listed) {
            const std::string message =
                subject + " is open for team " + quoted(draft.route.openTeam.value()) + ", which may not use pool " + quoted(pool.name.value());
            m_routeProblems.add(draft.lines.at("open"), message, "add the team to the pool, or choose another team");
        }
    }

    /// The limit of every team that is charged for a route must be at least the route's default demand.
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
        // An absent, invalid or zero limit was already reported by the parser.
        if (team.team.limit.isZero() || draft.route.demand.fitsIn(team.team.limit) || !m_reportedLimits.insert({team.team.id, draft.route.name}).second) {
            return;
        }
        const std::string message =
            "limit of team " + quoted(team.team.id.value()) + " is smaller than the demand of route " + quoted(draft.route.name.value());
        m_poolProblems.add(
            team.limitLine, message, "raise the limit, lower the route's demand, or take the team out of pool " + quoted(draft.route.pool.value()));
    }

    const TablesDraft &m_draft;
    TableProblemCollector &m_routeProblems;
    TableProblemCollector &m_poolProblems;
    std::unordered_map<TeamId, const TeamDraft *> m_teams;
    std::unordered_map<PoolName, const PoolDraft *> m_pools;
    /// The pairs reported so far. Each is reported once, although a team may be listed twice in a pool or a route name used twice.
    std::set<std::pair<TeamId, RouteName>> m_reportedLimits;
};

} // namespace

void checkDraft(const TablesDraft &draft, TableProblemCollector &routeProblems, TableProblemCollector &poolProblems)
{
    DraftCheck(draft, routeProblems, poolProblems).run();
}

} // namespace KingCupLadder
