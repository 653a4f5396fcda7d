// Groups of queued jobs with equal demand.
#include "teamqueue.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

/// A group is compacted once it has more items than twice its queued jobs plus this number.
constexpr std::size_t maxDeadItems = 16;

Resources componentMin(const Resources &a, const Resources &b)
{
    return a.limitedTo(b);
}

} // namespace

std::size_t TeamQueue::GroupKeyHash::operator()(const GroupKey &key) const
{
    constexpr std::size_t hashMultiplier = 0x9e3779b97f4a7c15U; // 2^64 divided by the golden ratio.
    std::size_t hash = static_cast<std::size_t>(std::get<0>(key).value());
    hash = hash * hashMultiplier + static_cast<std::size_t>(std::get<1>(key).value());
    hash = hash * hashMultiplier + static_cast<std::size_t>(std::get<2>(key).value());
    hash = hash * hashMultiplier + static_cast<std::size_t>(std::get<3>(key).value());
    return hash * hashMultiplier + std::get<4>(key);
}

TeamQueue::GroupKey TeamQueue::keyOf(const QueueEntry &entry)
{
    const Resources &demand = entry.demand;
    return {demand.cpu, demand.memory, demand.accelerators, demand.slots, entry.allAtOnce ? entry.tasks : 0};
}

bool TeamQueue::isLive(const Item &item, const QueuedJobs &jobs)
{
    const auto found = jobs.find(item.job);
    return found != jobs.end() && found->second.key == item.key;
}

void TeamQueue::insertItem(std::deque<Item> &items, const Item &item)
{
    if (items.empty() || items.back().key < item.key) {
        items.push_back(item);
        return;
    }
    const auto isEarlier = [](const Item &a, const Item &b) { return a.key < b.key; };
    items.insert(std::upper_bound(items.begin(), items.end(), item, isEarlier), item);
}

void TeamQueue::insertIntoOrder(GroupPointer group, const ArrivalKey &key)
{
    removeFromOrder(group->second);
    group->second.orderedBy = key;
    m_order.emplace(key, group);
}

void TeamQueue::removeFromOrder(Group &group)
{
    if (group.orderedBy) {
        m_order.erase(*group.orderedBy);
        group.orderedBy.reset();
    }
}

void TeamQueue::skipGroup(GroupPointer group)
{
    removeFromOrder(group->second);
    if (!group->second.needsRestore) {
        group->second.needsRestore = true;
        m_groupsToRestore.push_back(group);
    }
}

void TeamQueue::push(const QueuedJob &job)
{
    GroupPointer group = &*m_groups.try_emplace(keyOf(job.entry)).first;
    insertItem(group->second.items, Item{job.key, job.entry.job});
    ++group->second.live;
    // A group that was skipped or emptied in this round is not in m_order and returns only in restore(). needsRestore alone is not enough:
    // it is also set if only some jobs of the group were skipped.
    const bool isSkipped = group->second.needsRestore && !group->second.orderedBy;
    if (!isSkipped && (!group->second.orderedBy || job.key < *group->second.orderedBy)) {
        insertIntoOrder(group, job.key);
    }
    m_smallest = m_live == 0 ? job.entry.demand : componentMin(m_smallest, job.entry.demand);
    ++m_live;
    m_tasks += job.entry.tasks;
}

void TeamQueue::compact(Group &group, const QueuedJobs &jobs)
{
    const auto isDead = [&jobs](const Item &item) { return !isLive(item, jobs); };
    group.items.erase(std::remove_if(group.items.begin(), group.items.end(), isDead), group.items.end());
    group.skippedItems.erase(std::remove_if(group.skippedItems.begin(), group.skippedItems.end(), isDead), group.skippedItems.end());
}

void TeamQueue::onJobRemoved(const QueueEntry &entry, const QueuedJobs &jobs)
{
    m_tasks -= entry.tasks;
    --m_live;
    const auto found = m_groups.find(keyOf(entry));
    Group &group = found->second;
    --group.live;
    if (group.live > 0) {
        if (group.items.size() + group.skippedItems.size() > 2 * group.live + maxDeadItems) {
            compact(group, jobs);
        }
        return;
    }
    removeFromOrder(group);
    group.items.clear();
    group.skippedItems.clear();
    if (!group.needsRestore) {
        m_groups.erase(found);
    }
}

bool TeamQueue::isEmpty() const
{
    return m_live == 0;
}

std::uint32_t TeamQueue::tasks() const
{
    return m_tasks;
}

void TeamQueue::addTasks(std::uint32_t added)
{
    m_tasks += added;
}

void TeamQueue::subtractTasks(std::uint32_t subtracted)
{
    m_tasks -= subtracted;
}

const Resources &TeamQueue::smallestDemand() const
{
    return m_smallest;
}

const QueuedJob *TeamQueue::firstEligible(Group &group, const QueuedJobs &jobs, std::uint64_t round)
{
    while (!group.items.empty()) {
        const auto found = jobs.find(group.items.front().job);
        const bool isDead = found == jobs.end() || found->second.key != group.items.front().key;
        if (!isDead && found->second.skippedInRound != round) {
            return &found->second;
        }
        if (!isDead) {
            group.skippedItems.push_back(std::move(group.items.front()));
        }
        group.items.pop_front();
    }
    return nullptr;
}

const QueuedJob *TeamQueue::head(const QueuedJobs &jobs, std::uint64_t round, const EntryPredicate &isEligible)
{
    while (!m_order.empty()) {
        GroupPointer group = m_order.begin()->second;
        const QueuedJob *first = firstEligible(group->second, jobs, round);
        if (first == nullptr || !isEligible(first->entry)) {
            skipGroup(group);
            continue;
        }
        if (!group->second.skippedItems.empty() && !group->second.needsRestore) {
            group->second.needsRestore = true;
            m_groupsToRestore.push_back(group);
        }
        if (first->key == *group->second.orderedBy) {
            return first;
        }
        // The job by whose key the group was ordered was removed or skipped, so another group may now come first.
        insertIntoOrder(group, first->key);
    }
    return nullptr;
}

void TeamQueue::restoreItems(Group &group)
{
    const auto skippedCount = static_cast<std::ptrdiff_t>(group.skippedItems.size());
    group.items.insert(group.items.begin(), group.skippedItems.begin(), group.skippedItems.end());
    group.skippedItems.clear();
    const auto isEarlier = [](const Item &a, const Item &b) { return a.key < b.key; };
    // The items from the boundary on are sorted, so only the skipped items and the boundary are checked. The order is wrong there only if an
    // older job was pushed during the round.
    if (!std::is_sorted(group.items.begin(),
                        group.items.begin() + std::min<std::ptrdiff_t>(skippedCount + 1, static_cast<std::ptrdiff_t>(group.items.size())),
                        isEarlier)) {
        std::inplace_merge(group.items.begin(), group.items.begin() + skippedCount, group.items.end(), isEarlier);
    }
}

bool TeamQueue::restore()
{
    const bool hadSkipped = !m_groupsToRestore.empty();
    for (GroupPointer group : m_groupsToRestore) {
        Group &content = group->second;
        content.needsRestore = false;
        if (content.live == 0) {
            m_groups.erase(GroupKey(group->first));
            continue;
        }
        restoreItems(content);
        insertIntoOrder(group, content.items.front().key);
    }
    m_groupsToRestore.clear();
    return hadSkipped;
}

} // namespace KingCupLadder
