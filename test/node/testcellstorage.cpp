#include "eventloophelpers.h"
#include "memorytablestore.h"
#include "node/cellstorage.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

CellJob smallJob(const std::string &id)
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
    CellStorage rows{*loop, store};

    void runUntil(const bool &done)
    {
        KingCupLadder::runUntil(
            *loop, [&done] { return done; }, Duration(3000));
    }

    AdmitOutcome admit(const CellJob &job, Duration patience = Duration(500))
    {
        AdmitOutcome result = AdmitOutcome::Unknown;
        bool done = false;
        rows.admit(job, loop->now() + patience, [&](AdmitOutcome outcome) {
            result = outcome;
            done = true;
        });
        runUntil(done);
        CHECK_TRUE(done);
        return result;
    }

    StoredState readState(const std::string &id)
    {
        StoredState result;
        bool done = false;
        rows.readState(JobId(id), Duration(500), [&](const StoredState &state) {
            result = state;
            done = true;
        });
        runUntil(done);
        return result;
    }

    void write(const std::string &id, CellJobState state, bool &stored, CellJobState &found)
    {
        ProgressWrite progress;
        progress.job = JobId(id);
        progress.revision = 1;
        progress.progress.finalState = state;
        progress.progress.workspace = WorkspaceId("museum");
        bool done = false;
        rows.writeProgress({progress}, 1, [&](const ProgressWrite &, bool ok, CellJobState final) {
            stored = ok;
            found = final;
            done = true;
        });
        runUntil(done);
    }
};

// Guards against a job that changes on its way through the store.
TEST(CellStorage, LoadsAJobAsItWasAdmitted)
{
    CHECK_TRUE(admit(smallJob("j1")) == AdmitOutcome::Stored);
    std::optional<StoredJobs> loaded;
    bool done = false;
    rows.loadAll([&](std::optional<StoredJobs> jobs) {
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

// Guards against two jobs where a caller sent one twice.
TEST(CellStorage, AdmitsAnIdOnce)
{
    CHECK_TRUE(admit(smallJob("j1")) == AdmitOutcome::Stored);
    CHECK_TRUE(admit(smallJob("j1")) == AdmitOutcome::AlreadyExists);
}

// Guards against a refusal that says "not run" although the lost write took effect.
TEST(CellStorage, FindsAJobWhoseWriteLostItsAnswer)
{
    store.writeScript = {StoreOutcome::Unknown};
    CHECK_TRUE(admit(smallJob("j1")) == AdmitOutcome::AlreadyExists);
}

// Guards against a refusal that says "not run" while a write may still take effect.
TEST(CellStorage, SaysUnknownWhenOneAttemptHadNoAnswer)
{
    store.writeScript = {StoreOutcome::Unknown};
    for (int i = 0; i < 20; ++i) {
        store.writeScript.push_back(StoreOutcome::NotApplied);
    }
    CHECK_TRUE(admit(smallJob("j1")) == AdmitOutcome::Unknown);
}

// Guards against callers that are kept in doubt though nothing was written.
TEST(CellStorage, SaysNotStoredWhenEveryAttemptWasRefused)
{
    store.writeScript = std::vector<StoreOutcome>(20, StoreOutcome::NotApplied);
    CHECK_TRUE(admit(smallJob("j1")) == AdmitOutcome::NotStored);
}

// Guards against a second run of a job that has ended and whose caller asks again.
TEST(CellStorage, DoesNotAdmitAJobThatHasEnded)
{
    (void)admit(smallJob("j1"));
    bool stored = false;
    CellJobState found = CellJobState::Unknown;
    write("j1", CellJobState::Succeeded, stored, found);
    CHECK_TRUE(stored);
    CHECK_FALSE(store.has("jobs", "j1"));
    CHECK_TRUE(admit(smallJob("j1")) == AdmitOutcome::AlreadyExists);
    CHECK_TRUE(readState("j1").state == CellJobState::Succeeded);
}

// Guards against a late write of a former leader that is overwritten by an unfinished state.
TEST(CellStorage, ReportsAFinalStateThatAnotherLeaderStored)
{
    (void)admit(smallJob("j1"));
    bool stored = false;
    CellJobState found = CellJobState::Unknown;
    write("j1", CellJobState::Succeeded, stored, found);
    rows.resetVersions();
    write("j1", CellJobState::Unknown, stored, found);
    CHECK_TRUE(found == CellJobState::Succeeded);
    CHECK_TRUE(readState("j1").state == CellJobState::Succeeded);
}

// Guards against a cancellation that a leader change loses.
TEST(CellStorage, ShowsACancelledJobAsCancelled)
{
    (void)admit(smallJob("j1"));
    bool done = false;
    rows.cancel(JobId("j1"), loop->now() + Duration(300), [&](bool) { done = true; });
    runUntil(done);
    CHECK_TRUE(readState("j1").state == CellJobState::Cancelled);
}

// Guards against "no such job" while the store can't be read.
TEST(CellStorage, DoesNotCallAJobUnknownWhenTheStoreFails)
{
    (void)admit(smallJob("j1"));
    store.script = {StoreOutcome::NotApplied};
    CHECK_FALSE(readState("j1").known);
}

// Guards against workers of an earlier leadership that a late write hides.
TEST(CellStorage, KeepsWorkersOfEveryLeadershipUntilTheNextListHasThem)
{
    bool done = false;
    rows.writeWorkers(Epoch(1), {WorkerId("w1")}, [&](bool) { done = true; });
    runUntil(done);
    done = false;
    rows.writeWorkers(Epoch(2), {WorkerId("w2")}, [&](bool) { done = true; });
    runUntil(done);
    std::vector<WorkerId> ids;
    done = false;
    rows.readWorkers([&](bool, const std::vector<WorkerId> &all) {
        ids = all;
        done = true;
    });
    runUntil(done);
    CHECK_EQUAL(2U, ids.size());
}
