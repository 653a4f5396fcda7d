// A cycle reads the rows of all teams and lowers the effective allotments of owned shards that release resources. If any was
// lowered, the cycle waits for setDemands() to report the current use of the shards. It then writes all changed rows in one
// transaction and emits AllotmentChanged for each effective allotment that changed.
#include "allotments.h"

#include "teamallotments.h"

#include <algorithm>
#include <random>
#include <utility>

namespace KingCupLadder {

namespace {

/// Minimum time between two cycles, however often demands change; limits the load on the store.
constexpr Duration minCycleInterval{250};
/// Base delay after a conflict or a lost reply to a write. After a conflict the delay lets the transactions of other daemons complete
/// before the next attempt.
constexpr Duration writeRetryDelay{20};
/// If no new demands arrive within this time, the cycle starts over.
constexpr Duration demandsTimeout{1000};
/// The delay after failures doubles up to 2^5 times its base.
constexpr unsigned maxDoublings = 5;

enum class Phase {
    Idle,
    Reading,
    AwaitingDemands,
    Writing,
};

} // namespace

class Allotments::Private
{
public:
    Private(const AllotmentSettings &allotmentSettings, NextOp next, TimePoint now)
        : settings(allotmentSettings), nextOp(std::move(next)), random(allotmentSettings.seed), nextCycle(now)
    {
    }

    Duration withJitter(Duration base);
    Duration backoffAfterFailures(Duration base);
    void scheduleCycle(TimePoint now);
    void startRead(TimePoint now);
    void startWrite(TimePoint now);
    void endCycle(Duration delay, TimePoint now);
    void onRead(const StoreReply &reply, TimePoint now);
    void onWritten(const StoreReply &reply, TimePoint now);
    void applyRows(const std::vector<Row> &rows, TimePoint now);
    void announce();
    void updateMissingShards(TimePoint now);
    void setOwned(const std::vector<ShardId> &owned, TimePoint now);

