// An in-memory worker that runs tasks on the fake clock and reports every start and end to the invariant checker.
#pragma once

#include "invariantchecker.h"

#include <algorithm>
#include <map>
#include <vector>

namespace KingCupLadder::Matrix {

class FakeWorker
{
public:
    FakeWorker(VmInfo vm, Resources capacity, InvariantChecker &checker) : m_vm(std::move(vm)), m_capacity(capacity), m_checker(checker) { }

    bool responds = true; ///< False if the worker died, or is unreachable but keeps running its tasks.
    bool failsEverything = false;
    bool supportsEpochs = true;
    bool fences = true; ///< If false, accepts lower (epoch, sequence) pairs, to demonstrate what fencing prevents.
    Slots busySlots; ///< Requests in progress, as reported to the owner.
    TimePoint leavingSince = TimePoint::max();

    [[nodiscard]] const VmInfo &vm() const
    {
        return m_vm;
    }

    [[nodiscard]] std::size_t runningTasks() const
    {
        return m_running.size();
    }

    [[nodiscard]] SyncReply sync(const SyncRequest &request, TimePoint now)
    {
        advance(now);
        SyncReply reply;
        const bool lower = std::make_pair(request.epoch, request.sequence) < std::make_pair(m_epoch, m_sequence);
        reply.refused = lower && fences && supportsEpochs;
        if (!reply.refused) {
            m_epoch = request.epoch;
            m_sequence = request.sequence;
            apply(request, now);
        }
        reply.epoch = m_epoch;
        reply.sequence = m_sequence;
        reply.supportsEpochs = supportsEpochs;
        reply.capacity = m_capacity;
        reply.connections = 60;
        reply.busySlots = busySlots;
        reply.inventory = true;
        for (const auto &[id, task] : m_running) {
            reply.running.push_back(RunningTask{id, task.start.team, task.start.route, task.start.demand, task.start.demand, task.start.lease});
        }
        reply.ended = m_ended;
        return reply;
    }

    /// Ends the tasks whose run time or lease has ended.
    void advance(TimePoint now)
    {
        for (auto it = m_running.begin(); it != m_running.end();) {
            const bool done = now >= it->second.endsAt;
            const bool expired = now >= it->second.leaseEnd;
            if (!done && !expired) {
                ++it;
                continue;
            }
            const TaskOutcome outcome = expired && it->second.leaseEnd < it->second.endsAt ? TaskOutcome::Expired : it->second.outcome;
            finish(it->second.start, outcome);
            it = m_running.erase(it);
        }
    }

    void die()
    {
        responds = false;
        for (const auto &[id, task] : m_running) {
            m_checker.taskEnded(m_vm.id, task.start, TaskOutcome::Stopped);
        }
        for (const EndedTask &ended : m_ended) {
            m_checker.recordLostReport(ended.id.job, ended.id.index);
        }
        m_running.clear();
        m_ended.clear();
    }

private:
    struct Running {
        TaskStart start;
        TimePoint endsAt{};
        TimePoint leaseEnd = TimePoint::max();
        TaskOutcome outcome = TaskOutcome::Succeeded;
    };

    void apply(const SyncRequest &request, TimePoint now)
    {
        for (const TaskId &id : request.acknowledged) {
            m_ended.erase(std::remove_if(m_ended.begin(), m_ended.end(), [&id](const EndedTask &ended) { return ended.id == id; }), m_ended.end());
        }
        if (request.renewLease.count() > 0) {
            for (auto &[id, task] : m_running) {
                if (task.start.lease.count() > 0) {
                    task.leaseEnd = now + request.renewLease;
                }
            }
        }
        for (const TaskControl &control : request.controls) {
            applyControl(control);
        }
        for (const TaskStart &start : request.starts) {
            applyStart(start, now);
        }
    }

    void applyControl(const TaskControl &control)
    {
        const auto found = m_running.find(control.id);
        if (found == m_running.end() || control.action == TaskAction::Throttle || control.action == TaskAction::Resume) {
            return;
        }
        finish(found->second.start, control.action == TaskAction::Stop ? TaskOutcome::Stopped : TaskOutcome::Checkpointed);
        m_running.erase(found);
    }

    void applyStart(const TaskStart &start, TimePoint now)
    {
        const auto sameTask = [&start](const EndedTask &ended) { return ended.id == start.id; };
        if (m_running.count(start.id) > 0 || std::any_of(m_ended.begin(), m_ended.end(), sameTask)) {
            return;
        }
        constexpr Duration leavingBound{5000}; // After this time, a VM that is being removed must not get new tasks.
        const bool leavingTooLong = leavingSince != TimePoint::max() && now > leavingSince + leavingBound;
        m_checker.taskStarted(m_vm.id, m_capacity, leavingTooLong, start);
        Running running;
        running.start = start;
        running.endsAt = now + (failsEverything ? Duration(10) : start.runTime);
        running.outcome = failsEverything ? TaskOutcome::Failed : TaskOutcome::Succeeded;
        if (start.lease.count() > 0) {
            running.leaseEnd = now + start.lease;
        }
        m_running.emplace(start.id, running);
    }

    void finish(const TaskStart &start, TaskOutcome outcome)
    {
        m_checker.taskEnded(m_vm.id, start, outcome);
        m_ended.push_back(EndedTask{start.id, start.team, outcome, ""});
    }

    VmInfo m_vm;
    Resources m_capacity;
    InvariantChecker &m_checker;
    Epoch m_epoch;
    Sequence m_sequence;
    std::map<TaskId, Running> m_running;
    std::vector<EndedTask> m_ended; ///< Ended tasks that are not acknowledged yet.
};

} // namespace KingCupLadder::Matrix
