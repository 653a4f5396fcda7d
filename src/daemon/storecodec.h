// Translates store messages to and from the JSON of the platform. Decoding is total on malformed input.
#pragma once

#include "core/messages.h"

#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

/// The body of POST /v1/tx.
[[nodiscard]] std::string encodeTransaction(const StoreTransact &transact);

/// The status and rows of the answer to @p transact. Anything that is not a well-formed answer is StoreStatus::Unknown.
[[nodiscard]] StoreReply decodeTransactionReply(const StoreTransact &transact, int httpStatus, const std::string &body);

/// One page of rows.
struct RowPage {
    std::vector<Row> rows;
    bool more = false; ///< There are rows after the last one.
};

/// The path and query of GET /v1/rows. @p after is the last key of the previous page; empty for the first.
[[nodiscard]] std::string rowsTarget(const std::string &table, const std::string &prefix, const std::string &after, std::size_t limit);

/// Empty if the answer is malformed or not of this table.
[[nodiscard]] std::optional<RowPage> decodeRows(const std::string &table, const std::string &body);

/// Empty if the answer is malformed.
[[nodiscard]] std::optional<std::vector<VmInfo>> decodeVms(const std::string &body);

} // namespace KingCupLadder
