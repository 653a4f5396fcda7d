// Groups of waiting jobs with equal demand.
#include "fairqueuelane.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

/// Items of jobs that have left are tolerated up to this number beyond the live ones before a group is compacted.
constexpr std::size_t deadItemAllowance = 16;

Resources smallerOf(const Resources &a, const Resources &b)
{
    return a.limitedTo(b);
}

} // namespace

std::size_t FairQueueLane::HashOfKey::operator()(const GroupKey &key) const
{
    constexpr std::size_t mix = 0x9e3779b97f4a7c15U;
    std::size_t hash = static_cast<std::size_t>(std::get<0>(key).value());
    hash = hash * mix + static_cast<std::size_t>(std::get<1>(key).value());
    hash = hash * mix + static_cast<std::size_t>(std::get<2>(key).value());
    hash = hash * mix + static_cast<std::size_t>(std::get<3>(key).value());
    return hash * mix + std::get<4>(key);
}

FairQueueLane::GroupKey FairQueueLane::keyOf(const QueueEntry &entry)
{
    const Resources &demand = entry.demand;
    return {demand.cpu, demand.memory, demand.accelerators, demand.slots, entry.allAtOnce ? entry.tasks : 0};
}

bool FairQueueLane::isLive(const Item &item, const QueuedJobs &jobs)
{
    const auto found = jobs.find(item.job);
    return found != jobs.end() && found->second.key == item.key;
}

void FairQueueLane::insertItem(std::deque<Item> &items, const Item &item)
{
    if (items.empty() || items.back().key < item.key) {
        items.push_back(item);
        return;
    }
    const auto later = [](const Item &a, const Item &b) { return a.key < b.key; };
    items.insert(std::upper_bound(items.begin(), items.end(), item, later), item);
}

void FairQueueLane::order(GroupPointer group, const ArrivalKey &key)
{
    unorder(group->second);
    group->second.orderedBy = key;
    m_order.emplace(key, group);
}

void FairQueueLane::unorder(Group &group)
{
    if (group.orderedBy) {
        m_order.erase(*group.orderedBy);
        group.orderedBy.reset();
    }
}

void FairQueueLane::setAside(GroupPointer group)
{
    unorder(group->second);
    if (!group->second.setAside) {
        group->second.setAside = true;
        m_setAside.push_back(group);
    }
}

void FairQueueLane::push(const QueuedJob &job)
{
    GroupPointer group = &*m_groups.try_emplace(keyOf(job.entry)).first;
    insertItem(group->second.items, Item{job.key, job.entry.job});
    ++group->second.live;
    const bool isPassedOver = group->second.setAside && !group->second.orderedBy;
    if (!isPassedOver && (!group->second.orderedBy || job.key < *group->second.orderedBy)) {
        order(group, job.key);
    }
    m_smallest = m_live == 0 ? job.entry.demand : smallerOf(m_smallest, job.entry.demand);
    ++m_live;
    m_tasks += job.entry.tasks;
}

void FairQueueLane::compact(Group &group, const QueuedJobs &jobs)
{
    const auto isDead = [&jobs](const Item &item) { return !isLive(item, jobs); };
    group.items.erase(std::remove_if(group.items.begin(), group.items.end(), isDead), group.items.end());
    group.passedOver.erase(std::remove_if(group.passedOver.begin(), group.passedOver.end(), isDead), group.passedOver.end());
}

void FairQueueLane::forget(const QueueEntry &entry, const QueuedJobs &jobs)
{
    m_tasks -= entry.tasks;
    --m_live;
    const auto found = m_groups.find(keyOf(entry));
    Group &group = found->second;
    --group.live;
    if (group.live > 0) {
        if (group.items.size() + group.passedOver.size() > 2 * group.live + deadItemAllowance) {
            compact(group, jobs);
        }
        return;
    }
    unorder(group);
    group.items.clear();
    group.passedOver.clear();
    if (!group.setAside) {
        m_groups.erase(found);
    }
}

bool FairQueueLane::isEmpty() const
{
    return m_live == 0;
}

std::uint32_t FairQueueLane::tasks() const
{
    return m_tasks;
}

void FairQueueLane::addTasks(std::uint32_t added)
{
    m_tasks += added;
}

void FairQueueLane::subtractTasks(std::uint32_t subtracted)
{
    m_tasks -= subtracted;
}

const Resources &FairQueueLane::smallestDemand() const
{
    return m_smallest;
}

const QueuedJob *FairQueueLane::firstOf(Group &group, const QueuedJobs &jobs, std::uint64_t round)
{
    while (!group.items.empty()) {
        const auto found = jobs.find(group.items.front().job);
        const bool isDead = found == jobs.end() || found->second.key != group.items.front().key;
        if (!isDead && found->second.skippedInRound != round) {
            return &found->second;
        }
        if (!isDead) {
            group.passedOver.push_back(std::move(group.items.front()));
        }
        group.items.pop_front();
    }
    return nullptr;
}

const QueuedJob *FairQueueLane::head(const QueuedJobs &jobs, std::uint64_t round, const Accepts &accepts)
{
    while (!m_order.empty()) {
        GroupPointer group = m_order.begin()->second;
        const QueuedJob *first = firstOf(group->second, jobs, round);
        if (first == nullptr || !accepts(first->entry)) {
            setAside(group);
            continue;
        }
        if (!group->second.passedOver.empty() && !group->second.setAside) {
            group->second.setAside = true;
            m_setAside.push_back(group);
        }
        if (first->key == *group->second.orderedBy) {
            return first;
        }
        order(group, first->key);
    }
    return nullptr;
}

void FairQueueLane::restoreItems(Group &group)
{
    const auto middle = static_cast<std::ptrdiff_t>(group.passedOver.size());
    group.items.insert(group.items.begin(), group.passedOver.begin(), group.passedOver.end());
    group.passedOver.clear();
    const auto earlier = [](const Item &a, const Item &b) { return a.key < b.key; };
    // Only an older job that was pushed during the round breaks the order.
    if (!std::is_sorted(
            group.items.begin(), group.items.begin() + std::min<std::ptrdiff_t>(middle + 1, static_cast<std::ptrdiff_t>(group.items.size())), earlier)) {
        std::inplace_merge(group.items.begin(), group.items.begin() + middle, group.items.end(), earlier);
    }
}

bool FairQueueLane::restore()
{
    const bool isNeeded = !m_setAside.empty();
    for (GroupPointer group : m_setAside) {
        Group &content = group->second;
        content.setAside = false;
        if (content.live == 0) {
            m_groups.erase(GroupKey(group->first));
            continue;
        }
        restoreItems(content);
        order(group, content.items.front().key);
    }
    m_setAside.clear();
    return isNeeded;
}

} // namespace KingCupLadder
