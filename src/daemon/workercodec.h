// Encodes and decodes the sync messages of workers as JSON. Decoding accepts any input.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>

namespace KingCupLadder {

/// Returns the body of POST /v1/sync.
[[nodiscard]] std::string encodeSync(const SyncRequest &request);

/// Returns nullopt if the response is malformed or from another worker than @p worker: a new VM may reuse the address of an old one.
/// SyncReply::inventory, which marks the list of running tasks as complete, is set only if the request asked for an inventory.
[[nodiscard]] std::optional<SyncReply> decodeSyncReply(const WorkerId &worker, bool inventoryRequested, const std::string &body);

} // namespace KingCupLadder
