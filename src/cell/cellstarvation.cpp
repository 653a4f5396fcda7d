// Steps of CellScheduler that wait although they could run: which of them come before all other work, and what the log says of them.
#include "cellscheduler_p.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace KingCupLadder {

namespace {

constexpr Duration starvingAfter{2000}; // A step that has waited longer may be starving; leaves a second for the call to the policy service.
constexpr Duration starvingRenewalPause{800}; // Longest pause before a starving step renews tickets.
constexpr double maxShareOfRoomForStarving = 0.5; // The steps ranked first at a time may take this share of the free CPU, and the last of them more.
constexpr Duration roomCountPause{200}; // A starving step without room is not considered again before, since counting its room takes long on a large cell.
constexpr int roomCountGroups = 4; // The pause of a step depends on its group.
constexpr int maxStarvingGangsWithoutRoom = 2; // Ranked first for their reservations.
constexpr double maxAllocatedShareForStarving = 0.5; // Above this share of allocated CPU, work that is still in time comes first.
constexpr Duration longWaitThreshold{3000}; // A ready step that waits longer is logged.
constexpr int maxLongWaitsLogged = 5; // Per second, longest wait first.

} // namespace

double CellScheduler::allocatedShare() const
{
    std::int64_t capacity = 0;
    std::int64_t allocated = 0;
    for (const auto &[id, worker] : m_workers.all()) {
        capacity += worker.wasUsable ? worker.info.capacity.cpu.value() : 0;
        allocated += worker.wasUsable ? worker.allocated.cpu.value() : 0;
    }
    return capacity > 0 ? static_cast<double>(allocated) / static_cast<double>(capacity) : 1;
}

std::vector<CellScheduler::FreeRoom> CellScheduler::freeRooms() const
{
    std::vector<FreeRoom> rooms;
    rooms.reserve(m_workers.all().size());
    for (const auto &[id, worker] : m_workers.all()) {
        const Resources free = worker.wasUsable ? worker.free() : Resources{};
        if (free.cpu.value() > 0) {
            rooms.push_back(FreeRoom{&worker, free});
        }
    }
    return rooms;
}

int CellScheduler::startableTasks(const StepInstance &step, const std::vector<FreeRoom> &rooms, int limit, TimePoint now) const
{
    int fitting = 0;
    bool needsIdle = false;
    for (int i = 0; i < static_cast<int>(step.tasks.size()) && !needsIdle; ++i) {
        needsIdle = step.tasks[static_cast<std::size_t>(i)].phase == CellTaskPhase::Waiting && needsIdleWorker(step, i, now);
    }
    for (auto room = rooms.begin(); room != rooms.end() && fitting < limit; ++room) {
        if (needsIdle && !room->worker->isFitForIsolation()) {
            continue;
        }
        const int tasks = tasksThatFit(step.spec->demand, room->free, std::min(limit, maxFurtherTasks(step, *room->worker)));
        if (tasks > 0) {
            const bool isRefused = step.advice.evaluated.count(room->worker->index) > 0 && step.advice.find(room->worker->index) == nullptr;
            fitting += !isRefused && isEligible(step, *room->worker) ? tasks : 0;
        }
    }
    return std::min(fitting, limit);
}

TimePoint CellScheduler::waitsSince(const StepInstance &step)
{
    // The tasks of a service are independent of each other, so the one that has waited longest counts. Any other step is at work as long as
    // one of its tasks is.
    TimePoint latest;
    TimePoint earliestWait = TimePoint::max();
    for (const CellTask &task : step.tasks) {
        latest = std::max(latest, task.lastRunEnded);
        earliestWait = task.phase == CellTaskPhase::Waiting ? std::min(earliestWait, task.lastRunEnded) : earliestWait;
    }
    return std::max(step.readySince, step.spec->longRunning ? earliestWait : latest);
}

