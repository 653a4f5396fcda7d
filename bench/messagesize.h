// Estimates the wire size of messages. The size of a JSON body is the length of a template with all field names plus the lengths
// of the strings in it; numbers have as many digits as in the template. HTTP headers are not included.
#pragma once

#include "core/messages.h"

#include <cstddef>

namespace KingCupLadder {

/// Assumed size of the request line, the status line and the headers Host, Content-Type and Content-Length of one sync.
constexpr std::size_t headerBytesPerSync = 220;

[[nodiscard]] std::size_t bodyBytes(const SyncRequest &request);
[[nodiscard]] std::size_t bodyBytes(const SyncReply &reply);
/// Estimates the protobuf encoding: the lengths of the strings plus two bytes for each string, four bytes for each number and two
/// bytes for each nested message.
[[nodiscard]] std::size_t bodyBytes(const Heartbeat &heartbeat);

} // namespace KingCupLadder
