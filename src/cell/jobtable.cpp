// State transitions of jobs, steps and tasks. Their occurrences are in joboccurrences.cpp.
#include "jobtable.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

// Delay per failure of a task, so that a worker that fails every task is detected before it gets the task again.
constexpr Duration restartPause{200}; // Limits how often a long-running task is restarted that ends at once.
constexpr Duration taskFailureBackoff{50};
constexpr Duration maxTaskFailureBackoff{2000};

constexpr std::size_t maxDoneStepsForEarlierVersions = 256; // Bounds the row of the job's progress.

/// Adds the steps of the occurrences that have ended, if they are few. A daemon of an earlier version, which may lead while the daemons are
/// replaced, ignores JobProgress::doneOccurrences and would run these steps again.
void addDoneStepsForEarlierVersions(const JobEntry &entry, JobProgress &progress)
{
    if (static_cast<std::size_t>(entry.doneOccurrences.size()) * entry.job.steps.size() > maxDoneStepsForEarlierVersions) {
        return;
    }
    for (const auto &[first, last] : entry.doneOccurrences.ranges()) {
        for (int occurrence = first; occurrence <= last; ++occurrence) {
            for (std::size_t step = 0; step < entry.job.steps.size(); ++step) {
                progress.steps[{occurrence, static_cast<int>(step)}].succeeded.assign(static_cast<std::size_t>(entry.job.steps[step].count), true);
            }
        }
    }
}

} // namespace

Ticket *StepAdvice::find(WorkerIndex worker)
{
    const auto found = std::lower_bound(tickets.begin(), tickets.end(), worker, [](const Ticket &ticket, WorkerIndex index) { return ticket.worker < index; });
    return found != tickets.end() && found->worker == worker ? &*found : nullptr;
}

const Ticket *StepAdvice::find(WorkerIndex worker) const
{
    return const_cast<StepAdvice *>(this)->find(worker); // The other overload changes nothing.
}

void StepAdvice::put(Ticket ticket)
{
    const auto place =
        std::lower_bound(tickets.begin(), tickets.end(), ticket.worker, [](const Ticket &other, WorkerIndex index) { return other.worker < index; });
    if (place != tickets.end() && place->worker == ticket.worker) {
        *place = std::move(ticket);
    } else {
        tickets.insert(place, std::move(ticket));
    }
}

TimePoint StepInstance::suspectedSince(int index) const
{
    TimePoint since = crashesOf(index).lastCrashAt();
    for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
        if (i == index || spec->gang) {
            since = std::max(since, tasks[static_cast<std::size_t>(i)].lastRunEnded);
        }
    }
    return since;
}

JobEntry &JobTable::add(const CellJob &job, const RouteRules *rules, TimePoint now, std::int64_t unixNowMs)
{
    const auto known = m_jobs.find(job.id);
    if (known != m_jobs.end()) {
        return *known->second;
    }
    auto entry = std::make_unique<JobEntry>();
    entry->job = job;
    entry->addedAt = now;
    // Limits the effect of wrong wall clocks: a job counts as submitted at most one hour ago and never in the future.
    const std::int64_t age = std::clamp<std::int64_t>(unixNowMs - job.submittedUnixMs, 0, 3600000);
    entry->submittedAt = now - Duration(age);
    entry->dueAt = job.occurrences > 0 ? now + Duration(job.firstRunUnixMs - unixNowMs) : entry->submittedAt;
    setObjective(*entry, rules != nullptr ? *rules : RouteRules{});
    JobEntry &added = *entry;
    m_jobs.emplace(job.id, std::move(entry));
    m_unfinished.emplace(job.id, &added);
    createDueOccurrences(added, now, unixNowMs);
    return added;
}

void JobTable::setObjective(JobEntry &entry, const RouteRules &rules)
{
    const Duration objective = objectiveOf(entry.job.steps, rules);
    entry.softDeadline = entry.dueAt + objective;
    entry.firmDeadline = entry.dueAt + objective * firmDeadlineFactor;
}

