// Numbers for GET /metrics in Prometheus text: waiting time by route and team, refusals by reason, and the control cost.
#pragma once

#include "core/daemoncore.h"
#include "requestfilters.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace KingCupLadder {

/// What the daemon itself consumes.
struct ControlPlaneUsage {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t storeOperations = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t peerMessagesDropped = 0;
    std::uint64_t workerSyncs = 0;
    std::uint64_t activeRequests = 0;
};

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void onRequest(const RequestReport &report);
    /// A job submission that was answered.
    void onJob(const RouteName &route, const TeamId &team, ErrorKind error, Duration total);
    [[nodiscard]] std::string text(const std::vector<Metric> &core, const ControlPlaneUsage &usage) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// A label value with the characters escaped that Prometheus reserves.
[[nodiscard]] std::string metricLabel(const std::string &value);

} // namespace KingCupLadder
