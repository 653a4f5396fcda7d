// Creation, event handling and caller operations of the decision core.
#include "daemoncore_p.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr Duration lowPriorityTickInterval{100}; // For work that is not urgent, such as updating allotment demands.
constexpr Duration statusTimeout{1000};
constexpr Duration cancelTimeout{5000};
constexpr Duration retryAfterOutage{2000}; // Delay that callers are told to wait if the store does not answer or the pool has no VMs.

ClaimSettings claimSettings(const DaemonCoreSettings &settings)
{
    ClaimSettings claims;
    claims.holder = settings.self.id;
    claims.incarnation = settings.self.incarnation;
    claims.seed = settings.seed + 1;
    claims.operationTimeout = settings.storeTimeout;
    claims.readBackAfterLostReplies = settings.safetyChecks.claimsReadBack;
    return claims;
}

GrantSettings grantSettings(const DaemonCoreSettings &settings)
{
    GrantSettings grants;
    grants.seed = settings.seed + 2;
    grants.maxWaiting = settings.maxWaitingRequests;
    return grants;
}

MembershipSettings membershipSettings(const DaemonCoreSettings &settings)
{
    MembershipSettings membership;
    membership.self = settings.self;
    membership.seed = settings.seed + 3;
    membership.seedAddresses = settings.peerAddresses;
    membership.heartbeatInterval = settings.heartbeatInterval;
    membership.peerTimeout = settings.peerTimeout;
    membership.vmListInterval = settings.vmListInterval;
    return membership;
}

OwnershipSettings ownershipSettings(const DaemonCoreSettings &settings)
{
    OwnershipSettings ownership;
    ownership.self = settings.self;
    ownership.seed = settings.seed + 4;
    ownership.leaseTerm = settings.leaseTerm;
    ownership.leaseMargin = settings.leaseMargin;
    // The defaults have the same ratios: 2 s and 1 s for a term of 6 s.
    ownership.renewInterval = settings.leaseTerm / 3;
    ownership.scanInterval = std::min(ownership.scanInterval, settings.leaseTerm / 6);
    ownership.operationTimeout = settings.storeTimeout;
    ownership.checkLeaseRowOnTakeover = settings.safetyChecks.checkLeaseRowOnTakeover;
    ownership.readBackAfterLostReplies = settings.safetyChecks.ownershipReadsBack;
    return ownership;
}

AdmissionSettings admissionSettings(const DaemonCoreSettings &settings)
{
    AdmissionSettings admission;
    admission.self = settings.self.id;
    admission.incarnation = settings.self.incarnation;
    admission.seed = settings.seed + 5;
    admission.operationTimeout = settings.storeTimeout;
    admission.admissionTimeout = settings.admissionTimeout;
    admission.readBackAfterLostReplies = settings.safetyChecks.admissionReadsBack;
    return admission;
}

AllotmentSettings allotmentSettings(const DaemonCoreSettings &settings)
{
    AllotmentSettings allotments;
    allotments.growAfterConfirm = settings.safetyChecks.growAfterConfirm;
    allotments.shrinkBeforeGrow = settings.safetyChecks.shrinkBeforeGrow;
    return allotments;
}

Error storeUnavailable(const char *what)
{
    return Error{ErrorKind::Unavailable, std::string("the store does not answer, so ") + what, "try again later"};
}

} // namespace

DaemonCore::Private::Private(const DaemonCoreSettings &coreSettings, TimePoint now)
    : settings(coreSettings)
    , startedAt(now)
    , config(ConfigSettings{coreSettings.configInterval, coreSettings.storeTimeout, coreSettings.safetyChecks.monotonicVersions}, [this] { return newOp(); })
    , membership(membershipSettings(coreSettings), now)
    , claims(claimSettings(coreSettings), [this] { return newOp(); })
    , grantClient(grantSettings(coreSettings),
                  GrantHooks{[this] { return newOp(); },
                             [this](const PoolName &pool, TimePoint at) { return grantCandidates(pool, at); },
                             [this](const ShardId &id, const GrantSpec &spec, TimePoint at) -> Result<Grant> {
                                 Shard *owned = shard(id);
                                 if (owned == nullptr) {
                                     return Error{ErrorKind::Unavailable, "shard " + id.value() + " is not owned by this daemon", "try again"};
                                 }
                                 return owned->controller->grant(spec, settings.self.id, at);
                             }})
    , jobForwarder(
          JobForwarderSettings{}, [this] { return newOp(); }, [this](const ShardId &id, TimePoint at) { return candidateFor(id, at); })
    , allotments(
          allotmentSettings(coreSettings), [this] { return newOp(); }, now)
{
}

