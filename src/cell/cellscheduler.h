// The scheduler that the leader runs for a cell. Takes jobs, the registry and the workers' answers as input and decides which task
// starts on which worker. It does no I/O and reads no clock; after a change of leader all of its state can be rebuilt from the store
// and the workers.
#pragma once

#include "admissionforecast.h"
#include "advicedispatcher.h"
#include "advicequery.h"
#include "cellconfig.h"
#include "jobtable.h"
#include "placementplan.h"
#include "preemptionplan.h"
#include "workertable.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace KingCupLadder {

/// The same point in time on the steady clock of this process and as Unix time.
struct CellTime {
    TimePoint now;
    std::int64_t unixMs = 0;
};

struct CellSchedulerSettings {
    WorkerTableSettings workers;
    Duration holdPollTimeout{1000}; ///< Long-poll timeout of a hold, and thereby the longest interval between lease renewals.
    double spreadFactor = 1; ///< Tasks away from their data, and gangs over several racks, take this many times as long; 1: the place does not matter.
    Duration statusRetention{120000}; ///< How long the state of an ended job can be queried.
};

/// Orders to workers and calls to the policy service. They may be sent only while the leadership is valid.
struct CellOrders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<HoldOrder> holds;
    std::vector<AdviceCall> advice;
    std::vector<WorkerRecord> workersToStore; ///< Records of all workers, if they have to be stored.
};

/// Receives log lines, each with a decision, its inputs and its outcome.
using DecisionLog = std::function<void(const std::string &line)>;

enum class AdmissionVerdict {
    Admitted,
    Known, ///< The job has been submitted before.
    Busy, ///< The job is not expected to end in time.
    OverRate, ///< The workspace exceeds its rate while the cell is busy.
};

struct AdmissionDecision {
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    Duration retryAfter{0};
    bool stored = false; ///< For Known: the job's row is stored.
};

/// The answer of the policy service to an advice call.
struct AdviceAnswer {
    bool answered = false; ///< False: the call was lost or rejected.
    bool busy = false; ///< Rejected because too many calls wait.
    Duration validity{0}; ///< Of the tickets.
    std::vector<std::pair<WorkerId, std::string>> allowed; ///< Allowed workers and their tickets.
};

/// Progress of one job that has to be stored.
struct ProgressWrite {
    JobId job;
    std::uint64_t revision = 0;
    JobProgress progress;
};

/// Counts since the scheduler was created, across leaderships.
struct CellCounters {
    std::uint64_t starts = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t crashSuspicions = 0; ///< Runs that may have caused the proven crash of their worker.
    std::uint64_t givenUp = 0; ///< Jobs that failed because one of their tasks crashed its workers.
    std::uint64_t lost = 0;
    std::uint64_t neverRan = 0;
    std::uint64_t otherEnds = 0;
    std::uint64_t stops = 0;
    std::uint64_t preemptions = 0; ///< Plans to stop runs for a step of a higher priority.
    std::uint64_t preemptionsLapsed = 0; ///< Plans of which a part of the room was not used in time.
    std::uint64_t preempted = 0; ///< Runs that such plans stopped.
    std::uint64_t preemptedCoreMs = 0; ///< Their work that has to be repeated, as expected by the plans, in core-milliseconds.
    std::uint64_t holds = 0;
    std::uint64_t adviceCalls = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t evacuationsBegun = 0; ///< Also counted while this daemon does not lead.
    std::uint64_t evacuationsEnded = 0; ///< Also counted while this daemon does not lead.
    std::uint64_t localityWaits = 0; ///< Steps that have waited for a place although they could have started elsewhere.
    std::uint64_t startsStoppedInEvacuation = 0; ///< Unconfirmed starts in an evacuated failure domain that were stopped.
    AdviceUsage advice;
    WorkUsage work;
    std::uint64_t speedObservations = 0; ///< Observed durations of runs.
    std::uint64_t speedClassChanges = 0; ///< Workers that were assigned another class of speed.
    std::uint64_t startsOnSlowWorkers = 0; ///< Starts on workers of the classes Slow and Degraded.
};

/// Usable workers by class of speed.
using SpeedClassCounts = std::array<std::size_t, speedClassCount>;

/// Expected duration and deadlines of the tasks of one step, corrected by learned durations.
struct StepTiming {
    Duration duration{0}; ///< Of a task on a worker of factor 1.
    Duration following{0}; ///< Duration of the steps that follow directly.
    TimePoint softDeadline;
    TimePoint firmDeadline;
};

