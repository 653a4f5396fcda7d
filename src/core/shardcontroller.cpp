// Combines the components of a shard's scheduler.
#include "shardcontroller.h"

#include "shardgrants_p.h"
#include "shardplacement_p.h"
#include "shardsync_p.h"

#include <utility>

namespace KingCupLadder {

class ShardController::Private
{
public:
    Private(const ShardSettings &settings, TimePoint now) : state(settings, now), jobs(state), sync(state, jobs), placement(state, jobs), grants(state) { }

    ShardState state;
    ShardJobs jobs;
    ShardSync sync;
    ShardPlacement placement;
    ShardGrants grants;
};

namespace {

const char *phaseText(const ShardWorker &worker)
{
    switch (worker.session.phase()) {
    case WorkerPhase::Gone:
        return "gone";
    case WorkerPhase::Unread:
        return "unread";
    case WorkerPhase::Unreachable:
        return "unreachable";
    case WorkerPhase::Read:
        break;
    }
    if (worker.health.state() != HealthState::Healthy) {
        return worker.health.state() == HealthState::Quarantined ? "quarantined" : "probation";
    }
    return worker.vm.leaving ? "leaving" : "ready";
}

const char *phaseReason(const ShardWorker &worker)
{
    if (worker.session.isFenced()) {
        return "the worker accepts commands only from a newer owner of the shard";
    }
    switch (worker.session.phase()) {
    case WorkerPhase::Gone:
        return "the platform no longer lists the VM";
    case WorkerPhase::Unread:
        return worker.session.supportsEpochs() ? "its inventory was not read at this epoch"
                                               : "the worker does not check epochs; delayed starts may still arrive";
    case WorkerPhase::Unreachable:
        return "the last commands were lost or refused; the worker must report its tasks before it gets new work";
    case WorkerPhase::Read:
        break;
    }
    return worker.health.state() != HealthState::Healthy ? "several different jobs failed on the worker in a row" : "";
}

std::string phaseCounts(const TaskLifecycle &tasks)
{
    std::string text;
    for (auto phase = static_cast<std::size_t>(TaskPhase::Held); phase <= static_cast<std::size_t>(TaskPhase::Ended); ++phase) {
        const std::uint32_t count = tasks.count(static_cast<TaskPhase>(phase));
        if (count > 0) {
            text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + toString(static_cast<TaskPhase>(phase));
        }
    }
    return text;
}

} // namespace

ShardController::ShardController() = default;
ShardController::~ShardController() = default;

Result<std::unique_ptr<ShardController>> ShardController::create(const ShardSettings &settings, std::shared_ptr<const Tables> tables, TimePoint now)
{
    if (settings.id.isEmpty() || settings.epoch == Epoch()) {
        return Error{ErrorKind::InvalidInput, "a shard controller needs a shard id and an epoch", "claim the shard row before creating the controller"};
    }
    if (settings.syncInterval <= Duration(0) || settings.syncTimeout <= Duration(0)) {
        return Error{ErrorKind::InvalidInput, "the sync interval and timeout must be above zero", "set them to a few hundred milliseconds"};
    }
    std::unique_ptr<ShardController> controller(new ShardController());
    controller->d = std::make_unique<Private>(settings, now);
    controller->d->state.applyTables(std::move(tables));
    return controller;
}

void ShardController::setTables(std::shared_ptr<const Tables> tables, TimePoint now)
{
    const PowerSource before = d->state.power();
    d->state.applyTables(std::move(tables));
    if (d->state.power() != before) {
        d->placement.applyPower(now);
    }
}

void ShardController::setWorkers(const std::vector<VmInfo> &vms, TimePoint now)
{
    d->sync.setWorkers(vms, now);
}

void ShardController::setAllotment(const TeamId &team, const Resources &allotment, TimePoint /*now*/)
{
    d->state.teams[team].allotment = allotment;
    d->state.queue.setAllotment(team, allotment);
    d->state.unreadReserveOutdated = true;
    d->state.teamsToCheck.insert(team);
    d->state.needsRound = true;
}

void ShardController::setLeaseConfirmed(bool confirmed, TimePoint /*now*/)
{
    if (std::exchange(d->state.leaseConfirmed, confirmed) == confirmed) {
        return;
    }
    d->state.needsRound = true;
    // Workers without epochs take new work only while the lease is confirmed; see ShardState::isPlaceable().
    for (const auto &[id, index] : d->state.workerIndexes) {
        if (!d->state.workers[index]->session.supportsEpochs()) {
            d->state.refreshWorker(index);
        }
    }
}

void ShardController::setSuspended(bool suspended)
{
    d->state.suspended = suspended;
}

void ShardController::recover(const std::vector<JobRecord> &jobs, TimePoint now)
{
    d->jobs.recover(jobs, now);
    d->sync.adoptOrphans(now);
    d->sync.releaseHeldTasksIfAllRead(now);
}

std::uint64_t ShardController::beginQueueScan()
{
    return ++d->state.lastStartedScan;
}

void ShardController::endQueueScan(std::uint64_t scan, TimePoint now)
{
    d->state.lastCompletedScan = std::max(d->state.lastCompletedScan, scan);
    d->state.recoveredOnce = true;
    d->sync.adoptOrphans(now);
    d->sync.releaseHeldTasksIfAllRead(now);
}

bool ShardController::hasJob(const JobId &job) const
{
    return d->state.job(job) != nullptr || d->state.finishedJobs.count(job) > 0;
}

bool ShardController::allWorkersRead() const
{
    return d->state.allWorkersRead();
}

bool ShardController::neverFits(const Resources &demand) const
{
    return d->state.allWorkersRead() && !d->state.couldEverFit(demand, 1);
}

Result<bool> ShardController::enqueue(const JobSpec &job, TimePoint now)
{
    return d->jobs.enqueue(job, now);
}

void ShardController::cancel(const JobId &job, TimePoint now)
{
    d->jobs.cancel(job, now);
}

void ShardController::jobStatePersisted(const JobId &job, JobState state, TimePoint /*now*/)
{
    d->jobs.onJobStatePersisted(job, state);
}

void ShardController::onWorkerReply(const WorkerReply &reply, TimePoint now)
{
    d->sync.onReply(reply, now);
}

Result<Grant> ShardController::grant(const GrantSpec &spec, const DaemonId & /*holder*/, TimePoint now)
{
    return d->grants.grant(spec, now);
}

void ShardController::release(const GrantId &grant, GrantOutcome outcome, TimePoint now)
{
    d->grants.release(grant, outcome, now);
}

void ShardController::tick(TimePoint now)
{
    if (d->state.suspended) {
        d->sync.withdrawOutputs(now);
        return;
    }
    d->grants.expire(now);
    d->placement.run(now);
    d->sync.tick(now);
}

std::vector<ShardOutput> ShardController::takeOutputs()
{
    if (d->state.suspended) {
        return {};
    }
    return std::exchange(d->state.outputs, {});
}

const ShardSettings &ShardController::settings() const
{
    return d->state.settings;
}

Resources ShardController::freeResources() const
{
    return d->state.placementIndex.totalFree();
}

Resources ShardController::capacity() const
{
    return d->state.totalCapacity;
}

std::uint32_t ShardController::queuedTasks() const
{
    return d->state.queue.queuedTasks();
}

std::vector<WorkerStatus> ShardController::workers() const
{
    std::vector<WorkerStatus> result;
    for (const auto &worker : d->state.workers) {
        if (worker) {
            const auto tasks = static_cast<std::uint32_t>(worker->ledger.tasks().size());
            result.push_back({worker->vm.id, phaseText(*worker), phaseReason(*worker), worker->ledger.capacity(), worker->ledger.committed(), tasks});
        }
    }
    return result;
}

std::vector<TeamUse> ShardController::teams() const
{
    std::vector<TeamUse> result;
    d->state.updateUnreadReserve();
    for (const auto &[team, account] : d->state.teams) {
        result.push_back(
            {team, account.running, account.reservedUnread, account.allotment, d->state.queue.queuedTasks(team), d->state.queue.queuedDemand(team)});
    }
    return result;
}

ShardCounters ShardController::counters() const
{
    return d->state.counters;
}

std::string ShardController::explain(const JobId &id) const
{
    const ShardJob *job = d->state.job(id);
    if (job == nullptr) {
        return d->state.finishedJobs.count(id) > 0 ? "the job has ended" : "the job is not known to this shard";
    }
    if (job->finalState) {
        return std::string(toString(*job->finalState)) + (job->reason.empty() ? "" : ": " + job->reason);
    }
    std::string text = phaseCounts(job->tasks);
    if (job->tasks.count(TaskPhase::Queued) == 0) {
        return text;
    }
    if (!d->state.queue.fitsAllotment(job->spec.team, job->spec.demand)) {
        return text + "; the team's allotment in this shard is used up or held for workers that were not read";
    }
    if (d->state.placementIndex.choose(job->spec.demand, {})) {
        return text + "; there is room, other work may go first";
    }
    return text + "; no worker has room now";
}

} // namespace KingCupLadder
