// Resource accounting of one worker: the amounts committed to tasks, grants and a reserve, bounded by the worker's capacity.
#pragma once

#include "ids.h"
#include "job.h"
#include "resources.h"

#include <cstdint>
#include <unordered_map>

namespace KingCupLadder {

class Ledger
{
public:
    /// If the capacity is below what is committed, entries stay and nothing new is committed until enough is released.
    void setCapacity(const Resources &capacity);

    /// Returns false without effect if the amount does not fit or the entry exists.
    [[nodiscard]] bool commit(const TaskId &task, const Resources &amount);
    [[nodiscard]] bool commit(const GrantId &grant, const Resources &amount);
    /// Adds a task that the worker reported as running. It already uses the resources, so it is added even beyond the capacity.
    void adopt(const TaskId &task, const Resources &amount);
    /// Reserves resources for work of earlier epochs that has no entry of its own. Replaces the previous reserve.
    void setReserve(const Resources &reserve);

    /// Returns the released amount; zero if there was no such entry.
    Resources release(const TaskId &task);
    Resources release(const GrantId &grant);

    [[nodiscard]] bool contains(const TaskId &task) const;
    [[nodiscard]] const Resources &capacity() const;
    [[nodiscard]] const Resources &committed() const; ///< Includes the reserve.
    [[nodiscard]] Resources free() const; ///< Never negative.
    [[nodiscard]] const std::unordered_map<TaskId, Resources> &tasks() const;
    [[nodiscard]] std::size_t grantCount() const;

private:
    Resources m_capacity;
    Resources m_committed; ///< Sum of all entries and the reserve; exceeds m_capacity only after adopt() or a reduced capacity.
    Resources m_reserve;
    std::unordered_map<TaskId, Resources> m_tasks;
    std::unordered_map<GrantId, Resources> m_grants;
};

} // namespace KingCupLadder
