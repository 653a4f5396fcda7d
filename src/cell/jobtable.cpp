// State transitions of jobs, steps and tasks.
#include "jobtable.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

// Delay per failure of a task, so that a worker that fails every task is detected before it gets the task again.
constexpr Duration taskFailureBackoff{50};
constexpr Duration maxTaskFailureBackoff{2000};
// Steps and tasks of the due occurrences of one job that are open at a time.
constexpr int maxOpenSteps = 128;
constexpr int maxOpenTasks = 2000;
constexpr std::size_t maxReportedOccurrences = 4000; // Open occurrences of one job, with those that only a worker has reported.
constexpr std::size_t maxDoneStepsForEarlierVersions = 256; // Bounds the row of the job's progress.

bool isStepDone(const StepSpec &spec, const StepProgress &stored)
{
    const auto count = static_cast<std::size_t>(spec.count);
    return stored.succeeded.size() >= count
        && std::all_of(stored.succeeded.begin(), stored.succeeded.begin() + static_cast<std::ptrdiff_t>(count), [](bool succeeded) { return succeeded; });
}

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

int maxOpenOccurrences(const CellJob &job)
{
    int tasks = 0;
    for (const StepSpec &step : job.steps) {
        tasks += step.count;
    }
    const int bySteps = maxOpenSteps / std::max(static_cast<int>(job.steps.size()), 1);
    return std::max(std::min(bySteps, maxOpenTasks / std::max(tasks, 1)), 1);
}

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

void JobTable::restore(JobEntry &entry, const JobProgress &progress)
{
    const int count = entry.job.occurrenceCount();
    for (const auto &[first, last] : progress.doneOccurrences) {
        if (first >= 0 && first <= last && last < count) {
            entry.doneOccurrences.insert(first, last);
        }
    }
    // An earlier version of the daemon stores the steps of all occurrences that have ended, and no ranges.
    std::map<int, std::size_t> doneSteps;
    for (const auto &[key, stored] : progress.steps) {
        const auto &[occurrence, step] = key;
        const bool isKnown = occurrence >= 0 && occurrence < count && step >= 0 && static_cast<std::size_t>(step) < entry.job.steps.size();
        if (isKnown && isStepDone(entry.job.steps[static_cast<std::size_t>(step)], stored) && ++doneSteps[occurrence] == entry.job.steps.size()) {
            entry.doneOccurrences.insert(occurrence, occurrence);
        }
    }
    for (const auto &[key, stored] : progress.steps) {
        const auto &[occurrence, step] = key;
        if (occurrence < 0 || occurrence >= count || entry.doneOccurrences.contains(occurrence)) {
            continue;
        }
        if (entry.openOccurrences.count(occurrence) == 0) {
            createOccurrence(entry, occurrence);
        }
        if (StepInstance *instance = findStep(StepRef{entry.job.id, occurrence, step})) {
            restoreStep(entry, *instance, stored);
        }
    }
    std::vector<int> done;
    for (const auto &[occurrence, open] : entry.openOccurrences) {
        if (entry.doneOccurrences.contains(occurrence)) {
            done.push_back(occurrence);
        }
    }
    for (const int occurrence : done) {
        closeOccurrence(entry, occurrence);
    }
    entry.hasRun = entry.hasRun || entry.doneOccurrences.size() > 0;
    if (entry.hasRun) {
        entry.state = CellJobState::Active;
    }
    // Determines the ready steps again, now that the stored successes are known.
    for (const auto &step : entry.steps) {
        step->readySince = TimePoint();
    }
    for (const auto &[occurrence, open] : entry.openOccurrences) {
        markReady(entry, occurrence, entry.addedAt);
    }
    if (entry.doneOccurrences.size() >= count) {
        finish(entry, CellJobState::Succeeded, entry.addedAt);
    }
}

