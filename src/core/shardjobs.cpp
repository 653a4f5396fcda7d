// Jobs of a shard from admission to the record of their final state.
#include "shardjobs_p.h"

#include "powerpolicy.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr std::uint32_t failuresToPark = 3; // Distinct healthy workers on which the job failed.
constexpr std::uint32_t maxFailures = 30; // Bounds the attempts of a job in a pool with fewer than three healthy workers.
constexpr std::size_t maxSuspectedWorkers = 2; // If a job failed on more workers, the job is the likely cause and not the next worker.
constexpr Duration longServiceRun{60000}; // A failure of a service that ran this long is not counted against it.
constexpr std::size_t maxFinishedJobs = 20000; // Several hours of the target load of 66,000 jobs a day.
constexpr unsigned attemptBits = 12; // Low bits of an attempt number of a recovered job, for 4,096 attempts in one epoch; the epoch is in the 20 bits above.

std::uint32_t firstAttemptOf(Epoch epoch, bool recovered)
{
    // Earlier owners of a recovered job may have used attempt numbers that no inventory lists any more. The epoch in the number keeps new
    // attempts distinct from those.
    return recovered ? static_cast<std::uint32_t>(epoch.value() << attemptBits) + 1 : 1;
}

} // namespace

ShardJobs::ShardJobs(ShardState &state) : m_state(state) { }

std::string ShardJobs::whyNeverFits(const JobSpec &spec) const
{
    const std::uint32_t gangSize = spec.allAtOnce ? spec.taskCount : 1;
    if (m_state.hasTables() && !(spec.demand * gangSize).fitsIn(m_state.teamLimit(spec.team))) {
        return "the demand is larger than the limit of team " + spec.team.value();
    }
    if (!m_state.allWorkersRead() || m_state.readWorkerCount() == 0 || m_state.couldEverFit(spec.demand, gangSize)) {
        return {};
    }
    return gangSize > 1 ? "the tasks do not fit into the pool together" : "no worker of the pool is large enough";
}

Result<bool> ShardJobs::enqueue(const JobSpec &spec, TimePoint now)
{
    if (m_state.job(spec.id) != nullptr || m_state.finishedJobs.count(spec.id) > 0) {
        return false;
    }
    if (spec.taskCount == 0) {
        return Error{ErrorKind::InvalidInput, "the job has no tasks", "set taskCount to 1 or more"};
    }
    const std::string reason = whyNeverFits(spec);
    if (!reason.empty()) {
        return Error{ErrorKind::NeverFits, reason, "lower the demand, use a pool with larger VMs, or raise the team's limit"};
    }
    add(spec, now);
    return true;
}

void ShardJobs::add(const JobSpec &spec, TimePoint now)
{
    auto job = std::make_unique<ShardJob>(spec, false, firstAttemptOf(m_state.settings.epoch, false));
    m_state.enqueueTasks(*job, spec.taskCount, now);
    m_state.jobs.emplace(spec.id, std::move(job));
}

void ShardJobs::recover(const std::vector<JobRecord> &records, TimePoint now)
{
    for (const JobRecord &record : records) {
        const JobSpec &spec = record.spec;
        if (isFinal(record.state) || spec.taskCount == 0 || m_state.job(spec.id) != nullptr) {
            continue;
        }
        if (record.epoch >= m_state.settings.epoch && record.state == JobState::Queued) {
            add(spec, now); // Admitted in this epoch, so no earlier owner has started it.
            continue;
        }
        const std::uint32_t first = firstAttemptOf(m_state.settings.epoch, true);
        auto job = std::make_unique<ShardJob>(spec, true, first);
        job->startPersisted = record.state == JobState::Started;
        m_state.jobs.emplace(spec.id, std::move(job));
        m_state.heldJobs.insert(spec.id);
    }
    m_state.recoveredOnce = true;
    if (m_state.allWorkersRead() || !m_state.settings.safetyChecks.proveStoppedBeforeRestart) {
        releaseHeld(now);
    }
}

void ShardJobs::cancel(const JobId &id, TimePoint now)
{
    ShardJob *job = m_state.job(id);
    if (job != nullptr && !job->finalState) {
        setFinalState(*job, JobState::Cancelled, "cancelled", now);
    }
}

void ShardJobs::onJobStatePersisted(const JobId &id, JobState state)
{
    ShardJob *job = m_state.job(id);
    if (job == nullptr) {
        return;
    }
    if (state == JobState::Started) {
        job->startPersisted = true;
        m_state.needsRound = true;
        return;
    }
    if (job->finalState && *job->finalState == state) {
        job->finalPersisted = true;
        updateCompletion(*job);
    }
}

void ShardJobs::requestStartPersist(ShardJob &job)
{
    if (!std::exchange(job.startPersistRequested, true)) {
        m_state.requestPersist(job.spec.id, JobState::Started, {});
    }
}

