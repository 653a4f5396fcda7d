// The leader's scheduler of a cell: takes jobs, the registry and the workers' answers, and decides which task starts where.
// It does no I/O, reads no clock and keeps nothing that the store and the workers can't give back after a change of leader.
#pragma once

#include "advicedispatcher.h"
#include "cellconfig.h"
#include "jobtable.h"
#include "placementplan.h"
#include "workertable.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder {

/// A moment on this process's clock together with the time of day.
struct CellTime {
    TimePoint now;
    std::int64_t unixMs = 0;
};

struct CellSchedulerSettings {
    WorkerTableSettings workers;
    Duration holdWait{1000}; ///< How long a worker may keep a renewal open; leases are renewed at least that often.
    Duration statusRetention{120000}; ///< How long the state of an ended job can be read.
};

/// What the scheduler wants sent. The receiver must not send it without a valid leadership.
struct CellOrders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<HoldOrder> holds;
    std::vector<AdviceCall> advice;
    std::vector<WorkerId> workersToStore; ///< The complete list, if it has to be stored before new workers are used.
};

/// One line for the log: a decision with its inputs and outcome.
using DecisionLog = std::function<void(const std::string &line)>;

enum class AdmissionVerdict {
    Admitted,
    Known, ///< The job is already known.
    Busy, ///< It could not end in time.
    OverRate, ///< Its workspace sends more than its share while the cell is busy.
};

struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    Duration retryAfter{0};
    bool stored = false; ///< Known, and its row is stored.
};

/// What the policy service answered.
struct AdviceAnswer {
    bool answered = false; ///< False: lost or refused.
    bool busy = false;
    Duration validity{0};
    std::vector<std::pair<WorkerId, std::string>> good; ///< Workers and their tickets.
};

/// Progress of one job to be stored.
struct ProgressWrite {
    JobId job;
    std::uint64_t revision = 0;
    JobProgress progress;
};

struct CellCounters {
    std::uint64_t starts = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;
    std::uint64_t neverRan = 0;
    std::uint64_t otherEnds = 0;
    std::uint64_t stops = 0;
    std::uint64_t holds = 0;
    std::uint64_t adviceCalls = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

class CellScheduler
{
public:
    explicit CellScheduler(const CellSchedulerSettings &settings, DecisionLog log = nullptr);

    void setConfig(std::shared_ptr<const CellConfig> config, TimePoint now);
    /// Starts a leadership with nothing known. Leases of earlier leaders have ended by @p leasesExpiredBy.
    void beginTerm(Epoch epoch, TimePoint leasesExpiredBy);
    /// Workers that earlier leaders used; to be added before finishLoading().
    void addPreviousWorkers(const std::vector<WorkerId> &ids);
    /// Adds a stored job; @p progress is null if none is stored. Only between beginTerm() and finishLoading() are jobs "former".
    /// @p mayRun: an earlier leader may have started it.
    void load(const CellJob &job, const JobProgress *progress, bool cancelled, bool mayRun, const CellTime &time);
    /// The leader's row was renewed by a write that was sent at @p sent. What was stored before that may start: the next leader
    /// finds by the versions of the rows which jobs can't have been started.
    void onLeaseRenewed(TimePoint sent);
    /// Jobs wait for the next renewal.
    [[nodiscard]] bool wantsRenewal() const;
    void loadFinal(const JobId &id, const JobProgress &progress, TimePoint now);
    /// All rows were read: unknown runs on workers are obsolete from now on.
    void finishLoading(TimePoint now);
    [[nodiscard]] bool isLoaded() const;

    [[nodiscard]] AdmissionDecision submit(const CellJob &job, const CellTime &time);
    /// The job's row is stored. Adds the job if it is not known.
    void onJobStored(const CellJob &job, const CellTime &time);
    /// The same for a job that was submitted here. False if it is not known.
    [[nodiscard]] bool onKnownJobStored(const JobId &id, TimePoint now);
    /// The job's row was certainly not written.
    void onJobDropped(const JobId &id);
    /// The cancellation is stored.
    void onCancelStored(const JobId &id, TimePoint now);
    /// CellJobState::Unknown if the job is not known.
    [[nodiscard]] CellJobState state(const JobId &id) const;
    [[nodiscard]] WorkspaceId workspaceOf(const JobId &id) const;

