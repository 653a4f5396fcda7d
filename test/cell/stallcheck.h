// Checks the users' rule on accepted jobs: a job that could run does not go without a run for long while most of the room is free. It
// judges by what the fake workers, the store and the policy of a FakeCell know, and by nothing that the scheduler believes.
#pragma once

#include "fakecell.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace KingCupLadder {

/// Watches a FakeCell from its construction on and adds a violation for each job that breaks the rule.
class StallCheck
{
public:
    explicit StallCheck(FakeCell &cell) : m_cell(cell)
    {
        m_cell.afterStep = [this] { check(); };
    }
    StallCheck(const StallCheck &) = delete;
    StallCheck &operator=(const StallCheck &) = delete;
    ~StallCheck()
    {
        m_cell.afterStep = nullptr;
    }

    Duration limit{3000}; ///< A job may go without a run for less than this while it could run.
    TimePoint from; ///< Nothing is recorded before; the time that a job has gone without a run by then counts.

private:
    struct Room {
        const FakeCellWorker *worker;
        Resources free;
    };

    static bool isUnderHalf(std::int64_t used, std::int64_t of)
    {
        return of <= 0 || used * 2 < of;
    }

    /// Whether less than half of @p of is used; a component of zero has no limit.
    static bool isUnderHalf(const Resources &used, const Resources &of)
    {
        return isUnderHalf(used.cpu.value(), of.cpu.value()) && isUnderHalf(used.memory.value(), of.memory.value())
            && isUnderHalf(used.accelerators.value(), of.accelerators.value());
    }

    void check()
    {
        readWorkers();
        const bool isRoomFree = isUnderHalf(m_used, m_capacity);
        for (const auto &[id, job] : m_cell.storedJobs) {
            const auto step = isRoomFree && m_running.count(id) == 0 ? startableStep(job) : std::nullopt;
            if (!step) {
                m_stalledSince.erase(id);
                continue;
            }
            const TimePoint since = m_stalledSince.emplace(id, m_cell.now).first->second;
            if (m_cell.now - since >= limit && m_cell.now >= from && m_recorded.insert(id).second) {
                m_cell.violations.push_back(TaskRef{*step, 0}.text() + " could run and has not been started for " + std::to_string((m_cell.now - since).count())
                                            + " ms, with most of the room free");
            }
        }
    }

    void readWorkers()
    {
        m_rooms.clear();
        m_running.clear();
        m_usedByWorkspace.clear();
        m_used = Resources{};
        m_capacity = Resources{};
        for (const auto &[id, worker] : m_cell.workers) {
            std::set<JobId> &jobs = m_jobsOnWorker[id];
            if (worker.crashed) {
                // Only after the lease of a crashed worker is its run known to be gone.
                for (const JobId &job : jobs) {
                    m_notBefore[job] = std::max(m_notBefore[job], worker.leaseEnd);
                }
                jobs.clear();
                continue;
            }
            readSuccesses(worker);
            jobs.clear();
            Resources used;
            for (const auto &[task, run] : worker.running) {
                const CellJob &job = m_cell.storedJobs.at(task.step.job);
                const Resources &demand = job.steps.at(static_cast<std::size_t>(task.step.step)).demand;
                used += demand;
                m_usedByWorkspace[job.workspace] += demand;
                jobs.insert(job.id);
                m_running.insert(job.id);
            }
            m_used += used;
            m_capacity += worker.info.capacity;
            if (m_cell.unregistered.count(id) == 0 && worker.reachable && !worker.info.draining) {
                m_rooms.push_back(Room{&worker, worker.info.capacity - used});
            }
        }
    }

    void readSuccesses(const FakeCellWorker &worker)
    {
        std::pair<WorkerIncarnation, std::size_t> &read = m_endsRead[worker.info.id];
        if (read.first != worker.info.incarnation) {
            read = {worker.info.incarnation, 0};
        }
        for (; read.second < worker.ended.size(); ++read.second) {
            const EndedEntry &end = worker.ended[read.second];
            if (end.end == RunEnd::Succeeded) {
                m_successes[end.task] = &worker;
                m_successIncarnations[end.task] = worker.info.incarnation;
            }
        }
    }

