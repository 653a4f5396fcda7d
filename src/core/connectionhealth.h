// Which pooled connections may be used. An open connection can go silent for good while new ones to the same upstream work, so
// one silent connection makes its siblings suspect until a probe or an answer clears them.
#pragma once

#include "ids.h"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace KingCupLadder {

using ConnectionId = Counter<struct ConnectionIdTag>; ///< Never reused within a daemon.

enum class ConnectionVerdict {
    Use,
    ProbeFirst, ///< Send a probe and report probeAnswered() or timedOut() before any request.
    Close, ///< Timed out or unknown; must never carry a request.
};

class ConnectionHealth
{
public:
    /// A connection to the upstream ("ip:port") is open. It is usable at once, also while siblings are suspect.
    void opened(ConnectionId connection, const std::string &upstream);
    /// The connection is gone; forgets it.
    void closed(ConnectionId connection);
    /// A complete answer arrived in time: the connection is not suspect any more.
    void answered(ConnectionId connection);
    /// A probe is under way; the connection is not handed out for a second one.
    void probeStarted(ConnectionId connection);
    void probeAnswered(ConnectionId connection);
    /// A request or probe got no answer in time. The connection is lost for good and its siblings become suspect.
    void timedOut(ConnectionId connection);

    [[nodiscard]] ConnectionVerdict verdict(ConnectionId connection) const;
    /// Connections of the upstream that have to be probed and have no probe under way, in order of their ids.
    [[nodiscard]] std::vector<ConnectionId> connectionsToProbe(const std::string &upstream) const;

private:
    enum class State {
        Good,
        Suspect,
        Probing,
        Lost, ///< Never left, so that a late answer can't bring the connection back.
    };
    struct Entry {
        std::string upstream;
        State state = State::Good;
    };
    void clear(ConnectionId connection);

    std::unordered_map<ConnectionId, Entry> m_connections;
    std::unordered_map<std::string, std::unordered_set<ConnectionId>> m_pools; ///< The keys of m_connections by upstream.
};

} // namespace KingCupLadder