    void onRegistry(const std::vector<WorkerInfo> &workers, const CellTime &time);
    void onWorkersStored(const std::vector<WorkerId> &ids);
    void onStartAnswer(const StartOrder &order, const OrderAnswer &answer, const CellTime &time);
    void onStopAnswer(const StopOrder &order, const OrderAnswer &answer, const CellTime &time);
    void onHoldAnswer(const HoldOrder &order, const HoldReply *view, TimePoint sent, const CellTime &time);
    void setAdviceDaemons(const std::vector<DaemonId> &lanes);
    void onAdvice(std::uint64_t call, const AdviceAnswer &answer, TimePoint sent, TimePoint now);

    /// Decides. To be called after events and every few ten milliseconds.
    [[nodiscard]] CellOrders tick(const CellTime &time);

    /// Progress that has to be stored now, at most @p most jobs; final ones first. @p isWanted selects jobs; null: all.
    [[nodiscard]] std::vector<ProgressWrite> takeProgress(std::size_t most, const std::function<bool(const JobId &)> &isWanted = nullptr);
    void onProgressStored(const JobId &id, std::uint64_t revision);
    /// The write failed: it is offered again.
    void onProgressFailed(const JobId &id);
    /// Another leader had stored a final state already.
    void onAlreadyFinal(const JobId &id, CellJobState state, TimePoint now);
    /// Jobs whose final state has to be stored.
    [[nodiscard]] std::vector<JobId> finalProgress() const;

    [[nodiscard]] std::map<RouteName, int> queuedByRoute() const;
    [[nodiscard]] const CellCounters &counters() const;
    [[nodiscard]] const WorkerTable &workers() const;
    [[nodiscard]] std::size_t unfinishedJobs() const;
    /// One line for the log: what waits and for what.
    [[nodiscard]] std::string describeLoad(TimePoint now);

private:
    struct Pass;
    enum class RoomsOf {
        AllowedWorkers,
        TicketedWorkers, ///< Only those whose tickets are valid.
        AllowedWorkersLater, ///< With the room that running tasks will give back.
    };

    void log(const std::string &line) const;
    void noteStored(JobEntry &entry, TimePoint now);
    [[nodiscard]] bool mayStart(const JobEntry &entry) const;
    [[nodiscard]] RouteRules rulesOf(const RouteName &route) const;
    void onRunEvents(const std::vector<RunEvent> &events, const CellTime &time);
    void onRunEnded(const RunEvent &event, JobEntry &entry, StepInstance *step, const CellTime &time);
    void onFoundRun(const DiscoveredRun &found, const CellTime &time);
    void onStrayEnd(const WorkerId &worker, const EndedEntry &end, const CellTime &time);
    void noteHealth(Worker &worker, const JobId &job, bool succeeded, TimePoint now);
    void breakGang(StepInstance &step, TimePoint now);
    void stopTask(const StepInstance &step, int index, TimePoint now);
    void stopRuns(const JobId &job, TimePoint now);
    void storeEndRevision(Worker &worker, EndNumber number, const JobEntry *entry);
    void acknowledgeEnds();

