// ZeroMQ transport of one daemon: one DEALER socket per peer address sends, and a PeerListener receives. Without a budget or with CURVE keys, a bound
// ROUTER socket receives instead, whose file descriptor the event loop watches. Carries opaque bytes.
#pragma once

#include "core/callerlimits.h"
#include "core/error.h"
#include "eventloop.h"
#include "settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace KingCupLadder {

struct PeerTransportSettings {
    std::string address; ///< "ip:port" to bind.
    std::optional<CurveKeys> curve;
    std::size_t maxMessageBytes = 8UL * 1024 * 1024;
    /// Of all peers that connect to this daemon. Empty, or with CURVE keys: a ROUTER socket receives, which bounds only the messages of each peer.
    std::optional<ConnectionBudget> receiveBudget;
    std::size_t maxPeers = 4000; ///< Largest number of peers that this daemon connects to.
    Duration pingInterval{1000};
    Duration pingTimeout{3000}; ///< A connection that is silent for this long is replaced.
    Duration connectTimeout{2000}; ///< Needed for powered-off peers, which don't respond instead of refusing connections.
    Duration maxReconnectInterval{2000}; ///< Longest interval between attempts to connect.
};

struct PeerCounters {
    std::uint64_t sent = 0;
    std::uint64_t dropped = 0; ///< Not sent: the peer is not connected or its queue is full.
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

class PeerTransport
{
public:
    /// Handles a received message. Returns false if the message is malformed.
    using Handler = std::function<bool(std::string_view bytes)>;

    [[nodiscard]] static Result<std::unique_ptr<PeerTransport>> create(EventLoop &loop, const PeerTransportSettings &settings, Handler handler);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /// Never blocks; a message that can't be queued is dropped and counted.
    void send(const std::string &address, const std::string &bytes);
    [[nodiscard]] const PeerCounters &counters() const;

private:
    PeerTransport();
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
