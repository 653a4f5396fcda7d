// Typed errors and results. A result is an std::optional together with the last reason why it is empty.
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
    NotAllowed, ///< The key is good but its team may not do this.
    NotFound,
    Conflict, ///< Somebody else changed the state first.
    LimitReached, ///< A team limit, a queue bound or a retry budget is used up.
    NoRoom, ///< Nothing can take the work now.
    NeverFits, ///< No worker of the pool can ever take the work.
    Unavailable, ///< A part that is needed can't be reached now.
    Timeout,
    OutcomeUnknown, ///< The work may or may not have run.
    Stopping, ///< This daemon is shutting down.
};

/// A name for logs and answers, such as "limit reached".
[[nodiscard]] const char *toString(ErrorKind kind);

/// Why something failed and what the reader can do about it.
struct Error {
    ErrorKind kind = ErrorKind::None;
    std::string message; ///< What is wrong, one short sentence without a full stop.
    std::string remedy; ///< What to do, one short sentence without a full stop.

    [[nodiscard]] std::string text() const;
};

/// A value, or the reason why there is none.
template<typename T>
class [[nodiscard]] Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor): returning a value is the common case.
        : m_value(std::move(value))
    {
    }
    Result(Error reason) // NOLINT(google-explicit-constructor): returning a reason is the other case.
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

    /// The value. Must only be called if hasValue().
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

    /// The reason; its kind is ErrorKind::None if there is a value.
    [[nodiscard]] const Error &reason() const
    {
        return m_reason;
    }

private:
    std::optional<T> m_value; ///< Empty exactly if m_reason.kind is not ErrorKind::None.
    Error m_reason;
};

} // namespace KingCupLadder
