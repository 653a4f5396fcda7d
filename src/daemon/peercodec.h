// Translates peer messages to and from the protobuf Envelope. Decoding is total: malformed input gives an error.
#pragma once

#include "core/error.h"
#include "core/messages.h"

#include <string>

namespace KingCupLadder {

/// Larger envelopes are refused on both sides; the tables may take 2 MiB.
constexpr std::size_t maxPeerMessageBytes = 8UL * 1024 * 1024;

struct PeerEnvelope {
    DaemonId from;
    PeerMessage message;
};

[[nodiscard]] std::string encodePeerMessage(const DaemonId &from, const PeerMessage &message);

/// ErrorKind::InvalidInput: not an envelope, without sender or body, or with a value out of range.
[[nodiscard]] Result<PeerEnvelope> decodePeerMessage(const std::string &bytes);

} // namespace KingCupLadder
