// Tasks that crash the workers of a FakeCell, and crashes for other reasons. Crashed workers come back on the same VM and address.
// Records as violations of the cell that a task is started too often after three workers have crashed under it, and that a job fails
// without a cause.
#pragma once

#include "fakecell.h"

#include <map>
#include <string>

namespace KingCupLadder {

/// How a VM comes back after a crash.
enum class WorkerReturn {
    WithNewId, ///< As another worker. The old one stays in the registry until then.
    WithNewIncarnation, ///< As the same worker.
    Never,
};

/// Crashes the workers of a cell, which must outlive this object and must not advance after it is gone.
class CrashingTasks
{
public:
    explicit CrashingTasks(FakeCell &cell) : m_cell(cell)
    {
        m_cell.onRunStarted = [this](const FakeCellWorker &worker, const StartOrder &order) { onRunStarted(worker, order); };
        m_cell.mayGiveUp = [this](const JobId &job) { return mayGiveUp(job); };
    }
    CrashingTasks(const CrashingTasks &) = delete;
    CrashingTasks &operator=(const CrashingTasks &) = delete;

    /// From now on each run of the task crashes its worker @p delay after it was started.
    void makeDeadly(const std::string &job, int step = 0, int index = 0, Duration delay = Duration(10))
    {
        DeadlyTask &task = m_deadly[TaskRef{StepRef{JobId(job), 0, step}, index}];
        task.delay = delay;
        task.isDeadly = true;
    }

    /// Runs of the task that start from now on crash no worker.
    void makeHarmless(const std::string &job, int step = 0, int index = 0)
    {
        m_deadly.at(TaskRef{StepRef{JobId(job), 0, step}, index}).isDeadly = false;
    }

    /// Crashes a worker: its runs are gone and it answers no more.
    void crash(const WorkerId &id)
    {
        FakeCellWorker &worker = m_cell.workers.at(id);
        if (worker.crashed) {
            return;
        }
        for (const auto &[task, run] : worker.running) {
            const auto deadly = m_deadly.find(task);
            if (deadly != m_deadly.end() && deadly->second.isDeadly) {
                ++deadly->second.crashes;
            }
            if (run.gang) {
                m_cell.callAt(m_cell.now + gangBreakDelay, [this, step = task.step, number = run.number] { breakGang(step, number); });
            }
        }
        worker.crashed = true;
        worker.running.clear();
        worker.listedUntil = m_cell.now + (workerReturn == WorkerReturn::Never ? entryExpiry : returnDelay);
        ++m_crashes;
        m_lastCrash = m_cell.now;
        if (workerReturn == WorkerReturn::WithNewId) {
            m_cell.callAt(worker.listedUntil, [this, id] { replace(id); });
        } else if (workerReturn == WorkerReturn::WithNewIncarnation) {
            m_cell.callAt(worker.listedUntil, [this, id] {
                FakeCellWorker &returned = m_cell.workers.at(id);
                returned.restart();
                returned.crashed = false;
            });
        }
    }

    /// Number of workers that have crashed while the deadly task ran on them.
    [[nodiscard]] int crashesUnder(const std::string &job, int step = 0, int index = 0) const
    {
        return m_deadly.at(TaskRef{StepRef{JobId(job), 0, step}, index}).crashes;
    }

    /// Number of all crashes.
    [[nodiscard]] int crashes() const
    {
        return m_crashes;
    }

    [[nodiscard]] TimePoint lastCrash() const
    {
        return m_lastCrash;
    }

    WorkerReturn workerReturn = WorkerReturn::WithNewId;
    Duration returnDelay{3300}; ///< Time from a crash to the return.

private:
    static constexpr Duration entryExpiry{4500}; // A registry entry expires after three missed heartbeats.
    static constexpr Duration gangBreakDelay{100}; // Time after which the other members end; a gang can't succeed without a member.
    static constexpr int crashesBeforeLimit = 3;
    static constexpr int startsAfterLimit = 2; // More starts after the third crash are a violation.
    static constexpr int crashesBeforeGivingUp = 2;

    /// A task that crashes its workers.
    struct DeadlyTask {
        Duration delay{0}; ///< From the start of a run to the crash.
        bool isDeadly = false;
        int crashes = 0; ///< Workers that crashed while the task ran on them.
        int startsAfterThirdCrash = 0; ///< On workers that can be reached.
    };

    void onRunStarted(const FakeCellWorker &worker, const StartOrder &order)
    {
        const auto found = m_deadly.find(order.task);
        if (found == m_deadly.end()) {
            return;
        }
        DeadlyTask &task = found->second;
        if (task.crashes >= crashesBeforeLimit && worker.reachable && ++task.startsAfterThirdCrash > startsAfterLimit) {
            m_cell.violations.push_back(order.task.text() + " started " + std::to_string(task.startsAfterThirdCrash)
                                        + " times after three workers had crashed under it");
        }
        if (!task.isDeadly) {
            return;
        }
        m_cell.callAt(m_cell.now + task.delay, [this, id = worker.info.id, name = order.task, started = m_cell.now] {
            const FakeCellWorker &host = m_cell.workers.at(id);
            const auto run = host.running.find(name);
            if (run != host.running.end() && run->second.started == started) {
                crash(id);
            }
        });
    }

    /// Adds the next worker of a crashed worker's VM.
    void replace(const WorkerId &id)
    {
        FakeCellWorker &old = m_cell.workers.at(id);
        FakeCellWorker next;
        next.info = old.info;
        next.info.id = WorkerId(old.info.vm.value() + "-life" + std::to_string(++m_lives[old.info.vm]));
        next.info.incarnation = old.info.incarnation.next();
        next.info.sequence = 1;
        next.reachable = old.reachable;
        old.isReplaced = true;
        m_cell.workers.emplace(next.info.id, next);
    }

    /// Ends the runs of a gang's members that are left.
    void breakGang(const StepRef &step, RunNumber number)
    {
        for (auto &[id, worker] : m_cell.workers) {
            std::vector<TaskRef> left;
            for (const auto &[task, run] : worker.running) {
                if (task.step == step && run.number == number) {
                    left.push_back(task);
                }
            }
            for (const TaskRef &task : left) {
                worker.end(task, RunEnd::GangBroken);
            }
        }
    }

    [[nodiscard]] bool mayGiveUp(const JobId &job) const
    {
        return std::any_of(m_deadly.begin(), m_deadly.end(), [&job](const auto &deadly) {
            return deadly.first.step.job == job && deadly.second.crashes >= crashesBeforeGivingUp;
        });
    }

    FakeCell &m_cell;
    std::map<TaskRef, DeadlyTask> m_deadly;
    std::map<VmId, int> m_lives; ///< Replaced workers of each VM.
    int m_crashes = 0;
    TimePoint m_lastCrash;
};

} // namespace KingCupLadder
