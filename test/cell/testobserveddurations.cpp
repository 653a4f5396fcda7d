// What a worker's lists say about the duration of its runs.
#include "cell/workertable.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(ObservedDurations)
{
    const TaskRef task{StepRef{JobId("job"), 0, 0}, 0};
    const WorkerId id{"w"};
    WorkerTable table{WorkerTableSettings()};
    TimePoint now{Duration(1000000)};

    /// The worker lists the run with @p percent at 1,000 ms on its clock, or its end at 3,000 ms.
    void answerHold(bool hasEnded, int percent)
    {
        now += Duration(2000);
        HoldReply reply;
        reply.incarnation = WorkerIncarnation(1);
        reply.clock = hasEnded ? 3000 : 1000;
        if (hasEnded) {
            reply.ended = {EndedEntry{EndNumber(1), task, RunNumber(1), RunEnd::Succeeded, {}}};
        } else {
            reply.running = {RunningEntry{task, RunNumber(1), {}, percent, 0}};
        }
        std::vector<DiscoveredRun> discovered;
        std::vector<EndedEntry> unmatched;
        const HoldOrder order = table.createHold(*table.find(id), Duration(0), now);
        (void)table.onHoldAnswer(order, &reply, now, now, discovered, unmatched);
        for (const DiscoveredRun &run : discovered) {
            (void)table.adopt(*table.find(id), run.entry, std::nullopt, WorkspaceId(), now);
        }
    }

    /// The durations that are observed if a new leader finds the run at @p percent and then its end.
    [[nodiscard]] std::vector<DurationObservation> observeRunFoundAt(int percent)
    {
        WorkerInfo info;
        info.id = id;
        info.address = "127.0.0.1:9000";
        info.incarnation = WorkerIncarnation(1);
        (void)table.onRegistry({info}, now);
        answerHold(false, percent);
        answerHold(true, percent);
        return table.takeObservedDurations();
    }
};

// Guards against a leader that ends with a division by zero: a run that it has found with all of its work done then ends.
TEST(ObservedDurations, AreNotTakenFromARunThatWasFoundWithAllOfItsWorkDone)
{
    CHECK_TRUE(observeRunFoundAt(completePercent).empty());
}

// Guards against a duration that is extrapolated from less than half of the work.
TEST(ObservedDurations, AreNotTakenFromARunThatWasFoundNearItsEnd)
{
    CHECK_TRUE(observeRunFoundAt(61).empty());
}

TEST(ObservedDurations, AreExtrapolatedFromTheRemainderOfARunThatWasFound)
{
    const std::vector<DurationObservation> observed = observeRunFoundAt(60);
    CHECK_EQUAL(1U, observed.size());
    CHECK_EQUAL(5000, observed.front().duration.count());
}
