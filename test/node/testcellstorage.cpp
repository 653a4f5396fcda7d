#include "eventloophelpers.h"
#include "memorytablestore.h"
#include "node/cellstorage.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

CellJob twoStepJob(const std::string &id)
{
    CellJob job;
    job.id = JobId(id);
    job.route = RouteName("batch");
    job.workspace = WorkspaceId("museum");
    job.payload = std::string("bytes \0 and more", 16);
    job.steps.resize(2);
    job.steps[1].after = {0};
    job.steps[1].gang = true;
    job.steps[1].count = 3;
    return job;
}

} // namespace

TEST_GROUP(CellStorage)
{
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create()).value();
    MemoryTableStore store{*loop};
    CellStorage storage{*loop, store};

    void runUntil(const bool &done)
    {
        KingCupLadder::runUntil(
            *loop, [&done] { return done; }, Duration(3000));
    }

    AdmitOutcome admit(const CellJob &job, Duration timeout = Duration(500))
    {
        AdmitOutcome result = AdmitOutcome::Unknown;
        bool done = false;
        storage.admit(job, loop->now() + timeout, [&](AdmitOutcome outcome) {
            result = outcome;
            done = true;
        });
        runUntil(done);
        CHECK_TRUE(done);
        return result;
    }

    std::vector<WorkerRecord> readWorkers()
    {
        std::vector<WorkerRecord> records;
        bool done = false;
        storage.readWorkers([&](bool, const std::vector<WorkerRecord> &all) {
            records = all;
            done = true;
        });
        runUntil(done);
        return records;
    }

    bool writeWorkers(std::uint64_t epoch, const std::string &id)
    {
        bool stored = false;
        bool done = false;
        storage.writeWorkers(Epoch(epoch), {WorkerRecord{WorkerId(id), false, {}}}, [&](bool wasStored) {
            stored = wasStored;
            done = true;
        });
        runUntil(done);
        return stored;
    }

    StoredState readState(const std::string &id)
    {
        StoredState result;
        bool done = false;
        storage.readState(JobId(id), Duration(500), [&](const StoredState &state) {
            result = state;
            done = true;
        });
        runUntil(done);
        return result;
    }

    void storeProgress(const std::string &id, CellJobState state, bool &stored, CellJobState &existingFinalState)
    {
        ProgressWrite progress;
        progress.job = JobId(id);
        progress.revision = 1;
        progress.progress.finalState = state;
        progress.progress.workspace = WorkspaceId("museum");
        bool done = false;
        storage.writeProgress({progress}, 1, [&](const ProgressWrite &, bool ok, CellJobState final) {
            stored = ok;
            existingFinalState = final;
            done = true;
        });
        runUntil(done);
    }
};

// Guards against jobs that are lost when the store's rates in the settings change, since the number of partitions was derived from these (review case
// 13): a daemon with other settings looks for their rows in other partitions.
TEST(CellStorage, KeepsThePartitionsThatTheFirstDaemonHasStored)
{
    bool isFirstReady = false;
    storage.resolvePartitions([&isFirstReady] { isFirstReady = true; });
    runUntil(isFirstReady);
    CHECK_TRUE(admit(twoStepJob("0123456789abcdef")) == AdmitOutcome::Stored);
    CellStorage later(*loop, store, 7);
    bool isLaterReady = false;
    later.resolvePartitions([&isLaterReady] { isLaterReady = true; });
    runUntil(isLaterReady);
    StoredState found;
    bool done = false;
    later.readState(JobId("0123456789abcdef"), Duration(500), [&](const StoredState &state) {
        found = state;
        done = true;
    });
    runUntil(done);
    CHECK_TRUE(found.state == CellJobState::Pending);
}

// Guards against daemons that start at the same time and each use their own number of partitions.
TEST(CellStorage, AdoptsThePartitionsOfADaemonThatWasFaster)
{
    CellStorage other(*loop, store, 7);
    int ready = 0;
    storage.resolvePartitions([&ready] { ++ready; });
    other.resolvePartitions([&ready] { ++ready; });
    KingCupLadder::runUntil(
        *loop, [&ready] { return ready == 2; }, Duration(3000));
    for (const char *id : {"a", "b", "c", "d", "e", "f"}) {
        STRCMP_EQUAL(storage.partitionOf(JobId(id)).c_str(), other.partitionOf(JobId(id)).c_str());
    }
}

// Guards against a daemon that never serves requests because the first calls to the store failed, or took effect without an answer.
TEST(CellStorage, ResolvesThePartitionsAfterFailures)
{
    store.readOutcomes = {StoreOutcome::NotApplied};
    store.writeOutcomes = {StoreOutcome::Unknown};
    bool done = false;
    storage.resolvePartitions([&done] { done = true; });
    runUntil(done);
    CHECK_TRUE(done);
    CHECK_TRUE(store.has("cell", "layout"));
}

