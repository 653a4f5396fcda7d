// The leader's table of the cell's workers: clocks, leases and every run that may exist on them. A run occupies capacity of its
// worker from the time its start is sent until it is proven that it does not run and never will.
#pragma once

#include "celljob.h"
#include "crashhistory.h"
#include "domainevacuations.h"
#include "runproof.h"
#include "workerleases.h"
#include "workerprotocol.h"
#include "workerspeeds.h"
#include "workusage.h"

#include <algorithm>
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

/// Timeouts and margins of the worker protocol.
struct WorkerTableSettings {
    LeaseSettings leases;
    Duration startValidity{2000}; ///< A start order that arrives later than this after it was sent has no effect.
    Duration unresponsiveAfter{1500}; ///< A worker gets no new work after this time without an answer.
    /// A run that is still listed so long after its start has not crashed its worker by starting.
    Duration startSurvival{200};
    Duration soonAfterStart{1000}; ///< A crash within this time after the start of a run counts against its task.
};

enum class RunPhase {
    Starting, ///< The start was sent and has not been confirmed.
    Running,
    Stopping, ///< A stop is due or sent. The run is kept until its end is reported or it is known not to exist.
};

/// A run that may have existed on a worker when the worker crashed or fell silent.
struct RunOnCrashedWorker {
    TaskRef task;
    RunNumber number;
    WorkerId worker;
    WorkerCrash crash;
    bool isRetracted = false; ///< The worker has answered again: it was cut off.
    bool mayBeCause = false; ///< The run was started soon before, and none of the worker's runs is a more probable cause.
    std::size_t runsOnWorker = 0; ///< Including this one.
};

/// One run of one task on one worker.
struct Run {
    TaskRef task;
    RunNumber number;
    Resources demand; ///< Zero if unknown.
    bool isDemandKnown = true;
    bool isGangMember = false;
    WorkspaceId workspace;
    RunPhase phase = RunPhase::Starting;
    StartOrder order; ///< Kept for retries; empty for a run that was discovered on the worker.
    int startsSent = 0;
    int startsInFlight = 0; ///< Starts that have neither been answered nor timed out; at most startsSent.
    bool listed = false; ///< The worker has listed the run in this incarnation.
    WorkerClockMs confirmedClock = 0; ///< The worker's clock when it confirmed or first listed the run; 0: not yet.
    RunIsolation isolation = RunIsolation::None;
    bool isIsolated = false; ///< No other run may be started on the worker now.
    /// The run may have existed in an earlier incarnation, which crashed. Reported unless the present incarnation turns out to have the run.
    std::optional<RunOnCrashedWorker> pendingCrash;
    bool startUnanswered = false; ///< A start got no answer and may still take effect.
    bool mayHaveRunBefore = false; ///< An earlier incarnation of the worker may have run it, and has taken its lists with it.
    TimePoint sentAt;
    TimePoint confirmedAt; ///< When the worker confirmed the start or, while stopping, the stop.
    bool stopInFlight = false;
    bool stopConfirmed = false;
    TimePoint nextStop; ///< Earliest time of the next stop order.
    bool isLongRunning = false; ///< Ends only when it is stopped, whatever expectedEnd says.
    int priority = 0; ///< Of the route when the run was started or discovered.
    Timeliness timeliness = Timeliness::InTime; ///< When the run was started or discovered.
    TimePoint expectedEnd;
    int percent = 0;
    int load = 0;
    std::string checkpoint;
    TimePoint percentChangedAt; ///< When percent last changed.
    Duration expectedDuration{0}; ///< Of the whole run on its worker, as of its start; zero: not known.
    WorkerClockMs observedClock = 0; ///< The worker's clock at the end of the part of the run that has been observed; 0: nothing is known.
    int observedPercent = 0; ///< Progress at observedClock.

    /// Whether the run has ended with its worker's incarnation: that one listed it, and no start of it can reach the next one.
    [[nodiscard]] bool isLostWithIncarnation() const
    {
        return listed && startsInFlight == 0 && !startUnanswered;
    }
};

using RunKey = std::pair<TaskRef, RunNumber>;

