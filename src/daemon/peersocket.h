// Sends and receives the peer messages of DaemonCore over a PeerTransport.
#pragma once

#include "core/error.h"
#include "core/messages.h"
#include "eventloop.h"
#include "peertransport.h"
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
    ConnectionBudget budget = ConnectionBudget::forPeers({}); ///< Of the daemons that connect to this one.
};

class PeerSocket
{
public:
    using Handler = std::function<void(const DaemonId &from, const PeerMessage &message)>;

    [[nodiscard]] static Result<std::unique_ptr<PeerSocket>> create(EventLoop &loop, const PeerSocketSettings &settings, Handler handler);
    ~PeerSocket() = default;
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    /// Never blocks; a message that can't be queued is dropped and counted.
    void send(const SendPeerMessage &command);
    [[nodiscard]] const PeerCounters &counters() const;

private:
    PeerSocket(const DaemonId &self, Handler handler);
    [[nodiscard]] bool receive(std::string_view bytes);

    DaemonId m_self;
    Handler m_handler;
    std::unique_ptr<PeerTransport> m_transport;
};

} // namespace KingCupLadder
