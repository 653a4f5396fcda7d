#include "core/admission.h"
#include "fakestore.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace KingCupLadder;

TEST_GROUP(Admission)
{
    TimePoint now{Duration(1000)};
    std::uint64_t lastOp = 1000;
    FakeStore store;
    bool loseReplies = false; ///< Writes take effect, but their replies are lost.
    bool storeDown = false; ///< No operation gets a reply.
    std::vector<StoreTransaction> delayedWrites; ///< Writes sent while the store is down; executeDelayedWrites() executes them late.
    std::vector<StoreTransaction> sent;
    std::vector<CallerAnswer> answers;
    std::vector<JobRecord> stored;
    std::vector<JobStateStored> storedStates;
    std::vector<JobStateRefused> refused;
    AdmissionSettings settings;

    std::unique_ptr<Admission> make(const char *self = "a")
    {
        settings.self = DaemonId(self);
        auto made = Admission::create(
            settings, [this] { return OpId(++lastOp); }, now);
        return std::move(made).value();
    }

    static JobRecord job(const std::string &id, const char *payload = "p")
    {
        JobRecord record;
        record.spec.id = JobId(id);
        record.spec.team = TeamId("t");
        record.spec.payload = payload;
        record.shard = ShardId("pool/d1/0");
        return record;
    }

    StoreReply reply(const StoreTransaction &command)
    {
        sent.push_back(command);
        if (storeDown) {
            delayedWrites.push_back(command);
            return StoreReply{command.op, StoreStatus::Unknown, {}};
        }
        const StoreReply real = store.execute(command);
        return loseReplies ? StoreReply{command.op, StoreStatus::Unknown, {}} : real;
    }

    StoreReply reply(const StoreRead &command)
    {
        return storeDown ? StoreReply{command.op, StoreStatus::Unknown, {}} : store.execute(command);
    }

    void executeDelayedWrites()
    {
        for (const StoreTransaction &command : delayedWrites) {
            (void)store.execute(command);
        }
    }

    void handle(Admission & admission, const AdmissionOutput &output)
    {
        if (const auto *write = std::get_if<StoreTransaction>(&output)) {
            admission.onStoreReply(reply(*write), now);
        } else if (const auto *read = std::get_if<StoreRead>(&output)) {
            admission.onStoreReply(reply(*read), now);
        } else if (const auto *answer = std::get_if<CallerAnswer>(&output)) {
            answers.push_back(*answer);
        } else if (const auto *durable = std::get_if<JobStored>(&output)) {
            stored.push_back(durable->record);
        } else if (const auto *done = std::get_if<JobStateStored>(&output)) {
            storedStates.push_back(*done);
        } else {
            refused.push_back(std::get<JobStateRefused>(output));
        }
    }

    void runFor(Admission & admission, Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += Duration(5)) {
            admission.tick(now);
            for (const AdmissionOutput &output : admission.takeOutputs()) {
                handle(admission, output);
            }
        }
    }

    JobState stateOf(const std::string &id) const
    {
        return JobRecord::fromJson(store.row("jobs", id).value)->state;
    }

    bool isStored(const std::string &id) const
    {
        return store.row("jobs", id).version != RowVersion();
    }
};

// Guards against one transaction per job when many jobs are submitted at the same time and are not batched.
TEST(Admission, WritesJobsOfOneFlushInOneTransaction)
{
    const auto admission = make();
    for (int i = 0; i < 50; ++i) {
        admission->submit(OpId(1), job("j" + std::to_string(i)), now);
    }
    runFor(*admission, Duration(50));
    CHECK_EQUAL(1U, sent.size());
    CHECK_EQUAL(50U, stored.size());
}

// Guards against a transaction that the store rejects because of its size.
TEST(Admission, WritesAtMostTheConfiguredRows)
{
    const auto admission = make();
    for (int i = 0; i < 150; ++i) {
        admission->submit(OpId(1), job("j" + std::to_string(i)), now);
    }
    runFor(*admission, Duration(50));
    CHECK_EQUAL(200U, sent.front().writes.size());
    CHECK_EQUAL(150U, answers.size());
}

// Guards against jobs that are refused because another job in their batch conflicts.
TEST(Admission, StoresTheRestOfABatchWithAConflict)
{
    store.put("jobs", "bad", job("bad", "other").toJson());
    const auto admission = make();
    admission->submit(OpId(1), job("good"), now);
    admission->submit(OpId(2), job("bad"), now);
    runFor(*admission, Duration(50));
    CHECK_TRUE(isStored("good"));
    const auto bad = std::find_if(answers.begin(), answers.end(), [](const CallerAnswer &answer) { return answer.op == OpId(2); });
    CHECK_TRUE(bad->error.kind == ErrorKind::Conflict);
}

// Guards against refusing a repeated submission or running it a second time.
TEST(Admission, AcceptsTheSameSpecAgainAsExisting)
{
    const auto admission = make();
    admission->submit(OpId(1), job("j"), now);
    admission->submit(OpId(2), job("j"), now);
    runFor(*admission, Duration(50));
    CHECK_TRUE(std::get<JobAccepted>(answers.at(1).body).existed);
}

// Guards against running a finished job again when it is submitted a second time.
TEST(Admission, DoesNotForwardAFinishedJobAgain)
{
    JobRecord done = job("j");
    done.state = JobState::Succeeded;
    store.put("jobs", "j", done.toJson());
    const auto admission = make();
    admission->submit(OpId(1), job("j"), now);
    runFor(*admission, Duration(50));
    CHECK_EQUAL(0U, stored.size());
}