/// A reported end whose effects have to be stored before it is acknowledged.
struct UnacknowledgedEnd {
    EndNumber number;
    JobId job;
    std::uint64_t revision = 0; ///< Revision of the job that has to be stored; 0: none.
};

/// What a leader stores about a worker on which it may have runs, so that the next leader knows which jobs may still run there.
struct WorkerRecord {
    WorkerId id;
    /// The worker was draining or did not answer when the record was made, and gets no new work before a record without this flag is
    /// stored. Until then only the jobs below can have runs on it.
    bool isClosed = false;
    std::vector<JobId> jobs; ///< Only for a closed worker: jobs with runs that may exist there, or with ends whose effects may not be stored.
};

/// Adds the records of one leadership to those of others. A worker is closed only if every leadership that recorded it says so: a row of a
/// former leader that was written late can make the next leader wait longer, and never less.
void mergeWorkerRecords(const std::vector<WorkerRecord> &records, std::map<WorkerId, WorkerRecord> &merged);

/// Identifies a worker within one WorkerTable; never reused.
using WorkerIndex = std::size_t;

/// A worker and the runs that may exist on it.
struct Worker {
    WorkerIndex index = 0;
    WorkerInfo info;
    bool registered = false; ///< Currently listed in the registry.
    bool replaced = false; ///< Another worker has taken its place on its VM, so nothing runs on it.
    /// The record that this leader has stored allows any run, so that the next leader waits for the worker. Records of earlier leaders do not
    /// count: a late write of their leader may still replace them.
    bool idStored = false;
    bool recordedAsClosed = false; ///< The worker was closed when records were last made.
    std::optional<std::set<JobId>> recordedJobs; ///< The only jobs that the last record allows on the worker; empty: any job.
    std::optional<std::set<JobId>> previousJobs; ///< Jobs of previous leaders that may run there, if the worker was recorded as closed.
    bool listsRead = false; ///< This leader has read the complete lists of this incarnation.
    bool mayHaveUnreadEnds = false; ///< The last reply of this incarnation may have omitted ends, so a run that is not listed may have ended in any way.
    WorkerLeases leases{LeaseSettings()}; ///< Of the runs in the table and of those that the worker has not listed.
    WorkerClockMs latestClock = 0; ///< Latest time on the worker's clock in an answer that names this incarnation.
    WorkerIncarnation registeredIncarnation; ///< That of the registry entry from which capacity and labels were read.
    TimePoint lastAnswer;
    TimePoint unresponsiveSince; ///< When the first hold since the last answer failed; zero: none.
    /// By then the runs of earlier leaders are over if no incarnation answers this leader; empty: no record of an earlier leader names the worker.
    std::optional<TimePoint> earlierRunsOverBy;
    bool holdInFlight = false;
    TimePoint nextHold;
    EndNumber lastSeenEnd; ///< Highest end that has been processed.
    EndNumber acknowledged; ///< Highest end whose effects are stored.
    std::deque<UnacknowledgedEnd> ends; ///< Ends above acknowledged, ordered by number.
    std::map<RunKey, Run> runs;
    Resources allocated; ///< Total demand of the runs.
    int runsOfUnknownDemand = 0; ///< The worker gets no new work while there are any.
    int isolatedRuns = 0; ///< Runs for which Run::isIsolated. The worker gets no new work while there are any.
    TimePoint expectedDeparture; ///< While draining: the worker may be gone from then on.
    TimePoint blockedUntil; ///< The worker gets no new work until then.
    int failureStreak = 0; ///< Failed runs since the last success; consecutive ones of the same job count once.
    JobId lastFailedJob;
    int unansweredStarts = 0; ///< Consecutive starts without an answer.
    std::uint64_t availabilityGeneration = 1; ///< WorkerTable::generation() when free capacity last grew or the worker last became usable.
    bool wasUsable = false; ///< Result of isUsable() at the last call of updateUsability().
    bool isEvacuated = false; ///< The operator has evacuated the failure domain: the worker gets no new work and no start again.
    TimePoint returnsAt; ///< After an evacuation of its failure domain, the worker gets no new work until then.
    TimePoint returnPlannedFor; ///< End of the evacuation for which returnsAt was planned.
    WorkerSpeed speed; ///< Of this incarnation, as of the last update of the classes.
    TimePoint nextProbe; ///< While degraded: earliest start of a run that shows whether the worker is still slow.

