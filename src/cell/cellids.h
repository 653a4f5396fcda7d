// Identifiers of the cell scheduler: steps, tasks, runs and workers. Extends core/ids.h.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace KingCupLadder {

using UpstreamName = Id<struct UpstreamNameTag>; ///< Name of an upstream: a group of workers that runs the tasks of some routes.
using RunNumber = Counter<struct RunNumberTag>; ///< Numbers the runs of one task; each new run gets a higher number.
using WorkerIncarnation = Counter<struct WorkerIncarnationTag>; ///< Incarnation of a worker: distinguishes successive processes with the same worker id.
using VmId = Id<struct VmIdTag>; ///< The VM of a worker. After a crash its next worker may have another WorkerId.
using EndNumber = Counter<struct EndNumberTag>; ///< Sequence number of an ended run on its worker; starts at 1 in each incarnation.

/// One step of one occurrence of a job.
struct StepRef {
    JobId job;
    int occurrence = 0; ///< 0 for a job that does not recur.
    int step = 0;

    friend bool operator<(const StepRef &a, const StepRef &b)
    {
        return std::tie(a.job, a.occurrence, a.step) < std::tie(b.job, b.occurrence, b.step);
    }
    friend bool operator==(const StepRef &a, const StepRef &b)
    {
        return std::tie(a.job, a.occurrence, a.step) == std::tie(b.job, b.occurrence, b.step);
    }
};

/// One task of a step.
struct TaskRef {
    StepRef step;
    int index = 0;

    [[nodiscard]] std::string text() const
    {
        return step.job.value() + "." + std::to_string(step.occurrence) + "." + std::to_string(step.step) + "." + std::to_string(index);
    }
    friend bool operator<(const TaskRef &a, const TaskRef &b)
    {
        return std::tie(a.step, a.index) < std::tie(b.step, b.index);
    }
    friend bool operator==(const TaskRef &a, const TaskRef &b)
    {
        return a.index == b.index && a.step == b.step;
    }
};

} // namespace KingCupLadder
