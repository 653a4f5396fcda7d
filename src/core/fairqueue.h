// The queue of a shard: orders waiting jobs by priority, by the weighted dominant share of their teams and by age, within the
// teams' allotments.
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
    Duration ageingTime{60000}; ///< A job that waited this long goes before jobs of teams below their share.
};

/// A job with tasks that wait.
struct QueueEntry {
    JobId job;
    TeamId team;
    Priority priority = Priority::Normal;
    Resources demand; ///< Of one task.
    std::uint32_t tasks = 1; ///< That wait.
    bool allAtOnce = false;
    Duration declaredRunTime{0};
    TimePoint since{};
};

class FairQueue
{
public:
    explicit FairQueue(const FairQueueSettings &settings);
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    void setTeam(const TeamId &team, double share);
    void setAllotment(const TeamId &team, const Resources &allotment);
    /// The capacity against which dominant shares are counted.
    void setTotal(const Resources &total);

    /// Use that the allotment counts: running, reserved, or possibly running on workers that have not been read.
    void charge(const TeamId &team, const Resources &amount);
    void discharge(const TeamId &team, const Resources &amount);
    [[nodiscard]] Resources use(const TeamId &team) const;
    /// Whether the team's allotment has room for the amount.
    [[nodiscard]] bool admits(const TeamId &team, const Resources &amount) const;

    /// Adds the entry, or adds its tasks to those that wait if the job is queued already. O(log teams).
    void push(const QueueEntry &entry);
    /// O(1) amortized.
    void remove(const JobId &job);
    [[nodiscard]] bool contains(const JobId &job) const;
    [[nodiscard]] std::uint32_t waitingTasks() const;
    [[nodiscard]] std::uint32_t waitingTasks(const TeamId &team) const;
    /// Of all waiting tasks of the team.
    [[nodiscard]] Resources waitingDemand(const TeamId &team) const;

    /// Starts a round of next() calls; forgets what was skipped.
    void beginRound(TimePoint now);
    /// The entry that should start next among those that were not skipped and whose team's allotment admits one task, or all
    /// tasks if allAtOnce. Empty when there is none. Urgent entries come first.
    [[nodiscard]] std::optional<QueueEntry> next();
    /// Passes over the job for the rest of the round.
    void skip(const JobId &job);
    /// Passes over every job of this priority whose demand is at least @p demand in each resource, for the rest of the round.
    void skipDemand(Priority priority, const Resources &demand);
    /// One waiting task, or all if allAtOnce, leaves the queue; its demand is charged to the team.
    void take(const JobId &job);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
