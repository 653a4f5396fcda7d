// Decides which pooled connections may be used. An open connection can stop responding for good while new connections to the same
// upstream work. A timeout on one therefore marks its siblings, the other connections to the same upstream, as suspect until a probe
// or response succeeds.
#pragma once

#include "ids.h"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace KingCupLadder {

using ConnectionId = Counter<struct ConnectionIdTag>; ///< Never reused within a daemon.

enum class ConnectionAction {
    Use,
    ProbeFirst, ///< Probe the connection and report probeAnswered() or timedOut() before sending a request.
    Close, ///< Timed out or unknown; must not be used any more.
};

class ConnectionHealth
{
public:
    /// Adds a connection to the upstream ("ip:port"). It is usable at once, even while its siblings are suspect.
    void opened(ConnectionId connection, const std::string &upstream);
    /// Removes a closed connection.
    void closed(ConnectionId connection);
    /// A complete response arrived in time; the connection is no longer suspect.
    void answered(ConnectionId connection);
    /// A probe was sent; connectionsToProbe() does not return the connection until the probe has ended.
    void probeStarted(ConnectionId connection);
    void probeAnswered(ConnectionId connection);
    /// A request or probe got no response in time. The connection is never used again and its siblings become suspect.
    void timedOut(ConnectionId connection);

    [[nodiscard]] ConnectionAction actionFor(ConnectionId connection) const;
    /// The suspect connections of the upstream that are not being probed, ordered by id.
    [[nodiscard]] std::vector<ConnectionId> connectionsToProbe(const std::string &upstream) const;

private:
    enum class State {
        Healthy,
        Suspect,
        Probing,
        TimedOut, ///< Final, so that a late response can't make the connection usable again.
    };
    struct Entry {
        std::string upstream;
        State state = State::Healthy;
    };
    void markHealthy(ConnectionId connection);

    std::unordered_map<ConnectionId, Entry> m_connections;
    std::unordered_map<std::string, std::unordered_set<ConnectionId>> m_connectionsByUpstream;
};

} // namespace KingCupLadder