void ShardJobs::endAttempt(ShardJob &job, std::uint32_t task, AttemptOutcome outcome, const std::string &reason, TimePoint now)
{
    const TaskState attempt = job.tasks.at(task);
    m_state.releaseAttempt(job, task);
    if (outcome != AttemptOutcome::NotStarted) {
        ++m_state.counters.taskEnds;
    }
    if (outcome == AttemptOutcome::Succeeded) {
        m_state.workers[attempt.workerIndex]->health.onSuccess();
        m_state.refreshWorker(attempt.workerIndex);
        applySuccess(job, task, now);
    } else if (outcome == AttemptOutcome::Failed) {
        countFailure(job, attempt, now);
        applyFailure(job, task, reason, now);
    } else {
        applyInterruption(job, task, outcome, now);
    }
    updateCompletion(job);
}

void ShardJobs::endEarlierAttempt(ShardJob &job, const TaskId &task, TaskOutcome outcome, const std::string &reason, TimePoint now)
{
    const TaskPhase phase = job.tasks.at(task.index).phase;
    if ((phase != TaskPhase::Held && phase != TaskPhase::Queued) || task.attempt <= job.tasks.at(task.index).highestAttempt) {
        return;
    }
    job.tasks.recordPastAttempt(task.index, task.attempt);
    const bool isCompleted = outcome == TaskOutcome::Succeeded && job.spec.workClass != WorkClass::Service;
    if (!isCompleted && !job.spec.startOnce) {
        return;
    }
    job.tasks.end(task.index, isCompleted);
    if (phase == TaskPhase::Queued) {
        m_state.rebuildQueueEntry(job, now);
    }
    if (!isCompleted && !job.finalState) {
        const bool failed = outcome == TaskOutcome::Failed;
        setFinalState(job, failed ? JobState::Failed : JobState::Parked, failed ? reason : "a task that may start only once was interrupted", now);
    } else if (!job.finalState && job.tasks.count(TaskPhase::Ended) == job.tasks.size()) {
        setFinalState(job, JobState::Succeeded, {}, now);
    }
    updateCompletion(job);
}

void ShardJobs::applySuccess(ShardJob &job, std::uint32_t task, TimePoint now)
{
    job.failedOn.clear();
    job.failures = 0;
    if (job.spec.workClass == WorkClass::Service && !job.finalState) {
        m_state.requeue(job, task, now);
        return;
    }
    job.tasks.end(task, true);
    if (!job.finalState && job.tasks.count(TaskPhase::Ended) == job.tasks.size()) {
        setFinalState(job, JobState::Succeeded, {}, now);
    }
}

void ShardJobs::applyFailure(ShardJob &job, std::uint32_t task, const std::string &reason, TimePoint now)
{
    if (job.finalState || job.spec.startOnce) {
        job.tasks.end(task, false);
        if (!job.finalState) {
            setFinalState(job, JobState::Failed, reason, now);
        }
        return;
    }
    m_state.requeue(job, task, now);
    if (shouldPark(job)) {
        const std::string cause = job.failedOn.size() >= failuresToPark ? "failed on 3 distinct healthy workers" : "failed too many times";
        setFinalState(job, JobState::Parked, cause + (reason.empty() ? "" : ": " + reason), now);
    }
}

void ShardJobs::applyInterruption(ShardJob &job, std::uint32_t task, AttemptOutcome outcome, TimePoint now)
{
    if (job.finalState) {
        job.tasks.end(task, false);
        return;
    }
    if (job.spec.startOnce && outcome != AttemptOutcome::NotStarted) {
        job.tasks.end(task, false);
        setFinalState(job, JobState::Parked, "outcome unknown: a task that may start only once did not report its result", now);
        return;
    }
    m_state.requeue(job, task, now);
}

void ShardJobs::countFailure(ShardJob &job, const TaskState &attempt, TimePoint now)
{
    ShardWorker &worker = *m_state.workers[attempt.workerIndex];
    const bool ranLong = now - attempt.placedAt >= longServiceRun;
    if (job.spec.workClass == WorkClass::Service && ranLong) {
        job.failedOn.clear();
        job.failures = 0;
        return;
    }
    ++job.failures;
    const bool known = std::find(job.failedOn.begin(), job.failedOn.end(), worker.vm.id) != job.failedOn.end();
    const bool suspectsWorker = known || job.failedOn.size() < maxSuspectedWorkers;
    if (!known) {
        job.failedOn.push_back(worker.vm.id);
    }
    if (suspectsWorker) {
        revokeFailures(worker.health.onFailure(job.spec.id, now), worker.vm.id);
    }
    if (worker.health.state() == HealthState::Quarantined) {
        m_state.scheduleTimer(attempt.workerIndex, worker.health.quarantinedUntil());
    }
    m_state.refreshWorker(attempt.workerIndex);
}

void ShardJobs::revokeFailures(const std::vector<JobId> &jobs, const WorkerId &worker)
{
    for (const JobId &id : jobs) {
        ShardJob *job = m_state.job(id);
        if (job == nullptr) {
            continue;
        }
        const auto it = std::find(job->failedOn.begin(), job->failedOn.end(), worker);
        if (it != job->failedOn.end()) {
            job->failedOn.erase(it);
            job->failures -= std::min(job->failures, 1U);
        }
    }
}

