// Health of one worker. A worker on which several different jobs fail in a row is quarantined, then returns through probation.
#pragma once

#include "ids.h"
#include "units.h"

#include <cstdint>
#include <vector>

namespace KingCupLadder {

struct WorkerHealthSettings {
    std::uint32_t failuresToQuarantine = 3; ///< Different jobs that fail without a success in between.
    Duration initialQuarantine{30000}; ///< Duration of the first quarantine; doubles with each failed probation.
    Duration maxQuarantine{600000};
};

enum class HealthState {
    Healthy,
    Quarantined, ///< Accepts no new work.
    Probation, ///< Accepts one task at a time.
};

class WorkerHealth
{
public:
    explicit WorkerHealth(const WorkerHealthSettings &settings);

    void onSuccess();
    /// Returns the jobs whose failures are attributed to the worker and must not count against them: the job itself in quarantine
    /// or probation, all jobs that failed in a row if the failure begins a quarantine, otherwise none.
    [[nodiscard]] std::vector<JobId> onFailure(const JobId &job, TimePoint now);
    /// Returns true if the quarantine ended and probation began.
    bool tick(TimePoint now);

    [[nodiscard]] HealthState state() const;
    /// Whether failures on this worker count against the job: the worker is healthy and no other job has just failed on it.
    [[nodiscard]] bool failuresCountAgainstJobs() const;
    [[nodiscard]] TimePoint quarantinedUntil() const; ///< Valid only while quarantined.

private:
    void quarantine(TimePoint now);

    WorkerHealthSettings m_settings;
    HealthState m_state = HealthState::Healthy;
    std::vector<JobId> m_consecutiveFailures; ///< Different jobs that failed since the last success; at most failuresToQuarantine.
    std::uint32_t m_failedProbations = 0;
    TimePoint m_quarantinedUntil{};
};

} // namespace KingCupLadder
