// Fuzzes the parsers with seeded random mutations of valid input. Every parser must either accept the text or return an error, and
// never crash.
#include "core/backoff.h"
#include "core/job.h"
#include "core/keys.h"
#include "core/ownershiprows.h"
#include "core/tables.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <functional>

using namespace KingCupLadder;

namespace {

constexpr std::uint64_t mutationsPerText = 60;

const std::string routes = "routes:\n  - &a {name: r, class: request, path: /r, pool: p, deadline: 2s, demand: {slots: 1}}\n"
                           "  - {name: b, class: batch, pool: p, startOnce: true, demand: {cpu: 1, memory: 1GiB}}\n";
const std::string pools = "teams:\n  - {name: t, workspace: w, share: 3, limit: {cpu: 8, memory: 8GiB, slots: 4}}\n"
                          "pools:\n  - {name: p, vms: g, power: grid, teams: [t]}\n";

/// Mutates a text: erases ranges, inserts syntax elements and duplicates ranges at random.
std::string mutated(std::string text, RandomSource &random)
{
    constexpr std::array<const char *, 23> syntaxElements{"[",    "]",       "{",    "}",    ":",   ",",  "\"", "'",     "\n",
                                                          "- ",   "&a ",     "*a",   "!!x ", "|\n", "\t", "-1", "1e999", "99999999999999999999",
                                                          "null", "\\u0000", "\xff", "#",    "<<: "};
    for (std::uint64_t i = 0; i <= random.below(4); ++i) {
        const std::size_t position = random.below(text.size() + 1);
        const std::size_t length = random.below(12);
        switch (random.below(3)) {
        case 0:
            text.erase(position, length);
            break;
        case 1:
            text.insert(position, syntaxElements.at(random.below(syntaxElements.size())));
            break;
        default:
            text.insert(random.below(text.size() + 1), text.substr(position, length));
        }
    }
    return text;
}

void forEachMutation(const std::string &text, const std::function<void(const std::string &, const char *)> &check)
{
    for (std::uint64_t seed = 0; seed < mutationsPerText; ++seed) {
        RandomSource random(seed);
        check(mutated(text, random), ("seed " + std::to_string(seed)).c_str());
    }
}

} // namespace

TEST_GROUP(Malformed){};

// No text sent as tables may crash the parser or be rejected without an explanation.
TEST(Malformed, TablesAreAcceptedOrEveryProblemHasARemedy)
{
    for (const bool mutatePools : {false, true}) {
        forEachMutation(mutatePools ? pools : routes, [&](const std::string &text, const char *seed) {
            const TablesParseResult result = mutatePools ? Tables::parse(routes, text) : Tables::parse(text, pools);
            CHECK_EQUAL_TEXT(result.problems.empty(), result.tables().has_value(), seed);
            for (const TableProblem &problem : result.problems) {
                CHECK_FALSE_TEXT(problem.message.empty() || problem.remedy.empty() || problem.line < 0, seed);
            }
        });
    }
}

// A damaged key row must not crash the parser, and must not yield keys with a malformed digest, which KeyList::find() would accept.
TEST(Malformed, KeyListsAreAcceptedOrRejectedWithARemedy)
{
    KeyList list;
    CHECK_TRUE(list.add(TeamKey{KeyId("k1"), TeamId("t"), keyDigest("one"), false}).hasValue());
    CHECK_TRUE(list.add(TeamKey{KeyId("k2"), TeamId("t"), keyDigest("two"), true}).hasValue());
    forEachMutation(list.toJson(), [](const std::string &text, const char *seed) {
        const auto parsed = KeyList::fromJson(text);
        CHECK_TRUE_TEXT(parsed.hasValue() || !parsed.reason().remedy.empty(), seed);
        for (const TeamKey &key : parsed ? parsed.value().keys() : std::vector<TeamKey>()) {
            UNSIGNED_LONGS_EQUAL_TEXT(64, key.digest.size(), seed);
        }
    });
}

// A damaged store row must not crash the parser, and an accepted row must stay the same when written back.
TEST(Malformed, StoreRowsAreAcceptedOrRejected)
{
    const LeaseRow lease{PeerInfo{DaemonId("d"), Incarnation(3), FailureDomain("a"), "1.2.3.4:1", "1.2.3.4:2"}, false, "n"};
    forEachMutation(lease.toJson(), [](const std::string &text, const char *seed) {
        const auto row = LeaseRow::fromJson(text);
        CHECK_TRUE_TEXT(!row || LeaseRow::fromJson(row->toJson())->owner.incarnation == row->owner.incarnation, seed);
    });
    forEachMutation(ShardRow{DaemonId("d"), Incarnation(3), Epoch(4), "n"}.toJson(), [](const std::string &text, const char *seed) {
        const auto row = ShardRow::fromJson(text);
        CHECK_TRUE_TEXT(!row || ShardRow::fromJson(row->toJson())->epoch == row->epoch, seed);
    });
    forEachMutation(JobRecord().toJson(), [](const std::string &text, const char *) { (void)JobRecord::fromJson(text); });
}

// An epoch that is not an unsigned integer could wrap around or go backwards when converted.
TEST(Malformed, EpochsMustBeUnsignedIntegers)
{
    for (const char *epoch : {"-1", "1.5", "1e3", "\"7\"", "null", "18446744073709551616"}) {
        const std::string text = std::string(R"({"owner":"d","incarnation":1,"epoch":)") + epoch + R"(,"nonce":"n"})";
        CHECK_FALSE_TEXT(ShardRow::fromJson(text).has_value(), epoch);
    }
}
