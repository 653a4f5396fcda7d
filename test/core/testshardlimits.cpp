#include "fakeshard.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(ShardLimits){};

namespace {

/// The owner changes while the team's whole allotment runs on a worker that the new owner can't read.
bool exceedsAllotmentAfterTakeOver(bool countUnread)
{
    FakeShard shard(2, 2);
    const TaskId old{JobId("old"), 0, 1};
    shard.worker(1).running[old] = RunningTask{old, TeamId("a"), {}, cores(4), {}, Duration(0)};
    shard.setDelivery(1, Delivery::Drop);
    shard.settings.safetyChecks.countUnreadWorkers = countUnread;
    shard.create();
    shard.setTeamAllotment(cores(4));
    shard.enqueue(FakeShard::job("j", 4));
    shard.run(3000);
    return shard.overAllotment;
}

} // namespace

// Guards against a team exceeding its limit because a new owner does not know what is running on an unread worker.
TEST(ShardLimits, UnreadWorkersCountAgainstTheAllotment)
{
    CHECK_FALSE(exceedsAllotmentAfterTakeOver(true));
}

// Shows that the allotment is exceeded if countUnreadWorkers is disabled.
TEST(ShardLimits, AllotmentIsExceededWithoutCountingUnreadWorkers)
{
    CHECK_TRUE(exceedsAllotmentAfterTakeOver(false));
}

// Guards against starting tasks beyond the allotment.
TEST(ShardLimits, StartsWithinTheAllotment)
{
    FakeShard shard(2);
    shard.createReady();
    shard.setTeamAllotment(cores(3));
    shard.enqueue(FakeShard::job("j", 8));
    shard.run(1000);
    LONGS_EQUAL(3, shard.runningTasks());
}

// Guards against a lowered limit that takes effect only when tasks end by themselves.
TEST(ShardLimits, LoweredAllotmentCheckpointsTheExcess)
{
    FakeShard shard(2);
    shard.createReady();
    shard.enqueue(FakeShard::job("j", 8));
    shard.run(300);
    shard.setTeamAllotment(cores(2));
    shard.run(2000);
    LONGS_EQUAL(2, shard.runningTasks());
}

// Guards against urgent work waiting for long batch work on a full shard. Within maxUrgentWait (2100 ms), 4 of the 8 batch tasks have
// to make room for the 2 urgent tasks, so 6 run.
TEST(ShardLimits, UrgentWorkStartsWithinItsBound)
{
    FakeShard shard(2);
    shard.createReady();
    shard.enqueue(FakeShard::job("batch", 8));
    shard.run(500);
    JobSpec urgent = FakeShard::job("urgent", 2, cores(2));
    urgent.priority = Priority::Urgent;
    shard.enqueue(urgent);
    shard.run(2100);
    LONGS_EQUAL(6, shard.runningTasks());
}

// Guards against losing a checkpointed task instead of queueing it again.
TEST(ShardLimits, CheckpointedTaskRunsAgainAsANewAttempt)
{
    FakeShard shard;
    shard.createReady();
    shard.enqueue(FakeShard::job("j"));
    shard.run(50);
    shard.endAll(0, TaskOutcome::Checkpointed);
    shard.run(1000);
    LONGS_EQUAL(1, static_cast<long>(shard.worker().running.count(TaskId{JobId("j"), 0, 2})));
}

// Guards against starting only some tasks of an all-at-once job.
TEST(ShardLimits, GangStartsAllTasksOrNone)
{
    FakeShard shard(2);
    shard.createReady();
    shard.enqueue(FakeShard::job("small", 2));
    shard.run(100);
    JobSpec gang = FakeShard::job("gang", 4, cores(2));
    gang.allAtOnce = true;
    shard.enqueue(gang);
    shard.run(1000);
    LONGS_EQUAL(2, shard.runningTasks());
    for (int number : {0, 1}) {
        shard.endAll(number, TaskOutcome::Succeeded);
    }
    shard.run(1000);
    LONGS_EQUAL(4, shard.runningTasks());
}

namespace {

std::shared_ptr<const Tables> tablesWithPower(const std::string &power)
{
    const std::string teams = "teams:\n  - {name: a, workspace: w, limit: {cpu: 100, memory: 100GiB}}\n";
    const std::string pools = "pools:\n  - {name: pool, vms: g, power: " + power + ", teams: [a]}\n";
    const TablesParseResult check = Tables::parse("routes: []\n", teams + pools);
    return check.problems.empty() ? std::make_shared<const Tables>(*check.tables()) : nullptr;
}

// Parsed before the tests run, since the parser allocates static data that a test's leak check would report.
const std::shared_ptr<const Tables> gridTables = tablesWithPower("grid");
const std::shared_ptr<const Tables> generatorTables = tablesWithPower("generator");

} // namespace

// Guards against batch work that keeps running on generator power.
TEST(ShardLimits, GeneratorPowerCheckpointsBatchUntilTheGridReturns)
{
    FakeShard shard;
    shard.createReady(gridTables);
    shard.enqueue(FakeShard::job("j", 2));
    shard.run(300);
    shard.controller->setTables(generatorTables, shard.now);
    shard.run(1000);
    LONGS_EQUAL(0, shard.runningTasks());
    shard.controller->setTables(gridTables, shard.now);
    shard.run(1000);
    LONGS_EQUAL(2, shard.runningTasks());
}
