#include "eventloophelpers.h"
#include "memorytablestore.h"
#include "node/configwatcher.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(ConfigWatcher)
{
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    MemoryTableStore store{*loop};
    PlatformCodec codec;
    std::unique_ptr<ConfigWatcher> watcher;
    std::vector<std::set<FailureDomain>> reported;
    bool isConfigReported = false;
    bool isConfigReportedFirst = false;

    void setup() override
    {
        codec.configTable = "operator";
        codec.configKey = "config";
        codec.evacuationPrefix = "leave/";
        codec.decodeConfig = [](const std::string &) { return Result<CellConfig>(CellConfig{}); };
        codec.decodeEvacuation = [](const std::string &key, const std::string &) {
            const std::string domain = key.substr(6);
            return domain.empty() ? std::nullopt : std::optional<EvacuationRow>(EvacuationRow{FailureDomain(domain), true});
        };
        put("config");
    }

    void put(const std::string &key)
    {
        store.put(RowKey{"operator", {}, key}, "{}");
    }

    void remove(const std::string &key)
    {
        store.transact(Transaction{{}, {}, {RowKey{"operator", {}, key}}}, Duration(0), [](const StoreAnswer &) {});
    }

    void start()
    {
        ConfigWatcherSettings settings;
        settings.readPause = Duration(10);
        watcher = std::make_unique<ConfigWatcher>(
            *loop,
            store,
            codec,
            settings,
            [this](const std::shared_ptr<const CellConfig> &) { isConfigReported = true; },
            [this](const std::set<FailureDomain> &domains) {
                isConfigReportedFirst = isConfigReportedFirst || isConfigReported;
                reported.push_back(domains);
            });
        watcher->start();
    }

    void waitForReports(std::size_t count)
    {
        runUntil(
            *loop, [this, count] { return reported.size() >= count && isConfigReported; }, Duration(5000));
        LONGS_EQUAL(count, reported.size());
    }
};

// Guards against a new leader that begins placement, which the configuration allows, before it knows the evacuations.
TEST(ConfigWatcher, ReportsEvacuationsBeforeTheConfiguration)
{
    put("leave/east");
    start();
    waitForReports(1);
    CHECK_TRUE(reported.front() == std::set<FailureDomain>{FailureDomain("east")});
    CHECK_FALSE(isConfigReportedFirst);
}

// Guards against evacuations that are missed because the first read has several pages.
TEST(ConfigWatcher, ReadsAllPages)
{
    store.maxRowsPerRead = 1;
    put("leave/east");
    put("leave/west");
    put("leave/"); // Names no failure domain.
    start();
    waitForReports(1);
    LONGS_EQUAL(2, reported.front().size());
}

// Guards against an evacuation that goes on after the operator has removed its row.
TEST(ConfigWatcher, FollowsTheFeed)
{
    start();
    waitForReports(1);
    put("leave/east");
    waitForReports(2);
    LONGS_EQUAL(1, reported.back().size());
    remove("leave/east");
    waitForReports(3);
    LONGS_EQUAL(0, reported.back().size());
}

// Guards against a set that keeps a row which was removed while the store no longer had the history.
TEST(ConfigWatcher, ARereadReplacesTheSet)
{
    put("leave/east");
    store.readOutcomes = {StoreOutcome::Done, StoreOutcome::HistoryTruncated};
    start();
    remove("leave/east");
    put("leave/west");
    waitForReports(2);
    CHECK_TRUE(reported.back() == std::set<FailureDomain>{FailureDomain("west")});
}

// Guards against an evacuation that ends because a read of the store has failed.
TEST(ConfigWatcher, AFailedReadKeepsTheSet)
{
    put("leave/east");
    start();
    waitForReports(1);
    store.readOutcomes.assign(5, StoreOutcome::NotApplied);
    runFor(*loop, Duration(200));
    LONGS_EQUAL(1, reported.size());
}