void JobTable::addFinal(const JobId &id, const RouteName &route, const WorkspaceId &workspace, CellJobState state, TimePoint now)
{
    std::unique_ptr<JobEntry> &entry = m_jobs[id];
    if (entry) {
        return;
    }
    entry = std::make_unique<JobEntry>();
    entry->job.id = id;
    entry->job.route = route;
    entry->job.workspace = workspace;
    entry->state = state;
    entry->outcome = state;
    entry->stored = true;
    entry->endedAt = now;
}

void JobTable::drop(const JobId &id)
{
    JobEntry *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    for (const auto &step : entry->steps) {
        m_steps.erase(step->ref);
    }
    m_unfinished.erase(id);
    m_dirty.erase(id);
    m_jobs.erase(id);
}

JobEntry *JobTable::find(const JobId &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const JobEntry *JobTable::find(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

StepInstance *JobTable::findStep(const StepRef &ref)
{
    const auto found = m_steps.find(ref);
    return found == m_steps.end() ? nullptr : found->second;
}

const StepInstance *JobTable::findStep(const StepRef &ref) const
{
    const auto found = m_steps.find(ref);
    return found == m_steps.end() ? nullptr : found->second;
}

std::unordered_map<JobId, std::unique_ptr<JobEntry>> &JobTable::all()
{
    return m_jobs;
}

std::vector<StepInstance *> JobTable::waitingSteps()
{
    std::vector<StepInstance *> waiting;
    for (const auto &[id, open] : m_unfinished) {
        const JobEntry &entry = *open;
        if (!entry.stored) {
            continue;
        }
        for (const auto &step : entry.steps) {
            if (step->waiting > 0 && step->readySince != TimePoint()) {
                waiting.push_back(step.get());
            }
        }
    }
    return waiting;
}

void JobTable::onStarted(StepInstance &step, int index, RunNumber run, TimePoint /*now*/)
{
    CellTask &task = step.tasks.at(static_cast<std::size_t>(index));
    if (task.phase == CellTaskPhase::Waiting) {
        task.phase = CellTaskPhase::Active;
        --step.waiting;
        ++step.active;
    }
    if (task.lastRun < run) {
        task.lastRun = run;
    }
    ++task.liveRuns;
    ++step.job->liveRuns;
    if (step.job->state == CellJobState::Pending) {
        step.job->state = CellJobState::Active;
    }
}

void JobTable::onDiscovered(StepInstance &step, int index, RunNumber run)
{
    onStarted(step, index, run, TimePoint());
}

void JobTable::markDirty(JobEntry &entry)
{
    ++entry.revision;
    m_dirty.insert(entry.job.id);
}

void JobTable::onSucceeded(StepInstance &step, int index, TimePoint now, std::int64_t unixNowMs)
{
    // A gang succeeds only as a whole, so the success of one member counts for all of them.
    const int first = step.spec->gang ? 0 : index;
    const int last = step.spec->gang ? static_cast<int>(step.tasks.size()) - 1 : index;
    bool anyChanged = false;
    for (int i = first; i <= last; ++i) {
        CellTask &task = step.tasks.at(static_cast<std::size_t>(i));
        if (task.phase == CellTaskPhase::Succeeded) {
            continue;
        }
        task.phase == CellTaskPhase::Waiting ? --step.waiting : --step.active;
        task.phase = CellTaskPhase::Succeeded;
        ++step.succeeded;
        anyChanged = true;
    }
    if (!anyChanged || step.job->outcome != CellJobState::Unknown) {
        return;
    }
    markDirty(*step.job);
    if (step.isDone()) {
        markReady(*step.job, step.ref.occurrence, now);
        completeOccurrenceIfDone(*step.job, step.ref.occurrence, now, unixNowMs);
    }
}

void JobTable::onLongRunningTaskEnded(StepInstance &step, int index, TimePoint now)
{
    for (int i = 0; i < static_cast<int>(step.tasks.size()); ++i) {
        if (i == index || step.spec->gang) {
            step.tasks.at(static_cast<std::size_t>(i)).notBefore = now + restartPause;
        }
    }
}

bool JobTable::onFailed(StepInstance &step, const EndedEntry &end, const WorkerId &worker, const RouteRules *rules, TimePoint now)
{
    CellTask &task = step.tasks.at(static_cast<std::size_t>(end.task.index));
    if (task.phase == CellTaskPhase::Succeeded) {
        return false; // An earlier run of the task, or a copy.
    }
    task.failedOn.insert(worker);
    std::set<RunNumber> &failedRuns = step.spec->gang ? step.tasks[0].failedRuns : task.failedRuns;
    if (!failedRuns.insert(end.run).second) {
        return false;
    }
    const auto failures = static_cast<int>(failedRuns.size());
    const Duration delay = std::min(taskFailureBackoff * failures, maxTaskFailureBackoff);
    for (CellTask &member : step.tasks) {
        if (&member == &task || step.spec->gang) {
            member.notBefore = now + delay;
        }
    }
    markDirty(*step.job);
    if (rules != nullptr && !step.spec->longRunning && failures >= rules->attempts && step.job->outcome == CellJobState::Unknown && !step.isDone()) {
        finish(*step.job, CellJobState::Failed, now);
        return true;
    }
    return false;
}

bool JobTable::failIfAttemptsUsedUp(JobEntry &entry, const RouteRules &rules, TimePoint now)
{
    const bool isUsedUp = std::any_of(entry.steps.begin(), entry.steps.end(), [&rules](const auto &step) {
        return !step->spec->longRunning && std::any_of(step->tasks.begin(), step->tasks.end(), [&rules](const CellTask &task) {
            return task.phase != CellTaskPhase::Succeeded && static_cast<int>(task.failedRuns.size()) >= rules.attempts;
        });
    });
    if (!isUsedUp || entry.outcome != CellJobState::Unknown) {
        return false;
    }
    finish(entry, CellJobState::Failed, now);
    return true;
}

void JobTable::onInterrupted(StepInstance &step, int index, const std::string &checkpoint, TimePoint /*now*/)
{
    CellTask &task = step.tasks.at(static_cast<std::size_t>(index));
    if (!checkpoint.empty()) {
        task.checkpoint = checkpoint;
        if (step.spec->gang) {
            step.gangCheckpoint = checkpoint;
        }
    }
}

bool JobTable::onWorkerCrashed(StepInstance &step, int index, RunNumber run, const WorkerCrash &crash, TimePoint now)
{
    CrashHistory &crashes = step.crashesOf(index);
    if (step.tasks.at(static_cast<std::size_t>(index)).phase == CellTaskPhase::Succeeded || !crashes.add(run, crash, now)) {
        return false;
    }
    if (crash.timing != CrashTiming::Late) {
        markDirty(*step.job); // Other crashes are not stored, see progressOf().
    }
    if (crashes.isCause() && step.job->outcome == CellJobState::Unknown && !step.isDone()) {
        finish(*step.job, CellJobState::Failed, now);
        return true;
    }
    return false;
}

void JobTable::onWorkerAnsweredAgain(StepInstance &step, int index, RunNumber run)
{
    if (step.crashesOf(index).retract(run)) {
        markDirty(*step.job);
    }
}

void JobTable::onRunGone(JobEntry &entry, StepInstance *step, int index)
{
    // A run that was discovered before its job or task was known has not been counted.
    entry.liveRuns = std::max(entry.liveRuns - 1, 0);
    if (step == nullptr) {
        return;
    }
    CellTask &task = step->tasks.at(static_cast<std::size_t>(index));
    task.liveRuns = std::max(task.liveRuns - 1, 0);
    if (task.phase == CellTaskPhase::Active && task.liveRuns == 0) {
        task.phase = CellTaskPhase::Waiting;
        --step->active;
        ++step->waiting;
    }
    if (step->active == 0) {
        step->gangStopping = false;
    }
    closeStoredOccurrences(entry);
    discardStepsIfEnded(entry);
}

void JobTable::finish(JobEntry &entry, CellJobState outcome, TimePoint now)
{
    if (entry.outcome != CellJobState::Unknown) {
        return;
    }
    entry.outcome = outcome;
    entry.endedAt = now;
    m_unfinished.erase(entry.job.id);
    markDirty(entry);
}

std::set<JobId> &JobTable::dirty()
{
    return m_dirty;
}

const std::set<JobId> &JobTable::dirty() const
{
    return m_dirty;
}

JobProgress JobTable::progressOf(const JobEntry &entry) const
{
    JobProgress progress;
    progress.finalState = entry.outcome;
    progress.route = entry.job.route;
    progress.workspace = entry.job.workspace;
    if (isFinal(entry.outcome)) {
        return progress;
    }
    progress.doneOccurrences = entry.doneOccurrences.ranges();
    addDoneStepsForEarlierVersions(entry, progress);
    for (const auto &step : entry.steps) {
        StepProgress stored;
        bool hasProgress = !step->gangCheckpoint.empty();
        for (std::size_t i = 0; i < step->tasks.size(); ++i) {
            const CellTask &task = step->tasks[i];
            stored.succeeded.push_back(task.phase == CellTaskPhase::Succeeded);
            if (task.phase == CellTaskPhase::Succeeded) {
                hasProgress = true;
                continue; // What happened before the success is not needed any more.
            }
            std::map<RunNumber, WorkerCrash> crashes;
            for (const auto &[run, crash] : task.crashes.crashes()) {
                if (crash.timing != CrashTiming::Late) {
                    crashes.emplace(run, crash);
                }
            }
            hasProgress = hasProgress || !task.failedRuns.empty() || !crashes.empty();
            if (!crashes.empty()) {
                stored.crashes[static_cast<int>(i)] = crashes;
            }
            if (!task.failedRuns.empty()) {
                stored.failedRuns[static_cast<int>(i)] = task.failedRuns;
            }
        }
        stored.gangCheckpoint = step->gangCheckpoint;
        if (hasProgress) {
            progress.steps[{step->ref.occurrence, step->ref.step}] = stored;
        }
    }
    return progress;
}

void JobTable::onStored(const JobId &id, std::uint64_t revision)
{
    JobEntry *entry = find(id);
    if (entry == nullptr) {
        return;
    }
    entry->storedRevision = std::max(entry->storedRevision, revision);
    closeStoredOccurrences(*entry);
    if (isFinal(entry->outcome) && entry->storedRevision >= entry->revision) {
        entry->state = entry->outcome;
        discardStepsIfEnded(*entry);
    }
}

void JobTable::discardStepsIfEnded(JobEntry &entry)
{
    // Of a job that has ended, only the state is needed.
    if (!isFinal(entry.state) || entry.liveRuns > 0) {
        return;
    }
    for (const auto &step : entry.steps) {
        m_steps.erase(step->ref);
    }
    entry.steps.clear();
    entry.openOccurrences.clear();
    entry.job.payload = std::string();
    entry.job.steps.clear();
}

std::map<RouteName, int> JobTable::queuedByRoute(const std::function<bool(const JobEntry &)> &hasRun) const
{
    std::map<RouteName, int> queued;
    for (const auto &[id, open] : m_unfinished) {
        const JobEntry &entry = *open;
        if (entry.stored && !hasRun(entry)) {
            ++queued[entry.job.route];
        }
    }
    return queued;
}

std::vector<JobId> JobTable::removeEnded(TimePoint before)
{
    std::vector<JobId> ended;
    for (const auto &[id, entry] : m_jobs) {
        if (isFinal(entry->state) && entry->endedAt < before && entry->liveRuns == 0) {
            ended.push_back(id);
        }
    }
    for (const JobId &id : ended) {
        drop(id);
    }
    return ended;
}

const std::map<JobId, JobEntry *> &JobTable::unfinishedEntries() const
{
    return m_unfinished;
}

std::size_t JobTable::unfinishedCount() const
{
    return m_unfinished.size();
}

} // namespace KingCupLadder
