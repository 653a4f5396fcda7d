// The ZeroMQ side of one daemon: one bound ROUTER that receives, and one DEALER per peer address that sends. Both are driven
// from the event loop through their descriptors.
#pragma once

#include "core/error.h"
#include "core/messages.h"
#include "eventloop.h"
#include "settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace KingCupLadder {

struct PeerSocketSettings {
    DaemonId self;
    std::string address; ///< "ip:port" to bind.
    std::optional<CurveKeys> curve;
};

struct PeerCounters {
    std::uint64_t sent = 0;
    std::uint64_t dropped = 0; ///< Not sent: the peer is not connected or its queue is full.
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

class PeerSocket
{
public:
    using Handler = std::function<void(const DaemonId &from, const PeerMessage &message)>;

    [[nodiscard]] static Result<std::unique_ptr<PeerSocket>> create(EventLoop &loop, const PeerSocketSettings &settings, Handler handler);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    /// Never blocks; a message that can't be queued is dropped and counted.
    void send(const SendPeer &command);
    [[nodiscard]] const PeerCounters &counters() const;

private:
    PeerSocket();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
