// Recurring jobs with many occurrences.
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

constexpr int occurrencesOfEightHours = 28800; // One each second.

/// Returns a job of one small task that recurs each second, all occurrences of which are due at @p now.
CellJob backlog(const std::string &id, int occurrences, std::int64_t now)
{
    CellJob job = cellJob(id, 1, 100, Duration(100));
    job.occurrences = occurrences;
    job.interval = Duration(1000);
    job.firstRunUnixMs = now - occurrences * job.interval.count();
    return job;
}

} // namespace

TEST_GROUP(RecurringJobs)
{
    FakeCell cell{2};
    JobTable table;

    /// Runs the job to its end, which takes at most @p time.
    void checkThatEachOccurrenceStartsOnce(Duration time, int occurrences)
    {
        cell.run(time);
        CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
        CHECK_EQUAL(occurrences, cell.starts);
        CHECK_NO_VIOLATION(cell);
    }

    /// Adds a backlog to the table and marks it as stored.
    JobEntry &addBacklog(int occurrences)
    {
        const std::int64_t unixNow = occurrencesOfEightHours * 1000LL;
        JobEntry &entry = table.add(backlog("job", occurrences, unixNow), nullptr, cell.now, unixNow);
        entry.stored = true;
        return entry;
    }
};

// Guards against a leader whose event loop stands still while it creates the steps of a large backlog, in time that grows with its square, so
// that it loses the leadership and the next leader does too.
TEST(RecurringJobs, OpensOnlyAFewOccurrencesOfABacklogAtATime)
{
    const JobEntry &entry = addBacklog(occurrencesOfEightHours);
    CHECK_EQUAL(static_cast<std::size_t>(maxOpenOccurrences(entry.job)), entry.steps.size());
    CHECK_TRUE(maxOpenOccurrences(entry.job) < 1000);
    CHECK_EQUAL(entry.steps.size(), table.waitingSteps().size());
}

// Guards against one occurrence per job at a time, although occurrences may overlap.
TEST(RecurringJobs, OpensSeveralOccurrencesOfAnOrdinaryJob)
{
    CellJob job = cellJob("job", 10, 1000);
    job.steps.resize(2, job.steps[0]);
    job.occurrences = 100;
    CHECK_TRUE(maxOpenOccurrences(job) >= 32);
}

// Guards against a job that is never started, because one of its occurrences has more tasks than may be open at a time.
TEST(RecurringJobs, OpensAtLeastOneOccurrence)
{
    CellJob job = cellJob("job", maxTasksPerStep, 1000);
    job.steps.resize(maxStepsPerJob, job.steps[0]);
    CHECK_EQUAL(1, maxOpenOccurrences(job));
}

// Guards against occurrences that are skipped, or run twice, when they are opened one after another.
TEST(RecurringJobs, RunsEachOccurrenceOfABacklogOnce)
{
    const int occurrences = 600;
    cell.startLeadership();
    cell.submit(backlog("job", occurrences, cell.time().unixMs));
    checkThatEachOccurrenceStartsOnce(Duration(8000), occurrences);
}

// Guards against a backlog that holds up the jobs that come after it.
TEST(RecurringJobs, StartsOtherJobsBesideABacklog)
{
    cell.startLeadership();
    cell.submit(backlog("job", occurrencesOfEightHours, cell.time().unixMs));
    cell.run(Duration(2000));
    cell.submit(cellJob("single", 2, 1000, Duration(300)));
    cell.run(Duration(1500));
    CHECK_TRUE(cell.state("single") == CellJobState::Succeeded);
}

// Guards against occurrences that run again under the next leader, also of a job with more of them than are stored step by step.
TEST(RecurringJobs, DoesNotRunOccurrencesAgainAfterAChangeOfLeader)
{
    const int occurrences = 900;
    cell.startLeadership();
    cell.submit(backlog("job", occurrences, cell.time().unixMs));
    for (std::uint64_t epoch = 2; epoch <= 5; ++epoch) {
        cell.run(Duration(1700));
        cell.startLeadership(epoch);
    }
    checkThatEachOccurrenceStartsOnce(Duration(10000), occurrences);
}

