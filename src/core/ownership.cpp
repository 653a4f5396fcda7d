// Store operations of Ownership: schedules them and handles their replies.
#include "ownership.h"

#include "ownershipstate.h"

#include <algorithm>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr BackoffSettings retrySettings{Duration(200), Duration(2000)};
constexpr std::size_t maxKeysPerRead = 100;

Error invalid(const std::string &message, const std::string &remedy)
{
    return Error{ErrorKind::InvalidInput, message, remedy};
}

std::optional<Error> validate(const OwnershipSettings &settings)
{
    if (settings.self.id.isEmpty()) {
        return invalid("the daemon has no id", "set an id that is unique in the deployment");
    }
    if (settings.leaseMargin <= Duration(0) || settings.leaseTerm <= settings.leaseMargin) {
        return invalid("the lease margin is not between 0 and the lease term", "use a term of 6 s and a margin of 1 s");
    }
    if (settings.renewInterval <= Duration(0) || settings.renewInterval + settings.operationTimeout >= settings.leaseTerm - settings.leaseMargin) {
        return invalid("the lease can't be renewed within its term", "use a renewal interval of a third of the lease term");
    }
    // A gap of more than half a term between two reads restarts the wait for the expiry of a lease, see LeaseTracker::observe().
    if (settings.scanInterval <= Duration(0) || settings.scanInterval + settings.operationTimeout > settings.leaseTerm / 2) {
        return invalid("the lease rows are read too rarely to detect expired leases", "use a scan interval of 1 s");
    }
    if (settings.maxShardsPerTransaction == 0) {
        return invalid("the maximum number of shards per transaction is 0", "allow at least one shard in a transaction");
    }
    return std::nullopt;
}

} // namespace

Ownership::Private::Private(const OwnershipSettings &ownershipSettings, NextOp nextOpNumber, TimePoint now)
    : settings(ownershipSettings)
    , nextOp(std::move(nextOpNumber))
    , nonces(settings.seed, settings.self.id)
    , random(deriveSeed(settings.seed, "ownership"))
    , writeBackoff(retrySettings, deriveSeed(settings.seed, "shardwrite"))
    , readBackoff(retrySettings, deriveSeed(settings.seed, "shardread"))
    , lease(settings, nonces, now)
    , leaseTracker(settings)
    , nextScan(now + random.upTo(settings.scanInterval / 4))
    , nextWrite(now + random.upTo(settings.claimInterval))
    , nextRead(now)
    , nextProposalRound(now + random.upTo(settings.handOverInterval))
{
}

void Ownership::Private::tick(TimePoint now)
{
    timeOutOperations(now);
    scan(now);
    readShards(now);
    advanceStop();
    // Only one write may be in flight, so the renewal of the lease comes before writes of shard rows.
    tickLease(now);
    if (stopping) {
        writeHandOvers(now);
        return;
    }
    proposeHandOvers(now);
    writeHandOvers(now);
    claim(now);
}

bool Ownership::Private::isPending(OpKind kind) const
{
    return std::any_of(pending.begin(), pending.end(), [&](const auto &entry) { return entry.second.kind == kind; });
}

bool Ownership::Private::writeInFlight() const
{
    return isPending(OpKind::LeaseWrite) || isPending(OpKind::Claim) || isPending(OpKind::HandOver);
}

template<typename T>
void Ownership::Private::start(T operation, OpKind kind, std::vector<ShardId> shardIds, TimePoint now)
{
    operation.op = nextOp();
    pending.emplace(operation.op, Pending{kind, now, std::move(shardIds)});
    outputs.emplace_back(std::move(operation));
}

// Explicit instantiation for ownershipclaims.cpp and ownershiphandovers.cpp, which start transactions too.
template void Ownership::Private::start(StoreTransaction operation, OpKind kind, std::vector<ShardId> shardIds, TimePoint now);

void Ownership::Private::timeOutOperations(TimePoint now)
{
    std::vector<OpId> timedOut;
    for (const auto &[op, operation] : pending) {
        if (now - operation.sentAt > settings.operationTimeout) {
            timedOut.push_back(op);
        }
    }
    for (const OpId &op : timedOut) {
        onReply(StoreReply{op, StoreStatus::Unknown, {}}, now);
    }
}

bool Ownership::Private::onReply(const StoreReply &reply, TimePoint now)
{
    const auto found = pending.find(reply.op);
    if (found == pending.end()) {
        return false;
    }
    const Pending operation = found->second;
    pending.erase(found);
    finish(operation, reply, now);
    if (lease.takeLost()) {
        dropAllShards();
    }
    return true;
}

