#include "bootfile.h"
#include "httpgateways.h"
#include "httptablestore.h"
#include "platformcodec.h"

#include "core/backoff.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

ClientResult answered(int status, const std::string &body)
{
    ClientResult result;
    result.kind = ClientResult::Kind::Answered;
    result.byteSent = true;
    result.response.status = status;
    result.response.body = body;
    return result;
}

const char workerEntry[] = R"({"backend":"desk","address":"10.128.0.9:8080","zone":"a","state":"ready","sequence":4,"born":1700000000001,)"
                           R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"]})";
const char bootText[] = R"({"node":"edge-a-1","ip":"10.1.0.17","zone":"a","limits":{"cpu_share":0.25,"cores":1},)"
                        R"("listen_addrs":{"frontend_addr":"10.1.0.17:8183","readiness_addr":"10.1.0.17:8184"},"internal_ports":[7420,7435],)"
                        R"("bounds":{"revoke_ms":5000,"max_hold_ms":6000,"grace_s":6},"platform":{"address":"10.200.1.7:8182"},"advice":"10.200.1.9:8182"})";

} // namespace

TEST_GROUP(PlatformDecoders){};

// Guards against limits for callers that the operator sets without effect.
TEST(PlatformDecoders, ReadsTheLimitsForCallers)
{
    const auto config = decodeConfigRow(R"({"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":9000}})");
    const CallerLimits &limits = config.value().callerLimits;
    CHECK_TRUE(limits.maxHeaderBytes == 16384 && limits.maxBodyBytes == 262144);
    CHECK_TRUE(limits.headerTimeout == Duration(3000) && limits.idleTimeout == Duration(9000));
}

// Guards against limits of zero or of another type, with which no caller would be served.
TEST(PlatformDecoders, ReplacesOddLimitsForCallersByDefaults)
{
    const CallerLimits defaults;
    for (const char *odd : {"0", "-1", "\"many\"", "1e300", "[]"}) {
        const std::string value = odd;
        const auto config = decodeConfigRow(R"({"limits":{"max_header_bytes":)" + value + R"(,"max_body_bytes":)" + value + R"(,"header_timeout_ms":)" + value
                                            + R"(,"idle_timeout_ms":)" + value + "}}");
        const CallerLimits &limits = config.value().callerLimits;
        CHECK_TRUE(limits.maxHeaderBytes == defaults.maxHeaderBytes && limits.maxBodyBytes == defaults.maxBodyBytes);
        CHECK_TRUE(limits.headerTimeout == defaults.headerTimeout && limits.idleTimeout == defaults.idleTimeout);
    }
}

// Guards against bounds for callers that do not follow the machine's memory and descriptors.
TEST(PlatformDecoders, DerivesTheBudgetForCallersFromTheMachine)
{
    std::string text = bootText;
    text.replace(text.find("\"cores\":1"), 9, R"("cores":1,"memory_mb":120,"max_fds":3075)");
    const auto boot = decodeBootFile(text, Incarnation(1));
    LONGS_EQUAL(120 * 1024 * 1024 / 16, boot.value().node.callerBudget.maxBytes);
    LONGS_EQUAL(1025, boot.value().node.callerBudget.maxConnections);
    CHECK_TRUE(boot.value().warnings.empty());
}

// Guards against odd values in the settings file that leave no room for callers, or are replaced silently.
TEST(PlatformDecoders, ReplacesOddLimitsOfTheMachineByDefaults)
{
    std::string text = bootText;
    text.replace(text.find("\"cores\":1"), 9, R"("cores":1,"memory_mb":0,"max_fds":"many")");
    const auto boot = decodeBootFile(text, Incarnation(1));
    LONGS_EQUAL(ConnectionBudget().maxBytes, boot.value().node.callerBudget.maxBytes);
    LONGS_EQUAL(ConnectionBudget().maxConnections, boot.value().node.callerBudget.maxConnections);
    LONGS_EQUAL(2, boot.value().warnings.size());
}