OpId DaemonCore::Private::newOp()
{
    lastOp = lastOp.next();
    return lastOp;
}

Duration DaemonCore::Private::storeAge(TimePoint now) const
{
    // Before the first reply, the store counts as unreachable for much longer than any time limit.
    return lastStoreConfirmation ? now - *lastStoreConfirmation : std::chrono::hours(24);
}

void DaemonCore::Private::emit(Command command)
{
    commands.push_back(std::move(command));
}

void DaemonCore::Private::answer(OpId op, CallerBody body)
{
    CallerAnswer reply;
    reply.op = op;
    reply.body = std::move(body);
    emit(std::move(reply));
}

void DaemonCore::Private::fail(OpId op, const Error &error, ExecutionStatus ran, Duration retryAfter)
{
    CallerAnswer reply;
    reply.op = op;
    reply.error = error;
    reply.ran = ran;
    reply.retryAfter = retryAfter;
    emit(std::move(reply));
}

void DaemonCore::Private::sendPeer(const DaemonId &to, PeerMessage message)
{
    const auto peer = membership.peer(to);
    if (peer) {
        emit(SendPeerMessage{to, peer->peerAddress, std::move(message)});
    }
}

void DaemonCore::Private::readStore(const std::string &table, const std::vector<std::string> &keys, StoreHandler handler)
{
    const OpId op = newOp();
    storeHandlers[op] = std::move(handler);
    emit(StoreRead{op, table, keys});
}

void DaemonCore::Private::scanStore(const std::string &table, const std::string &prefix, StoreHandler handler)
{
    const OpId op = newOp();
    storeHandlers[op] = std::move(handler);
    emit(StoreScan{op, table, prefix});
}

Result<std::unique_ptr<DaemonCore>> DaemonCore::create(const DaemonCoreSettings &settings, TimePoint now)
{
    if (settings.self.id.isEmpty() || settings.self.domain.isEmpty()) {
        return Error{ErrorKind::InvalidInput, "the daemon has no id or no failure domain", "set both in the settings"};
    }
    std::unique_ptr<DaemonCore> core(new DaemonCore);
    core->d = std::make_unique<Private>(settings, now);
    Private *d = core->d.get();
    auto ownership = Ownership::create(
        ownershipSettings(settings), [d] { return d->newOp(); }, now);
    if (!ownership) {
        return ownership.reason();
    }
    d->ownership = std::move(ownership).value();
    auto admission = Admission::create(
        admissionSettings(settings), [d] { return d->newOp(); }, now);
    if (!admission) {
        return admission.reason();
    }
    d->admission = std::move(admission).value();
    return core;
}

DaemonCore::DaemonCore() = default;
DaemonCore::~DaemonCore() = default;

void DaemonCore::onStoreReply(const StoreReply &reply, TimePoint now)
{
    const auto sent = d->storeOpsSentAt.find(reply.op);
    if (sent != d->storeOpsSentAt.end()) {
        if (reply.status != StoreStatus::Unknown) {
            d->lastStoreConfirmation = std::max(d->lastStoreConfirmation.value_or(sent->second), sent->second);
        }
        d->storeOpsSentAt.erase(sent);
    }
    const auto handler = d->storeHandlers.find(reply.op);
    if (handler != d->storeHandlers.end()) {
        const Private::StoreHandler handle = std::move(handler->second);
        d->storeHandlers.erase(handler);
        handle(reply, now);
    } else if (!d->config.onStoreReply(reply, now) && !d->ownership->onStoreReply(reply, now) && !d->admission->onStoreReply(reply, now)
               && !d->claims.onStoreReply(reply, now)) {
        d->allotments.onStoreReply(reply, now);
    }
    d->dispatchOutputs(now);
}

