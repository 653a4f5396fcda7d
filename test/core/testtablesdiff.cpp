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

/// The difference after a change in the pools of the first example.
std::string diffOfPools(const std::string &old, const std::string &current)
{
    const std::string routes = fileText("nuitmusee", "routes.yaml");
    const std::string pools = fileText("nuitmusee", "pools.yaml");
    const auto after = Tables::parse(routes, replaced(pools, old, current));
    return diffText(diffTables(*exampleOf("nuitmusee").tables(), *after.tables()));
}

} // namespace

TEST_GROUP(TablesDiff){};

// Guards against example tables that the parser refuses.
TEST(TablesDiff, ExampleTablesAreValid)
{
    for (const char *deployment : {"nuitmusee", "hardangerfjord"}) {
        const TablesParseResult check = exampleOf(deployment);
        CHECK_TRUE_TEXT(check.problems.empty(), check.problems.empty() ? "" : check.problems[0].text().c_str());
    }
}

// Guards against a weekly reckoning that starts in parts.
TEST(TablesDiff, ExampleReckoningIsAGangJob)
{
    CHECK_TRUE(exampleOf("hardangerfjord").tables()->route(RouteName("weekly-reckoning"))->allAtOnce);
}

// Guards against differences reported where there are none.
TEST(TablesDiff, EqualTablesHaveNoChanges)
{
    STRCMP_EQUAL("no changes\n", diffText(diffTables(*exampleOf("nuitmusee").tables(), *exampleOf("nuitmusee").tables())).c_str());
}

// Guards against operators who can't see which amount changes.
TEST(TablesDiff, ChangedFieldShowsBothValuesWithUnits)
{
    STRCMP_EQUAL("~ team parents: limit.memory 256GiB -> 1536MiB\n",
                 diffOfPools("{cpu: 64, memory: 256GiB, slots: 240}", "{cpu: 64, memory: 1.5GiB, slots: 240}").c_str());
}

// Guards against a team that loses a pool unnoticed.
TEST(TablesDiff, TeamThatLosesAPoolIsNamed)
{
    STRCMP_EQUAL("~ pool evening: team guides may use it -> (not set)\n", diffOfPools("[coordinators, guides]", "[coordinators]").c_str());
}

// Guards against entries that vanish unnoticed.
TEST(TablesDiff, AddedAndRemovedEntriesAreNamed)
{
    const std::string text = diffText(diffTables(*exampleOf("nuitmusee").tables(), *exampleOf("hardangerfjord").tables()));
    STRCMP_CONTAINS("- route booking\n", text.c_str());
    STRCMP_CONTAINS("+ route settlement\n~ route settlement: class (not set) -> batch\n", text.c_str());
}