// Guards against losing a constraint of a step when it is decoded.
TEST(PlatformDecoders, ReadsEveryFieldOfAStep)
{
    const auto job = decodeJobBody(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1-3"},)"
                                   R"({"count":20,"cpu":2000,"after":[0],"checkpointing":true,"gang":true,"anti_affinity":2,"speculative":true}]})");
    CHECK_TRUE(job.hasValue());
    STRCMP_EQUAL("r1-3", job.value().steps[0].preferredRack.c_str());
    CHECK_EQUAL(2000, job.value().steps[1].demand.cpu.value());
    CHECK_EQUAL(2, job.value().steps[1].maxPerWorker);
    CHECK_TRUE(job.value().steps[1].gang && job.value().steps[1].checkpointing && job.value().steps[1].speculative);
    CHECK_TRUE(checkJob([&] {
        CellJob named = job.value();
        named.id = JobId("x");
        return named;
    }()));
}

// Guards against a large count that wraps around to a small number.
TEST(PlatformDecoders, RefusesAnEnormousCount)
{
    auto job = decodeJobBody(R"({"steps":[{"count":4294967297}]})").value();
    job.id = JobId("x");
    CHECK_FALSE(checkJob(job).hasValue());
}

// Guards against using a worker whose registry entry another writer corrupted.
TEST(PlatformDecoders, IgnoresRegistryEntriesThatDescribeNoUsableWorker)
{
    CHECK_TRUE(decodeWorkerRow("w", workerEntry).has_value());
    for (const char *damaged : {"", "[]", "{}", "\xff\xfe", R"({"backend":7,"address":"10.128.0.9:8080"})"}) {
        CHECK_FALSE(decodeWorkerRow("w", damaged).has_value());
    }
    std::string unknownState = workerEntry;
    unknownState.replace(unknownState.find("\"ready\""), 7, "\"asleep\"");
    CHECK_FALSE(decodeWorkerRow("w", unknownState).has_value());
}

// Guards against a worker that is never used, or a crash, because of an odd time until it is warm.
TEST(PlatformDecoders, ReadsHowLongAWorkerIsCold)
{
    const auto coldRemaining = [](const std::string &value) {
        return decodeWorkerRow("w", R"({"cold_remaining_ms":)" + value + "," + std::string(workerEntry).substr(1)).value().coldRemaining;
    };
    CHECK_TRUE(coldRemaining("2400") == Duration(2400));
    for (const char *odd : {"-1", "1e308", "18446744073709551615", "\"soon\"", "null", "[1]"}) {
        CHECK_TRUE(coldRemaining(odd) == Duration(0));
    }
}

// Guards against an evacuation that has no effect because of an odd value, and against a row that evacuates something else than its key says.
TEST(PlatformDecoders, ReadsTheDomainOfAnEvacuationFromItsKey)
{
    STRCMP_EQUAL("z0", decodeEvacuationRow("evacuate/z0", "{}")->domain.value().c_str());
    CHECK_FALSE(decodeEvacuationRow("evacuate/z0", "[").value().isValueValid);
    for (const std::string &key : {std::string("evacuate/"), std::string("config"), std::string("evacuate/a\nb"), "evacuate/" + std::string(300, 'x')}) {
        CHECK_FALSE(decodeEvacuationRow(key, "{}").has_value());
    }
}

// Guards against treating successive workers on one VM as workers on different VMs.
TEST(PlatformDecoders, ReadsTheVmOfAWorker)
{
    std::string withVm = workerEntry;
    withVm.replace(0, 1, R"({"machine":"m-64080",)");
    const auto worker = decodeWorkerRow("w", withVm);
    CHECK_TRUE(worker.has_value());
    STRCMP_EQUAL("m-64080", worker->vm.value().c_str());
}

// Guards against losing a worker whose registry entry names no VM.
TEST(PlatformDecoders, AcceptsAWorkerWithoutAVm)
{
    for (const char *unnamed : {"{", R"({"machine":null,)", R"({"machine":7,)"}) {
        std::string entry = workerEntry;
        entry.replace(0, 1, unnamed);
        const auto worker = decodeWorkerRow("w", entry);
        CHECK_TRUE(worker.has_value());
        CHECK_TRUE(worker->vm.isEmpty());
    }
}

// Guards against attributing a run to the wrong task, because fields of its name are confused or a malformed name is accepted.
TEST(PlatformDecoders, ReadsTaskNames)
{
    const auto task = decodeTaskName("5c0e7a21d94b36f8.0.1.17");
    CHECK_TRUE(task.has_value());
    STRCMP_EQUAL("5c0e7a21d94b36f8.0.1.17", task->text().c_str());
    for (const char *malformed : {"", "a", "a.1.2", "a.1.2.x", "a.-1.2.3", ".1.2.3", "a.1.2.3.4"}) {
        CHECK_FALSE(decodeTaskName(malformed).has_value());
    }
}

