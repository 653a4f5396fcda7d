// API keys of teams and their withdrawal (revocation). Only the digest of a secret is stored.
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
    KeyId id; ///< Public name of the key, shown in lists and used for withdrawal.
    TeamId team;
    std::string digest; ///< SHA-256 of the secret, 64 hexadecimal digits.
    bool withdrawn = false;
};

/// Returns the SHA-256 digest of a secret as 64 lower-case hexadecimal digits, or an empty string if hashing fails.
[[nodiscard]] std::string keyDigest(const std::string &secret);

/// The list of all keys, stored as the value of the row "config/keys".
class KeyList
{
public:
    [[nodiscard]] static Result<KeyList> fromJson(const std::string &text);
    [[nodiscard]] std::string toJson() const;

    /// Returns the key with the digest; empty if there is none or it is withdrawn. The time depends only on the length of the list.
    [[nodiscard]] std::optional<TeamKey> find(const std::string &digest) const;
    [[nodiscard]] const std::vector<TeamKey> &keys() const;
    /// Adds a key. Its id and digest must not be in the list. The value of the result is always true.
    [[nodiscard]] Result<bool> add(const TeamKey &key);
    /// Marks a key as withdrawn. Succeeds if it already is. The value of the result is always true.
    [[nodiscard]] Result<bool> withdraw(const KeyId &id);
    /// Merges withdrawals received from a peer.
    void mergeWithdrawn(const std::vector<KeyId> &ids);
    [[nodiscard]] std::vector<KeyId> withdrawn() const;

private:
    /// Limits the memory used by withdrawals of unknown keys.
    static constexpr std::size_t maxUnknownWithdrawn = 100000;

    Result<bool> append(TeamKey key);

    std::vector<TeamKey> m_keys; ///< Ids and digests are unique.
    std::unordered_map<KeyId, std::size_t> m_positions; ///< Index into m_keys by id.
    std::unordered_set<std::string> m_digests; ///< Digests of m_keys; only used to detect duplicates.
    std::set<KeyId> m_unknownWithdrawn; ///< Keys whose withdrawal a peer reported before they were in the list; not stored.
};

} // namespace KingCupLadder
