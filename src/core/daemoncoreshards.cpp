// The shards that this daemon owns: gain and loss, workers, jobs and allotments.
#include "daemoncore_p.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr Duration rescanInterval{30000}; // Rescans find jobs whose admitting daemon crashed before forwarding them.
constexpr Duration rescanRetryDelay{1000}; // After a failed or incomplete scan.
constexpr Duration handOverTimeout{4000}; // After this time a hand-over is abandoned and the shard continues here.
constexpr Duration endedJobRetention{60000}; // Longer than a store read can take.
// A refusal does not tell how many requests wait at peers, so 8 are assumed. If more wait, the allotment grows with each cycle of Allotments.
constexpr std::int64_t assumedRemoteRequests = 8;
constexpr std::size_t maxKeysPerRead = 200;

/// Returns the keys of the job rows to which the queue rows of the shard refer.
std::vector<std::string> jobKeysOfQueueRows(const ShardId &shard, const std::vector<Row> &rows)
{
    const std::size_t prefixLength = shard.value().size() + 1;
    std::vector<std::string> keys;
    for (const Row &row : rows) {
        if (row.key.size() > prefixLength) {
            keys.push_back(row.key.substr(prefixLength));
        }
    }
    return keys;
}

} // namespace

ShardId shardIdFor(const PoolName &pool, const FailureDomain &domain)
{
    return ShardId(pool.value() + "/" + domain.value() + "/0");
}

PoolName poolOfShard(const ShardId &shard)
{
    return PoolName(shard.value().substr(0, shard.value().find('/')));
}

FailureDomain domainOfShard(const ShardId &shard)
{
    const std::size_t first = shard.value().find('/');
    const std::size_t last = shard.value().rfind('/');
    return first == std::string::npos || first == last ? FailureDomain() : FailureDomain(shard.value().substr(first + 1, last - first - 1));
}

DaemonCore::Private::Shard *DaemonCore::Private::shard(const ShardId &id)
{
    const auto found = shards.find(id);
    return found == shards.end() ? nullptr : &found->second;
}

DaemonCore::Private::Shard *DaemonCore::Private::shardInEpoch(const ShardId &id, Epoch epoch)
{
    Shard *found = shard(id);
    return found != nullptr && found->epoch == epoch ? found : nullptr;
}

void DaemonCore::Private::onTablesChanged(TimePoint now)
{
    const auto tables = config.tables();
    if (tables == currentTables) {
        return;
    }
    currentTables = tables;
    allotments.setTables(tables, now);
    for (auto &[id, owned] : shards) {
        owned.controller->setTables(tables, now);
    }
    updateDesiredShards(now);
    updateWorkers(now);
}

void DaemonCore::Private::updateDesiredShards(TimePoint now)
{
    if (!currentTables || !membership.hasVmList()) {
        return;
    }
    std::map<ShardId, FailureDomain> domainByShard;
    for (const VmInfo &vm : membership.vms()) {
        const Pool *pool = currentTables->poolForGroup(vm.group);
        if (pool != nullptr) {
            domainByShard.emplace(shardIdFor(pool->name, vm.domain), vm.domain);
        }
    }
    std::vector<DesiredShard> desired;
    std::vector<ShardId> desiredIds;
    for (const auto &[id, domain] : domainByShard) {
        desired.push_back(DesiredShard{id, domain});
        desiredIds.push_back(id);
    }
    std::vector<ShardId> ownedIds;
    for (const auto &[id, state] : shards) {
        ownedIds.push_back(id);
    }
    ownership->setDesiredShards(desired, now);
    allotments.setShards(desiredIds, ownedIds, now);
}

