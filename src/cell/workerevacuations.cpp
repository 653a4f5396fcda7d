// Which workers are in an evacuated failure domain, and when each worker is usable again after an evacuation.
#include "workertable.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxDescribedDomains = 12; // Keeps a log line short if registry entries name many domains.

} // namespace

DomainEvacuations::Changes WorkerTable::setEvacuatedDomains(const std::set<FailureDomain> &domains, TimePoint now)
{
    DomainEvacuations::Changes changes = m_evacuations.setDomains(domains, now);
    applyEvacuations(now);
    return changes;
}

const DomainEvacuations &WorkerTable::evacuations() const
{
    return m_evacuations;
}

void WorkerTable::applyEvacuations(TimePoint now)
{
    std::size_t total = 0; // Registered workers outside evacuated domains.
    std::size_t inService = 0; // Those of them that are not held back.
    std::map<FailureDomain, std::vector<ReturningWorker>> unplanned;
    for (auto &[id, worker] : m_workers) {
        worker.isEvacuated = m_evacuations.isEvacuated(worker.info.domain);
        if (worker.isEvacuated || !worker.registered || worker.info.draining) {
            continue;
        }
        ++total;
        const auto since = m_evacuations.returningSince(worker.info.domain, now);
        if (since && worker.returnPlannedFor != *since) {
            unplanned[worker.info.domain].push_back(ReturningWorker{id, worker.info.coldRemaining});
        } else {
            inService += worker.returnsAt <= now ? 1 : 0;
        }
    }
    for (auto &[domain, workers] : unplanned) {
        // At least half of the cell is in service at once, so that it is not left idle after most of it was evacuated.
        const std::size_t wanted = (total + 1) / 2;
        const std::size_t atOnce = std::min(wanted > inService ? wanted - inService : 0, workers.size());
        const TimePoint since = *m_evacuations.returningSince(domain, now);
        for (const auto &[id, at] : planReturn(std::move(workers), atOnce, since)) {
            Worker &worker = m_workers.at(id);
            worker.returnsAt = at;
            worker.returnPlannedFor = since;
            inService += at <= now ? 1 : 0;
        }
    }
}

std::vector<FailureDomain> WorkerTable::evacuatedDomainsWithoutWorkers() const
{
    std::set<FailureDomain> missing = m_evacuations.domains();
    for (auto worker = m_workers.begin(); worker != m_workers.end() && !missing.empty(); ++worker) {
        missing.erase(worker->second.info.domain);
    }
    return {missing.begin(), missing.end()};
}

std::string WorkerTable::describeDomains(TimePoint now) const
{
    struct Counts {
        std::size_t workers = 0;
        std::size_t usable = 0;
        std::size_t runs = 0;
    };
    std::map<FailureDomain, Counts> domains;
    for (const auto &[id, worker] : m_workers) {
        Counts &counts = domains[worker.info.domain];
        counts.workers += worker.registered ? 1 : 0;
        counts.usable += isUsable(worker, now) ? 1 : 0;
        counts.runs += worker.runs.size();
    }
    std::string text;
    std::size_t described = 0;
    for (auto entry = domains.begin(); entry != domains.end() && described < maxDescribedDomains; ++entry, ++described) {
        const auto &[domain, counts] = *entry;
        text += (text.empty() ? "" : ", ") + domain.value() + " " + std::to_string(counts.usable) + " of " + std::to_string(counts.workers) + " with "
            + std::to_string(counts.runs) + " runs"
            + (m_evacuations.isEvacuated(domain)               ? " (evacuated)"
                   : m_evacuations.returningSince(domain, now) ? " (returning)"
                                                               : "");
    }
    return text + (domains.size() > described ? ", and " + std::to_string(domains.size() - described) + " more" : "");
}

} // namespace KingCupLadder
