// Test fixture: several daemons that divide the limit of one team through a fake store.
#pragma once

#include "core/allotmentrow.h"
#include "core/allotments.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace KingCupLadder {

/// Returns resources with 4 GiB of memory and one slot per core.
inline Resources cores(std::int64_t count)
{
    return Resources{MilliCores(count * 1000), MebiBytes(count * 4096), Accelerators(0), Slots(count)};
}

/// How the fake store treats transactions.
enum class StoreMode {
    Works,
    LosesReplies, ///< Executes the transaction but replies Unknown.
    LosesRequests, ///< Ignores the transaction and replies Unknown.
};

inline TablesParseResult tablesWithLimit(std::int64_t limitCores)
{
    const std::string count = std::to_string(limitCores);
    const std::string limit = "{cpu: " + count + ", memory: " + std::to_string(limitCores * 4) + "GiB, accelerators: 0, slots: " + count + "}";
    const std::string pools = "pools:\n  - name: p\n    vms: g\n    teams: [t]\n";
    const std::string teams = "teams:\n  - name: t\n    workspace: w\n    share: 1\n    limit: " + limit + "\n";
    return Tables::parse("routes: []\n", pools + teams);
}

/// Parses once before any test runs, because yaml-cpp fills caches on first use, which the leak check would report.
inline const bool yamlCachesFilled = tablesWithLimit(1).problems.empty();

class AllotmentFleet
{
public:
    struct Daemon {
        std::unique_ptr<Allotments> allotments;
        std::vector<ShardId> owned;
    };
    struct Shard {
        std::int64_t wanted = 0; ///< In cores.
        Resources announced; ///< Amount of the last AllotmentChanged.
        Resources used;
        bool usageIncomplete = false; ///< The workers of the shard have not been read.
        bool stopsExcessWork = true; ///< Stops one core of excess work per step.
    };

    explicit AllotmentFleet(std::int64_t limitCores, std::size_t daemonCount = 2, const AllotmentSettings &settings = {})
    {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            AllotmentSettings own = settings;
            own.seed = settings.seed + i;
            const ShardId shard("p/d" + std::to_string(i) + "/0");
            daemons.push_back({std::make_unique<Allotments>(
                                   own, [this] { return OpId(++m_ops); }, now),
                               {shard}});
            shards[shard] = Shard{};
        }
        setLimit(limitCores);
        updateShards();
    }

    void setLimit(std::int64_t limitCores)
    {
        const auto tables = std::make_shared<const Tables>(*tablesWithLimit(limitCores).tables());
        for (Daemon &daemon : daemons) {
            daemon.allotments->setTables(tables, now);
        }
    }

    void updateShards()
    {
        std::vector<ShardId> all;
        for (const auto &shard : shards) {
            all.push_back(shard.first);
        }
        for (Daemon &daemon : daemons) {
            daemon.allotments->setShards(all, daemon.owned, now);
        }
    }

    /// Runs for @p span in steps of 10 ms. In each step every shard starts what its allotment allows, and every daemon is ticked.
    void run(Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += Duration(10)) {
            for (std::size_t i = 0; i < daemons.size(); ++i) {
                stepDaemon(daemons[i]);
            }
            executeDue();
            deliverReplies();
            maxRunning = std::max(maxRunning, running());
            maxRowSum = std::max(maxRowSum, totalAllotment(storedEntries()).cpu.value() / 1000);
        }
    }

    AllotmentEntries storedEntries() const
    {
        const auto found = m_rows.find("t");
        return found == m_rows.end() ? AllotmentEntries{} : *allotmentsFromJson(found->second.value);
    }

    std::int64_t running() const
    {
        std::int64_t sum = 0;
        for (const auto &shard : shards) {
            sum += shard.second.used.cpu.value() / 1000;
        }
        return sum;
    }

    std::int64_t announced(int daemon) const
    {
        return shards.at(ShardId("p/d" + std::to_string(daemon) + "/0")).announced.cpu.value() / 1000;
    }

    Shard &shard(int daemon)
    {
        return shards[ShardId("p/d" + std::to_string(daemon) + "/0")];
    }

    TimePoint now{Duration(100000)};
    std::vector<Daemon> daemons;
    std::map<ShardId, Shard> shards;
    std::function<StoreMode()> mode = [] { return StoreMode::Works; };
    std::function<Duration(std::size_t)> delay = [](std::size_t) { return Duration(10); }; ///< One-way delay, by index of the daemon.
    std::int64_t maxRunning = 0; ///< The maximum in use at once by all shards, in cores.
    std::int64_t maxRowSum = 0; ///< The maximum of the sum of the stored allotments, in cores.
    std::size_t writes = 0;
    std::size_t announcedChanges = 0;
    Row lastLost; ///< The last write that was lost with its request.

    void write(const Row &row)
    {
        m_rows[row.key] = row;
    }