// Guards against a number of occurrences known only to one leader that is larger than what the next leader opens: it would stop their runs, or
// run them again after it has missed their ends.
TEST(RecurringJobs, CountsAnOccurrenceAsOpenUntilItsEndIsStored)
{
    cell.startLeadership();
    cell.progressIsStored = false;
    const CellJob job = backlog("job", 900, cell.time().unixMs);
    cell.submit(job);
    cell.run(Duration(8000));
    CHECK_EQUAL(maxOpenOccurrences(job), cell.starts);
    cell.startLeadership(2);
    cell.progressIsStored = true;
    checkThatEachOccurrenceStartsOnce(Duration(12000), 900);
}

// Guards against a progress row that grows with each occurrence, until the store refuses it and with it the progress of other jobs.
TEST(RecurringJobs, StoreOccurrencesThatHaveEndedAsRanges)
{
    cell.startLeadership();
    cell.submit(backlog("job", occurrencesOfEightHours, cell.time().unixMs));
    cell.run(Duration(10000));
    const JobProgress &progress = cell.storedProgress.at(JobId("job"));
    CHECK_TRUE(cell.starts > 500);
    CHECK_TRUE(progress.steps.size() < 300);
    CHECK_TRUE(progress.doneOccurrences.size() <= static_cast<std::size_t>(maxOpenOccurrences(cell.storedJobs.at(JobId("job")))) + 1);
}

// Guards against occurrences that run again after an update of the daemons: the former version stored the steps of each occurrence, and no ranges.
TEST(RecurringJobs, ReadsProgressOfTheFormerVersion)
{
    JobEntry &entry = addBacklog(occurrencesOfEightHours);
    JobProgress progress;
    for (int occurrence = 0; occurrence < 5000; ++occurrence) {
        progress.steps[{occurrence, 0}].succeeded = std::vector<bool>(8, true); // Stored in whole bytes.
    }
    progress.steps[{7000, 0}].failedRuns[0] = {RunNumber(3)};
    table.restore(entry, progress, TimePoint(Duration(1000000)), 1000000);
    CHECK_EQUAL(5000, entry.doneOccurrences.size());
    CHECK_EQUAL(1U, table.findStep(StepRef{JobId("job"), 7000, 0})->tasks[0].failedRuns.size());
    table.createAllDueOccurrences(cell.now, occurrencesOfEightHours * 1000LL);
    CHECK_EQUAL(5000 + maxOpenOccurrences(entry.job), entry.nextOccurrence);
}

// Guards against occurrences that run again because the former version leads for a while during an update of the daemons.
TEST(RecurringJobs, StoreFewEndedOccurrencesForTheFormerVersionToo)
{
    JobEntry &entry = addBacklog(100);
    JobProgress progress;
    progress.doneOccurrences = {{0, 9}};
    table.restore(entry, progress, TimePoint(Duration(1000000)), 1000000);
    const JobProgress stored = table.progressOf(entry);
    CHECK_EQUAL(10U, stored.steps.size());
    CHECK_TRUE(stored.steps.at({9, 0}).succeeded == std::vector<bool>{true});
}

// Guards against stopping runs of occurrences that a former leader has opened and this one has not, and against missing their ends.
TEST(RecurringJobs, OpensAnOccurrenceThatAWorkerReports)
{
    const JobEntry &entry = addBacklog(occurrencesOfEightHours);
    const StepRef beyond{JobId("job"), 5000, 0};
    CHECK_TRUE(table.findStep(beyond) == nullptr);
    const StepInstance *step = table.findReportedStep(beyond);
    CHECK_TRUE(step != nullptr);
    CHECK_EQUAL(1, entry.openOccurrences.count(5000));
}

// Guards against starting an occurrence before its time, because a worker has reported a run of it.
TEST(RecurringJobs, DoNotStartAReportedOccurrenceBeforeItsTurn)
{
    (void)addBacklog(occurrencesOfEightHours);
    CHECK_TRUE(table.findReportedStep(StepRef{JobId("job"), 5000, 0})->readySince == TimePoint());
}

// Guards against using up the memory on reports of runs that can't exist.
TEST(RecurringJobs, OpenNothingForReportsOfUnknownOccurrences)
{
    JobEntry &entry = addBacklog(1000);
    entry.doneOccurrences.insert(999, 999);
    const std::size_t open = entry.openOccurrences.size();
    for (const StepRef &ref :
         {StepRef{JobId("job"), 1000, 0}, StepRef{JobId("job"), -1, 0}, StepRef{JobId("job"), 999, 0}, StepRef{JobId("job"), 2000000000, 0}}) {
        POINTERS_EQUAL(nullptr, table.findReportedStep(ref));
    }
    CHECK_EQUAL(open, entry.openOccurrences.size());
}
