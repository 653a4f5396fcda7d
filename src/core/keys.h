// Team keys: digests and withdrawals. The secret itself is never kept.
#pragma once

#include "error.h"
#include "ids.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace KingCupLadder {

struct TeamKey {
    KeyId id; ///< Public name of the key, shown in lists and used to withdraw it.
    TeamId team;
    std::string digest; ///< SHA-256 of the secret, 64 hexadecimal digits.
    bool withdrawn = false;
};

/// The digest of a secret: SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string keyDigest(const std::string &secret);

/// The list of all keys at one version: the value of row "config/keys".
class KeyList
{
public:
    [[nodiscard]] static Result<KeyList> fromJson(const std::string &text);
    [[nodiscard]] std::string toJson() const;

    /// The key whose digest matches, found in constant time for a given list; empty if there is none or it is withdrawn.
    [[nodiscard]] std::optional<TeamKey> find(const std::string &digest) const;
    [[nodiscard]] const std::vector<TeamKey> &keys() const;
    /// Adds a key; its id and digest must be new.
    [[nodiscard]] Result<bool> add(const TeamKey &key);
    /// Marks a key as withdrawn. Withdrawing twice succeeds.
    [[nodiscard]] Result<bool> withdraw(const KeyId &id);
    /// Takes over withdrawals that a peer spread.
    void mergeWithdrawn(const std::vector<KeyId> &ids);
    [[nodiscard]] std::vector<KeyId> withdrawn() const;

private:
    /// Bounds the memory that withdrawals of unknown keys can use.
    static constexpr std::size_t maxUnknownWithdrawn = 100000;

    Result<bool> append(TeamKey key);

    std::vector<TeamKey> m_keys; ///< Ids and digests are unique.
    std::unordered_map<KeyId, std::size_t> m_positions; ///< Of each id in m_keys.
    std::unordered_set<std::string> m_digests; ///< Of m_keys; only used to refuse duplicates.
    std::set<KeyId> m_withdrawnByPeers; ///< Of keys that were not in the list yet; not stored.
};

} // namespace KingCupLadder
