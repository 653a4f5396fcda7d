// Sums over the waiting work, and the waits that follow from them.
#include "admissionforecast.h"

#include <algorithm>
#include <functional>

namespace KingCupLadder {

namespace {

constexpr double fragmentationFactor = 1.15; // Gangs and label requirements leave part of the capacity unused.
constexpr double minStartRatePerSecond = 100; // Lower bound of the rate that predictions assume; the measured one is near zero if little starts.
constexpr std::int64_t minBacklogTasks = 150; // Up to this number of tasks that lack only a start, starts are not a bottleneck.
constexpr double maxPredictedWaitMs = 1e12; // Keeps the prediction within the range of a duration.
constexpr Duration minRetryAfter{1000}; // The header has whole seconds.
constexpr Duration maxRetryAfter{15000};
constexpr Duration minRetrySpread{1000};
constexpr std::size_t retrySpreadSteps = 1009; // Prime, so that regular ids are spread as well.

} // namespace

void AdmissionForecast::reset(const CellSupply &supply)
{
    m_supply = supply;
    m_tiers.clear();
    m_ownWork.clear();
}

void AdmissionForecast::add(const WaitingWork &waiting)
{
    if (waiting.shareOfMaximum > 0) {
        m_ownWork[waiting.workspace][waiting.tier] += waiting.shareOfMaximum * waiting.tasks * static_cast<double>(waiting.estimate.count());
    }
    if (waiting.isAtMaximum) {
        return;
    }
    TierLoad &load = m_tiers[waiting.tier];
    load.work += waiting.work;
    load.unqueuedCalls += waiting.unqueuedCall;
    if (waiting.isReady) {
        const std::int64_t cpu = waiting.cpuPerTask * waiting.tasks;
        load.readyCpu += cpu;
        load.readySingleCpu += waiting.isGang ? 0 : cpu;
        load.startableTasks += waiting.lacksOnlyStart && !waiting.isGang ? waiting.tasks : 0;
        load.startableCpu += waiting.lacksOnlyStart && !waiting.isGang ? cpu : 0;
    }
}

AdmissionForecast::TierLoad AdmissionForecast::loadAhead(int tier) const
{
    TierLoad sum;
    for (auto load = m_tiers.begin(); load != m_tiers.end() && load->first <= tier; ++load) {
        sum.work += load->second.work;
        sum.readyCpu += load->second.readyCpu;
        sum.readySingleCpu += load->second.readySingleCpu;
        sum.startableTasks += load->second.startableTasks;
        sum.startableCpu += load->second.startableCpu;
        sum.unqueuedCalls += load->second.unqueuedCalls;
    }
    return sum;
}

double AdmissionForecast::waitForRoom(const WaitingWork &first, const TierLoad &ahead) const
{
    if (m_supply.capacity <= 0) {
        return 0;
    }
    const double free = static_cast<double>(m_supply.freeCpu) / fragmentationFactor;
    const double own = static_cast<double>(first.cpuPerTask) * first.tasks;
    // Gangs that wait although there is free capacity lack it on their allowed workers, so that single tasks fit beside them.
    if (!first.isGang && static_cast<double>(ahead.readySingleCpu) + own <= free) {
        return 0;
    }
    // Only the part that does not fit into the free capacity waits for running tasks to end.
    const double demand = static_cast<double>(ahead.readyCpu) + own;
    const double waitingShare = demand > 0 ? std::max(demand - free, 0.0) / demand : 0;
    return ahead.work * waitingShare / static_cast<double>(m_supply.capacity) * fragmentationFactor;
}

double AdmissionForecast::waitForStarts(const TierLoad &ahead) const
{
    if (ahead.startableTasks <= minBacklogTasks) {
        return 0;
    }
    // Tasks beyond the free capacity wait for room, not for the leader.
    const double fitting = static_cast<double>(m_supply.freeCpu) / std::max(static_cast<double>(ahead.startableCpu), 1.0);
    const double tasks = static_cast<double>(ahead.startableTasks) * std::min(fitting, 1.0);
    return tasks > static_cast<double>(minBacklogTasks) ? tasks / std::max(m_supply.startsPerSecond, minStartRatePerSecond) * 1000 : 0;
}

double AdmissionForecast::waitForOwnWork(const WaitingWork &first) const
{
    double wait = 0;
    const auto own = m_ownWork.find(first.workspace);
    if (own != m_ownWork.end()) {
        for (auto tier = own->second.begin(); tier != own->second.end() && tier->first <= first.tier; ++tier) {
            wait += tier->second;
        }
    }
    return wait;
}

Duration AdmissionForecast::wait(const WaitingWork &first, Duration queuedCalls) const
{
    double wait = 0;
    if (first.isAtMaximum) {
        wait = waitForOwnWork(first);
    } else {
        const TierLoad ahead = loadAhead(first.tier);
        const double calls = first.unqueuedCall > Duration(0)
            ? static_cast<double>(queuedCalls.count()) + static_cast<double>(ahead.unqueuedCalls.count()) / std::max(m_supply.daemons, 1)
            : 0;
        wait = std::max({waitForRoom(first, ahead), waitForStarts(ahead), calls});
    }
    return Duration(static_cast<std::int64_t>(std::min(wait, maxPredictedWaitMs)));
}

Duration retryAfter(const JobId &job, Duration expected, Duration longestUse)
{
    const Duration base = std::max(expected, minRetryAfter);
    const Duration spread = std::max(base / 2, minRetrySpread);
    const auto position = static_cast<std::int64_t>(std::hash<std::string>()(job.value()) % retrySpreadSteps);
    const Duration spreadOut = base + spread * position / static_cast<std::int64_t>(retrySpreadSteps);
    return std::clamp(spreadOut, minRetryAfter, std::clamp(longestUse, minRetryAfter, maxRetryAfter));
}

} // namespace KingCupLadder
