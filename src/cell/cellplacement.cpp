// Placement of waiting tasks by CellScheduler: order of the steps, candidates and single tasks. Gangs are placed in cellgangs.cpp.
#include "placementpass.h"
#include "placementrank.h"

#include <algorithm>
#include <climits>
#include <cmath>

namespace KingCupLadder {

namespace {

constexpr std::size_t stepsInEveryPass = 160; // The first steps by priority are considered in every pass; bounds the time of a pass.
constexpr std::size_t rotatedStepsPerPass = 80; // The others take turns, this many per pass, so that a backlog does not slow down every pass.
constexpr std::size_t minTicketsToRenew = 8; // A non-gang step renews tickets for at least this many workers, if that many have capacity.
constexpr Duration minStableMaximumTime{15000}; // Longer than a lease: if a maximum has not changed for this time, previous leaders enforced the same value.
constexpr Duration probeInterval{1000}; // A degraded worker without runs gets one run per interval, so that it is noticed if it recovers.
constexpr int maxIdleReservations = 6; // Workers per pass that are kept free for suspects.

bool isMoreUrgent(const std::pair<std::pair<int, TimePoint>, StepInstance *> &a, const std::pair<std::pair<int, TimePoint>, StepInstance *> &b)
{
    return a.first != b.first ? a.first < b.first : a.second->ref < b.second->ref;
}

/// Returns the mean demand of the tasks of all gangs that wait for a start; zero if there is none.
Resources meanGangTaskDemand(const std::vector<std::pair<std::pair<int, TimePoint>, StepInstance *>> &steps)
{
    Resources sum;
    std::int64_t tasks = 0;
    for (const auto &[key, step] : steps) {
        if (step->spec->gang && step->active == 0) {
            sum += step->spec->demand * step->spec->count;
            tasks += step->spec->count;
        }
    }
    if (tasks == 0) {
        return Resources{};
    }
    return Resources{MilliCores(sum.cpu.value() / tasks), MebiBytes(sum.memory.value() / tasks), Accelerators(sum.accelerators.value() / tasks), Slots(0)};
}

/// Returns @p maximum minus @p used; a resource without a maximum is unlimited.
Resources remainder(const Resources &maximum, const Resources &used)
{
    Resources left = (maximum - used).clampedToNonNegative();
    left.cpu = maximum.cpu.value() > 0 ? left.cpu : MilliCores(INT64_MAX);
    left.memory = maximum.memory.value() > 0 ? left.memory : MebiBytes(INT64_MAX);
    left.accelerators = maximum.accelerators.value() > 0 ? left.accelerators : Accelerators(INT64_MAX);
    return left;
}

} // namespace

bool CellScheduler::shouldReconsider(const StepInstance &step) const
{
    if (step.consideredAtGeneration == 0 || (step.spec->gang && step.active > 0)) {
        return true;
    }
    if (adviceSettings(step) == nullptr) {
        return step.consideredAtGeneration < m_workers.generation();
    }
    return std::any_of(step.advice.tickets.begin(), step.advice.tickets.end(), [&](const Ticket &ticket) {
        const Worker *worker = m_workers.at(ticket.worker);
        return worker != nullptr && worker->availabilityGeneration > step.consideredAtGeneration && worker->wasUsable
            && step.spec->demand.fitsIn(worker->free());
    });
}

std::pair<int, TimePoint> CellScheduler::priorityKey(const StepInstance &step, TimePoint now) const
{
    const JobEntry &entry = *step.job;
    const RouteRules *rules = rulesOf(entry.job);
    const StepTiming timing = timingOf(step);
    const Duration remaining = timing.duration + timing.following;
    const TimePoint latestStart = timing.softDeadline - remaining;
    int tier = rules != nullptr ? rules->priority : 0;
    if (now > latestStart && !step.spec->longRunning) {
        tier += now + remaining > timing.firmDeadline ? missedFirmDeadlineTierOffset : missedSoftDeadlineTierOffset;
    }
    tier += entry.overRate ? overRateTierOffset : 0;
    return {tier, latestStart};
}

bool CellScheduler::isEligible(const StepInstance &step, const Worker &worker) const
{
    const RouteRules *rules = rulesOf(step.job->job);
    if (rules == nullptr || worker.info.upstream != rules->upstream) {
        return false;
    }
    const std::vector<std::string> &labels = worker.info.labels;
    const std::string &required = step.spec->requiredLabel;
    return (required.empty() || std::find(labels.begin(), labels.end(), required) != labels.end()) && step.spec->demand.fitsIn(worker.info.capacity);
}

Timeliness CellScheduler::timelinessOf(const StepInstance &step, TimePoint now) const
{
    const StepTiming timing = timingOf(step);
    const Duration remaining = timing.duration + timing.following;
    if (step.spec->longRunning || now + remaining <= timing.softDeadline) {
        return Timeliness::InTime;
    }
    return now + remaining <= timing.firmDeadline ? Timeliness::Late : Timeliness::Worthless;
}

int CellScheduler::tierOf(const StepInstance &step, TimePoint now) const
{
    return priorityKey(step, now).first;
}

bool CellScheduler::isWithinWorkspaceMaximum(const StepInstance &step, int tasks) const
{
    return isWithinMaximum(step.job->job, step.spec->demand * tasks);
}

bool CellScheduler::isWithinMaximum(const CellJob &job, const Resources &further) const
{
    const auto used = m_usage.find(job.workspace);
    Resources after = (used == m_usage.end() ? Resources{} : used->second) + further;
    const auto unreported = m_unreportedUsage.find(job.workspace);
    if (unreported != m_unreportedUsage.end()) {
        after += unreported->second;
    }
    const Resources limit = workspaceMaximum(job);
    const bool cpu = limit.cpu.value() <= 0 || after.cpu <= limit.cpu;
    const bool memory = limit.memory.value() <= 0 || after.memory <= limit.memory;
    const bool accelerators = limit.accelerators.value() <= 0 || after.accelerators <= limit.accelerators;
    return cpu && memory && accelerators;
}

std::vector<CandidateWorker> CellScheduler::candidatesFor(StepInstance &step, PlacementPass &pass, CandidateSet candidateSet)
{
    const bool withReleases = candidateSet == CandidateSet::AllowedWorkersWithReleases;
    std::vector<CandidateWorker> candidates;
    if (adviceSettings(step) != nullptr) {
        candidates.reserve(step.advice.tickets.size());
        for (const Ticket &ticket : step.advice.tickets) {
            const bool isIncluded = candidateSet != CandidateSet::WorkersWithValidTicket || ticket.validUntil >= pass.time.now + ticketMargin;
            const Worker *worker = isIncluded ? m_workers.at(ticket.worker) : nullptr;
            if (worker != nullptr) {
                addCandidate(step, *worker, pass, withReleases, candidates);
            }
        }
        return candidates;
    }
    for (const auto &[id, worker] : m_workers.all()) {
        addCandidate(step, worker, pass, withReleases, candidates);
    }
    return candidates;
}

int CellScheduler::maxFurtherTasks(const StepInstance &step, const Worker &worker)
{
    if (step.spec->maxPerWorker <= 0) {
        return INT_MAX;
    }
    int present = 0;
    for (auto run = worker.runs.lower_bound({TaskRef{step.ref, 0}, RunNumber()}); run != worker.runs.end() && run->first.first.step == step.ref; ++run) {
        ++present;
    }
    return std::max(step.spec->maxPerWorker - present, 0);
}

void CellScheduler::addCandidate(
    const StepInstance &step, const Worker &worker, PlacementPass &pass, bool withReleases, std::vector<CandidateWorker> &candidates) const
{
    if (!worker.wasUsable || !isEligible(step, worker)) {
        return;
    }
    CandidateWorker candidate{worker.index, worker.free(), maxFurtherTasks(step, worker), nullptr};
    if (step.spec->gang && !worker.isFitForIsolation() && needsIdleWorker(step, 0, pass.time.now)) {
        candidate.free = Resources{};
        candidate.releases = &pass.idleReleaseOf(worker);
        candidates.push_back(candidate);
        return;
    }
    // Only where needed, since sorting the runs of every worker would take longer than the rest of a pass.
    if (withReleases || pass.reservations.hasReservation(worker.index)) {
        candidate.releases = &pass.releasesOf(worker);
    }
    candidates.push_back(candidate);
}

bool CellScheduler::isSchedulable(const StepInstance &step) const
{
    return rulesOf(step.job->job) != nullptr && !step.job->unreconciled;
}

void CellScheduler::runPlacementPass(CellOrders &orders, const CellTime &time)
{
    m_workers.updateUsability(time.now);
    estimateUnreportedUsage(time.now);
    const bool isFullPass = m_nextFullPass <= time.now;
    if (isFullPass) {
        m_nextFullPass = time.now + fullPassInterval;
        refillPreemptionBudget(time.now);
    }
    beginPreemptionPass(time.now);
    std::vector<StepInstance *> steps = m_jobs.waitingSteps();
    if (isFullPass) {
        selectStarvingSteps(steps, time.now);
    }
    std::vector<OrderedStep> ordered;
    ordered.reserve(steps.size());
    for (StepInstance *step : steps) {
        // Waiting gangs take part in every pass, because their reservations limit the other steps.
        // Steps with reserved room take part in every pass too, for the same reason.
        const bool isPreempting = hasPendingPreemption(*step);
        if (isSchedulable(*step) && (isFullPass || step->spec->gang || isPreempting || shouldReconsider(*step))) {
            updateExpectedDuration(*step, time.now);
            ordered.emplace_back(priorityKey(*step, time.now), step);
            logLateStart(*step, ordered.back().first.second, time.now);
            // A step that becomes late while runs are stopped for it keeps its place; otherwise the stopped tasks would take the room back.
            ordered.back().first.first = isPreempting ? rulesOf(step->job->job)->priority : ordered.back().first.first;
        }
    }
    rankLateGangsBeforeSlack(ordered, time.now);
    rankStarvingStepsFirst(ordered, time.now);
    std::sort(ordered.begin(), ordered.end(), isMoreUrgent);
    limitToTurns(ordered, isFullPass, time.now);
    PlacementPass pass{orders, time, {}, meanGangTaskDemand(ordered), 0, 0, isFullPass, 0, 0, {}, {}, 0, 0, false};
    pass.waitingGangs = static_cast<int>(std::count_if(ordered.begin(), ordered.end(), [](const OrderedStep &entry) { return isWaitingGang(*entry.second); }));
    for (const auto &[key, step] : ordered) {
        const bool hasChanges = shouldReconsider(*step);
        pass.hasNews = step->consideredAtGeneration == 0;
        step->consideredAtGeneration = m_workers.generation();
        if (adviceSettings(*step) != nullptr && step->advice.evaluated.empty()) {
            step->gangWaits.waitFor(GangWaitCause::FirstAnswer, time.now);
            requestAdvice(*step, time.now);
            continue;
        }
        if (!mayStart(*step->job)) {
            step->consideredAtGeneration = 0; // Reconsider as soon as the leader's row has been renewed.
            continue;
        }
        if (isWaitingGang(*step) && !isGangDue(*step, pass)) {
            reapplyReservations(*step, pass);
            continue;
        }
        if (step->spec->gang && step->active > 0) {
            placeMissingMembers(*step, pass);
        } else if (step->spec->gang && pass.reservingGangs >= maxGangReservations && !isFullPass && !hasChanges && !hasPendingPreemption(*step)) {
            // Gangs take part in every pass only for their reservations. A gang that may make none is treated like any other
            // step, which is reconsidered in a full pass or after a change.
            continue;
        } else if (step->spec->gang) {
            placeGang(*step, pass);
        } else {
            placeTasks(*step, pass);
        }
    }
    if (isFullPass) {
        prefetchAdvice(time.now);
    }
}

void CellScheduler::limitToTurns(std::vector<OrderedStep> &steps, bool isFullPass, TimePoint now)
{
    // Every step takes part in full passes, so these alone reach each step within a bounded time. The other passes have turns of their own,
    // since they skip some of their gangs.
    TimePoint StepInstance::*const lastTurn = isFullPass ? &StepInstance::lastFullTurn : &StepInstance::lastTurn;
    if (steps.size() > stepsInEveryPass + rotatedStepsPerPass) {
        const auto tail = steps.begin() + static_cast<std::ptrdiff_t>(stepsInEveryPass);
        const auto end = tail + static_cast<std::ptrdiff_t>(rotatedStepsPerPass);
        // A new step has no earlier turn than those that have waited for one since before it was ready.
        const auto waitsSince = [lastTurn](const OrderedStep &entry) { return std::max(entry.second->*lastTurn, entry.second->readySince); };
        std::stable_sort(tail, steps.end(), [&waitsSince](const OrderedStep &a, const OrderedStep &b) { return waitsSince(a) < waitsSince(b); });
        steps.erase(end, steps.end());
        std::sort(tail, end, isMoreUrgent);
    }
    for (const OrderedStep &entry : steps) {
        entry.second->*lastTurn = now;
    }
}

void CellScheduler::estimateUnreportedUsage(TimePoint now)
{
    m_unreportedUsage.clear();
    if (m_leasesExpiredBy == TimePoint()) {
        return;
    }
    // Tasks of jobs of previous leaders may run on workers that have not answered yet. They count towards the maximum of their
    // workspace, up to the capacity of these workers.
    const Resources unreportedLimit = m_workers.unreportedCapacity(now);
    for (const auto &[id, entry] : m_jobs.unfinishedEntries()) {
        for (const auto &step : entry->steps) {
            if (entry->unreconciled && step->readySince != TimePoint()) {
                m_unreportedUsage[entry->job.workspace] += step->spec->demand * step->waiting;
            }
        }
    }
    for (auto &[workspace, usage] : m_unreportedUsage) {
        usage = usage.limitedTo(unreportedLimit);
        // Previous leaders enforced the same maximum. When they started their last task, the runs that this leader has discovered
        // (including those that have ended since) and the unreported runs together were within it, so the unreported usage is at most the
        // maximum minus the discovered usage.
        const auto maximum = m_workspaceMaxima.find(workspace);
        if (maximum != m_workspaceMaxima.end() && now - maximum->second.since > minStableMaximumTime) {
            usage = usage.limitedTo(remainder(maximum->second.maximum, m_discoveredUsage[workspace]));
        }
    }
}

RunNumber CellScheduler::nextRun(const CellTask &task) const
{
    return std::max(task.lastRun.next(), firstRunOf(m_epoch), [](RunNumber a, RunNumber b) { return a < b; });
}

void CellScheduler::startTask(StepInstance &step, int index, Worker &worker, RunNumber run, PlacementPass &pass)
{
    const CellTask &task = step.tasks[static_cast<std::size_t>(index)];
    Run added;
    added.task = TaskRef{step.ref, index};
    added.number = run;
    added.demand = step.spec->demand;
    added.workspace = step.job->job.workspace;
    added.isLongRunning = step.spec->longRunning;
    added.isGangMember = step.spec->gang;
    const RouteRules *rules = rulesOf(step.job->job);
    added.priority = rules != nullptr ? rules->priority : 0;
    added.timeliness = timelinessOf(step, pass.time.now);
    added.isolation = step.crashesOf(index).isolation();
    const double factor = step.spec->gang ? step.gangFactor : factorOf(worker);
    const Duration duration = step.expectedDuration > Duration(0) ? step.expectedDuration : step.spec->estimate;
    added.expectedDuration = Duration(std::llround(static_cast<double>(duration.count()) * factor));
    added.expectedEnd = pass.time.now + added.expectedDuration;
    StartOrder order;
    order.payload = step.job->job.payload;
    order.checkpoint = step.spec->gang ? step.gangCheckpoint : task.checkpoint;
    if (const Ticket *ticket = step.advice.find(worker.index)) {
        order.ticket = ticket->text;
    }
    pass.orders.starts.push_back(m_workers.addRun(worker, added, order, pass.time.now));
    m_usage[added.workspace] += added.demand;
    step.expectedEnd = std::max(step.expectedEnd, added.expectedEnd);
    m_jobs.onStarted(step, index, run, pass.time.now);
    step.advice.renewals = 0;
    ++m_counters.starts;
    onStartAfterPreemption(step, worker);
    m_counters.startsOnSlowWorkers += worker.speed.speedClass != SpeedClass::Fast ? 1 : 0;
    if (worker.speed.speedClass == SpeedClass::Degraded) {
        worker.nextProbe = pass.time.now + probeInterval;
    }
}

bool CellScheduler::needsIdleWorker(const StepInstance &step, int index, TimePoint now) const
{
    return step.crashesOf(index).isolation() != RunIsolation::None && now - step.suspectedSince(index) <= maxIsolationWait;
}

void CellScheduler::reserveIdleWorker(const StepInstance &step, const std::vector<CandidateWorker> &candidates, PlacementPass &pass) const
{
    const Worker *first = nullptr;
    TimePoint idleAt;
    for (const CandidateWorker &candidate : candidates) {
        const Worker &worker = *m_workers.at(candidate.worker);
        if (candidate.maxTasks < 1 || pass.reservations.hasReservation(worker.index) || !step.spec->demand.fitsIn(worker.info.capacity)) {
            continue;
        }
        const TimePoint at = pass.idleReleaseOf(worker).front().at;
        if (at != TimePoint::max() && (first == nullptr || at < idleAt)) {
            first = &worker;
            idleAt = at;
        }
    }
    if (first != nullptr) {
        pass.reservations.add(first->index, idleAt, first->info.capacity);
        ++pass.idleReservations;
    }
}

void CellScheduler::placeTasks(StepInstance &step, PlacementPass &pass)
{
    const TimePoint now = pass.time.now;
    std::vector<CandidateWorker> candidates = candidatesFor(step, pass, CandidateSet::AllowedWorkers);
    const bool advised = adviceSettings(step) != nullptr;
    const SpeedPreference preference = speedPreference(step, now);
    const auto hasClass = [this, &candidates, &step](auto isWanted) {
        return std::any_of(candidates.begin(), candidates.end(), [&](const CandidateWorker &candidate) {
            const Worker &worker = *m_workers.at(candidate.worker);
            return isWanted(worker.speed.speedClass) && candidate.maxTasks > 0 && step.spec->demand.fitsIn(worker.info.capacity);
        });
    };
    const bool waitsForFast = preference.mayWaitForFast && hasClass([](SpeedClass speed) { return speed == SpeedClass::Fast; });
    const bool avoidsDegraded = hasClass([](SpeedClass speed) { return speed != SpeedClass::Degraded; });
    std::vector<WorkerId> staleTicketWorkers;
    bool hasUnplacedTasks = false;
    step.withheldTasks = 0;
    const bool mayWait = !step.spec->preferredRack.empty() && mayWaitForPlace(step);
    std::optional<std::vector<TimePoint>> slotsOnRack; // Determined for the first task that finds no room on its rack.
    std::size_t waitingForRack = 0;
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        const CellTask &task = step.tasks[static_cast<std::size_t>(index)];
        const bool isStartable = task.phase == CellTaskPhase::Waiting && task.notBefore <= now && task.liveRuns == 0;
        if (!isStartable || !isWithinWorkspaceMaximum(step, 1)) {
            continue;
        }
        CandidateWorker *best = nullptr;
        PlacementRank bestRank;
        bool isWithheld = false;
        const bool isSuspect = step.crashesOf(index).isolation() != RunIsolation::None;
        const bool needsIdle = needsIdleWorker(step, index, now);
        for (CandidateWorker &candidate : candidates) {
            if (candidate.maxTasks < 1 || !step.spec->demand.fitsIn(candidate.free) || (needsIdle && !m_workers.at(candidate.worker)->isFitForIsolation())) {
                continue;
            }
            const Worker &worker = *m_workers.at(candidate.worker);
            const SpeedClass speed = worker.speed.speedClass;
            if (speed == SpeedClass::Degraded && avoidsDegraded && (waitsForFast || !mayUseDegraded(step, preference, worker, now))) {
                continue;
            }
            if (speed == SpeedClass::Slow && waitsForFast) {
                continue;
            }
            if (!pass.reservations.allows(candidate, step.spec->demand, now + preference.durationOn(speed))) {
                isWithheld = true;
                continue;
            }
            if (advised && step.advice.find(candidate.worker)->validUntil < now + ticketMargin) {
                if (std::find(staleTicketWorkers.begin(), staleTicketWorkers.end(), worker.info.id) == staleTicketWorkers.end()) {
                    staleTicketWorkers.push_back(worker.info.id);
                }
                continue;
            }
            const std::string &rack = step.spec->preferredRack;
            const std::vector<std::string> &labels = worker.info.labels;
            PlacementRank rank;
            rank.hasFailedThere = task.failedOn.count(worker.info.id) > 0;
            rank.isOtherRack = !rack.empty() && std::find(labels.begin(), labels.end(), rack) == labels.end();
            rank.speedOrder = preference.orderOf(speed);
            rank.lostGangTasks =
                tasksThatFit(pass.gangTaskDemand, candidate.free, INT_MAX) - tasksThatFit(pass.gangTaskDemand, candidate.free - step.spec->demand, INT_MAX);
            rank.freeAfter = candidate.free.cpu - step.spec->demand.cpu;
            if (best == nullptr || rank < bestRank) {
                best = &candidate;
                bestRank = rank;
            }
        }
        if (best == nullptr) {
            hasUnplacedTasks = true;
            step.withheldTasks += isWithheld ? 1 : 0;
            if (needsIdle && pass.idleReservations < maxIdleReservations) {
                reserveIdleWorker(step, candidates, pass);
            }
            continue;
        }
        if (mayWait && bestRank.isOtherRack && !isSuspect && task.failedOn.empty()) {
            slotsOnRack = slotsOnRack ? slotsOnRack : slotsOnPreferredRack(step, candidates, pass);
            if (waitingForRack < slotsOnRack->size() && waitsForPlace(step, (*slotsOnRack)[waitingForRack], "its rack", now)) {
                ++waitingForRack;
                continue;
            }
        }
        startTask(step, index, *m_workers.at(best->worker), nextRun(task), pass);
        best->free = isSuspect ? Resources{} : best->free - step.spec->demand;
        --best->maxTasks;
    }
    if (hasUnplacedTasks) {
        preemptFor(step, pass);
    }
    // The room on the rack may only lack a valid ticket.
    hasUnplacedTasks = hasUnplacedTasks || (waitingForRack > 0 && !staleTicketWorkers.empty());
    if (!hasUnplacedTasks || !advised) {
        return;
    }
    if (!staleTicketWorkers.empty()) {
        // Every waiting task may need its own worker. Renewing more tickets than that would only load the policy service.
        staleTicketWorkers.resize(
            std::min({staleTicketWorkers.size(), std::max(minTicketsToRenew, static_cast<std::size_t>(step.waiting)), maxWorkersPerCall}));
        renewTickets(step, staleTicketWorkers, now);
    } else {
        requestAdvice(step, now);
    }
}

} // namespace KingCupLadder
