// Checks of the promises.
#include "guaranteechecker.h"

#include <algorithm>

namespace KingCupLadder::SoakTest {

namespace {

constexpr Duration cancelTerm{6000}; // After the acknowledgement of a cancellation nothing of the job starts any more.
constexpr Duration visibleTerm{3000}; // So long after its admission every daemon knows a job.

} // namespace

void GuaranteeChecker::reportViolation(const std::string &text)
{
    m_breaches.push_back(text);
}

void GuaranteeChecker::recordSent(const CellJob &job)
{
    Entry &entry = m_jobs[job.id];
    entry.job = job;
    ++entry.openAttempts;
}

void GuaranteeChecker::recordAttempt(const JobId &id, bool refused)
{
    Entry &entry = m_jobs.at(id);
    --entry.openAttempts;
    entry.mayBeAdmitted = entry.mayBeAdmitted || !refused;
}

void GuaranteeChecker::recordAdmitted(const JobId &id)
{
    Entry &entry = m_jobs.at(id);
    entry.admittedAt = entry.admitted ? entry.admittedAt : m_loop.now();
    entry.admitted = true;
}

void GuaranteeChecker::recordCancelled(const JobId &id)
{
    m_jobs.at(id).cancelled = m_loop.now();
}

void GuaranteeChecker::recordObservedState(const JobId &id, const std::string &state, TimePoint asked)
{
    Entry &entry = m_jobs.at(id);
    const bool final = state == "completed" || state == "canceled" || state == "failed";
    if (final && entry.endShown == TimePoint()) {
        entry.endShown = m_loop.now();
    }
    if (state == "completed") {
        entry.ended = true;
        if (!isSucceeded(id)) {
            reportViolation("job " + id.value() + " is shown as completed before all of its tasks have succeeded");
        }
    } else if (state == "canceled" || state == "failed") {
        entry.ended = true;
        if (state == "failed" || entry.cancelled == TimePoint()) {
            reportViolation("job " + id.value() + " is shown as " + state + " without cause");
        }
    } else if (state.empty() && entry.admitted && asked - entry.admittedAt > visibleTerm && entry.cancelled == TimePoint()) {
        reportViolation("admitted job " + id.value() + " is said not to exist");
    } else if (entry.ended && entry.cancelled == TimePoint() && asked > entry.endShown) {
        reportViolation("ended job " + id.value() + " is shown as " + state);
    }
}

const StepSpec *GuaranteeChecker::stepOf(const TaskRef &task) const
{
    const auto found = m_jobs.find(task.step.job);
    const bool known = found != m_jobs.end() && task.step.step < static_cast<int>(found->second.job.steps.size());
    return known ? &found->second.job.steps[static_cast<std::size_t>(task.step.step)] : nullptr;
}

void GuaranteeChecker::noteStart(const WorkerId &worker, const StartOrder &order)
{
    ++m_starts;
    const std::string task = order.task.text() + " run " + std::to_string(order.run.value()) + " on " + worker.value();
    const StepSpec *step = stepOf(order.task);
    if (step == nullptr || order.task.index >= step->count) {
        reportViolation(task + " was never submitted");
        return;
    }
    Entry &entry = m_jobs.at(order.task.step.job);
    if (entry.job.payload != order.payload) {
        reportViolation(task + " has another payload");
    }
    if (!entry.admitted && !entry.mayBeAdmitted && entry.openAttempts == 0) {
        reportViolation(task + " belongs to a job of which every attempt was refused");
    }
    if (m_noted.count(order.task) > 0) {
        reportViolation(task + " started after its success was acknowledged");
    }
    if (entry.cancelled != TimePoint() && m_loop.now() - entry.cancelled > cancelTerm) {
        reportViolation(task + " started long after the job's cancellation");
    }
    for (const int before : step->after) {
        if (static_cast<int>(entry.done[before].size()) < entry.job.steps[static_cast<std::size_t>(before)].count) {
            reportViolation(task + " started before step " + std::to_string(before) + " was done");
        }
    }
}

void GuaranteeChecker::recordEnd(const TaskRef &task, RunEnd end)
{
    const StepSpec *step = stepOf(task);
    if (step == nullptr || end != RunEnd::Succeeded) {
        return;
    }
    std::set<int> &done = m_jobs.at(task.step.job).done[task.step.step];
    for (int i = step->gang ? 0 : task.index; i <= (step->gang ? step->count - 1 : task.index); ++i) {
        done.insert(i);
    }
}

void GuaranteeChecker::recordAcknowledged(const TaskRef &task, RunEnd end)
{
    if (end == RunEnd::Succeeded) {
        m_noted.insert(task);
    }
}

bool GuaranteeChecker::isSucceeded(const JobId &id) const
{
    const Entry &entry = m_jobs.at(id);
    for (std::size_t i = 0; i < entry.job.steps.size(); ++i) {
        const auto done = entry.done.find(static_cast<int>(i));
        if (done == entry.done.end() || static_cast<int>(done->second.size()) < entry.job.steps[i].count) {
            return false;
        }
    }
    return true;
}

const std::vector<std::string> &GuaranteeChecker::breaches() const
{
    return m_breaches;
}

std::vector<JobId> GuaranteeChecker::unfinished() const
{
    std::vector<JobId> open;
    for (const auto &[id, entry] : m_jobs) {
        if (entry.admitted && entry.cancelled == TimePoint() && !entry.ended) {
            open.push_back(id);
        }
    }
    return open;
}

std::size_t GuaranteeChecker::admitted() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &entry) { return entry.second.admitted; }));
}

std::size_t GuaranteeChecker::succeeded() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [this](const auto &entry) { return isSucceeded(entry.first); }));
}

std::size_t GuaranteeChecker::starts() const
{
    return m_starts;
}

} // namespace KingCupLadder::SoakTest