bool CellScheduler::isStarvationDue(const StepInstance &step, bool isHalfEmpty, TimePoint now) const
{
    // A service has to be at work at all times, so its tasks do not wait for the cell to become half empty, nor for its other tasks to end.
    const bool mayStarve = step.spec->longRunning || (isHalfEmpty && step.job->liveRuns == 0);
    return mayStarve && (!step.spec->gang || step.active == 0) && now - step.readySince > starvingAfter && now - waitsSince(step) > starvingAfter
        && isWithinWorkspaceMaximum(step, step.spec->gang ? step.spec->count : 1);
}

void CellScheduler::selectStarvingSteps(const std::vector<StepInstance *> &steps, TimePoint now) const
{
    const bool isHalfEmpty = allocatedShare() < maxAllocatedShareForStarving;
    std::vector<std::pair<TimePoint, StepInstance *>> due; // With the time since when the step waits.
    for (StepInstance *step : steps) {
        step->isStarving = false;
        if (isSchedulable(*step) && isStarvationDue(*step, isHalfEmpty, now)) {
            due.emplace_back(waitsSince(*step), step);
        }
    }
    if (due.empty()) {
        return;
    }
    std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) { return a.first != b.first ? a.first < b.first : a.second->ref < b.second->ref; });
    const std::vector<FreeRoom> rooms = freeRooms();
    std::int64_t freeCpu = 0;
    for (const FreeRoom &room : rooms) {
        freeCpu += room.free.cpu.value();
    }
    // More steps than there is room for would withhold room from each other by their reservations. A step that cannot start is not charged,
    // so that it takes nothing from younger ones that can.
    auto left = static_cast<std::int64_t>(static_cast<double>(freeCpu) * maxShareOfRoomForStarving);
    int gangsWithoutRoom = 0;
    int stepsWithoutRoom = 0;
    for (auto entry = due.begin(); entry != due.end() && left > 0; ++entry) {
        StepInstance &step = *entry->second;
        const int needed = step.spec->gang ? step.spec->count : 1;
        const bool isCounted = step.nextRoomCount <= now;
        const int fitting = isCounted ? startableTasks(step, rooms, step.spec->gang ? needed : step.waiting, now) : 0;
        if (fitting >= needed) {
            left -= step.spec->demand.cpu.value() * fitting;
            step.isStarving = true;
            continue;
        }
        if (isCounted) {
            // Spreads the counts of many blocked steps over the passes.
            step.nextRoomCount = now + roomCountPause + fullPassInterval * (stepsWithoutRoom++ % roomCountGroups);
        }
        step.isStarving = step.spec->gang && gangsWithoutRoom++ < maxStarvingGangsWithoutRoom;
    }
}

void CellScheduler::rankStarvingStepsFirst(std::vector<OrderedStep> &steps, TimePoint now) const
{
    for (auto &[key, step] : steps) {
        // The selection may be older than the step's last start.
        step->isStarving = step->isStarving && (step->job->liveRuns == 0 || step->spec->longRunning);
        if (step->isStarving) {
            key = {starvingTier, waitsSince(*step)};
            step->advice.renewals = std::min(step->advice.renewals, 1);
            step->advice.nextRenewal = std::min(step->advice.nextRenewal, now + starvingRenewalPause);
        }
    }
}

std::set<const StepInstance *> CellScheduler::stalledSteps(const std::vector<StepInstance *> &steps, TimePoint now) const
{
    std::set<const StepInstance *> stalled;
    if (allocatedShare() >= maxAllocatedShareForStarving) {
        return stalled;
    }
    const std::vector<FreeRoom> rooms = freeRooms();
    for (const StepInstance *step : steps) {
        const int needed = 2 * (step->spec->gang ? step->spec->count : 1);
        const bool waits = now - step->readySince > longWaitThreshold && step->job->liveRuns == 0 && isWithinWorkspaceMaximum(*step, step->spec->count);
        if (waits && startableTasks(*step, rooms, needed, now) >= needed) {
            stalled.insert(step);
        }
    }
    return stalled;
}

