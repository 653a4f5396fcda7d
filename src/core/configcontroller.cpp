// Reading, writing and merging of the configuration documents.
#include "configcontroller.h"

#include <nlohmann/json.hpp>

#include <unordered_map>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr const char *configTable = "config";
constexpr const char *tablesKey = "tables";
constexpr const char *keysKey = "keys";
constexpr int maxKeyAttempts = 5; // Lost races of one key change before the operator is told.
constexpr Duration neverConfirmed = std::chrono::hours(24);
constexpr Duration retryAfterOutage{2000};

const char *rowKey(ConfigKind kind)
{
    return kind == ConfigKind::Tables ? tablesKey : keysKey;
}

std::string tablesText(const std::string &routesYaml, const std::string &poolsYaml)
{
    const nlohmann::json json{{"routes", routesYaml}, {"pools", poolsYaml}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct TablesDocument {
    std::string routes;
    std::string pools;
};

std::optional<TablesDocument> parseTablesText(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        return TablesDocument{json.at("routes").get<std::string>(), json.at("pools").get<std::string>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string problemsText(const std::vector<TableProblem> &problems)
{
    std::string text;
    for (const TableProblem &problem : problems) {
        text += (text.empty() ? "" : "\n") + problem.text();
    }
    return text;
}

CallerAnswer failure(OpId op, ErrorKind kind, std::string message, std::string remedy)
{
    CallerAnswer answer;
    answer.op = op;
    answer.error = Error{kind, std::move(message), std::move(remedy)};
    return answer;
}

Error unknownOutcome()
{
    return Error{ErrorKind::OutcomeUnknown, "the store did not confirm the change", "show the configuration and apply again if the change is missing"};
}

} // namespace

class ConfigController::Private
{
public:
    /// A change that an operator waits for.
    struct Change {
        OpId caller;
        ConfigKind kind = ConfigKind::Tables;
        std::string text; ///< The new document, of tables.
        ConfigVersion expected; ///< Version that the change replaces.
        std::optional<TeamKey> given; ///< Key changes: either the new key
        KeyId withdrawn; ///< or the one to withdraw.
        int attempts = 0;
        bool readingBack = false; ///< The answer to the write was lost.
    };

    ConfigSettings settings;
    NextOp nextOp;
    std::vector<ConfigOutput> outputs;
    ConfigVersion tablesVersion;
    ConfigVersion keysVersion;
    std::string tablesDocument;
    std::string routes;
    std::string pools;
    std::shared_ptr<const Tables> tables;
    KeyList keys;
    std::optional<TimePoint> keysConfirmed; ///< Moment at which keysVersion is known to have been the newest.
    std::unordered_map<OpId, Change> changes; ///< By the number of the store operation in flight.
    OpId refreshOp; ///< None in flight if zero.
    TimePoint refreshSent{};
    TimePoint nextRefresh{};

    bool adopt(ConfigKind kind, ConfigVersion version, const std::string &text, bool writtenLocally);
    bool adoptTables(ConfigVersion version, const std::string &text);
    bool adoptKeys(ConfigVersion version, const std::string &text);
    void write(Change change, const std::string &text);
    void startKeyChange(Change change);
    void onRefresh(const StoreReply &reply, TimePoint sent);
    void onChangeReply(Change change, const StoreReply &reply);
    void onReadBack(const Change &change, const StoreReply &reply);
    void onConflict(Change change, const StoreReply &reply);
    void succeed(const Change &change, ConfigVersion version);
    [[nodiscard]] bool isInForce(const Change &change, const Row &row) const;
};

bool ConfigController::Private::adoptTables(ConfigVersion version, const std::string &text)
{
    const auto document = parseTablesText(text);
    if (!document) {
        return false;
    }
    const TablesParseResult check = Tables::parse(document->routes, document->pools);
    const auto parsed = check.tables();
    if (!parsed) {
        return false;
    }
    tables = std::make_shared<const Tables>(*parsed);
    tablesVersion = version;
    tablesDocument = text;
    routes = document->routes;
    pools = document->pools;
    return true;
}

bool ConfigController::Private::adoptKeys(ConfigVersion version, const std::string &text)
{
    Result<KeyList> parsed = KeyList::fromJson(text);
    if (!parsed) {
        return false;
    }
    const std::vector<KeyId> withdrawnSoFar = keys.withdrawn();
    keys = std::move(parsed).value();
    keys.mergeWithdrawn(withdrawnSoFar);
    keysVersion = version;
    return true;
}

bool ConfigController::Private::adopt(ConfigKind kind, ConfigVersion version, const std::string &text, bool writtenLocally)
{
    const ConfigVersion current = kind == ConfigKind::Tables ? tablesVersion : keysVersion;
    if (version == current || (version < current && settings.monotonicVersions)) {
        return true;
    }
    const bool adopted = kind == ConfigKind::Tables ? adoptTables(version, text) : adoptKeys(version, text);
    if (adopted) {
        outputs.emplace_back(ConfigActivated{kind, writtenLocally});
    }
    return adopted;
}

void ConfigController::Private::write(Change change, const std::string &text)
{
    const OpId op = nextOp();
    RowWrite row;
    row.kind = change.expected.value() == 0 ? RowWrite::Kind::Insert : RowWrite::Kind::Update;
    row.table = configTable;
    row.key = rowKey(change.kind);
    row.version = RowVersion(change.expected.value());
    row.value = text;
    change.text = text;
    outputs.emplace_back(StoreTransact{op, {row}});
    changes.emplace(op, std::move(change));
}

void ConfigController::Private::startKeyChange(Change change)
{
    KeyList changed = keys;
    const Result<bool> done = change.given ? changed.add(*change.given) : changed.withdraw(change.withdrawn);
    if (!done) {
        const Error &reason = done.reason();
        outputs.emplace_back(failure(change.caller, reason.kind, reason.message, reason.remedy));
        return;
    }
    change.expected = keysVersion;
    ++change.attempts;
    write(std::move(change), changed.toJson());
}

void ConfigController::Private::succeed(const Change &change, ConfigVersion version)
{
    adopt(change.kind, version, change.text, true);
    CallerAnswer answer;
    answer.op = change.caller;
    answer.body = ConfigAccepted{version};
    outputs.emplace_back(std::move(answer));
}

bool ConfigController::Private::isInForce(const Change &change, const Row &row) const
{
    if (change.kind == ConfigKind::Tables) {
        return row.value == change.text;
    }
    const Result<KeyList> stored = KeyList::fromJson(row.value);
    if (!stored) {
        return false;
    }
    for (const TeamKey &key : stored.value().keys()) {
        if (change.given ? key.id == change.given->id && key.digest == change.given->digest : key.id == change.withdrawn && key.withdrawn) {
            return true;
        }
    }
    return false;
}

void ConfigController::Private::onConflict(Change change, const StoreReply &reply)
{
    for (const Row &row : reply.rows) {
        if (row.table == configTable && row.key == rowKey(change.kind)) {
            adopt(change.kind, ConfigVersion(row.version.value()), row.value, false);
        }
    }
    if (change.kind == ConfigKind::Keys && change.attempts < maxKeyAttempts) {
        startKeyChange(std::move(change));
        return;
    }
    outputs.emplace_back(failure(change.caller,
                                 ErrorKind::Conflict,
                                 "somebody else changed the configuration first; version "
                                     + std::to_string((change.kind == ConfigKind::Tables ? tablesVersion : keysVersion).value()) + " is in force",
                                 "show the configuration, merge the change and apply again"));
}

void ConfigController::Private::onReadBack(const Change &change, const StoreReply &reply)
{
    for (const Row &row : reply.rows) {
        if (reply.status == StoreStatus::Ok && row.version.value() > change.expected.value() && isInForce(change, row)) {
            adopt(change.kind, ConfigVersion(row.version.value()), row.value, true);
            succeed(change, ConfigVersion(row.version.value()));
            return;
        }
    }
    CallerAnswer answer;
    answer.op = change.caller;
    answer.error = unknownOutcome();
    answer.ran = ExecutionStatus::Unknown;
    answer.retryAfter = retryAfterOutage;
    outputs.emplace_back(std::move(answer));
}

void ConfigController::Private::onChangeReply(Change change, const StoreReply &reply)
{
    if (change.readingBack) {
        onReadBack(change, reply);
        return;
    }
    if (reply.status == StoreStatus::Ok && !reply.rows.empty()) {
        succeed(change, ConfigVersion(reply.rows.front().version.value()));
        return;
    }
    if (reply.status == StoreStatus::Conflict) {
        onConflict(std::move(change), reply);
        return;
    }
    const OpId op = nextOp();
    change.readingBack = true;
    outputs.emplace_back(StoreRead{op, configTable, {rowKey(change.kind)}});
    changes.emplace(op, std::move(change));
}

void ConfigController::Private::onRefresh(const StoreReply &reply, TimePoint sent)
{
    if (reply.status != StoreStatus::Ok) {
        return;
    }
    for (const Row &row : reply.rows) {
        const bool isTables = row.key == tablesKey;
        if (row.version.value() > 0) {
            adopt(isTables ? ConfigKind::Tables : ConfigKind::Keys, ConfigVersion(row.version.value()), row.value, false);
        }
        if (!isTables && keysVersion.value() >= row.version.value()) {
            keysConfirmed = std::max(keysConfirmed.value_or(sent), sent);
        }
    }
}

ConfigController::ConfigController(const ConfigSettings &settings, NextOp nextOp) : d(std::make_unique<Private>())
{
    d->settings = settings;
    d->nextOp = std::move(nextOp);
}

ConfigController::~ConfigController() = default;

void ConfigController::applyTables(OpId op, ConfigVersion expected, const std::string &routesYaml, const std::string &poolsYaml, TimePoint)
{
    const TablesParseResult check = Tables::parse(routesYaml, poolsYaml);
    if (!check.problems.empty()) {
        d->outputs.emplace_back(failure(op, ErrorKind::InvalidInput, problemsText(check.problems), "correct the lines above and apply again"));
        return;
    }
    if (expected < d->tablesVersion) {
        d->outputs.emplace_back(
            failure(op,
                    ErrorKind::Conflict,
                    "version " + std::to_string(d->tablesVersion.value()) + " of the tables is in force, not " + std::to_string(expected.value()),
                    "show the tables, merge the change and apply again"));
        return;
    }
    Private::Change change;
    change.caller = op;
    change.kind = ConfigKind::Tables;
    change.expected = expected;
    d->write(std::move(change), tablesText(routesYaml, poolsYaml));
}

void ConfigController::issueKey(OpId op, const TeamKey &key, TimePoint)
{
    Private::Change change;
    change.caller = op;
    change.kind = ConfigKind::Keys;
    change.given = key;
    d->startKeyChange(std::move(change));
}

void ConfigController::withdrawKey(OpId op, const KeyId &key, TimePoint)
{
    Private::Change change;
    change.caller = op;
    change.kind = ConfigKind::Keys;
    change.withdrawn = key;
    d->startKeyChange(std::move(change));
}

bool ConfigController::onStoreReply(const StoreReply &reply, TimePoint)
{
    if (reply.op == d->refreshOp && reply.op.value() != 0) {
        d->refreshOp = OpId();
        d->onRefresh(reply, d->refreshSent);
        return true;
    }
    const auto found = d->changes.find(reply.op);
    if (found == d->changes.end()) {
        return false;
    }
    Private::Change change = std::move(found->second);
    d->changes.erase(found);
    d->onChangeReply(std::move(change), reply);
    return true;
}

bool ConfigController::onPush(const ConfigPush &push)
{
    return d->adopt(push.kind, push.version, push.text, false);
}

void ConfigController::onPeerConfirmation(ConfigVersion keys, TimePoint confirmedAt)
{
    if (keys == d->keysVersion) {
        d->keysConfirmed = std::max(d->keysConfirmed.value_or(confirmedAt), confirmedAt);
    }
}

void ConfigController::mergeWithdrawn(const std::vector<KeyId> &ids)
{
    if (!ids.empty()) {
        d->keys.mergeWithdrawn(ids);
    }
}

void ConfigController::tick(TimePoint now)
{
    const bool lost = d->refreshOp.value() != 0 && now - d->refreshSent > 2 * d->settings.operationTimeout;
    if (now < d->nextRefresh || (d->refreshOp.value() != 0 && !lost)) {
        return;
    }
    d->nextRefresh = now + d->settings.refreshInterval;
    d->refreshSent = now;
    d->refreshOp = d->nextOp();
    d->outputs.emplace_back(StoreRead{d->refreshOp, configTable, {tablesKey, keysKey}});
}

std::vector<ConfigOutput> ConfigController::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

ConfigVersion ConfigController::version(ConfigKind kind) const
{
    return kind == ConfigKind::Tables ? d->tablesVersion : d->keysVersion;
}

ConfigPush ConfigController::document(ConfigKind kind) const
{
    if (kind == ConfigKind::Tables) {
        return ConfigPush{kind, d->tablesVersion, d->tablesDocument};
    }
    return ConfigPush{kind, d->keysVersion, d->keys.toJson()};
}

std::shared_ptr<const Tables> ConfigController::tables() const
{
    return d->tables;
}

const std::string &ConfigController::routesYaml() const
{
    return d->routes;
}

const std::string &ConfigController::poolsYaml() const
{
    return d->pools;
}

const KeyList &ConfigController::keys() const
{
    return d->keys;
}

Duration ConfigController::keysAge(TimePoint now) const
{
    return d->keysConfirmed ? now - *d->keysConfirmed : neverConfirmed;
}

} // namespace KingCupLadder
