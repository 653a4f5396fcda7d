// Failure domains that the operator has evacuated, and the order in which the workers of a domain return after an evacuation.
#pragma once

#include "cellids.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace KingCupLadder {

/// Time from the end of an evacuation until the last worker of the domain is usable again. Workers that have been idle may be cold, and all of
/// them at once would take most of the waiting work.
constexpr Duration evacuationReturnTime{3000};

/// The evacuated failure domains, as last read from the store, and the evacuations that have ended recently.
class DomainEvacuations
{
public:
    struct Changes {
        std::vector<FailureDomain> begun;
        std::vector<FailureDomain> ended;
    };

    /// Replaces the set and returns what has changed.
    Changes setDomains(const std::set<FailureDomain> &domains, TimePoint now);
    [[nodiscard]] bool isEvacuated(const FailureDomain &domain) const;
    [[nodiscard]] const std::set<FailureDomain> &domains() const;
    /// When the last evacuation of the domain ended, if its workers are still returning.
    [[nodiscard]] std::optional<TimePoint> returningSince(const FailureDomain &domain, TimePoint now) const;
    /// Whether a domain is evacuated or its workers are still returning.
    [[nodiscard]] bool isActive(TimePoint now) const;

private:
    std::set<FailureDomain> m_domains;
    std::map<FailureDomain, TimePoint> m_endedAt; ///< Of the evacuations that have ended in this process.
};

/// A worker that returns after an evacuation of its failure domain.
struct ReturningWorker {
    WorkerId id;
    Duration coldRemaining{0};
};

/// Returns when each worker becomes usable again: @p atOnce of them at the end of the evacuation and the others one after the other, the
/// warmest first.
[[nodiscard]] std::map<WorkerId, TimePoint> planReturn(std::vector<ReturningWorker> workers, std::size_t atOnce, TimePoint endedAt);

} // namespace KingCupLadder
