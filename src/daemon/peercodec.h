// Encodes and decodes peer messages as protobuf Envelopes. Decoding accepts any input; malformed input yields an error.
#pragma once

#include "core/error.h"
#include "core/messages.h"

#include <string>

namespace KingCupLadder {

/// Largest encoded envelope; senders drop and receivers refuse larger ones. The tables alone may take 2 MiB.
constexpr std::size_t maxPeerMessageBytes = 8UL * 1024 * 1024;

struct PeerEnvelope {
    DaemonId from;
    PeerMessage message;
};

[[nodiscard]] std::string encodePeerMessage(const DaemonId &from, const PeerMessage &message);

/// Returns ErrorKind::InvalidInput if the bytes are no envelope, lack a sender or a body, or hold a value out of range.
[[nodiscard]] Result<PeerEnvelope> decodePeerMessage(const std::string &bytes);

} // namespace KingCupLadder
