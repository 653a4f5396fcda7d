// State of the task attempts of one job. Enforces that an index gets a new attempt only after the earlier one is over.
#pragma once

#include "units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace KingCupLadder {

enum class TaskPhase : std::uint8_t {
    Held, ///< Recovered; an attempt may run on a worker that was not read.
    Queued, ///< No attempt exists that is not proved stopped.
    Reserved, ///< Committed on a worker; the start was not sent.
    Starting, ///< The start was sent and not answered.
    Running,
    Checkpointing, ///< Asked to save its state and stop.
    Stopping, ///< Asked to stop.
    Uncertain, ///< The start was sent and its answer was lost.
    Ended, ///< Finished; the index never starts again.
};

[[nodiscard]] const char *toString(TaskPhase phase);
/// Whether an attempt in this phase may be running.
[[nodiscard]] bool mayRun(TaskPhase phase);

/// One index of a job. 32 bytes, since a controller holds 20,000 of them.
struct TaskState {
    std::uint32_t attempt = 0; ///< The current or last attempt; 0: none yet.
    std::uint32_t highest = 0; ///< Attempt numbers up to this one are used.
    std::uint32_t worker = 0; ///< Index of the worker; only meaningful from Reserved to Uncertain.
    TimePoint since{}; ///< When the attempt was placed.
    std::uint64_t startSequence = 0; ///< Of the batch that carried the start; later inventories may prove it stopped.
    TaskPhase phase = TaskPhase::Queued;
    bool throttled = false;
    bool succeeded = false; ///< Only with Ended.
    bool uncertainStart = false; ///< The answer to its start was lost; only an inventory or the removal of the VM settles it.
};

class TaskLifecycle
{
public:
    /// @p held: the indexes begin as Held instead of Queued. New attempts are numbered from @p firstAttempt.
    TaskLifecycle(std::uint32_t tasks, bool held, std::uint32_t firstAttempt);

    [[nodiscard]] std::uint32_t size() const;
    [[nodiscard]] std::uint32_t count(TaskPhase phase) const;
    /// Attempts that may run or may be sent.
    [[nodiscard]] std::uint32_t live() const;
    [[nodiscard]] const TaskState &at(std::uint32_t index) const;
    [[nodiscard]] bool isCurrent(std::uint32_t index, std::uint32_t attempt) const;

    /// Puts a queued index on a worker under a new attempt. Empty if none is queued.
    [[nodiscard]] std::optional<std::uint32_t> reserve(std::uint32_t worker, TimePoint now);
    /// Takes over an attempt found in an inventory; an older one than expected too, since it is the one that runs. False if the
    /// index has a live attempt or has ended.
    [[nodiscard]] bool adopt(std::uint32_t index, std::uint32_t attempt, std::uint32_t worker, TimePoint now);
    /// An attempt that is over was seen; later attempts get higher numbers.
    void learnAttempt(std::uint32_t index, std::uint32_t attempt);
    /// False, without effect, if the step is not one of the life cycle.
    [[nodiscard]] bool advance(std::uint32_t index, TaskPhase next);
    void setStartSequence(std::uint32_t index, std::uint64_t sequence);
    /// The batch with its start was lost.
    void markUncertain(std::uint32_t index);
    /// An inventory lists the attempt as running.
    void confirm(std::uint32_t index);
    void setThrottled(std::uint32_t index, bool throttled);
    /// The live attempt is proved stopped; the index waits again.
    [[nodiscard]] bool requeue(std::uint32_t index);
    /// The index never starts again.
    void end(std::uint32_t index, bool succeeded);
    /// Held indexes become queued. Returns how many.
    std::uint32_t releaseHeld();

private:
    void set(std::uint32_t index, TaskPhase phase);

    std::vector<TaskState> m_tasks;
    std::array<std::uint32_t, 9> m_counts{}; ///< One for each phase; they add up to the number of tasks.
    std::vector<std::uint32_t> m_queued; ///< Candidates; one that is no longer Queued is dropped when it comes up.
    std::uint32_t m_firstAttempt;
};

} // namespace KingCupLadder
