// Checks the safety invariants using only what workers, callers and the store observe, without access to the core's state.
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
    /// The limit of each team that must hold. A lowered limit is set here once the system has to comply with it.
    std::map<TeamId, Resources> limits;
    std::vector<std::string> violations;
    std::set<JobId> cancelled; ///< Jobs whose confirmed cancellation has reached the owner. None of their tasks may start.

    void taskStarted(const WorkerId &worker, const Resources &capacity, bool leavingTooLong, const TaskStart &start)
    {
        const TaskKey taskKey{start.id.job, start.id.index};
        if (!m_running[taskKey].empty()) {
            report("task " + start.id.text() + " started on " + worker.value() + " while it runs on " + m_running[taskKey].begin()->value());
        }
        if (m_succeeded.count(taskKey) > 0 && m_lostReports.count(taskKey) == 0) {
            report("task " + start.id.text() + " started on " + worker.value() + " although it had succeeded");
        }
        if (cancelled.count(start.id.job) > 0) {
            report("task " + start.id.text() + " started after its confirmed cancellation");
        }
        m_running[taskKey].insert(worker);
        m_committed[worker] += start.demand;
        if (!m_committed[worker].fitsIn(capacity)) {
            report("worker " + worker.value() + " is committed beyond its capacity by " + start.id.text());
        }
        m_teamUse[start.team] += start.demand;
        if (!m_teamUse[start.team].fitsIn(limits[start.team])) {
            report("team " + start.team.value() + " runs more than its limit with " + start.id.text());
        }
        if (leavingTooLong) {
            report("leaving worker " + worker.value() + " got " + start.id.text());
        }
    }

    void taskEnded(const WorkerId &worker, const TaskStart &task, TaskOutcome outcome)
    {
        const TaskKey taskKey{task.id.job, task.id.index};
        m_running[taskKey].erase(worker);
        m_committed[worker] -= task.demand;
        m_teamUse[task.team] -= task.demand;
        const bool repeated = outcome == TaskOutcome::Succeeded && !m_succeeded.insert(taskKey).second;
        if (repeated && m_lostReports.count(taskKey) == 0) {
            report("task " + task.id.text() + " succeeded twice");
        }
    }

    [[nodiscard]] bool hasSucceeded(const JobId &job, std::uint32_t tasks) const
    {
        for (std::uint32_t index = 0; index < tasks; ++index) {
            if (m_succeeded.count(TaskKey{job, index}) == 0) {
                return false;
            }
        }
        return true;
    }

    /// Records that a worker died before its report of the task's end was acknowledged. The owner may run the task again then, unless
    /// it had already recorded the end; the checker accepts a second run in both cases.
    void recordLostReport(const JobId &job, std::uint32_t index)
    {
        m_lostReports.insert(TaskKey{job, index});
    }

    void report(const std::string &violation)
    {
        constexpr std::size_t maxViolations = 5;
        if (violations.size() < maxViolations) {
            violations.push_back(violation);
        }
    }

private:
    using TaskKey = std::pair<JobId, std::uint32_t>;

    std::map<TaskKey, std::set<WorkerId>> m_running;
    std::set<TaskKey> m_succeeded;
    std::set<TaskKey> m_lostReports;
    std::map<WorkerId, Resources> m_committed;
    std::map<TeamId, Resources> m_teamUse;
};

} // namespace KingCupLadder::Matrix
