// State transitions of pooled connections.
#include "connectionhealth.h"

#include <algorithm>

namespace KingCupLadder {

void ConnectionHealth::opened(ConnectionId connection, const std::string &upstream)
{
    if (m_connections.emplace(connection, Entry{upstream, State::Healthy}).second) {
        m_pools[upstream].insert(connection);
    }
}

void ConnectionHealth::closed(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    const auto pool = m_pools.find(found->second.upstream);
    pool->second.erase(connection);
    if (pool->second.empty()) {
        m_pools.erase(pool);
    }
    m_connections.erase(found);
}

void ConnectionHealth::markHealthy(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end() && found->second.state != State::Lost) {
        found->second.state = State::Healthy;
    }
}

void ConnectionHealth::answered(ConnectionId connection)
{
    markHealthy(connection);
}

void ConnectionHealth::probeStarted(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end() && found->second.state == State::Suspect) {
        found->second.state = State::Probing;
    }
}

void ConnectionHealth::probeAnswered(ConnectionId connection)
{
    markHealthy(connection);
}

void ConnectionHealth::timedOut(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    found->second.state = State::Lost;
    for (ConnectionId sibling : m_pools.at(found->second.upstream)) {
        State &state = m_connections.at(sibling).state;
        if (state == State::Healthy) {
            state = State::Suspect;
        }
    }
}

ConnectionAction ConnectionHealth::actionFor(ConnectionId connection) const
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.state == State::Lost) {
        return ConnectionAction::Close;
    }
    return found->second.state == State::Healthy ? ConnectionAction::Use : ConnectionAction::ProbeFirst;
}

std::vector<ConnectionId> ConnectionHealth::connectionsToProbe(const std::string &upstream) const
{
    std::vector<ConnectionId> found;
    const auto pool = m_pools.find(upstream);
    if (pool == m_pools.end()) {
        return found;
    }
    std::copy_if(
        pool->second.begin(), pool->second.end(), std::back_inserter(found), [this](ConnectionId id) { return m_connections.at(id).state == State::Suspect; });
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace KingCupLadder
