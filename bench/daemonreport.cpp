// Prints the results of the runs with complete daemons.
#include "daemonrun.h"

#include <cstdio>

namespace KingCupLadder {

namespace {

void printRole(const char *name, const RoleMetrics &role)
{
    if (role.daemons == 0) {
        return;
    }
    const double count = role.daemons;
    std::printf("  %-7s %3u: %6.2f%% of a core, tick at most %7.0f us, %7.0f syncs/s, %6.1f peer messages/s, %8.0f heartbeat bytes/s sent, each\n",
                name,
                role.daemons,
                100.0 * role.cpuShare / count,
                role.tickMicros.percentile(1.0),
                role.syncRate / count,
                role.peerMessageRate / count,
                role.heartbeatByteRate / count);
}

} // namespace

void printDaemonRuns(const DaemonRunSettings &settings, const std::vector<std::uint32_t> &daemonCounts)
{
    for (const std::uint32_t daemons : daemonCounts) {
        DaemonRunSettings sized = settings;
        sized.daemons = daemons;
        const DaemonRunResult run = runDaemons(sized);
        std::printf("%u daemons, %u workers, %.1f jobs/s of %u tasks, sync interval %lld ms: %.0f starts/s, %.1f jobs/s accepted, %.0f running\n",
                    daemons,
                    sized.workers,
                    sized.jobsPerSecond,
                    sized.tasksPerJob,
                    static_cast<long long>(sized.syncIntervalMs),
                    run.taskStartRate,
                    run.acceptedJobRate,
                    run.runningTasks);
        printRole("owners", run.owners);
        printRole("others", run.others);
        std::printf("  heartbeat p50 %.0f bytes; store: %.1f transactions/s with %.1f rows/s, %.1f reads/s, %.1f VM lists/s:",
                    run.heartbeatBytes.percentile(0.5),
                    run.transactionRate,
                    run.writtenRowRate,
                    run.readRate,
                    run.vmListRate);
        for (const auto &[name, rate] : run.storeOperationRates) {
            std::printf(" %s %.1f", name.c_str(), rate);
        }
        std::printf("\n");
        std::fflush(stdout);
    }
}

} // namespace KingCupLadder