    void driveWorkers(CellOrders &orders, const CellTime &time, bool checkRuns);
    void repeatStarts(Worker &worker, CellOrders &orders, TimePoint now);
    void watchRuns(Worker &worker, TimePoint now);
    void place(CellOrders &orders, const CellTime &time);
    void placeTasks(StepInstance &step, Pass &pass);
    void placeGang(StepInstance &step, Pass &pass);
    void renewForGang(StepInstance &step, const GangForecast &forecast, const std::vector<CandidateWorker> &rooms, TimePoint now);
    void renewTickets(StepInstance &step, const std::vector<WorkerId> &workers, TimePoint now);
    bool askFurther(StepInstance &step, int missing, TimePoint now);
    void limitToAllowed(const StepInstance &step, std::vector<CandidateWorker> &rooms, const Pass &pass) const;
    void repairGang(StepInstance &step, Pass &pass);
    void reserveForGang(StepInstance &step, const std::vector<CandidateWorker> &rooms, Pass &pass);
    void startTask(StepInstance &step, int index, Worker &worker, RunNumber run, Pass &pass);
    void countHiddenUsage(TimePoint now);
    [[nodiscard]] RunNumber nextRun(const CellTask &task) const;
    [[nodiscard]] std::vector<CandidateWorker> roomsFor(StepInstance &step, Pass &pass, RoomsOf choice);
    void addRoom(const StepInstance &step, const Worker &worker, Pass &pass, bool withReleases, std::vector<CandidateWorker> &rooms) const;
    [[nodiscard]] bool isEligible(const StepInstance &step, const Worker &worker) const;
    [[nodiscard]] bool isWithinMaximum(const StepInstance &step, int tasks) const;
    void requestAdvice(StepInstance &step, TimePoint now);
    void requestAdviceFor(StepInstance &step, const std::vector<WorkerId> &workers, TimePoint now);
    void prefetchAdvice(TimePoint now);
    void logLongWaits(TimePoint now);
    [[nodiscard]] std::string describeWait(const StepInstance &step, TimePoint now) const;
    [[nodiscard]] std::vector<WorkerId> workersToAsk(const StepInstance &step);
    [[nodiscard]] const AdviceSettings *adviceTerms(const StepInstance &step) const;
    void settleUnlocated(TimePoint now);
    [[nodiscard]] std::pair<int, TimePoint> orderKey(const StepInstance &step, TimePoint now) const;
    [[nodiscard]] Duration predictedWait(int priority, TimePoint now);
    void measureRate(TimePoint now);
    [[nodiscard]] bool needsAttention(const StepInstance &step) const;

    CellSchedulerSettings m_settings;
    DecisionLog m_log;
    std::shared_ptr<const CellConfig> m_config;
    Epoch m_epoch;
    bool m_loaded = false;
    TimePoint m_lapsedBy;
    JobTable m_jobs;
    WorkerTable m_workers;
    AdviceDispatcher m_advice;
    struct KnownMaximum {
        Resources maximum;
        TimePoint since;
    };
    std::map<WorkspaceId, KnownMaximum> m_maxima; ///< Of the workspaces, and since when they have had this value.
    std::map<WorkspaceId, Resources> m_foundUsage; ///< Runs of earlier leaders that were found since this term began, ended ones included.
    std::map<WorkspaceId, Resources> m_hiddenUsage; ///< What may run on workers that have not answered this leader yet.
    std::map<WorkspaceId, Resources> m_usage; ///< Sum of the demands of all runs, by workspace.
    struct RateBucket {
        double tokens = 0;
        TimePoint filled;
    };
    std::map<WorkspaceId, RateBucket> m_rates;
    TimePoint m_renewedAt; ///< When the last confirmed renewal of the leader's row was sent.
    TimePoint m_lastStored; ///< When a job was last noted as stored.
    std::set<JobId> m_writing; ///< Jobs whose progress is being stored.
    std::vector<DiscoveredRun> m_foundEarly; ///< Found before all rows were read.
    std::vector<std::pair<WorkerId, EndedEntry>> m_strayEarly;
    bool m_workersChanged = false; ///< The stored list of workers is out of date.
    bool m_storingWorkers = false;
    bool m_endsStored = false; ///< Progress was stored since ends were last acknowledged.
    std::uint64_t m_askOrder = 0; ///< Varies which of equally free workers a step asks about.
    std::map<int, std::int64_t> m_waitingWork; ///< Core milliseconds that wait, by priority, as of m_waitingWorkAt.
    std::map<int, std::int64_t> m_waitingTasks; ///< Ready tasks that wait and still help somebody, by priority, as of m_waitingWorkAt.
    double m_startRate = 0; ///< Starts a second: of the last span, or the mean of the last few if that is higher.
    TimePoint m_rateFrom;
    std::uint64_t m_rateStarts = 0;
    std::size_t m_nextTurn = 0; ///< Where the steps begin that get a turn behind the first ones.
    std::int64_t m_capacity = 0; ///< Thousandths of a core of all workers, as of m_waitingWorkAt.
    TimePoint m_waitingWorkAt;
    TimePoint m_nextRunCheck;
    TimePoint m_nextFullPass;
    TimePoint m_nextHousekeeping;
    CellCounters m_counters;
};

} // namespace KingCupLadder
