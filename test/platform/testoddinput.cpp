// Input that another program wrote, with each of its fields replaced by odd values: what is decoded stays within limits, and the scheduler goes on.
#include "httpgateways.h"
#include "httptablestore.h"
#include "jsonvalue.h"
#include "platformcodec.h"

#include "cell/cellscheduler.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace KingCupLadder;

namespace {

const char oddText[] = "odd value";

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// Odd values as JSON text; some are no valid JSON.
std::vector<std::string> oddValues()
{
    std::vector<std::string> values{"0",
                                    "-1",
                                    "65536",
                                    "2147483648",
                                    "4294967296",
                                    "9007199254740993",
                                    "9223372036854775807",
                                    "-9223372036854775808",
                                    "18446744073709551615",
                                    "18446744073709551616",
                                    "1e18",
                                    "-1e18",
                                    "1e308",
                                    "-1e308",
                                    "1e999",
                                    "0.5",
                                    "-0.0",
                                    "1e-320",
                                    "null",
                                    "true",
                                    "\"\"",
                                    "\"x\"",
                                    "\"-1\"",
                                    "[]",
                                    "{}",
                                    "[[]]",
                                    "[1e308,-1,\"x\",null,{}]",
                                    "{\"cpu\":1e308}",
                                    "\"\\u0000\"",
                                    "\"a\\r\\nb\"",
                                    "\"\\ud800\"",
                                    "\"\xff\xfe\"",
                                    "nan",
                                    "",
                                    "\"10.0.0.1:0\"",
                                    "\"10.0.0.1:65536\"",
                                    "\"10.0.0.1:-1\"",
                                    "\"10.0.0.1:99999999999999999999\"",
                                    "\"[::1]:80\"",
                                    "\"10.0.0.1:80\\r\\nX: y\""};
    values.push_back(std::string(400, '9'));
    values.push_back("\"" + std::string(70000, 'x') + "\"");
    values.push_back(nested(20000));
    values.push_back("{\"a\":" + nested(maxJsonDepth / 2) + "}");
    return values;
}

/// Returns the document once for each field and each odd value, with that value in place of that field.
std::vector<std::string> withOddFields(const std::string &text)
{
    const nlohmann::json document = *parseJson(text);
    std::vector<std::string> variants;
    std::vector<nlohmann::json::json_pointer> fields{nlohmann::json::json_pointer()};
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const nlohmann::json::json_pointer field = fields[i];
        for (const auto &[key, value] : document[field].items()) {
            if (document[field].is_structured()) {
                fields.push_back(document[field].is_array() ? field / static_cast<std::size_t>(std::stoul(key)) : field / key);
            }
        }
        nlohmann::json marked = document;
        marked[field] = oddText;
        const std::string encoded = marked.dump();
        const std::size_t at = encoded.find(std::string("\"") + oddText + "\"");
        for (const std::string &odd : oddValues()) {
            variants.push_back(encoded.substr(0, at) + odd + encoded.substr(at + sizeof(oddText) + 1));
        }
    }
    return variants;
}

const char workerEntry[] = R"({"backend":"desk","machine":"m-1","address":"10.128.0.9:8080","zone":"a","state":"draining","remaining_ms":5,"sequence":4,)"
                           R"("born":1700000000001,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"]})";
const char holdAnswer[] = R"({"clock_ms":9,"born":77,"running":[["5c0e7a21d94b36f8.0.0.1",2,"c",41,900]],)"
                          R"("finished":[[5,"5c0e7a21d94b36f8.0.0.2",1,"done","c"]]})";
const char jobBody[] = R"({"spec":"t","steps":[{"count":4,"cpu":500,"mem_mb":20,"gpu":1,"estimate_ms":900,"requirements":"a","data_rack":"r"},)"
                       R"({"count":2,"after":[0],"gang":true,"anti_affinity":2,"target_ms":5,"may_miss":1}],)"
                       R"("repeat_count":3,"interval_ms":1000,"first_run_ms":1700000000000})";