void CellScheduler::logLongWaits(TimePoint now)
{
    // Stalled steps first, then the longest wait.
    std::vector<std::tuple<bool, TimePoint, const StepInstance *>> waits;
    const std::vector<StepInstance *> steps = m_jobs.waitingSteps();
    const std::set<const StepInstance *> stalled = stalledSteps(steps, now);
    for (const StepInstance *step : steps) {
        if (now - step->readySince > longWaitThreshold) {
            waits.emplace_back(stalled.count(step) == 0, step->readySince, step);
        }
    }
    std::sort(waits.begin(), waits.end());
    for (std::size_t i = 0; i < waits.size() && i < static_cast<std::size_t>(maxLongWaitsLogged); ++i) {
        const auto &[isNotStalled, since, step] = waits[i];
        log(describeWait(*step, now) + (isNotStalled ? "" : ", stalled although there is room") + ", one of " + std::to_string(waits.size()) + " long waits");
    }
}

std::string CellScheduler::describeWait(const StepInstance &step, TimePoint now) const
{
    int valid = 0;
    int usable = 0;
    int fitting = 0;
    for (const Ticket &ticket : step.advice.tickets) {
        const Worker *worker = m_workers.at(ticket.worker);
        if (worker != nullptr && worker->wasUsable && isEligible(step, *worker)) {
            ++usable;
            valid += ticket.validUntil >= now ? 1 : 0;
            fitting += tasksThatFit(step.spec->demand, worker->free(), step.spec->count);
        }
    }
    int live = 0;
    int suspects = 0;
    Duration longestSearch{0};
    for (int i = 0; i < static_cast<int>(step.tasks.size()); ++i) {
        const CellTask &task = step.tasks[static_cast<std::size_t>(i)];
        live += task.liveRuns;
        if (task.phase == CellTaskPhase::Waiting && step.crashesOf(i).isolation() != RunIsolation::None) {
            ++suspects;
            longestSearch = std::max(longestSearch, now - step.suspectedSince(i));
        }
    }
    return "step " + TaskRef{step.ref, 0}.text() + " waits for " + std::to_string((now - step.readySince).count()) + " ms: " + std::to_string(step.waiting)
        + " of " + std::to_string(step.spec->count) + " tasks of " + std::to_string(step.spec->demand.cpu.value()) + " millicores, "
        + (step.spec->gang ? "gang, " : "") + std::to_string(step.active) + " active, " + std::to_string(live) + " runs not settled, " + std::to_string(usable)
        + " allowed workers usable of " + std::to_string(step.advice.tickets.size()) + " (" + std::to_string(step.advice.evaluated.size()) + " asked), "
        + std::to_string(valid) + " tickets valid, room for " + std::to_string(fitting) + " tasks"
        + (isWithinWorkspaceMaximum(step, step.spec->gang ? step.spec->count : 1) ? "" : ", workspace at its maximum")
        + (step.withheldTasks > 0 ? ", room for " + std::to_string(step.withheldTasks) + " reserved by other steps" : "")
        + (suspects > 0 ? ", " + std::to_string(suspects) + " suspected of crashing workers for " + std::to_string(longestSearch.count())
                   + " ms, which need a worker without other runs for the first " + std::to_string(maxIsolationWait.count()) + " ms"
                        : "")
        + (step.job->unreconciled ? ", runs of an earlier leader not ruled out for " + std::to_string((m_leasesExpiredBy - now).count()) + " ms more at most"
                                  : "")
        + (step.advice.questionInFlight ? ", asking about further workers for " + std::to_string((now - step.advice.questionSince).count()) + " ms" : "")
        + (step.advice.renewalInFlight ? ", renewing tickets for " + std::to_string((now - step.advice.renewalSince).count()) + " ms" : "")
        + (!step.advice.renewalInFlight && step.advice.nextRenewal > now
               ? ", next renewal in " + std::to_string((step.advice.nextRenewal - now).count()) + " ms"
               : "")
        + (step.gangStopping ? ", gang broken" : "");
}

} // namespace KingCupLadder
