// Reads, writes and activates the configuration documents.
#include "configcontroller.h"

#include <nlohmann/json.hpp>

#include <unordered_map>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr const char *configTable = "config";
constexpr const char *tablesKey = "tables";
constexpr const char *keysKey = "keys";
constexpr int maxKeyAttempts = 5; // A key change fails after this many conflicting writes.
constexpr Duration neverConfirmed = std::chrono::hours(24);
constexpr Duration retryAfterUnknownOutcome{2000};

const char *rowKeyOf(ConfigKind kind)
{
    return kind == ConfigKind::Tables ? tablesKey : keysKey;
}

std::string serializeTables(const std::string &routesYaml, const std::string &poolsYaml)
{
    const nlohmann::json json{{"routes", routesYaml}, {"pools", poolsYaml}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct TablesDocument {
    std::string routes;
    std::string pools;
};

std::optional<TablesDocument> parseTablesDocument(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        return TablesDocument{json.at("routes").get<std::string>(), json.at("pools").get<std::string>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string joinProblems(const std::vector<TableProblem> &problems)
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

Error unknownOutcomeError()
{
    return Error{ErrorKind::OutcomeUnknown, "the store did not confirm the change", "show the configuration and apply again if the change is missing"};
}

} // namespace

class ConfigController::Private
{
public:
    /// A pending change by an operator.
    struct Change {
        OpId callerOp; ///< The operator's operation, which the CallerAnswer refers to.
        ConfigKind kind = ConfigKind::Tables;
        std::string text; ///< The new document.
        ConfigVersion expected; ///< The version that the change replaces.
        std::optional<TeamKey> addedKey; ///< The new key, if the change adds one.
        KeyId withdrawnKey; ///< Otherwise, the key to withdraw.
        int attempts = 0;
        bool readingBack = false; ///< The reply to the write was lost and the row is being read.
    };

    ConfigSettings settings;
    NextOp nextOp;
    std::vector<ConfigOutput> outputs;
    ConfigVersion tablesVersion;
    ConfigVersion keysVersion;
    std::string tablesDocument;
    std::string routesText; ///< The active routes document, as YAML.
    std::string poolsText; ///< The active pools document, as YAML.
    std::shared_ptr<const Tables> tables;
    KeyList keys;
    std::optional<TimePoint> keysConfirmedAt; ///< The last time at which keysVersion is known to have been the newest.
    std::unordered_map<OpId, Change> changes; ///< Keyed by the number of the store operation in flight.
    OpId refreshOp; ///< 0 if no refresh is in flight.
    TimePoint refreshSentAt{};
    TimePoint nextRefresh{};

    bool activate(ConfigKind kind, ConfigVersion version, const std::string &text, bool writtenLocally);
    bool activateTables(ConfigVersion version, const std::string &text);
    bool activateKeys(ConfigVersion version, const std::string &text);
    void write(Change change, const std::string &text);
    void startKeyChange(Change change);
    void onRefresh(const StoreReply &reply, TimePoint sent);
    void onChangeReply(Change change, const StoreReply &reply);
    void onReadBack(const Change &change, const StoreReply &reply);
    void onConflict(Change change, const StoreReply &reply);
    void succeed(const Change &change, ConfigVersion version);
    [[nodiscard]] bool isApplied(const Change &change, const Row &row) const;
};

bool ConfigController::Private::activateTables(ConfigVersion version, const std::string &text)
{
    const auto document = parseTablesDocument(text);
    if (!document) {
        return false;
    }
    const TablesParseResult result = Tables::parse(document->routes, document->pools);
    const auto parsed = result.tables();
    if (!parsed) {
        return false;
    }
    tables = std::make_shared<const Tables>(*parsed);
    tablesVersion = version;
    tablesDocument = text;
    routesText = document->routes;
    poolsText = document->pools;
    return true;
}

bool ConfigController::Private::activateKeys(ConfigVersion version, const std::string &text)
{
    Result<KeyList> parsed = KeyList::fromJson(text);
    if (!parsed) {
        return false;
    }
    // A withdrawal that a peer reported must stay in effect even if this version of the list does not include it yet.
    const std::vector<KeyId> withdrawnSoFar = keys.withdrawn();
    keys = std::move(parsed).value();
    keys.mergeWithdrawn(withdrawnSoFar);
    keysVersion = version;
    return true;
}

bool ConfigController::Private::activate(ConfigKind kind, ConfigVersion version, const std::string &text, bool writtenLocally)
{
    const ConfigVersion current = kind == ConfigKind::Tables ? tablesVersion : keysVersion;
    if (version == current || (version < current && settings.monotonicVersions)) {
        return true;
    }
    const bool activated = kind == ConfigKind::Tables ? activateTables(version, text) : activateKeys(version, text);
    if (activated) {
        outputs.emplace_back(ConfigActivated{kind, writtenLocally});
    }
    return activated;
}

void ConfigController::Private::write(Change change, const std::string &text)
{
    const OpId op = nextOp();
    RowWrite row;
    row.kind = change.expected.value() == 0 ? RowWrite::Kind::Insert : RowWrite::Kind::Update;
    row.table = configTable;
    row.key = rowKeyOf(change.kind);
    row.version = RowVersion(change.expected.value());
    row.value = text;
    change.text = text;
    outputs.emplace_back(StoreTransaction{op, {row}});
    changes.emplace(op, std::move(change));
}

void ConfigController::Private::startKeyChange(Change change)
{
    KeyList changed = keys;
    const Result<bool> done = change.addedKey ? changed.add(*change.addedKey) : changed.withdraw(change.withdrawnKey);
    if (!done) {
        const Error &reason = done.reason();
        outputs.emplace_back(failure(change.callerOp, reason.kind, reason.message, reason.remedy));
        return;
    }
    change.expected = keysVersion;
    ++change.attempts;
    write(std::move(change), changed.toJson());
}

void ConfigController::Private::succeed(const Change &change, ConfigVersion version)
{
    activate(change.kind, version, change.text, true);
    CallerAnswer answer;
    answer.op = change.callerOp;
    answer.body = ConfigAccepted{version};
    outputs.emplace_back(std::move(answer));
}

bool ConfigController::Private::isApplied(const Change &change, const Row &row) const
{
    if (change.kind == ConfigKind::Tables) {
        return row.value == change.text;
    }
    const Result<KeyList> stored = KeyList::fromJson(row.value);
    if (!stored) {
        return false;
    }
    // An added key is stored with the same digest; a withdrawn key is marked as withdrawn.
    for (const TeamKey &key : stored.value().keys()) {
        if (change.addedKey ? key.id == change.addedKey->id && key.digest == change.addedKey->digest : key.id == change.withdrawnKey && key.withdrawn) {
            return true;
        }
    }
    return false;
}

void ConfigController::Private::onConflict(Change change, const StoreReply &reply)
{
    for (const Row &row : reply.rows) {
        if (row.table == configTable && row.key == rowKeyOf(change.kind)) {
            activate(change.kind, ConfigVersion(row.version.value()), row.value, false);
        }
    }
    if (change.kind == ConfigKind::Keys && change.attempts < maxKeyAttempts) {
        startKeyChange(std::move(change));
        return;
    }
    outputs.emplace_back(failure(change.callerOp,
                                 ErrorKind::Conflict,
                                 "the configuration was changed concurrently; version "
                                     + std::to_string((change.kind == ConfigKind::Tables ? tablesVersion : keysVersion).value()) + " is in force",
                                 "show the configuration, merge the change and apply again"));
}

void ConfigController::Private::onReadBack(const Change &change, const StoreReply &reply)
{
    for (const Row &row : reply.rows) {
        if (reply.status == StoreStatus::Ok && row.version.value() > change.expected.value() && isApplied(change, row)) {
            // The row may include later changes, so its text is activated; succeed() then finds this version active already.
            activate(change.kind, ConfigVersion(row.version.value()), row.value, true);
            succeed(change, ConfigVersion(row.version.value()));
            return;
        }
    }
    // The row could not be read, the write may still take effect, or a later change may have replaced it.
    CallerAnswer answer;
    answer.op = change.callerOp;
    answer.error = unknownOutcomeError();
    answer.ran = ExecutionStatus::Unknown;
    answer.retryAfter = retryAfterUnknownOutcome;
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
    outputs.emplace_back(StoreRead{op, configTable, {rowKeyOf(change.kind)}});
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
            activate(isTables ? ConfigKind::Tables : ConfigKind::Keys, ConfigVersion(row.version.value()), row.value, false);
        }
        // A malformed row is not activated, so the key list is not confirmed as the newest.
        if (!isTables && keysVersion.value() >= row.version.value()) {
            keysConfirmedAt = std::max(keysConfirmedAt.value_or(sent), sent);
        }
    }
}

ConfigController::ConfigController(const ConfigSettings &settings, NextOp nextOp) : m_d(std::make_unique<Private>())
{
    m_d->settings = settings;
    m_d->nextOp = std::move(nextOp);
}

ConfigController::~ConfigController() = default;

void ConfigController::applyTables(OpId op, ConfigVersion expected, const std::string &routesYaml, const std::string &poolsYaml, TimePoint)
{
    const TablesParseResult result = Tables::parse(routesYaml, poolsYaml);
    if (!result.problems.empty()) {
        m_d->outputs.emplace_back(failure(op, ErrorKind::InvalidInput, joinProblems(result.problems), "correct the lines above and apply again"));
        return;
    }
    // A higher version than the active one passes: this daemon may not have read it yet, and the store decides.
    if (expected < m_d->tablesVersion) {
        m_d->outputs.emplace_back(
            failure(op,
                    ErrorKind::Conflict,
                    "version " + std::to_string(m_d->tablesVersion.value()) + " of the tables is in force, not " + std::to_string(expected.value()),
                    "show the tables, merge the change and apply again"));
        return;
    }
    Private::Change change;
    change.callerOp = op;
    change.kind = ConfigKind::Tables;
    change.expected = expected;
    m_d->write(std::move(change), serializeTables(routesYaml, poolsYaml));
}

void ConfigController::issueKey(OpId op, const TeamKey &key, TimePoint)
{
    Private::Change change;
    change.callerOp = op;
    change.kind = ConfigKind::Keys;
    change.addedKey = key;
    m_d->startKeyChange(std::move(change));
}

void ConfigController::withdrawKey(OpId op, const KeyId &key, TimePoint)
{
    Private::Change change;
    change.callerOp = op;
    change.kind = ConfigKind::Keys;
    change.withdrawnKey = key;
    m_d->startKeyChange(std::move(change));
}

bool ConfigController::onStoreReply(const StoreReply &reply, TimePoint)
{
    if (reply.op == m_d->refreshOp && reply.op.value() != 0) {
        m_d->refreshOp = OpId();
        m_d->onRefresh(reply, m_d->refreshSentAt);
        return true;
    }
    const auto found = m_d->changes.find(reply.op);
    if (found == m_d->changes.end()) {
        return false;
    }
    Private::Change change = std::move(found->second);
    m_d->changes.erase(found);
    m_d->onChangeReply(std::move(change), reply);
    return true;
}

bool ConfigController::onPush(const ConfigPush &push)
{
    return m_d->activate(push.kind, push.version, push.text, false);
}

void ConfigController::onPeerConfirmation(ConfigVersion keys, TimePoint confirmedAt)
{
    if (keys == m_d->keysVersion) {
        m_d->keysConfirmedAt = std::max(m_d->keysConfirmedAt.value_or(confirmedAt), confirmedAt);
    }
}

void ConfigController::mergeWithdrawn(const std::vector<KeyId> &ids)
{
    if (!ids.empty()) {
        m_d->keys.mergeWithdrawn(ids);
    }
}

void ConfigController::tick(TimePoint now)
{
    // Store operations are answered within operationTimeout, so after twice that time the reply is lost.
    const bool lost = m_d->refreshOp.value() != 0 && now - m_d->refreshSentAt > 2 * m_d->settings.operationTimeout;
    if (now < m_d->nextRefresh || (m_d->refreshOp.value() != 0 && !lost)) {
        return;
    }
    m_d->nextRefresh = now + m_d->settings.refreshInterval;
    m_d->refreshSentAt = now;
    m_d->refreshOp = m_d->nextOp();
    m_d->outputs.emplace_back(StoreRead{m_d->refreshOp, configTable, {tablesKey, keysKey}});
}

std::vector<ConfigOutput> ConfigController::takeOutputs()
{
    return std::exchange(m_d->outputs, {});
}

ConfigVersion ConfigController::version(ConfigKind kind) const
{
    return kind == ConfigKind::Tables ? m_d->tablesVersion : m_d->keysVersion;
}

ConfigPush ConfigController::document(ConfigKind kind) const
{
    if (kind == ConfigKind::Tables) {
        return ConfigPush{kind, m_d->tablesVersion, m_d->tablesDocument};
    }
    return ConfigPush{kind, m_d->keysVersion, m_d->keys.toJson()};
}

std::shared_ptr<const Tables> ConfigController::tables() const
{
    return m_d->tables;
}

const std::string &ConfigController::routesYaml() const
{
    return m_d->routesText;
}

const std::string &ConfigController::poolsYaml() const
{
    return m_d->poolsText;
}

const KeyList &ConfigController::keys() const
{
    return m_d->keys;
}

Duration ConfigController::keysAge(TimePoint now) const
{
    return m_d->keysConfirmedAt ? now - *m_d->keysConfirmedAt : neverConfirmed;
}

} // namespace KingCupLadder