    /// Whether the store or a worker that has not crashed since knows of a success of the task.
    [[nodiscard]] bool hasSucceeded(const TaskRef &task) const
    {
        const auto success = m_successes.find(task);
        if (success != m_successes.end() && !success->second->crashed && success->second->info.incarnation == m_successIncarnations.at(task)) {
            return true;
        }
        const auto progress = m_cell.storedProgress.find(task.step.job);
        if (progress == m_cell.storedProgress.end()) {
            return false;
        }
        const auto step = progress->second.steps.find({task.step.occurrence, task.step.step});
        return step != progress->second.steps.end() && static_cast<std::size_t>(task.index) < step->second.succeeded.size()
            && step->second.succeeded[static_cast<std::size_t>(task.index)];
    }

    [[nodiscard]] bool isDone(const CellJob &job, const StepRef &ref) const
    {
        const StepSpec &spec = job.steps[static_cast<std::size_t>(ref.step)];
        int succeeded = 0;
        for (int i = 0; i < spec.count; ++i) {
            succeeded += hasSucceeded(TaskRef{ref, i}) ? 1 : 0;
        }
        return spec.gang ? succeeded > 0 : succeeded == spec.count;
    }

    /// Returns a step of the job whose turn has come and that has room to start, for a job without a run.
    [[nodiscard]] std::optional<StepRef> startableStep(const CellJob &job) const
    {
        const auto progress = m_cell.storedProgress.find(job.id);
        const auto notBefore = m_notBefore.find(job.id);
        const Workspace *workspace = m_cell.config->workspace(job.workspace);
        const auto used = m_usedByWorkspace.find(job.workspace);
        if ((progress != m_cell.storedProgress.end() && isFinal(progress->second.finalState)) || m_cell.cancelled.count(job.id) > 0
            || (notBefore != m_notBefore.end() && m_cell.now <= notBefore->second)
            || (workspace != nullptr && used != m_usedByWorkspace.end() && !isUnderHalf(used->second, workspace->maximum))) {
            return std::nullopt;
        }
        for (int occurrence = 0; occurrence < job.occurrenceCount(); ++occurrence) {
            if (job.occurrences > 0 && m_cell.time().unixMs < job.firstRunUnixMs + occurrence * job.interval.count()) {
                break;
            }
            for (int i = 0; i < static_cast<int>(job.steps.size()); ++i) {
                const StepRef ref{job.id, occurrence, i};
                const std::vector<int> &after = job.steps[static_cast<std::size_t>(i)].after;
                const bool isReady = std::all_of(after.begin(), after.end(), [&](int before) { return isDone(job, StepRef{job.id, occurrence, before}); });
                if (isReady && !isDone(job, ref) && hasRoomTwice(job, ref)) {
                    return ref;
                }
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] bool hasRoomTwice(const CellJob &job, const StepRef &ref) const
    {
        const CellRoute *route = m_cell.config->route(job.route);
        const StepSpec &spec = job.steps[static_cast<std::size_t>(ref.step)];
        const int needed = 2 * (spec.gang ? spec.count : 1);
        const int perWorker = spec.maxPerWorker > 0 ? std::min(needed, 2 * spec.maxPerWorker) : needed;
        int fitting = 0;
        for (auto room = m_rooms.begin(); room != m_rooms.end() && fitting < needed; ++room) {
            const WorkerInfo &info = room->worker->info;
            const std::vector<std::string> &labels = info.labels;
            const bool isEligible = route != nullptr && info.upstream == route->upstream
                && (spec.requiredLabel.empty() || std::find(labels.begin(), labels.end(), spec.requiredLabel) != labels.end());
            if (isEligible && (!route->advice || m_cell.allows(ref, info.id))) {
                fitting += tasksThatFit(spec.demand, room->free, perWorker);
            }
        }
        return fitting >= needed;
    }

    FakeCell &m_cell;
    std::vector<Room> m_rooms; ///< Of the workers that can take work.
    std::set<JobId> m_running; ///< Jobs with a run on a worker.
    std::map<WorkspaceId, Resources> m_usedByWorkspace;
    Resources m_used;
    Resources m_capacity;
    std::map<WorkerId, std::set<JobId>> m_jobsOnWorker; ///< As of the previous step.
    std::map<JobId, TimePoint> m_notBefore; ///< End of the leases of crashed workers.
    std::map<WorkerId, std::pair<WorkerIncarnation, std::size_t>> m_endsRead; ///< How many of the incarnation's ends have been read.
    std::map<TaskRef, const FakeCellWorker *> m_successes;
    std::map<TaskRef, WorkerIncarnation> m_successIncarnations;
    std::map<JobId, TimePoint> m_stalledSince;
    std::set<JobId> m_recorded;
};

} // namespace KingCupLadder
