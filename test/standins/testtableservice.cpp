#include "standins/tableservice.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder::StandIn;
using nlohmann::json;

namespace {

json write(const char *kind, const char *key, int version = 0)
{
    return {{"kind", kind}, {"table", "t"}, {"key", key}, {"version", version}, {"value", "v"}};
}

} // namespace

TEST_GROUP(TableService)
{
    TableService tables;
};

// Guards against a conflicting transaction that is partially applied, because writes before the failed condition are not undone.
TEST(TableService, WritesNothingIfOneConditionFails)
{
    (void)tables.transact({{"writes", {write("insert", "a")}}});
    CHECK_FALSE(tables.transact({{"writes", {write("insert", "b"), write("insert", "a")}}}).at("ok").get<bool>());
    CHECK_EQUAL(0U, tables.rows("t", "b", "", 10).at("rows").size());
}

// Guards against a compare-and-set that succeeds on a row that was deleted and inserted again (ABA problem).
TEST(TableService, NeverReusesAVersionAfterADelete)
{
    (void)tables.transact({{"writes", {write("insert", "a")}}});
    (void)tables.transact({{"writes", {write("delete", "a", 1)}}});
    const json response = tables.transact({{"writes", {write("insert", "a")}}});
    CHECK_EQUAL(2, response.at("rows").at(0).at("version").get<int>());
}

// Guards against a page that does not say that more rows follow, so that the reader takes the first page for the whole table.
TEST(TableService, SaysThatMoreRowsFollowAPage)
{
    (void)tables.transact({{"writes", {write("insert", "a"), write("insert", "b")}}});
    CHECK_TRUE(tables.rows("t", "", "", 1).at("more").get<bool>());
    CHECK_FALSE(tables.rows("t", "", "a", 1).at("more").get<bool>());
}

// Guards against a VM list that is visible at once. Tests would then not cover daemons that act on an outdated list, as on the
// platform.
TEST(TableService, ShowsTheVmListAfterItsLag)
{
    VmList vms(100);
    vms.put({{"vms", {{{"id", "w1"}}}}}, 1000);
    CHECK_EQUAL(0U, vms.visible(1099).at("vms").size());
    CHECK_EQUAL(1U, vms.visible(1100).at("vms").size());
}