const char config[] = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","backend":"desk","priority":1,"attempts":3,"stretch":2,)"
                      R"("target_latency_ms":300,"public":true,"advice":{"decision_ms":1.5,"period_ms":2,"validity_ms":2000}}],"services":[{"name":"desk"}],)"
                      R"("tenants":[{"name":"t","api_keys":["k"],"weight":4,"maximum":{"cpu":4000,"mem_mb":500,"gpu":6}}]})";

ClientResult answered(const std::string &body)
{
    ClientResult result;
    result.kind = ClientResult::Kind::Answered;
    result.byteSent = true;
    result.response.status = 200;
    result.response.body = body;
    return result;
}

bool isWithinLimits(const Resources &resources)
{
    const auto isValid = [](std::int64_t amount) { return amount >= 0 && amount <= maxResourceAmount; };
    return isValid(resources.cpu.value()) && isValid(resources.memory.value()) && isValid(resources.accelerators.value());
}

/// Decodes a job's body as callers send it. Returns an empty value if the job is refused.
std::optional<CellJob> acceptedJob(const std::string &body, const std::string &id = "5c0e7a21d94b36f8")
{
    auto decoded = decodeJobBody(body);
    if (!decoded) {
        return std::nullopt;
    }
    CellJob job = decoded.value();
    job.id = JobId(id);
    job.route = RouteName("r");
    job.workspace = WorkspaceId("t");
    return checkJob(job) ? std::optional<CellJob>(job) : std::nullopt;
}

} // namespace

TEST_GROUP(OddInput)
{
    const std::int64_t unixNow = 1700000000000;
    TimePoint now{Duration(1000000)};
    std::unique_ptr<CellScheduler> scheduler = std::make_unique<CellScheduler>(CellSchedulerSettings());
    std::vector<WorkerInfo> registry;

    void lead(const std::string &configText = config)
    {
        auto decoded = decodeConfigRow(configText);
        if (decoded) {
            auto read = std::make_shared<CellConfig>(decoded.value());
            read->buildIndexes();
            scheduler->setConfig(read, now);
        }
        scheduler->setAdviceDaemons({DaemonId("d")});
        scheduler->beginEpoch(Epoch(1), now);
        scheduler->finishLoading(now);
    }

    void addSoundWorker()
    {
        std::string entry = workerEntry;
        entry.replace(entry.find("draining"), 8, "ready");
        registry.push_back(*decodeWorkerRow("sound", entry));
    }

    /// Ticks for some time. The sound worker answers each call with @p answer, others do not answer. Returns the number of starts on the sound worker.
    int runScheduler(const std::string &answer)
    {
        int starts = 0;
        for (std::int64_t i = 0; i < 100; ++i) {
            now += Duration(10);
            const CellTime time{now, unixNow + i * 10};
            if (i % 50 == 0) {
                scheduler->onRegistry(registry, time);
            }
            scheduler->onLeadershipRenewed(now);
            const CellOrders orders = scheduler->tick(time);
            for (const StartOrder &order : orders.starts) {
                starts += order.worker == WorkerId("sound") ? 1 : 0;
                scheduler->onStartAnswer(order, decodeOrderAnswer(answered(answer)), time);
            }
            for (const HoldOrder &order : orders.holds) {
                const auto reply = order.worker == WorkerId("sound") ? decodeHoldAnswer(answered(answer), order.incarnation) : std::nullopt;
                scheduler->onHoldAnswer(order, reply ? &*reply : nullptr, now, time);
            }
            for (const AdviceCall &call : orders.advice) {
                AdviceAnswer advice;
                advice.answered = true;
                advice.validity = Duration(2000);
                for (const WorkerId &worker : call.workers) {
                    advice.allowed.emplace_back(worker, "ticket");
                }
                scheduler->onAdvice(call.id, advice, now, now);
            }
            scheduler->onWorkersStored(orders.workersToStore, true);
        }
        (void)scheduler->describeLoad(now);
        return starts;
    }
};