void DaemonCore::onVmList(const VmListReply &reply, TimePoint now)
{
    if (reply.op != d->vmListOp) {
        return;
    }
    d->vmListOp = OpId();
    if (reply.vms) {
        d->appliedVmListSentAt = d->vmListSentAt;
        d->membership.onVmList(*reply.vms, now);
        d->updateDesiredShards(now);
        d->updateWorkers(now);
    }
    d->dispatchOutputs(now);
}

void DaemonCore::onWorkerReply(const WorkerReply &reply, TimePoint now)
{
    const auto found = d->workerOps.find(reply.op);
    if (found == d->workerOps.end()) {
        return;
    }
    const Private::PendingWorkerOp op = found->second;
    d->workerOps.erase(found);
    Private::Shard *shard = d->shardInEpoch(op.shard, op.epoch);
    if (shard != nullptr) {
        WorkerReply controllerReply = reply;
        controllerReply.op = op.controllerOp;
        shard->controller->onWorkerReply(controllerReply, now);
    }
    d->dispatchOutputs(now);
}

void DaemonCore::tick(TimePoint now)
{
    d->config.tick(now);
    d->ownership->tick(now);
    if (d->membership.heartbeatDue(now)) {
        d->sendHeartbeats(now);
    }
    // The host normally answers within storeTimeout. After twice that time the reply counts as lost, and the list is requested again.
    const bool vmListLost = d->vmListOp.value() != 0 && now - d->vmListSentAt > 2 * d->settings.storeTimeout;
    if (d->membership.vmListDue(now) && (d->vmListOp.value() == 0 || vmListLost)) {
        d->vmListOp = d->newOp();
        d->vmListSentAt = now;
        d->emit(VmListRead{d->vmListOp});
    }
    d->admission->tick(now);
    d->claims.tick(now);
    d->grantClient.tick(now);
    d->jobForwarder.tick(now);
    if (now >= d->nextLowPriorityTick) {
        d->nextLowPriorityTick = now + lowPriorityTickInterval;
        d->ownership->setLivePeers(d->membership.livePeers(now), now);
        d->membership.onRegistered(d->ownership->registered(), now);
        d->rescanAfterPeerLoss(now);
        d->updateWorkersIfChanged(now);
        d->updateAllotmentDemands(now);
        d->expireCancellationsAndEndedJobs(now);
        d->finishFleetStatusQueries(now);
    }
    d->allotments.tick(now);
    d->tickShards(now);
    d->dispatchOutputs(now);
}

std::vector<Command> DaemonCore::takeCommands()
{
    return std::exchange(d->commands, {});
}

Result<Identity> DaemonCore::identify(const std::string &secret, TimePoint now) const
{
    FreshnessInput input;
    input.keysAge = d->config.keysAge(now);
    input.ownDomain = d->settings.self.domain;
    input.domains = d->membership.domainViews(d->storeAge(now), now);
    std::set<FailureDomain> domains{d->settings.self.domain};
    for (const PeerInfo &peer : d->membership.knownPeers()) {
        domains.insert(peer.domain);
    }
    input.daemonDomains.assign(domains.begin(), domains.end());
    FreshnessSettings freshness;
    freshness.withdrawalBound = d->settings.keyBound;
    if (keyFreshness(freshness, input) == Freshness::Stale) {
        return Error{ErrorKind::Unavailable, "the key list may be out of date, so the key can't be checked", "try again at another daemon or later"};
    }
    const auto key = d->config.keys().find(keyDigest(secret));
    if (!key) {
        return Error{ErrorKind::Unauthorized, "the key is unknown or withdrawn", "ask an operator for a key"};
    }
    Identity identity{key->id, key->team, WorkspaceId()};
    const auto tables = d->config.tables();
    const Team *team = tables ? tables->team(key->team) : nullptr;
    if (team != nullptr) {
        identity.workspace = team->workspace;
    }
    return identity;
}

OpId DaemonCore::submitJob(const JobSpec &job, TimePoint now)
{
    const OpId op = d->newOp();
    if (const auto problem = d->checkSubmission(job)) {
        d->fail(op, *problem);
        return op;
    }
    const auto candidate = chooseShard(job, d->candidatesOfPool(job.pool, now));
    if (!candidate) {
        d->fail(op,
                Error{ErrorKind::Unavailable, "pool " + job.pool.value() + " has no VMs yet", "try again later or check the pool's VM group"},
                ExecutionStatus::NotRun,
                retryAfterOutage);
        return op;
    }
    JobRecord record;
    record.spec = job;
    record.shard = candidate->shard;
    record.epoch = candidate->epoch;
    d->admission->submit(op, record, now);
    d->dispatchOutputs(now);
    return op;
}