bool ShardJobs::shouldPark(const ShardJob &job) const
{
    if (job.failures >= maxFailures) {
        return true;
    }
    const auto countingWorkers = std::count_if(job.failedOn.begin(), job.failedOn.end(), [this](const WorkerId &id) {
        const ShardWorker *worker = m_state.worker(id);
        return worker == nullptr || worker->health.failuresCountAgainstJobs();
    });
    return countingWorkers >= failuresToPark;
}

void ShardJobs::stopAttempt(ShardJob &job, std::uint32_t task, TimePoint now)
{
    const TaskPhase phase = job.tasks.at(task).phase;
    if (phase == TaskPhase::Reserved) {
        endAttempt(job, task, AttemptOutcome::NotStarted, {}, now);
    } else if (mayRun(phase) && job.tasks.advance(task, TaskPhase::Stopping)) {
        m_state.addControl(job, task, TaskAction::Stop, now);
    }
}

void ShardJobs::checkpoint(ShardJob &job, std::uint32_t task, TimePoint now)
{
    const TaskPhase phase = job.tasks.at(task).phase;
    if (phase == TaskPhase::Reserved) {
        endAttempt(job, task, AttemptOutcome::NotStarted, {}, now);
    } else if (job.tasks.advance(task, TaskPhase::Checkpointing)) {
        m_state.addControl(job, task, TaskAction::Checkpoint, now);
    }
}

void ShardJobs::applyPower(ShardJob &job, std::uint32_t task, TimePoint now)
{
    const PowerEffect effect = powerEffect(m_state.power(), job.spec.workClass, job.spec.priority, job.spec.startOnce);
    const bool throttled = job.tasks.at(task).throttled;
    if (effect == PowerEffect::Checkpoint) {
        checkpoint(job, task, now);
    } else if (effect == PowerEffect::Throttle && !throttled) {
        job.tasks.setThrottled(task, true);
        m_state.everThrottled = true;
        m_state.addControl(job, task, TaskAction::Throttle, now);
    } else if (effect == PowerEffect::Run && throttled) {
        job.tasks.setThrottled(task, false);
        m_state.addControl(job, task, TaskAction::Resume, now);
    }
}

void ShardJobs::setFinalState(ShardJob &job, JobState state, const std::string &reason, TimePoint now)
{
    job.finalState = state;
    job.reason = reason;
    m_state.queue.remove(job.spec.id);
    m_state.heldJobs.erase(job.spec.id);
    m_state.releasePreemptedWorkers(job.spec.id);
    if (m_state.gang.isActive() && m_state.gang.entry().job == job.spec.id) {
        m_state.gang.end();
    }
    m_state.needsRound = true;
    const bool stops = state == JobState::Cancelled || state == JobState::Parked;
    // stopAttempt() may remove the job, so the loop checks that it still exists.
    if (stops && job.tasks.liveAttempts() > 0) {
        const JobId id = job.spec.id;
        for (std::uint32_t task = 0; m_state.job(id) == &job && task < job.tasks.size(); ++task) {
            stopAttempt(job, task, now);
        }
    }
    updateCompletion(job);
}

void ShardJobs::updateCompletion(ShardJob &job)
{
    if (!job.finalState) {
        return;
    }
    const bool allStopped = job.tasks.liveAttempts() == 0;
    // A cancellation is persisted at once. Other final states are persisted only when nothing runs any more, so that a new owner still
    // finds the job in the store while its tasks run.
    if ((allStopped || *job.finalState == JobState::Cancelled) && !std::exchange(job.finalPersistRequested, true)) {
        m_state.requestPersist(job.spec.id, *job.finalState, job.reason);
    }
    if (allStopped && job.finalPersisted) {
        removeJob(job.spec.id);
    }
}

void ShardJobs::removeJob(const JobId &id)
{
    m_state.finishedJobs.insert(id);
    m_state.finishedOrder.push_back(id);
    m_state.jobs.erase(id); // Must come last, since the id may be a member of the job.
    if (m_state.finishedOrder.size() > maxFinishedJobs) {
        m_state.finishedJobs.erase(m_state.finishedOrder.front());
        m_state.finishedOrder.pop_front();
    }
}

void ShardJobs::releaseHeld(TimePoint now)
{
    const std::unordered_set<JobId> held = std::exchange(m_state.heldJobs, {});
    for (const JobId &id : held) {
        ShardJob *job = m_state.job(id);
        if (job == nullptr || job->finalState) {
            continue;
        }
        if (job->tasks.count(TaskPhase::Ended) == job->tasks.size()) {
            setFinalState(*job, JobState::Succeeded, {}, now);
        } else if (job->spec.startOnce && job->startPersisted && job->tasks.count(TaskPhase::Held) > 0) {
            setFinalState(*job, JobState::Parked, "outcome unknown: the start was recorded and no worker has the task", now);
        } else {
            m_state.enqueueTasks(*job, job->tasks.releaseHeld(), now);
        }
    }
}

} // namespace KingCupLadder