void JobTable::restoreStep(JobEntry &entry, StepInstance &step, const StepProgress &stored)
{
    step.gangCheckpoint = stored.gangCheckpoint;
    for (std::size_t i = 0; i < step.tasks.size() && i < stored.succeeded.size(); ++i) {
        CellTask &task = step.tasks[i];
        if (stored.succeeded[i] && task.phase == CellTaskPhase::Waiting) {
            task.phase = CellTaskPhase::Succeeded;
            --step.waiting;
            ++step.succeeded;
            entry.hasRun = true;
        }
    }
    for (const auto &[index, crashes] : stored.crashes) {
        if (index >= 0 && index < static_cast<int>(step.tasks.size())) {
            for (const auto &[run, crash] : crashes) {
                step.tasks[static_cast<std::size_t>(index)].crashes.add(run, crash);
            }
            entry.hasRun = true;
        }
    }
    for (const auto &[index, runs] : stored.failedRuns) {
        if (index >= 0 && index < static_cast<int>(step.tasks.size())) {
            step.tasks[static_cast<std::size_t>(index)].failedRuns = runs;
            entry.hasRun = true;
        }
    }
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

std::unordered_map<JobId, std::unique_ptr<JobEntry>> &JobTable::all()
{
    return m_jobs;
}

void JobTable::createOccurrence(JobEntry &entry, int occurrence)
{
    for (std::size_t i = 0; i < entry.job.steps.size(); ++i) {
        auto step = std::make_unique<StepInstance>();
        step->ref = StepRef{entry.job.id, occurrence, static_cast<int>(i)};
        step->job = &entry;
        step->spec = &entry.job.steps[i];
        step->tasks.resize(static_cast<std::size_t>(step->spec->count));
        step->waiting = step->spec->count;
        m_steps[step->ref] = step.get();
        entry.steps.push_back(std::move(step));
    }
    entry.openOccurrences[occurrence] = OpenOccurrence();
}

void JobTable::closeOccurrence(JobEntry &entry, int occurrence)
{
    const auto open = entry.openOccurrences.find(occurrence);
    if (open == entry.openOccurrences.end()) {
        return;
    }
    entry.openOccurrences.erase(open);
    const auto removed = std::remove_if(entry.steps.begin(), entry.steps.end(), [this, occurrence](const std::unique_ptr<StepInstance> &step) {
        if (step->ref.occurrence == occurrence) {
            m_steps.erase(step->ref);
        }
        return step->ref.occurrence == occurrence;
    });
    entry.steps.erase(removed, entry.steps.end());
}

void JobTable::closeStoredOccurrences(JobEntry &entry)
{
    std::vector<int> closable;
    for (const auto &[occurrence, open] : entry.openOccurrences) {
        if (open.doneRevision > 0 && open.doneRevision <= entry.storedRevision) {
            closable.push_back(occurrence);
        }
    }
    for (const int occurrence : closable) {
        const bool hasRuns = std::any_of(entry.steps.begin(), entry.steps.end(), [occurrence](const auto &step) {
            return step->ref.occurrence == occurrence
                && std::any_of(step->tasks.begin(), step->tasks.end(), [](const CellTask &task) { return task.liveRuns > 0; });
        });
        if (!hasRuns) {
            closeOccurrence(entry, occurrence);
        }
    }
}

void JobTable::createDueOccurrences(JobEntry &entry, TimePoint now, std::int64_t unixNowMs)
{
    const int limit = maxOpenOccurrences(entry.job);
    auto open = std::count_if(entry.openOccurrences.begin(), entry.openOccurrences.end(), [](const auto &occurrence) { return occurrence.second.isDue; });
    for (; open < limit; ++open) {
        const int occurrence = entry.doneOccurrences.firstMissingFrom(entry.nextOccurrence);
        const std::int64_t due = entry.job.firstRunUnixMs + occurrence * entry.job.interval.count();
        entry.nextOccurrence = occurrence;
        if (occurrence >= entry.job.occurrenceCount() || (entry.job.occurrences > 0 && unixNowMs < due)) {
            return;
        }
        if (entry.openOccurrences.count(occurrence) == 0) {
            createOccurrence(entry, occurrence);
        }
        entry.openOccurrences[occurrence].isDue = true;
        ++entry.nextOccurrence;
        markReady(entry, occurrence, now);
    }
}

StepInstance *JobTable::findReportedStep(const StepRef &ref)
{
    StepInstance *known = findStep(ref);
    JobEntry *entry = find(ref.job);
    if (known != nullptr || entry == nullptr || entry->outcome != CellJobState::Unknown) {
        return known;
    }
    const bool isStepOfJob = ref.step >= 0 && static_cast<std::size_t>(ref.step) < entry->job.steps.size();
    const bool mayExist = isStepOfJob && ref.occurrence >= 0 && ref.occurrence < entry->job.occurrenceCount()
        && !entry->doneOccurrences.contains(ref.occurrence) && entry->openOccurrences.count(ref.occurrence) == 0
        && entry->openOccurrences.size() < maxReportedOccurrences;
    if (!mayExist) {
        return nullptr;
    }
    createOccurrence(*entry, ref.occurrence);
    return findStep(ref);
}

void JobTable::createAllDueOccurrences(TimePoint now, std::int64_t unixNowMs)
{
    for (const auto &[id, open] : m_unfinished) {
        JobEntry &entry = *open;
        if (entry.job.occurrences > 0) {
            createDueOccurrences(entry, now, unixNowMs);
        }
    }
}

void JobTable::markReady(JobEntry &entry, int occurrence, TimePoint now)
{
    const auto open = entry.openOccurrences.find(occurrence);
    if (open == entry.openOccurrences.end() || !open->second.isDue) {
        return;
    }
    for (const auto &step : entry.steps) {
        if (step->ref.occurrence != occurrence || step->readySince != TimePoint()) {
            continue;
        }
        const bool ready = std::all_of(step->spec->after.begin(), step->spec->after.end(), [&](int before) {
            // All steps of an occurrence are created together, and checkJob() accepts only indexes of earlier steps, so none is missing.
            const StepInstance *earlier = findStep(StepRef{entry.job.id, occurrence, before});
            return earlier == nullptr || earlier->isDone();
        });
        if (ready) {
            step->readySince = now;
        }
    }
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

bool JobTable::isOccurrenceDone(const JobEntry &entry, int occurrence)
{
    return std::all_of(entry.steps.begin(), entry.steps.end(), [occurrence](const auto &step) { return step->ref.occurrence != occurrence || step->isDone(); });
}

void JobTable::completeOccurrenceIfDone(JobEntry &entry, int occurrence, TimePoint now, std::int64_t unixNowMs)
{
    if (!isOccurrenceDone(entry, occurrence)) {
        return;
    }
    entry.doneOccurrences.insert(occurrence, occurrence);
    entry.openOccurrences[occurrence].doneRevision = entry.revision;
    createDueOccurrences(entry, now, unixNowMs);
    if (entry.doneOccurrences.size() >= entry.job.occurrenceCount()) {
        finish(entry, CellJobState::Succeeded, now);
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
    if (step.tasks.at(static_cast<std::size_t>(index)).phase == CellTaskPhase::Succeeded || !crashes.add(run, crash)) {
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
