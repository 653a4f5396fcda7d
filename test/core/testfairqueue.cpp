#include "core/fairqueue.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

Resources oneCore(std::int64_t count = 1)
{
    return Resources{MilliCores(1000 * count), MebiBytes(1024 * count), Accelerators(0), Slots(0)};
}

QueueEntry entry(const std::string &job, const std::string &team, std::int64_t queuedAt = 0)
{
    QueueEntry result;
    result.job = JobId(job);
    result.team = TeamId(team);
    result.demand = oneCore();
    result.queuedAt = TimePoint(Duration(queuedAt));
    return result;
}

std::string nameOf(const std::optional<QueueEntry> &found)
{
    return found ? found->job.value() : "none";
}

} // namespace

TEST_GROUP(FairQueue)
{
    FairQueue queue{FairQueueSettings{}};

    void setup() override
    {
        queue.setTotalCapacity(oneCore(100));
        for (const char *team : {"a", "b"}) {
            queue.setTeamWeight(TeamId(team), 1.0);
            queue.setAllotment(TeamId(team), oneCore(100));
        }
        queue.beginRound(TimePoint(Duration(1000)));
    }

    /// Dequeues the next entry, @p count times.
    void dequeueNext(int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto found = queue.next();
            CHECK_TRUE(found.has_value());
            queue.dequeue(found->job);
        }
    }
};

// Guards against ignoring the weights of teams: with equal backlogs and weights 1 and 3, "b" must get 30 of 40 tasks.
TEST(FairQueue, UseFollowsTheWeights)
{
    queue.setTeamWeight(TeamId("b"), 3.0);
    QueueEntry many = entry("ja", "a");
    many.tasks = 100;
    queue.push(many);
    many.job = JobId("jb");
    many.team = TeamId("b");
    queue.push(many);
    dequeueNext(40);
    LONGS_EQUAL(30000, queue.usage(TeamId("b")).cpu.value());
}

// Guards against urgent work waiting behind normal work of teams with a lower share.
TEST(FairQueue, UrgentEntriesComeFirst)
{
    queue.charge(TeamId("b"), oneCore(50));
    queue.push(entry("normal", "a"));
    QueueEntry urgent = entry("urgent", "b", 500);
    urgent.priority = Priority::Urgent;
    queue.push(urgent);
    STRCMP_EQUAL("urgent", nameOf(queue.next()).c_str());
}

// Guards against starting tasks of a team beyond its allotment.
TEST(FairQueue, EntryBeyondTheAllotmentIsNotReturned)
{
    queue.setAllotment(TeamId("a"), oneCore(0));
    queue.push(entry("ja", "a"));
    queue.push(entry("jb", "b"));
    STRCMP_EQUAL("jb", nameOf(queue.next()).c_str());
}

// Guards against starting an all-at-once job whose tasks do not all fit in the allotment.
TEST(FairQueue, AllAtOnceJobNeedsAllotmentForAllTasks)
{
    queue.setAllotment(TeamId("a"), oneCore(3));
    QueueEntry together = entry("ja", "a");
    together.tasks = 4;
    together.allAtOnce = true;
    queue.push(together);
    CHECK_FALSE(queue.next().has_value());
}

// Guards against starvation of a team above its share while teams with a lower share keep queueing jobs.
TEST(FairQueue, TeamWithoutStartsForTheAgeingTimeComesFirst)
{
    queue.charge(TeamId("a"), oneCore(50));
    queue.push(entry("old", "a", 1000));
    queue.push(entry("young", "b", 60000));
    queue.beginRound(TimePoint(Duration(61000)));
    STRCMP_EQUAL("old", nameOf(queue.next()).c_str());
}

// Guards against scheduling by arrival instead of by share when a team has a long backlog of aged jobs.
TEST(FairQueue, AgedBacklogDoesNotBypassFairShares)
{
    queue.charge(TeamId("a"), oneCore(50));
    queue.push(entry("old1", "a", 1000));
    queue.push(entry("old2", "a", 1000));
    queue.push(entry("young", "b", 60000));
    queue.beginRound(TimePoint(Duration(61000)));
    dequeueNext(1);
    STRCMP_EQUAL("young", nameOf(queue.next()).c_str());
}

// Guards against a job that can't be placed blocking the other jobs of its team.
TEST(FairQueue, SkippedJobDoesNotBlockItsTeam)
{
    queue.push(entry("first", "a", 1));
    queue.push(entry("second", "a", 2));
    queue.skip(JobId("first"));
    STRCMP_EQUAL("second", nameOf(queue.next()).c_str());
}

// Guards against a skipped job being lost or losing its position in the queue.
TEST(FairQueue, SkippedJobKeepsItsPositionInTheNextRound)
{
    queue.push(entry("first", "a", 1));
    queue.push(entry("second", "a", 2));
    queue.skip(JobId("first"));
    (void)queue.next();
    queue.beginRound(TimePoint(Duration(1001)));
    STRCMP_EQUAL("first", nameOf(queue.next()).c_str());
}

// Guards against trying every queued job in each round while the shard is full.
TEST(FairQueue, SkippedDemandSkipsLargerJobs)
{
    QueueEntry large = entry("large", "a");
    large.demand = oneCore(2);
    queue.push(large);
    queue.push(entry("equal", "b"));
    queue.skipDemand(Priority::Normal, oneCore());
    CHECK_FALSE(queue.next().has_value());
}

// Guards against skipping small jobs although only larger ones did not fit.
TEST(FairQueue, SkippedDemandDoesNotSkipSmallerJobs)
{
    queue.push(entry("small", "a"));
    queue.skipDemand(Priority::Normal, oneCore(2));
    STRCMP_EQUAL("small", nameOf(queue.next()).c_str());
}

// Guards against starting a cancelled job.
TEST(FairQueue, RemovedJobIsNotReturned)
{
    queue.push(entry("gone", "a", 1));
    queue.push(entry("kept", "a", 2));
    queue.remove(JobId("gone"));
    STRCMP_EQUAL("kept", nameOf(queue.next()).c_str());
}

// Guards against wrong counts or leftover entries after many removals, which compact the groups.
TEST(FairQueue, RemovingAllJobsEmptiesTheQueue)
{
    for (int i = 0; i < 20000; ++i) {
        queue.push(entry("j" + std::to_string(i), i % 2 == 0 ? "a" : "b", i));
    }
    for (int i = 0; i < 20000; ++i) {
        queue.remove(JobId("j" + std::to_string(i)));
    }
    LONGS_EQUAL(0, queue.queuedTasks());
    CHECK_FALSE(queue.next().has_value());
}

// Guards against ordering the jobs of a team by their push() calls instead of QueueEntry::queuedAt, which would put a requeued job with
// an earlier arrival at the end of the queue.
TEST(FairQueue, RequeuedJobKeepsItsArrival)
{
    queue.push(entry("young", "a", 500));
    queue.push(entry("old", "a", 1));
    STRCMP_EQUAL("old", nameOf(queue.next()).c_str());
}

// Guards against a second push of a job replacing its queued tasks instead of adding to them.
TEST(FairQueue, PushOfAQueuedJobAddsItsTasks)
{
    queue.push(entry("j", "a"));
    queue.push(entry("j", "a"));
    LONGS_EQUAL(2, queue.queuedTasks(TeamId("a")));
}
