// JSON format of the platform's table service and VM list.
#include "storecodec.h"

#include "httptypes.h"
#include "jsonfields.h"

namespace KingCupLadder {

namespace {

const char *writeKindName(RowWrite::Kind kind)
{
    switch (kind) {
    case RowWrite::Kind::Insert:
        return "insert";
    case RowWrite::Kind::Update:
        return "update";
    case RowWrite::Kind::Delete:
        return "delete";
    case RowWrite::Kind::Check:
        return "check";
    }
    return "check";
}

std::vector<Row> readRows(JsonFields &fields, std::string &parseError)
{
    std::vector<Row> rows;
    const nlohmann::json *list = fields.array("rows");
    if (list == nullptr) {
        fields.fail("field 'rows' is missing");
        return rows;
    }
    for (const nlohmann::json &item : *list) {
        JsonFields row(item, parseError, "row");
        Row out;
        out.table = row.text("table");
        out.key = row.text("key");
        out.version = RowVersion(static_cast<std::uint64_t>(row.number("version")));
        out.value = row.textOr("value", {});
        rows.push_back(std::move(out));
    }
    return rows;
}

/// Returns whether every row of a response belongs to a row of the transaction.
bool rowsMatchWrites(const StoreTransaction &transaction, const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        bool found = false;
        for (const RowWrite &write : transaction.writes) {
            found = found || (write.table == row.table && write.key == row.key);
        }
        if (!found) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encodeTransaction(const StoreTransaction &transaction)
{
    nlohmann::json writes = nlohmann::json::array();
    for (const RowWrite &write : transaction.writes) {
        nlohmann::json item{{"kind", writeKindName(write.kind)}, {"table", write.table}, {"key", write.key}, {"version", write.version.value()}};
        if (write.kind == RowWrite::Kind::Insert || write.kind == RowWrite::Kind::Update) {
            item["value"] = write.value;
        }
        writes.push_back(std::move(item));
    }
    return dumpJson({{"writes", std::move(writes)}});
}

StoreReply decodeTransactionReply(const StoreTransaction &transaction, int httpStatus, const std::string &body)
{
    StoreReply unknown{transaction.op, StoreStatus::Unknown, {}};
    if (httpStatus != httpOk && httpStatus != httpConflict) {
        return unknown;
    }
    const auto json = parseJson(body);
    if (!json) {
        return unknown;
    }
    std::string parseError;
    JsonFields fields(*json, parseError, "answer");
    // The fallback for a missing field contradicts the HTTP status, so that the reply is rejected below.
    const bool ok = fields.booleanOr("ok", httpStatus != httpOk);
    std::vector<Row> rows = readRows(fields, parseError);
    if (!parseError.empty() || ok != (httpStatus == httpOk) || !rowsMatchWrites(transaction, rows)) {
        return unknown;
    }
    return StoreReply{transaction.op, ok ? StoreStatus::Ok : StoreStatus::Conflict, std::move(rows)};
}

std::string rowsTarget(const std::string &table, const std::string &prefix, const std::string &after, std::size_t limit)
{
    return "/v1/rows?table=" + percentEncode(table) + "&prefix=" + percentEncode(prefix) + "&after=" + percentEncode(after) + "&limit=" + std::to_string(limit);
}

std::optional<RowPage> decodeRows(const std::string &table, const std::string &body)
{
    const auto json = parseJson(body);
    if (!json) {
        return std::nullopt;
    }
    std::string parseError;
    JsonFields fields(*json, parseError, "answer");
    RowPage page;
    page.rows = readRows(fields, parseError);
    page.more = fields.booleanOr("more", false);
    for (const Row &row : page.rows) {
        // RowVersion() stands for an absent row, which a page can't contain.
        if (row.table != table || row.version == RowVersion()) {
            return std::nullopt;
        }
    }
    if (!parseError.empty()) {
        return std::nullopt;
    }
    return page;
}

std::optional<std::vector<VmInfo>> decodeVms(const std::string &body)
{
    const auto json = parseJson(body);
    if (!json) {
        return std::nullopt;
    }
    std::string parseError;
    JsonFields fields(*json, parseError, "answer");
    const nlohmann::json *list = fields.array("vms");
    if (list == nullptr) {
        return std::nullopt;
    }
    std::vector<VmInfo> vms;
    for (const nlohmann::json &item : *list) {
        JsonFields vm(item, parseError, "vm");
        const std::string state = vm.text("state");
        if (state != "live" && state != "leaving") {
            vm.fail("field 'state' must be live or leaving");
        }
        vms.push_back(VmInfo{
            WorkerId(vm.text("id")), vm.text("address"), vm.text("group"), FailureDomain(vm.text("domain")), RackId(vm.text("rack")), state == "leaving"});
    }
    if (!parseError.empty()) {
        return std::nullopt;
    }
    return vms;
}

} // namespace KingCupLadder
