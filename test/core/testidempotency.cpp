#include "core/idempotency.h"
#include "fakestore.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(IdempotencyClaims)
{
    TimePoint now{Duration(1000)};
    std::uint64_t lastOp = 1000;
    FakeStore store;
    bool loseReplies = false; ///< Writes take effect, but their replies are lost.
    bool storeDown = false; ///< No operation takes effect or gets a reply.
    std::vector<CallerAnswer> answers;
    ClaimSettings settings;
    const TeamId team{"t"};

    std::unique_ptr<IdempotencyClaims> make(const char *holder)
    {
        settings.holder = DaemonId(holder);
        return std::make_unique<IdempotencyClaims>(settings, [this] { return OpId(++lastOp); });
    }

    StoreReply reply(const StoreTransaction &command)
    {
        const StoreReply real = storeDown ? StoreReply{} : store.execute(command);
        return loseReplies || storeDown ? StoreReply{command.op, StoreStatus::Unknown, {}} : real;
    }

    StoreReply reply(const StoreRead &command)
    {
        return storeDown ? StoreReply{command.op, StoreStatus::Unknown, {}} : store.execute(command);
    }

    void runFor(IdempotencyClaims & claims, Duration span)
    {
        for (const TimePoint end = now + span; now < end; now += Duration(10)) {
            claims.tick(now);
            for (const ClaimsOutput &output : claims.takeOutputs()) {
                if (const auto *answer = std::get_if<CallerAnswer>(&output)) {
                    answers.push_back(*answer);
                } else if (const auto *write = std::get_if<StoreTransaction>(&output)) {
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

// Guards against two daemons that send the same non-idempotent request, such as a payment.
TEST(IdempotencyClaims, GivesTheKeyToOneOfTwoDaemons)
{
    const auto a = make("a");
    const auto b = make("b");
    a->claim(OpId(1), team, "k", "f", now);
    runFor(*a, Duration(50));
    b->claim(OpId(1), team, "k", "f", now);
    runFor(*b, Duration(50));
    CHECK_TRUE(state(0).acquired);
    CHECK_FALSE(state(1).acquired);
}

// Guards against refusing a request permanently because the reply to its own claim was lost.
TEST(IdempotencyClaims, RecognisesItsOwnClaimAfterALostReply)
{
    const auto a = make("a");
    loseReplies = true;
    a->claim(OpId(1), team, "k", "f", now);
    runFor(*a, Duration(500));
    CHECK_TRUE(state(0).acquired);
}

// Guards against reusing a key for a different request.
TEST(IdempotencyClaims, RefusesAnotherFingerprint)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    a->claim(OpId(2), team, "k", "other", now);
    runFor(*a, Duration(50));
    CHECK_TRUE(answers.at(1).error.kind == ErrorKind::Conflict);
}

// Guards against a repeated call that gets no outcome although the first one finished.
TEST(IdempotencyClaims, AnswersARepeatedCallWithTheRecordedOutcome)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    runFor(*a, Duration(50));
    loseReplies = true;
    a->finish(OpId(2), team, "k", "paid", now);
    runFor(*a, Duration(500));
    loseReplies = false;
    a->claim(OpId(3), team, "k", "f", now);
    runFor(*a, Duration(50));
    STRCMP_EQUAL("paid", state(2).outcome.c_str());
}

// Guards against a key that stays claimed although its request never ran.
TEST(IdempotencyClaims, RemovesTheClaimWithAnEmptyOutcome)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    runFor(*a, Duration(50));
    a->finish(OpId(2), team, "k", "", now);
    runFor(*a, Duration(50));
    CHECK_TRUE(store.row("claims", "t/k").version == RowVersion());
}

// Guards against losing an outcome that becomes known while the store is down.
TEST(IdempotencyClaims, RecordsTheOutcomeAfterALongOutage)
{
    const auto a = make("a");
    a->claim(OpId(1), team, "k", "f", now);
    runFor(*a, Duration(50));
    storeDown = true;
    a->finish(OpId(2), team, "k", "paid", now);
    runFor(*a, Duration(30000));
    storeDown = false;
    runFor(*a, Duration(5000));
    STRCMP_EQUAL("paid", ClaimRow::fromJson(store.row("claims", "t/k").value)->outcome.c_str());
}

// Guards against a caller that waits forever, and against a claim that blocks the key after the caller was refused.
TEST(IdempotencyClaims, RefusesWithinTheTimeoutAndThenRemovesItsLateClaim)
{
    const auto a = make("a");
    loseReplies = true;
    a->claim(OpId(1), team, "k", "f", now);
    runFor(*a, Duration(10));
    storeDown = true;
    runFor(*a, Duration(6000));
    CHECK_TRUE(answers.at(0).ran == ExecutionStatus::NotRun);
    CHECK_TRUE(store.row("claims", "t/k").version != RowVersion());
    storeDown = false;
    loseReplies = false;
    runFor(*a, Duration(5000));
    CHECK_TRUE(store.row("claims", "t/k").version == RowVersion());
}
