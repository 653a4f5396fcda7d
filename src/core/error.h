// Errors with a kind, and Result, which holds either a value or an Error.
#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace KingCupLadder {

enum class ErrorKind {
    None,
    InvalidInput, ///< The caller's input is wrong; sending it again does not help.
    Unauthorized, ///< No key, an unknown key or a withdrawn key.
    NotAllowed, ///< The key is valid, but its team lacks the permission.
    NotFound,
    Conflict, ///< The state was changed concurrently, or the name is already in use.
    LimitReached, ///< A team limit, a queue limit or a retry budget is exhausted.
    NoRoom, ///< No worker has enough free resources now.
    NeverFits, ///< The work exceeds the team limit or the capacity of every worker of the pool.
    Unavailable, ///< A required component can't be reached now.
    Timeout,
    OutcomeUnknown, ///< The work may or may not have run.
    Stopping, ///< This daemon is shutting down.
};

/// The name of the kind for logs and replies, such as "limit reached".
[[nodiscard]] const char *toString(ErrorKind kind);

/// Why an operation failed and what the user can do about it.
struct Error {
    ErrorKind kind = ErrorKind::None;
    std::string message; ///< What went wrong; one short sentence without a full stop.
    std::string remedy; ///< What to do, one short sentence without a full stop.

    /// The message and the remedy in one line.
    [[nodiscard]] std::string text() const;
};

/// A value, or the error that explains why there is none.
template<typename T>
class [[nodiscard]] Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor): allows "return value;".
        : m_value(std::move(value))
    {
    }
    Result(Error reason) // NOLINT(google-explicit-constructor): allows "return error;".
        : m_reason(std::move(reason))
    {
    }

    [[nodiscard]] bool hasValue() const
    {
        return m_value.has_value();
    }
    explicit operator bool() const
    {
        return hasValue();
    }

    /// Returns the value. Must be called only if hasValue().
    [[nodiscard]] const T &value() const &
    {
        assert(m_value);
        return *m_value;
    }
    [[nodiscard]] T &value() &
    {
        assert(m_value);
        return *m_value;
    }
    [[nodiscard]] T &&value() &&
    {
        assert(m_value);
        return std::move(*m_value);
    }

    /// Returns the error. Its kind is ErrorKind::None if there is a value.
    [[nodiscard]] const Error &reason() const
    {
        return m_reason;
    }

private:
    std::optional<T> m_value; ///< Empty if and only if m_reason.kind is not ErrorKind::None.
    Error m_reason;
};

} // namespace KingCupLadder
