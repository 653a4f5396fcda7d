// The settings of a route that apply to its jobs.
#pragma once

#include "cellids.h"
#include "core/resources.h"
#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace KingCupLadder {

/// Settings of a route whose steps may only run on workers that the policy service allows.
struct AdviceSettings {
    double decisionMs = 0; ///< Fixed part of the duration of one call to the policy service.
    double perWorkerMs = 0; ///< Added for each worker named in the call.
    Duration validity{0}; ///< How long a ticket is valid.

    /// Returns how many workers take as long as the fixed part of a call; unlimited if workers take no time.
    [[nodiscard]] std::size_t workersForFixedPart() const
    {
        constexpr std::size_t unlimited = 1000000;
        return decisionMs < perWorkerMs * static_cast<double>(unlimited) ? static_cast<std::size_t>(decisionMs / perWorkerMs) : unlimited;
    }

    /// Returns an upper bound on the duration of a call that names @p workers workers, in whole milliseconds.
    [[nodiscard]] Duration callDuration(std::size_t workers) const
    {
        return Duration(static_cast<std::int64_t>(decisionMs + perWorkerMs * static_cast<double>(workers)) + 1);
    }
};

/// How the jobs of a route run.
struct RouteRules {
    UpstreamName upstream;
    int priority = 0; ///< 0 is the highest.
    int attempts = 1; ///< Number of failed runs of one task after which the job fails.
    double stretch = 1; ///< The objective is stretch times the critical path, plus targetLatency.
    Duration targetLatency{0};
    std::optional<AdviceSettings> advice; ///< Empty: any eligible worker may run the steps.
};

/// What the configuration said about a job when the job was admitted. It applies while the configuration in force lacks the job's route or
/// workspace.
struct AdmittedRules {
    RouteRules route;
    Resources workspaceMaximum; ///< See Workspace::maximum.
};

} // namespace KingCupLadder
