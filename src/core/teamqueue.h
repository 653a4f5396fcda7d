// Internal to FairQueue: the queued jobs of one team at one priority, grouped by equal demand. A group that can't start is skipped
// as a whole, so a scheduling round does not visit every queued job.
#pragma once

#include "fairqueue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace KingCupLadder {

/// Arrival time, then the order of push() calls.
using ArrivalKey = std::pair<TimePoint, std::uint64_t>;

/// A job in the queue.
struct QueuedJob {
    QueueEntry entry;
    ArrivalKey key;
    std::uint32_t team = 0; ///< Index into the queue's list of teams.
    std::uint64_t skippedInRound = 0; ///< Number of the last round in which the job was skipped.
};

using QueuedJobs = std::unordered_map<JobId, QueuedJob>;

/// The queue of one team at one priority.
class TeamQueue
{
public:
    /// Returns whether the entry is eligible now: it fits in the allotment of the team and its demand was not skipped in this round.
    using EntryPredicate = std::function<bool(const QueueEntry &)>;

    /// The job must already be in the map of queued jobs.
    void push(const QueuedJob &job);
    /// Call after the job was removed from @p jobs. The item of the job in its group is deleted lazily. O(1) amortized.
    void onJobRemoved(const QueueEntry &entry, const QueuedJobs &jobs);
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::uint32_t tasks() const;
    void addTasks(std::uint32_t added);
    void subtractTasks(std::uint32_t subtracted);
    /// A component-wise lower bound of the demands of all queued jobs.
    [[nodiscard]] const Resources &smallestDemand() const;

    /// The earliest job that is eligible and was not skipped in this round, or null.
    [[nodiscard]] const QueuedJob *head(const QueuedJobs &jobs, std::uint64_t round, const EntryPredicate &isEligible);
    /// Makes the groups and jobs that the last round skipped eligible again. Returns whether there were any.
    bool restore();

private:
    /// Identifies jobs of equal demand. All tasks of an all-at-once job start together, so the key includes its task count.
    using GroupKey = std::tuple<MilliCores, MebiBytes, Accelerators, Slots, std::uint32_t>;
    struct GroupKeyHash {
        std::size_t operator()(const GroupKey &key) const;
    };
    struct Item {
        ArrivalKey key;
        JobId job;
    };
    struct Group {
        std::deque<Item> items; ///< By arrival; includes items of removed jobs.
        std::vector<Item> skippedItems; ///< Jobs skipped individually in this round, by arrival; may include items of removed jobs.
        std::size_t live = 0; ///< Number of queued jobs in both containers, without removed ones.
        std::optional<ArrivalKey> orderedBy; ///< Key of the group in m_order; not later than the key of the first item.
        bool needsRestore = false; ///< Whether the group is in m_groupsToRestore.
    };
    using Groups = std::unordered_map<GroupKey, Group, GroupKeyHash>;
    using GroupPointer = Groups::value_type *; ///< Valid as long as the group exists.

    static GroupKey keyOf(const QueueEntry &entry);
    static bool isLive(const Item &item, const QueuedJobs &jobs);
    static void insertItem(std::deque<Item> &items, const Item &item);
    static void compact(Group &group, const QueuedJobs &jobs);
    static void restoreItems(Group &group);
    static const QueuedJob *firstEligible(Group &group, const QueuedJobs &jobs, std::uint64_t round);
    void insertIntoOrder(GroupPointer group, const ArrivalKey &key);
    void removeFromOrder(Group &group);
    void skipGroup(GroupPointer group);

    Groups m_groups;
    std::map<ArrivalKey, GroupPointer> m_order; ///< Groups that the round has not skipped, by their first item.
    std::vector<GroupPointer> m_groupsToRestore; ///< Groups with skipped jobs, which restore() puts back into m_order.
    std::size_t m_live = 0; ///< Number of queued jobs.
    std::uint32_t m_tasks = 0; ///< Number of queued tasks.
    Resources m_smallest;
};

} // namespace KingCupLadder