void DaemonCore::Private::gainShard(const ShardGained &gained, TimePoint now)
{
    ShardSettings shardSettings;
    shardSettings.id = gained.shard;
    shardSettings.pool = poolOfShard(gained.shard);
    shardSettings.domain = domainOfShard(gained.shard);
    shardSettings.owner = settings.self.id;
    shardSettings.epoch = gained.epoch;
    // The components use seeds close to settings.seed; the offset keeps those of shards apart from them.
    shardSettings.seed = settings.seed + 100 + nextShardSeedOffset++;
    shardSettings.syncInterval = settings.syncInterval;
    shardSettings.syncTimeout = settings.workerTimeout;
    shardSettings.taskTerm = settings.taskTerm;
    shardSettings.margin = settings.leaseMargin;
    shardSettings.safetyChecks = settings.safetyChecks.shard;
    shardSettings.previousOwnerTerm = settings.leaseTerm + settings.leaseMargin; // Assumes that the previous owner has the same settings.
    auto controller = ShardController::create(shardSettings, currentTables, now);
    if (!controller) {
        return;
    }
    Shard &state = shards[gained.shard];
    state = Shard();
    state.controller = std::move(controller).value();
    state.epoch = gained.epoch;
    state.gainedAt = now;
    // Tells Allotments that this daemon owns the shard, before the allotments of the shard are read below.
    updateDesiredShards(now);
    if (currentTables) {
        for (const Team &team : currentTables->teams()) {
            state.controller->setAllotment(team.id, allotments.allotment(gained.shard, team.id), now);
        }
    }
    updateWorkers(now);
    scanQueue(gained.shard, now);
}

void DaemonCore::Private::loseShard(const ShardId &lost)
{
    shards.erase(lost);
}

void DaemonCore::Private::startHandOver(const HandOverProposed &proposal, TimePoint now)
{
    Shard *owned = shard(proposal.shard);
    if (owned == nullptr) {
        return;
    }
    // No more commands are sent to the workers, so that the inventories of the next owner are complete.
    owned->controller->setSuspended(true);
    owned->suspended = true;
    owned->suspendedAt = now;
    ownership->handOver(proposal.shard, proposal.to, now);
}

void DaemonCore::Private::updateWorkers(TimePoint now)
{
    if (!currentTables || !membership.hasVmList()) {
        return;
    }
    std::map<ShardId, std::vector<VmInfo>> vmsByShard;
    for (const VmInfo &vm : membership.vms()) {
        const Pool *pool = currentTables->poolForGroup(vm.group);
        if (pool != nullptr) {
            vmsByShard[shardIdFor(pool->name, vm.domain)].push_back(vm);
        }
    }
    const bool confirmed = ownership->leaseConfirmed(now);
    workersUpdatedUnderLease = confirmed;
    appliedLeavingVmCount = membership.leavingVms().size();
    for (auto &[id, owned] : shards) {
        // Workers are added only from a list that was requested after the shard was gained, and under a confirmed lease. Otherwise
        // a stale owner could start work on a VM that a newer owner does not know.
        const bool mayAdd = confirmed && appliedVmListSentAt >= owned.gainedAt;
        std::vector<VmInfo> workers;
        std::set<WorkerId> ids;
        for (const VmInfo &vm : vmsByShard[id]) {
            if (mayAdd || owned.workers.count(vm.id) > 0) {
                workers.push_back(vm);
                ids.insert(vm.id);
            }
        }
        // With a list that was requested before the shard was gained, the workers stay as they are.
        if (appliedVmListSentAt < owned.gainedAt) {
            continue;
        }
        owned.workers = std::move(ids);
        owned.controller->setWorkers(workers, now);
    }
}

void DaemonCore::Private::updateWorkersIfChanged(TimePoint now)
{
    if (ownership->leaseConfirmed(now) != workersUpdatedUnderLease || membership.leavingVms().size() != appliedLeavingVmCount) {
        updateWorkers(now);
    }
}

void DaemonCore::Private::scanQueue(const ShardId &id, TimePoint now)
{
    Shard *owned = shard(id);
    if (owned == nullptr || owned->scanInFlight) {
        return;
    }
    owned->scanInFlight = true;
    owned->nextScan = now + rescanInterval;
    const Epoch epoch = owned->epoch;
    const std::uint64_t scanNumber = owned->controller->beginQueueScan();
    scanStore(
        "queue", id.value() + "/", [this, id, epoch, scanNumber](const StoreReply &reply, TimePoint at) { onQueueRows(id, epoch, scanNumber, reply, at); });
}

