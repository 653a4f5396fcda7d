// Occurrences of the jobs in JobTable: when they are opened and closed, which of their steps are ready, and how they are restored from stored progress.
#include "jobtable.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

// Steps and tasks of the due occurrences of one job that are open at a time.
constexpr int maxOpenSteps = 128;
constexpr int maxOpenTasks = 2000;
constexpr Duration maxCrashAge{3600000}; // Limits the effect of wrong wall clocks.
constexpr std::size_t maxReportedOccurrences = 4000; // Open occurrences of one job, with those that only a worker has reported.

bool isStepDone(const StepSpec &spec, const StepProgress &stored)
{
    const auto count = static_cast<std::size_t>(spec.count);
    return !spec.longRunning && stored.succeeded.size() >= count
        && std::all_of(stored.succeeded.begin(), stored.succeeded.begin() + static_cast<std::ptrdiff_t>(count), [](bool succeeded) { return succeeded; });
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

void JobTable::restore(JobEntry &entry, const JobProgress &progress, TimePoint now, std::int64_t unixNowMs)
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
            restoreStep(entry, *instance, stored, now, unixNowMs);
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

void JobTable::restoreStep(JobEntry &entry, StepInstance &step, const StepProgress &stored, TimePoint now, std::int64_t unixNowMs)
{
    step.gangCheckpoint = stored.gangCheckpoint;
    // Earlier versions of the daemon stored successes of long-running tasks, which are to be restarted however they end.
    const std::size_t successes = step.spec->longRunning ? 0 : std::min(step.tasks.size(), stored.succeeded.size());
    for (std::size_t i = 0; i < successes; ++i) {
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
                // Of a crash without a time it is only known that it came after the submission. The clocks of two leaders may differ.
                const Duration age(std::clamp<std::int64_t>(unixNowMs - crash.unixMs, 0, maxCrashAge.count()));
                step.tasks[static_cast<std::size_t>(index)].crashes.add(run, crash, crash.unixMs > 0 ? now - age : entry.submittedAt);
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

} // namespace KingCupLadder
