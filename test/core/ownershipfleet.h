// Simulates several daemons' Ownership objects on one fake store, with seeded delays, lost replies, outages and pauses.
#pragma once

#include "core/backoff.h"
#include "core/ownership.h"
#include "core/ownershiprows.h"
#include "fakestore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using KingCupLadder::FakeStore;

/// One simulated daemon.
struct FleetMember {
    KingCupLadder::PeerInfo self;
    std::unique_ptr<KingCupLadder::Ownership> ownership;
    std::map<std::string, KingCupLadder::Epoch> owned; ///< Owned shards according to the outputs.
    bool paused = false;
    std::vector<std::pair<KingCupLadder::ShardId, KingCupLadder::DaemonId>> proposedHandOvers;
    std::vector<KingCupLadder::HandOverDone> handedOver;
    int shardsLost = 0;
    int transactions = 0;
};

class OwnershipFleet
{
public:
    explicit OwnershipFleet(std::uint64_t seed) : random(seed) { }

    FleetMember &start(const std::string &id, const std::string &domain, std::uint64_t seed = 1)
    {
        using namespace KingCupLadder;
        FleetMember &member = members[id];
        member = FleetMember();
        member.self.id = DaemonId(id);
        member.self.domain = FailureDomain(domain);
        OwnershipSettings settings = defaults;
        settings.self = member.self;
        settings.seed = seed + random.next() % 1000;
        member.ownership = std::move(Ownership::create(
                                         settings, [this] { return OpId(++m_ops); }, now)
                                         .value());
        member.ownership->setDesiredShards(desired, now);
        return member;
    }

    void kill(const std::string &id)
    {
        members.erase(id);
    }

    /// Advances the clock in steps of 20 ms.
    void run(KingCupLadder::Duration span)
    {
        const KingCupLadder::TimePoint end = now + span;
        while (now < end) {
            now += KingCupLadder::Duration(20);
            deliver();
            for (auto &[id, member] : members) {
                step(member);
            }
            checkOwners();
        }
    }

    /// Returns the daemon that owns the shard at the row's epoch, or an empty string if there is none.
    std::string ownerOf(const std::string &shard) const
    {
        const auto row = KingCupLadder::ShardRow::fromJson(store.row("shards", shard).value);
        for (const auto &[id, member] : members) {
            const auto owned = member.owned.find(shard);
            if (row && owned != member.owned.end() && owned->second == row->epoch && row->owner.value() == id) {
                return id;
            }
        }
        return {};
    }

    /// Returns the number of desired shards that have an owner.
    std::size_t ownedCount() const
    {
        std::size_t count = 0;
        for (const auto &shard : desired) {
            count += ownerOf(shard.id.value()).empty() ? 0 : 1;
        }
        return count;
    }

    KingCupLadder::OwnershipSettings defaults;
    std::vector<KingCupLadder::DesiredShard> desired;
    KingCupLadder::RandomSource random;
    FakeStore store;
    KingCupLadder::TimePoint now{KingCupLadder::Duration(1000000)};
    std::map<std::string, FleetMember> members;
    bool storeDown = false;
    int lostReplyPercent = 0;
    int lateWritePercent = 0; ///< Percentage of operations that take effect seconds after their daemon stopped waiting.
    KingCupLadder::Duration maxDelay{10};
    std::function<void(const KingCupLadder::StoreTransaction &)> beforeTransact; ///< Called before a transaction takes effect.
    bool twoOwnersAtAnEpoch = false; ///< Two daemons owned one shard at the same epoch.
    bool twoConfirmedOwners = false; ///< Two daemons with confirmed leases owned one shard.

private:
    struct Event {
        std::string daemon;
        KingCupLadder::Ownership *sender; ///< The object that sent the operation. A restarted daemon has another object and gets no reply.
        std::function<KingCupLadder::StoreReply()> effect; ///< Empty once executed; only the reply is still to be delivered.
        KingCupLadder::StoreReply reply;
    };

