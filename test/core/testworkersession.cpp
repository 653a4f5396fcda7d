#include "core/workersession.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(WorkerSession)
{
    TimePoint now{Duration(1000)};
    WorkerSessionSettings settings;
    void setup() override
    {
        settings.epoch = Epoch(2);
    }

    static WorkerReply replyTo(OpId op, const SyncRequest &request)
    {
        SyncReply reply;
        reply.epoch = request.epoch;
        reply.sequence = request.sequence;
        reply.inventory = request.inventory;
        return WorkerReply{op, {}, reply};
    }
};

// Guards against commitments on a worker whose inventory was not read.
TEST(WorkerSession, MayCommitOnlyAfterAnInventory)
{
    WorkerSession session(settings, now);
    CHECK_FALSE(session.mayCommit());
    CHECK_TRUE(session.onReply(replyTo(OpId(1), session.beginBatch(OpId(1), now)), now) == ReplyEffect::Accepted);
    CHECK_TRUE(session.mayCommit());
}

// Guards against commitments while it is unknown whether a lost batch took effect.
TEST(WorkerSession, LostReplyRequiresAnInventory)
{
    WorkerSession session(settings, now);
    (void)session.onReply(replyTo(OpId(1), session.beginBatch(OpId(1), now)), now);
    (void)session.beginBatch(OpId(2), now);
    CHECK_TRUE(session.onReply(WorkerReply{OpId(2), {}, std::nullopt}, now) == ReplyEffect::Lost);
    CHECK_FALSE(session.mayCommit());
    CHECK_TRUE(session.beginBatch(OpId(3), now).inventory);
}

// Guards against taking a late reply for the reply to the batch in flight.
TEST(WorkerSession, IgnoresAReplyToAnEarlierBatch)
{
    WorkerSession session(settings, now);
    const SyncRequest first = session.beginBatch(OpId(1), now);
    now += settings.replyTimeout;
    CHECK_TRUE(session.onTimeout(now));
    (void)session.beginBatch(OpId(2), now);
    CHECK_TRUE(session.onReply(replyTo(OpId(1), first), now) == ReplyEffect::Ignored);
    CHECK_TRUE(session.isInFlight());
}

// Guards against a session being refused forever by a worker that has seen higher sequence numbers of this epoch.
TEST(WorkerSession, ContinuesAfterTheSequenceOfARefusal)
{
    WorkerSession session(settings, now);
    WorkerReply refusal = replyTo(OpId(1), session.beginBatch(OpId(1), now));
    refusal.reply->refused = true;
    refusal.reply->sequence = Sequence(9);
    CHECK_TRUE(session.onReply(refusal, now) == ReplyEffect::Refused);
    CHECK_TRUE(session.beginBatch(OpId(2), now).sequence == Sequence(10));
}
