// Internal to the shard controller: places queued tasks on workers and preempts running tasks.
#pragma once

#include "preemption.h"
#include "shardjobs_p.h"

namespace KingCupLadder {

class ShardPlacement
{
public:
    ShardPlacement(ShardState &state, ShardJobs &jobs);

    /// Runs a scheduling round if anything has changed since the last one. The work per call is bounded.
    void run(TimePoint now);
    /// Applies a change of the pool's power source to all running tasks.
    void applyPower(TimePoint now);

private:
    /// Places tasks of the entry, skips it for this round, or removes it from the queue.
    void scheduleEntry(const QueueEntry &entry, TimePoint now);
    [[nodiscard]] bool mustWait(const ShardJob &job, const QueueEntry &entry, TimePoint now) const;
    /// Whether the requests keep their guaranteed share if tasks use @p demand more. True while no requests arrive.
    [[nodiscard]] bool leavesRequestShare(const Resources &demand, TimePoint now) const;
    void placeOne(ShardJob &job, const QueueEntry &entry, TimePoint now);
    void placeAllAtOnce(ShardJob &job, const QueueEntry &entry, TimePoint now);
    /// Undoes the placement of an all-at-once job of which only some tasks could be placed.
    void rollBackAllAtOnce(ShardJob &job, std::uint32_t placed, std::uint32_t taken, TimePoint now);
    [[nodiscard]] PlacementOptions optionsFor(const ShardJob &job) const;
    [[nodiscard]] bool placeOnPreemptedWorker(ShardJob &job, TimePoint now);
    void takeFromQueue(const ShardJob &job, std::uint32_t tasks);
    void expireGang(TimePoint now);

    // Preemption.

    /// Preempts tasks so that up to @p queuedTasks tasks of the urgent job can start.
    void preemptFor(const ShardJob &job, std::uint32_t queuedTasks, TimePoint now);
    void preemptForRequests(TimePoint now);
    /// Searches a bounded number of workers, beginning after those of the previous search.
    [[nodiscard]] std::optional<PreemptionPlan> findPreemptionPlan(const Resources &demand, TimePoint now);
    [[nodiscard]] PreemptibleWorker preemptibleWorker(WorkerIndex index, TimePoint now) const;
    [[nodiscard]] PreemptibleTask preemptibleTask(const ShardJob &job, std::uint32_t task, TimePoint now) const;
    void evict(const PreemptionPlan &plan, TimePoint now);
    void enforceLimits(TimePoint now);
    void enforceLimit(const TeamId &team, TimePoint now);

    ShardState &m_state;
    ShardJobs &m_jobs;
    std::unordered_set<TeamId> m_recheckTeams; ///< Teams above their allotment, to be checked again after the round interval.
    std::size_t m_cursor = 0; ///< Position among the workers where the next search for victims begins.
    TimePoint m_lastRound{};
    TimePoint m_nextRetry = TimePoint::max(); ///< When an all-at-once job may be tried again after its reservation timed out.
};

} // namespace KingCupLadder