struct SpeedPreference;

/// Schedules the jobs of a cell: the functions report events, and tick() returns the resulting orders.
class CellScheduler
{
public:
    explicit CellScheduler(const CellSchedulerSettings &settings, DecisionLog log = nullptr);

    void setConfig(std::shared_ptr<const CellConfig> config, TimePoint now);
    /// Replaces the set of evacuated failure domains, in which no task may start. Unlike the rest of the state, it is kept across leaderships.
    void setEvacuatedDomains(const std::set<FailureDomain> &domains, TimePoint now);
    /// Starts a leadership with an empty state. Leases granted by previous leaders have expired by @p leasesExpiredBy.
    void beginEpoch(Epoch epoch, TimePoint leasesExpiredBy);
    /// Adds the stored workers of previous leaders. To be called before finishLoading().
    void addPreviousWorkers(const std::vector<WorkerRecord> &records);
    /// Adds a stored job. Used between beginEpoch() and finishLoading() for the jobs of previous leaders. @p progress is null if none is
    /// stored. @p mayHaveStarted: a previous leader may have started the job.
    void load(const CellJob &job, const JobProgress *progress, bool cancelled, bool mayHaveStarted, const CellTime &time);
    /// The leader's row was renewed by a write that was sent at @p sent. Jobs that were stored before may start now. The next leader
    /// compares the versions of the rows: it assumes that a job was never started if its row is newer than the last write of the leader's
    /// row. A renewal must therefore precede the start.
    void onLeadershipRenewed(TimePoint sent);
    /// Whether jobs wait for the next renewal of the leader's row.
    [[nodiscard]] bool needsLeadershipRenewal() const;
    /// Adds a job whose stored progress has a final state.
    void loadFinal(const JobId &id, const JobProgress &progress, TimePoint now);
    /// All rows have been read. From now on unknown runs on workers are stopped as obsolete.
    void finishLoading(TimePoint now);
    [[nodiscard]] bool isLoaded() const;

    [[nodiscard]] AdmissionDecision submit(const CellJob &job, const CellTime &time);
    /// The job's row is stored. Adds the job if it is unknown.
    void onJobStored(const CellJob &job, const CellTime &time);
    /// Like onJobStored(), for a job that was passed to submit(). Returns false if the job is unknown.
    [[nodiscard]] bool onKnownJobStored(const JobId &id, TimePoint now);
    /// The job's row was definitely not written. Drops the job.
    void onJobDropped(const JobId &id);
    /// The cancellation is stored.
    void onCancelStored(const JobId &id, TimePoint now);
    /// Returns CellJobState::Unknown if the job is unknown or not stored.
    [[nodiscard]] CellJobState state(const JobId &id) const;
    [[nodiscard]] WorkspaceId workspaceOf(const JobId &id) const;

    /// Applies the complete registry of workers.
    void onRegistry(const std::vector<WorkerInfo> &workers, const CellTime &time);
    /// Ends the write of CellOrders::workersToStore.
    void onWorkersStored(const std::vector<WorkerRecord> &records, bool stored);
    void onStartAnswer(const StartOrder &order, const OrderAnswer &answer, const CellTime &time);
    void onStopAnswer(const StopOrder &order, const OrderAnswer &answer, const CellTime &time);
    void onHoldAnswer(const HoldOrder &order, const HoldReply *reply, TimePoint sent, const CellTime &time);
    /// Sets the daemons that can call the policy service.
    void setAdviceDaemons(const std::vector<DaemonId> &daemons);
    void onAdvice(std::uint64_t call, const AdviceAnswer &answer, TimePoint sent, TimePoint now);

    /// Makes all decisions that are due and returns the resulting orders. To be called after events and every few tens of
    /// milliseconds.
    [[nodiscard]] CellOrders tick(const CellTime &time);

    /// Takes the progress of up to @p maxWrites jobs that has to be stored, final states first. @p isWanted selects jobs; null: all.
    [[nodiscard]] std::vector<ProgressWrite> takeProgress(std::size_t maxWrites, const std::function<bool(const JobId &)> &isWanted = nullptr);
    void onProgressStored(const JobId &id, std::uint64_t revision);
    /// The write failed. takeProgress() will return the job again.
    void onProgressFailed(const JobId &id);
    /// The store already contains a final state from another leader.
    void onAlreadyFinal(const JobId &id, CellJobState state, TimePoint now);
    /// Jobs whose final state has to be stored, except those with a write in flight.
    [[nodiscard]] std::vector<JobId> jobsWithUnstoredFinalState() const;

