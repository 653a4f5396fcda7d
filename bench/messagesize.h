// Estimates the size of messages on the wire. JSON bodies are counted as the length of a template with every field name plus the
// lengths of the texts in it; numbers count as the digits that the template shows. HTTP headers are counted apart.
#pragma once

#include "core/messages.h"

#include <cstddef>

namespace KingCupLadder {

/// Request and answer lines with Host, Content-Type and Content-Length of one sync; an assumed constant, not measured.
constexpr std::size_t headerBytesPerSync = 220;

[[nodiscard]] std::size_t bodyBytes(const SyncRequest &request);
[[nodiscard]] std::size_t bodyBytes(const SyncReply &reply);
/// Protobuf: the lengths of the texts plus two bytes for each text, four for each number and two for each nested message.
[[nodiscard]] std::size_t bodyBytes(const Heartbeat &heartbeat);

} // namespace KingCupLadder
