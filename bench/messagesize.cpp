// JSON templates of the messages and size computations.
#include "messagesize.h"

#include <string_view>

namespace KingCupLadder {

namespace {

constexpr std::string_view requestTemplate = R"({"owner":"","epoch":12,"sequence":123456,"inventory":false,"leaseMs":10000,"starts":[],"stops":[],"acks":[]})";
constexpr std::string_view idTemplate = R"("job":"","index":123,"attempt":1)";
constexpr std::string_view ackTemplate = R"("/123/1",)";
constexpr std::string_view controlTemplate = R"({"task":"/123/1","how":"checkpoint"},)";
constexpr std::string_view demandTemplate = R"("demand":{"milliCores":1500,"memoryMiB":4096,"accelerators":0,"slots":0},)";
constexpr std::string_view startTemplate = R"({,"team":"","route":"",,"runMs":10000,"leaseMs":10000,"voidAfterMs":0,"payload":""},)";
constexpr std::string_view replyTemplate = R"({"worker":"w1234","accepted":true,"refused":false,"epoch":12,"sequence":123456,"supportsEpochs":true,)"
                                           R"("capacity":{"milliCores":16000,"memoryMiB":65536,"accelerators":0,"slots":8,"connections":60},)"
                                           R"("running":[],"ended":[],"busySlots":0})";
constexpr std::string_view runningTemplate = R"({,"team":"","route":"",,,"leaseMs":10000},)";
constexpr std::string_view endedTemplate = R"({"task":"/123/1","outcome":"succeeded","reason":""},)";

// Estimated bytes of protobuf fields.
constexpr std::size_t stringFieldOverhead = 2;
constexpr std::size_t numberFieldSize = 4;
constexpr std::size_t nestedFieldOverhead = 2;

std::size_t peerInfoBytes(const PeerInfo &peer)
{
    const std::size_t stringBytes = peer.id.value().size() + peer.domain.value().size() + peer.peerAddress.size() + peer.httpAddress.size();
    return stringBytes + 4 * stringFieldOverhead + numberFieldSize + nestedFieldOverhead;
}

} // namespace

std::size_t bodyBytes(const SyncRequest &request)
{
    std::size_t bytes = requestTemplate.size() + request.owner.value().size();
    for (const TaskStart &start : request.starts) {
        const std::size_t stringBytes = start.id.job.value().size() + start.team.value().size() + start.route.value().size() + start.payload.size();
        bytes += startTemplate.size() + idTemplate.size() + demandTemplate.size() + stringBytes;
    }
    for (const TaskControl &control : request.controls) {
        bytes += controlTemplate.size() + control.id.job.value().size();
    }
    for (const TaskId &id : request.acknowledged) {
        bytes += ackTemplate.size() + id.job.value().size();
    }
    return bytes;
}

std::size_t bodyBytes(const SyncReply &reply)
{
    std::size_t bytes = replyTemplate.size();
    for (const RunningTask &task : reply.running) {
        const std::size_t stringBytes = task.id.job.value().size() + task.team.value().size() + task.route.value().size();
        bytes += runningTemplate.size() + idTemplate.size() + 2 * demandTemplate.size() + stringBytes; // Demand and usage.
    }
    for (const EndedTask &task : reply.ended) {
        bytes += endedTemplate.size() + task.id.job.value().size() + task.reason.size();
    }
    return bytes;
}

// The factors are the numbers of numeric and nested fields of each message.
std::size_t bodyBytes(const Heartbeat &heartbeat)
{
    std::size_t bytes = peerInfoBytes(heartbeat.self) + 6 * numberFieldSize;
    for (const HeartbeatEcho &echo : heartbeat.echoes) {
        bytes += echo.daemon.value().size() + stringFieldOverhead + 2 * numberFieldSize + nestedFieldOverhead;
    }
    for (const DomainView &view : heartbeat.domains) {
        bytes += view.domain.value().size() + stringFieldOverhead + 2 * numberFieldSize + nestedFieldOverhead;
    }
    for (const PeerInfo &peer : heartbeat.known) {
        bytes += peerInfoBytes(peer);
    }
    for (const OwnedShard &shard : heartbeat.owned) {
        bytes += shard.id.value().size() + stringFieldOverhead + 6 * numberFieldSize + 2 * nestedFieldOverhead;
    }
    for (const WorkerId &worker : heartbeat.leaving) {
        bytes += worker.value().size() + stringFieldOverhead;
    }
    for (const KeyId &key : heartbeat.withdrawn) {
        bytes += key.value().size() + stringFieldOverhead;
    }
    return bytes;
}

} // namespace KingCupLadder
