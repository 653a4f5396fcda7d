// State of one shard: jobs, workers and charges.
#include "shardstate_p.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr int replyTimeoutFactor = 2; // A batch counts as lost after this many sync timeouts, in case the caller never reports the timeout.
constexpr unsigned opEpochBits = 32; // Keeps operation ids of different epochs distinct, so that late replies don't match.

WorkerSessionSettings sessionSettings(const ShardSettings &settings)
{
    WorkerSessionSettings result;
    result.owner = settings.owner;
    result.epoch = settings.epoch;
    result.replyTimeout = settings.syncTimeout * replyTimeoutFactor;
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
    , m_lastOp(shardSettings.epoch.value() << opEpochBits)
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
    const auto it = workerIndexes.find(id);
    return it == workerIndexes.end() ? nullptr : workers[it->second].get();
}

ShardJob *ShardState::jobOfLiveAttempt(const TaskId &task, WorkerIndex worker)
{
    ShardJob *found = job(task.job);
    if (found == nullptr || !found->tasks.isCurrent(task.index, task.attempt)) {
        return nullptr;
    }
    const TaskState &state = found->tasks.at(task.index);
    const bool live = state.phase == TaskPhase::Reserved || mayRun(state.phase);
    return live && state.workerIndex == worker ? found : nullptr;
}

