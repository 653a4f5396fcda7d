// The active configuration of this daemon: the tables and the key list. Reads and writes the rows "config/tables" and
// "config/keys", and takes newer versions from peers. The active version never decreases.
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
    Duration refreshInterval{1000}; ///< Between two reads of the configuration rows.
    Duration operationTimeout{1500}; ///< Every store operation is answered within this time.
    // Safety checks that tests turn off to demonstrate what they prevent.
    bool monotonicVersions = true; ///< Ignore documents with a lower version than the active one.
};

/// Reports that a newer document is active at this daemon. If this daemon wrote it, peers have to be notified.
struct ConfigActivated {
    ConfigKind kind = ConfigKind::Tables;
    bool writtenLocally = false;
};

using ConfigOutput = std::variant<StoreTransaction, StoreRead, CallerAnswer, ConfigActivated>;

class ConfigController
{
public:
    using NextOp = std::function<OpId()>;

    ConfigController(const ConfigSettings &settings, NextOp nextOp);
    ~ConfigController();
    ConfigController(const ConfigController &) = delete;
    ConfigController &operator=(const ConfigController &) = delete;

    // Changes by operators. Each is answered by exactly one CallerAnswer with the operation's number.

    void applyTables(OpId op, ConfigVersion expected, const std::string &routesYaml, const std::string &poolsYaml, TimePoint now);
    void issueKey(OpId op, const TeamKey &key, TimePoint now);
    void withdrawKey(OpId op, const KeyId &key, TimePoint now);

    // Input from the store and from peers.

    bool onStoreReply(const StoreReply &reply, TimePoint now);
    /// Activates the document if its version is higher than the active one. Returns false if the document is malformed.
    bool onPush(const ConfigPush &push);
    /// Records that, according to a peer, this version of the key list was the newest at @p confirmedAt on this daemon's clock.
    void onPeerConfirmation(ConfigVersion keys, TimePoint confirmedAt);
    void mergeWithdrawn(const std::vector<KeyId> &ids); ///< Marks keys as withdrawn that a peer reported as such.
    void tick(TimePoint now);
    [[nodiscard]] std::vector<ConfigOutput> takeOutputs();

    // The active configuration.

    [[nodiscard]] ConfigVersion version(ConfigKind kind) const;
    /// Returns the active document in the form exchanged between peers. Its version is 0 if there is none yet.
    [[nodiscard]] ConfigPush document(ConfigKind kind) const;
    [[nodiscard]] std::shared_ptr<const Tables> tables() const;
    [[nodiscard]] const std::string &routesYaml() const;
    [[nodiscard]] const std::string &poolsYaml() const;
    [[nodiscard]] const KeyList &keys() const;
    /// Returns the time since the key list was confirmed as the newest by the store or a peer; 24 hours if it never was.
    [[nodiscard]] Duration keysAge(TimePoint now) const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace KingCupLadder
