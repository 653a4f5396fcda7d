// Failures of one worker: a worker that fails distinct jobs in a row is quarantined and returns through probation.
#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace KingCupLadder {

struct WorkerHealthSettings {
    std::uint32_t failuresToQuarantine = 3; ///< Distinct jobs in a row without a success.
    Duration initialQuarantine{30000}; ///< Doubles with each failed probation.
    Duration maxQuarantine{600000};
};

enum class HealthState {
    Healthy,
    Quarantined, ///< Takes no new work.
    Probation, ///< Takes one task at a time.
};

class WorkerHealth
{
public:
    explicit WorkerHealth(const WorkerHealthSettings &settings);

    void onSuccess();
    /// The jobs whose failures are the worker's own and must not be charged to them: those of the row if this failure
    /// begins a quarantine, otherwise none.
    [[nodiscard]] std::vector<JobId> onFailure(const JobId &job, TimePoint now);
    /// True if the quarantine ended and probation began.
    bool tick(TimePoint now);

    [[nodiscard]] HealthState state() const;
    /// Whether a failure here counts against the job: the worker is healthy and did not fail other jobs just before.
    [[nodiscard]] bool failuresCountAgainstJobs() const;
    [[nodiscard]] TimePoint quarantinedUntil() const; ///< Only while quarantined.

private:
    void quarantine(TimePoint now);

    WorkerHealthSettings m_settings;
    HealthState m_state = HealthState::Healthy;
    std::vector<JobId> m_row; ///< Distinct jobs that failed since the last success; at most failuresToQuarantine.
    std::uint32_t m_failedProbations = 0;
    TimePoint m_until{};
};

} // namespace KingCupLadder
