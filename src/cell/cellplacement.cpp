// Placement of waiting tasks and gangs by CellScheduler.
#include "cellscheduler_p.h"

#include <algorithm>
#include <climits>
#include <tuple>

namespace KingCupLadder {

namespace {

constexpr int lateTier = 50; // Work that can still be on time goes before work that is late.
constexpr int uselessTier = 70; // Work that ends too late to help anybody goes after work that is late.
constexpr std::size_t firstSteps = 160; // Considered in every round, in their order.
constexpr std::size_t turnSteps = 80; // Of the others, considered by turns, so that a backlog does not cost more than its head.
constexpr int excessTier = 100; // Work beyond a workspace's rate goes last.
constexpr Duration fullPassInterval{50}; // Steps without news about their workers are considered again after this time.
constexpr int mostReservations = 4; // Gangs that hold room back from later work.
constexpr std::size_t renewedAtLeast = 8; // Workers for which a step of single tasks renews tickets, if so many have room.
constexpr Duration overrunStep{200}; // A run past its expected end is expected to go on for about this time.
constexpr Duration repairTerm{1200}; // A member of a gang that was refused may go to another worker for so long.
constexpr Duration maximumSettles{15000}; // Longer than a lease: an earlier leader knew no other maximum.
constexpr Duration longWait{3000}; // A ready step that waits longer is mentioned in the log.
constexpr int mostLongWaits = 5; // In one second, the oldest first.

/// What is left of @p maximum beside @p used; a kind without a maximum has no limit.
Resources remainder(const Resources &maximum, const Resources &used)
{
    Resources left = (maximum - used).clampedToNonNegative();
    left.cpu = maximum.cpu.value() > 0 ? left.cpu : MilliCores(INT64_MAX);
    left.memory = maximum.memory.value() > 0 ? left.memory : MebiBytes(INT64_MAX);
    left.accelerators = maximum.accelerators.value() > 0 ? left.accelerators : Accelerators(INT64_MAX);
    return left;
}

} // namespace

/// One round of placement.
struct CellScheduler::Pass {
    CellOrders &orders;
    CellTime time;
    Reservations reservations;
    int reserved = 0;
    std::map<WorkerIndex, std::vector<Release>> releases; ///< Filled on demand; entries keep their addresses.

