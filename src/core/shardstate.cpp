// State of one shard: jobs, workers and charges.
#include "shardstate_p.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr int replyTimeoutFactor = 2; // In units of syncTimeout; a batch counts as lost if the caller never reports its outcome.
constexpr unsigned opEpochBits = 32; // Keeps operation ids of different epochs distinct, so that late answers don't match.

WorkerSessionSettings sessionSettings(const ShardSettings &settings)
{
    WorkerSessionSettings result;
    result.owner = settings.owner;
    result.epoch = settings.epoch;
    result.answerTimeout = settings.syncTimeout * replyTimeoutFactor;
    result.inventoryInterval = settings.inventoryInterval;
    result.maxStartAge = settings.maxStartAge;
    result.previousOwnerTerm = settings.previousOwnerTerm;
    result.margin = settings.margin;
    result.safetyChecks = settings.safetyChecks;
    return result;
}

ShardState::CapacityKey keyOf(const Resources &r)
{
    return {r.cpu.value(), r.memory.value(), r.accelerators.value(), r.slots.value()};
}

Resources resourcesOf(const ShardState::CapacityKey &key)
{
    return Resources{MilliCores(std::get<0>(key)), MebiBytes(std::get<1>(key)), Accelerators(std::get<2>(key)), Slots(std::get<3>(key))};
}

template<typename T>
T larger(T a, T b)
{
    return std::max(a, b);
}

Resources componentMax(const Resources &a, const Resources &b)
{
    return Resources{larger(a.cpu, b.cpu), larger(a.memory, b.memory), larger(a.accelerators, b.accelerators), larger(a.slots, b.slots)};
}

template<typename T>
std::int64_t multiplesIn(T part, T whole)
{
    return part.value() > 0 ? whole.value() / part.value() : INT64_MAX;
}

/// The number of tasks of this demand that fit into an empty worker.
std::int64_t tasksPerWorker(const Resources &demand, const Resources &capacity)
{
    const std::int64_t compute = std::min(multiplesIn(demand.cpu, capacity.cpu), multiplesIn(demand.memory, capacity.memory));
    return std::min({compute, multiplesIn(demand.accelerators, capacity.accelerators), multiplesIn(demand.slots, capacity.slots)});
}

} // namespace

ShardState::ShardState(const ShardSettings &shardSettings, TimePoint now)
    : settings(shardSettings)
    , queue(FairQueueSettings{})
    , placementIndex(shardSettings.placementPolicy)
    , gang(shardSettings.gangTimeout)
    , lastGrantRequest(now)
    , random(shardSettings.seed)
    , m_ops(shardSettings.epoch.value() << opEpochBits)
    , m_largestCapacity(shardSettings.maxWorkerCapacity)
{
}

ShardJob *ShardState::job(const JobId &id)
{
    const auto it = jobs.find(id);
    return it == jobs.end() ? nullptr : it->second.get();
}

const ShardJob *ShardState::job(const JobId &id) const
{
    const auto it = jobs.find(id);
    return it == jobs.end() ? nullptr : it->second.get();
}

ShardWorker *ShardState::worker(const WorkerId &id)
{
    const auto it = workerIndex.find(id);
    return it == workerIndex.end() ? nullptr : workers[it->second].get();
}

ShardJob *ShardState::currentOn(const TaskId &task, WorkerIndex worker)
{
    ShardJob *found = job(task.job);
    if (found == nullptr || !found->tasks.isCurrent(task.index, task.attempt)) {
        return nullptr;
    }
    const TaskState &state = found->tasks.at(task.index);
    const bool live = state.phase == TaskPhase::Reserved || mayRun(state.phase);
    return live && state.worker == worker ? found : nullptr;
}

void ShardState::applyTables(std::shared_ptr<const Tables> newTables)
{
    tables = std::move(newTables);
    requestDemand = Resources{};
    if (!tables) {
        return;
    }
    for (const Team &team : tables->teams()) {
        queue.setTeam(team.id, team.share);
    }
    for (const Route &route : tables->routes()) {
        if (route.workClass == WorkClass::Request && route.pool == settings.pool) {
            requestDemand = componentMax(requestDemand, route.demand);
        }
    }
    needsRound = true;
}

PowerSource ShardState::power() const
{
    const Pool *pool = tables ? tables->pool(settings.pool) : nullptr;
    return pool != nullptr ? pool->power : PowerSource::Grid;
}

Resources ShardState::teamLimit(const TeamId &team) const
{
    const Team *found = tables ? tables->team(team) : nullptr;
    return found != nullptr ? found->limit : Resources{};
}

bool ShardState::hasTables() const
{
    return tables != nullptr;
}

