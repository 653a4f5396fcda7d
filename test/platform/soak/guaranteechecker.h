// What is promised to callers and workers, checked against what callers and workers see.
#pragma once

#include "cell/celljob.h"
#include "cell/workerprotocol.h"
#include "daemon/eventloop.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder::SoakTest {

/// What happens to jobs as callers and workers see it, and what must never happen.
class GuaranteeChecker
{
public:
    explicit GuaranteeChecker(EventLoop &loop) : m_loop(loop) { }

    /// A caller is about to send the job.
    void recordSent(const CellJob &job);
    /// The answer to one attempt: @p refused if it said that the job was not admitted.
    void recordAttempt(const JobId &id, bool refused);
    void recordAdmitted(const JobId &id);
    void recordCancelled(const JobId &id);
    /// A caller saw this state in the answer to a request that it sent at @p asked.
    void recordObservedState(const JobId &id, const std::string &state, TimePoint asked);
    void noteStart(const WorkerId &worker, const StartOrder &order);
    void recordEnd(const TaskRef &task, RunEnd end);
    /// The leader acknowledged the end.
    void recordAcknowledged(const TaskRef &task, RunEnd end);
    void reportViolation(const std::string &text);

    [[nodiscard]] const StepSpec *stepOf(const TaskRef &task) const;
    [[nodiscard]] bool isSucceeded(const JobId &id) const;
    [[nodiscard]] const std::vector<std::string> &breaches() const;
    /// Admitted jobs that are neither cancelled nor shown as ended.
    [[nodiscard]] std::vector<JobId> unfinished() const;
    [[nodiscard]] std::size_t admitted() const;
    [[nodiscard]] std::size_t succeeded() const;
    [[nodiscard]] std::size_t starts() const;

private:
    struct Entry {
        CellJob job;
        bool admitted = false;
        TimePoint admittedAt; ///< When a caller was first told.
        bool mayBeAdmitted = false; ///< An attempt had no clear answer.
        int openAttempts = 0;
        TimePoint cancelled;
        bool ended = false; ///< Shown in a final state.
        TimePoint endShown; ///< When a caller first saw that.
        std::map<int, std::set<int>> done; ///< Tasks with a successful end, by step.
    };

    EventLoop &m_loop;
    std::map<JobId, Entry> m_jobs;
    std::set<TaskRef> m_noted; ///< Tasks whose success was acknowledged.
    std::vector<std::string> m_breaches;
    std::size_t m_starts = 0;
};

} // namespace KingCupLadder::SoakTest
