// What the log and the counters tell of the waits of gangs and of the work of runs.
#include "cell/gangwaits.h"
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

TEST_GROUP(GangWaits)
{
    const TimePoint start{Duration(1000)};
};

// Guards against time that counts for the cause that comes after it.
TEST(GangWaits, CountEachWaitForItsCause)
{
    GangWaits waits;
    waits.waitFor(GangWaitCause::FirstAnswer, start);
    waits.waitFor(GangWaitCause::Room, start + Duration(300));
    waits.waitFor(GangWaitCause::Room, start + Duration(400));
    waits.waitFor(GangWaitCause::Tickets, start + Duration(700));
    STRCMP_EQUAL("waited 300 ms for its first answer, 400 ms for room, 200 ms for tickets", waits.describe(start + Duration(900)).c_str());
}

// Guards against the waits of an earlier run of the gang in the line about the next one.
TEST(GangWaits, AreForgottenWhenTheGangStarts)
{
    GangWaits waits;
    waits.waitFor(GangWaitCause::Room, start);
    waits.clear();
    STRCMP_EQUAL("without a wait", waits.describe(start + Duration(900)).c_str());
}

// Guards against a log that does not tell why gangs miss their objectives, or that repeats it in every pass.
TEST(GangWaits, AreLoggedOnceWhenTheGangCanNoLongerStartInTime)
{
    FakeCell cell(4);
    std::vector<std::string> lines;
    cell.log = [&lines](const std::string &line) {
        if (line.find("can't start in time any more") != std::string::npos) {
            lines.push_back(line);
        }
    };
    cell.startLeadership();
    cell.run(Duration(500));
    cell.submit(cellJob("filling", 4, 4000, Duration(60000), "urgent"));
    cell.run(Duration(200));
    CellJob gang = cellJob("gang", 2, 4000, Duration(1000), "urgent");
    gang.steps[0].gang = true;
    gang.submittedUnixMs = cell.time().unixMs;
    cell.storedJobs[gang.id] = gang;
    cell.scheduler->onJobStored(gang, cell.time()); // The cell would refuse it.
    cell.run(Duration(6000));
    CHECK_EQUAL(1U, lines.size());
    CHECK_TRUE(lines.front().find("2 tasks, room for 0 on 0 allowed workers, for 0 on refused ones, for 0 on those not asked about, waited ")
               != std::string::npos);
    CHECK_TRUE(lines.front().find(" ms for room") != std::string::npos);
}

TEST_GROUP(WorkUsage){};

// Guards against CPU time of lost runs that is not counted, or that counts as useful.
TEST(WorkUsage, CountsRunsByTheirEnds)
{
    FakeCell cell(2);
    cell.startLeadership();
    cell.run(Duration(500));
    cell.submit(cellJob("done", 1, 2000, Duration(1000), "urgent"));
    cell.submit(cellJob("lost", 1, 1000, Duration(3000), "urgent"));
    cell.run(Duration(1500));
    cell.cancel("lost");
    cell.run(Duration(500));
    const auto &coreMs = cell.scheduler->counters().work.coreMs;
    CHECK_TRUE(coreMs.at({0, Timeliness::InTime, true}) / 100 == 20);
    CHECK_TRUE(coreMs.at({0, Timeliness::InTime, false}) / 100 == 15);
}

} // namespace KingCupLadder
