#include "daemon/jobjson.h"
#include "daemon/storecodec.h"
#include "daemon/workercodec.h"
#include "textmutation.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

const char syncText[] = R"({"worker":"w1","accepted":true,"refused":false,"epoch":3,"sequence":4,"supportsEpochs":true,
"capacity":{"milliCores":16000,"memoryMiB":65536,"accelerators":1,"slots":8,"connections":60},"busySlots":2,
"running":[{"job":"t:1","index":0,"attempt":1,"team":"t","route":"r","demand":{"milliCores":500},"usage":{"milliCores":90},"leaseMs":10000}],
"ended":[{"task":{"job":"t:1","index":1,"attempt":2},"outcome":"failed","reason":"exit 1"}]})";

const char rowsText[] = R"({"rows":[{"table":"jobs","key":"a","version":2,"value":"v"}],"more":true})";
const char vmsText[] = R"({"vms":[{"id":"w1","address":"1.2.3.4:5","group":"g","domain":"d","rack":"r","state":"leaving"}]})";

StoreTransaction transaction()
{
    return {OpId(1), {{RowWrite::Kind::Insert, "jobs", "a", {}, "v"}, {RowWrite::Kind::Check, "daemons", "d", RowVersion(5), {}}}};
}

} // namespace

TEST_GROUP(WorkerCodec){};

// Guards against losing the demand of running tasks, from which the committed resources of a worker are rebuilt.
TEST(WorkerCodec, ReadsDemandOfRunningTasks)
{
    const auto reply = decodeSyncReply(WorkerId("w1"), true, syncText);
    LONGS_EQUAL(500, reply->running.at(0).demand.cpu.value());
}

// Guards against losing the results of ended tasks.
TEST(WorkerCodec, ReadsEndedTasks)
{
    const auto reply = decodeSyncReply(WorkerId("w1"), true, syncText);
    CHECK_TRUE(reply->ended.at(0).outcome == TaskOutcome::Failed);
}

// Guards against taking a list of running tasks that may be partial as complete, so that tasks not on it count as stopped.
TEST(WorkerCodec, ListIsNoInventoryUnlessRequested)
{
    CHECK_FALSE(decodeSyncReply(WorkerId("w1"), false, syncText)->inventory);
}

// Guards against counting tasks for the wrong worker after a new VM got the address of an old one.
TEST(WorkerCodec, RejectsAReplyOfAnotherWorker)
{
    CHECK_FALSE(decodeSyncReply(WorkerId("w2"), true, syncText).has_value());
}

// Guards against a reply without a capacity being read as a capacity of zero.
TEST(WorkerCodec, RejectsAReplyWithoutCapacity)
{
    CHECK_FALSE(decodeSyncReply(WorkerId("w1"), true, R"({"worker":"w1","epoch":1,"sequence":1})").has_value());
}

// Guards against start orders without job, index or attempt: the worker could not recognize a retransmission and would start the
// task twice.
TEST(WorkerCodec, WritesTheIdentityOfStarts)
{
    SyncRequest request;
    request.starts.push_back(TaskStart{TaskId{JobId("t:1"), 4, 2}, TeamId("t"), RouteName("r"), {}, Duration(5), Duration(6), Duration(7), "x"});
    const auto start = nlohmann::json::parse(encodeSync(request)).at("starts").at(0);
    STRCMP_EQUAL("t:1/4/2", (start.at("job").get<std::string>() + "/" + start.at("index").dump() + "/" + start.at("attempt").dump()).c_str());
}

// Guards against crashes on malformed input; seed 12.
TEST(WorkerCodec, ToleratesMutatedResponses)
{
    std::mt19937_64 random(12);
    int rejected = 0;
    for (int i = 0; i < 5000; ++i) {
        rejected += decodeSyncReply(WorkerId("w1"), true, mutated(syncText, random)) ? 0 : 1;
    }
    CHECK_TRUE(rejected > 0);
}

TEST_GROUP(StoreCodec){};

// Guards against writes and checks without their expected version, which would not conflict with a newer row.
TEST(StoreCodec, WritesTheExpectedVersion)
{
    LONGS_EQUAL(5, nlohmann::json::parse(encodeTransaction(transaction())).at("writes").at(1).at("version").get<int>());
}

