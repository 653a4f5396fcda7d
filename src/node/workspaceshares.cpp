// Counts requests and their bytes by workspace.
#include "workspaceshares.h"

namespace KingCupLadder {

WorkspaceShares::Use WorkspaceShares::begin(const WorkspaceId &workspace, std::size_t bytes)
{
    const auto known = m_occupied->find(workspace);
    const Occupied present = known == m_occupied->end() ? Occupied() : known->second;
    if (present.requests > 0 && (present.requests >= m_limits.maxRequests || present.bytes + bytes > m_limits.maxBytes)) {
        return nullptr;
    }
    Occupied &occupied = (*m_occupied)[workspace];
    ++occupied.requests;
    occupied.bytes += bytes;
    // The deleter runs when the last copy of the use is gone; the pointer itself is not used.
    return Use(m_occupied.get(), [all = m_occupied, workspace, bytes](void *) {
        const auto entry = all->find(workspace);
        entry->second.bytes -= bytes;
        if (--entry->second.requests == 0) {
            all->erase(entry);
        }
    });
}

} // namespace KingCupLadder