private:
    struct Pending {
        TimePoint due;
        std::size_t daemon;
        std::variant<StoreTransaction, StoreRead> operation;
    };

    struct PendingReply {
        TimePoint due;
        std::size_t daemon;
        StoreReply reply;
    };

    void stepDaemon(Daemon &daemon)
    {
        std::vector<AllotmentDemand> demands;
        for (const ShardId &id : daemon.owned) {
            Shard &shard = shards[id];
            updateUsage(shard);
            demands.push_back({id, TeamId("t"), shard.used, cores(shard.wanted), shard.usageIncomplete});
        }
        daemon.allotments->setDemands(demands, now);
        daemon.allotments->tick(now);
        collectOutputs(daemon);
    }

    static void updateUsage(Shard &shard)
    {
        const Resources allowed = cores(shard.wanted).limitedTo(shard.announced);
        if (shard.used.fitsIn(allowed)) {
            shard.used = allowed;
        } else if (!shard.used.fitsIn(shard.announced) && shard.stopsExcessWork) {
            shard.used -= cores(1);
        } else {
            shard.used = shard.used.limitedTo(cores(shard.wanted));
        }
    }

    void collectOutputs(Daemon &daemon)
    {
        const auto index = static_cast<std::size_t>(&daemon - daemons.data());
        for (AllotmentOutput &output : daemon.allotments->takeOutputs()) {
            if (const auto *change = std::get_if<AllotmentChanged>(&output)) {
                shards[change->shard].announced = change->allotment;
                ++announcedChanges;
            } else if (auto *transaction = std::get_if<StoreTransaction>(&output)) {
                m_pending.push_back({now + delay(index), index, std::move(*transaction)});
            } else {
                m_pending.push_back({now + delay(index), index, std::move(std::get<StoreRead>(output))});
            }
        }
    }

    void executeDue()
    {
        std::deque<Pending> notDue;
        std::deque<Pending> due;
        for (Pending &pending : m_pending) {
            (pending.due <= now ? due : notDue).push_back(std::move(pending));
        }
        m_pending = std::move(notDue);
        for (const Pending &pending : due) {
            StoreReply reply = std::holds_alternative<StoreRead>(pending.operation) ? read(std::get<StoreRead>(pending.operation))
                                                                                    : transact(std::get<StoreTransaction>(pending.operation));
            m_pendingReplies.push_back({now + delay(pending.daemon), pending.daemon, std::move(reply)});
        }
    }

    void deliverReplies()
    {
        std::deque<PendingReply> notDue;
        for (PendingReply &delivery : std::exchange(m_pendingReplies, {})) {
            if (delivery.due > now) {
                notDue.push_back(std::move(delivery));
                continue;
            }
            daemons[delivery.daemon].allotments->onStoreReply(delivery.reply, now);
            collectOutputs(daemons[delivery.daemon]);
        }
        m_pendingReplies = std::move(notDue);
    }

    StoreReply read(const StoreRead &read) const
    {
        StoreReply reply{read.op, StoreStatus::Ok, {}};
        for (const std::string &key : read.keys) {
            const auto found = m_rows.find(key);
            reply.rows.push_back(found == m_rows.end() ? Row{read.table, key, RowVersion(), ""} : found->second);
        }
        return reply;
    }

    StoreReply transact(const StoreTransaction &transaction)
    {
        const StoreMode storeMode = mode();
        StoreReply reply{transaction.op, StoreStatus::Ok, {}};
        if (storeMode == StoreMode::LosesRequests) {
            const RowWrite &lost = transaction.writes.front();
            lastLost = Row{lost.table, lost.key, lost.version.next(), lost.value};
            return StoreReply{transaction.op, StoreStatus::Unknown, {}};
        }
        for (const RowWrite &write : transaction.writes) {
            const auto found = m_rows.find(write.key);
            const Row current = found == m_rows.end() ? Row{write.table, write.key, RowVersion(), ""} : found->second;
            if (current.version != write.version) {
                reply.status = StoreStatus::Conflict;
                reply.rows = {current};
                return reply;
            }
        }
        for (const RowWrite &write : transaction.writes) {
            m_rows[write.key] = Row{write.table, write.key, write.version.next(), write.value};
            reply.rows.push_back(Row{write.table, write.key, write.version.next(), ""});
        }
        ++writes;
        return storeMode == StoreMode::LosesReplies ? StoreReply{transaction.op, StoreStatus::Unknown, {}} : reply;
    }

    std::uint64_t m_ops = 0;
    std::map<std::string, Row> m_rows;
    std::deque<Pending> m_pending;
    std::deque<PendingReply> m_pendingReplies;
};

} // namespace KingCupLadder
