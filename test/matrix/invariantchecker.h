// Checks the promises from what workers, callers and the store saw. Knows nothing of the core's state.
#pragma once

#include "core/messages.h"
#include "core/tables.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder::Matrix {

class InvariantChecker
{
public:
    /// Limits as they are in force; a lowered limit is passed once it must hold.
    std::map<TeamId, Resources> limits;
    std::vector<std::string> violations;
    std::set<JobId> cancelled; ///< Jobs whose confirmed cancellation has reached the owner; none of their tasks may start.

    void taskStarted(const WorkerId &worker, const Resources &capacity, bool leavingTooLong, const TaskStart &start)
    {
        const Place place{start.id.job, start.id.index};
        if (!m_running[place].empty()) {
            report("task " + start.id.text() + " started on " + worker.value() + " while it runs on " + m_running[place].begin()->value());
        }
        if (m_succeeded.count(place) > 0 && m_reportLost.count(place) == 0) {
            report("task " + start.id.text() + " started on " + worker.value() + " although it had succeeded");
        }
        if (cancelled.count(start.id.job) > 0) {
            report("task " + start.id.text() + " started after its confirmed cancellation");
        }
        m_running[place].insert(worker);
        m_committed[worker] += start.demand;
        if (!m_committed[worker].fitsIn(capacity)) {
            report("worker " + worker.value() + " is committed beyond its capacity by " + start.id.text());
        }
        m_use[start.team] += start.demand;
        if (!m_use[start.team].fitsIn(limits[start.team])) {
            report("team " + start.team.value() + " runs more than its limit with " + start.id.text());
        }
        if (leavingTooLong) {
            report("leaving worker " + worker.value() + " got " + start.id.text());
        }
    }

    void taskEnded(const WorkerId &worker, const TaskStart &task, TaskOutcome outcome)
    {
        const Place place{task.id.job, task.id.index};
        m_running[place].erase(worker);
        m_committed[worker] -= task.demand;
        m_use[task.team] -= task.demand;
        const bool again = outcome == TaskOutcome::Succeeded && !m_succeeded.insert(place).second;
        if (again && m_reportLost.count(place) == 0) {
            report("task " + task.id.text() + " succeeded twice");
        }
    }

    [[nodiscard]] bool hasSucceeded(const JobId &job, std::uint32_t tasks) const
    {
        for (std::uint32_t index = 0; index < tasks; ++index) {
            if (m_succeeded.count(Place{job, index}) == 0) {
                return false;
            }
        }
        return true;
    }

    /// A worker died before its report of an end was acknowledged; the task may run again, unless the end was recorded already.
    void workerDied(const JobId &job, std::uint32_t index)
    {
        m_reportLost.insert(Place{job, index});
    }

    void report(const std::string &violation)
    {
        constexpr std::size_t maxReported = 5;
        if (violations.size() < maxReported) {
            violations.push_back(violation);
        }
    }

private:
    using Place = std::pair<JobId, std::uint32_t>;

    std::map<Place, std::set<WorkerId>> m_running;
    std::set<Place> m_succeeded;
    std::set<Place> m_reportLost;
    std::map<WorkerId, Resources> m_committed;
    std::map<TeamId, Resources> m_use;
};

} // namespace KingCupLadder::Matrix