// Guards against a worker of absurd capacity, or with an id that can't be sent in a header, so that its calls reach another worker.
TEST(OddInput, WorkersStayWithinLimits)
{
    for (const std::string &entry : withOddFields(workerEntry)) {
        const auto worker = decodeWorkerRow("w", entry);
        if (worker) {
            CHECK_TRUE(isWithinLimits(worker->capacity));
            CHECK_TRUE(worker->remaining >= Duration(0) && worker->remaining <= Duration(std::chrono::hours(24)));
            CHECK_TRUE(worker->incarnation.value() <= static_cast<std::uint64_t>(maxExactInteger));
        }
    }
    for (const char *key : {"", "w\r\nX: y", "w ", "\x7f", "\xc3\xa9"}) {
        CHECK_FALSE(decodeWorkerRow(key, workerEntry).has_value());
    }
}

// Guards against using a worker whose capacity another writer has damaged: a number that is too large counted as zero.
TEST(OddInput, AWorkerWithAnAbsurdCapacityIsNotUsed)
{
    for (const char *amount : {"18446744073709551615", "1e308", "-1", "\"16000\"", "[16000]", "2000000000"}) {
        std::string entry = workerEntry;
        entry.replace(entry.find("16000"), 5, amount);
        CHECK_FALSE(decodeWorkerRow("w", entry).has_value());
    }
}

// Guards against a daemon that ends, or stops scheduling, because of one odd entry among those of the workers.
TEST(OddInput, OddEntriesLeaveTheOthersInUse)
{
    int id = 0;
    for (const std::string &entry : withOddFields(workerEntry)) {
        if (auto worker = decodeWorkerRow("odd-" + std::to_string(++id), entry)) {
            registry.push_back(*worker);
        }
    }
    CHECK_TRUE(registry.size() > 100);
    addSoundWorker();
    lead();
    (void)scheduler->submit(*acceptedJob(jobBody), CellTime{now, unixNow});
    scheduler->onJobStored(*acceptedJob(jobBody), CellTime{now, unixNow});
    CHECK_TRUE(runScheduler(R"({"clock_ms":9,"running":[],"finished":[]})") > 0);
}

// Guards against overflows in what is calculated from a worker's answers.
TEST(OddInput, AnswersOfWorkersStayWithinLimits)
{
    for (const std::string &body : withOddFields(holdAnswer)) {
        const auto reply = decodeHoldAnswer(answered(body), WorkerIncarnation(1));
        if (!reply) {
            continue;
        }
        CHECK_TRUE(reply->clock >= 0 && reply->clock <= maxExactInteger);
        for (const RunningEntry &entry : reply->running) {
            CHECK_TRUE(entry.percent >= 0 && entry.percent <= 100 && entry.load >= 0);
            CHECK_TRUE(entry.checkpoint.size() < 65536);
        }
    }
}

// Guards against a scheduler that stops, or hangs, because a worker answers oddly.
TEST(OddInput, OddAnswersLeaveTheSchedulerRunning)
{
    for (const std::string &body : withOddFields(holdAnswer)) {
        scheduler = std::make_unique<CellScheduler>(CellSchedulerSettings());
        registry.clear();
        addSoundWorker();
        lead();
        scheduler->onJobStored(*acceptedJob(jobBody), CellTime{now, unixNow});
        (void)runScheduler(body);
    }
}

// Guards against an end that is never acknowledged, because its task is none of ours, and that fills the worker's list together with others.
TEST(OddInput, EndsOfUnknownTasksAreRead)
{
    const auto reply = decodeHoldAnswer(answered(R"({"clock_ms":9,"running":[],"finished":[[5,"no task",1,"done",""]]})"), WorkerIncarnation(1));
    CHECK_EQUAL(1U, reply->ended.size());
    CHECK_TRUE(reply->ended[0].task.step.job.isEmpty());
}

