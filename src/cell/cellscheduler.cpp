// Jobs, admission and housekeeping of CellScheduler. Workers' answers are handled in cellruns.cpp, placement in cellplacement.cpp, steps that
// wait for long in cellstarvation.cpp and calls to the policy service in celladvice.cpp.
#include "cellscheduler_p.h"

#include <algorithm>
#include <climits>

namespace KingCupLadder {

namespace {

constexpr Duration housekeepingInterval{1000};
constexpr Duration waitingWorkInterval{50}; // Minimum interval between two computations of the waiting work.
constexpr Duration workerRecordsInterval{200}; // Minimum interval between two writes of the worker records, which are several KiB long.
constexpr Duration runCheckInterval{20}; // Interval of the checks for start retries, due stops and expired leases.
constexpr Duration startRateSpan{250}; // Length of the time spans over which starts are counted.
constexpr double startRateDecay = 0.7; // Weight of the previous average when a new span is added.
constexpr double admissionSafetyFactor = 0.8; // Maximum predicted wait as a fraction of the longest useful wait, since predictions are rough.
constexpr Duration busyWaitThreshold{400}; // Predicted wait above which workspaces are limited to their rate.

} // namespace

CellScheduler::CellScheduler(const CellSchedulerSettings &settings, DecisionLog log) : m_settings(settings), m_log(std::move(log)), m_workers(settings.workers)
{
}

void CellScheduler::log(const std::string &line) const
{
    if (m_log) {
        m_log(line);
    }
}

void CellScheduler::setConfig(std::shared_ptr<const CellConfig> config, TimePoint now)
{
    std::map<WorkspaceId, TrackedMaximum> maxima;
    std::map<RouteName, RouteRules> formerRoutes;
    for (const auto &[id, entry] : m_jobs.unfinishedEntries()) {
        const RouteRules *rules = config->route(entry->job.route) == nullptr ? rulesOf(entry->job) : nullptr;
        if (rules != nullptr) {
            formerRoutes.emplace(entry->job.route, *rules);
        }
        const auto maximum = m_workspaceMaxima.find(entry->job.workspace);
        if (maximum != m_workspaceMaxima.end()) {
            maxima.insert(*maximum);
        }
    }
    for (const Workspace &workspace : config->workspaces) {
        const auto known = m_workspaceMaxima.find(workspace.name);
        const bool same = known != m_workspaceMaxima.end() && known->second.maximum == workspace.maximum;
        maxima[workspace.name] = TrackedMaximum{workspace.maximum, same ? known->second.since : now};
    }
    for (const auto &[route, rules] : formerRoutes) {
        if (m_formerRoutes.count(route) == 0) {
            log("route " + route.value() + " is not in configuration " + std::to_string(config->version.value()) + "; its unfinished jobs keep its last rules");
        }
    }
    m_config = std::move(config);
    m_workspaceMaxima = std::move(maxima);
    m_formerRoutes = std::move(formerRoutes);
    for (const JobId &id : std::exchange(m_jobsWithoutRules, {})) {
        JobEntry *entry = m_jobs.find(id);
        const RouteRules *rules = entry != nullptr ? rulesOf(entry->job) : nullptr;
        if (rules != nullptr) {
            applyRules(*entry, *rules, now);
        } else if (entry != nullptr) {
            m_jobsWithoutRules.insert(id);
        }
    }
}

void CellScheduler::setEvacuatedDomains(const std::set<FailureDomain> &domains, TimePoint now)
{
    const DomainEvacuations::Changes changes = m_workers.setEvacuatedDomains(domains, now);
    for (const FailureDomain &domain : changes.begun) {
        ++m_counters.evacuationsBegun;
        log("evacuation of failure domain " + domain.value() + " begins: no task is started there");
    }
    for (const FailureDomain &domain : changes.ended) {
        ++m_counters.evacuationsEnded;
        m_unknownDomainsLogged.erase(domain);
        log("evacuation of failure domain " + domain.value() + " ends: its workers return within " + std::to_string(evacuationReturnTime.count()) + " ms");
    }
}

void CellScheduler::logUnknownEvacuatedDomains()
{
    for (const FailureDomain &domain : m_workers.evacuatedDomainsWithoutWorkers()) {
        if (m_unknownDomainsLogged.insert(domain).second) {
            log("evacuation of failure domain " + domain.value() + " has no effect at present: no known worker is there");
        }
    }
}

void CellScheduler::beginEpoch(Epoch epoch, TimePoint leasesExpiredBy)
{
    m_epoch = epoch;
    m_loaded = false;
    m_leasesExpiredBy = leasesExpiredBy;
    m_renewedAt = TimePoint();
    m_lastJobStored = TimePoint();
    m_jobs = JobTable();
    m_workers = WorkerTable(m_settings.workers, m_workers.evacuations());
    m_speeds = WorkerSpeeds();
    m_nextSpeedUpdate = TimePoint();
    m_degradedWorkers = 0;
    m_advice.clear();
    m_usage.clear();
    m_discoveredUsage.clear();
    m_preemptions = Preemptions();
    m_tokenBuckets.clear();
    m_formerRoutes.clear();
    m_jobsWithoutRules.clear();
    m_progressWritesInFlight.clear();
    m_discoveredBeforeLoad.clear();
    m_unmatchedEndsBeforeLoad.clear();
    m_workerRecordsFailed = false;
    m_workerRecordsInFlight = false;
    m_nextWorkerRecords = TimePoint();
    m_waitingWorkAt = TimePoint();
    m_allowedShares.clear();
}

void CellScheduler::addPreviousWorkers(const std::vector<WorkerRecord> &records)
{
    m_workers.addPrevious(records, m_leasesExpiredBy);
}

const RouteRules *CellScheduler::rulesOf(const CellJob &job) const
{
    const CellRoute *route = m_config ? m_config->route(job.route) : nullptr;
    if (route != nullptr) {
        return route;
    }
    const auto former = m_formerRoutes.find(job.route);
    if (former != m_formerRoutes.end()) {
        return &former->second;
    }
    return job.admitted ? &job.admitted->route : nullptr;
}

Resources CellScheduler::workspaceMaximum(const CellJob &job) const
{
    const auto known = m_workspaceMaxima.find(job.workspace);
    if (known != m_workspaceMaxima.end()) {
        return known->second.maximum;
    }
    return job.admitted ? job.admitted->workspaceMaximum : Resources{};
}

JobEntry &CellScheduler::addJob(const CellJob &job, const CellTime &time)
{
    const RouteRules *rules = rulesOf(job);
    JobEntry &entry = m_jobs.add(job, rules, time.now, time.unixMs);
    if (rules == nullptr) {
        m_jobsWithoutRules.insert(job.id);
    }
    return entry;
}

void CellScheduler::applyRules(JobEntry &entry, const RouteRules &rules, TimePoint now)
{
    JobTable::setObjective(entry, rules);
    if (m_jobs.failIfAttemptsUsedUp(entry, rules, now)) {
        log("job " + entry.job.id.value() + " has used up its attempts, as its rules are known now");
        stopRuns(entry.job.id, now);
    }
}

void CellScheduler::markStored(JobEntry &entry, TimePoint now)
{
    if (!entry.stored) {
        entry.stored = true;
        entry.storedAt = now;
        m_lastJobStored = now;
    }
}

bool CellScheduler::mayStart(const JobEntry &entry) const
{
    return entry.stored && entry.storedAt < m_renewedAt;
}

void CellScheduler::onLeadershipRenewed(TimePoint sent)
{
    m_renewedAt = std::max(m_renewedAt, sent);
}

bool CellScheduler::needsLeadershipRenewal() const
{
    return m_lastJobStored != TimePoint() && m_renewedAt <= m_lastJobStored;
}

void CellScheduler::load(const CellJob &job, const JobProgress *progress, bool cancelled, bool mayHaveStarted, const CellTime &time)
{
    JobEntry &entry = addJob(job, time);
    markStored(entry, time.now);
    entry.unreconciled = mayHaveStarted;
    if (progress != nullptr) {
        m_jobs.restore(entry, *progress, time.now, time.unixMs);
        // The previous leader may not have known the rules.
        if (const RouteRules *rules = rulesOf(job)) {
            applyRules(entry, *rules, time.now);
        }
    }
    if (cancelled) {
        m_jobs.finish(entry, CellJobState::Cancelled, time.now);
    }
}

void CellScheduler::loadFinal(const JobId &id, const JobProgress &progress, TimePoint now)
{
    m_jobs.addFinal(id, progress.route, progress.workspace, progress.finalState, now);
}

void CellScheduler::finishLoading(TimePoint now)
{
    m_loaded = true;
    const CellTime time{now, 0}; // At Unix time 0 no occurrence is due; the next tick() creates the due ones.
    for (const DiscoveredRun &discovered : std::exchange(m_discoveredBeforeLoad, {})) {
        onDiscoveredRun(discovered, time);
    }
    for (const auto &[worker, end] : std::exchange(m_unmatchedEndsBeforeLoad, {})) {
        onUnmatchedEnd(worker, end, time);
    }
}

bool CellScheduler::isLoaded() const
{
    return m_loaded;
}

AdmissionDecision CellScheduler::submit(const CellJob &job, const CellTime &time)
{
    AdmissionDecision decision;
    if (const JobEntry *known = m_jobs.find(job.id)) {
        decision.verdict = AdmissionVerdict::Known;
        decision.stored = known->stored;
        return decision;
    }
    const RouteRules *knownRules = rulesOf(job);
    const RouteRules rules = knownRules != nullptr ? *knownRules : RouteRules{};
    const Workspace *workspace = m_config ? m_config->workspace(job.workspace) : nullptr;
    bool overRate = false;
    if (workspace != nullptr && workspace->weight > 0) {
        // A token bucket that is filled at the workspace's rate and holds the jobs of one second.
        TokenBucket &bucket = m_tokenBuckets[job.workspace];
        const double passed = static_cast<double>((time.now - bucket.refilledAt).count()) / 1000;
        bucket.tokens = bucket.refilledAt == TimePoint() ? workspace->weight : std::min(workspace->weight, bucket.tokens + passed * workspace->weight);
        bucket.refilledAt = time.now;
        overRate = bucket.tokens < 1;
        if (!overRate) {
            bucket.tokens -= 1;
        }
    }
    // Work that is not in time ranks after all work that is, so it has more work ahead of it.
    const WaitingWork inTime = firstWorkOf(job, rules, overRate);
    WaitingWork late = inTime;
    late.tier += missedSoftDeadlineTierOffset;
    Duration wait = predictedWait(inTime, time.now);
    const Duration objective = objectiveOf(job.steps, rules);
    if (wait > objective - criticalPathLength(job.steps)) {
        wait = predictedWait(late, time.now);
    }
    const Duration maxWait = objective * firmDeadlineFactor - criticalPathLength(job.steps);
    const Duration admissibleWait(static_cast<std::int64_t>(static_cast<double>(maxWait.count()) * admissionSafetyFactor));
    if (overRate) {
        // It may use what other work leaves free. All work within the rates of its workspaces comes before it, also late work.
        WaitingWork last = inTime;
        last.tier = overRateTierOffset - 1;
        const Duration waitForOthers = predictedWait(last, time.now);
        if (waitForOthers > busyWaitThreshold) {
            decision.verdict = AdmissionVerdict::OverRate;
            const TokenBucket &bucket = m_tokenBuckets[job.workspace];
            const Duration nextToken(static_cast<std::int64_t>((1 - bucket.tokens) / workspace->weight * 1000));
            decision.retryAfter = retryAfter(job.id, std::min(waitForOthers - busyWaitThreshold, nextToken), maxWait);
            wait = waitForOthers;
        }
    }
    if (decision.verdict == AdmissionVerdict::Admitted && wait > admissibleWait) {
        decision.verdict = AdmissionVerdict::Busy;
        decision.retryAfter = retryAfter(job.id, wait - admissibleWait, maxWait);
    }
    if (decision.verdict != AdmissionVerdict::Admitted) {
        ++m_counters.refused;
        // The logged limit is the longest useful wait; the limits above are busyWaitThreshold and a fraction of maxWait.
        log("job " + job.id.value() + " refused: " + (decision.verdict == AdmissionVerdict::OverRate ? "workspace above its rate" : "predicted wait too long")
            + ", wait " + std::to_string(wait.count()) + " ms, limit " + std::to_string(maxWait.count()) + " ms, retry after "
            + std::to_string(decision.retryAfter.count()) + " ms");
        return decision;
    }
    ++m_counters.admitted;
    JobEntry &entry = addJob(job, time);
    entry.overRate = overRate;
    // Counted here until predictedWait() computes the waiting work again.
    WaitingWork admitted = inTime;
    admitted.work = totalWork(job.steps);
    m_forecast.add(admitted);
    log("job " + job.id.value() + " admitted: route " + job.route.value() + ", predicted wait " + std::to_string(wait.count()) + " ms");
    return decision;
}

double CellScheduler::shareOfMaximum(const CellJob &job, const Resources &demand) const
{
    const Resources limit = workspaceMaximum(job);
    const auto share = [](std::int64_t part, std::int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0; };
    return std::max({share(demand.cpu.value(), limit.cpu.value()),
                     share(demand.memory.value(), limit.memory.value()),
                     share(demand.accelerators.value(), limit.accelerators.value())});
}

WaitingWork CellScheduler::waitingWorkOf(const StepInstance &step, TimePoint now) const
{
    const StepSpec &spec = *step.spec;
    const AdviceSettings *settings = adviceSettings(step);
    WaitingWork waiting;
    waiting.tier = tierOf(step, now);
    waiting.workspace = step.job->job.workspace;
    waiting.tasks = step.waiting;
    waiting.cpuPerTask = spec.demand.cpu.value();
    waiting.work = step.waiting * workOfOneTask(spec);
    waiting.shareOfMaximum = shareOfMaximum(step.job->job, spec.demand);
    waiting.estimate = spec.estimate;
    waiting.isReady = step.readySince != TimePoint();
    waiting.isGang = spec.gang;
    waiting.isAtMaximum = waiting.shareOfMaximum > 0 && !isWithinWorkspaceMaximum(step, spec.gang ? spec.count : 1);
    const bool hasAnswer = settings == nullptr || !step.advice.evaluated.empty();
    waiting.lacksOnlyStart = hasAnswer && !step.advice.renewalInFlight && !step.advice.questionInFlight;
    if (!hasAnswer && waiting.isReady && !step.advice.questionInFlight) {
        waiting.unqueuedCall = firstCallDuration(step.job->job.route, *settings);
    }
    return waiting;
}

WaitingWork CellScheduler::firstWorkOf(const CellJob &job, const RouteRules &rules, bool overRate) const
{
    WaitingWork first;
    first.tier = rules.priority + (overRate ? overRateTierOffset : 0);
    first.workspace = job.workspace;
    const StepSpec &spec = job.steps.front(); // The first step never depends on another one.
    first.tasks = spec.count;
    first.cpuPerTask = spec.demand.cpu.value();
    first.work = spec.count * workOfOneTask(spec);
    first.shareOfMaximum = shareOfMaximum(job, spec.demand);
    first.estimate = spec.estimate;
    first.isReady = job.occurrences == 0;
    first.isGang = spec.gang;
    first.isAtMaximum = first.shareOfMaximum > 0 && !isWithinMaximum(job, spec.demand * (spec.gang ? spec.count : 1));
    first.unqueuedCall = rules.advice ? firstCallDuration(job.route, *rules.advice) : Duration(0);
    return first;
}

Duration CellScheduler::predictedWait(const WaitingWork &first, TimePoint now)
{
    if (m_waitingWorkAt == TimePoint() || now - m_waitingWorkAt >= waitingWorkInterval) {
        m_waitingWorkAt = now;
        CellSupply supply;
        for (const auto &[id, worker] : m_workers.all()) {
            supply.capacity += worker.registered && !worker.info.draining && !worker.isEvacuated ? worker.info.capacity.cpu.value() : 0;
            supply.freeCpu += worker.wasUsable ? std::max<std::int64_t>(worker.free().cpu.value(), 0) : 0;
        }
        supply.daemons = static_cast<int>(m_advice.answeringDaemons(now));
        supply.startsPerSecond = m_startRate;
        m_forecast.reset(supply);
        for (const auto &[id, entry] : m_jobs.unfinishedEntries()) {
            // A job past its firm deadline does not delay a new one: it ranks after other work, see missedFirmDeadlineTierOffset.
            if (now < entry->firmDeadline) {
                for (const auto &step : entry->steps) {
                    if (step->waiting > 0) {
                        m_forecast.add(waitingWorkOf(*step, now));
                    }
                }
            }
        }
    }
    return m_forecast.wait(first, m_advice.expectedDelay(first.tier, now));
}

void CellScheduler::measureStartRate(TimePoint now)
{
    if (now < m_startRateSince + startRateSpan) {
        return;
    }
    const double span = static_cast<double>((now - m_startRateSince).count()) / 1000;
    const double rate = static_cast<double>(m_counters.starts - m_startsAtSpanBegin) / span;
    // The rate rises at once and falls gradually.
    m_startRate = m_startRateSince == TimePoint() ? 0 : std::max(m_startRate * startRateDecay + rate * (1 - startRateDecay), rate);
    m_startRateSince = now;
    m_startsAtSpanBegin = m_counters.starts;
}

void CellScheduler::onJobStored(const CellJob &job, const CellTime &time)
{
    markStored(addJob(job, time), time.now);
}

bool CellScheduler::onKnownJobStored(const JobId &id, TimePoint now)
{
    JobEntry *entry = m_jobs.find(id);
    if (entry == nullptr) {
        return false;
    }
    markStored(*entry, now);
    return true;
}

void CellScheduler::onJobDropped(const JobId &id)
{
    const JobEntry *entry = m_jobs.find(id);
    if (entry != nullptr && !entry->stored) {
        m_jobs.drop(id);
    }
}

void CellScheduler::onCancelStored(const JobId &id, TimePoint now)
{
    JobEntry *entry = m_jobs.find(id);
    if (entry == nullptr || entry->outcome != CellJobState::Unknown) {
        return;
    }
    log("job " + id.value() + " cancelled: " + std::to_string(entry->liveRuns) + " runs to stop");
    m_jobs.finish(*entry, CellJobState::Cancelled, now);
    stopRuns(id, now);
}

CellJobState CellScheduler::state(const JobId &id) const
{
    const JobEntry *entry = m_jobs.find(id);
    return entry != nullptr && entry->stored ? entry->state : CellJobState::Unknown;
}

WorkspaceId CellScheduler::workspaceOf(const JobId &id) const
{
    const JobEntry *entry = m_jobs.find(id);
    return entry != nullptr ? entry->job.workspace : WorkspaceId();
}

void CellScheduler::onRegistry(const std::vector<WorkerInfo> &workers, const CellTime &time)
{
    onRunEvents(m_workers.onRegistry(workers, time.now), time);
    logUnknownEvacuatedDomains();
}

void CellScheduler::onWorkersStored(const std::vector<WorkerRecord> &records, bool stored)
{
    m_workerRecordsInFlight = false;
    m_workerRecordsFailed = !stored;
    if (stored) {
        m_workers.onRecordsStored(records);
    }
}

void CellScheduler::setAdviceDaemons(const std::vector<DaemonId> &daemons)
{
    m_advice.setDaemons(daemons);
}

CellOrders CellScheduler::tick(const CellTime &time)
{
    CellOrders orders;
    const bool checkRuns = m_nextRunCheck <= time.now;
    if (checkRuns) {
        m_nextRunCheck = time.now + runCheckInterval;
        onRunEvents(m_workers.expireLeases(time.now), time);
        m_jobs.createAllDueOccurrences(time.now, time.unixMs);
    }
    if (checkRuns || m_progressWasStored) {
        m_progressWasStored = false;
        acknowledgeEnds();
    }
    sendHoldsAndRetries(orders, time, checkRuns);
    measureStartRate(time.now);
    updateSpeedClasses(time.now);
    if (m_loaded && m_config) {
        finishReconciliation(time.now);
        runPlacementPass(orders, time);
    }
    if (checkRuns) {
        orders.stops = m_workers.dueStops(time.now);
    }
    m_counters.stops += orders.stops.size();
    for (const AdviceCall &expired : m_advice.expire(time.now)) {
        if (StepInstance *step = m_jobs.findStep(expired.step)) {
            (expired.isRenewal ? step->advice.renewalInFlight : step->advice.questionInFlight) = false;
        }
    }
    if (m_loaded && m_config) {
        orders.advice = dispatchAdvice(time.now);
    }
    m_counters.adviceCalls += orders.advice.size();
    // While jobs are being loaded, the runs that workers list are not in their table yet, so a record could leave out their jobs.
    if (m_loaded && !m_workerRecordsInFlight && m_nextWorkerRecords <= time.now && (m_workerRecordsFailed || m_workers.areRecordsOutdated(time.now))) {
        orders.workersToStore = m_workers.makeRecords(time.now);
        m_nextWorkerRecords = time.now + workerRecordsInterval;
        m_workerRecordsInFlight = !orders.workersToStore.empty(); // An empty list is not written, so nothing ends its write.
    }
    if (m_nextHousekeeping <= time.now) {
        m_nextHousekeeping = time.now + housekeepingInterval;
        (void)m_jobs.removeEnded(time.now - m_settings.statusRetention);
        m_adviceErrorsLogged = 0;
        if (m_loaded && m_config) {
            logLongWaits(time.now);
        }
    }
    return orders;
}

void CellScheduler::finishReconciliation(TimePoint now)
{
    if (m_leasesExpiredBy == TimePoint()) {
        return;
    }
    // Once the leases of previous leaders have expired, workers that have not answered can only have runs of this leader.
    const auto jobs = m_workers.jobsWithUnreportedRuns(now);
    if (!jobs) {
        return;
    }
    for (const auto &[id, entry] : m_jobs.all()) {
        entry->unreconciled = entry->unreconciled && jobs->count(id) > 0;
    }
    if (jobs->empty()) {
        m_leasesExpiredBy = TimePoint();
    }
}

std::vector<ProgressWrite> CellScheduler::takeProgress(std::size_t maxWrites, const std::function<bool(const JobId &)> &isWanted)
{
    std::vector<ProgressWrite> writes;
    for (const bool finals : {true, false}) {
        for (auto id = m_jobs.dirty().begin(); id != m_jobs.dirty().end() && writes.size() < maxWrites;) {
            const JobEntry *entry = m_jobs.find(*id);
            if (entry == nullptr) {
                id = m_jobs.dirty().erase(id);
                continue;
            }
            if (isFinal(entry->outcome) != finals || m_progressWritesInFlight.count(*id) > 0 || (isWanted && !isWanted(*id))) {
                ++id;
                continue;
            }
            writes.push_back(ProgressWrite{*id, entry->revision, m_jobs.progressOf(*entry)});
            m_progressWritesInFlight.insert(*id);
            id = m_jobs.dirty().erase(id);
        }
    }
    return writes;
}

void CellScheduler::onProgressStored(const JobId &id, std::uint64_t revision)
{
    m_progressWritesInFlight.erase(id);
    m_jobs.onStored(id, revision);
    m_progressWasStored = true;
    const JobEntry *entry = m_jobs.find(id);
    if (entry != nullptr && isFinal(entry->state)) {
        log("job " + id.value() + " " + toString(entry->state) + ": stored");
    }
}

void CellScheduler::onProgressFailed(const JobId &id)
{
    m_progressWritesInFlight.erase(id);
    if (m_jobs.find(id) != nullptr) {
        m_jobs.dirty().insert(id);
    }
}

void CellScheduler::onAlreadyFinal(const JobId &id, CellJobState state, TimePoint now)
{
    m_progressWritesInFlight.erase(id);
    JobEntry *entry = m_jobs.find(id);
    if (entry == nullptr) {
        return;
    }
    m_jobs.finish(*entry, state, now);
    m_jobs.dirty().erase(id);
    m_jobs.onStored(id, entry->revision);
    stopRuns(id, now);
}

std::vector<JobId> CellScheduler::jobsWithUnstoredFinalState() const
{
    std::vector<JobId> finals;
    for (const JobId &id : m_jobs.dirty()) {
        const JobEntry *entry = m_jobs.find(id);
        if (entry != nullptr && isFinal(entry->outcome) && m_progressWritesInFlight.count(id) == 0) {
            finals.push_back(id);
        }
    }
    return finals;
}

std::map<RouteName, int> CellScheduler::queuedByRoute() const
{
    return m_jobs.queuedByRoute([this](const JobEntry &entry) { return hasRun(entry); });
}

bool CellScheduler::hasRun(const JobEntry &entry) const
{
    if (entry.hasRun) {
        return true;
    }
    // A run whose start got no answer may be listed by its worker.
    const auto workers = m_workers.workersRunning(entry.job.id);
    return std::any_of(workers.begin(), workers.end(), [&entry](const Worker *worker) {
        return std::any_of(worker->runs.begin(), worker->runs.end(), [&entry](const auto &run) {
            return run.second.task.step.job == entry.job.id && run.second.confirmedClock != 0;
        });
    });
}

const CellCounters &CellScheduler::counters() const
{
    return m_counters;
}

const WorkerTable &CellScheduler::workers() const
{
    return m_workers;
}

std::string CellScheduler::describeLoad(TimePoint now)
{
    std::size_t usable = 0;
    Resources capacity;
    Resources allocated;
    for (const auto &[id, worker] : m_workers.all()) {
        usable += worker.wasUsable ? 1 : 0;
        capacity += worker.wasUsable ? worker.info.capacity : Resources{};
        allocated += worker.wasUsable ? worker.allocated : Resources{};
    }
    const auto percentOfCapacity = [&capacity](const Resources &part) {
        return std::to_string(capacity.cpu.value() > 0 ? part.cpu.value() * 100 / capacity.cpu.value() : 0) + "%";
    };
    WaitingWork anyWork; // Predicts the wait of a small job for room and starts behind all work in time.
    anyWork.tier = missedSoftDeadlineTierOffset - 1;
    anyWork.isGang = true;
    anyWork.unqueuedCall = Duration(1);
    const std::vector<StepInstance *> steps = m_jobs.waitingSteps();
    std::size_t unadvised = 0;
    std::size_t unreconciled = 0;
    std::size_t atMaximum = 0;
    std::size_t gangs = 0;
    const std::size_t stalled = stalledSteps(steps, now).size();
    for (const StepInstance *step : steps) {
        gangs += step->spec->gang ? 1 : 0;
        unadvised += step->advice.evaluated.empty() && adviceSettings(*step) != nullptr ? 1 : 0;
        unreconciled += step->job->unreconciled ? 1 : 0;
        atMaximum += isWithinWorkspaceMaximum(*step, step->spec->gang ? step->spec->count : 1) ? 0 : 1;
    }
    return std::to_string(m_jobs.unfinishedCount()) + " unfinished jobs, " + std::to_string(steps.size()) + " steps waiting (" + std::to_string(unadvised)
        + " for their first answer from the policy service, " + std::to_string(atMaximum) + " with their workspace at its maximum, "
        + std::to_string(unreconciled) + " because runs of a previous leader may exist), " + std::to_string(gangs) + " of them gangs, "
        + std::to_string(stalled) + " stalled although there is room, " + std::to_string(m_advice.callsInFlight()) + " advice calls in flight, "
        + std::to_string(m_advice.waitingCalls()) + " queued for up to " + std::to_string(m_advice.longestQueueTime(now).count()) + " ms, "
        + std::to_string(usable) + " of " + std::to_string(m_workers.all().size()) + " workers usable, their CPU " + percentOfCapacity(allocated)
        + " allocated, predicted wait " + std::to_string(predictedWait(anyWork, now).count()) + " ms"
        + (m_workers.evacuations().isActive(now) ? ", usable workers by failure domain: " + m_workers.describeDomains(now) : "");
}

std::size_t CellScheduler::unfinishedJobs() const
{
    return m_jobs.unfinishedCount();
}

} // namespace KingCupLadder