// Guards against job fields that are lost or changed when the job is stored and loaded, such as a payload that is cut at a zero byte.
TEST(CellStorage, LoadsAJobAsItWasAdmitted)
{
    CHECK_TRUE(admit(twoStepJob("j1")) == AdmitOutcome::Stored);
    std::optional<StoredJobs> loaded;
    bool done = false;
    storage.loadAll([&](std::optional<StoredJobs> jobs) {
        loaded = std::move(jobs);
        done = true;
    });
    runUntil(done);
    CHECK_TRUE(loaded.has_value());
    const CellJob &job = *loaded->jobs.at(JobId("j1")).job;
    CHECK_EQUAL(16U, job.payload.size());
    CHECK_TRUE(job.steps[1].gang);
    CHECK_EQUAL(3, job.steps[1].count);
}

// Guards against admitting a job twice. A caller that got no response sends the job again with the same ID.
TEST(CellStorage, AdmitsAnIdOnce)
{
    CHECK_TRUE(admit(twoStepJob("j1")) == AdmitOutcome::Stored);
    CHECK_TRUE(admit(twoStepJob("j1")) == AdmitOutcome::AlreadyExists);
}

// Guards against reporting "not run" although a write whose answer was lost took effect.
TEST(CellStorage, FindsAJobWhoseWriteLostItsAnswer)
{
    store.writeOutcomes = {StoreOutcome::Unknown};
    CHECK_TRUE(admit(twoStepJob("j1")) == AdmitOutcome::AlreadyExists);
}

// Guards against reporting "not run" while an unanswered write may still take effect.
TEST(CellStorage, ReportsUnknownWhenOneAttemptHadNoAnswer)
{
    store.writeOutcomes = {StoreOutcome::Unknown};
    for (int i = 0; i < 20; ++i) {
        store.writeOutcomes.push_back(StoreOutcome::NotApplied);
    }
    CHECK_TRUE(admit(twoStepJob("j1")) == AdmitOutcome::Unknown);
}

// Guards against reporting an unknown outcome although nothing was written.
TEST(CellStorage, ReportsNotStoredWhenEveryAttemptWasRefused)
{
    store.writeOutcomes = std::vector<StoreOutcome>(20, StoreOutcome::NotApplied);
    CHECK_TRUE(admit(twoStepJob("j1")) == AdmitOutcome::NotStored);
}

// Guards against running an ended job again when its caller resubmits it.
TEST(CellStorage, DoesNotAdmitAJobThatHasEnded)
{
    (void)admit(twoStepJob("j1"));
    bool stored = false;
    CellJobState existingFinalState = CellJobState::Unknown;
    storeProgress("j1", CellJobState::Succeeded, stored, existingFinalState);
    CHECK_TRUE(stored);
    CHECK_FALSE(store.has("jobs", "j1"));
    CHECK_TRUE(admit(twoStepJob("j1")) == AdmitOutcome::AlreadyExists);
    CHECK_TRUE(readState("j1").state == CellJobState::Succeeded);
}

// Guards against overwriting a final state with a non-final one. A former leader stores the final state late, and the new leader, which
// does not know the row's version, then writes its own progress.
TEST(CellStorage, ReportsAFinalStateThatAnotherLeaderStored)
{
    (void)admit(twoStepJob("j1"));
    bool stored = false;
    CellJobState existingFinalState = CellJobState::Unknown;
    storeProgress("j1", CellJobState::Succeeded, stored, existingFinalState);
    storage.clearProgressVersions();
    storeProgress("j1", CellJobState::Unknown, stored, existingFinalState);
    CHECK_TRUE(existingFinalState == CellJobState::Succeeded);
    CHECK_TRUE(readState("j1").state == CellJobState::Succeeded);
}

// Guards against a cancellation that is lost when the leader changes, because only the leader knew of it and not the store.
TEST(CellStorage, ShowsACancelledJobAsCancelled)
{
    (void)admit(twoStepJob("j1"));
    bool done = false;
    storage.cancel(JobId("j1"), loop->now() + Duration(300), [&](bool) { done = true; });
    runUntil(done);
    CHECK_TRUE(readState("j1").state == CellJobState::Cancelled);
}

// Guards against reporting "no such job" while the store can't be read.
TEST(CellStorage, DoesNotReportAJobAsUnknownWhenTheStoreFails)
{
    (void)admit(twoStepJob("j1"));
    store.readOutcomes = {StoreOutcome::NotApplied};
    CHECK_FALSE(readState("j1").wasRead);
}

