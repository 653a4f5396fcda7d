// A FakeCell in which each worker runs a small task of a service, so that no worker is ever without runs.
#pragma once

#include "crashingtasks.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

/// A service of one task of 1000 millicores on each of @p workers workers.
inline CellJob serviceOnEachWorker(const std::string &id, int workers, Duration estimate)
{
    CellJob job = cellJob(id, workers, 1000, estimate);
    job.steps[0].longRunning = true;
    job.steps[0].maxPerWorker = 1;
    return job;
}

/// Six workers of 4000 millicores, each with a task of a service, so that none is ever idle.
struct CellWithServices {
    explicit CellWithServices(WorkerReturn workerReturn, Duration serviceEstimate) : cell(6), crashing(cell)
    {
        crashing.workerReturn = workerReturn;
        cell.duration = [this](const StartOrder &order) {
            const CellJob &job = cell.storedJobs.at(order.task.step.job);
            return job.steps.at(0).longRunning ? Duration(100000000) : job.steps.at(0).estimate;
        };
        cell.startLeadership();
        cell.run(Duration(300));
        CHECK_TRUE(cell.submit(serviceOnEachWorker("service", 6, serviceEstimate)) == AdmissionVerdict::Admitted);
        cell.run(Duration(2000));
        CHECK_EQUAL(6, cell.runningTasks());
    }

    /// The worker that runs the first task of the job; empty if none does.
    [[nodiscard]] WorkerId workerOf(const std::string &job) const
    {
        for (const auto &[id, worker] : cell.workers) {
            if (!worker.crashed && worker.reachable && worker.running.count(TaskRef{StepRef{JobId(job), 0, 0}, 0}) > 0) {
                return id;
            }
        }
        return WorkerId();
    }

    /// Runs the cell until a worker that can be reached runs the job, for @p longest at most. Returns the time that this took.
    [[nodiscard]] Duration timeUntilRunning(const std::string &job, Duration longest)
    {
        const TimePoint begin = cell.now;
        while (cell.now < begin + longest && workerOf(job).isEmpty()) {
            cell.run(Duration(5));
        }
        return cell.now - begin;
    }

    FakeCell cell;
    CrashingTasks crashing;
};

} // namespace KingCupLadder
