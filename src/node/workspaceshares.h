// Limits what the requests of one workspace occupy of a daemon while they are handled, so that requests of other workspaces are served even if
// the store answers slowly. No I/O.
#pragma once

#include "core/ids.h"

#include <cstddef>
#include <map>
#include <memory>

namespace KingCupLadder {

/// What one workspace may occupy at a time.
struct WorkspaceShareLimits {
    std::size_t maxRequests = 2000;
    std::size_t maxBytes = 32UL * 1024 * 1024; ///< Of the bodies of its requests.
};

class WorkspaceShares
{
public:
    /// Ends the use when it is destroyed, even if that is after WorkspaceShares itself.
    using Use = std::shared_ptr<void>;

    explicit WorkspaceShares(const WorkspaceShareLimits &limits) : m_limits(limits) { }

    /// Counts a request. Returns null if the workspace would exceed its share; a single request never does.
    /// @p workspace: empty for all callers without a key together.
    [[nodiscard]] Use begin(const WorkspaceId &workspace, std::size_t bytes);

private:
    struct Occupied {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };
    using OccupiedByWorkspace = std::map<WorkspaceId, Occupied>; ///< Without workspaces that occupy nothing.

    WorkspaceShareLimits m_limits;
    std::shared_ptr<OccupiedByWorkspace> m_occupied = std::make_shared<OccupiedByWorkspace>();
};

} // namespace KingCupLadder