    /// Whether this incarnation has answered a hold of this leader.
    [[nodiscard]] bool hasAnswered() const
    {
        return listsRead || mayHaveUnreadEnds;
    }

    /// Whether the last hold of this leader was answered.
    [[nodiscard]] bool isAnswering() const
    {
        return hasAnswered() && unresponsiveSince == TimePoint();
    }

    /// Whether a run that needs isolation may start: the other runs, if any, are suspects too and have survived their start.
    [[nodiscard]] bool isFitForIsolation() const
    {
        return isolatedRuns == 0 && std::all_of(runs.begin(), runs.end(), [](const auto &entry) { return entry.second.isolation != RunIsolation::None; });
    }

    [[nodiscard]] Resources free() const
    {
        return runsOfUnknownDemand > 0 || isolatedRuns > 0 ? Resources{} : info.capacity - allocated;
    }
};

/// The outcome of a run.
struct RunEvent {
    enum class Kind {
        Ended, ///< In the worker's list of ended runs.
        NeverRan, ///< The start was rejected, or prevented by a stop.
        Lost, ///< It is over, and how it ended is not known.
    };
    Kind kind = Kind::Lost;
    RunProof::Kind proof = RunProof::Kind::ListedEnd;
    Run run;
    WorkerId worker;
    EndedEntry entry; ///< Only for Ended.
    OrderOutcome rejection = OrderOutcome::Done; ///< Why the start was rejected; only for NeverRan.
};

/// A run in a worker's list of running tasks that is not in the table.
struct DiscoveredRun {
    WorkerId worker;
    RunningEntry entry;
};

/// All workers known to the leader, including unregistered ones on which runs may exist.
class WorkerTable
{
public:
    explicit WorkerTable(const WorkerTableSettings &settings, DomainEvacuations evacuations = {});

    /// Applies the complete registry, read by a request sent at @p now or later. Unlisted workers are kept while runs may exist
    /// on them.
    [[nodiscard]] std::vector<RunEvent> onRegistry(const std::vector<WorkerInfo> &workers, TimePoint now);
    /// Adds workers of previous leaders. Unless they answer before, all their leases have expired at @p leasesExpiredBy.
    void addPrevious(const std::vector<WorkerRecord> &records, TimePoint leasesExpiredBy);
    /// Whether the stored records differ from what makeRecords() would return now in a way that matters: a registered worker has no
    /// record that allows runs, a worker has been closed, a record lacks a job that may run on its worker, or a recorded worker has been
    /// forgotten. A record that names a job too many is not outdated.
    [[nodiscard]] bool areRecordsOutdated(TimePoint now) const;
    /// Returns a record of every worker on which runs may exist. A worker that is recorded as closed gets no new work until another record of
    /// it is stored. Must not be called before the runs that the workers list have been adopted, since a record names only runs in the table.
    [[nodiscard]] std::vector<WorkerRecord> makeRecords(TimePoint now);
    /// The records are stored.
    void onRecordsStored(const std::vector<WorkerRecord> &records);

    [[nodiscard]] Worker *find(const WorkerId &id);
    [[nodiscard]] const Worker *find(const WorkerId &id) const;
    /// Null if the worker has been removed.
    [[nodiscard]] Worker *at(WorkerIndex index);
    [[nodiscard]] const Worker *at(WorkerIndex index) const;
    [[nodiscard]] std::map<WorkerId, Worker> &all();
    [[nodiscard]] const std::map<WorkerId, Worker> &all() const;

    /// Workers on which runs of the job may exist.
    [[nodiscard]] std::vector<Worker *> workersRunning(const JobId &job) const;

    /// Updates Worker::wasUsable and counts a change for each worker that became usable. To be called before each placement pass.
    void updateUsability(TimePoint now);
    /// Incremented whenever a worker gets more free capacity or becomes usable.
    [[nodiscard]] std::uint64_t generation() const;
    /// Whether new work may be sent to the worker.
    [[nodiscard]] bool isUsable(const Worker &worker, TimePoint now) const;

