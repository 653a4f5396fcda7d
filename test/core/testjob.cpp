#include "core/job.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(TaskIdText){};

// A parser that splits at the first slash would attribute reports on a task to another job.
TEST(TaskIdText, RoundTripsJobIdsThatContainSlashes)
{
    const TaskId id{JobId("team/a:1"), 7, 3};
    CHECK_TRUE(TaskId::fromText(id.text()) == id);
}

// A text that is not a task id must not be taken for index 0 or attempt 0 of some job.
TEST(TaskIdText, RejectsTextWithoutNumbers)
{
    CHECK_FALSE(TaskId::fromText("job/x/1").has_value());
}

TEST_GROUP(JobRecordJson){};

// A field that is missing in one direction of the conversion would be lost when the record is read back.
TEST(JobRecordJson, RoundTripsEveryField)
{
    JobRecord record;
    record.spec.id = JobId("j");
    record.spec.team = TeamId("t");
    record.spec.partition = PartitionPolicy::Move;
    record.spec.allAtOnce = true;
    record.spec.taskCount = 4;
    record.spec.declaredRunTime = Duration(1500);
    record.state = JobState::Parked;
    record.reason = "failed on 3 workers";
    const auto read = JobRecord::fromJson(record.toJson());
    CHECK_TRUE(read.has_value());
    STRCMP_EQUAL(record.toJson().c_str(), read->toJson().c_str());
}

// A damaged row must be rejected without an exception that reaches the caller.
TEST(JobRecordJson, RejectsTruncatedText)
{
    CHECK_FALSE(JobRecord::fromJson("{\"spec\":").has_value());
}
