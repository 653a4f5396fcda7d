#include "ctl/slo.h"
#include "fakefleet.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder::Ctl;

namespace {

Json sloResponse(double good, double total)
{
    return {
        {"routes",
         Json::array(
             {{{"route", "<r>"}, {"team", "t"}, {"targetMs", 100}, {"share", 0.9}, {"windowMs", 60000}, {"good", good}, {"total", total}, {"burnLong", 2}}})}};
}

} // namespace

TEST_GROUP(SloReport)
{
    SloReport report;
    void setup() override
    {
        report.add("a", sloResponse(100, 100));
        report.add("b", sloResponse(85, 100));
    }
};

// Guards against an average of shares, which hides the daemon with most of the work.
TEST(SloReport, AddsTheCountsOfAllDaemons)
{
    DOUBLES_EQUAL(185, report.routes.at(0).good, 0.001);
    DOUBLES_EQUAL(200, report.routes.at(0).total, 0.001);
}

// Guards against a wrong budget: 15 of 20 allowed items were bad.
TEST(SloReport, DerivesTheBudgetFromTheSums)
{
    DOUBLES_EQUAL(0.75, report.routes.at(0).budgetUsed(), 0.001);
}

// Guards against an exhaustion time that ignores what is used already: a quarter of 60 s at twice the even rate.
TEST(SloReport, DerivesTheTimeUntilExhaustion)
{
    DOUBLES_EQUAL(7500, report.routes.at(0).exhaustionMs(), 0.001);
}

// Guards against a page that needs the network, and against names that are taken for markup.
TEST(SloReport, WritesASelfContainedPage)
{
    const std::string page = sloHtml(report, "title");
    CHECK_TRUE(page.find("<svg") != std::string::npos);
    CHECK_TRUE(page.find("&lt;r&gt;") != std::string::npos);
    CHECK_TRUE(page.find("<r>") == std::string::npos);
    CHECK_TRUE(page.find("src=") == std::string::npos);
}

// Guards against a fleet report that silently leaves a daemon out.
TEST(SloReport, AsksEveryDaemonAndNamesTheSilentOnes)
{
    FakeFleet fleet;
    fleet.respond("GET /v1/slo", 200, sloResponse(1, 1).dump(), "d1:1");
    CHECK_EQUAL(0, fleet.run({"slo", "report"}));
    CHECK_TRUE(fleet.err.str().find("no answer from d2:1") != std::string::npos);
}
