// Identifiers of the cell scheduler: tasks, steps and runs, and the ids that the base types of core/ids.h do not have.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace KingCupLadder {

using UpstreamName = Id<struct UpstreamNameTag>; ///< A group of workers that runs the tasks of some routes.
using RunNumber = Counter<struct RunNumberTag>; ///< Numbers the starts of one task; each new run has a higher number.
using WorkerIncarnation = Counter<struct WorkerLifeTag>; ///< Tells two processes with one worker id apart.
using EndNumber = Counter<struct EndNumberTag>; ///< Position in a worker's list of ended runs; starts at 1 in each life.

/// One step of one occurrence of a job.
struct StepRef {
    JobId job;
    int occurrence = 0; ///< 0 for a job that runs once.
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
