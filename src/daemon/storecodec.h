// Encodes and decodes store messages in the JSON format of the platform. Decoding accepts any input.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// Returns the body of POST /v1/tx.
[[nodiscard]] std::string encodeTransaction(const StoreTransaction &transaction);

/// Returns the status and rows of the response to @p transaction. Anything but a well-formed response is StoreStatus::Unknown.
[[nodiscard]] StoreReply decodeTransactionReply(const StoreTransaction &transaction, int httpStatus, const std::string &body);

/// One page of rows.
struct RowPage {
    std::vector<Row> rows;
    bool more = false; ///< Whether there are further rows after the last one.
};

/// Returns the path and query of GET /v1/rows. @p after is the last key of the previous page; empty for the first page.
[[nodiscard]] std::string rowsTarget(const std::string &table, const std::string &prefix, const std::string &after, std::size_t limit);

/// Returns nullopt if the response is malformed or from another table.
[[nodiscard]] std::optional<RowPage> decodeRows(const std::string &table, const std::string &body);

/// Returns nullopt if the response is malformed.
[[nodiscard]] std::optional<std::vector<VmInfo>> decodeVms(const std::string &body);

} // namespace KingCupLadder
