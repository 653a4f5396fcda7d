// Job queue of a shard: weighted dominant resource fairness between teams, with strict priorities, ageing, and an allotment as
// the upper limit of each team.
#pragma once

#include "ids.h"
#include "job.h"
#include "resources.h"
#include "units.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace KingCupLadder {

struct FairQueueSettings {
    /// If a team has had a job queued for this long without starting any job of the same priority, the team comes before teams with a
    /// lower share. Prevents starvation of teams above their share.
    Duration ageingTime{60000};
};

/// A job with queued tasks.
struct QueueEntry {
    JobId job;
    TeamId team;
    Priority priority = Priority::Normal;
    Resources demand; ///< Demand of one task.
    std::uint32_t tasks = 1; ///< Number of queued tasks.
    bool allAtOnce = false;
    Duration declaredRunTime{0};
    TimePoint queuedAt{}; ///< When the job was queued.
};

/// A scheduling round is a beginRound() call followed by next() calls; each returned entry is then dequeued or skipped.
class FairQueue
{
public:
    explicit FairQueue(const FairQueueSettings &settings);
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    /// Sets the weight of the team; its dominant share is divided by the weight.
    void setTeamWeight(const TeamId &team, double weight);
    void setAllotment(const TeamId &team, const Resources &allotment);
    /// Sets the capacity relative to which dominant shares are computed.
    void setTotalCapacity(const Resources &total);

    /// Counts resources against the allotment: running, reserved, or possibly running on workers whose inventory has not been read.
    void charge(const TeamId &team, const Resources &amount);
    void discharge(const TeamId &team, const Resources &amount);
    /// The resources that are counted against the team's allotment.
    [[nodiscard]] Resources usage(const TeamId &team) const;
    /// Whether the amount fits into the unused part of the team's allotment.
    [[nodiscard]] bool fitsAllotment(const TeamId &team, const Resources &amount) const;

    /// Adds the entry, or adds its tasks to the queued ones if the job is already queued. O(log teams).
    void push(const QueueEntry &entry);
    /// Removes the job. O(1) amortized.
    void remove(const JobId &job);
    [[nodiscard]] bool contains(const JobId &job) const;
    [[nodiscard]] std::uint32_t queuedTasks() const;
    [[nodiscard]] std::uint32_t queuedTasks(const TeamId &team) const;
    /// Total demand of all queued tasks of the team.
    [[nodiscard]] Resources queuedDemand(const TeamId &team) const;

    /// Starts a new round, in which nothing is skipped yet.
    void beginRound(TimePoint now);
    /// The entry to start next, among those that were not skipped and whose team's allotment admits one task, or all tasks if
    /// allAtOnce is set. Urgent entries come first. Empty if there is none.
    [[nodiscard]] std::optional<QueueEntry> next();
    /// Skips the job for the rest of the round.
    void skip(const JobId &job);
    /// Skips every job of this priority whose demand is at least @p demand in each resource, for the rest of the round.
    void skipDemand(Priority priority, const Resources &demand);
    /// Removes one queued task, or all tasks if allAtOnce is set, and charges their demand to the team.
    void dequeue(const JobId &job);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
