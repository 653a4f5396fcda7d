// One cycle: read all rows, lower what the own shards give up, wait until their use is known anew, write all rows that change
// in one transaction, announce what is in force.
#include "allotments.h"

#include "teamallotments.h"

#include <algorithm>
#include <random>
#include <utility>

namespace KingCupLadder {

namespace {

/// Between two cycles at least, however many wishes come; bounds the load on the store.
constexpr Duration leastSpacing{250};
/// After a conflict the others' transactions are let through before the next attempt.
constexpr Duration conflictPause{20};
/// Waiting for fresh needs ends after this span; the cycle then starts over.
constexpr Duration needsTimeout{1000};
/// Pauses after failures double up to 2^5 times their base.
constexpr unsigned maxDoublings = 5;

enum class Phase {
    Idle,
    Reading,
    AwaitingNeeds,
    Writing,
};

} // namespace

class Allotments::Private
{
public:
    Private(const AllotmentSettings &chosen, NextOp next, TimePoint now) : settings(chosen), nextOp(std::move(next)), random(chosen.seed), nextCycle(now) { }

    Duration jittered(Duration base);
    Duration afterFailures(Duration base);
    void wake(TimePoint now);
    void startRead(TimePoint now);
    void startWrite(TimePoint now);
    void endCycle(Duration pause, TimePoint now);
    void onRead(const StoreReply &reply, TimePoint now);
    void onWritten(const StoreReply &reply, TimePoint now);
    void adopt(const std::vector<Row> &rows, TimePoint now);
    void announce();
    void findMissing(TimePoint now);
    void setOwned(const std::vector<ShardId> &owned, TimePoint now);

