#include "standins/tasktable.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace KingCupLadder::StandIn;
using nlohmann::json;

TEST_GROUP(TaskTable)
{
    WorkerSettings settings;
    std::unique_ptr<TaskTable> table;
    void setup() override
    {
        settings.timeScale = 10; // The run time of 1000 ms that task() sets takes 100 ms.
        table = std::make_unique<TaskTable>(settings);
    }

    static json task(const char *job, int cpu, int attempt = 1)
    {
        return {{"job", job}, {"index", 0}, {"attempt", attempt}, {"demand", {{"milliCores", cpu}}}, {"runMs", 1000}};
    }

    json sync(int epoch, int sequence, const json &more, std::int64_t now)
    {
        json body{{"owner", "d"}, {"epoch", epoch}, {"sequence", sequence}, {"inventory", true}};
        if (more.is_object()) {
            body.update(more);
        }
        return table->sync(body, now, now, false);
    }

    std::string firstViolation(std::int64_t now)
    {
        const json found = table->log(now).at("violations");
        return found.empty() ? "" : found.at(0).at("kind").get<std::string>();
    }
};

// Guards against a delayed sync request of a previous shard owner that starts tasks.
TEST(TaskTable, RefusesALowerEpoch)
{
    (void)sync(2, 1, {}, 0);
    const json response = sync(1, 9, {{"starts", {task("j", 1)}}}, 1);
    CHECK_TRUE(response.at("refused").get<bool>());
    CHECK_EQUAL(0U, response.at("running").size());
}

// Guards against a worker that runs tasks beyond its capacity unnoticed, for example after a daemon has placed two tasks on the same
// free resources.
TEST(TaskTable, LogsAndFailsAStartOverCapacity)
{
    const json response = sync(1, 1, {{"starts", {task("a", 10000), task("b", 10000)}}}, 0);
    CHECK_EQUAL(1U, response.at("running").size());
    STRCMP_EQUAL("over capacity", firstViolation(0).c_str());
}

// Guards against a retransmitted sync request that runs a task twice.
TEST(TaskTable, StartsARepeatedTaskOnce)
{
    (void)sync(1, 1, {{"starts", {task("a", 1)}}}, 0);
    CHECK_EQUAL(1U, sync(1, 1, {{"starts", {task("a", 1)}}}, 1).at("running").size());
    STRCMP_EQUAL("", firstViolation(1).c_str());
}

// Guards against a second run of a finished task that goes unnoticed. The worker no longer lists the task once its end was
// acknowledged, so only the set of all started tasks reveals it.
TEST(TaskTable, LogsAStartAfterItsEndWasAcknowledged)
{
    (void)sync(1, 1, {{"starts", {task("a", 1)}}}, 0);
    (void)sync(1, 2, {{"acks", {"a/0/1"}}}, 500);
    (void)sync(1, 3, {{"starts", {task("a", 1)}}}, 600);
    STRCMP_EQUAL("started twice", firstViolation(600).c_str());
}

// Guards against an ended task that is no longer reported although its completion is not durable yet.
TEST(TaskTable, ListsAnEndedTaskUntilItIsAcknowledged)
{
    (void)sync(1, 1, {{"starts", {task("a", 1)}}}, 0);
    CHECK_EQUAL(1U, sync(1, 2, {}, 100).at("ended").size());
    CHECK_EQUAL(0U, sync(1, 3, {{"acks", {"a/0/1"}}}, 101).at("ended").size());
}

// Guards against a task of a "move" job that outlives its lease, because it may have been started on another worker by then.
TEST(TaskTable, EndsATaskWhoseLeaseWasNotRenewed)
{
    json leased = task("a", 1);
    leased["runMs"] = 0;
    leased["leaseMs"] = 50;
    (void)sync(1, 1, {{"starts", {leased}}}, 0);
    STRCMP_EQUAL("expired", sync(1, 2, {}, 50).at("ended").at(0).at("outcome").get<std::string>().c_str());
}

// Guards against a start that takes effect after its sender has given it up, on a worker without epochs.
TEST(TaskTable, IgnoresAStartThatArrivedTooLongAgo)
{
    json late = task("a", 1);
    late["voidAfterMs"] = 100;
    const json response = table->sync({{"epoch", 1}, {"inventory", true}, {"starts", {late}}}, 0, 200, false);
    CHECK_EQUAL(0U, response.at("running").size());
}