void ShardState::applyTables(std::shared_ptr<const Tables> newTables)
{
    tables = std::move(newTables);
    largestRequestDemand = Resources{};
    if (!tables) {
        return;
    }
    for (const Team &team : tables->teams()) {
        queue.setTeamWeight(team.id, team.share);
    }
    for (const Route &route : tables->routes()) {
        if (route.workClass == WorkClass::Request && route.pool == settings.pool) {
            largestRequestDemand = componentMax(largestRequestDemand, route.demand);
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
    WorkerIndex index = static_cast<WorkerIndex>(workers.size());
    if (vacantIndexes.empty()) {
        workers.emplace_back();
    } else {
        index = vacantIndexes.back();
        vacantIndexes.pop_back();
    }
    workers[index] = std::make_unique<ShardWorker>(vm, sessionSettings(settings), now);
    workerIndexes[vm.id] = index;
    setUnreadWorkers(unreadWorkers + 1);
    return index;
}

void ShardState::removeWorker(WorkerIndex index)
{
    workers[index].reset();
    vacantIndexes.push_back(index);
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
        totalCapacity -= *worker.countedCapacity;
    }
    if (capacity) {
        ++capacities[keyOf(*capacity)];
        totalCapacity += *capacity;
        m_largestCapacity = componentMax(m_largestCapacity, *capacity);
        unreadReserveOutdated = true;
    }
    worker.countedCapacity = capacity;
    queue.setTotalCapacity(totalCapacity);
}

void ShardState::refreshWorker(WorkerIndex index)
{
    ShardWorker &worker = *workers[index];
    countCapacity(worker);
    const bool placeable = isPlaceable(worker);
    needsRound = needsRound || (placeable && !worker.indexed);
    worker.indexed = placeable;
    if (!placeable) {
        // A VM that was listed again after it was gone has a new index. The entry of that index has the same id and must stay.
        const auto listed = workerIndexes.find(worker.vm.id);
        if (listed == workerIndexes.end() || listed->second == index) {
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

void ShardState::setUnreadWorkers(std::uint32_t count)
{
    unreadWorkers = count;
    unreadReserveOutdated = true;
    needsRound = true;
}

bool ShardState::allWorkersRead() const
{
    return unreadWorkers == 0 && !workerIndexes.empty();
}

std::uint32_t ShardState::readWorkerCount() const
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
    const bool counted = settings.safetyChecks.countUnreadWorkers && unreadWorkers > 0;
    for (auto &[team, account] : teams) {
        Resources upperBound;
        if (counted) {
            // Until the inventory of a worker was read, the capacity of the VMs is unknown and only the allotment bounds what may be running.
            upperBound = m_largestCapacity.isZero() ? account.allotment : account.allotment.limitedTo(m_largestCapacity * unreadWorkers);
        }
        queue.discharge(team, account.reservedUnread);
        queue.charge(team, upperBound);
        account.reservedUnread = upperBound;
    }
}

bool ShardState::place(ShardJob &job, WorkerIndex index, TimePoint now)
{
    ShardWorker &worker = *workers[index];
    if (!worker.session.mayCommit() || job.tasks.count(TaskPhase::Queued) == 0 || !job.spec.demand.fitsIn(worker.ledger.free())) {
        return false;
    }
    const std::optional<std::uint32_t> task = job.tasks.reserve(index, now);
    if (!task) {
        return false;
    }
    const TaskId id{job.spec.id, *task, job.tasks.at(*task).attempt};
    if (!worker.ledger.commit(id, job.spec.demand)) {
        (void)job.tasks.requeue(*task);
        return false;
    }
    committedByTasks += job.spec.demand;
    worker.starts.push_back(id);
    refreshWorker(index);
    markDue(index);
    return true;
}

void ShardState::releaseAttempt(const ShardJob &job, std::uint32_t task)
{
    const TaskState &state = job.tasks.at(task);
    const Resources freed = workers[state.workerIndex]->ledger.release(TaskId{job.spec.id, task, state.attempt});
    committedByTasks -= freed;
    discharge(job.spec.team, freed);
    refreshWorker(state.workerIndex);
}

void ShardState::releaseOrphan(WorkerIndex index, const TaskId &task)
{
    ShardWorker &worker = *workers[index];
    const auto it = worker.orphans.find(task);
    if (it == worker.orphans.end()) {
        return;
    }
    const TeamId team = it->second;
    worker.orphans.erase(it);
    const Resources freed = worker.ledger.release(task);
    committedByTasks -= freed;
    discharge(team, freed);
    refreshWorker(index);
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
    entry.queuedAt = now;
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

void ShardState::addControl(ShardJob &job, std::uint32_t task, TaskAction action, TimePoint now)
{
    const TaskState &state = job.tasks.at(task);
    ShardWorker &worker = *workers[state.workerIndex];
    worker.controls.push_back(TaskControl{TaskId{job.spec.id, task, state.attempt}, action});
    if (action == TaskAction::Checkpoint) {
        worker.checkpointDeadline = std::min(worker.checkpointDeadline, now + settings.taskTerm);
        scheduleTimer(state.workerIndex, worker.checkpointDeadline);
    }
    markDue(state.workerIndex);
}

void ShardState::releasePreemptedWorkers(const JobId &id)
{
    const auto it = preemptedWorkers.find(id);
    if (it == preemptedWorkers.end()) {
        return;
    }
    const std::vector<WorkerIndex> reserved = std::move(it->second);
    preemptedWorkers.erase(it);
    for (const WorkerIndex index : reserved) {
        if (workers[index] && workers[index]->preemptedFor == id) {
            workers[index]->preemptedFor.reset();
            refreshWorker(index);
        }
    }
    needsRound = true;
}

void ShardState::releaseGrant(const GrantId &id)
{
    const auto it = grants.find(id);
    if (it == grants.end()) {
        return;
    }
    const ShardGrant grant = it->second;
    grants.erase(it);
    ShardWorker &worker = *workers[grant.workerIndex];
    worker.timedOutGrants.erase(id);
    const Resources freed = worker.ledger.release(id);
    committedByRequests -= freed;
    discharge(grant.team, freed);
    refreshWorker(grant.workerIndex);
}

void ShardState::scheduleLimitChecks()
{
    for (const auto &[team, account] : teams) {
        teamsToCheck.insert(team);
    }
}

bool ShardState::hasEnded(const JobId &id)
{
    if (finishedJobs.count(id) > 0) {
        return true;
    }
    const auto [known, added] = unknownJobs.emplace(id, lastStartedScan + 1);
    if (added) {
        outputs.emplace_back(ScanQueue{id});
    }
    return known->second <= lastCompletedScan;
}

void ShardState::requestPersist(const JobId &job, JobState state, const std::string &reason)
{
    outputs.emplace_back(PersistJobState{job, state, reason});
}

void ShardState::scheduleTimer(WorkerIndex index, TimePoint at)
{
    ShardWorker &worker = *workers[index];
    if (at < worker.timerAt) {
        worker.timerAt = at;
        timers.push(Timer{at, index});
    }
}

void ShardState::markDue(WorkerIndex index)
{
    ShardWorker &worker = *workers[index];
    if (!worker.isMarkedDue) {
        worker.isMarkedDue = true;
        dueWorkers.push_back(index);
    }
}

OpId ShardState::nextOp()
{
    return OpId(++m_lastOp);
}

} // namespace KingCupLadder
