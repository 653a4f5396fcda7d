// The configuration in force at this daemon: the tables and the key list. Reads and writes rows "config/tables" and
// "config/keys", and takes newer versions from peers. A version in force never goes down.
#pragma once

#include "error.h"
#include "keys.h"
#include "messages.h"
#include "tables.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct ConfigSettings {
    Duration refreshInterval{1000}; ///< Between two reads of the rows.
    Duration operationTimeout{1500}; ///< The caller answers each command within this span.
    // Guards that tests switch off to show what they prevent.
    bool monotonicVersions = true;
};

/// A newer document is in force here. Peers are to be told if this daemon wrote it.
struct ConfigActivated {
    ConfigKind kind = ConfigKind::Tables;
    bool writtenLocally = false;
};

using ConfigOutput = std::variant<StoreTransact, StoreRead, CallerAnswer, ConfigActivated>;

class ConfigController
{
public:
    using NextOp = std::function<OpId()>;

    ConfigController(const ConfigSettings &settings, NextOp nextOp);
    ~ConfigController();
    ConfigController(const ConfigController &) = delete;
    ConfigController &operator=(const ConfigController &) = delete;

    // Operators. Each is answered by one CallerAnswer with the operation's number.

    void applyTables(OpId op, ConfigVersion expected, const std::string &routesYaml, const std::string &poolsYaml, TimePoint now);
    void issueKey(OpId op, const TeamKey &key, TimePoint now);
    void withdrawKey(OpId op, const KeyId &key, TimePoint now);

    // Store and peers.

    bool onStoreReply(const StoreReply &reply, TimePoint now);
    /// Takes the document over if its version is higher than the one in force. False if it is malformed.
    bool onPush(const ConfigPush &push);
    /// A peer had the same key list confirmed as the newest at @p confirmedAt of this daemon's clock.
    void onPeerConfirmation(ConfigVersion keys, TimePoint confirmedAt);
    void mergeWithdrawn(const std::vector<KeyId> &ids);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<ConfigOutput> takeOutputs();

    // Views.

    [[nodiscard]] ConfigVersion version(ConfigKind kind) const;
    /// The document in force as peers exchange it; its version is 0 before the first.
    [[nodiscard]] ConfigPush document(ConfigKind kind) const;
    [[nodiscard]] std::shared_ptr<const Tables> tables() const;
    [[nodiscard]] const std::string &routesYaml() const;
    [[nodiscard]] const std::string &poolsYaml() const;
    [[nodiscard]] const KeyList &keys() const;
    /// Since the key list was confirmed as the newest by the store or through a peer; very long before the first time.
    [[nodiscard]] Duration keysAge(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace KingCupLadder