// Guards against overflows in what is calculated from a caller's job, such as the predicted wait of all later jobs.
TEST(OddInput, OddJobsAreRefusedOrLeaveTheSchedulerRunning)
{
    int accepted = 0;
    for (const std::string &body : withOddFields(jobBody)) {
        const auto job = acceptedJob(body);
        if (!job) {
            continue;
        }
        ++accepted;
        for (const StepSpec &step : job->steps) {
            CHECK_TRUE(isWithinLimits(step.demand));
            CHECK_TRUE(step.estimate >= Duration(1) && step.estimate <= maxEstimate);
        }
        scheduler = std::make_unique<CellScheduler>(CellSchedulerSettings());
        registry.clear();
        addSoundWorker();
        lead();
        (void)scheduler->submit(*job, CellTime{now, unixNow});
        scheduler->onJobStored(*job, CellTime{now, unixNow});
        (void)runScheduler(R"({"clock_ms":9,"running":[],"finished":[]})");
        const CellJob sound = *acceptedJob(jobBody, "000000000000000b");
        const AdmissionDecision decision = scheduler->submit(sound, CellTime{now, unixNow});
        CHECK_TRUE(decision.retryAfter >= Duration(0));
    }
    CHECK_TRUE(accepted > 100);
}

// Guards against a job whose demand is too large for the type of the amount, which counted as zero.
TEST(OddInput, JobsWithAbsurdAmountsAreRefused)
{
    for (const char *cpu : {"18446744073709551615", "1e308", "-1", "2000000000"}) {
        std::string body = jobBody;
        body.replace(body.find("500"), 3, cpu);
        CHECK_FALSE(acceptedJob(body).has_value());
    }
    for (const char *occurrences : {"1000001", "18446744073709551615"}) {
        std::string body = jobBody;
        body.replace(body.find("\"repeat_count\":3") + 15, 1, occurrences);
        CHECK_FALSE(acceptedJob(body).has_value());
    }
}

// Guards against a configuration with odd values that ends the daemon.
TEST(OddInput, OddConfigurationsLeaveTheSchedulerRunning)
{
    for (const std::string &text : withOddFields(config)) {
        scheduler = std::make_unique<CellScheduler>(CellSchedulerSettings());
        registry.clear();
        addSoundWorker();
        lead(text);
        scheduler->onJobStored(*acceptedJob(jobBody), CellTime{now, unixNow});
        (void)runScheduler(R"({"clock_ms":9,"running":[],"finished":[]})");
    }
}

TEST(OddInput, OtherDecodersAcceptOddValues)
{
    for (const std::string &body : withOddFields(R"({"good":[["w","t"]],"validity_ms":3000})")) {
        const AdviceAnswer answer = decodeAdviceAnswer(answered(body));
        CHECK_TRUE(answer.validity >= Duration(0) && answer.validity <= Duration(std::chrono::hours(1)));
    }
    for (const std::string &body : withOddFields(R"({"rows":[{"table":"t","part":"","key":"k","value":"aGFsbG8=","ver":3}],"ver":4,"truncated":false})")) {
        (void)decodeStoreAnswer(answered(body), true);
    }
    for (const char *deadline : {"9223372036854775807", "99999999999999999999", "-1", "x", "1e9"}) {
        HttpRequest request;
        request.headers.emplace_back("X-Deadline-Ms", deadline);
        CHECK_TRUE(parseCallerHeaders(request).callerTimeout <= Duration(std::chrono::hours(1)));
    }
}

// Guards against a body of a few hundred kilobytes that takes many megabytes of memory, one for each of its levels.
TEST(OddInput, TextsThatAreNestedTooDeepAreNotParsed)
{
    CHECK_TRUE(parseJson(nested(maxJsonDepth)).has_value());
    CHECK_FALSE(parseJson(nested(maxJsonDepth + 1)).has_value());
    CHECK_FALSE(parseJson(nested(500000)).has_value());
    const std::string brackets(1000, '[');
    CHECK_TRUE(parseJson("\"" + brackets + "\"").has_value());
    CHECK_TRUE(parseJson("[\"\\\"" + brackets + "\"]").has_value());
}

TEST(OddInput, OnlyHexadecimalIdsNameJobs)
{
    const PlatformCodec codec = platformCodec();
    CHECK_TRUE(codec.isJobId("5c0e7a21d94b36f8"));
    for (const char *text : {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5c0e7a21d94b.6f8", "5c0e7a21d94b36f\xff", "../../../../../x"}) {
        CHECK_FALSE(codec.isJobId(text));
    }
}