void DaemonCore::Private::onQueueRows(const ShardId &id, Epoch epoch, std::uint64_t scanNumber, const StoreReply &reply, TimePoint now)
{
    Shard *owned = shardInEpoch(id, epoch);
    if (owned == nullptr) {
        return;
    }
    owned->scanInFlight = false;
    if (reply.status != StoreStatus::Ok) {
        owned->nextScan = now + rescanRetryDelay;
        return;
    }
    std::vector<std::string> unknownJobs;
    for (const std::string &key : jobKeysOfQueueRows(id, reply.rows)) {
        if (!owned->controller->hasJob(JobId(key))) {
            unknownJobs.push_back(key);
        }
    }
    readJobRows(id, epoch, unknownJobs);
    if (unknownJobs.empty()) {
        owned->controller->endQueueScan(scanNumber, now);
    } else {
        owned->nextScan = std::min(owned->nextScan, now + rescanRetryDelay); // The scan is complete only once all its jobs are known.
    }
}

void DaemonCore::Private::readJobRows(const ShardId &id, Epoch epoch, const std::vector<std::string> &keys)
{
    for (std::size_t first = 0; first < keys.size(); first += maxKeysPerRead) {
        const auto begin = keys.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = keys.begin() + static_cast<std::ptrdiff_t>(std::min(keys.size(), first + maxKeysPerRead));
        readStore(
            "jobs", std::vector<std::string>(begin, end), [this, id, epoch](const StoreReply &rows, TimePoint at) { acceptJobRows(id, epoch, rows, at); });
    }
}

void DaemonCore::Private::acceptJobRows(const ShardId &id, Epoch epoch, const StoreReply &reply, TimePoint now)
{
    Shard *owned = shardInEpoch(id, epoch);
    if (owned == nullptr) {
        return;
    }
    if (reply.status != StoreStatus::Ok) {
        owned->nextScan = now + rescanRetryDelay;
        return;
    }
    std::map<Epoch, std::vector<JobRecord>> recordsByEpoch;
    for (const Row &row : reply.rows) {
        const auto record = JobRecord::fromJson(row.value);
        if (record && !isFinal(record->state) && record->shard == id) {
            recordsByEpoch[record->epoch].push_back(*record);
        }
    }
    for (const auto &[admissionEpoch, records] : recordsByEpoch) {
        acceptJobs(*owned, admissionEpoch, records, now);
    }
}

void DaemonCore::Private::acceptJobs(Shard &owned, Epoch admissionEpoch, const std::vector<JobRecord> &records, TimePoint now)
{
    std::vector<JobRecord> newRecords;
    for (const JobRecord &record : records) {
        if (recentlyEndedJobs.count(record.spec.id) == 0 && !owned.controller->hasJob(record.spec.id)) {
            newRecords.push_back(record);
        }
    }
    // An owner of an earlier epoch may have started the job, so its tasks may be running.
    const bool mayBeStarted = admissionEpoch < owned.epoch;
    if (mayBeStarted) {
        owned.controller->recover(newRecords, now);
        return;
    }
    for (const JobRecord &record : newRecords) {
        if (record.state == JobState::Started) {
            owned.controller->recover({record}, now);
        } else {
            enqueueOrPark(owned, record.spec, now);
        }
    }
}

void DaemonCore::Private::enqueueOrPark(Shard &owned, const JobSpec &spec, TimePoint now)
{
    const Result<bool> queued = owned.controller->enqueue(spec, now);
    if (!queued) {
        admission->updateState(spec.id, JobState::Parked, queued.reason().message, now);
    }
}

void DaemonCore::Private::persistJobState(const ShardId &id, const PersistJobState &record, TimePoint now)
{
    shardAwaitingState[record.job] = id;
    // Without the fence, a former owner could record the end of a job while the new owner still needs the result that the worker
    // reports as proof that the job has run.
    const RowVersion shardRowVersion = ownership->rowVersion(id);
    admission->updateState(record.job, record.state, record.reason, now, RowFence{"shards", id.value(), shardRowVersion});
}

void DaemonCore::Private::rememberEndedJob(const JobId &job, TimePoint now)
{
    recentlyEndedJobs[job] = now + endedJobRetention;
}

void DaemonCore::Private::onJobStateStored(const JobStateStored &recorded, TimePoint now)
{
    if (isFinal(recorded.state)) {
        rememberEndedJob(recorded.job, now);
    }
    const auto awaiting = shardAwaitingState.find(recorded.job);
    if (awaiting != shardAwaitingState.end()) {
        Shard *owned = shard(awaiting->second);
        shardAwaitingState.erase(awaiting);
        if (owned != nullptr) {
            owned->controller->jobStatePersisted(recorded.job, recorded.state, now);
        }
    }
    answerCancellation(recorded.job, recorded.state, now);
}

