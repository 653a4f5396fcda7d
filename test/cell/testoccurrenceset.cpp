#include "cell/occurrenceset.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

using Ranges = std::vector<std::pair<int, int>>;

TEST_GROUP(OccurrenceSet)
{
    OccurrenceSet set;
};

TEST(OccurrenceSet, MergesOccurrencesThatFollowEachOther)
{
    for (const int occurrence : {4, 2, 3, 7, 5}) {
        set.insert(occurrence, occurrence);
    }
    CHECK_TRUE(set.ranges() == (Ranges{{2, 5}, {7, 7}}));
    CHECK_EQUAL(5, set.size());
}

// Guards against counting an occurrence twice, which would end a job before its last occurrence.
TEST(OccurrenceSet, CountsAnOccurrenceOnce)
{
    set.insert(2, 6);
    set.insert(4, 4);
    set.insert(0, 9);
    set.insert(5, 12);
    CHECK_TRUE(set.ranges() == (Ranges{{0, 12}}));
    CHECK_EQUAL(13, set.size());
}

TEST(OccurrenceSet, FindsTheFirstMissingOccurrence)
{
    set.insert(2, 5);
    CHECK_EQUAL(1, set.firstMissingFrom(1));
    CHECK_EQUAL(6, set.firstMissingFrom(2));
    CHECK_EQUAL(6, set.firstMissingFrom(5));
    CHECK_TRUE(set.contains(5));
    CHECK_FALSE(set.contains(6));
}