    [[nodiscard]] std::map<RouteName, int> queuedByRoute() const;
    [[nodiscard]] const CellCounters &counters() const;
    [[nodiscard]] const WorkerTable &workers() const;
    [[nodiscard]] std::size_t unfinishedJobs() const;
    [[nodiscard]] const WorkerSpeeds &speeds() const;
    [[nodiscard]] SpeedClassCounts speedClassCounts() const;
    /// Returns a log line about the waiting work and what it waits for.
    [[nodiscard]] std::string describeLoad(TimePoint now);

private:
    struct PlacementPass;
    /// A waiting step with its sort key, see priorityKey().
    using OrderedStep = std::pair<std::pair<int, TimePoint>, StepInstance *>;
    /// Free capacity of a usable worker.
    struct FreeRoom {
        const Worker *worker;
        Resources free;
    };
    /// How many tasks of a gang fit on its allowed workers.
    struct GangRoom {
        int now = 0; ///< Beside the reservations of other steps.
        int withReserved = 0; ///< If nothing were reserved.
        int whenIdle = 0; ///< If the workers had no runs.
    };
    enum class CandidateSet {
        AllowedWorkers, ///< All workers that the policy service allows.
        WorkersWithValidTicket, ///< Only allowed workers with a valid ticket.
        AllowedWorkersWithReleases, ///< With the capacity that running tasks will release.
    };

    void log(const std::string &line) const;
    /// Whether a task of the job is known to have started on a worker.
    [[nodiscard]] bool hasRun(const JobEntry &entry) const;
    void markStored(JobEntry &entry, TimePoint now);
    [[nodiscard]] bool mayStart(const JobEntry &entry) const;
    /// Returns the rules of the job's route in the configuration in force, else the last known ones; null if none are known.
    [[nodiscard]] const RouteRules *rulesOf(const CellJob &job) const;
    /// Returns the maximum of the job's workspace; see rulesOf(). Without any limit if none is known.
    [[nodiscard]] Resources workspaceMaximum(const CellJob &job) const;
    /// Adds the job if it is unknown.
    JobEntry &addJob(const CellJob &job, const CellTime &time);
    /// Decides what had to wait for the rules of a job: its deadlines, and whether it has failed.
    void applyRules(JobEntry &entry, const RouteRules &rules, TimePoint now);
    void onRunEvents(const std::vector<RunEvent> &events, const CellTime &time);
    /// Passes the observed durations of runs to m_speeds.
    void learnDurations();
    /// Assigns the present classes to the workers and logs changes, a bounded number of them.
    void updateSpeedClasses(TimePoint now);
    /// Returns the expected duration and the deadlines of the step's tasks.
    [[nodiscard]] StepTiming timingOf(const StepInstance &step) const;
    /// Computes StepInstance::expectedDuration if that is due.
    void updateExpectedDuration(StepInstance &step, TimePoint now) const;
    /// Returns which classes of workers suit the step's tasks if they start now.
    [[nodiscard]] SpeedPreference speedPreference(const StepInstance &step, TimePoint now) const;
    /// Returns the worker's factor, or that of its class while few of its runs have been observed.
    [[nodiscard]] double factorOf(const Worker &worker) const;
    /// Whether the step may use a degraded worker although other workers could run it.
    [[nodiscard]] static bool mayUseDegraded(const StepInstance &step, const SpeedPreference &preference, const Worker &worker, TimePoint now);
    /// Returns the classes of workers that a gang may use now; it ends earlier if it waits for others than these.
    [[nodiscard]] std::array<bool, speedClassCount> classesForGang(const StepInstance &step, const SpeedPreference &preference);
    void removeOtherClasses(const std::array<bool, speedClassCount> &classes, std::vector<CandidateWorker> &candidates) const;
    /// Like fitGang(), on workers of one class if the gang fits there.
    [[nodiscard]] std::optional<std::vector<TaskAllocation>>
    fitGangBySpeed(const StepInstance &step, const SpeedPreference &preference, const std::vector<CandidateWorker> &candidates) const;
    /// Counts crashes of workers under the tasks that ran there, and gives up the tasks that have caused them.
    void onWorkersCrashed(const CellTime &time);
    void onRunEnded(const RunEvent &event, JobEntry &entry, StepInstance *step, const CellTime &time);
    void onDiscoveredRun(const DiscoveredRun &discovered, const CellTime &time);
    void onUnmatchedEnd(const WorkerId &worker, const EndedEntry &end, const CellTime &time);
    void recordHealth(Worker &worker, const JobId &job, bool succeeded, TimePoint now);
    /// Stops all members of a gang, because one of them has ended or cannot be placed.
    void stopGang(StepInstance &step, TimePoint now);
    void stopTask(const StepInstance &step, int index, TimePoint now);
    void stopRuns(const JobId &job, TimePoint now);
    /// Records the revision of the job that has to be stored before the end can be acknowledged.
    void setRequiredRevision(Worker &worker, EndNumber number, const JobEntry *entry);
    void acknowledgeEnds();

