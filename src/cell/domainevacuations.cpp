// Changes of the set of evacuated failure domains, and the plan of a return.
#include "domainevacuations.h"

#include <algorithm>
#include <tuple>

namespace KingCupLadder {

DomainEvacuations::Changes DomainEvacuations::setDomains(const std::set<FailureDomain> &domains, TimePoint now)
{
    Changes changes;
    std::set_difference(domains.begin(), domains.end(), m_domains.begin(), m_domains.end(), std::back_inserter(changes.begun));
    std::set_difference(m_domains.begin(), m_domains.end(), domains.begin(), domains.end(), std::back_inserter(changes.ended));
    for (auto entry = m_endedAt.begin(); entry != m_endedAt.end();) {
        entry = entry->second + evacuationReturnTime <= now || domains.count(entry->first) > 0 ? m_endedAt.erase(entry) : std::next(entry);
    }
    for (const FailureDomain &domain : changes.ended) {
        m_endedAt[domain] = now;
    }
    m_domains = domains;
    return changes;
}

bool DomainEvacuations::isEvacuated(const FailureDomain &domain) const
{
    return m_domains.count(domain) > 0;
}

const std::set<FailureDomain> &DomainEvacuations::domains() const
{
    return m_domains;
}

std::optional<TimePoint> DomainEvacuations::returningSince(const FailureDomain &domain, TimePoint now) const
{
    const auto ended = m_endedAt.find(domain);
    return ended != m_endedAt.end() && now < ended->second + evacuationReturnTime ? std::optional<TimePoint>(ended->second) : std::nullopt;
}

bool DomainEvacuations::isActive(TimePoint now) const
{
    return !m_domains.empty()
        || std::any_of(m_endedAt.begin(), m_endedAt.end(), [now](const auto &entry) { return now < entry.second + evacuationReturnTime; });
}

std::map<WorkerId, TimePoint> planReturn(std::vector<ReturningWorker> workers, std::size_t atOnce, TimePoint endedAt)
{
    std::sort(workers.begin(), workers.end(), [](const ReturningWorker &a, const ReturningWorker &b) {
        return std::tie(a.coldRemaining, a.id) < std::tie(b.coldRemaining, b.id);
    });
    const std::size_t first = std::min(atOnce, workers.size());
    const auto others = static_cast<std::int64_t>(workers.size() - first);
    std::map<WorkerId, TimePoint> plan;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const std::int64_t turn = i < first ? 0 : static_cast<std::int64_t>(i - first) + 1;
        plan[workers[i].id] = turn == 0 ? endedAt : endedAt + evacuationReturnTime * turn / others;
    }
    return plan;
}

} // namespace KingCupLadder
