// Translates the worker's sync message to and from JSON. Decoding is total on malformed input.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>

namespace KingCupLadder {

/// The body of POST /v1/sync.
[[nodiscard]] std::string encodeSync(const SyncRequest &request);

/// Empty if the answer is malformed or comes from another worker than @p worker: a VM's address may be reused by a new VM.
/// A list of running tasks counts as complete only if the request asked for an inventory.
[[nodiscard]] std::optional<SyncReply> decodeSyncReply(const WorkerId &worker, bool inventoryRequested, const std::string &body);

} // namespace KingCupLadder
