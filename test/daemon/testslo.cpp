#include "daemon/slo.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(SloTracker)
{
    SloTracker slo;
    Objective objective{Duration(100), 0.9, Duration(60000)};
    TimePoint start{Duration(1000000)};

    void count(int good, int bad, TimePoint at)
    {
        for (int i = 0; i < good + bad; ++i) {
            slo.countRequest(RouteName("r"), TeamId("t"), objective, i < good, at);
        }
    }
    SloReport report(TimePoint at)
    {
        return slo.reports(at).at(0);
    }
};

// Guards against a burn rate that is not relative to the allowed share of bad requests.
TEST(SloTracker, BurnRateIsOneWhenTheAllowedShareIsBad)
{
    count(90, 10, start);
    DOUBLES_EQUAL(1.0, report(start).burnLong, 1e-9);
}

// Guards against an alert that continues after the window has passed.
TEST(SloTracker, ForgetsCountsOutsideTheWindow)
{
    count(0, 10, start);
    LONGS_EQUAL(0, report(start + Duration(60000)).bad);
}

// Guards against counting requests in the short window that are older than a twelfth of the window.
TEST(SloTracker, ShortWindowSeesOnlyTheLastTwelfth)
{
    count(0, 10, start);
    count(10, 0, start + Duration(20000));
    LONGS_EQUAL(0, report(start + Duration(20000)).shortBad);
}

// Guards against adding new counts to the expired counts of a reused bucket.
TEST(SloTracker, ReusedBucketStartsEmpty)
{
    count(5, 0, start);
    count(1, 0, start + Duration(60000));
    LONGS_EQUAL(1, report(start + Duration(60000)).good);
}

// Guards against a time to exhaustion that ignores the budget already used. Half of the budget is left and the burn rate is 0.5, so
// the budget lasts one window.
TEST(SloTracker, TimeToExhaustionFollowsTheShortBurnRate)
{
    count(950, 50, start);
    LONGS_EQUAL(60000, report(start).exhaustion->count());
}

// Guards against predicting exhaustion while the burn rate is zero.
TEST(SloTracker, NoExhaustionWithoutBadRequests)
{
    count(10, 0, start);
    CHECK_FALSE(report(start).exhaustion.has_value());
}

// Guards against keeping the counts of a replaced objective.
TEST(SloTracker, ANewObjectiveStartsOver)
{
    count(0, 10, start);
    objective.targetWait = Duration(200);
    count(1, 0, start);
    LONGS_EQUAL(0, report(start).bad);
}

// Guards against a report that kingcupladderctl can't parse.
TEST(SloTracker, JsonHasTheFieldsOfTheReport)
{
    slo.countRequest(RouteName("r"), TeamId("t"), objective, true, start);
    const auto json = nlohmann::json::parse(slo.toJson(DaemonId("d"), start));
    const auto &row = json.at("routes").at(0);
    LONGS_EQUAL(100, row.at("targetMs").get<int>());
    LONGS_EQUAL(1, row.at("total").get<int>());
}
