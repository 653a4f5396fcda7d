// The workers of the cell as the leader sees them: clocks, leases, and every run that may exist on them. A run occupies its
// worker from the moment its start is sent until it is proven that it does not and will not run.
#pragma once

#include "celljob.h"
#include "workerprotocol.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace KingCupLadder {

struct WorkerTableSettings {
    Duration maxLease{6000}; ///< Longest lease that a worker grants; from the platform's bounds.
    double clockDrift = 0.02; ///< A worker's clock may be this much slower than real time.
    Duration startValidity{2000}; ///< An order to start is void so long after it was sent.
    Duration unresponsiveAfter{1500}; ///< Without an answer for so long, a worker gets no new work.
    Duration heartbeat{1500}; ///< Interval of the registry's entries.
};

/// Bounds on the clock of one life of a worker, from its answers.
class WorkerClock
{
public:
    explicit WorkerClock(double drift);

    void observe(WorkerClockMs clock, TimePoint received);
    [[nodiscard]] bool isKnown() const;
    /// The clock shows at least this at @p now.
    [[nodiscard]] WorkerClockMs atLeast(TimePoint now) const;

private:
    double m_drift;
    WorkerClockMs m_clock = 0;
    TimePoint m_received;
    bool m_known = false;
};

enum class RunPhase {
    Starting, ///< The start was sent; its answer is open.
    Running,
    Stopping, ///< A stop has to be acknowledged, or its end awaited.
};

/// One run of one task on one worker.
struct Run {
    TaskRef task;
    RunNumber number;
    Resources demand; ///< Zero if it is not known.
    bool isSized = true; ///< Its demand is known.
    WorkspaceId workspace;
    RunPhase phase = RunPhase::Starting;
    StartOrder order; ///< For repeats; empty for a run that was found on the worker.
    int startsSent = 0;
    int startsOpen = 0; ///< Starts without an answer so far; at most startsSent.
    bool listed = false; ///< The worker's list showed it in this life.
    bool startUnanswered = false; ///< A start got no answer and may take effect late.
    TimePoint sentAt;
    TimePoint confirmedAt; ///< When the worker confirmed the start, or the stop while stopping.
    bool stopOpen = false; ///< A stop is on its way.
    bool stopConfirmed = false;
    TimePoint nextStop; ///< Earliest time of the next stop order.
    TimePoint expectedEnd;
    int percent = 0;
    int load = 0;
    std::string checkpoint;
    TimePoint percentSince; ///< Since when percent has this value.
};

using RunKey = std::pair<TaskRef, RunNumber>;

/// An end that was read and waits for its consequences to be stored before it is acknowledged.
struct UnacknowledgedEnd {
    EndNumber number;
    JobId job;
    std::uint64_t revision = 0; ///< Of the job; 0: nothing has to be stored.
};

/// Names a worker within one WorkerTable; never used again for another one.
using WorkerIndex = std::size_t;

struct Worker {
    WorkerIndex index = 0;
    WorkerInfo info;
    bool registered = false; ///< Listed by the registry now.
    bool durable = false; ///< Its id is stored, so that a later leader knows about it.
    bool inventoried = false; ///< Its lists were read in this life under this leadership.
    WorkerClock clock{0};
    WorkerClockMs longestDeadline = 0; ///< The latest deadline sent to this life.
    TimePoint lastAnswer;
    TimePoint firstSilent; ///< First failed hold since the last answer; zero: none.
    TimePoint presumedDead; ///< Without any answer in this leadership, everything there has lapsed by then.
    bool holdOpen = false;
    TimePoint nextHold;
    EndNumber seen; ///< Highest end that was processed.
    EndNumber acknowledged; ///< Highest end whose consequences are stored.
    std::deque<UnacknowledgedEnd> ends; ///< In order; numbers above acknowledged.
    std::map<RunKey, Run> runs;
    Resources committed; ///< Sum of the demands of runs.
    int unsizedRuns = 0; ///< Runs whose demand is not known. Nothing is placed beside them.
    TimePoint sequenceSeen; ///< When the registry's sequence last changed.
    TimePoint leavesAt; ///< While draining: by then it may have left.
    TimePoint blockedUntil; ///< Gets no new work until then.
    int failureStreak = 0; ///< Failed runs of different jobs since the last success.
    JobId lastFailedJob;
    int unansweredStarts = 0; ///< In a row.
    std::uint64_t changedAt = 1; ///< Count of changes when room here last grew or the worker last became usable.
    bool wasUsable = false; ///< At the last call of noteUsable().

    [[nodiscard]] Resources free() const
    {
        return unsizedRuns > 0 ? Resources{} : info.capacity - committed;
    }
};

/// What became of a run.
struct RunEvent {
    enum class Kind {
        Ended, ///< Listed by the worker.
        NeverRan, ///< The start was refused, or barred by a stop.
        Lost, ///< The worker restarted, left or its lease ran out.
    };
    Kind kind = Kind::Lost;
    Run run;
    WorkerId worker;
    EndedEntry entry; ///< Only if ended.
    OrderOutcome refusal = OrderOutcome::Done; ///< Only if it never ran because of a refusal.
};

/// A run on a worker that the table does not know.
struct DiscoveredRun {
    WorkerId worker;
    RunningEntry entry;
};

