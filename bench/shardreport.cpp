// Prints the results of the shard runs.
#include "shardreport.h"

#include "messagesize.h"

#include <array>
#include <cstdio>

namespace KingCupLadder {

namespace {

constexpr std::array<std::uint32_t, 4> workerCounts{50, 500, 1560, 2000};

void printRun(std::uint32_t workers, const ShardRunResult &run)
{
    std::printf("%7u %9.0f %9.0f %6.1f%% %7.1f %7.1f %7.1f %7.0f %7.0f %7.2f %8.0f %8.0f %8.0f %8.0f %6.0f/%6.0f %6.0f/%6.0f %6llu\n",
                workers,
                static_cast<double>(run.starts) / run.virtualSeconds,
                static_cast<double>(run.starts) / run.cpuSeconds,
                100.0 * run.cpuSeconds / run.virtualSeconds,
                run.startMicros.percentile(0.5),
                run.startMicros.percentile(0.99),
                run.startMicros.percentile(0.999),
                run.tickMicros.percentile(0.5),
                run.tickMicros.percentile(0.99),
                run.syncRate,
                run.bodyByteRate,
                run.syncRate * headerBytesPerSync,
                run.runningTasks,
                run.queuedTasks,
                run.urgentWaitMs.percentile(0.5),
                run.urgentWaitMs.percentile(0.99),
                run.normalWaitMs.percentile(0.5),
                run.normalWaitMs.percentile(0.99),
                static_cast<unsigned long long>(run.preemptions));
    std::fflush(stdout);
}

} // namespace

void printShardRuns(const ShardRunSettings &settings)
{
    std::printf("shard controller, load %.2f, sync interval %lld ms, placement policy %d (0 first fit, 1 best fit, 2 dot product), %u tasks per job%s; CPU "
                "time in us\n",
                settings.load,
                static_cast<long long>(settings.syncInterval.count()),
                static_cast<int>(settings.placementPolicy),
                settings.tasksPerJob,
                settings.alwaysListRunning ? ", running tasks in every reply" : "");
    std::printf("workers  starts/s  per core    core   p50/st  p99/st p999/st tickp50 tickp99   msg/s   body/s   head/s  running   queued"
                " urgent p50/p99 normal p50/p99 preempt\n");
    for (const std::uint32_t workers : workerCounts) {
        ShardRunSettings sized = settings;
        sized.workers = workers;
        printRun(workers, runShard(sized));
    }
}

void printShardMemory(std::uint32_t tasksPerJob)
{
    std::printf("memory, bytes: workers, tasks per job, per worker, per running task, per queued task\n");
    for (const std::uint32_t workers : workerCounts) {
        for (const std::uint32_t tasks : {1U, tasksPerJob}) {
            const ShardMemory memory = measureShardMemory(workers, tasks);
            std::printf("%7u %5u %8.0f %8.0f %8.0f\n", workers, tasks, memory.perWorker, memory.perRunningTask, memory.perQueuedTask);
            std::fflush(stdout);
        }
    }
}

} // namespace KingCupLadder
