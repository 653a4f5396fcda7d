// What one worker has committed, for each resource. Refuses to pass the worker's capacity.
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
    /// A smaller capacity than what is committed leaves the entries and admits nothing until enough of them are released.
    void setCapacity(const Resources &capacity);

    /// False, without effect, if the amount does not fit or the entry exists.
    [[nodiscard]] bool commit(const TaskId &task, const Resources &amount);
    [[nodiscard]] bool commit(const GrantId &grant, const Resources &amount);
    /// Enters what the worker reported as running. It is a fact, so it is entered even if the capacity has shrunk below it.
    void adopt(const TaskId &task, const Resources &amount);
    /// Room held for work of earlier epochs that has no entry of its own; replaces the previous amount.
    void setReserve(const Resources &reserve);

    /// The amount that was released; zero if there was no such entry.
    Resources release(const TaskId &task);
    Resources release(const GrantId &grant);

    [[nodiscard]] bool contains(const TaskId &task) const;
    [[nodiscard]] const Resources &capacity() const;
    [[nodiscard]] const Resources &committed() const; ///< With the reserve.
    [[nodiscard]] Resources free() const; ///< Never negative.
    [[nodiscard]] const std::unordered_map<TaskId, Resources> &tasks() const;
    [[nodiscard]] std::size_t grantCount() const;

private:
    Resources m_capacity;
    Resources m_committed; ///< Sum of all entries and the reserve; above m_capacity only through adopt() or a smaller capacity.
    Resources m_reserve;
    std::unordered_map<TaskId, Resources> m_tasks;
    std::unordered_map<GrantId, Resources> m_grants;
};

} // namespace KingCupLadder
