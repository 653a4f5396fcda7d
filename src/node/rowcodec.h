// Converts the cell's types to and from the protobuf messages that are stored in rows and sent to peers. Decoding never throws: decodeRow()
// returns an empty value for malformed input.
#pragma once

#include "cell.pb.h"
#include "cell/celljob.h"
#include "cell/leadership.h"
#include "cell/workertable.h"
#include "tablestore.h"

#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder {

[[nodiscard]] CellWire::JobRow toWire(const CellJob &job);
/// Returns an empty value if checkJob() rejects the job.
[[nodiscard]] std::optional<CellJob> fromWire(const CellWire::JobRow &row);
[[nodiscard]] CellWire::ProgressRow toWire(const JobProgress &progress, std::int64_t currentUnixTimeMs);
[[nodiscard]] JobProgress fromWire(const CellWire::ProgressRow &row);
[[nodiscard]] CellWire::LeaderRow toWire(const LeaderRecord &record);
[[nodiscard]] LeaderRecord fromWire(const CellWire::LeaderRow &row);
[[nodiscard]] CellWire::WorkersRow toWire(const std::vector<WorkerRecord> &records);
[[nodiscard]] std::vector<WorkerRecord> fromWire(const CellWire::WorkersRow &row);
[[nodiscard]] CellWire::Member toWire(const CellMember &member);
[[nodiscard]] CellMember fromWire(const CellWire::Member &member);
[[nodiscard]] CellWire::KnownState toWire(CellJobState state);
[[nodiscard]] CellJobState fromWire(CellWire::KnownState state);

[[nodiscard]] CellWire::RowKey toWire(const RowKey &key);
[[nodiscard]] RowKey fromWire(const CellWire::RowKey &key);
[[nodiscard]] CellWire::Row toWire(const TableRow &row);
[[nodiscard]] TableRow fromWire(const CellWire::Row &row);

/// Serializes a row value.
template<typename Message>
[[nodiscard]] std::string encodeRow(const Message &message)
{
    return message.SerializeAsString();
}
/// Parses a row value; returns an empty value if the bytes are not a valid @p Message.
template<typename Message>
[[nodiscard]] std::optional<Message> decodeRow(const std::string &bytes)
{
    Message message;
    return message.ParseFromString(bytes) ? std::optional<Message>(std::move(message)) : std::nullopt;
}

} // namespace KingCupLadder
