// Implementation of the checks.
#include "guaranteechecker.h"

#include <algorithm>

namespace KingCupLadder::SoakTest {

namespace {

constexpr Duration maxStartDelayAfterCancel{6000}; // This long after the confirmation of a cancellation, no task of the job may start.
constexpr Duration maxVisibilityDelay{3000}; // By then, every daemon must report an admitted job.
constexpr Duration shrinkGrace = soakContact + soakHeartbeat; // Until then, the capacity before a worker's shrinking counts.
constexpr Duration maxEvacuationDelay{5000}; // The platform's bound evacuate_ms.
constexpr Duration evacuationStretch{6000}; // Added for machines that are not in touch; the platform's bound max_stretch_ms.
constexpr int crashesToGiveUp = 2; // A job may be given up after this many crashes under one of its tasks.
constexpr int maxCrashes = 3; // After this many crashes, machines in touch may start the task fewer than maxStartsOverBudget times.
constexpr int maxStartsOverBudget = 3;

} // namespace

void GuaranteeChecker::reportViolation(const std::string &text)
{
    m_violations.push_back(text);
}

void GuaranteeChecker::recordSent(const CellJob &job)
{
    JobRecord &record = m_jobs[job.id];
    record.job = job;
    ++record.pendingAttempts;
}

void GuaranteeChecker::recordAttemptOutcome(const JobId &id, bool refused)
{
    JobRecord &record = m_jobs.at(id);
    --record.pendingAttempts;
    record.hasAttemptWithUnknownOutcome = record.hasAttemptWithUnknownOutcome || !refused;
}

void GuaranteeChecker::recordAdmitted(const JobId &id)
{
    JobRecord &record = m_jobs.at(id);
    record.firstAdmittedAt = record.admitted ? record.firstAdmittedAt : m_loop.now();
    record.admitted = true;
}

void GuaranteeChecker::recordCancelled(const JobId &id)
{
    JobRecord &record = m_jobs.at(id);
    record.cancelledAt = record.cancelledAt == TimePoint() ? m_loop.now() : record.cancelledAt;
}

void GuaranteeChecker::recordCancelAcknowledged(const JobId &id)
{
    m_jobs.at(id).cancelAcknowledgedAt = m_loop.now();
}

void GuaranteeChecker::recordObservedState(const JobId &id, const std::string &state, TimePoint requestedAt)
{
    JobRecord &record = m_jobs.at(id);
    // A job may be reported as completed only after all of its tasks have succeeded, as canceled only after a caller canceled it, and as
    // failed only if its deadly task has crashed workers, since the route allows many attempts. After that it must stay ended, and an
    // admitted job must be visible.
    const bool final = state == "completed" || state == "canceled" || state == "failed";
    if (final && record.endFirstObservedAt == TimePoint()) {
        record.endFirstObservedAt = m_loop.now();
    }
    if (state == "completed") {
        record.isEnded = true;
        if (!isSucceeded(id)) {
            reportViolation("job " + id.value() + " is reported as completed before all of its tasks have succeeded");
        }
    } else if (state == "canceled" || state == "failed") {
        record.isEnded = true;
        if (state == "failed" ? record.crashes < crashesToGiveUp : record.cancelledAt == TimePoint()) {
            reportViolation("job " + id.value() + " is reported as " + state + " without cause");
        }
    } else if (state.empty() && record.admitted && requestedAt - record.firstAdmittedAt > maxVisibilityDelay && record.cancelledAt == TimePoint()) {
        reportViolation("admitted job " + id.value() + " is reported as not existing");
    } else if (record.isEnded && record.cancelledAt == TimePoint() && requestedAt > record.endFirstObservedAt) {
        reportViolation("ended job " + id.value() + " is reported as " + state);
    }
}

const StepSpec *GuaranteeChecker::stepOf(const TaskRef &task) const
{
    const auto found = m_jobs.find(task.step.job);
    const bool known = found != m_jobs.end() && task.step.step < static_cast<int>(found->second.job.steps.size());
    return known ? &found->second.job.steps[static_cast<std::size_t>(task.step.step)] : nullptr;
}

bool GuaranteeChecker::isDeadly(const TaskRef &task) const
{
    const auto found = m_jobs.find(task.step.job);
    return found != m_jobs.end() && found->second.job.payload.rfind(deadlyMark, 0) == 0
        && task.step.step + 1 == static_cast<int>(found->second.job.steps.size()) && task.index == 0;
}

void GuaranteeChecker::recordCrash(const TaskRef &task)
{
    ++m_crashes;
    ++m_jobs.at(task.step.job).crashes;
}

void GuaranteeChecker::recordCapacity(const WorkerId &worker, const Resources &capacity)
{
    m_capacities[worker].emplace_back(m_loop.now(), capacity);
}

void GuaranteeChecker::checkCapacity(const WorkerId &worker, const Resources &used, bool isLate, bool inTouch)
{
    const auto &capacities = m_capacities.at(worker);
    for (auto entry = capacities.rbegin(); entry != capacities.rend(); ++entry) {
        if (used.fitsIn(entry->second)) {
            return;
        }
        if (!isLate && m_loop.now() - entry->first > shrinkGrace) {
            break; // The capacities before this one ended longer ago than the grace time.
        }
    }
    reportViolation(worker.value() + " is over its capacity, by a start of a machine " + (inTouch ? "in touch" : "out of touch"));
}

void GuaranteeChecker::recordStart(const WorkerId &worker, const StartOrder &order, bool inTouch)
{
    ++m_starts;
    const std::string task = order.task.text() + " run " + std::to_string(order.run.value()) + " on " + worker.value();
    const StepSpec *step = stepOf(order.task);
    if (step == nullptr || order.task.index >= step->count) {
        reportViolation(task + " was never submitted");
        return;
    }
    JobRecord &record = m_jobs.at(order.task.step.job);
    if (record.job.payload != order.payload) {
        reportViolation(task + " has a different payload");
    }
    if (!record.admitted && !record.hasAttemptWithUnknownOutcome && record.pendingAttempts == 0) {
        reportViolation(task + " belongs to a job whose submission attempts were all refused");
    }
    if (isDeadly(order.task) && record.crashes >= maxCrashes && inTouch && ++record.startsOverBudget == maxStartsOverBudget) {
        reportViolation(task + " is the third start in touch after three crashes under the task, of " + std::to_string(record.crashes));
    }
    if (m_acknowledgedTasks.count(order.task) > 0) {
        reportViolation(task + " started after its success was acknowledged");
    }
    if (record.cancelAcknowledgedAt != TimePoint() && m_loop.now() - record.cancelAcknowledgedAt > maxStartDelayAfterCancel) {
        reportViolation(task + " started too long after the job's cancellation");
    }
    for (const int dependency : step->after) {
        if (static_cast<int>(record.succeededTasks[dependency].size()) < record.job.steps[static_cast<std::size_t>(dependency)].count) {
            reportViolation(task + " started before step " + std::to_string(dependency) + " was complete");
        }
    }
}

void GuaranteeChecker::recordEnd(const TaskRef &task, RunEnd end)
{
    const StepSpec *step = stepOf(task);
    if (step == nullptr || end != RunEnd::Succeeded) {
        return;
    }
    std::set<int> &succeededTasks = m_jobs.at(task.step.job).succeededTasks[task.step.step];
    // The success of one member means that the whole gang has succeeded.
    for (int i = step->gang ? 0 : task.index; i <= (step->gang ? step->count - 1 : task.index); ++i) {
        succeededTasks.insert(i);
    }
}

void GuaranteeChecker::recordAcknowledged(const TaskRef &task, RunEnd end)
{
    if (end == RunEnd::Succeeded) {
        m_acknowledgedTasks.insert(task);
    }
}

bool GuaranteeChecker::isSucceeded(const JobId &id) const
{
    const JobRecord &record = m_jobs.at(id);
    for (std::size_t i = 0; i < record.job.steps.size(); ++i) {
        const auto succeededTasks = record.succeededTasks.find(static_cast<int>(i));
        if (succeededTasks == record.succeededTasks.end() || static_cast<int>(succeededTasks->second.size()) < record.job.steps[i].count) {
            return false;
        }
    }
    return true;
}

const std::vector<std::string> &GuaranteeChecker::violations() const
{
    return m_violations;
}

std::vector<JobId> GuaranteeChecker::unfinished() const
{
    std::vector<JobId> unfinishedJobs;
    for (const auto &[id, record] : m_jobs) {
        if (record.admitted && record.cancelledAt == TimePoint() && !record.isEnded) {
            unfinishedJobs.push_back(id);
        }
    }
    return unfinishedJobs;
}

std::size_t GuaranteeChecker::admitted() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &record) { return record.second.admitted; }));
}

