#include "ctl/sloreport.h"
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

// Guards against averaging the shares of the daemons instead of summing their counts, which ignores how much work each daemon has.
TEST(SloReport, AddsTheCountsOfAllDaemons)
{
    DOUBLES_EQUAL(185, report.routes.at(0).good, 0.001);
    DOUBLES_EQUAL(200, report.routes.at(0).total, 0.001);
}

// Guards against a wrong error budget: 15 requests of 200 were bad, and 20 are allowed.
TEST(SloReport, DerivesTheBudgetFromTheSums)
{
    DOUBLES_EQUAL(0.75, report.routes.at(0).budgetUsed(), 0.001);
}

// Guards against an exhaustion time that ignores the budget already used: a quarter of 60 s at twice the sustainable burn rate.
TEST(SloReport, DerivesTheTimeUntilExhaustion)
{
    DOUBLES_EQUAL(7500, report.routes.at(0).exhaustionMs(), 0.001);
}

// Guards against a page with external references and against names that are interpreted as markup.
TEST(SloReport, WritesASelfContainedPage)
{
    const std::string page = sloHtml(report, "title");
    CHECK_TRUE(page.find("<svg") != std::string::npos);
    CHECK_TRUE(page.find("&lt;r&gt;") != std::string::npos);
    CHECK_TRUE(page.find("<r>") == std::string::npos);
    CHECK_TRUE(page.find("src=") == std::string::npos);
}

// Guards against a fleet report that omits a daemon without saying so.
TEST(SloReport, AsksEveryDaemonAndNamesTheSilentOnes)
{
    FakeFleet fleet;
    fleet.respond("GET /v1/slo", 200, sloResponse(1, 1).dump(), "d1:1");
    CHECK_EQUAL(0, fleet.run({"slo", "report"}));
    CHECK_TRUE(fleet.err.str().find("no answer from d2:1") != std::string::npos);
}