WorkerIndex ShardState::addWorker(const VmInfo &vm, TimePoint now)
{
    WorkerIndex position = static_cast<WorkerIndex>(workers.size());
    if (vacantIndexes.empty()) {
        workers.emplace_back();
    } else {
        position = vacantIndexes.back();
        vacantIndexes.pop_back();
    }
    workers[position] = std::make_unique<ShardWorker>(vm, sessionSettings(settings), now);
    workerIndex[vm.id] = position;
    setUnread(unread + 1);
    return position;
}

void ShardState::removeWorker(WorkerIndex position)
{
    workers[position].reset();
    vacantIndexes.push_back(position);
}

bool ShardState::isPlaceable(const ShardWorker &worker) const
{
    if (!worker.session.mayCommit() || worker.vm.leaving || worker.preemptedFor || worker.health.state() == HealthState::Quarantined) {
        return false;
    }
    if (worker.health.state() == HealthState::Probation && (!worker.ledger.tasks().empty() || worker.ledger.grantCount() > 0)) {
        return false;
    }
    return worker.session.supportsEpochs() || leaseConfirmed;
}

void ShardState::countCapacity(ShardWorker &worker)
{
    const bool counts = worker.session.mayCommit() || worker.session.phase() == WorkerPhase::Unreachable;
    std::optional<Resources> capacity;
    if (counts && !worker.vm.leaving) {
        capacity = worker.ledger.capacity();
    }
    if (worker.countedCapacity == capacity) {
        return;
    }
    if (worker.countedCapacity) {
        const auto it = capacities.find(keyOf(*worker.countedCapacity));
        if (--it->second == 0) {
            capacities.erase(it);
        }
        total -= *worker.countedCapacity;
    }
    if (capacity) {
        ++capacities[keyOf(*capacity)];
        total += *capacity;
        m_largestCapacity = componentMax(m_largestCapacity, *capacity);
        unreadReserveOutdated = true;
    }
    worker.countedCapacity = capacity;
    queue.setTotal(total);
}

void ShardState::refresh(WorkerIndex position)
{
    ShardWorker &worker = *workers[position];
    countCapacity(worker);
    const bool placeable = isPlaceable(worker);
    needsRound = needsRound || (placeable && !worker.indexed);
    worker.indexed = placeable;
    if (!placeable) {
        const auto listed = workerIndex.find(worker.vm.id);
        if (listed == workerIndex.end() || listed->second == position) {
            placementIndex.remove(worker.vm.id);
        }
        return;
    }
    WorkerLoad load;
    load.worker = worker.vm.id;
    load.rack = worker.vm.rack;
    load.capacity = worker.ledger.capacity();
    load.committed = worker.ledger.committed().limitedTo(load.capacity);
    load.observed = worker.observed;
    placementIndex.update(load);
}

void ShardState::setUnread(std::uint32_t count)
{
    unread = count;
    unreadReserveOutdated = true;
    needsRound = true;
}

bool ShardState::allRead() const
{
    return unread == 0 && !workerIndex.empty();
}

std::uint32_t ShardState::readWorkers() const
{
    std::uint32_t count = 0;
    for (const auto &[key, number] : capacities) {
        count += number;
    }
    return count;
}

bool ShardState::couldEverFit(const Resources &demand, std::uint32_t count) const
{
    std::int64_t fitting = 0;
    for (const auto &[key, number] : capacities) {
        const std::int64_t perWorker = std::min<std::int64_t>(tasksPerWorker(demand, resourcesOf(key)), count);
        fitting += perWorker * number;
    }
    return fitting >= count;
}

void ShardState::charge(const TeamId &team, const Resources &amount)
{
    queue.charge(team, amount);
    teams[team].running += amount;
}

void ShardState::discharge(const TeamId &team, const Resources &amount)
{
    queue.discharge(team, amount);
    teams[team].running -= amount;
    needsRound = true;
}

void ShardState::updateUnreadReserve()
{
    if (!std::exchange(unreadReserveOutdated, false)) {
        return;
    }
    const bool counted = settings.safetyChecks.countUnreadWorkers && unread > 0;
    for (auto &[team, account] : teams) {
        Resources most;
        if (counted) {
            // Until a worker was read, the capacity of the VMs is unknown and only the allotment bounds what may be running.
            most = m_largestCapacity.isZero() ? account.allotment : account.allotment.limitedTo(m_largestCapacity * unread);
        }
        queue.discharge(team, account.reservedUnread);
        queue.charge(team, most);
        account.reservedUnread = most;
    }
}

bool ShardState::place(ShardJob &job, WorkerIndex position, TimePoint now)
{
    ShardWorker &worker = *workers[position];
    if (!worker.session.mayCommit() || job.tasks.count(TaskPhase::Queued) == 0 || !job.spec.demand.fitsIn(worker.ledger.free())) {
        return false;
    }
    const std::optional<std::uint32_t> task = job.tasks.reserve(position, now);
    if (!task) {
        return false;
    }
    const TaskId id{job.spec.id, *task, job.tasks.at(*task).attempt};
    if (!worker.ledger.commit(id, job.spec.demand)) {
        (void)job.tasks.requeue(*task);
        return false;
    }
    taskUse += job.spec.demand;
    worker.starts.push_back(id);
    refresh(position);
    markDue(position);
    return true;
}