    AllotmentSettings settings;
    NextOp nextOp;
    std::mt19937_64 random;
    std::map<TeamId, TeamAllotments> teams;
    AllotmentShards shards;
    std::vector<AllotmentOutput> outputs;
    std::vector<TeamId> inFlight; ///< Teams of the transaction in flight.
    Phase phase = Phase::Idle;
    OpId op; ///< While Reading or Writing.
    std::vector<OpId> abandoned; ///< Timed out here before their answers came.
    TimePoint phaseSince{};
    TimePoint cycleStart = TimePoint::min();
    TimePoint nextCycle;
    unsigned failures = 0; ///< In a row.
    bool readAgain = false; ///< Shards were gained during the cycle; what it read may be older than the gain.
};

Duration Allotments::Private::jittered(Duration base)
{
    std::uniform_int_distribution<Duration::rep> spread(base.count() * 3 / 4, base.count() * 5 / 4);
    return Duration(spread(random));
}

Duration Allotments::Private::afterFailures(Duration base)
{
    return jittered(base * (1U << std::min(failures, maxDoublings)));
}

void Allotments::Private::wake(TimePoint now)
{
    if (failures > 0) {
        return; // The pause after a failure is kept, or wishes would keep a troubled store busy.
    }
    const TimePoint earliest = cycleStart == TimePoint::min() ? now : std::max(now, cycleStart + leastSpacing);
    nextCycle = std::min(nextCycle, earliest);
}

void Allotments::Private::startRead(TimePoint now)
{
    if (teams.empty() || shards.owned.empty()) {
        endCycle(settings.refreshInterval, now);
        return;
    }
    StoreRead read{nextOp(), TeamAllotments::table, {}};
    for (const auto &team : teams) {
        read.keys.push_back(team.first.value());
    }
    phase = Phase::Reading;
    op = read.op;
    phaseSince = now;
    cycleStart = now;
    outputs.emplace_back(std::move(read));
}

void Allotments::Private::adopt(const std::vector<Row> &rows, TimePoint now)
{
    for (const Row &row : rows) {
        const auto team = teams.find(TeamId(row.key));
        if (row.table == TeamAllotments::table && team != teams.end()) {
            team->second.onRow(row);
        }
    }
    findMissing(now);
}

void Allotments::Private::onRead(const StoreReply &reply, TimePoint now)
{
    if (reply.status != StoreStatus::Ok) {
        ++failures;
        endCycle(afterFailures(settings.refreshInterval), now);
        return;
    }
    failures = 0;
    if (std::exchange(readAgain, false)) {
        startRead(now);
        return;
    }
    adopt(reply.rows, now);
    bool lowered = false;
    for (auto &team : teams) {
        lowered = team.second.lower(shards, now) || lowered;
    }
    announce();
    if (!lowered || !settings.shrinkBeforeGrow) {
        startWrite(now);
        return;
    }
    // The shards may have started more since the last needs; what they use now bounds what can be written.
    phase = Phase::AwaitingNeeds;
    phaseSince = now;
}

void Allotments::Private::startWrite(TimePoint now)
{
    StoreTransact transaction;
    inFlight.clear();
    for (auto &[id, team] : teams) {
        if (auto write = team.propose(shards, now)) {
            transaction.writes.push_back(std::move(*write));
            inFlight.push_back(id);
        }
    }
    announce();
    if (transaction.writes.empty()) {
        endCycle(jittered(settings.refreshInterval), now);
        return;
    }
    transaction.op = nextOp();
    phase = Phase::Writing;
    op = transaction.op;
    phaseSince = now;
    outputs.emplace_back(std::move(transaction));
}

void Allotments::Private::onWritten(const StoreReply &reply, TimePoint now)
{
    std::map<std::string, RowVersion> versions;
    for (const Row &row : reply.rows) {
        versions.emplace(row.key, row.version);
    }
    for (const TeamId &id : inFlight) {
        TeamAllotments &team = teams.at(id);
        const auto version = versions.find(id.value());
        if (reply.status == StoreStatus::Conflict) {
            team.onRefused();
        } else if (reply.status == StoreStatus::Ok && version != versions.end()) {
            team.onWritten(version->second);
        } else {
            team.onLost();
        }
    }
    inFlight.clear();
    failures = reply.status == StoreStatus::Ok ? 0 : failures + 1;
    if (reply.status == StoreStatus::Conflict) {
        adopt(reply.rows, now);
        endCycle(afterFailures(conflictPause), now);
    } else {
        endCycle(reply.status == StoreStatus::Ok ? jittered(settings.refreshInterval) : afterFailures(conflictPause), now);
    }
    announce();
}

void Allotments::Private::endCycle(Duration pause, TimePoint now)
{
    phase = Phase::Idle;
    nextCycle = std::exchange(readAgain, false) ? now : now + pause;
}

void Allotments::Private::announce()
{
    for (auto &team : teams) {
        team.second.announce(outputs);
    }
}

void Allotments::Private::findMissing(TimePoint now)
{
    std::map<ShardId, TimePoint> missing;
    for (const auto &team : teams) {
        for (const auto &entry : team.second.entries()) {
            if (shards.existing.count(entry.first) == 0) {
                const auto known = shards.missing.find(entry.first);
                missing.emplace(entry.first, known == shards.missing.end() ? now : known->second);
            }
        }
    }
    shards.missing = std::move(missing);
}

void Allotments::Private::setOwned(const std::vector<ShardId> &owned, TimePoint now)
{
    const std::set<ShardId> next(owned.begin(), owned.end());
    for (auto &team : teams) {
        for (const ShardId &shard : shards.owned) {
            if (next.count(shard) == 0) {
                team.second.disown(shard);
            }
        }
        for (const ShardId &shard : next) {
            team.second.own(shard);
        }
    }
    const bool gained = !std::includes(shards.owned.begin(), shards.owned.end(), next.begin(), next.end());
    readAgain = readAgain || (gained && phase != Phase::Idle);
    shards.owned = next;
    if (gained && phase == Phase::AwaitingNeeds) {
        endCycle(Duration(0), now); // The rows were read before the gain.
    }
}

Allotments::Allotments(const AllotmentSettings &settings, NextOp nextOp, TimePoint now) : d(std::make_unique<Private>(settings, std::move(nextOp), now)) { }

Allotments::~Allotments() = default;

void Allotments::setTables(const std::shared_ptr<const Tables> &tables, TimePoint now)
{
    std::map<TeamId, std::set<PoolName>> pools;
    for (const Pool &pool : tables->pools()) {
        for (const TeamId &team : pool.teams) {
            pools[team].insert(pool.name);
        }
    }
    for (const Team &team : tables->teams()) {
        const auto [found, isNew] = d->teams.try_emplace(team.id, d->settings, team.id);
        for (const ShardId &shard : d->shards.owned) {
            found->second.own(shard);
        }
        found->second.setLimit(team.limit, pools[team.id], now);
    }
    for (auto &[id, team] : d->teams) {
        if (tables->team(id) == nullptr) {
            team.setLimit(Resources{}, {}, now);
        }
    }
    d->announce();
    d->wake(now);
}

void Allotments::setShards(const std::vector<ShardId> &all, const std::vector<ShardId> &owned, TimePoint now)
{
    std::map<ShardId, TimePoint> existing;
    for (const ShardId &shard : all) {
        const auto known = d->shards.existing.find(shard);
        existing.emplace(shard, known == d->shards.existing.end() ? now : known->second);
    }
    d->shards.existing = std::move(existing);
    const std::set<ShardId> before = d->shards.owned;
    d->setOwned(owned, now);
    if (d->shards.owned != before) {
        d->wake(now);
    }
}

void Allotments::setDemands(const std::vector<AllotmentDemand> &needs, TimePoint now)
{
    std::map<std::pair<TeamId, ShardId>, const AllotmentDemand *> stated;
    for (const AllotmentDemand &need : needs) {
        stated.emplace(std::make_pair(need.team, need.shard), &need);
    }
    bool hasNewUnmetDemand = false;
    for (auto &[id, team] : d->teams) {
        for (const ShardId &shard : d->shards.owned) {
            const auto found = stated.find({id, shard});
            team.setDemand(found == stated.end() ? AllotmentDemand{shard, id, {}, {}, false} : *found->second, now);
        }
        hasNewUnmetDemand = hasNewUnmetDemand || team.hasNewUnmetDemand();
    }
    if (d->phase == Phase::AwaitingNeeds) {
        d->startWrite(now);
    } else if (hasNewUnmetDemand) {
        d->wake(now);
    }
}

bool Allotments::onStoreReply(const StoreReply &reply, TimePoint now)
{
    const auto late = std::find(d->abandoned.begin(), d->abandoned.end(), reply.op);
    if (late != d->abandoned.end()) {
        d->abandoned.erase(late);
        return true;
    }
    const bool isInFlight = d->phase == Phase::Reading || d->phase == Phase::Writing;
    if (!isInFlight || reply.op != d->op) {
        return false;
    }
    if (d->phase == Phase::Reading) {
        d->onRead(reply, now);
    } else {
        d->onWritten(reply, now);
    }
    return true;
}

void Allotments::tick(TimePoint now)
{
    if (d->phase == Phase::Idle) {
        if (now >= d->nextCycle) {
            d->startRead(now);
        }
        return;
    }
    if (d->phase == Phase::AwaitingNeeds) {
        if (now - d->phaseSince >= needsTimeout) {
            d->endCycle(Duration(0), now);
        }
        return;
    }
    if (now - d->phaseSince >= d->settings.operationTimeout) {
        const StoreReply lost{d->op, StoreStatus::Unknown, {}};
        d->abandoned.push_back(d->op);
        d->phase == Phase::Reading ? d->onRead(lost, now) : d->onWritten(lost, now);
    }
}

std::vector<AllotmentOutput> Allotments::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

Resources Allotments::allotment(const ShardId &shard, const TeamId &team) const
{
    const auto found = d->teams.find(team);
    return found == d->teams.end() ? Resources{} : found->second.inForce(shard).value_or(Resources{});
}

} // namespace KingCupLadder
