// State machine of task attempts.
#include "tasklifecycle.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::size_t phaseIndex(TaskPhase phase)
{
    return static_cast<std::size_t>(phase);
}

bool isTransition(TaskPhase from, TaskPhase to)
{
    switch (to) {
    case TaskPhase::Starting:
        return from == TaskPhase::Reserved;
    case TaskPhase::Running:
        return from == TaskPhase::Starting || from == TaskPhase::Uncertain;
    case TaskPhase::Uncertain:
        return from == TaskPhase::Starting;
    case TaskPhase::Checkpointing:
        return from == TaskPhase::Running;
    case TaskPhase::Stopping:
        return from == TaskPhase::Starting || from == TaskPhase::Running || from == TaskPhase::Checkpointing || from == TaskPhase::Uncertain;
    case TaskPhase::Held:
    case TaskPhase::Queued:
    case TaskPhase::Reserved:
    case TaskPhase::Ended:
        return false;
    }
    return false;
}

} // namespace

const char *toString(TaskPhase phase)
{
    constexpr std::array<const char *, 9> names{
        "held until all workers have been read", "queued", "reserved", "starting", "running", "checkpointing", "stopping", "uncertain", "ended"};
    return names[phaseIndex(phase)];
}

bool mayRun(TaskPhase phase)
{
    return phase >= TaskPhase::Starting && phase <= TaskPhase::Uncertain;
}

TaskLifecycle::TaskLifecycle(std::uint32_t tasks, bool held, std::uint32_t firstAttempt) : m_tasks(tasks), m_firstAttempt(firstAttempt)
{
    const TaskPhase phase = held ? TaskPhase::Held : TaskPhase::Queued;
    for (TaskState &task : m_tasks) {
        task.phase = phase;
    }
    m_counts[phaseIndex(phase)] = tasks;
    for (std::uint32_t index = tasks; !held && index > 0; --index) {
        m_queued.push_back(index - 1);
    }
}

std::uint32_t TaskLifecycle::size() const
{
    return static_cast<std::uint32_t>(m_tasks.size());
}

std::uint32_t TaskLifecycle::count(TaskPhase phase) const
{
    return m_counts[phaseIndex(phase)];
}

std::uint32_t TaskLifecycle::liveAttempts() const
{
    return size() - count(TaskPhase::Held) - count(TaskPhase::Queued) - count(TaskPhase::Ended);
}

const TaskState &TaskLifecycle::at(std::uint32_t index) const
{
    return m_tasks[index];
}

bool TaskLifecycle::isCurrent(std::uint32_t index, std::uint32_t attempt) const
{
    return index < m_tasks.size() && m_tasks[index].attempt == attempt;
}

void TaskLifecycle::setPhase(std::uint32_t index, TaskPhase phase)
{
    TaskState &task = m_tasks[index];
    --m_counts[phaseIndex(task.phase)];
    ++m_counts[phaseIndex(phase)];
    task.phase = phase;
}

std::optional<std::uint32_t> TaskLifecycle::reserve(std::uint32_t workerIndex, TimePoint now)
{
    while (!m_queued.empty()) {
        const std::uint32_t index = m_queued.back();
        m_queued.pop_back();
        TaskState &task = m_tasks[index];
        if (task.phase != TaskPhase::Queued) {
            continue;
        }
        setPhase(index, TaskPhase::Reserved);
        task.highestAttempt = std::max(task.highestAttempt + 1, m_firstAttempt);
        task.attempt = task.highestAttempt;
        task.workerIndex = workerIndex;
        task.placedAt = now;
        task.startSequence = 0;
        task.throttled = false;
        task.uncertainStart = false;
        return index;
    }
    return std::nullopt;
}

bool TaskLifecycle::adopt(std::uint32_t index, std::uint32_t attempt, std::uint32_t workerIndex, TimePoint now)
{
    if (index >= m_tasks.size()) {
        return false;
    }
    TaskState &task = m_tasks[index];
    const bool isUnplaced = task.phase == TaskPhase::Held || task.phase == TaskPhase::Queued;
    if (!isUnplaced) {
        return false;
    }
    setPhase(index, TaskPhase::Running);
    task.attempt = attempt;
    task.highestAttempt = std::max(task.highestAttempt, attempt);
    task.workerIndex = workerIndex;
    task.placedAt = now;
    task.startSequence = 0;
    task.uncertainStart = false;
    return true;
}

void TaskLifecycle::recordPastAttempt(std::uint32_t index, std::uint32_t attempt)
{
    if (index < m_tasks.size() && !mayRun(m_tasks[index].phase) && m_tasks[index].phase != TaskPhase::Reserved) {
        TaskState &task = m_tasks[index];
        task.highestAttempt = std::max(task.highestAttempt, attempt);
        task.attempt = task.highestAttempt;
    }
}

bool TaskLifecycle::advance(std::uint32_t index, TaskPhase next)
{
    if (!isTransition(m_tasks[index].phase, next)) {
        return false;
    }
    setPhase(index, next);
    return true;
}

void TaskLifecycle::setStartSequence(std::uint32_t index, std::uint64_t sequence)
{
    m_tasks[index].startSequence = sequence;
}

void TaskLifecycle::markUncertain(std::uint32_t index)
{
    m_tasks[index].uncertainStart = true;
    (void)advance(index, TaskPhase::Uncertain);
}

void TaskLifecycle::confirm(std::uint32_t index)
{
    m_tasks[index].uncertainStart = false;
    (void)advance(index, TaskPhase::Running);
}

void TaskLifecycle::setThrottled(std::uint32_t index, bool throttled)
{
    m_tasks[index].throttled = throttled;
}

bool TaskLifecycle::requeue(std::uint32_t index)
{
    const TaskPhase phase = m_tasks[index].phase;
    if (phase == TaskPhase::Ended || phase == TaskPhase::Queued || phase == TaskPhase::Held) {
        return false;
    }
    setPhase(index, TaskPhase::Queued);
    m_queued.push_back(index);
    return true;
}

void TaskLifecycle::end(std::uint32_t index, bool succeeded)
{
    setPhase(index, TaskPhase::Ended);
    m_tasks[index].succeeded = succeeded;
}

std::uint32_t TaskLifecycle::releaseHeld()
{
    const std::uint32_t released = count(TaskPhase::Held);
    for (std::uint32_t index = size(); released > 0 && index > 0; --index) {
        if (m_tasks[index - 1].phase == TaskPhase::Held) {
            setPhase(index - 1, TaskPhase::Queued);
            m_queued.push_back(index - 1);
        }
    }
    return released;
}

} // namespace KingCupLadder
