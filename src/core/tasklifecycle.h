// State machine of the task attempts of one job. A task gets a new attempt only after its earlier one has ended.
#pragma once

#include "units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace KingCupLadder {

enum class TaskPhase : std::uint8_t {
    Held, ///< Recovered; an attempt may be running on a worker whose inventory has not been read.
    Queued, ///< All earlier attempts are known to have stopped.
    Reserved, ///< Committed on a worker; the start has not been sent.
    Starting, ///< The start was sent and has not been answered.
    Running,
    Checkpointing, ///< Asked to save its state and stop.
    Stopping, ///< Asked to stop.
    Uncertain, ///< The start was sent and the reply was lost.
    Ended, ///< Final; the task never starts again.
};

[[nodiscard]] const char *toString(TaskPhase phase);
/// Whether an attempt in this phase may be running.
[[nodiscard]] bool mayRun(TaskPhase phase);

/// State of one task of a job. Kept small (40 bytes), since a controller holds 20,000 of them.
struct TaskState {
    std::uint32_t attempt = 0; ///< Number of the current or last attempt; 0: none yet.
    std::uint32_t highestAttempt = 0; ///< The highest attempt number used so far.
    std::uint32_t workerIndex = 0; ///< Valid only from Reserved to Uncertain.
    TimePoint placedAt{}; ///< When the attempt was placed.
    std::uint64_t startSequence = 0; ///< Sequence of the batch with the start. If a later inventory lacks the task, it has stopped.
    TaskPhase phase = TaskPhase::Queued;
    bool throttled = false;
    bool succeeded = false; ///< Set only in the Ended phase.
    /// The reply to the start was lost; resolved only by an inventory or by the removal of the VM. Stays set in the phase Stopping.
    bool uncertainStart = false;
};

class TaskLifecycle
{
public:
    /// With @p held, the tasks begin as Held instead of Queued. New attempts are numbered from @p firstAttempt.
    TaskLifecycle(std::uint32_t tasks, bool held, std::uint32_t firstAttempt);

    [[nodiscard]] std::uint32_t size() const;
    [[nodiscard]] std::uint32_t count(TaskPhase phase) const;
    /// Number of attempts that are reserved or may be running.
    [[nodiscard]] std::uint32_t liveAttempts() const;
    [[nodiscard]] const TaskState &at(std::uint32_t index) const;
    [[nodiscard]] bool isCurrent(std::uint32_t index, std::uint32_t attempt) const;

    /// Reserves a worker for a queued task under a new attempt number. Returns the index of the task, or nothing if none is queued.
    [[nodiscard]] std::optional<std::uint32_t> reserve(std::uint32_t workerIndex, TimePoint now);
    /// Adopts a running attempt that was found in an inventory, even if its number is lower than expected. Returns false if the task
    /// has a live attempt or has ended.
    [[nodiscard]] bool adopt(std::uint32_t index, std::uint32_t attempt, std::uint32_t workerIndex, TimePoint now);
    /// Records the number of an attempt that has ended, so that later attempts get higher numbers.
    void recordPastAttempt(std::uint32_t index, std::uint32_t attempt);
    /// Returns false without effect if the state machine does not have this transition.
    [[nodiscard]] bool advance(std::uint32_t index, TaskPhase next);
    void setStartSequence(std::uint32_t index, std::uint64_t sequence);
    /// Call when the reply to the batch with the start was lost.
    void markUncertain(std::uint32_t index);
    /// Call when an inventory lists the attempt as running.
    void confirm(std::uint32_t index);
    void setThrottled(std::uint32_t index, bool throttled);
    /// Queues the task again after its live attempt has stopped.
    [[nodiscard]] bool requeue(std::uint32_t index);
    /// Sets the final phase; the task never starts again.
    void end(std::uint32_t index, bool succeeded);
    /// Queues all held tasks. Returns their number.
    std::uint32_t releaseHeld();

private:
    void setPhase(std::uint32_t index, TaskPhase phase);

    std::vector<TaskState> m_tasks;
    std::array<std::uint32_t, 9> m_counts{}; ///< Number of tasks in each phase.
    std::vector<std::uint32_t> m_queued; ///< Stack of the indexes of queued tasks; reserve() drops those that are no longer Queued.
    std::uint32_t m_firstAttempt;
};

} // namespace KingCupLadder
