// Strong types for identifiers and counters, which prevent mixing up two kinds with the same representation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace KingCupLadder {

/// A string identifier. Each tag gives a distinct type. An empty value means "none".
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value) : m_value(std::move(value)) { }

    [[nodiscard]] const std::string &value() const
    {
        return m_value;
    }

    [[nodiscard]] bool isEmpty() const
    {
        return m_value.empty();
    }

    friend bool operator==(const Id &a, const Id &b)
    {
        return a.m_value == b.m_value;
    }
    friend bool operator!=(const Id &a, const Id &b)
    {
        return !(a == b);
    }
    friend bool operator<(const Id &a, const Id &b)
    {
        return a.m_value < b.m_value;
    }
    friend std::ostream &operator<<(std::ostream &out, const Id &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

/// A monotonic counter. Each tag gives a distinct type. Zero means "none yet".
template<typename Tag>
class Counter
{
public:
    constexpr Counter() = default;
    constexpr explicit Counter(std::uint64_t value) : m_value(value) { }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }

    [[nodiscard]] constexpr Counter next() const
    {
        return Counter(m_value + 1);
    }

    friend constexpr bool operator==(Counter a, Counter b)
    {
        return a.m_value == b.m_value;
    }
    friend constexpr bool operator!=(Counter a, Counter b)
    {
        return a.m_value != b.m_value;
    }
    friend constexpr bool operator<(Counter a, Counter b)
    {
        return a.m_value < b.m_value;
    }
    friend constexpr bool operator<=(Counter a, Counter b)
    {
        return a.m_value <= b.m_value;
    }
    friend constexpr bool operator>(Counter a, Counter b)
    {
        return b < a;
    }
    friend constexpr bool operator>=(Counter a, Counter b)
    {
        return b <= a;
    }
    friend std::ostream &operator<<(std::ostream &out, Counter counter)
    {
        return out << counter.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

using DaemonId = Id<struct DaemonIdTag>;
using WorkerId = Id<struct WorkerIdTag>; ///< The id of the VM that runs the worker.
using FailureDomain = Id<struct FailureDomainTag>;
using RackId = Id<struct RackIdTag>;
using TeamId = Id<struct TeamIdTag>;
using WorkspaceId = Id<struct WorkspaceIdTag>;
using JobId = Id<struct JobIdTag>;
using RouteName = Id<struct RouteNameTag>;
using PoolName = Id<struct PoolNameTag>;
using ShardId = Id<struct ShardIdTag>; ///< "pool/domain/part".
using RequestId = Id<struct RequestIdTag>;
using GrantId = Id<struct GrantIdTag>;
using KeyId = Id<struct KeyIdTag>;

using Epoch = Counter<struct EpochTag>; ///< Incremented with each change of the owner of a shard.
using Sequence = Counter<struct SequenceTag>; ///< Orders the commands to one worker within an epoch.
using Incarnation = Counter<struct IncarnationTag>; ///< Identifies one run of a daemon process.
using RowVersion = Counter<struct RowVersionTag>; ///< Version of a store row; 0 if the row is absent.
using ConfigVersion = Counter<struct ConfigVersionTag>; ///< Version of the tables or of the key list.
using OpId = Counter<struct OpIdTag>; ///< Matches a reply to its command.

} // namespace KingCupLadder

namespace std {
template<typename Tag>
struct hash<KingCupLadder::Id<Tag>> {
    size_t operator()(const KingCupLadder::Id<Tag> &id) const noexcept
    {
        return hash<string>()(id.value());
    }
};
template<typename Tag>
struct hash<KingCupLadder::Counter<Tag>> {
    size_t operator()(const KingCupLadder::Counter<Tag> &counter) const noexcept
    {
        return hash<uint64_t>()(counter.value());
    }
};
} // namespace std
