#include "core/job.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(TaskIdText){};

TEST(TaskIdText, RoundTripsJobIdsThatContainSlashes)
{
    const TaskId id{JobId("team/a:1"), 7, 3};
    CHECK_TRUE(TaskId::fromText(id.text()) == id);
}

TEST(TaskIdText, RejectsTextWithoutNumbers)
{
    CHECK_FALSE(TaskId::fromText("job/x/1").has_value());
}

TEST_GROUP(JobRecordJson){};

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

TEST(JobRecordJson, RejectsTruncatedText)
{
    CHECK_FALSE(JobRecord::fromJson("{\"spec\":").has_value());
}