    /// Adds due holds to the orders, retries unanswered starts and stops runs on draining workers.
    void sendHoldsAndRetries(CellOrders &orders, const CellTime &time, bool checkRuns);
    void retryStarts(Worker &worker, CellOrders &orders, TimePoint now);
    /// Logs evacuated failure domains in which no worker is known, each once.
    void logUnknownEvacuatedDomains();
    void evacuateDrainingWorker(Worker &worker, TimePoint now);
    void runPlacementPass(CellOrders &orders, const CellTime &time);
    /// Whether the step may be placed now, apart from room for it.
    [[nodiscard]] bool isSchedulable(const StepInstance &step) const;
    /// Since when no task of the step has been at work; of a service, since when one of its tasks has not.
    [[nodiscard]] static TimePoint waitsSince(const StepInstance &step);
    /// Whether the step has waited so long that it comes first if it has room. @p isHalfEmpty: less than half of the cell is allocated.
    [[nodiscard]] bool isStarvationDue(const StepInstance &step, bool isHalfEmpty, TimePoint now) const;
    /// Sets StepInstance::isStarving for the steps that have waited longest and can start while the cell has room, so that none waits for ever.
    void selectStarvingSteps(const std::vector<StepInstance *> &steps, TimePoint now) const;
    /// Moves late gangs before steps of the lowest priority that can wait for them.
    void rankLateGangsBeforeSlack(std::vector<OrderedStep> &steps, TimePoint now) const;
    /// Moves the starving steps to the front.
    void rankStarvingStepsFirst(std::vector<OrderedStep> &steps, TimePoint now) const;
    /// Leaves the most urgent of the ordered steps and, of the others, those that have waited longest for their turn in such a pass.
    static void limitToTurns(std::vector<OrderedStep> &steps, bool isFullPass, TimePoint now);
    void placeTasks(StepInstance &step, PlacementPass &pass);
    [[nodiscard]] static bool isWaitingGang(const StepInstance &step);
    /// Whether this pass looks for room for the waiting gang. With many waiting gangs only full passes do, the later ones by turns, since looking
    /// takes the time of hundreds of candidates.
    [[nodiscard]] bool isGangDue(StepInstance &step, PlacementPass &pass);
    /// Reserves again what the gang reserved at its last turn.
    void reapplyReservations(const StepInstance &step, PlacementPass &pass) const;
    void placeGang(StepInstance &step, PlacementPass &pass);
    /// Renews the tickets that the gang needs for its forecast start, unless that is too early.
    void renewTicketsForGang(StepInstance &step, const GangForecast &forecast, const std::vector<CandidateWorker> &candidates, TimePoint now);
    void renewTickets(StepInstance &step, const std::vector<WorkerId> &workers, TimePoint now);
    /// Whether the step may wait for a place where its work takes less time.
    [[nodiscard]] bool mayWaitForPlace(const StepInstance &step) const;
    /// Whether the step waits for a place that is expected to have room at @p placeFree. Logs the first wait of a step.
    [[nodiscard]] bool waitsForPlace(StepInstance &step, TimePoint placeFree, const std::string &place, TimePoint now);
    /// Times at which the step's tasks are expected to find room on their preferred rack.
    [[nodiscard]] std::vector<TimePoint> slotsOnPreferredRack(const StepInstance &step, const std::vector<CandidateWorker> &candidates, PlacementPass &pass);
    [[nodiscard]] std::map<std::string, std::vector<CandidateWorker>> candidatesByRack(const std::vector<CandidateWorker> &candidates) const;
    /// Allocates a gang on the workers of one rack; empty if it fits on none.
    [[nodiscard]] std::optional<std::vector<TaskAllocation>> fitOnOneRack(const StepInstance &step, const std::vector<CandidateWorker> &candidates) const;
    /// Whether a gang that could start on several racks waits for one rack, which it reserves in that case.
    [[nodiscard]] bool waitsForOneRack(StepInstance &step, PlacementPass &pass);
    /// Limits the tasks of each candidate so that no reservation is delayed.
    void
    limitToReservations(const StepInstance &step, const SpeedPreference &preference, std::vector<CandidateWorker> &candidates, const PlacementPass &pass) const;
    /// Forgets preemptions that are over. To be called at the begin of each pass.
    void beginPreemptionPass(TimePoint now);
    void refillPreemptionBudget(TimePoint now);
    /// Whether room is reserved for the step because runs were stopped for it.
    [[nodiscard]] bool hasPendingPreemption(const StepInstance &step) const;
    /// For a step that could not start for lack of room: stops runs of lower priorities, if that is worthwhile, and reserves the room of those
    /// that were stopped. Returns whether room is reserved.
    bool preemptFor(StepInstance &step, PlacementPass &pass);
    void planPreemptionFor(StepInstance &step, PlacementPass &pass);
    /// Whether runs may be stopped for the step, apart from the room that is free.
    [[nodiscard]] bool mayPreempt(StepInstance &step, const PlacementPass &pass) const;
    /// Whether the run may be stopped for a step of @p priority; describes it in @p result if so.
    [[nodiscard]] bool isPreemptible(const Run &run, int priority, TimePoint now, PreemptibleRun &result);
    /// Reserves less room after a task of the step has started.
    void onStartAfterPreemption(const StepInstance &step, const Worker &worker);
    void placeMissingMembers(StepInstance &step, PlacementPass &pass);
    /// Returns how many tasks of the gang fit on its @p allowed workers; @p availableNow are the same workers, limited by limitToReservations().
    [[nodiscard]] GangRoom
    roomForGang(const StepInstance &step, const std::vector<CandidateWorker> &allowed, const std::vector<CandidateWorker> &availableNow) const;
    /// Asks about further workers for a gang that does not fit, if the answer is expected to let it start earlier. @p reserved is the start for which
    /// it has reserved capacity, if any.
    void askFurtherForGang(StepInstance &step, const GangRoom &room, const std::optional<GangForecast> &reserved, TimePoint now);
    void reserveForGang(StepInstance &step, const std::vector<CandidateWorker> &candidates, PlacementPass &pass);
    void startTask(StepInstance &step, int index, Worker &worker, RunNumber run, PlacementPass &pass);
    /// Whether the next run of the task may start only on a worker whose other runs, if any, are suspects as well.
    [[nodiscard]] bool needsIdleWorker(const StepInstance &step, int index, TimePoint now) const;
    /// Reserves the worker that is the first to have no runs for a task that needs one, so that other tasks do not keep it in use.
    void reserveIdleWorker(const StepInstance &step, const std::vector<CandidateWorker> &candidates, PlacementPass &pass) const;
    void estimateUnreportedUsage(TimePoint now);
    [[nodiscard]] RunNumber nextRun(const CellTask &task) const;
    [[nodiscard]] std::vector<CandidateWorker> candidatesFor(StepInstance &step, PlacementPass &pass, CandidateSet candidateSet);
    void addCandidate(const StepInstance &step, const Worker &worker, PlacementPass &pass, bool withReleases, std::vector<CandidateWorker> &candidates) const;
    [[nodiscard]] bool isEligible(const StepInstance &step, const Worker &worker) const;
    [[nodiscard]] bool isWithinWorkspaceMaximum(const StepInstance &step, int tasks) const;
    /// Queues a call about workers that the step has not asked about, unless there is none or such a call is pending.
    void requestAdvice(StepInstance &step, TimePoint now);
    void queueAdviceCall(StepInstance &step, bool isRenewal, TimePoint now);
    /// Sends queued calls to the policy service.
    [[nodiscard]] std::vector<AdviceCall> dispatchAdvice(TimePoint now);
    /// The place of the call in the order of the waiting calls; empty if the step waits for no start any more.
    [[nodiscard]] std::optional<AdviceRank> adviceRank(const AdviceCall &call, TimePoint now) const;
    /// Logs a fault of an answer of the policy service, a limited number per second.
    void logAdviceError(const std::string &fault);
    /// Chooses the workers that a call names. Returns false if the call would be useless.
    [[nodiscard]] bool prepareAdviceCall(AdviceCall &call, TimePoint now);
    void prefetchAdvice(TimePoint now);
    /// Returns the steps that have waited for some time without any run of their job, although half of the cell is free and has room for twice
    /// the tasks that they need for a start.
    [[nodiscard]] std::set<const StepInstance *> stalledSteps(const std::vector<StepInstance *> &steps, TimePoint now) const;
    /// Returns the rooms of the usable workers that are not full.
    [[nodiscard]] std::vector<FreeRoom> freeRooms() const;
    /// Returns how many tasks of the step could start in the rooms, except for workers that the policy service has refused; at most @p limit.
    [[nodiscard]] int startableTasks(const StepInstance &step, const std::vector<FreeRoom> &rooms, int limit, TimePoint now) const;
    /// Returns how many more tasks the step may have on the worker, whatever its room.
    [[nodiscard]] static int maxFurtherTasks(const StepInstance &step, const Worker &worker);
    /// Share of the CPU of the usable workers that is allocated, from 0 to 1; 1 if there are none.
    [[nodiscard]] double allocatedShare() const;
    void logLongWaits(TimePoint now);
    [[nodiscard]] std::string describeWait(const StepInstance &step, TimePoint now) const;
    /// Workers to name in a question of the step.
    [[nodiscard]] std::vector<WorkerId> workersToAsk(const StepInstance &step, TimePoint now);
    /// Workers to name in a question of a gang whose allowed workers lack room for @p missing tasks.
    [[nodiscard]] std::vector<WorkerId> furtherWorkersToAsk(const StepInstance &step, int missing, TimePoint now) const;
    /// Whether the allowed ones of the workers that the gang has not asked about are expected to have room for @p missing tasks.
    [[nodiscard]] bool wouldFurtherWorkersSuffice(const StepInstance &step, int missing) const;
    /// Expected time until a call of the step that is queued now is answered, if it is a short one.
    [[nodiscard]] Duration expectedTimeToAnswer(const StepInstance &step, TimePoint now) const;
    /// Order in which a call names the workers by their class of speed; lower comes first.
    [[nodiscard]] static int speedOrderToAsk(const StepInstance &step, const SpeedPreference &preference, const Worker &worker);
    [[nodiscard]] const AdviceSettings *adviceSettings(const StepInstance &step) const;
    /// Returns the expected duration of a step's first call to the policy service.
    [[nodiscard]] Duration firstCallDuration(const RouteName &route, const AdviceSettings &settings) const;
    void finishReconciliation(TimePoint now);
    /// Sort key of the waiting steps, most urgent first: the route's priority plus an offset for late work and for work above the
    /// workspace's rate, then the latest start that meets the objective.
    [[nodiscard]] std::pair<int, TimePoint> priorityKey(const StepInstance &step, TimePoint now) const;
    /// What a run of the step that starts now can still achieve.
    [[nodiscard]] Timeliness timelinessOf(const StepInstance &step, TimePoint now) const;
    /// Logs once that a waiting gang can no longer start in time, with what it has waited for.
    void logLateStart(StepInstance &step, TimePoint latestStart, TimePoint now) const;
    /// Counts the CPU time of a run that has ended.
    void countWork(const RunEvent &event, TimePoint now);
    /// The tier of the step, see priorityKey().
    [[nodiscard]] int tierOf(const StepInstance &step, TimePoint now) const;
    /// Returns the tasks of the step that wait for a start, as input to the prediction.
    [[nodiscard]] WaitingWork waitingWorkOf(const StepInstance &step, TimePoint now) const;
    /// Returns the steps of a new job that need no earlier step, as input to the prediction.
    [[nodiscard]] WaitingWork firstWorkOf(const CellJob &job, const RouteRules &rules, bool overRate) const;
    /// Returns the predicted wait of a new job in the tier of @p first.
    [[nodiscard]] Duration predictedWait(const WaitingWork &first, TimePoint now);
    /// Whether the workspace's maximum allows @p further to be used in addition.
    [[nodiscard]] bool isWithinMaximum(const CellJob &job, const Resources &further) const;
    /// Returns the largest share of a resource of the workspace's maximum that @p demand takes; 0 without a maximum.
    [[nodiscard]] double shareOfMaximum(const CellJob &job, const Resources &demand) const;
    void measureStartRate(TimePoint now);
    [[nodiscard]] bool shouldReconsider(const StepInstance &step) const;