    template<typename T>
    void send(FleetMember &member, const T &operation)
    {
        using namespace KingCupLadder;
        if (storeDown) {
            return;
        }
        const bool late = random.below(100) < static_cast<std::uint64_t>(lateWritePercent);
        // 1600 ms is just above the operation timeout, so the sender has stopped waiting.
        const Duration delay = late ? Duration(1600) + random.upTo(Duration(8000)) : random.upTo(maxDelay);
        m_events.emplace(now + delay, Event{member.self.id.value(), member.ownership.get(), [this, operation] { return effect(operation); }, {}});
    }

    KingCupLadder::StoreReply effect(const KingCupLadder::StoreTransaction &transaction)
    {
        if (beforeTransact) {
            beforeTransact(transaction);
        }
        return store.execute(transaction);
    }

    template<typename T>
    KingCupLadder::StoreReply effect(const T &operation)
    {
        return store.execute(operation);
    }

    void deliver()
    {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            Event event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            if (event.effect) {
                event.reply = event.effect();
                event.effect = nullptr;
                if (random.below(100) >= static_cast<std::uint64_t>(lostReplyPercent)) {
                    m_events.emplace(now + random.upTo(maxDelay), event);
                }
                continue;
            }
            const auto member = members.find(event.daemon);
            const bool alive = member != members.end() && member->second.ownership.get() == event.sender;
            if (alive && member->second.paused) {
                m_events.emplace(now + KingCupLadder::Duration(20), event);
            } else if (alive) {
                member->second.ownership->onStoreReply(event.reply, now);
                collect(member->second);
            }
        }
    }

    void step(FleetMember &member)
    {
        if (member.paused) {
            return;
        }
        std::vector<KingCupLadder::PeerInfo> peers;
        for (const auto &[id, other] : members) {
            if (!other.paused && id != member.self.id.value()) {
                KingCupLadder::PeerInfo info = other.self;
                info.incarnation = other.ownership->incarnation();
                peers.push_back(info);
            }
        }
        member.ownership->setLivePeers(peers, now);
        member.ownership->tick(now);
        collect(member);
    }

    void collect(FleetMember &member)
    {
        using namespace KingCupLadder;
        for (const OwnershipOutput &output : member.ownership->takeOutputs()) {
            if (const auto *transaction = std::get_if<StoreTransaction>(&output)) {
                ++member.transactions;
                send(member, *transaction);
            } else if (const auto *scan = std::get_if<StoreScan>(&output)) {
                send(member, *scan);
            } else if (const auto *read = std::get_if<StoreRead>(&output)) {
                send(member, *read);
            } else if (const auto *gained = std::get_if<ShardGained>(&output)) {
                member.owned[gained->shard.value()] = gained->epoch;
            } else if (const auto *lost = std::get_if<ShardLost>(&output)) {
                member.owned.erase(lost->shard.value());
                ++member.shardsLost;
            } else if (const auto *proposed = std::get_if<HandOverProposed>(&output)) {
                member.proposedHandOvers.emplace_back(proposed->shard, proposed->to);
                member.ownership->handOver(proposed->shard, proposed->to, now);
            } else if (const auto *done = std::get_if<HandOverDone>(&output)) {
                member.handedOver.push_back(*done);
                notify(*done);
            }
        }
    }

    void notify(const KingCupLadder::HandOverDone &done)
    {
        const auto receiver = members.find(done.to.value());
        if (receiver != members.end() && !receiver->second.paused) {
            receiver->second.ownership->onHandOver(KingCupLadder::HandOver{done.shard, done.epoch}, now);
        }
    }

    void checkOwners()
    {
        for (const auto &shard : desired) {
            std::map<std::uint64_t, int> epochs;
            int confirmed = 0;
            for (const auto &[id, member] : members) {
                const auto owned = member.owned.find(shard.id.value());
                if (owned != member.owned.end()) {
                    twoOwnersAtAnEpoch = ++epochs[owned->second.value()] > 1 || twoOwnersAtAnEpoch;
                    confirmed += member.ownership->leaseConfirmed(now) ? 1 : 0;
                }
            }
            twoConfirmedOwners = confirmed > 1 || twoConfirmedOwners;
        }
    }

    std::uint64_t m_ops = 0;
    std::multimap<KingCupLadder::TimePoint, Event> m_events;
};