// Guards against treating an unanswered start as refused.
TEST(PlatformDecoders, DistinguishesRefusedOrdersFromUnansweredOnes)
{
    ClientResult lost;
    lost.kind = ClientResult::Kind::TimedOut;
    lost.byteSent = true;
    CHECK_TRUE(decodeOrderAnswer(lost).outcome == OrderOutcome::NoAnswer);
    CHECK_TRUE(decodeOrderAnswer(answered(409, R"({"clock_ms":5,"reason":"fence"})")).outcome == OrderOutcome::StaleFencingToken);
    CHECK_TRUE(decodeOrderAnswer(answered(409, R"({"reason":"ticket"})")).outcome == OrderOutcome::InvalidTicket);
    CHECK_TRUE(decodeOrderAnswer(answered(503, "")).outcome == OrderOutcome::Unhealthy);
    CHECK_TRUE(decodeOrderAnswer(answered(421, "")).outcome == OrderOutcome::OtherIncarnation);
}

// Guards against reporting NotApplied for a write whose answer was lost.
TEST(PlatformDecoders, DistinguishesRefusedWritesFromUnansweredOnes)
{
    ClientResult lost;
    lost.byteSent = true;
    CHECK_TRUE(decodeStoreAnswer(lost, true).outcome == StoreOutcome::Unknown);
    lost.byteSent = false;
    CHECK_TRUE(decodeStoreAnswer(lost, true).outcome == StoreOutcome::NotApplied);
    CHECK_TRUE(decodeStoreAnswer(answered(503, ""), true).outcome == StoreOutcome::NotApplied);
    CHECK_TRUE(decodeStoreAnswer(answered(200, "{"), true).outcome == StoreOutcome::Unknown);
    CHECK_TRUE(decodeStoreAnswer(answered(410, ""), false).outcome == StoreOutcome::HistoryTruncated);
    CHECK_TRUE(decodeStoreAnswer(answered(412, R"({"rows":[],"ver":4})"), true).outcome == StoreOutcome::Conflict);
}

// Guards against values that are truncated at a zero byte or at the padding.
TEST(PlatformDecoders, RoundTripsBytesThroughBase64)
{
    for (std::size_t length = 0; length < 20; ++length) {
        std::string bytes(length, '\0');
        for (std::size_t i = 0; i < length; ++i) {
            bytes[i] = static_cast<char>(i * 37);
        }
        const auto back = decodeBase64(encodeBase64(bytes));
        CHECK_TRUE(back.has_value());
        CHECK_TRUE(*back == bytes);
    }
}

// Guards against processing ends out of order. Acknowledging an end lets the worker drop all ends with lower numbers.
TEST(PlatformDecoders, SortsEndsByTheirNumbers)
{
    const auto holdReply = decodeHoldAnswer(
        answered(200, R"({"clock_ms":9,"born":77,"running":[["a.0.0.1",2,"c",41,900]],"finished":[[5,"a.0.0.2",1,"done",""],[4,"a.0.0.3",1,"failed",""]]})"),
        WorkerIncarnation(1));
    CHECK_TRUE(holdReply.has_value());
    CHECK_EQUAL(4U, holdReply->ended[0].number.value());
    CHECK_EQUAL(77U, holdReply->incarnation.value());
    CHECK_TRUE(holdReply->ended[1].end == RunEnd::Succeeded);
}

// Guards against taking a full list of ends for a complete one. The worker keeps later ends to itself until these are acknowledged.
TEST(PlatformDecoders, TellsThatAFullListMayOmitEnds)
{
    const auto repliesWith = [](std::size_t ends) {
        std::string rows;
        for (std::size_t i = 1; i <= ends; ++i) {
            rows += (i > 1 ? ",[" : "[") + std::to_string(i) + R"(,"a.0.0.1",1,"done",""])";
        }
        return decodeHoldAnswer(answered(200, R"({"clock_ms":9,"running":[],"finished":[)" + rows + "]}"), WorkerIncarnation(1));
    };
    CHECK_FALSE(repliesWith(maxEndsPerReply - 1)->mayOmitEnds);
    CHECK_TRUE(repliesWith(maxEndsPerReply)->mayOmitEnds);
}

