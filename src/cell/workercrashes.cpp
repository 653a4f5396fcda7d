// Which workers of WorkerTable have crashed, and which runs may have been the cause.
#include "workertable.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr Duration maxTimeToExplain{60000}; // A VM that takes longer to come back than this does not prove a crash under the runs that were lost.

} // namespace

std::optional<RunProof> WorkerTable::proofOfReplacement(const Worker &worker, const std::map<VmId, WorkerId> &latestOnVm) const
{
    const auto latest = latestOnVm.find(worker.info.vm);
    const Worker *successor = latest != latestOnVm.end() ? find(latest->second) : nullptr;
    return successor != nullptr ? RunProof::fromSuccessor(worker, *successor) : std::nullopt;
}

bool WorkerTable::isAnswering(const WorkerId &id) const
{
    const Worker *worker = find(id);
    return worker != nullptr && worker->isAnswering();
}

CrashTiming WorkerTable::timingOf(const Worker &worker, const Run &run) const
{
    const Duration survived = run.confirmedClock == 0 ? Duration(0) : Duration(worker.latestClock - run.confirmedClock);
    if (survived >= m_settings.soonAfterStart) {
        return CrashTiming::Late;
    }
    return run.confirmedClock != 0 && survived < m_settings.startSurvival ? CrashTiming::AtStart : CrashTiming::Soon;
}

std::vector<RunOnCrashedWorker> WorkerTable::runsOnCrashed(const Worker &worker) const
{
    std::vector<RunOnCrashedWorker> crashed;
    CrashTiming latest = CrashTiming::Late;
    for (const auto &[key, run] : worker.runs) {
        // Only a stop of an unconfirmed run shows that the run did not exist: others may be confirmed by the next incarnation.
        if (run.phase == RunPhase::Stopping && run.stopConfirmed && run.confirmedClock == 0) {
            continue;
        }
        const CrashTiming timing = timingOf(worker, run);
        latest = std::max(latest, timing);
        RunOnCrashedWorker entry;
        entry.task = run.task;
        entry.number = run.number;
        entry.worker = worker.info.id;
        entry.crash.timing = timing;
        crashed.push_back(std::move(entry));
    }
    for (RunOnCrashedWorker &entry : crashed) {
        const bool hadOthers =
            std::any_of(crashed.begin(), crashed.end(), [&](const RunOnCrashedWorker &other) { return !(other.task.step == entry.task.step); });
        const Run &run = worker.runs.at({entry.task, entry.number});
        entry.mayBeCause = entry.crash.timing == latest && latest != CrashTiming::Late;
        if (entry.crash.timing == CrashTiming::Soon && latest == CrashTiming::AtStart && run.confirmedClock != 0) {
            entry.crash.timing = CrashTiming::Late; // Beside a run that had just been started it is not the cause.
        }
        entry.crash.wasAlone = crashed.size() == 1 || (run.isGangMember && !hadOthers);
        entry.runsOnWorker = crashed.size();
    }
    return crashed;
}

void WorkerTable::reportCrash(const Worker &worker, bool isProven)
{
    if (worker.info.draining) {
        return;
    }
    for (RunOnCrashedWorker &entry : runsOnCrashed(worker)) {
        entry.crash.isProven = isProven;
        m_runsOnCrashedWorkers.push_back(std::move(entry));
    }
}

void WorkerTable::reportRestart(Worker &worker)
{
    if (worker.info.draining) {
        return;
    }
    for (RunOnCrashedWorker &entry : runsOnCrashed(worker)) {
        Run &run = worker.runs.at({entry.task, entry.number});
        if (run.isLostWithIncarnation()) {
            m_runsOnCrashedWorkers.push_back(std::move(entry));
        } else if (!run.pendingCrash) {
            run.pendingCrash = std::move(entry);
        }
    }
}

void WorkerTable::explainExpiredLeases(const std::vector<WorkerInfo> &workers, TimePoint now)
{
    for (const WorkerInfo &info : workers) {
        for (auto expired = m_expiredLeases.begin(); expired != m_expiredLeases.end();) {
            const bool isSameVm = expired->first == info.id || (!info.vm.isEmpty() && expired->second.vm == info.vm);
            const bool isExplained = isSameVm && expired->second.incarnation < info.incarnation;
            if (isExplained) {
                for (RunOnCrashedWorker &entry : expired->second.runs) {
                    entry.crash.isProven = true;
                    m_runsOnCrashedWorkers.push_back(std::move(entry));
                }
            }
            const bool isOver = isExplained || now - expired->second.at > maxTimeToExplain;
            expired = isOver ? m_expiredLeases.erase(expired) : std::next(expired);
        }
    }
}

std::vector<RunOnCrashedWorker> WorkerTable::takeRunsOnCrashedWorkers()
{
    return std::exchange(m_runsOnCrashedWorkers, {});
}

} // namespace KingCupLadder