std::size_t GuaranteeChecker::succeeded() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [this](const auto &record) { return isSucceeded(record.first); }));
}

void GuaranteeChecker::recordEvacuation(const FailureDomain &domain, bool isEvacuated)
{
    if (isEvacuated) {
        m_evacuatedSince[domain] = m_loop.now();
    } else {
        m_evacuatedSince.erase(domain);
    }
}

void GuaranteeChecker::checkEvacuation(const FailureDomain &domain, const TaskRef &task, bool inTouch)
{
    const Duration allowed = maxEvacuationDelay + (inTouch ? Duration(0) : evacuationStretch);
    for (const auto &[evacuated, since] : m_evacuatedSince) {
        const Duration passed = m_loop.now() - since;
        if (passed > allowed && evacuated == domain) {
            reportViolation(task.text() + " started in failure domain " + domain.value() + " " + std::to_string(passed.count()) + " ms after its evacuation");
        }
        m_startsBesideEvacuations += passed > maxEvacuationDelay && !(evacuated == domain) ? 1 : 0;
    }
}

std::size_t GuaranteeChecker::startsBesideEvacuations() const
{
    return m_startsBesideEvacuations;
}

std::size_t GuaranteeChecker::crashes() const
{
    return m_crashes;
}

std::size_t GuaranteeChecker::starts() const
{
    return m_starts;
}

} // namespace KingCupLadder::SoakTest
