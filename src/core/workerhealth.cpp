// Quarantine and probation of a worker.
#include "workerhealth.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {
constexpr std::uint32_t maxDoublings = 10; // Bounds the shift; with the default settings, maxQuarantine is reached after 5 doublings.
}

WorkerHealth::WorkerHealth(const WorkerHealthSettings &settings) : m_settings(settings) { }

void WorkerHealth::onSuccess()
{
    m_consecutiveFailures.clear();
    if (m_state == HealthState::Probation) {
        m_state = HealthState::Healthy;
        m_failedProbations = 0;
    }
}

std::vector<JobId> WorkerHealth::onFailure(const JobId &job, TimePoint now)
{
    if (m_state == HealthState::Quarantined) {
        return {job};
    }
    if (m_state == HealthState::Probation) {
        ++m_failedProbations;
        quarantine(now);
        return {job};
    }
    if (std::find(m_consecutiveFailures.begin(), m_consecutiveFailures.end(), job) == m_consecutiveFailures.end()) {
        m_consecutiveFailures.push_back(job);
    }
    if (m_consecutiveFailures.size() < m_settings.failuresToQuarantine) {
        return {};
    }
    quarantine(now);
    return std::exchange(m_consecutiveFailures, {});
}

void WorkerHealth::quarantine(TimePoint now)
{
    m_state = HealthState::Quarantined;
    const Duration span = m_settings.initialQuarantine * (1U << std::min(m_failedProbations, maxDoublings));
    m_quarantinedUntil = now + std::min(span, m_settings.maxQuarantine);
}

bool WorkerHealth::tick(TimePoint now)
{
    if (m_state != HealthState::Quarantined || now < m_quarantinedUntil) {
        return false;
    }
    m_state = HealthState::Probation;
    return true;
}

HealthState WorkerHealth::state() const
{
    return m_state;
}

bool WorkerHealth::failuresCountAgainstJobs() const
{
    return m_state == HealthState::Healthy && m_consecutiveFailures.size() <= 1;
}

TimePoint WorkerHealth::quarantinedUntil() const
{
    return m_quarantinedUntil;
}

} // namespace KingCupLadder