    /// Replaces the set of evacuated failure domains and returns what has changed.
    DomainEvacuations::Changes setEvacuatedDomains(const std::set<FailureDomain> &domains, TimePoint now);
    [[nodiscard]] const DomainEvacuations &evacuations() const;
    [[nodiscard]] std::vector<FailureDomain> evacuatedDomainsWithoutWorkers() const;
    /// Returns the usable workers and the runs of each failure domain as text for a log line.
    [[nodiscard]] std::string describeDomains(TimePoint now) const;

    /// Adds a new run and returns the order to send.
    [[nodiscard]] StartOrder addRun(Worker &worker, const Run &run, StartOrder order, TimePoint now);
    /// Returns the order of a run for a retry after a start without an answer; empty if the order's deadline has passed.
    [[nodiscard]] std::optional<StartOrder> retryStart(Worker &worker, Run &run, TimePoint now);
    [[nodiscard]] std::vector<RunEvent> onStartAnswer(const StartOrder &order, const OrderAnswer &answer, TimePoint now);
    void requestStop(Worker &worker, Run &run, TimePoint now);
    /// Returns stop orders that have to be sent or repeated now.
    [[nodiscard]] std::vector<StopOrder> dueStops(TimePoint now);
    [[nodiscard]] std::vector<RunEvent> onStopAnswer(const StopOrder &order, const OrderAnswer &answer, TimePoint now);
    [[nodiscard]] HoldOrder createHold(Worker &worker, Duration wait, TimePoint now);
    /// Applies a worker's reply to a hold that was sent at @p sent; @p reply is null if there was none. Appends running tasks that are not
    /// in the table to @p discovered, and ends of runs that are not in the table to @p unmatchedEnds.
    [[nodiscard]] std::vector<RunEvent> onHoldAnswer(const HoldOrder &order,
                                                     const HoldReply *reply,
                                                     TimePoint sent,
                                                     TimePoint now,
                                                     std::vector<DiscoveredRun> &discovered,
                                                     std::vector<EndedEntry> &unmatchedEnds);
    /// Removes runs on unresponsive workers whose leases are known to have expired.
    [[nodiscard]] std::vector<RunEvent> expireLeases(TimePoint now);
    /// Adds a run that was discovered on a worker. An empty @p demand means that it is unknown.
    Run &adopt(Worker &worker, const RunningEntry &entry, const std::optional<Resources> &demand, const WorkspaceId &workspace, TimePoint now);
    /// Returns the runs on workers that have crashed since the last call. The runs themselves are settled by other events.
    [[nodiscard]] std::vector<RunOnCrashedWorker> takeRunsOnCrashedWorkers();
    /// Returns the durations that were observed in the workers' lists since the last call.
    [[nodiscard]] std::vector<DurationObservation> takeObservedDurations();
    /// Advances Worker::acknowledged past the ends whose effects are stored.
    void advanceAcknowledged(Worker &worker, const std::function<bool(const UnacknowledgedEnd &)> &isStored);
    /// The jobs of previous leaders of which runs may exist, or may have ended, on workers whose lists this leader has not read completely;
    /// empty: any job.
    [[nodiscard]] std::optional<std::set<JobId>> jobsWithUnreportedRuns(TimePoint now) const;
    /// Upper bound on the resources of runs on workers that have not answered this leader: the capacity of these workers. For workers
    /// of unknown capacity the largest known capacity is assumed.
    [[nodiscard]] Resources unreportedCapacity(TimePoint now) const;

private:
    /// Updates Worker::isEvacuated, and plans the return of the workers whose evacuation has ended.
    void applyEvacuations(TimePoint now);
    void beginIncarnation(Worker &worker, WorkerIncarnation incarnation, TimePoint now, std::vector<RunEvent> &events);
    /// Removes a run and returns its outcome. No run is removed in any other way.
    [[nodiscard]] RunEvent release(Worker &worker, std::map<RunKey, Run>::iterator run, RunProof proof);
    void releaseAll(Worker &worker, RunProof proof, std::vector<RunEvent> &events);
    /// Whether another worker has started on the worker's VM and answers, and the worker itself does not.
    [[nodiscard]] std::optional<RunProof> proofOfReplacement(const Worker &worker, const std::map<VmId, WorkerId> &latestOnVm) const;
    [[nodiscard]] bool isAnswering(const WorkerId &id) const;
    /// Reports the worker's runs as runs under which it has crashed, unless it was about to leave anyway.
    void reportCrash(const Worker &worker, bool isProven);
    /// As reportCrash(), for a worker that is back under its id. A run that may exist in the new incarnation is reported once it is settled.
    void reportRestart(Worker &worker);
    /// Reports the runs of workers whose leases have expired as soon as their VM runs a new worker process.
    void explainExpiredLeases(const std::vector<WorkerInfo> &workers, TimePoint now);
    [[nodiscard]] std::vector<RunOnCrashedWorker> runsOnCrashed(const Worker &worker) const;
    [[nodiscard]] CrashTiming timingOf(const Worker &worker, const Run &run) const;
    void readEnds(Worker &worker, const HoldReply &reply, std::vector<RunEvent> &events, std::vector<EndedEntry> &unmatchedEnds);
    void
    readRunning(Worker &worker, const HoldReply &reply, TimePoint sent, TimePoint now, std::vector<RunEvent> &events, std::vector<DiscoveredRun> &discovered);
    /// Adds an observation if the run has progressed enough since the last one, or too little for the time that has passed.
    void observeProgress(const Worker &worker, Run &run, int percent, WorkerClockMs clock);
    /// Adds an observation of a run that has succeeded.
    void observeEnd(const Worker &worker, const Run &run, WorkerClockMs clock);
    /// Whether runs of previous leaders may exist on the worker, or may have ended there, without being listed in a reply to this leader.
    [[nodiscard]] static bool mayHaveUnreportedRuns(const Worker &worker, TimePoint now);
    /// Whether the worker may have runs of earlier leaders and has not answered this one.
    [[nodiscard]] static bool isAwaited(const Worker &worker, TimePoint now);
    /// Whether a worker whose runs are all known gets no new work, because it drains or has not answered for some time.
    [[nodiscard]] static bool isClosed(const Worker &worker, TimePoint now);
    /// Jobs of which runs are known on the worker, or of which it has reported ends whose effects may not be stored.
    [[nodiscard]] static std::set<JobId> knownJobs(const Worker &worker);
    /// Whether all that is known of the worker's runs is the record of a previous leader.
    [[nodiscard]] static bool isKnownFromRecord(const Worker &worker);

