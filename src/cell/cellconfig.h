// The operator's configuration of the cell: routes, upstreams, workspaces and their keys, with indexes for request handling.
#pragma once

#include "cellids.h"
#include "core/callerlimits.h"
#include "core/resources.h"
#include "core/units.h"
#include "routerules.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace KingCupLadder {

/// A job queue: the requests that are routed to it and how its jobs run.
struct CellRoute : RouteRules {
    RouteName name;
    std::string host;
    std::string pathPrefix;
    bool isPublic = false; ///< Requests need no API key.
};

/// A group of workers that runs the tasks of some routes.
struct CellUpstream {
    UpstreamName name;
    bool enforcesCapacity = false; ///< Workers reject tasks that exceed their free capacity.
    bool isHeadroom = false; ///< Its VMs are powered off and kept as spare capacity.
};

/// A tenant of the cell.
struct Workspace {
    WorkspaceId name;
    std::vector<std::string> keys;
    double weight = 1; ///< Rate of the workspace in jobs per second; jobs above it are served last, and refused while the cell is busy.
    Resources maximum; ///< Limit on the resources of concurrent runs; a component of zero is unlimited.
};

/// Routes, upstreams and workspaces of one configuration version.
class CellConfig
{
public:
    ConfigVersion version;
    std::vector<CellRoute> routes;
    std::vector<CellUpstream> upstreams;
    std::vector<Workspace> workspaces;
    CallerLimits callerLimits;

    /// Builds the indexes. Must be called after the lists have been filled.
    void buildIndexes();

    /// Returns the route of @p host with the longest matching prefix of @p path, or null. A port in @p host is ignored.
    [[nodiscard]] const CellRoute *findRoute(const std::string &host, const std::string &path) const;
    [[nodiscard]] const CellRoute *route(const RouteName &name) const;
    [[nodiscard]] const Workspace *workspaceOfKey(const std::string &key) const;
    [[nodiscard]] const Workspace *workspace(const WorkspaceId &name) const;
    [[nodiscard]] const CellUpstream *upstream(const UpstreamName &name) const;

private:
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< Longest path prefix first.
    std::unordered_map<RouteName, std::size_t> m_routesByName;
    std::unordered_map<std::string, std::size_t> m_workspacesByKey;
    std::unordered_map<WorkspaceId, std::size_t> m_workspacesByName;
    std::unordered_map<UpstreamName, std::size_t> m_upstreamsByName;
};

} // namespace KingCupLadder