// Guards against losing the workers of one leadership when a late write of an earlier one overwrites them. Each leadership writes its own
// row, and reading returns the workers of both.
TEST(CellStorage, KeepsWorkersOfEveryLeadershipUntilTheNextListIncludesThem)
{
    bool done = false;
    storage.writeWorkers(Epoch(1), {WorkerRecord{WorkerId("w1"), false, {}}}, [&](bool) { done = true; });
    runUntil(done);
    done = false;
    storage.writeWorkers(Epoch(2), {WorkerRecord{WorkerId("w2"), false, {}}}, [&](bool) { done = true; });
    runUntil(done);
    const std::vector<WorkerRecord> records = readWorkers();
    CHECK_EQUAL(2U, records.size());
}

TEST(CellStorage, KeepsTheJobsOfAClosedWorker)
{
    bool done = false;
    storage.writeWorkers(
        Epoch(1), {WorkerRecord{WorkerId("w1"), false, {}}, WorkerRecord{WorkerId("w2"), true, {JobId("a"), JobId("b")}}}, [&](bool) { done = true; });
    runUntil(done);
    const std::vector<WorkerRecord> records = readWorkers();
    CHECK_EQUAL(2U, records.size());
    CHECK_FALSE(records.at(0).isClosed);
    CHECK_TRUE(records.at(1).isClosed);
    CHECK_TRUE(records.at(1).jobs == (std::vector<JobId>{JobId("a"), JobId("b")}));
}

// Guards against a lost write that the store carries out seconds later and that replaces a newer row: the next leader would not know of a
// worker that has got work meanwhile.
TEST(CellStorage, ReplacesTheWorkersOnlyIfTheirRowIsTheOneLastSeen)
{
    std::vector<bool> stored;
    const auto record = [&](bool wasStored) { stored.push_back(wasStored); };
    bool done = false;
    const auto write = [&](const char *id) {
        done = false;
        storage.writeWorkers(Epoch(1), {WorkerRecord{WorkerId(id), false, {}}}, [&](bool wasStored) {
            record(wasStored);
            done = true;
        });
        runUntil(done);
    };
    store.writeOutcomes = {StoreOutcome::Unknown}; // Takes effect without an answer.
    write("w1");
    write("w2");
    write("w3");
    CHECK_TRUE(stored == (std::vector<bool>{false, false, true}));
}

// Guards against a new leader that does not wait for workers whose records are beyond the first page of a read.
TEST(CellStorage, ReadsWorkersBeyondOnePage)
{
    for (std::uint64_t epoch = 1; epoch <= 7; ++epoch) {
        CHECK_TRUE(writeWorkers(epoch, "w" + std::to_string(epoch)));
    }
    store.maxRowsPerRead = 3;
    CHECK_EQUAL(7U, readWorkers().size());
}

// Guards against a leader that can't store its workers, and so can't use them, because the rows of more former leaders have to be removed than
// one transaction can hold.
TEST(CellStorage, RemovesTheRowsOfManyFormerLeadersInSeveralWrites)
{
    for (std::uint64_t epoch = 1; epoch <= 150; ++epoch) {
        CHECK_TRUE(writeWorkers(epoch, "w"));
    }
    (void)readWorkers();
    CHECK_TRUE(writeWorkers(200, "w"));
    CHECK_TRUE(writeWorkers(200, "w"));
    CHECK_EQUAL(1U, store.rows.size());
}

// Guards against a leader that was suspended while it loaded, and then removes the row of its successor together with those of its predecessors:
// the leader after that would not wait for the workers on which the successor has started tasks.
TEST(CellStorage, RemovesNoWorkersOfALaterLeadership)
{
    CHECK_TRUE(writeWorkers(1, "w1"));
    CHECK_TRUE(writeWorkers(3, "w3"));
    CHECK_EQUAL(2U, readWorkers().size());
    CHECK_TRUE(writeWorkers(2, "w2"));
    const std::vector<WorkerRecord> records = readWorkers();
    CHECK_EQUAL(2U, records.size());
    STRCMP_EQUAL("w3", records.at(1).id.value().c_str());
}

// Guards against one job whose progress outgrows its row and with it holds back the final states of other jobs, whose ends are then never acknowledged.
TEST(CellStorage, StoresProgressThatIsTooLongForARowInPart)
{
    ProgressWrite large;
    large.job = JobId("large");
    StepProgress &step = large.progress.steps[{0, 0}];
    step.succeeded.assign(2000, true);
    for (int task = 0; task < 7000; ++task) {
        step.failedRuns[task] = {RunNumber(100001), RunNumber(100002)};
    }
    ProgressWrite other;
    other.job = JobId("other");
    other.progress.finalState = CellJobState::Succeeded;
    CellStorage onePartition(*loop, store, 1);
    std::map<JobId, bool> stored;
    onePartition.writeProgress({large, other}, 1, [&](const ProgressWrite &write, bool ok, CellJobState) { stored[write.job] = ok; });
    KingCupLadder::runUntil(
        *loop, [&] { return stored.size() == 2; }, Duration(3000));
    CHECK_TRUE(stored[JobId("large")]);
    CHECK_TRUE(stored[JobId("other")]);
}