void Ownership::Private::finish(const Pending &operation, const StoreReply &reply, TimePoint now)
{
    switch (operation.kind) {
    case OpKind::LeaseWrite:
        lease.onTransact(reply, now);
        return;
    case OpKind::LeaseRead:
        lease.onRead(reply, now);
        return;
    case OpKind::Claim:
    case OpKind::HandOver:
        finishWrite(operation, reply, now);
        return;
    case OpKind::ShardRead:
        finishShardRead(operation, reply, now);
        return;
    case OpKind::LeaseScan:
        if (reply.status == StoreStatus::Ok) {
            leaseTracker.onScan(reply.rows, operation.sentAt, now);
            for (const Row &row : reply.rows) {
                if (row.key == settings.self.id.value()) {
                    lease.observe(row, now);
                }
            }
        }
        return;
    case OpKind::ShardScan:
        finishShardScan(operation, reply, now);
        return;
    }
}

void Ownership::Private::finishWrite(const Pending &operation, const StoreReply &reply, TimePoint now)
{
    for (const ShardId &id : operation.shards) {
        shards[id].writing = false;
    }
    nextWrite = now + random.around(settings.claimInterval);
    if (reply.status == StoreStatus::Ok) {
        writeBackoff.reset();
        applyWritten(operation, reply, now);
        return;
    }
    if (reply.status == StoreStatus::Conflict) {
        writeBackoff.reset();
        observeConflict(reply, now);
        return;
    }
    if (!settings.readBackAfterLostReplies) {
        applyPresumedWrite(operation, now);
        return;
    }
    nextWrite = now + writeBackoff.next();
    for (const ShardId &id : operation.shards) {
        shards[id].outcomeUnknownSince = now;
        shardsToRead.insert(id);
    }
}

void Ownership::Private::observeConflict(const StoreReply &reply, TimePoint now)
{
    for (const Row &row : reply.rows) {
        if (row.table == shardsTable) {
            observeShard(ShardId(row.key), row, now, now);
        } else if (row.table == daemonsTable && row.key == settings.self.id.value()) {
            lease.observe(row, now);
        } else if (row.table == daemonsTable) {
            leaseTracker.observe(row, now);
        }
    }
}

void Ownership::Private::finishShardRead(const Pending &operation, const StoreReply &reply, TimePoint now)
{
    if (reply.status != StoreStatus::Ok) {
        shardsToRead.insert(operation.shards.begin(), operation.shards.end());
        nextRead = now + readBackoff.next();
        return;
    }
    readBackoff.reset();
    for (const ShardId &id : operation.shards) {
        const auto found = std::find_if(reply.rows.begin(), reply.rows.end(), [&](const Row &row) { return row.key == id.value(); });
        observeShard(id, found == reply.rows.end() ? Row{shardsTable, id.value(), RowVersion(), {}} : *found, operation.sentAt, now);
    }
}

void Ownership::Private::finishShardScan(const Pending &operation, const StoreReply &reply, TimePoint now)
{
    if (reply.status != StoreStatus::Ok) {
        return;
    }
    std::set<ShardId> present;
    for (const Row &row : reply.rows) {
        present.insert(ShardId(row.key));
        observeShard(ShardId(row.key), row, operation.sentAt, now);
    }
    std::vector<ShardId> absent;
    for (const auto &[id, shard] : shards) {
        if (present.count(id) == 0) {
            absent.push_back(id);
        }
    }
    for (const ShardId &id : absent) {
        observeShard(id, Row{shardsTable, id.value(), RowVersion(), {}}, operation.sentAt, now);
        // A shard with a known epoch is kept, so that a later claim does not use the epoch again.
        const ShardOwnership &shard = shards[id];
        const bool unused = !shard.desired && !shard.writing && !shard.outcomeUnknownSince && shard.highestEpoch == Epoch();
        if (unused) {
            shards.erase(id);
        }
    }
}

void Ownership::Private::scan(TimePoint now)
{
    if (now < nextScan || isPending(OpKind::LeaseScan) || isPending(OpKind::ShardScan)) {
        return;
    }
    nextScan = now + random.around(settings.scanInterval);
    start(StoreScan{OpId(), daemonsTable, {}}, OpKind::LeaseScan, {}, now);
    start(StoreScan{OpId(), shardsTable, {}}, OpKind::ShardScan, {}, now);
}

void Ownership::Private::readShards(TimePoint now)
{
    if (shardsToRead.empty() || now < nextRead || isPending(OpKind::ShardRead)) {
        return;
    }
    StoreRead read{OpId(), shardsTable, {}};
    std::vector<ShardId> ids;
    while (!shardsToRead.empty() && ids.size() < maxKeysPerRead) {
        ids.push_back(*shardsToRead.begin());
        read.keys.push_back(ids.back().value());
        shardsToRead.erase(shardsToRead.begin());
    }
    start(std::move(read), OpKind::ShardRead, std::move(ids), now);
}