void DaemonCore::Private::onJobStateRefused(const JobStateRefused &refused, TimePoint now)
{
    const auto awaiting = shardAwaitingState.find(refused.job);
    if (awaiting != shardAwaitingState.end()) {
        Shard *owned = shard(awaiting->second);
        shardAwaitingState.erase(awaiting);
        // The stored end of the job is authoritative, so its running tasks are stopped.
        const bool ended = !refused.fenced && (!refused.stored || isFinal(*refused.stored));
        if (owned != nullptr && ended) {
            rememberEndedJob(refused.job, now);
            owned->controller->cancel(refused.job, now);
        }
    }
    // Cancellations are written without a fence, so a refusal because of a fence belongs to another write of the job.
    if (!refused.fenced) {
        // A job without a valid row is reported to the callers as failed.
        answerCancellation(refused.job, refused.stored.value_or(JobState::Failed), now);
    }
}

void DaemonCore::Private::answerCancellation(const JobId &job, JobState state, TimePoint now)
{
    const auto pending = cancellations.find(job);
    if (pending == cancellations.end()) {
        return;
    }
    const PendingCancellation cancellation = std::move(pending->second);
    cancellations.erase(pending);
    for (const OpId &caller : cancellation.callers) {
        if (state == JobState::Cancelled) {
            answer(caller, JobCancelled{job});
        } else {
            fail(caller, Error{ErrorKind::Conflict, "job " + job.value() + " has already " + toString(state), "nothing is left to cancel"});
        }
    }
    if (state == JobState::Cancelled) {
        jobForwarder.onJobCancelled(job, cancellation.shard, now);
    }
}

void DaemonCore::Private::updateAllotmentDemands(TimePoint now)
{
    if (!currentTables) {
        return;
    }
    std::vector<AllotmentDemand> demands;
    for (auto &[id, owned] : shards) {
        owned.allInventoriesRead = owned.allInventoriesRead || owned.controller->allWorkersRead();
        const PoolName pool = poolOfShard(id);
        std::unordered_map<TeamId, TeamUse> useByTeam;
        for (const TeamUse &use : owned.controller->teams()) {
            useByTeam.emplace(use.team, use);
        }
        for (const Team &team : currentTables->teams()) {
            const TeamUse &use = useByTeam[team.id];
            const Resources used = use.running + use.reservedUnread;
            const auto refused = refusedDemands.find({id, team.id});
            const bool hasRefusedDemand = refused != refusedDemands.end() && now < refused->second.expiresAt;
            const Resources remoteDemand = hasRefusedDemand ? refused->second.demand * assumedRemoteRequests : Resources{};
            demands.push_back(AllotmentDemand{
                id, team.id, used, used + use.queuedDemand + grantClient.waitingDemand(team.id, pool) + remoteDemand, !owned.allInventoriesRead});
        }
    }
    allotments.setDemands(demands, now);
}

void DaemonCore::Private::tickShards(TimePoint now)
{
    const bool confirmed = ownership->leaseConfirmed(now);
    for (auto &[id, owned] : shards) {
        owned.controller->setLeaseConfirmed(confirmed, now);
        if (owned.suspended && now - owned.suspendedAt > handOverTimeout) {
            owned.suspended = false;
            owned.controller->setSuspended(false);
        }
        if (now >= owned.nextScan && !owned.scanInFlight) {
            scanQueue(id, now);
        }
        owned.controller->tick(now);
    }
}

