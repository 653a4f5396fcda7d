// Internal to fairqueue: the waiting jobs of one team at one priority, grouped by equal demand. A group is passed over as a
// whole, so that a round does not visit every job that can't start.
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

/// Order of arrival: the time, then the order of pushes.
using ArrivalKey = std::pair<TimePoint, std::uint64_t>;

/// A job in the queue.
struct QueuedJob {
    QueueEntry entry;
    ArrivalKey key;
    std::uint32_t team = 0; ///< Position among the queue's teams.
    std::uint64_t skippedInRound = 0;
};

using QueuedJobs = std::unordered_map<JobId, QueuedJob>;

class FairQueueLane
{
public:
    /// Whether a job like this may start now, by allotment and by the demands that the round has given up.
    using Accepts = std::function<bool(const QueueEntry &)>;

    /// The job must be among the queue's jobs already.
    void push(const QueuedJob &job);
    /// The job has left @p jobs; what remains of it in its group is dropped later. O(1) amortized.
    void forget(const QueueEntry &entry, const QueuedJobs &jobs);
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::uint32_t tasks() const;
    void addTasks(std::uint32_t added);
    void subtractTasks(std::uint32_t subtracted);
    /// At most the demand of every job that waits, in each component.
    [[nodiscard]] const Resources &smallestDemand() const;

    /// The first job by arrival that is accepted and was not skipped; null if there is none in this round.
    [[nodiscard]] const QueuedJob *head(const QueuedJobs &jobs, std::uint64_t round, const Accepts &accepts);
    /// Brings back what the round passed over; true if there was any.
    bool restore();

private:
    /// Jobs with equal demand. The members of an all-at-once job count together, so its size is part of what makes it equal.
    using GroupKey = std::tuple<MilliCores, MebiBytes, Accelerators, Slots, std::uint32_t>;
    struct HashOfKey {
        std::size_t operator()(const GroupKey &key) const;
    };
    struct Item {
        ArrivalKey key;
        JobId job;
    };
    struct Group {
        std::deque<Item> items; ///< By arrival; includes jobs that have left.
        std::vector<Item> passedOver; ///< Skipped by name in this round, by arrival; may include jobs that have left.
        std::size_t live = 0; ///< Jobs that have not left, in both.
        std::optional<ArrivalKey> orderedBy; ///< Key in m_order, at most that of the first item.
        bool setAside = false; ///< In m_setAside.
    };
    using Groups = std::unordered_map<GroupKey, Group, HashOfKey>;
    using GroupPointer = Groups::value_type *; ///< Stays valid while the group exists.

    static GroupKey keyOf(const QueueEntry &entry);
    static bool isLive(const Item &item, const QueuedJobs &jobs);
    static void insertItem(std::deque<Item> &items, const Item &item);
    static void compact(Group &group, const QueuedJobs &jobs);
    static void restoreItems(Group &group);
    static const QueuedJob *firstOf(Group &group, const QueuedJobs &jobs, std::uint64_t round);
    void order(GroupPointer group, const ArrivalKey &key);
    void unorder(Group &group);
    void setAside(GroupPointer group);

    Groups m_groups;
    std::map<ArrivalKey, GroupPointer> m_order; ///< Groups that the round has not passed over, by their first item.
    std::vector<GroupPointer> m_setAside; ///< Groups that must be put back in order by restore().
    std::size_t m_live = 0; ///< Jobs.
    std::uint32_t m_tasks = 0;
    Resources m_smallest;
};

} // namespace KingCupLadder