    WorkerTableSettings m_settings;
    [[nodiscard]] Worker &findOrAdd(const WorkerId &id);
    /// Returns the worker that answered an order after updating its clock; null if it is gone or has another incarnation.
    /// A start, or a hold that renews leases, was answered or timed out. Must be called once for each, also if the worker is another process by now.
    void endOrder(const WorkerId &id, WorkerIncarnation incarnation, bool isAnswered, TimePoint now);
    [[nodiscard]] Worker *findAnsweringWorker(const WorkerId &id, WorkerIncarnation incarnation, const OrderAnswer &answer, TimePoint now);

    std::map<WorkerId, Worker> m_workers;
    void incrementRunCount(const Worker &worker, const JobId &job);
    void decrementRunCount(const Worker &worker, const JobId &job);

    std::unordered_map<JobId, std::map<WorkerIndex, int>> m_runCounts; ///< Number of runs of each job on each worker; never zero.
    std::vector<Worker *> m_byIndex; ///< Points into m_workers; null for removed workers.
    std::uint64_t m_generation = 1;
    DomainEvacuations m_evacuations;
    bool m_forgotWorker = false; ///< A worker was removed since records were last made.
    std::vector<RunOnCrashedWorker> m_runsOnCrashedWorkers; ///< Not yet taken.
    std::vector<DurationObservation> m_observedDurations; ///< Not yet taken.
    /// Runs that were lost by the expiry of their leases.
    struct ExpiredLeases {
        VmId vm;
        WorkerIncarnation incarnation;
        TimePoint at;
        std::vector<RunOnCrashedWorker> runs;
    };
    std::map<WorkerId, ExpiredLeases> m_expiredLeases; ///< Of workers that have been silent since.
};

} // namespace KingCupLadder
