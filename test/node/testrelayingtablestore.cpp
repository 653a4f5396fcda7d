#include "eventloophelpers.h"
#include "memorytablestore.h"
#include "node/relayingtablestore.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

/// Accepts calls and does not answer them before their time-out.
class UnresponsiveStore : public TableStore
{
public:
    explicit UnresponsiveStore(EventLoop &loop) : m_loop(loop) { }
    bool refusesCalls = false; ///< Refuses calls immediately instead.

    void transact(const Transaction &, Duration timeout, Callback callback) override
    {
        endCall(timeout, StoreOutcome::Unknown, std::move(callback));
    }
    void read(const RangeRead &, Duration timeout, Callback callback) override
    {
        endCall(timeout, StoreOutcome::NotApplied, std::move(callback));
    }
    void feed(const FeedRead &, Duration timeout, Callback callback) override
    {
        endCall(timeout, StoreOutcome::NotApplied, std::move(callback));
    }

private:
    void endCall(Duration timeout, StoreOutcome outcome, Callback callback)
    {
        StoreAnswer answer;
        answer.outcome = refusesCalls ? StoreOutcome::NotApplied : outcome;
        m_timers.push_back(EventWatch::timer(m_loop, [answer, callback = std::move(callback)] { callback(answer); }));
        m_timers.back()->start(refusesCalls ? Duration(0) : timeout);
    }

    EventLoop &m_loop;
    std::vector<std::unique_ptr<EventWatch>> m_timers;
};

/// A daemon with its peers and its store access.
struct TestDaemon {
    TestDaemon(EventLoop &loop, const std::string &id, const std::string &address, TableStore &direct, const std::vector<std::string> &relays)
    {
        CellMember self;
        self.id = DaemonId(id);
        self.incarnation = Incarnation(1);
        self.peerAddress = address;
        peers = std::move(PeerMessaging::create(loop, self, [this](const PeerMessaging::Envelope &message) {
                    if (message.has_store_call()) {
                        store->serve(message);
                    }
                })).value();
        store = std::make_unique<RelayingTableStore>(loop, direct, *peers, [relays] { return relays; });
    }

    std::unique_ptr<PeerMessaging> peers;
    std::unique_ptr<RelayingTableStore> store;
};

} // namespace

TEST_GROUP(RelayingTableStore)
{
    void setup() override
    {
        // ZeroMQ threads free memory after a test has ended, so leaks of this group are detected by the sanitizer build instead.
        IGNORE_ALL_LEAKS_IN_TEST();
    }
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    MemoryTableStore healthyStore{*loop};
    UnresponsiveStore unresponsiveStore{*loop};

    StoreAnswer write(TestDaemon & caller, const std::string &key, std::vector<TestDaemon *> daemons)
    {
        Transaction transaction;
        transaction.conditions.push_back(RowCondition{RowKey{"t", {}, key}, RowVersion()});
        transaction.writes.push_back(TableWrite{RowKey{"t", {}, key}, "value"});
        StoreAnswer result;
        bool done = false;
        caller.store->transact(transaction, Duration(2000), [&](const StoreAnswer &answer) {
            result = answer;
            done = true;
        });
        const auto tick = EventWatch::repeating(*loop, Duration(5), [&] {
            for (TestDaemon *daemon : daemons) {
                daemon->peers->expire(loop->now());
            }
        });
        runUntil(
            *loop, [&done] { return done; }, Duration(5000));
        CHECK_TRUE(done);
        return result;
    }
};

// Guards against a daemon that can't admit jobs because the store refuses only this daemon.
TEST(RelayingTableStore, RelaysACallThatTheStoreRefuses)
{
    unresponsiveStore.refusesCalls = true;
    TestDaemon relay(*loop, "d2", "127.0.0.1:17952", healthyStore, {});
    TestDaemon daemon(*loop, "d1", "127.0.0.1:17951", unresponsiveStore, {"127.0.0.1:17952"});
    // Messages are dropped until both connections are established.
    StoreAnswer answer;
    const TimePoint deadline = loop->now() + Duration(5000);
    while (answer.outcome != StoreOutcome::Done && answer.outcome != StoreOutcome::Conflict && loop->now() < deadline) {
        answer = write(daemon, "a", {&daemon, &relay});
        runFor(*loop, Duration(150));
    }
    CHECK_TRUE(answer.outcome == StoreOutcome::Done || answer.outcome == StoreOutcome::Conflict);
    CHECK_TRUE(healthyStore.has("t", "a"));
}

// Guards against reporting NotApplied for a write that an unresponsive store may still apply.
TEST(RelayingTableStore, ReportsUnknownWhenTheDirectCallGetsNoAnswer)
{
    TestDaemon daemon(*loop, "d1", "127.0.0.1:17953", unresponsiveStore, {});
    CHECK_TRUE(write(daemon, "a", {&daemon}).outcome == StoreOutcome::Unknown);
}

// Guards against callers that wait for a time-out on each call, because several calls without an answer do not mark the store as down.
TEST(RelayingTableStore, IsDownAfterSeveralCallsWithoutAnswer)
{
    TestDaemon daemon(*loop, "d1", "127.0.0.1:17954", unresponsiveStore, {});
    CHECK_FALSE(daemon.store->isDown(loop->now()));
    for (int i = 0; i < 3; ++i) {
        (void)write(daemon, "a", {&daemon});
    }
    CHECK_TRUE(daemon.store->isDown(loop->now()));
}
