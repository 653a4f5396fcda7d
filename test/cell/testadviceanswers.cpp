// Answers of the policy service that are faulty, and the sizes of calls that follow from the answers.
#include "cell/advicequery.h"
#include "fakecell.h"

#include <CppUTest/TestHarness.h>

namespace KingCupLadder {

namespace {

/// Runs a job whose calls to the policy service are answered as the cell's hooks say.
void runAdvisedJob(FakeCell &cell)
{
    cell.addRoute("advised", 0, AdviceSettings{20, 1, Duration(2500)});
    cell.startLeadership();
    cell.run(Duration(300));
    cell.submit(cellJob("job", 2, 1000, Duration(500), "advised"));
    cell.run(Duration(2000));
}

} // namespace

TEST_GROUP(AdviceAnswers){};

// Guards against starts on workers that no call has named.
TEST(AdviceAnswers, IgnoresWorkersThatWereNotAskedAbout)
{
    FakeCell cell(4);
    cell.onAdviceAnswer = [](const AdviceCall &, AdviceAnswer &answer) { answer.allowed.emplace_back(WorkerId("stranger"), "ticket"); };
    runAdvisedJob(cell);
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_TRUE(cell.scheduler->counters().advice.faultyAnswers > 0);
}

// Guards against an answer that is counted twice.
TEST(AdviceAnswers, IgnoresASecondCopyOfAnAnswer)
{
    FakeCell cell(4);
    cell.answerCopies = 2;
    runAdvisedJob(cell);
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
    CHECK_EQUAL(1U, cell.scheduler->counters().advice.firstAnswers.at(0).answers);
}

// Guards against a log that is flooded by a policy service whose answers are all faulty.
TEST(AdviceAnswers, LogsALimitedNumberOfFaultyAnswers)
{
    FakeCell cell(4);
    int lines = 0;
    cell.log = [&lines](const std::string &line) { lines += line.rfind("answer of the policy service", 0) == 0 ? 1 : 0; };
    cell.answerCopies = 100;
    runAdvisedJob(cell);
    CHECK_TRUE(lines > 0 && lines <= 10);
}

// Guards against a step that waits for ever because its first answer allowed no worker.
TEST(AdviceAnswers, AsksAgainAfterAnEmptyAnswer)
{
    FakeCell cell(40);
    cell.onAdviceAnswer = [first = true](const AdviceCall &, AdviceAnswer &answer) mutable {
        if (std::exchange(first, false)) {
            answer.allowed.clear();
        }
    };
    runAdvisedJob(cell);
    CHECK_TRUE(cell.state("job") == CellJobState::Succeeded);
}

// Guards against calls that name three times the workers that a step needs, where the policy allows nearly all of them.
TEST(AdviceAnswers, NameFewerWorkersWhereMoreAreAllowed)
{
    AllowedShares shares;
    const RouteName route("advised");
    const int before = slotsToName(20, true, shares.share(route));
    for (int i = 0; i < 50; ++i) {
        shares.onAnswer(route, 20, 18);
    }
    CHECK_TRUE(slotsToName(20, true, shares.share(route)) <= before / 2);
}

} // namespace KingCupLadder
