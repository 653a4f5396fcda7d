// The operator's configuration as the cell uses it: routes, upstreams, workspaces and their keys, with the lookups of the
// request path.
#pragma once

#include "cellids.h"
#include "core/resources.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

/// A policy service decides which workers may run a step of the route.
struct AdviceSettings {
    double decisionMs = 0; ///< Duration of one call, without its workers.
    double perWorkerMs = 0; ///< Added for each worker that the call names.
    Duration validity{0}; ///< Of a ticket.

    [[nodiscard]] Duration callDuration(std::size_t workers) const
    {
        return Duration(static_cast<std::int64_t>(decisionMs + perWorkerMs * static_cast<double>(workers)) + 1);
    }
};

/// A queue of jobs: which requests reach it and how its jobs run.
struct CellRoute {
    RouteName name;
    std::string host;
    std::string pathPrefix;
    UpstreamName upstream;
    int priority = 0; ///< 0 comes first.
    int attempts = 1; ///< Failed runs of one task after which its job has failed.
    double stretch = 1; ///< Objective: stretch times the longest chain, plus targetLatency.
    Duration targetLatency{0};
    bool isPublic = false; ///< Needs no key.
    std::optional<AdviceSettings> advice;
};

struct CellUpstream {
    UpstreamName name;
    bool enforcesCapacity = false; ///< Workers refuse what does not fit.
    bool isHeadroom = false; ///< Its VMs are switched off.
};

/// A customer of the operator.
struct Workspace {
    WorkspaceId name;
    std::vector<std::string> keys;
    double weight = 1; ///< Share while the cell is full; jobs a second that are owed service.
    Resources maximum; ///< Of what runs at one time; zero components are not limited.
};

class CellConfig
{
public:
    ConfigVersion version;
    std::vector<CellRoute> routes;
    std::vector<CellUpstream> upstreams;
    std::vector<Workspace> workspaces;

    /// Builds the lookups; to be called once after the lists are filled.
    void index();

    /// The route of the host with the longest prefix of @p path; the port in @p host is ignored.
    [[nodiscard]] const CellRoute *findRoute(const std::string &host, const std::string &path) const;
    [[nodiscard]] const CellRoute *route(const RouteName &name) const;
    [[nodiscard]] const Workspace *workspaceOfKey(const std::string &key) const;
    [[nodiscard]] const Workspace *workspace(const WorkspaceId &name) const;
    [[nodiscard]] const CellUpstream *upstream(const UpstreamName &name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< Longest prefix first.
    std::unordered_map<RouteName, std::size_t> m_routesByName;
    std::unordered_map<std::string, std::size_t> m_workspacesByKey;
    std::unordered_map<WorkspaceId, std::size_t> m_workspacesByName;
    std::unordered_map<UpstreamName, std::size_t> m_upstreamsByName;
};

} // namespace KingCupLadder
