// Resource accounting of one worker.
#include "ledger.h"

namespace KingCupLadder {

namespace {

template<typename Map, typename Key>
Resources removeEntry(Map &entries, const Key &key)
{
    const auto it = entries.find(key);
    if (it == entries.end()) {
        return {};
    }
    const Resources amount = it->second;
    entries.erase(it);
    return amount;
}

} // namespace

void Ledger::setCapacity(const Resources &capacity)
{
    m_capacity = capacity;
}

bool Ledger::commit(const TaskId &task, const Resources &amount)
{
    if (!amount.fitsIn(free()) || !m_tasks.emplace(task, amount).second) {
        return false;
    }
    m_committed += amount;
    return true;
}

bool Ledger::commit(const GrantId &grant, const Resources &amount)
{
    if (!amount.fitsIn(free()) || !m_grants.emplace(grant, amount).second) {
        return false;
    }
    m_committed += amount;
    return true;
}

void Ledger::adopt(const TaskId &task, const Resources &amount)
{
    if (m_tasks.emplace(task, amount).second) {
        m_committed += amount;
    }
}

void Ledger::setReserve(const Resources &reserve)
{
    m_committed += reserve - m_reserve;
    m_reserve = reserve;
}

Resources Ledger::release(const TaskId &task)
{
    const Resources amount = removeEntry(m_tasks, task);
    m_committed -= amount;
    return amount;
}

Resources Ledger::release(const GrantId &grant)
{
    const Resources amount = removeEntry(m_grants, grant);
    m_committed -= amount;
    return amount;
}

bool Ledger::contains(const TaskId &task) const
{
    return m_tasks.count(task) > 0;
}

const Resources &Ledger::capacity() const
{
    return m_capacity;
}

const Resources &Ledger::committed() const
{
    return m_committed;
}

Resources Ledger::free() const
{
    return (m_capacity - m_committed).clampedToNonNegative();
}

const std::unordered_map<TaskId, Resources> &Ledger::tasks() const
{
    return m_tasks;
}

std::size_t Ledger::grantCount() const
{
    return m_grants.size();
}

} // namespace KingCupLadder