std::optional<ShardCandidate> DaemonCore::Private::candidateFor(const ShardId &id, TimePoint now) const
{
    ShardCandidate candidate;
    candidate.shard = id;
    candidate.domain = domainOfShard(id);
    const auto here = shards.find(id);
    if (here != shards.end()) {
        candidate.owner = settings.self.id;
        candidate.epoch = here->second.epoch;
        candidate.ownedLocally = true;
        candidate.ownerLive = !here->second.suspended;
        candidate.free = here->second.controller->freeResources();
        candidate.queuedTasks = here->second.controller->queuedTasks();
        return candidate;
    }
    const auto remote = remoteShards.find(id);
    if (remote != remoteShards.end()) {
        candidate.owner = remote->second.owner;
        candidate.epoch = remote->second.state.epoch;
        candidate.free = remote->second.state.free;
        candidate.queuedTasks = remote->second.state.queuedTasks;
    }
    for (const ShardOwner &row : ownership->owners()) {
        if (row.shard == id && row.epoch > candidate.epoch) {
            candidate.owner = row.owner;
            candidate.epoch = row.epoch;
        }
    }
    const std::vector<PeerInfo> live = membership.livePeers(now);
    candidate.ownerLive = std::any_of(live.begin(), live.end(), [&candidate](const PeerInfo &peer) { return peer.id == candidate.owner; });
    return candidate;
}

std::vector<ShardCandidate> DaemonCore::Private::candidatesOfPool(const PoolName &pool, TimePoint now) const
{
    std::set<ShardId> ids;
    for (const auto &[id, owned] : shards) {
        ids.insert(id);
    }
    for (const auto &[id, remote] : remoteShards) {
        ids.insert(id);
    }
    for (const ShardOwner &row : ownership->owners()) {
        ids.insert(row.shard);
    }
    const std::string prefix = pool.value() + "/";
    std::vector<ShardCandidate> candidates;
    for (const ShardId &id : ids) {
        if (id.value().compare(0, prefix.size(), prefix) != 0) {
            continue;
        }
        const auto candidate = candidateFor(id, now);
        if (candidate) {
            candidates.push_back(*candidate);
        }
    }
    return candidates;
}

std::vector<GrantCandidate> DaemonCore::Private::grantCandidates(const PoolName &pool, TimePoint now) const
{
    std::vector<ShardCandidate> candidates = candidatesOfPool(pool, now);
    // Shards of this daemon come first, and among equals those of its failure domain.
    const auto preference = [this](const ShardCandidate &candidate) {
        if (candidate.ownedLocally) {
            return candidate.domain == settings.self.domain ? 0 : 1;
        }
        return candidate.domain == settings.self.domain ? 2 : 3;
    };
    std::stable_sort(
        candidates.begin(), candidates.end(), [&preference](const ShardCandidate &a, const ShardCandidate &b) { return preference(a) < preference(b); });
    std::vector<GrantCandidate> liveCandidates;
    for (const ShardCandidate &candidate : candidates) {
        if (candidate.ownerLive && !candidate.owner.isEmpty()) {
            liveCandidates.push_back(GrantCandidate{candidate.shard, candidate.owner, candidate.ownedLocally});
        }
    }
    return liveCandidates;
}

std::optional<Error> DaemonCore::Private::checkSubmission(const JobSpec &job) const
{
    if (!currentTables) {
        return Error{ErrorKind::Unavailable, "this daemon has not received its tables yet", "try again at another daemon"};
    }
    const Team *team = currentTables->team(job.team);
    if (team == nullptr || currentTables->pool(job.pool) == nullptr || !currentTables->mayUse(job.team, job.pool)) {
        return Error{
            ErrorKind::NotAllowed, "team " + job.team.value() + " may not use pool " + job.pool.value(), "ask an operator to add the team to the pool"};
    }
    if (job.taskCount == 0) {
        return Error{ErrorKind::InvalidInput, "the job has no tasks", "request at least one task"};
    }
    const Resources minDemand = job.allAtOnce ? job.demand * static_cast<std::int64_t>(job.taskCount) : job.demand;
    if (!minDemand.fitsIn(team->limit)) {
        return Error{ErrorKind::NeverFits, "the job needs more than the limit of team " + job.team.value(), "request less or have the limit raised"};
    }
    // Checked only if this daemon owns all shards, because it does not know the workers of other owners.
    for (const auto &[id, owned] : shards) {
        if (poolOfShard(id) == job.pool && owned.controller->neverFits(job.demand) && shards.size() == ownership->owners().size()) {
            return Error{
                ErrorKind::NeverFits, "no worker of pool " + job.pool.value() + " is large enough for a task of this size", "request less for each task"};
        }
    }
    return std::nullopt;
}

} // namespace KingCupLadder