class WorkerTable
{
public:
    explicit WorkerTable(const WorkerTableSettings &limits);

    /// The complete registry, read by a request sent at @p now or later. Workers that are not listed stay while runs may exist there.
    [[nodiscard]] std::vector<RunEvent> onRegistry(const std::vector<WorkerInfo> &workers, TimePoint now);
    /// Workers that an earlier leader used. Everything there has lapsed at @p leasesExpiredBy unless they answer before.
    void addFormer(const std::vector<WorkerId> &ids, TimePoint leasesExpiredBy);
    void markDurable(const std::vector<WorkerId> &ids);

    [[nodiscard]] Worker *find(const WorkerId &id);
    [[nodiscard]] const Worker *find(const WorkerId &id) const;
    /// Null if the worker was forgotten.
    [[nodiscard]] Worker *at(WorkerIndex index);
    [[nodiscard]] const Worker *at(WorkerIndex index) const;
    [[nodiscard]] std::map<WorkerId, Worker> &all();
    [[nodiscard]] const std::map<WorkerId, Worker> &all() const;

    /// Workers on which runs of the job may exist.
    [[nodiscard]] std::vector<Worker *> holdersOf(const JobId &job);

    /// Counts workers that have become usable as changed; to be called before a round of placement.
    void noteUsable(TimePoint now);
    /// Grows whenever a worker gets more room or becomes usable.
    [[nodiscard]] std::uint64_t changes() const;
    /// May new work be sent there?
    [[nodiscard]] bool isUsable(const Worker &worker, TimePoint now) const;

    /// Records a new run and returns the order to send.
    [[nodiscard]] StartOrder start(Worker &worker, const Run &run, StartOrder order, TimePoint now);
    /// Repeats the order of a run whose start got no answer; empty if its term is over.
    [[nodiscard]] std::optional<StartOrder> repeatStart(Worker &worker, Run &run, TimePoint now);
    [[nodiscard]] std::vector<RunEvent> onStartAnswer(const StartOrder &order, const OrderAnswer &answer, TimePoint now);
    void requestStop(Worker &worker, Run &run, TimePoint now);
    /// Stops that are due.
    [[nodiscard]] std::vector<StopOrder> dueStops(TimePoint now);
    [[nodiscard]] std::vector<RunEvent> onStopAnswer(const StopOrder &order, const OrderAnswer &answer, TimePoint now);
    [[nodiscard]] HoldOrder hold(Worker &worker, Duration wait, TimePoint now);
    /// @p sent: when the order was sent. Unknown runs are added to @p found. A lost answer has no view.
    [[nodiscard]] std::vector<RunEvent> onHoldAnswer(
        const HoldOrder &order, const HoldReply *view, TimePoint sent, TimePoint now, std::vector<DiscoveredRun> &found, std::vector<EndedEntry> &strayEnds);
    /// Runs on silent workers whose leases have certainly run out.
    [[nodiscard]] std::vector<RunEvent> expireLeases(TimePoint now);
    /// Takes over a run that was found on a worker. No demand: it is not known.
    Run &adopt(Worker &worker, const RunningEntry &entry, const std::optional<Resources> &demand, const WorkspaceId &workspace, TimePoint now);
    /// Removes a run that was proven not to run.
    [[nodiscard]] RunEvent settle(Worker &worker, std::map<RunKey, Run>::iterator run, RunEvent::Kind kind);
    /// Moves the acknowledged mark over ends whose consequences are stored.
    void advanceAcknowledged(Worker &worker, const std::function<bool(const UnacknowledgedEnd &)> &isStored);
    /// True while a worker of an earlier leadership might still run tasks that nobody listed.
    [[nodiscard]] bool mayHideRuns(TimePoint now) const;
    /// What such workers can hold at most; the size of the largest known worker is taken where it is not known.
    [[nodiscard]] Resources hiddenCapacity(TimePoint now) const;

private:
    void beginLife(Worker &worker, WorkerIncarnation life, TimePoint now, std::vector<RunEvent> &events);
    void loseRuns(Worker &worker, std::vector<RunEvent> &events);
    void readEnds(Worker &worker, const HoldReply &view, std::vector<RunEvent> &events, std::vector<EndedEntry> &strayEnds);
    void readRunning(Worker &worker, const HoldReply &view, TimePoint sent, TimePoint now, std::vector<RunEvent> &events, std::vector<DiscoveredRun> &found);
    [[nodiscard]] bool hasLapsed(const Worker &worker, TimePoint now) const;

    WorkerTableSettings m_limits;
    [[nodiscard]] Worker &obtain(const WorkerId &id);
    /// The worker to which an order was sent, with the clock of the answer noted; null if it is gone or has another life.
    [[nodiscard]] Worker *answering(const WorkerId &id, WorkerIncarnation life, const OrderAnswer &answer, TimePoint now);

    std::map<WorkerId, Worker> m_workers;
    void addHolder(const Worker &worker, const JobId &job);
    void removeHolder(const Worker &worker, const JobId &job);

    std::unordered_map<JobId, std::map<WorkerIndex, int>> m_holders; ///< Runs of each job on each worker; no zeros.
    std::vector<Worker *> m_byIndex; ///< Into m_workers; null for forgotten workers.
    std::uint64_t m_changes = 1;
};

} // namespace KingCupLadder
