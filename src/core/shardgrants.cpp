// Slot grants of the shard owner.
#include "shardgrants_p.h"

#include "guaranteedshare_p.h"

#include <algorithm>

namespace KingCupLadder {

namespace {
constexpr int maxWorkersTried = 4; // Workers tried for one request if the first ones have no connection left.
}

ShardGrants::ShardGrants(ShardState &state) : m_state(state) { }

Result<Grant> ShardGrants::refuse(ErrorKind kind, const char *message, const char *remedy)
{
    ++m_state.counters.grantRefusals;
    return Error{kind, message, remedy};
}

Result<Grant> ShardGrants::grant(const GrantSpec &spec, TimePoint now)
{
    m_state.grantRequested = true;
    m_state.lastGrantRequest = now;
    if (m_state.suspended) {
        return refuse(ErrorKind::Unavailable, "the owner can't confirm its lease at the moment", "try another shard or try again in a second");
    }
    if (spec.term <= Duration(0)) {
        return refuse(ErrorKind::Timeout, "the deadline of the request has passed", "send requests with a later deadline");
    }
    expire(now);
    m_state.updateUnreadReserve();
    Resources demand = spec.demand;
    demand.slots = std::max(demand.slots, Slots(1));
    if (!m_state.queue.fitsAllotment(spec.team, demand)) {
        return refuse(ErrorKind::LimitReached, "the team's limit is used up", "wait for its other work or raise the team's limit");
    }
    const bool batchWaits = m_state.queue.queuedTasks() > 0;
    const bool leavesBatchShare = !batchWaits || leavesGuaranteedShare(m_state.committedByRequests + demand, m_state.totalCapacity);
    const ShardWorker *worker = leavesBatchShare ? choose(demand, spec) : nullptr;
    const GrantId id(m_state.settings.id.value() + "/" + std::to_string(m_state.settings.epoch.value()) + "/" + std::to_string(m_grantsIssued + 1));
    const auto index = worker != nullptr ? m_state.workerIndexes.at(worker->vm.id) : WorkerIndex(0);
    if (worker == nullptr || !m_state.workers[index]->ledger.commit(id, demand)) {
        m_state.refusedRequestDemand = demand;
        return refuse(ErrorKind::NoRoom, "no worker of the shard has a free slot", "try another shard or try again shortly");
    }
    ++m_grantsIssued;
    ++m_state.counters.grants;
    const Duration term = std::min(spec.term, m_state.settings.maxGrantTerm);
    m_state.grants.emplace(id, ShardGrant{index, spec.team, spec.route, demand});
    m_state.charge(spec.team, demand);
    m_state.committedByRequests += demand;
    m_state.refreshWorker(index);
    m_expiries.push(Expiry{now + term + m_state.settings.margin, id});
    return Grant{id, m_state.settings.id, m_state.settings.epoch, worker->vm.id, worker->vm.address, term};
}

const ShardWorker *ShardGrants::choose(const Resources &demand, const GrantSpec &spec) const
{
    PlacementOptions options;
    options.packTightly = m_state.power() == PowerSource::Generator;
    // The list is ignored if it may contain every worker, since no worker would be left to choose.
    if (spec.avoid.size() < m_state.readWorkerCount()) {
        options.avoid = spec.avoid;
    }
    for (int choice = 0; choice < maxWorkersTried; ++choice) {
        const std::optional<WorkerId> worker = m_state.placementIndex.choose(demand, options);
        if (!worker) {
            return nullptr;
        }
        const ShardWorker &candidate = *m_state.workers[m_state.workerIndexes.at(*worker)];
        const std::int64_t used = static_cast<std::int64_t>(candidate.ledger.grantCount()) + candidate.priorEpochSlots.value();
        if (used < candidate.maxConnections) {
            return &candidate;
        }
        options.avoid.push_back(*worker);
    }
    return nullptr;
}

void ShardGrants::release(const GrantId &id, GrantOutcome outcome, TimePoint now)
{
    const auto it = m_state.grants.find(id);
    if (it == m_state.grants.end()) {
        return;
    }
    const ShardGrant grant = it->second;
    if (outcome != GrantOutcome::Unused) {
        recordWorkerOutcome(grant.workerIndex, grant.route, outcome, now);
    }
    if (outcome == GrantOutcome::TimedOut) {
        m_state.workers[grant.workerIndex]->timedOutGrants.emplace(id, now + m_state.settings.maxGrantTerm);
        return;
    }
    m_state.releaseGrant(id);
}

void ShardGrants::recordWorkerOutcome(WorkerIndex index, const RouteName &route, GrantOutcome outcome, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[index];
    if (outcome == GrantOutcome::Succeeded) {
        worker.health.onSuccess();
    } else {
        // All failures of one route count as one job, so that a broken application does not quarantine every worker.
        (void)worker.health.onFailure(JobId("route:" + route.value()), now);
    }
    m_state.refreshWorker(index);
}

void ShardGrants::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.top().at <= now) {
        const GrantId id = m_expiries.top().id;
        m_expiries.pop();
        const auto it = m_state.grants.find(id);
        if (it != m_state.grants.end() && m_state.workers[it->second.workerIndex]->timedOutGrants.count(id) == 0) {
            m_state.releaseGrant(id);
        }
    }
}

} // namespace KingCupLadder