    const std::vector<Release> &releasesOf(const Worker &worker)
    {
        const auto [entry, isNew] = releases.try_emplace(worker.index);
        if (isNew) {
            for (const auto &[key, run] : worker.runs) {
                const TimePoint overrun = time.now + overrunStep;
                entry->second.push_back(Release{run.phase == RunPhase::Stopping ? overrun : std::max(run.expectedEnd, overrun), run.demand});
            }
            std::sort(entry->second.begin(), entry->second.end(), [](const Release &a, const Release &b) { return a.at < b.at; });
        }
        return entry->second;
    }
};

bool CellScheduler::needsAttention(const StepInstance &step) const
{
    if (step.triedAt == 0 || (step.spec->gang && step.active > 0)) {
        return true;
    }
    if (adviceTerms(step) == nullptr) {
        return step.triedAt < m_workers.changes();
    }
    return std::any_of(step.advice.good.begin(), step.advice.good.end(), [&](const Ticket &ticket) {
        const Worker *worker = m_workers.at(ticket.worker);
        return worker != nullptr && worker->changedAt > step.triedAt && worker->wasUsable && step.spec->demand.fitsIn(worker->free());
    });
}

std::pair<int, TimePoint> CellScheduler::orderKey(const StepInstance &step, TimePoint now) const
{
    const CellRoute *route = m_config->route(step.job->job.route);
    const JobEntry &entry = *step.job;
    const TimePoint softDeadline = entry.softDeadline + entry.job.interval * step.ref.occurrence;
    Duration rest = step.spec->estimate;
    for (std::size_t i = static_cast<std::size_t>(step.ref.step) + 1; i < entry.job.steps.size(); ++i) {
        const std::vector<int> &after = entry.job.steps[i].after;
        if (std::find(after.begin(), after.end(), step.ref.step) != after.end()) {
            rest += entry.job.steps[i].estimate;
        }
    }
    const TimePoint latestStart = softDeadline - rest;
    int tier = route != nullptr ? route->priority : 0;
    if (now > latestStart && !step.spec->longRunning) {
        tier += now + rest > entry.firmDeadline + entry.job.interval * step.ref.occurrence ? uselessTier : lateTier;
    }
    tier += entry.excess ? excessTier : 0;
    return {tier, latestStart};
}

bool CellScheduler::isEligible(const StepInstance &step, const Worker &worker) const
{
    const CellRoute *route = m_config->route(step.job->job.route);
    if (route == nullptr || worker.info.upstream != route->upstream) {
        return false;
    }
    const std::vector<std::string> &labels = worker.info.labels;
    const std::string &required = step.spec->requiredLabel;
    return (required.empty() || std::find(labels.begin(), labels.end(), required) != labels.end()) && step.spec->demand.fitsIn(worker.info.capacity);
}

bool CellScheduler::isWithinMaximum(const StepInstance &step, int tasks) const
{
    const Workspace *workspace = m_config->workspace(step.job->job.workspace);
    if (workspace == nullptr) {
        return true;
    }
    const auto used = m_usage.find(step.job->job.workspace);
    Resources after = (used == m_usage.end() ? Resources{} : used->second) + step.spec->demand * tasks;
    const auto hidden = m_hiddenUsage.find(step.job->job.workspace);
    if (hidden != m_hiddenUsage.end()) {
        after += hidden->second;
    }
    const Resources &most = workspace->maximum;
    const bool cpu = most.cpu.value() <= 0 || after.cpu <= most.cpu;
    const bool memory = most.memory.value() <= 0 || after.memory <= most.memory;
    const bool accelerators = most.accelerators.value() <= 0 || after.accelerators <= most.accelerators;
    return cpu && memory && accelerators;
}

std::vector<CandidateWorker> CellScheduler::roomsFor(StepInstance &step, Pass &pass, RoomsOf choice)
{
    const bool withReleases = choice == RoomsOf::AllowedWorkersLater;
    std::vector<CandidateWorker> rooms;
    if (adviceTerms(step) != nullptr) {
        rooms.reserve(step.advice.good.size());
        for (const Ticket &ticket : step.advice.good) {
            const bool counts = choice != RoomsOf::TicketedWorkers || ticket.validUntil >= pass.time.now + ticketMargin;
            const Worker *worker = counts ? m_workers.at(ticket.worker) : nullptr;
            if (worker != nullptr) {
                addRoom(step, *worker, pass, withReleases, rooms);
            }
        }
        return rooms;
    }
    for (const auto &[id, worker] : m_workers.all()) {
        addRoom(step, worker, pass, withReleases, rooms);
    }
    return rooms;
}

void CellScheduler::addRoom(const StepInstance &step, const Worker &worker, Pass &pass, bool withReleases, std::vector<CandidateWorker> &rooms) const
{
    if (!worker.wasUsable || !isEligible(step, worker)) {
        return;
    }
    CandidateWorker room{worker.index, worker.free(), INT_MAX, nullptr};
    if (step.spec->maxPerWorker > 0) {
        const auto first = worker.runs.lower_bound({TaskRef{step.ref, 0}, RunNumber()});
        int present = 0;
        for (auto run = first; run != worker.runs.end() && run->first.first.step == step.ref; ++run) {
            ++present;
        }
        room.maxTasks = std::max(step.spec->maxPerWorker - present, 0);
    }
    // Sorting the runs of every worker would cost more than the rest of a round.
    if (withReleases || pass.reservations.concern(worker.index)) {
        room.releases = &pass.releasesOf(worker);
    }
    rooms.push_back(room);
}

void CellScheduler::place(CellOrders &orders, const CellTime &time)
{
    m_workers.noteUsable(time.now);
    countHiddenUsage(time.now);
    const bool isFullPass = m_nextFullPass <= time.now;
    if (isFullPass) {
        m_nextFullPass = time.now + fullPassInterval;
    }
    std::vector<StepInstance *> steps = m_jobs.waitingSteps();
    std::vector<std::pair<std::pair<int, TimePoint>, StepInstance *>> ordered;
    ordered.reserve(steps.size());
    for (StepInstance *step : steps) {
        const bool isKept = m_config->route(step->job->job.route) != nullptr && !step->job->unreconciled;
        // What waiting gangs reserve limits the others, so that they take part in every round.
        if (isKept && (isFullPass || step->spec->gang || needsAttention(*step))) {
            ordered.emplace_back(orderKey(*step, time.now), step);
        }
    }
    std::sort(
        ordered.begin(), ordered.end(), [](const auto &a, const auto &b) { return a.first != b.first ? a.first < b.first : a.second->ref < b.second->ref; });
    if (ordered.size() > firstSteps + turnSteps) {
        const std::size_t others = ordered.size() - firstSteps;
        m_nextTurn %= others;
        const auto tail = ordered.begin() + static_cast<std::ptrdiff_t>(firstSteps);
        std::rotate(tail, tail + static_cast<std::ptrdiff_t>(m_nextTurn), ordered.end());
        ordered.resize(firstSteps + turnSteps);
        m_nextTurn += turnSteps;
    }
    Pass pass{orders, time, {}, 0, {}};
    for (const auto &[key, step] : ordered) {
        const bool news = needsAttention(*step);
        step->triedAt = m_workers.changes();
        if (adviceTerms(*step) != nullptr && step->advice.asked.empty()) {
            requestAdvice(*step, time.now);
            continue;
        }
        if (!mayStart(*step->job)) {
            step->triedAt = 0; // To be considered as soon as the leader's row is renewed.
            continue;
        }
        if (step->spec->gang && step->active > 0) {
            repairGang(*step, pass);
        } else if (step->spec->gang && pass.reserved >= mostReservations && !isFullPass && !news) {
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

void CellScheduler::countHiddenUsage(TimePoint now)
{
    m_hiddenUsage.clear();
    if (m_lapsedBy == TimePoint()) {
        return;
    }
    // Tasks of older jobs may run on workers that have not answered yet, and count against their workspaces' maximum as far as
    // these workers can hold them.
    const Resources hiddenRoom = m_workers.hiddenCapacity(now);
    for (const auto &[id, entry] : m_jobs.open()) {
        for (const auto &step : entry->steps) {
            if (entry->unreconciled && step->readySince != TimePoint()) {
                m_hiddenUsage[entry->job.workspace] += step->spec->demand * step->waiting;
            }
        }
    }
    for (auto &[workspace, usage] : m_hiddenUsage) {
        usage = usage.limitedTo(hiddenRoom);
        // Earlier leaders kept to the maximum as well: when they started their last task, what was found here ran besides the rest.
        const auto maximum = m_maxima.find(workspace);
        if (maximum != m_maxima.end() && now - maximum->second.since > maximumSettles) {
            usage = usage.limitedTo(remainder(maximum->second.maximum, m_foundUsage[workspace]));
        }
    }
}

RunNumber CellScheduler::nextRun(const CellTask &task) const
{
    return std::max(task.lastRun.next(), firstRunOf(m_epoch), [](RunNumber a, RunNumber b) { return a < b; });
}

void CellScheduler::startTask(StepInstance &step, int index, Worker &worker, RunNumber run, Pass &pass)
{
    const CellTask &task = step.tasks[static_cast<std::size_t>(index)];
    Run added;
    added.task = TaskRef{step.ref, index};
    added.number = run;
    added.demand = step.spec->demand;
    added.workspace = step.job->job.workspace;
    added.expectedEnd = pass.time.now + step.spec->estimate;
    StartOrder order;
    order.payload = step.job->job.payload;
    order.checkpoint = step.spec->gang ? step.gangCheckpoint : task.checkpoint;
    if (const Ticket *ticket = step.advice.find(worker.index)) {
        order.ticket = ticket->text;
    }
    pass.orders.starts.push_back(m_workers.start(worker, added, order, pass.time.now));
    m_usage[added.workspace] += added.demand;
    step.expectedEnd = std::max(step.expectedEnd, added.expectedEnd);
    m_jobs.onStarted(step, index, run, pass.time.now);
    step.advice.renewals = 0;
    ++m_counters.starts;
}

void CellScheduler::placeTasks(StepInstance &step, Pass &pass)
{
    const TimePoint now = pass.time.now;
    std::vector<CandidateWorker> rooms = roomsFor(step, pass, RoomsOf::AllowedWorkers);
    const bool advised = adviceTerms(step) != nullptr;
    std::vector<WorkerId> stale;
    bool lacksRoom = false;
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        const CellTask &task = step.tasks[static_cast<std::size_t>(index)];
        const bool mayStart = task.phase == CellTaskPhase::Waiting && task.notBefore <= now && task.liveRuns == 0;
        if (!mayStart || !isWithinMaximum(step, 1)) {
            continue;
        }
        CandidateWorker *best = nullptr;
        double bestScore = 0;
        for (CandidateWorker &room : rooms) {
            if (room.maxTasks < 1 || !step.spec->demand.fitsIn(room.free) || !pass.reservations.allows(room, step.spec->demand, now + step.spec->estimate)) {
                continue;
            }
            const Worker &worker = *m_workers.at(room.worker);
            if (advised && step.advice.find(room.worker)->validUntil < now + ticketMargin) {
                if (std::find(stale.begin(), stale.end(), worker.info.id) == stale.end()) {
                    stale.push_back(worker.info.id);
                }
                continue;
            }
            // The fullest worker that has room, so that other workers keep room for gangs.
            double score = static_cast<double>((room.free.cpu - step.spec->demand.cpu).value());
            score += !task.failedOn.empty() && task.failedOn.count(worker.info.id) > 0 ? 1e6 : 0;
            const std::string &rack = step.spec->preferredRack;
            if (!rack.empty() && std::find(worker.info.labels.begin(), worker.info.labels.end(), rack) == worker.info.labels.end()) {
                score += 1e5;
            }
            if (best == nullptr || score < bestScore) {
                best = &room;
                bestScore = score;
            }
        }
        if (best == nullptr) {
            lacksRoom = true;
            continue;
        }
        startTask(step, index, *m_workers.at(best->worker), nextRun(task), pass);
        best->free -= step.spec->demand;
        --best->maxTasks;
    }
    if (!lacksRoom || !advised || step.advice.inFlight) {
        return;
    }
    if (!stale.empty()) {
        // One task may need each of them; more would only keep the policy service busy.
        stale.resize(std::min({stale.size(), std::max(renewedAtLeast, static_cast<std::size_t>(step.waiting)), maxWorkersPerCall}));
        renewTickets(step, stale, now);
    } else {
        requestAdvice(step, now);
    }
}

void CellScheduler::limitToAllowed(const StepInstance &step, std::vector<CandidateWorker> &rooms, const Pass &pass) const
{
    for (CandidateWorker &room : rooms) {
        room.maxTasks = pass.reservations.tasksAllowed(room, step.spec->demand, pass.time.now + step.spec->estimate);
    }
}

void CellScheduler::placeGang(StepInstance &step, Pass &pass)
{
    const TimePoint now = pass.time.now;
    const int count = step.spec->count;
    const bool mayStart = std::all_of(step.tasks.begin(), step.tasks.end(), [now](const CellTask &task) {
        return task.phase == CellTaskPhase::Waiting && task.liveRuns == 0 && task.notBefore <= now;
    });
    if (!mayStart || !isWithinMaximum(step, count)) {
        return;
    }
    std::vector<CandidateWorker> rooms = roomsFor(step, pass, RoomsOf::TicketedWorkers);
    limitToAllowed(step, rooms, pass);
    const auto fit = fitGang(rooms, step.spec->demand, count);
    if (!fit) {
        reserveForGang(step, roomsFor(step, pass, RoomsOf::AllowedWorkersLater), pass);
        return;
    }
    RunNumber run;
    for (const CellTask &task : step.tasks) {
        run = std::max(run, nextRun(task), [](RunNumber a, RunNumber b) { return a < b; });
    }
    step.gangRun = run;
    step.gangStarted = now;
    step.gangBroken = false;
    int index = 0;
    for (const Share &share : *fit) {
        for (int i = 0; i < share.tasks; ++i) {
            startTask(step, index++, *m_workers.at(share.worker), run, pass);
        }
    }
    log("gang " + TaskRef{step.ref, 0}.text() + " run " + std::to_string(run.value()) + " placed: " + std::to_string(count) + " tasks on "
        + std::to_string(fit->size()) + " workers");
}

void CellScheduler::reserveForGang(StepInstance &step, const std::vector<CandidateWorker> &rooms, Pass &pass)
{
    const TimePoint now = pass.time.now;
    const AdviceSettings *terms = adviceTerms(step);
    std::vector<CandidateWorker> left;
    left.reserve(rooms.size());
    for (const CandidateWorker &room : rooms) {
        left.push_back(pass.reservations.without(room));
    }
    // A gang that only lacks tickets keeps its room while they are renewed. Others hold room back for later, but only a few.
    std::vector<CandidateWorker> allowed = rooms;
    limitToAllowed(step, allowed, pass);
    const auto fit = fitGang(allowed, step.spec->demand, step.spec->count);
    std::optional<GangForecast> forecast;
    if (!fit && terms != nullptr) {
        // Other workers may have the room that the allowed ones lack now.
        int fitting = 0;
        for (const CandidateWorker &room : allowed) {
            fitting += room.maxTasks;
        }
        (void)askFurther(step, std::max(step.spec->count - fitting, 1), now);
    }
    if (fit) {
        forecast = GangForecast{now, *fit};
    } else if (pass.reserved < mostReservations) {
        forecast = forecastGang(left, step.spec->demand, step.spec->count, now);
        pass.reserved += forecast ? 1 : 0;
    }
    if (!forecast) {
        return;
    }
    for (const Share &share : forecast->shares) {
        pass.reservations.add(share.worker, forecast->start, step.spec->demand * share.tasks);
    }
    if (terms == nullptr || step.advice.inFlight) {
        return;
    }
    renewForGang(step, *forecast, rooms, now);
}

void CellScheduler::repairGang(StepInstance &step, Pass &pass)
{
    const TimePoint now = pass.time.now;
    if (step.gangBroken) {
        return;
    }
    if (now > step.gangStarted + repairTerm) {
        breakGang(step, now);
        return;
    }
    std::vector<CandidateWorker> rooms = roomsFor(step, pass, RoomsOf::TicketedWorkers);
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        const CellTask &task = step.tasks[static_cast<std::size_t>(index)];
        if (task.phase != CellTaskPhase::Waiting || task.liveRuns > 0) {
            continue;
        }
        const auto room = std::find_if(rooms.begin(), rooms.end(), [&step](const CandidateWorker &candidate) {
            return candidate.maxTasks > 0 && step.spec->demand.fitsIn(candidate.free);
        });
        if (room == rooms.end()) {
            return;
        }
        startTask(step, index, *m_workers.at(room->worker), step.gangRun, pass);
        room->free -= step.spec->demand;
        --room->maxTasks;
    }
}

void CellScheduler::logLongWaits(TimePoint now)
{
    std::vector<std::pair<TimePoint, const StepInstance *>> waits;
    for (const StepInstance *step : m_jobs.waitingSteps()) {
        if (now - step->readySince > longWait) {
            waits.emplace_back(step->readySince, step);
        }
    }
    std::sort(waits.begin(), waits.end());
    for (std::size_t i = 0; i < waits.size() && i < static_cast<std::size_t>(mostLongWaits); ++i) {
        log(describeWait(*waits[i].second, now) + ", one of " + std::to_string(waits.size()) + " long waits");
    }
}

std::string CellScheduler::describeWait(const StepInstance &step, TimePoint now) const
{
    int valid = 0;
    int usable = 0;
    int fitting = 0;
    for (const Ticket &ticket : step.advice.good) {
        const Worker *worker = m_workers.at(ticket.worker);
        if (worker != nullptr && worker->wasUsable && isEligible(step, *worker)) {
            ++usable;
            valid += ticket.validUntil >= now ? 1 : 0;
            fitting += tasksThatFit(step.spec->demand, worker->free(), step.spec->count);
        }
    }
    int live = 0;
    for (const CellTask &task : step.tasks) {
        live += task.liveRuns;
    }
    return "step " + TaskRef{step.ref, 0}.text() + " waits for " + std::to_string((now - step.readySince).count()) + " ms: " + std::to_string(step.waiting)
        + " of " + std::to_string(step.spec->count) + " tasks of " + std::to_string(step.spec->demand.cpu.value()) + " thousandths, "
        + (step.spec->gang ? "gang, " : "") + std::to_string(step.active) + " active, " + std::to_string(live) + " runs not settled, " + std::to_string(usable)
        + " allowed workers usable of " + std::to_string(step.advice.good.size()) + " (" + std::to_string(step.advice.asked.size()) + " asked), "
        + std::to_string(valid) + " tickets valid, room for " + std::to_string(fitting) + " tasks"
        + (isWithinMaximum(step, step.spec->gang ? step.spec->count : 1) ? "" : ", workspace at its maximum")
        + (step.job->unreconciled ? ", runs of an earlier leader not ruled out" : "") + (step.advice.inFlight ? ", advice asked" : "")
        + (step.gangBroken ? ", gang broken" : "");
}

} // namespace KingCupLadder