    CellSchedulerSettings m_settings;
    DecisionLog m_log;
    std::shared_ptr<const CellConfig> m_config;
    Epoch m_epoch;
    bool m_loaded = false;
    TimePoint m_leasesExpiredBy; ///< When all leases of previous leaders have expired; zero once their runs are all known or gone.
    JobTable m_jobs;
    WorkerTable m_workers;
    WorkerSpeeds m_speeds;
    TimePoint m_nextSpeedUpdate;
    int m_degradedWorkers = 0; ///< As of the last update of the classes.
    TimePoint m_nextSpeedLog; ///< Earliest time of the next log line about the classes.
    AdviceDispatcher m_advice;
    struct TrackedMaximum {
        Resources maximum;
        TimePoint since;
    };
    /// Maximum of each workspace and since when it has had this value. Includes workspaces with unfinished jobs that the configuration lacks.
    std::map<WorkspaceId, TrackedMaximum> m_workspaceMaxima;
    std::map<RouteName, RouteRules> m_formerRoutes; ///< Last rules of the routes with unfinished jobs that the configuration lacks.
    std::set<JobId> m_jobsWithoutRules; ///< Jobs for which rulesOf() was null.
    std::set<FailureDomain> m_unknownDomainsLogged; ///< Evacuated failure domains without a known worker that have been logged.
    std::map<WorkspaceId, Resources> m_discoveredUsage; ///< Demand of previous leaders' runs discovered in this term, including runs that have ended.
    std::map<WorkspaceId, Resources> m_unreportedUsage; ///< Upper bound on the usage on workers that have not answered this leader yet.
    std::map<WorkspaceId, Resources> m_usage; ///< Total demand of all known runs, by workspace.
    struct TokenBucket {
        double tokens = 0;
        TimePoint refilledAt;
    };
    /// Room that is reserved for a step because runs were stopped for it.
    struct PendingPreemption {
        std::vector<TaskAllocation> allocations;
        TimePoint expectedRoom;
        TimePoint deadline; ///< The reservation lapses.
    };
    /// A new leader starts without any: the stopped tasks wait like others.
    struct Preemptions {
        std::map<StepRef, PendingPreemption> pending;
        double milliCores = 0; ///< Token bucket: CPU of the runs that may be stopped now.
        TimePoint refilledAt;
        TimePoint linesSince; ///< Begin of the second in which log lines are counted.
        int lines = 0;
    };
    Preemptions m_preemptions;
    std::map<WorkspaceId, TokenBucket> m_tokenBuckets; ///< Token buckets of the workspaces' rates.
    TimePoint m_renewedAt; ///< Send time of the last confirmed renewal of the leader's row.
    TimePoint m_lastJobStored; ///< When a job was last marked as stored.
    std::set<JobId> m_progressWritesInFlight;
    std::vector<DiscoveredRun> m_discoveredBeforeLoad; ///< Runs discovered before finishLoading().
    std::vector<std::pair<WorkerId, EndedEntry>> m_unmatchedEndsBeforeLoad;
    bool m_workerRecordsFailed = false; ///< The last write of the worker records may not have taken effect.
    bool m_workerRecordsInFlight = false;
    TimePoint m_nextWorkerRecords; ///< Earliest time of the next write of the worker records.
    bool m_progressWasStored = false; ///< Progress was stored since ends were last acknowledged.
    std::uint64_t m_shuffleSeed = 0; ///< Varies the order of equally free workers between advice calls.
    AdmissionForecast m_forecast; ///< Of the waiting work as of m_waitingWorkAt, and of the jobs admitted since.
    AllowedShares m_allowedShares;
    int m_adviceErrorsLogged = 0; ///< Faulty answers of the policy service that were logged since the last housekeeping.
    double m_startRate = 0; ///< Starts per second in the last time span, or the moving average if that is higher.
    TimePoint m_startRateSince; ///< Begin of the time span over which starts are counted.
    std::uint64_t m_startsAtSpanBegin = 0; ///< m_counters.starts at m_startRateSince.
    TimePoint m_waitingWorkAt;
    TimePoint m_nextRunCheck;
    TimePoint m_nextFullPass;
    TimePoint m_nextHousekeeping;
    CellCounters m_counters;
};

} // namespace KingCupLadder
