// Internal to the shard controller: which waiting tasks start where, and which running tasks give way.
#pragma once

#include "preemption.h"
#include "shardjobs_p.h"

namespace KingCupLadder {

class ShardPlacement
{
public:
    ShardPlacement(ShardState &state, ShardJobs &jobs);

    /// A round over the queue if anything has changed since the last; bounded work per call.
    void run(TimePoint now);
    /// Throttles, checkpoints or resumes running tasks after the pool's power source changed.
    void applyPower(TimePoint now);

private:
    void step(const QueueEntry &entry, TimePoint now);
    [[nodiscard]] bool mustWait(const ShardJob &job, const QueueEntry &entry, TimePoint now) const;
    [[nodiscard]] bool leavesRequestMinimum(const Resources &demand, TimePoint now) const;
    void placeOne(ShardJob &job, const QueueEntry &entry, TimePoint now);
    void placeAllAtOnce(ShardJob &job, const QueueEntry &entry, TimePoint now);
    /// Returns what a partly placed group took.
    void rollBackAllAtOnce(ShardJob &job, std::uint32_t placed, std::uint32_t taken, TimePoint now);
    [[nodiscard]] PlacementOptions optionsFor(const ShardJob &job) const;
    [[nodiscard]] bool placeOnPreemptedWorker(ShardJob &job, TimePoint now);
    void takeFromQueue(const ShardJob &job, std::uint32_t tasks);
    void expireGang(TimePoint now);

    // Making room.

    void preemptFor(const ShardJob &job, std::uint32_t waiting, TimePoint now);
    void preemptForRequests(TimePoint now);
    [[nodiscard]] std::optional<PreemptionPlan> plan(const Resources &demand, TimePoint now);
    [[nodiscard]] PreemptibleWorker describe(WorkerIndex index, TimePoint now) const;
    [[nodiscard]] PreemptibleTask describe(const ShardJob &job, std::uint32_t task, TimePoint now) const;
    void evict(const PreemptionPlan &plan, TimePoint now);
    void enforceLimits(TimePoint now);
    void enforceLimit(const TeamId &team, TimePoint now);

    ShardState &m_state;
    ShardJobs &m_jobs;
    std::unordered_set<TeamId> m_stillOver; ///< Teams above their allotment that are checked again at the next interval.
    std::size_t m_cursor = 0; ///< Where the next search for tasks to preempt begins.
    TimePoint m_lastRound{};
    TimePoint m_nextRetry = TimePoint::max(); ///< When an all-at-once job may try again.
};

} // namespace KingCupLadder
