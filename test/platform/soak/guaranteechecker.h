// Checks the guarantees given to callers and workers against what they observe.
#pragma once

#include "cell/celljob.h"
#include "cell/workerprotocol.h"
#include "daemon/eventloop.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder::SoakTest {

/// Records what callers and workers observe about jobs, and reports what must never happen.
class GuaranteeChecker
{
public:
    explicit GuaranteeChecker(EventLoop &loop) : m_loop(loop) { }

    /// Called before a caller sends the job.
    void recordSent(const CellJob &job);
    /// Records the outcome of one attempt. @p refused: the response said that the job was not admitted.
    void recordAttemptOutcome(const JobId &id, bool refused);
    void recordAdmitted(const JobId &id);
    void recordCancelled(const JobId &id);
    /// Records a state that a caller got in response to a request sent at @p requestedAt.
    void recordObservedState(const JobId &id, const std::string &state, TimePoint requestedAt);
    void recordStart(const WorkerId &worker, const StartOrder &order);
    void recordEnd(const TaskRef &task, RunEnd end);
    /// Called when the leader acknowledges the end of a run.
    void recordAcknowledged(const TaskRef &task, RunEnd end);
    void reportViolation(const std::string &text);

    [[nodiscard]] const StepSpec *stepOf(const TaskRef &task) const;
    [[nodiscard]] bool isSucceeded(const JobId &id) const;
    [[nodiscard]] const std::vector<std::string> &violations() const;
    /// Returns admitted jobs that are neither cancelled nor reported as ended.
    [[nodiscard]] std::vector<JobId> unfinished() const;
    [[nodiscard]] std::size_t admitted() const;
    [[nodiscard]] std::size_t succeeded() const;
    [[nodiscard]] std::size_t starts() const;

private:
    struct JobRecord {
        CellJob job;
        bool admitted = false;
        TimePoint firstAdmittedAt; ///< When a caller first got the confirmation.
        bool hasAttemptWithUnknownOutcome = false; ///< After at least one attempt, the job may have been stored or not.
        int pendingAttempts = 0;
        TimePoint cancelledAt;
        bool isEnded = false; ///< A caller got a final state.
        TimePoint endFirstObservedAt; ///< When a caller first got a final state.
        std::map<int, std::set<int>> succeededTasks; ///< Tasks that ended successfully, by step.
    };

    EventLoop &m_loop;
    std::map<JobId, JobRecord> m_jobs;
    std::set<TaskRef> m_acknowledgedTasks;
    std::vector<std::string> m_violations;
    std::size_t m_starts = 0;
};

} // namespace KingCupLadder::SoakTest