// Guards against a daemon that starts with settings that lack a required address or are not JSON.
TEST(PlatformDecoders, ChecksTheBootFile)
{
    const auto boot = decodeBootFile(bootText, Incarnation(3));
    CHECK_TRUE(boot.hasValue());
    STRCMP_EQUAL("10.1.0.17:7420", boot.value().node.self.peerAddress.c_str());
    CHECK_EQUAL(250, boot.value().node.self.cpu.value());
    CHECK_FALSE(decodeBootFile("{}", Incarnation(3)).hasValue());
    CHECK_FALSE(decodeBootFile("not json", Incarnation(3)).hasValue());
}

// Guards against waits for a place with a factor that the platform never set, and against a rack that is read from the wrong label.
TEST(PlatformDecoders, ReadsWhatLocalityIsWorth)
{
    const auto factor = [](const std::string &bound) {
        std::string text = bootText;
        text.insert(text.find("\"bounds\":{") + 10, bound);
        return decodeBootFile(text, Incarnation(3)).value().node.leaderController.scheduler.spreadFactor;
    };
    DOUBLES_EQUAL(1.5, factor("\"spread_factor\":1.5,"), 0);
    DOUBLES_EQUAL(1, factor(""), 0);
    DOUBLES_EQUAL(1, factor("\"spread_factor\":-3,"), 0);
    STRCMP_EQUAL("r1-3", decodeWorkerRow("w", workerEntry)->rack.c_str());
}

TEST_GROUP(PlatformFuzz){
    /// Deletes, overwrites and duplicates bytes of @p text, and inserts huge numbers.
    static std::string mutate(std::string text, RandomSource &random){
        for (std::uint64_t change = random.below(4) + 1; change > 0 && !text.empty(); --change){const std::size_t at = random.below(text.size());
switch (random.below(4)) {
case 0:
    text.erase(at, random.below(8) + 1);
    break;
case 1:
    text[at] = static_cast<char>(random.below(256));
    break;
case 2:
    text.insert(at, text.substr(at, random.below(16)));
    break;
default:
    text.insert(at, "-99999999999999999999");
    break;
}
}
return text;
}
}
;

// Guards against crashes on malformed input from the store or from callers.
TEST(PlatformFuzz, EveryDecoderSurvivesMalformedInput)
{
    RandomSource random(20261204);
    const std::string job = R"({"spec":"t","steps":[{"count":4,"cpu":500,"after":[0],"estimate_ms":900}],"repeat_count":3})";
    const std::string config = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","priority":1,"attempts":3,"advice":{"decision_ms":1.5}}],)"
                               R"("services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["k"],"maximum":{"cpu":4}}]})";
    const std::string hold = R"({"clock_ms":9,"running":[["a.0.0.1",2,"c",41]],"finished":[[5,"a.0.0.2",1,"done",""]]})";
    const std::string rows = R"({"rows":[{"table":"t","part":"","key":"k","value":"aGFsbG8=","ver":3}],"ver":4,"truncated":false})";
    for (int i = 0; i < 3000; ++i) {
        if (auto decoded = decodeJobBody(mutate(job, random))) {
            CellJob named = decoded.value();
            named.id = JobId("x");
            CHECK_TRUE(!checkJob(named) || (named.steps[0].count > 0 && named.steps[0].count <= maxTasksPerStep));
        }
        if (auto decoded = decodeConfigRow(mutate(config, random))) {
            decoded.value().buildIndexes();
            CHECK_TRUE(decoded.value().findRoute("nowhere", "/") == nullptr);
        }
        (void)decodeWorkerRow("w", mutate(workerEntry, random));
        (void)decodeHoldAnswer(answered(200, mutate(hold, random)), WorkerIncarnation(1));
        (void)decodeOrderAnswer(answered(409, mutate(R"({"clock_ms":5,"reason":"fence"})", random)));
        (void)decodeAdviceAnswer(answered(200, mutate(R"({"good":[["w","t"]],"validity_ms":3000})", random)));
        (void)decodeStoreAnswer(answered(200, mutate(rows, random)), true);
        (void)decodeBootFile(mutate(bootText, random), Incarnation(1));
    }
}
