// Checks the guarantees given to callers and workers against what they observe.
#pragma once

#include "cell/celljob.h"
#include "cell/workerprotocol.h"
#include "daemon/eventloop.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder::SoakTest {

/// The payload of a job with a deadly task begins with this. The deadly task is task 0 of the job's last step: it crashes its workers.
constexpr char deadlyMark[] = "deadly ";

constexpr Duration soakHeartbeat{500}; ///< Interval of the workers' registry writes; also in the daemons' settings.
constexpr Duration soakContact{3000}; ///< A machine is in touch if it was not disturbed for this time; contact_ms in the daemons' settings.

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
    /// Called before a caller sends the cancellation: from now on, the job may be cancelled.
    void recordCancelled(const JobId &id);
    /// Called when a caller has got the confirmation: from now on, the job must be cancelled.
    void recordCancelAcknowledged(const JobId &id);
    /// Records a state that a caller got in response to a request sent at @p requestedAt.
    void recordObservedState(const JobId &id, const std::string &state, TimePoint requestedAt);
    /// @p inTouch: the daemon that sent the order was not disturbed lately.
    void recordStart(const WorkerId &worker, const StartOrder &order, bool inTouch);
    /// A worker has crashed under its deadly task.
    void recordCrash(const TaskRef &task);
    /// Records the capacity that a worker has from now on.
    void recordCapacity(const WorkerId &worker, const Resources &capacity);
    /// Called after a start. @p isLate: the order may have been sent long before, so any capacity that the worker ever had is allowed.
    void checkCapacity(const WorkerId &worker, const Resources &used, bool isLate, bool inTouch);
    /// The store has acknowledged the row that evacuates a failure domain, or its removal.
    void recordEvacuation(const FailureDomain &domain, bool isEvacuated);
    /// Called after a start in the failure domain.
    void checkEvacuation(const FailureDomain &domain, const TaskRef &task, bool inTouch);
    void recordEnd(const TaskRef &task, RunEnd end);
    /// Called when the leader acknowledges the end of a run.
    void recordAcknowledged(const TaskRef &task, RunEnd end);
    void reportViolation(const std::string &text);

    [[nodiscard]] const StepSpec *stepOf(const TaskRef &task) const;
    [[nodiscard]] bool isDeadly(const TaskRef &task) const;
    [[nodiscard]] bool isSucceeded(const JobId &id) const;
    [[nodiscard]] const std::vector<std::string> &violations() const;
    /// Returns admitted jobs that are neither cancelled nor reported as ended.
    [[nodiscard]] std::vector<JobId> unfinished() const;
    [[nodiscard]] std::size_t admitted() const;
    [[nodiscard]] std::size_t succeeded() const;
    [[nodiscard]] std::size_t starts() const;
    [[nodiscard]] std::size_t crashes() const;
    /// Starts in other failure domains while an evacuation had to be in force.
    [[nodiscard]] std::size_t startsBesideEvacuations() const;

private:
    struct JobRecord {
        CellJob job;
        bool admitted = false;
        TimePoint firstAdmittedAt; ///< When a caller first got the confirmation.
        bool hasAttemptWithUnknownOutcome = false; ///< After at least one attempt, the job may have been stored or not.
        int pendingAttempts = 0;
        TimePoint cancelledAt; ///< When a caller first sent the cancellation.
        TimePoint cancelAcknowledgedAt; ///< Not before cancelledAt.
        bool isEnded = false; ///< A caller got a final state.
        TimePoint endFirstObservedAt; ///< When a caller first got a final state.
        std::map<int, std::set<int>> succeededTasks; ///< Tasks that ended successfully, by step.
        int crashes = 0; ///< Workers that have crashed under the deadly task.
        int startsOverBudget = 0; ///< Starts of the deadly task after maxCrashes, by machines in touch.
    };

    EventLoop &m_loop;
    std::map<JobId, JobRecord> m_jobs;
    std::set<TaskRef> m_acknowledgedTasks;
    std::map<WorkerId, std::vector<std::pair<TimePoint, Resources>>> m_capacities; ///< Each with the time since when it holds, in order.
    std::vector<std::string> m_violations;
    std::size_t m_starts = 0;
    std::size_t m_crashes = 0;
    std::map<FailureDomain, TimePoint> m_evacuatedSince;
    std::size_t m_startsBesideEvacuations = 0;
};

} // namespace KingCupLadder::SoakTest
