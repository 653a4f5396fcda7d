// State transitions of pooled connections.
#include "connectionhealth.h"

#include <algorithm>

namespace KingCupLadder {

void ConnectionHealth::opened(ConnectionId connection, const std::string &upstream)
{
    if (m_connections.emplace(connection, Entry{upstream, State::Healthy}).second) {
        m_connectionsByUpstream[upstream].insert(connection);
    }
}

void ConnectionHealth::closed(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    const auto connections = m_connectionsByUpstream.find(found->second.upstream);
    connections->second.erase(connection);
    if (connections->second.empty()) {
        m_connectionsByUpstream.erase(connections);
    }
    m_connections.erase(found);
}

void ConnectionHealth::markHealthy(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end() && found->second.state != State::TimedOut) {
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
    found->second.state = State::TimedOut;
    for (ConnectionId sibling : m_connectionsByUpstream.at(found->second.upstream)) {
        State &state = m_connections.at(sibling).state;
        if (state == State::Healthy) {
            state = State::Suspect;
        }
    }
}

ConnectionAction ConnectionHealth::actionFor(ConnectionId connection) const
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.state == State::TimedOut) {
        return ConnectionAction::Close;
    }
    return found->second.state == State::Healthy ? ConnectionAction::Use : ConnectionAction::ProbeFirst;
}

std::vector<ConnectionId> ConnectionHealth::connectionsToProbe(const std::string &upstream) const
{
    std::vector<ConnectionId> suspects;
    const auto connections = m_connectionsByUpstream.find(upstream);
    if (connections == m_connectionsByUpstream.end()) {
        return suspects;
    }
    std::copy_if(connections->second.begin(), connections->second.end(), std::back_inserter(suspects), [this](ConnectionId id) {
        return m_connections.at(id).state == State::Suspect;
    });
    std::sort(suspects.begin(), suspects.end());
    return suspects;
}

} // namespace KingCupLadder
