#include "daemon/peercodec.h"
#include "textmutation.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

GrantSpec grantSpec()
{
    return {RouteName("r"), PoolName("p"), TeamId("t"), Priority::Urgent, {MilliCores(1), MebiBytes(2), {}, Slots(1)}, Duration(900), {WorkerId("w")}};
}

JobSpec job()
{
    JobSpec spec;
    spec.id = JobId("t:1");
    spec.team = TeamId("t");
    spec.workClass = WorkClass::Service;
    spec.partition = PartitionPolicy::Move;
    spec.allAtOnce = true;
    spec.taskCount = 9;
    spec.demand.accelerators = Accelerators(2);
    spec.declaredRunTime = Duration(5);
    spec.payload = std::string("\0\xff", 2);
    return spec;
}

Heartbeat heartbeat()
{
    Heartbeat sample;
    sample.self = {DaemonId("d"), Incarnation(4), FailureDomain("f"), "1.2.3.4:5", "1.2.3.4:6"};
    sample.storeAge = Duration(7);
    sample.keys = ConfigVersion(8);
    sample.domains = {{FailureDomain("g"), Duration(1), Duration(2)}};
    sample.known = {sample.self};
    sample.owned = {{ShardId("p/f/0"), Epoch(3), {MilliCores(5), {}, {}, {}}, 6}};
    sample.leaving = {WorkerId("w")};
    sample.withdrawn = {KeyId("k")};
    return sample;
}

std::vector<PeerMessage> allMessages()
{
    const Grant grant{GrantId("g"), ShardId("s"), Epoch(2), WorkerId("w"), "1.2.3.4:5", Duration(800)};
    return {heartbeat(),
            ConfigPush{ConfigKind::Keys, ConfigVersion(3), "text"},
            ConfigPull{ConfigKind::Keys, ConfigVersion(2)},
            GrantRequest{OpId(1), ShardId("s"), grantSpec()},
            GrantReply{OpId(1), grant, {}},
            GrantReply{OpId(1), std::nullopt, {ErrorKind::NoRoom, "full", "wait"}},
            GrantRelease{ShardId("s"), GrantId("g"), GrantOutcome::TimedOut},
            JobForward{OpId(2), ShardId("s"), {job()}},
            JobForwardReply{OpId(2), ShardId("s"), true},
            CancelForward{OpId(3), ShardId("s"), {JobId("t:1")}},
            HandOver{ShardId("s"), Epoch(9)},
            StatusQuery{OpId(4), "vms"},
            StatusReply{OpId(4), "{}"}};
}

} // namespace

TEST_GROUP(PeerCodec){};

// Guards against fields that are encoded but not decoded, and against messages that are decoded as another kind.
TEST(PeerCodec, RoundTripsEveryKindOfMessage)
{
    for (const PeerMessage &message : allMessages()) {
        const std::string bytes = encodePeerMessage(DaemonId("d"), message);
        const auto decoded = decodePeerMessage(bytes);
        CHECK_TRUE_TEXT(decoded.hasValue(), decoded.reason().text().c_str());
        CHECK_TRUE(bytes == encodePeerMessage(decoded.value().from, decoded.value().message));
        LONGS_EQUAL(message.index(), decoded.value().message.index());
    }
}

// Guards against a job that changes when it is forwarded to the owner of its shard.
TEST(PeerCodec, KeepsEveryFieldOfAJob)
{
    const auto decoded = decodePeerMessage(encodePeerMessage(DaemonId("d"), JobForward{OpId(2), ShardId("s"), {job()}}));
    CHECK_TRUE(std::get<JobForward>(decoded.value().message).jobs.at(0) == job());
}

// Guards against accepting messages whose sender is not known.
TEST(PeerCodec, RejectsAMessageWithoutSender)
{
    CHECK_FALSE(decodePeerMessage(encodePeerMessage(DaemonId(), HandOver{ShardId("s"), Epoch(1)})).hasValue());
}

// Guards against accepting a negative demand, which would free capacity that is in use.
TEST(PeerCodec, RejectsANegativeDemand)
{
    GrantSpec invalid = grantSpec();
    invalid.demand.cpu = MilliCores(-1);
    CHECK_FALSE(decodePeerMessage(encodePeerMessage(DaemonId("d"), GrantRequest{OpId(1), ShardId("s"), invalid})).hasValue());
}

// Guards against reading an enum value of a newer version as another value.
TEST(PeerCodec, RejectsAnUnknownGrantOutcome)
{
    const GrantRelease invalid{ShardId("s"), GrantId("g"), static_cast<GrantOutcome>(9)};
    CHECK_FALSE(decodePeerMessage(encodePeerMessage(DaemonId("d"), invalid)).hasValue());
}

// Guards against crashes on malformed input; seed 11.
TEST(PeerCodec, ToleratesMutatedMessages)
{
    std::mt19937_64 random(11);
    const auto messages = allMessages();
    for (int i = 0; i < 5000; ++i) {
        const auto decoded = decodePeerMessage(mutated(encodePeerMessage(DaemonId("d"), messages[random() % messages.size()]), random));
        CHECK_TRUE(decoded.hasValue() || decoded.reason().kind == ErrorKind::InvalidInput);
    }
}
