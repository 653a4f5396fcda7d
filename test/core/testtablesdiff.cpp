#include "core/tablesdiff.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>

using namespace KingCupLadder;

namespace {

std::string fileText(const std::string &deployment, const std::string &name)
{
    const std::string here = __FILE__;
    std::ifstream file(here.substr(0, here.rfind("test/core/")) + "examples/" + deployment + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TablesParseResult exampleOf(const std::string &deployment)
{
    return Tables::parse(fileText(deployment, "routes.yaml"), fileText(deployment, "pools.yaml"));
}

std::string replaced(std::string text, const std::string &old, const std::string &current)
{
    CHECK_TRUE_TEXT(text.find(old) != std::string::npos, old.c_str());
    return text.replace(text.find(old), old.size(), current);
}

/// Returns the differences after a text replacement in the pools of the "nuitmusee" example.
std::string diffOfPools(const std::string &old, const std::string &current)
{
    const std::string routes = fileText("nuitmusee", "routes.yaml");
    const std::string pools = fileText("nuitmusee", "pools.yaml");
    const auto after = Tables::parse(routes, replaced(pools, old, current));
    return diffText(diffTables(*exampleOf("nuitmusee").tables(), *after.tables()));
}

} // namespace

TEST_GROUP(TablesDiff){};

// The example tables must stay valid when the parser changes.
TEST(TablesDiff, ExampleTablesAreValid)
{
    for (const char *deployment : {"nuitmusee", "hardangerfjord"}) {
        const TablesParseResult result = exampleOf(deployment);
        CHECK_TRUE_TEXT(result.problems.empty(), result.problems.empty() ? "" : result.problems[0].text().c_str());
    }
}

// The tasks of the weekly reckoning must start together or not at all.
TEST(TablesDiff, ExampleReckoningIsAGangJob)
{
    CHECK_TRUE(exampleOf("hardangerfjord").tables()->route(RouteName("weekly-reckoning"))->allAtOnce);
}

// Equal tables must not be reported as different.
TEST(TablesDiff, EqualTablesHaveNoChanges)
{
    STRCMP_EQUAL("no changes\n", diffText(diffTables(*exampleOf("nuitmusee").tables(), *exampleOf("nuitmusee").tables())).c_str());
}

// Operators must see which amount changes, in the same units as in the tables.
TEST(TablesDiff, ChangedFieldShowsBothValuesWithUnits)
{
    STRCMP_EQUAL("~ team parents: limit.memory 256GiB -> 1536MiB\n",
                 diffOfPools("{cpu: 64, memory: 256GiB, slots: 240}", "{cpu: 64, memory: 1.5GiB, slots: 240}").c_str());
}

// A team that loses access to a pool must be visible in the diff.
TEST(TablesDiff, ReportsATeamThatLosesAPool)
{
    STRCMP_EQUAL("~ pool evening: team guides may use it -> (not set)\n", diffOfPools("[coordinators, guides]", "[coordinators]").c_str());
}

// Added and removed entries must be visible in the diff.
TEST(TablesDiff, ReportsAddedAndRemovedEntries)
{
    const std::string text = diffText(diffTables(*exampleOf("nuitmusee").tables(), *exampleOf("hardangerfjord").tables()));
    STRCMP_CONTAINS("- route booking\n", text.c_str());
    STRCMP_CONTAINS("+ route settlement\n~ route settlement: class (not set) -> batch\n", text.c_str());
}
