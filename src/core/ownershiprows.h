// The stored form of leases and shard owners, and the marks by which a daemon recognises its own writes.
#pragma once

#include "backoff.h"
#include "messages.h"

#include <optional>
#include <string>

namespace KingCupLadder {

constexpr const char *daemonsTable = "daemons";
constexpr const char *shardsTable = "shards";

/// The value of row "daemons/<id>".
struct LeaseRow {
    PeerInfo owner;
    bool expired = false; ///< Written by a daemon that took over, or by the owner when it stopped.
    std::string nonce; ///< Differs between any two writes.

    [[nodiscard]] std::string toJson() const;
    /// Empty if the text is malformed.
    [[nodiscard]] static std::optional<LeaseRow> fromJson(const std::string &text);
};

/// The value of row "shards/<id>".
struct ShardRow {
    DaemonId owner; ///< Empty: released.
    Incarnation incarnation; ///< Of the owner.
    Epoch epoch;
    std::string nonce; ///< Differs between any two writes.

    [[nodiscard]] std::string toJson() const;
    /// Empty if the text is malformed.
    [[nodiscard]] static std::optional<ShardRow> fromJson(const std::string &text);
};

/// Supplies the nonces of one process. Processes with the same daemon id need different seeds.
class NonceSource
{
public:
    NonceSource(std::uint64_t seed, const DaemonId &self);

    [[nodiscard]] std::string next();
    /// Whether the nonce is from this source.
    [[nodiscard]] bool isOwn(const std::string &nonce) const;

private:
    std::string m_prefix;
    std::uint64_t m_count = 0;
};

} // namespace KingCupLadder
