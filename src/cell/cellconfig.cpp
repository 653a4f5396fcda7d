// Lookups in the operator's configuration.
#include "cellconfig.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

template<typename Key, typename Item>
const Item *find(const std::unordered_map<Key, std::size_t> &index, const std::vector<Item> &items, const Key &key)
{
    const auto found = index.find(key);
    return found == index.end() ? nullptr : &items[found->second];
}

} // namespace

void CellConfig::buildIndexes()
{
    m_routesByHost.clear();
    m_routesByName.clear();
    m_workspacesByKey.clear();
    m_workspacesByName.clear();
    m_upstreamsByName.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_routesByHost[routes[i].host].push_back(i);
        m_routesByName.emplace(routes[i].name, i);
    }
    for (auto &[host, indices] : m_routesByHost) {
        std::stable_sort(
            indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) { return routes[a].pathPrefix.size() > routes[b].pathPrefix.size(); });
    }
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
        m_workspacesByName.emplace(workspaces[i].name, i);
        for (const std::string &key : workspaces[i].keys) {
            m_workspacesByKey.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        m_upstreamsByName.emplace(upstreams[i].name, i);
    }
}

const CellRoute *CellConfig::findRoute(const std::string &host, const std::string &path) const
{
    const auto found = m_routesByHost.find(host.substr(0, host.find(':')));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t i : found->second) {
        const std::string &prefix = routes[i].pathPrefix;
        if (path.compare(0, prefix.size(), prefix) == 0) {
            return &routes[i];
        }
    }
    return nullptr;
}

const CellRoute *CellConfig::route(const RouteName &name) const
{
    return find(m_routesByName, routes, name);
}

const Workspace *CellConfig::workspaceOfKey(const std::string &key) const
{
    return find(m_workspacesByKey, workspaces, key);
}

const Workspace *CellConfig::workspace(const WorkspaceId &name) const
{
    return find(m_workspacesByName, workspaces, name);
}

const CellUpstream *CellConfig::upstream(const UpstreamName &name) const
{
    return find(m_upstreamsByName, upstreams, name);
}

} // namespace KingCupLadder
