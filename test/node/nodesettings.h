// Settings of a daemon in tests, which listens on ports of the loopback address.
#pragma once

#include "node/node.h"

#include <string>

namespace KingCupLadder {

/// Returns the settings of a daemon that uses three ports from @p firstPort on: for peers, callers and the readiness probe.
inline NodeSettings nodeSettingsAt(const std::string &id, int firstPort)
{
    const auto address = [firstPort](int offset) { return "127.0.0.1:" + std::to_string(firstPort + offset); };
    NodeSettings settings;
    settings.self.id = DaemonId(id);
    settings.self.incarnation = Incarnation(1);
    settings.self.domain = FailureDomain("a");
    settings.self.cpu = MilliCores(500);
    settings.self.peerAddress = address(0);
    settings.callerAddress = address(1);
    settings.readyAddress = address(2);
    return settings;
}

} // namespace KingCupLadder