    AllotmentSettings settings;
    NextOp nextOp;
    std::mt19937_64 random;
    std::map<TeamId, TeamAllotments> teams;
    AllotmentShards shards;
    std::vector<AllotmentOutput> outputs;
    std::vector<TeamId> teamsInFlight; ///< Teams of the transaction in flight.
    Phase phase = Phase::Idle;
    OpId op; ///< The operation in flight; meaningful only in the phases Reading and Writing.
    std::vector<OpId> abandoned; ///< Operations that timed out; late replies to them are ignored.
    TimePoint phaseSince{};
    TimePoint cycleStart = TimePoint::min();
    TimePoint nextCycle;
    unsigned failures = 0; ///< Consecutive store operations that failed or conflicted.
    bool rereadNeeded = false; ///< A shard was gained during the cycle, so the rows may have been read before the gain.
};

Duration Allotments::Private::withJitter(Duration base)
{
    std::uniform_int_distribution<Duration::rep> spread(base.count() * 3 / 4, base.count() * 5 / 4);
    return Duration(spread(random));
}

Duration Allotments::Private::backoffAfterFailures(Duration base)
{
    return withJitter(base * (1U << std::min(failures, maxDoublings)));
}

void Allotments::Private::scheduleCycle(TimePoint now)
{
    if (failures > 0) {
        return; // Keep the delay after a failure; otherwise new demands would overload a failing store.
    }
    const TimePoint earliest = cycleStart == TimePoint::min() ? now : std::max(now, cycleStart + minCycleInterval);
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

void Allotments::Private::applyRows(const std::vector<Row> &rows, TimePoint now)
{
    for (const Row &row : rows) {
        const auto team = teams.find(TeamId(row.key));
        if (row.table == TeamAllotments::table && team != teams.end()) {
            team->second.onRow(row);
        }
    }
    updateMissingShards(now);
}

void Allotments::Private::onRead(const StoreReply &reply, TimePoint now)
{
    if (reply.status != StoreStatus::Ok) {
        ++failures;
        endCycle(backoffAfterFailures(settings.refreshInterval), now);
        return;
    }
    failures = 0;
    if (std::exchange(rereadNeeded, false)) {
        startRead(now);
        return;
    }
    applyRows(reply.rows, now);
    bool shrunk = false;
    for (auto &team : teams) {
        shrunk = team.second.lowerEffectiveAllotments(shards, now) || shrunk;
    }
    announce();
    if (!shrunk || !settings.shrinkBeforeGrow) {
        startWrite(now);
        return;
    }
    // The shards may have started more since the last demands; the amounts written must cover their current use.
    phase = Phase::AwaitingDemands;
    phaseSince = now;
}

void Allotments::Private::startWrite(TimePoint now)
{
    StoreTransaction transaction;
    teamsInFlight.clear();
    for (auto &[id, team] : teams) {
        if (auto write = team.propose(shards, now)) {
            transaction.writes.push_back(std::move(*write));
            teamsInFlight.push_back(id);
        }
    }
    announce();
    if (transaction.writes.empty()) {
        endCycle(withJitter(settings.refreshInterval), now);
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
    for (const TeamId &id : teamsInFlight) {
        TeamAllotments &team = teams.at(id);
        const auto version = versions.find(id.value());
        if (reply.status == StoreStatus::Conflict) {
            team.onConflict();
        } else if (reply.status == StoreStatus::Ok && version != versions.end()) {
            team.onWritten(version->second);
        } else {
            team.onReplyLost();
        }
    }
    teamsInFlight.clear();
    failures = reply.status == StoreStatus::Ok ? 0 : failures + 1;
    if (reply.status == StoreStatus::Conflict) {
        applyRows(reply.rows, now);
        endCycle(backoffAfterFailures(writeRetryDelay), now);
    } else {
        endCycle(reply.status == StoreStatus::Ok ? withJitter(settings.refreshInterval) : backoffAfterFailures(writeRetryDelay), now);
    }
    announce();
}

void Allotments::Private::endCycle(Duration delay, TimePoint now)
{
    phase = Phase::Idle;
    nextCycle = std::exchange(rereadNeeded, false) ? now : now + delay;
}

void Allotments::Private::announce()
{
    for (auto &team : teams) {
        team.second.announce(outputs);
    }
}

void Allotments::Private::updateMissingShards(TimePoint now)
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
                team.second.removeOwnedShard(shard);
            }
        }
        for (const ShardId &shard : next) {
            team.second.addOwnedShard(shard);
        }
    }
    const bool gained = !std::includes(shards.owned.begin(), shards.owned.end(), next.begin(), next.end());
    rereadNeeded = rereadNeeded || (gained && phase != Phase::Idle);
    shards.owned = next;
    if (gained && phase == Phase::AwaitingDemands) {
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
            found->second.addOwnedShard(shard);
        }
        found->second.setLimit(team.limit, pools[team.id], now);
    }
    // A team that is no longer in the tables is kept with a limit of zero, so that the entries of its shards are lowered as its work ends.
    for (auto &[id, team] : d->teams) {
        if (tables->team(id) == nullptr) {
            team.setLimit(Resources{}, {}, now);
        }
    }
    d->announce();
    d->scheduleCycle(now);
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
        d->scheduleCycle(now);
    }
}

void Allotments::setDemands(const std::vector<AllotmentDemand> &demands, TimePoint now)
{
    std::map<std::pair<TeamId, ShardId>, const AllotmentDemand *> demandByShard;
    for (const AllotmentDemand &demand : demands) {
        demandByShard.emplace(std::make_pair(demand.team, demand.shard), &demand);
    }
    bool hasNewUnmetDemand = false;
    for (auto &[id, team] : d->teams) {
        for (const ShardId &shard : d->shards.owned) {
            const auto found = demandByShard.find({id, shard});
            team.setDemand(found == demandByShard.end() ? AllotmentDemand{shard, id, {}, {}, false} : *found->second, now);
        }
        hasNewUnmetDemand = hasNewUnmetDemand || team.hasNewUnmetDemand();
    }
    if (d->phase == Phase::AwaitingDemands) {
        d->startWrite(now);
    } else if (hasNewUnmetDemand) {
        d->scheduleCycle(now);
    }
}

bool Allotments::onStoreReply(const StoreReply &reply, TimePoint now)
{
    const auto abandonedOp = std::find(d->abandoned.begin(), d->abandoned.end(), reply.op);
    if (abandonedOp != d->abandoned.end()) {
        d->abandoned.erase(abandonedOp);
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
    if (d->phase == Phase::AwaitingDemands) {
        if (now - d->phaseSince >= demandsTimeout) {
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
    return found == d->teams.end() ? Resources{} : found->second.effectiveAllotment(shard).value_or(Resources{});
}

} // namespace KingCupLadder