OpId DaemonCore::readJob(const JobId &job, TimePoint)
{
    const OpId op = d->newOp();
    d->readStore("jobs", {job.value()}, [this, op, job](const StoreReply &reply, TimePoint) {
        if (reply.status != StoreStatus::Ok) {
            d->fail(op, storeUnavailable("the job can't be read"), ExecutionStatus::NotRun, retryAfterOutage);
            return;
        }
        const auto record = reply.rows.empty() || reply.rows.front().version.value() == 0 ? std::nullopt : JobRecord::fromJson(reply.rows.front().value);
        if (!record) {
            d->fail(op, Error{ErrorKind::NotFound, "there is no job " + job.value(), "check the id with the list of jobs"});
            return;
        }
        d->answer(op, *record);
    });
    return op;
}

OpId DaemonCore::listJobs(const TeamId &team, TimePoint)
{
    constexpr std::size_t maxListed = 1000;
    const OpId op = d->newOp();
    d->scanStore("queue", "", [this, op, team](const StoreReply &index, TimePoint) {
        if (index.status != StoreStatus::Ok) {
            d->fail(op, storeUnavailable("jobs can't be listed"), ExecutionStatus::NotRun, retryAfterOutage);
            return;
        }
        std::vector<std::string> keys;
        for (const Row &row : index.rows) {
            // Keys are "pool/domain/part/job", and the job id may itself contain slashes.
            std::size_t start = 0;
            for (int slashes = 0; slashes < 3 && start != std::string::npos; ++slashes) {
                start = row.key.find('/', start);
                start = start == std::string::npos ? start : start + 1;
            }
            if (start != std::string::npos && keys.size() < maxListed) {
                keys.push_back(row.key.substr(start));
            }
        }
        d->readStore("jobs", keys, [this, op, team](const StoreReply &reply, TimePoint) {
            if (reply.status != StoreStatus::Ok) {
                d->fail(op, storeUnavailable("jobs can't be listed"), ExecutionStatus::NotRun, retryAfterOutage);
                return;
            }
            std::vector<JobRecord> records;
            for (const Row &row : reply.rows) {
                const auto record = JobRecord::fromJson(row.value);
                if (record && (team.isEmpty() || record->spec.team == team)) {
                    records.push_back(*record);
                }
            }
            d->answer(op, std::move(records));
        });
    });
    return op;
}

OpId DaemonCore::cancelJob(const JobId &job, const TeamId &team, TimePoint)
{
    const OpId op = d->newOp();
    d->readStore("jobs", {job.value()}, [this, op, job, team](const StoreReply &reply, TimePoint now) {
        if (reply.status != StoreStatus::Ok) {
            d->fail(op, storeUnavailable("the job was not cancelled"), ExecutionStatus::NotRun, retryAfterOutage);
            return;
        }
        const auto record = reply.rows.empty() || reply.rows.front().version.value() == 0 ? std::nullopt : JobRecord::fromJson(reply.rows.front().value);
        if (!record || (!team.isEmpty() && record->spec.team != team)) {
            d->fail(op, Error{ErrorKind::NotFound, "there is no job " + job.value() + " of this team", "check the id with the list of jobs"});
            return;
        }
        if (record->state == JobState::Cancelled) {
            d->answer(op, JobCancelled{job});
            return;
        }
        if (isFinal(record->state) && record->state != JobState::Parked) {
            d->fail(op, Error{ErrorKind::Conflict, "job " + job.value() + " has already " + toString(record->state), "nothing is left to cancel"});
            return;
        }
        Private::PendingCancellation &pending = d->cancellations[job];
        pending.callers.push_back(op);
        pending.shard = record->shard;
        pending.deadline = now + cancelTimeout;
        d->admission->updateState(job, JobState::Cancelled, "cancelled by its submitter", now);
    });
    return op;
}