// Guards against reading a conflict as Unknown: the transaction has a definite result and must not be retried.
TEST(StoreCodec, ReadsAConflict)
{
    const auto reply = decodeTransactionReply(transaction(), 409, R"({"ok":false,"rows":[{"table":"jobs","key":"a","version":9,"value":"w"}]})");
    CHECK_TRUE(reply.status == StoreStatus::Conflict);
}

// Guards against reading a conflict as a success or a success as a conflict.
TEST(StoreCodec, StatusAndBodyThatDisagreeAreUnknown)
{
    CHECK_TRUE(decodeTransactionReply(transaction(), 200, R"({"ok":false,"rows":[]})").status == StoreStatus::Unknown);
}

// Guards against accepting the response to another transaction.
TEST(StoreCodec, RowsOfOtherKeysAreUnknown)
{
    CHECK_TRUE(decodeTransactionReply(transaction(), 200, R"({"ok":true,"rows":[{"table":"jobs","key":"b","version":1}]})").status == StoreStatus::Unknown);
}

// Guards against reading a server error as "nothing was written".
TEST(StoreCodec, ServerErrorIsUnknown)
{
    CHECK_TRUE(decodeTransactionReply(transaction(), 500, "{}").status == StoreStatus::Unknown);
}

// Guards against placing new work on VMs that are leaving.
TEST(StoreCodec, ReadsLeavingVms)
{
    CHECK_TRUE(decodeVms(vmsText)->at(0).leaving);
}

// Guards against skipping a malformed entry of the list, after which a live VM would count as gone.
TEST(StoreCodec, RejectsVmsWithoutState)
{
    CHECK_FALSE(decodeVms(R"({"vms":[{"id":"w1","address":"1.2.3.4:5","group":"g","domain":"d","rack":"r"}]})").has_value());
}

// Guards against reading other rows because a key contains "&", which ends a query parameter.
TEST(StoreCodec, EscapesKeysInQueries)
{
    STRCMP_EQUAL("/v1/rows?table=jobs&prefix=a%26b%2F&after=&limit=5", rowsTarget("jobs", "a&b/", {}, 5).c_str());
}

// Guards against crashes on malformed input; seed 13.
TEST(StoreCodec, ToleratesMutatedResponses)
{
    std::mt19937_64 random(13);
    int rejected = 0;
    for (int i = 0; i < 5000; ++i) {
        rejected += decodeRows("jobs", mutated(rowsText, random)) ? 0 : 1;
        rejected += decodeVms(mutated(vmsText, random)) ? 0 : 1;
        rejected += decodeTransactionReply(transaction(), 200, mutated(R"({"ok":true,"rows":[]})", random)).status == StoreStatus::Unknown ? 1 : 0;
    }
    CHECK_TRUE(rejected > 0);
}

TEST_GROUP(JobRequests){};

// Guards against reading the run time in the wrong unit.
TEST(JobRequests, ReadsTheRunTimeWithItsUnit)
{
    LONGS_EQUAL(90000, parseJobRequest(R"({"route":"r","runTime":"90s"})").value().runTime.count());
}

// Guards against accepting a number without a unit, which is ambiguous.
TEST(JobRequests, RejectsARunTimeWithoutUnit)
{
    CHECK_FALSE(parseJobRequest(R"({"route":"r","runTime":"90"})").hasValue());
}

// Guards against accepting jobs without tasks, which would never end.
TEST(JobRequests, RejectsZeroTasks)
{
    CHECK_FALSE(parseJobRequest(R"({"route":"r","tasks":0})").hasValue());
}

// Guards against crashes on malformed input; seed 14.
TEST(JobRequests, ToleratesMutatedBodies)
{
    std::mt19937_64 random(14);
    for (int i = 0; i < 5000; ++i) {
        const auto parsed = parseJobRequest(mutated(R"({"id":"x","route":"r","tasks":3,"demand":{"milliCores":5},"runTime":"90s","payload":"p"})", random));
        if (!parsed.hasValue()) {
            CHECK_FALSE(parsed.reason().remedy.empty());
            continue;
        }
        CHECK_TRUE(parsed.value().tasks > 0);
        const auto spec = makeJobSpec(parsed.value(), Route());
        CHECK_TRUE(spec.hasValue() || !spec.reason().remedy.empty());
    }
}
