// Metrics for GET /metrics in the Prometheus text format: wait times by route and team, errors by kind (refusals_total), and the
// resource usage of the control plane.
#pragma once

#include "core/daemoncore.h"
#include "requestfilters.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace KingCupLadder {

/// Counters of the daemon's own traffic and work.
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
    /// Counts a job submission that was answered: by its route and team if it was accepted, otherwise by the kind of error.
    void countJobSubmission(const RouteName &route, const TeamId &team, ErrorKind error, Duration total);
    /// Returns the body of GET /metrics: the daemon's own metrics followed by those of the core.
    [[nodiscard]] std::string text(const std::vector<Metric> &core, const ControlPlaneUsage &usage) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// Escapes the characters that Prometheus reserves in label values.
[[nodiscard]] std::string escapeLabelValue(const std::string &value);

} // namespace KingCupLadder