OpId DaemonCore::acquireGrant(const GrantSpec &spec, TimePoint now)
{
    const OpId op = d->newOp();
    // While it is shutting down, this daemon still serves requests from its remaining shards or through its peers.
    if (d->stopping && d->shards.empty() && d->membership.livePeers(now).empty()) {
        d->fail(op, Error{ErrorKind::Stopping, "this daemon is shutting down", "send the request to another daemon"});
        return op;
    }
    d->grantClient.acquire(op, spec, now);
    d->dispatchOutputs(now);
    return op;
}

void DaemonCore::cancelGrantRequest(OpId op, TimePoint now)
{
    d->grantClient.abandon(op, now);
    d->dispatchOutputs(now);
}

void DaemonCore::releaseGrant(const Grant &grant, GrantOutcome grantOutcome, TimePoint now)
{
    Private::Shard *shard = d->shardInEpoch(grant.shard, grant.epoch);
    if (shard != nullptr) {
        shard->controller->release(grant.id, grantOutcome, now);
    } else {
        const auto candidate = d->candidateFor(grant.shard, now);
        if (candidate && candidate->epoch == grant.epoch) {
            d->sendPeer(candidate->owner, GrantRelease{grant.shard, grant.id, grantOutcome});
        }
    }
    d->dispatchOutputs(now);
}

OpId DaemonCore::claim(const TeamId &team, const std::string &key, const std::string &fingerprint, TimePoint now)
{
    const OpId op = d->newOp();
    d->claims.claim(op, team, key, fingerprint, now);
    d->dispatchOutputs(now);
    return op;
}

OpId DaemonCore::finishClaim(const TeamId &team, const std::string &key, const std::string &outcome, TimePoint now)
{
    const OpId op = d->newOp();
    d->claims.finish(op, team, key, outcome, now);
    d->dispatchOutputs(now);
    return op;
}

OpId DaemonCore::applyTables(ConfigVersion expected, const std::string &routesYaml, const std::string &poolsYaml, TimePoint now)
{
    const OpId op = d->newOp();
    d->config.applyTables(op, expected, routesYaml, poolsYaml, now);
    d->dispatchOutputs(now);
    return op;
}

OpId DaemonCore::issueKey(const TeamKey &key, TimePoint now)
{
    const OpId op = d->newOp();
    d->config.issueKey(op, key, now);
    d->dispatchOutputs(now);
    return op;
}

OpId DaemonCore::withdrawKey(const KeyId &key, TimePoint now)
{
    const OpId op = d->newOp();
    d->config.withdrawKey(op, key, now);
    d->dispatchOutputs(now);
    return op;
}

OpId DaemonCore::fleetStatus(const std::string &topic, TimePoint now)
{
    const OpId op = d->newOp();
    Private::FleetStatusQuery query;
    query.caller = op;
    query.status.parts.push_back(FleetStatus::Part{d->settings.self.id, d->status(topic, now)});
    query.deadline = now + statusTimeout;
    for (const PeerInfo &peer : d->membership.knownPeers()) {
        if (peer.id != d->settings.self.id) {
            query.awaitedDaemons.insert(peer.id);
            d->sendPeer(peer.id, StatusQuery{op, topic});
        }
    }
    d->fleetStatusQueries.emplace(op, std::move(query));
    d->finishFleetStatusQueries(now);
    return op;
}

std::shared_ptr<const Tables> DaemonCore::tables() const
{
    return d->config.tables();
}

ConfigVersion DaemonCore::tablesVersion() const
{
    return d->config.version(ConfigKind::Tables);
}

ConfigVersion DaemonCore::keysVersion() const
{
    return d->config.version(ConfigKind::Keys);
}

std::string DaemonCore::routesYaml() const
{
    return d->config.routesYaml();
}

std::string DaemonCore::poolsYaml() const
{
    return d->config.poolsYaml();
}

std::vector<TeamKey> DaemonCore::keys() const
{
    return d->config.keys().keys();
}

std::string DaemonCore::status(const std::string &topic, TimePoint now) const
{
    return d->status(topic, now);
}

bool DaemonCore::ready(TimePoint) const
{
    return !d->stopping && d->config.tables() != nullptr;
}

void DaemonCore::beginStop(TimePoint now)
{
    d->stopping = true;
    d->ownership->beginStop(now);
    d->dispatchOutputs(now);
}

bool DaemonCore::stopped() const
{
    return d->stopping && d->ownership->stopped();
}

} // namespace KingCupLadder