void Ownership::Private::tickLease(TimePoint now)
{
    // A claim in flight checks the version of the lease row, so a renewal must wait for its reply.
    if (writeInFlight() || isPending(OpKind::LeaseRead)) {
        return;
    }
    const auto operation = lease.next(now);
    if (!operation) {
        return;
    }
    if (const auto *write = std::get_if<StoreTransaction>(&*operation)) {
        start(*write, OpKind::LeaseWrite, {}, now);
    } else {
        start(std::get<StoreRead>(*operation), OpKind::LeaseRead, {}, now);
    }
}

void Ownership::Private::dropAllShards()
{
    for (auto &[id, shard] : shards) {
        if (shard.ownedEpoch) {
            loseShard(id, shard);
        }
        shard.handOverTarget.reset();
    }
}

Result<std::unique_ptr<Ownership>> Ownership::create(const OwnershipSettings &settings, NextOp nextOp, TimePoint now)
{
    if (const auto error = validate(settings)) {
        return *error;
    }
    std::unique_ptr<Ownership> ownership(new Ownership());
    ownership->m_d = std::make_unique<Private>(settings, std::move(nextOp), now);
    return ownership;
}

Ownership::Ownership() = default;
Ownership::~Ownership() = default;

void Ownership::setDesiredShards(const std::vector<DesiredShard> &desired, TimePoint)
{
    for (auto &[id, shard] : m_d->shards) {
        shard.desired = false;
    }
    for (const DesiredShard &shard : desired) {
        ShardOwnership &state = m_d->shards[shard.id];
        state.desired = true;
        state.domain = shard.domain;
    }
}

void Ownership::setLivePeers(const std::vector<PeerInfo> &peers, TimePoint now)
{
    std::map<DaemonId, Private::LivePeer> live;
    for (const PeerInfo &peer : peers) {
        const auto known = m_d->peers.find(peer.id);
        const bool same = known != m_d->peers.end() && known->second.info.incarnation == peer.incarnation;
        if (peer.id != m_d->settings.self.id) {
            live[peer.id] = Private::LivePeer{peer, same ? known->second.liveSince : now};
        }
    }
    m_d->peers = std::move(live);
}

bool Ownership::onStoreReply(const StoreReply &reply, TimePoint now)
{
    return m_d->onReply(reply, now);
}

void Ownership::tick(TimePoint now)
{
    m_d->tick(now);
}

void Ownership::handOver(const ShardId &shard, const DaemonId &to, TimePoint)
{
    if (to != m_d->settings.self.id && !to.isEmpty()) {
        m_d->relinquish(shard, to);
    }
}

void Ownership::release(const ShardId &shard, TimePoint)
{
    m_d->relinquish(shard, DaemonId());
}

void Ownership::onHandOver(const HandOver &message, TimePoint now)
{
    m_d->shardsToRead.insert(message.shard);
    m_d->nextRead = std::min(m_d->nextRead, now);
}

void Ownership::beginStop(TimePoint)
{
    m_d->stopping = true;
}

std::vector<OwnershipOutput> Ownership::takeOutputs()
{
    return std::exchange(m_d->outputs, {});
}

bool Ownership::leaseConfirmed(TimePoint now) const
{
    return m_d->lease.confirmed(now);
}

Incarnation Ownership::incarnation() const
{
    return m_d->lease.incarnation();
}

std::vector<ShardOwner> Ownership::owned() const
{
    std::vector<ShardOwner> list;
    for (const auto &[id, shard] : m_d->shards) {
        if (shard.ownedEpoch) {
            list.push_back(ShardOwner{id, m_d->settings.self.id, *shard.ownedEpoch});
        }
    }
    return list;
}

RowVersion Ownership::rowVersion(const ShardId &shard) const
{
    const auto found = m_d->shards.find(shard);
    return found != m_d->shards.end() && found->second.ownedEpoch ? found->second.version : RowVersion();
}

std::vector<ShardOwner> Ownership::owners() const
{
    std::vector<ShardOwner> list;
    for (const auto &[id, shard] : m_d->shards) {
        if (shard.version > RowVersion() && shard.readable && !shard.row.owner.isEmpty()) {
            list.push_back(ShardOwner{id, shard.row.owner, shard.row.epoch});
        }
    }
    return list;
}

std::vector<PeerInfo> Ownership::registered() const
{
    return m_d->leaseTracker.registered();
}

bool Ownership::stopped() const
{
    return m_d->stopping && m_d->lease.released() && !m_d->hasUnreleasedShards();
}

} // namespace KingCupLadder
