#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

constexpr Duration takeoverAfterLoading{900};

/// A leader takes over while a worker with a long task begins to drain, and takes a second to read the jobs. At @p secondTakeover after that
/// the next leader takes over, and the worker is cut off.
void runTakeoversWhileWorkerDrains(FakeCell &cell, Duration secondTakeover)
{
    cell.startLeadership();
    cell.submit(cellJob("job", 1, 1000, Duration(9000)));
    cell.run(Duration(1000));
    FakeCellWorker &worker = cell.worker(0).running.empty() ? cell.worker(1) : cell.worker(0);
    worker.info.draining = true;
    worker.info.remaining = Duration(20000);
    cell.loadDuration = Duration(1000);
    cell.startLeadership(2);
    cell.run(secondTakeover);
    worker.reachable = false;
    cell.unregistered.insert(worker.info.id);
    cell.startLeadership(3);
    cell.run(Duration(20000));
}

} // namespace

TEST_GROUP(WorkerRecords)
{
    std::vector<DiscoveredRun> discovered;
    std::vector<EndedEntry> unmatchedEnds;

    static WorkerInfo drainingWorker()
    {
        WorkerInfo info;
        info.id = WorkerId("w");
        info.address = "127.0.0.1:9000";
        info.incarnation = WorkerIncarnation(1);
        info.draining = true;
        info.remaining = Duration(5000);
        return info;
    }

    /// The worker answers a hold and lists the runs.
    void answerHold(WorkerTable & table, const std::vector<RunningEntry> &running, TimePoint now)
    {
        HoldReply reply;
        reply.incarnation = WorkerIncarnation(1);
        reply.clock = now.time_since_epoch().count();
        reply.running = running;
        Worker *worker = table.find(WorkerId("w"));
        const HoldOrder order = table.createHold(*worker, Duration(0), now);
        const auto events = table.onHoldAnswer(order, &reply, now, now, discovered, unmatchedEnds);
        CHECK_TRUE(events.empty());
    }
};

// Guards against a task that runs twice because a leader that was still loading recorded its worker as one without runs (review case 8).
TEST(WorkerRecords, RecordNoWorkerBeforeTheJobsAreLoaded)
{
    FakeCell cell(2);
    runTakeoversWhileWorkerDrains(cell, Duration(900));
    CHECK_EQUAL(2, cell.starts);
    CHECK_NO_VIOLATION(cell);
}

// Guards against the same if the record is read after the loading has ended.
TEST(WorkerRecords, NameTheJobsOfRunsThatWereFoundWhileLoading)
{
    FakeCell cell(2);
    runTakeoversWhileWorkerDrains(cell, Duration(1000) + takeoverAfterLoading);
    CHECK_EQUAL(2, cell.starts);
    CHECK_NO_VIOLATION(cell);
}

// Guards against a record that stays as it is when a run of another job is found on a worker that is recorded as closed.
TEST(WorkerRecords, AreOutdatedIfTheyLackAJobOfAClosedWorker)
{
    WorkerTable table{WorkerTableSettings()};
    const TimePoint now(Duration(1000));
    (void)table.onRegistry({drainingWorker()}, now);
    answerHold(table, {}, now);
    CHECK_TRUE(table.areRecordsOutdated(now));
    const std::vector<WorkerRecord> before = table.makeRecords(now);
    CHECK_TRUE(before.at(0).isClosed);
    CHECK_FALSE(table.areRecordsOutdated(now));
    const RunningEntry entry{TaskRef{StepRef{JobId("job"), 0, 0}, 0}, RunNumber(1), {}, 0, 0};
    answerHold(table, {entry}, now);
    (void)table.adopt(*table.find(WorkerId("w")), entry, std::nullopt, WorkspaceId("museum"), now);
    CHECK_TRUE(table.areRecordsOutdated(now));
    CHECK_TRUE(table.makeRecords(now).at(0).jobs == std::vector<JobId>{JobId("job")});
    CHECK_FALSE(table.areRecordsOutdated(now));
}

// Guards against a write of the records for each run that ends on a draining worker: a record that names too many jobs is still true.
TEST(WorkerRecords, AreNotOutdatedIfARunHasEnded)
{
    WorkerTable table{WorkerTableSettings()};
    const TimePoint now(Duration(1000));
    const RunningEntry entry{TaskRef{StepRef{JobId("job"), 0, 0}, 0}, RunNumber(1), {}, 0, 0};
    (void)table.onRegistry({drainingWorker()}, now);
    answerHold(table, {entry}, now);
    Worker &worker = *table.find(WorkerId("w"));
    (void)table.adopt(worker, entry, std::nullopt, WorkspaceId("museum"), now);
    CHECK_TRUE(table.makeRecords(now).at(0).jobs == std::vector<JobId>{JobId("job")});
    const TimePoint later = now + Duration(100);
    HoldReply reply;
    reply.incarnation = WorkerIncarnation(1);
    reply.clock = 1100;
    const HoldOrder order = table.createHold(worker, Duration(0), later);
    CHECK_EQUAL(1U, table.onHoldAnswer(order, &reply, later, later, discovered, unmatchedEnds).size());
    CHECK_FALSE(table.areRecordsOutdated(later));
}

// Guards against a task that runs twice because a leader relied on a former leader's record of a worker, which a late write then replaced (review
// case 14): the write says that only the former leader's jobs run there, and the next leader does not wait for the worker.
TEST(WorkerRecords, AreWrittenByEachLeaderBeforeItStartsTasks)
{
    FakeCell cell(2);
    cell.duration = [](const StartOrder &) { return Duration(20000); };
    cell.unregistered.insert(WorkerId("w1"));
    cell.startLeadership();
    cell.run(Duration(1000));
    // The first leader records that w0 is cut off. The write is performed after the next leader has read the records.
    cell.recordsWriteDelay = [] { return Duration(4500); };
    cell.worker(0).reachable = false;
    cell.run(Duration(1500));
    cell.recordsWriteDelay = nullptr;
    cell.worker(0).reachable = true;
    cell.startLeadership(2);
    cell.run(Duration(200));
    CHECK_TRUE(cell.submit(cellJob("job", 1, 1000)) == AdmissionVerdict::Admitted);
    cell.run(Duration(4000));
    CHECK_EQUAL(1U, cell.worker(0).running.size());
    cell.worker(0).reachable = false;
    cell.unregistered.clear();
    cell.startLeadership(3);
    cell.run(Duration(3000));
    CHECK_NO_VIOLATION(cell);
}