void ShardState::releaseAttempt(const ShardJob &job, std::uint32_t task)
{
    const TaskState &state = job.tasks.at(task);
    const Resources freed = workers[state.worker]->ledger.release(TaskId{job.spec.id, task, state.attempt});
    taskUse -= freed;
    discharge(job.spec.team, freed);
    refresh(state.worker);
}

void ShardState::releaseOrphan(WorkerIndex position, const TaskId &task)
{
    ShardWorker &worker = *workers[position];
    const auto it = worker.orphans.find(task);
    if (it == worker.orphans.end()) {
        return;
    }
    const TeamId team = it->second;
    worker.orphans.erase(it);
    const Resources freed = worker.ledger.release(task);
    taskUse -= freed;
    discharge(team, freed);
    refresh(position);
}

void ShardState::requeue(ShardJob &job, std::uint32_t task, TimePoint now)
{
    if (job.tasks.requeue(task) && !job.finalState) {
        enqueueTasks(job, 1, now);
    }
}

void ShardState::enqueueTasks(const ShardJob &job, std::uint32_t count, TimePoint now)
{
    if (count == 0) {
        return;
    }
    QueueEntry entry;
    entry.job = job.spec.id;
    entry.team = job.spec.team;
    entry.priority = job.spec.priority;
    entry.demand = job.spec.demand;
    entry.tasks = count;
    entry.allAtOnce = job.spec.allAtOnce;
    entry.declaredRunTime = job.spec.declaredRunTime;
    entry.since = now;
    queue.push(entry);
    needsRound = true;
}

void ShardState::rebuildQueueEntry(const ShardJob &job, TimePoint now)
{
    queue.remove(job.spec.id);
    if (!job.finalState) {
        enqueueTasks(job, job.tasks.count(TaskPhase::Queued), now);
    }
}

void ShardState::control(ShardJob &job, std::uint32_t task, TaskAction action, TimePoint now)
{
    const TaskState &state = job.tasks.at(task);
    ShardWorker &worker = *workers[state.worker];
    worker.controls.push_back(TaskControl{TaskId{job.spec.id, task, state.attempt}, action});
    if (action == TaskAction::Checkpoint) {
        worker.checkpointUntil = std::min(worker.checkpointUntil, now + settings.taskTerm);
        scheduleTimer(state.worker, worker.checkpointUntil);
    }
    markDue(state.worker);
}

void ShardState::releasePreemptedWorkers(const JobId &id)
{
    const auto it = preemptedWorkers.find(id);
    if (it == preemptedWorkers.end()) {
        return;
    }
    const std::vector<WorkerIndex> reserved = std::move(it->second);
    preemptedWorkers.erase(it);
    for (const WorkerIndex position : reserved) {
        if (workers[position] && workers[position]->preemptedFor == id) {
            workers[position]->preemptedFor.reset();
            refresh(position);
        }
    }
    needsRound = true;
}

void ShardState::dropGrant(const GrantId &id)
{
    const auto it = grants.find(id);
    if (it == grants.end()) {
        return;
    }
    const ShardGrant grant = it->second;
    grants.erase(it);
    ShardWorker &worker = *workers[grant.worker];
    worker.timedOutGrants.erase(id);
    const Resources freed = worker.ledger.release(id);
    requestUse -= freed;
    discharge(grant.team, freed);
    refresh(grant.worker);
}

void ShardState::scheduleLimitChecks()
{
    for (const auto &[team, account] : teams) {
        teamsToCheck.insert(team);
    }
}

bool ShardState::hasEnded(const JobId &id)
{
    if (finished.count(id) > 0) {
        return true;
    }
    const auto [known, added] = unknownJobs.emplace(id, scansBegun + 1);
    if (added) {
        outputs.emplace_back(ScanQueue{id});
    }
    return known->second <= scanEnded;
}

void ShardState::requestPersist(const JobId &job, JobState state, const std::string &reason)
{
    outputs.emplace_back(PersistJobState{job, state, reason});
}

void ShardState::scheduleTimer(WorkerIndex position, TimePoint at)
{
    ShardWorker &worker = *workers[position];
    if (at < worker.timerAt) {
        worker.timerAt = at;
        timers.push(Timer{at, position});
    }
}

void ShardState::markDue(WorkerIndex position)
{
    ShardWorker &worker = *workers[position];
    if (!worker.isMarkedDue) {
        worker.isMarkedDue = true;
        dueWorkers.push_back(position);
    }
}

OpId ShardState::nextOp()
{
    return OpId(++m_ops);
}

} // namespace KingCupLadder
