#include "core/idempotency.h"
#include "fakestore.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Claims)
{
    TimePoint now{Duration(1000)};
    std::uint64_t lastOp = 1000;
    FakeStore store;
    bool loseAnswers = false; ///< Writes take effect, their answers don't come.
    bool down = false;
    std::vector<CallerAnswer> answers;
    ClaimSettings settings;
    const TeamId team{"t"};

    std::unique_ptr<Claims> make(const char *holder)
    {
        settings.holder = DaemonId(holder);
        return std::make_unique<Claims>(settings, [this] { return OpId(++lastOp); });
    }

    StoreReply reply(const StoreTransact &command)
    {
        const StoreReply real = down ? StoreReply{} : store.execute(command);
        return loseAnswers || down ? StoreReply{command.op, StoreStatus::Unknown, {}} : real;
    }

    StoreReply reply(const StoreRead &command)
    {
        return down ? StoreReply{command.op, StoreStatus::Unknown, {}} : store.execute(command);
    }

    void drive(Claims & claims, Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += Duration(10)) {
            claims.tick(now);
            for (const ClaimsOutput &output : claims.takeOutputs()) {
                if (const auto *answer = std::get_if<CallerAnswer>(&output)) {
                    answers.push_back(*answer);
                } else if (const auto *write = std::get_if<StoreTransact>(&output)) {
                    claims.onStoreReply(reply(*write), now);
                } else {
                    claims.onStoreReply(reply(std::get<StoreRead>(output)), now);
                }
            }
        }
    }

    const ClaimState &state(std::size_t index)
    {
        return std::get<ClaimState>(answers.at(index).body);
    }
};

// Guards against two daemons that send the same payment.
TEST(Claims, GivesTheKeyToOneOfTwoDaemons)
{
    const auto a = make("a");
    const auto b = make("b");
    a->claim(OpId(1), team, "k", "f", now);
    drive(*a, Duration(50));
    b->claim(OpId(1), team, "k", "f", now);
    drive(*b, Duration(50));
    CHECK_TRUE(state(0).mine);
    CHECK_FALSE(state(1).mine);
}

// Guards against a request that is refused for good because the answer to its own claim was lost.
TEST(Claims, RecognisesItsOwnClaimAfterALostAnswer)
{
    const auto a = make("a");
    loseAnswers = true;
    a->claim(OpId(1), team, "k", "f", now);
    drive(*a, Duration(500));
    CHECK_TRUE(state(0).mine);
}

// Guards against a key that is reused for a different payment.
TEST(Claims, RefusesAnotherFingerprint)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    a->claim(OpId(2), team, "k", "other", now);
    drive(*a, Duration(50));
    CHECK_TRUE(answers.at(1).error.kind == ErrorKind::Conflict);
}

// Guards against a repeated call that gets no outcome although the first one finished.
TEST(Claims, AnswersARepeatedCallWithTheRecordedOutcome)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    drive(*a, Duration(50));
    loseAnswers = true;
    a->finish(OpId(2), team, "k", "paid", now);
    drive(*a, Duration(500));
    loseAnswers = false;
    a->claim(OpId(3), team, "k", "f", now);
    drive(*a, Duration(50));
    STRCMP_EQUAL("paid", state(2).outcome.c_str());
}

// Guards against a key that stays blocked although its request never ran.
TEST(Claims, RemovesTheClaimWithAnEmptyOutcome)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    drive(*a, Duration(50));
    a->finish(OpId(2), team, "k", "", now);
    drive(*a, Duration(50));
    CHECK_TRUE(store.row("claims", "t/k").version == RowVersion());
}

// Guards against an outcome that is forgotten because the store was down when it was known.
TEST(Claims, RecordsTheOutcomeAfterALongOutage)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    drive(*a, Duration(50));
    down = true;
    a->finish(OpId(2), team, "k", "paid", now);
    drive(*a, Duration(30000));
    down = false;
    drive(*a, Duration(5000));
    STRCMP_EQUAL("paid", ClaimRow::fromJson(store.row("claims", "t/k").value)->outcome.c_str());
}

// Guards against a caller that waits without end, and against a claim that blocks the key after the caller was refused.
TEST(Claims, RefusesWithinTheTimeoutAndThenRemovesItsLateClaim)
{
    const auto a = make("a");
    loseAnswers = true;
    a->claim(OpId(1), team, "k", "f", now);
    drive(*a, Duration(10));
    down = true;
    drive(*a, Duration(6000));
    CHECK_TRUE(answers.at(0).ran == ExecutionStatus::NotRun);
    CHECK_TRUE(store.row("claims", "t/k").version != RowVersion());
    down = false;
    loseAnswers = false;
    drive(*a, Duration(5000));
    CHECK_TRUE(store.row("claims", "t/k").version == RowVersion());
}