// Guards against answering "not run" for a job that was stored, when the reply of the store was lost.
TEST(Admission, AcceptsAStoredJobAfterALostReply)
{
    const auto admission = make();
    loseReplies = true;
    admission->submit(OpId(1), job("j"), now);
    runFor(*admission, Duration(500));
    CHECK_TRUE(answers.at(0).error.kind == ErrorKind::None);
    CHECK_EQUAL(1U, stored.size());
}

// Guards against a caller that waits forever, and against answering "not run" for a write that may still take effect.
TEST(Admission, AnswersUnknownWithinTheTimeoutWhileTheStoreIsDown)
{
    const auto admission = make();
    storeDown = true;
    admission->submit(OpId(1), job("j"), now);
    runFor(*admission, settings.admissionTimeout + Duration(20));
    CHECK_TRUE(answers.at(0).ran == ExecutionStatus::Unknown);
    CHECK_TRUE(answers.at(0).retryAfter > Duration(0));
}

// Guards against a job that is stored by a delayed write but never forwarded to an owner.
TEST(Admission, ForwardsAJobWhoseDelayedWriteArrivesAfterTheAnswer)
{
    const auto admission = make();
    storeDown = true;
    admission->submit(OpId(1), job("j"), now);
    runFor(*admission, Duration(6000));
    storeDown = false;
    executeDelayedWrites();
    runFor(*admission, Duration(5000));
    CHECK_EQUAL(1U, stored.size());
    CHECK_EQUAL(1U, answers.size());
}

// Guards against memory use that grows with every submission during a long outage.
TEST(Admission, KeepsNoExpiredSubmissionThatWasNeverSent)
{
    const auto admission = make();
    storeDown = true;
    admission->submit(OpId(1), job("sent"), now);
    runFor(*admission, Duration(20));
    for (int i = 0; i < 500; ++i) {
        admission->submit(OpId(2), job("j" + std::to_string(i)), now);
    }
    runFor(*admission, Duration(6000));
    // The submissions of lost transactions stay pending. Each loss halves the row limit of the next transaction, so they are fewer than maxRows.
    CHECK_TRUE(admission->pending() <= settings.maxRows);
    CHECK_EQUAL(501U, answers.size());
}

// Guards against losing a completion during an outage, after which the job would run again.
TEST(Admission, KeepsACompletionUntilItIsDurable)
{
    const auto admission = make();
    admission->submit(OpId(1), job("j"), now);
    runFor(*admission, Duration(50));
    storeDown = true;
    admission->updateState(JobId("j"), JobState::Succeeded, "", now);
    runFor(*admission, Duration(60000));
    CHECK_EQUAL(0U, storedStates.size());
    storeDown = false;
    runFor(*admission, Duration(5000));
    CHECK_TRUE(stateOf("j") == JobState::Succeeded);
    CHECK_EQUAL(1U, storedStates.size());
}

// Guards against a leftover queue row that makes a new owner run a finished job.
TEST(Admission, RemovesTheQueueRowWithAFinalState)
{
    store.put("jobs", "j", job("j").toJson());
    store.put("queue", "pool/d1/0/j", "t");
    const auto admission = make();
    admission->updateState(JobId("j"), JobState::Failed, "bad", now);
    runFor(*admission, Duration(100));
    CHECK_TRUE(store.row("queue", "pool/d1/0/j").version == RowVersion());
}

// Guards against two owners that both start a start-once job.
TEST(Admission, LetsOnlyOneOfTwoDaemonsRecordAStart)
{
    store.put("jobs", "j", job("j").toJson());
    const auto a = make("a");
    const auto b = make("b");
    a->updateState(JobId("j"), JobState::Started, "", now);
    runFor(*a, Duration(100));
    b->updateState(JobId("j"), JobState::Started, "", now);
    runFor(*b, Duration(100));
    CHECK_EQUAL(1U, storedStates.size());
    CHECK_EQUAL(1U, refused.size());
}

// Guards against refusing a start to the daemon that recorded it, when the reply was lost.
TEST(Admission, RecognisesItsOwnStartAfterALostReply)
{
    store.put("jobs", "j", job("j").toJson());
    const auto admission = make();
    loseReplies = true;
    admission->updateState(JobId("j"), JobState::Started, "", now);
    runFor(*admission, Duration(500));
    CHECK_EQUAL(1U, storedStates.size());
}

// Guards against a cancellation that replaces the outcome of a finished job.
TEST(Admission, NeverReplacesTheOutcomeOfAFinishedJob)
{
    JobRecord done = job("j");
    done.state = JobState::Succeeded;
    store.put("jobs", "j", done.toJson());
    const auto admission = make();
    admission->updateState(JobId("j"), JobState::Cancelled, "", now);
    runFor(*admission, Duration(100));
    CHECK_TRUE(refused.at(0).stored == JobState::Succeeded);
}

// Guards against a former owner of a shard that records the end of a job which the new owner runs again.
TEST(Admission, RefusesAStateChangeWhoseFenceRowHasChanged)
{
    const auto admission = make();
    admission->submit(OpId(1), job("j"), now);
    runFor(*admission, Duration(100));
    store.put("shards", "pool/d1/0", "new owner");
    // FakeStore gives each write the next version, so the version of the shard row is already higher than 1.
    const RowFence former{"shards", "pool/d1/0", RowVersion(1)};
    admission->updateState(JobId("j"), JobState::Succeeded, "", now, former);
    runFor(*admission, Duration(100));
    LONGS_EQUAL(1, refused.size());
    CHECK_TRUE(refused.front().fenced);
}
