// Amounts as operators write them: durations, memory, processor time, counts and percentages, always with exact results.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace KingCupLadder {

/// A suffix and how many base units it stands for.
struct QuantityUnit {
    const char *suffix;
    std::int64_t factor;
};

/// Reads amounts of one kind. The result is in base units, between 0 and the stated maximum.
class QuantityFormat
{
public:
    /// @p units live as long as the program, in ascending order of their factors.
    template<std::size_t count>
    constexpr QuantityFormat(const QuantityUnit (&units)[count], const char *example) // NOLINT(modernize-avoid-c-arrays)
        : m_begin(units), m_end(units + count), m_example(example)
    {
    }

    /// The amount; empty if the text is malformed, negative, above @p maximum or finer than a base unit. @p fault then says what.
    /// @p maximum is in base units and at most 10^14, so that its thousandths do not overflow.
    [[nodiscard]] std::optional<std::int64_t> parse(const std::string &text, std::int64_t maximum, std::string &fault) const;
    /// The amount as operators write it, in the largest unit that needs no decimals.
    [[nodiscard]] std::string format(std::int64_t amount) const;
    /// How to write such an amount, for remedies.
    [[nodiscard]] const char *example() const;

private:
    const QuantityUnit *m_begin;
    const QuantityUnit *m_end;
    const char *m_example;
};

[[nodiscard]] const QuantityFormat &durationFormat(); ///< Milliseconds.
[[nodiscard]] const QuantityFormat &memoryFormat(); ///< MiB.
[[nodiscard]] const QuantityFormat &cpuFormat(); ///< Thousandths of a core.
[[nodiscard]] const QuantityFormat &countFormat(); ///< Whole units.
[[nodiscard]] const QuantityFormat &percentFormat(); ///< Thousandths of a percent.
[[nodiscard]] const QuantityFormat &weightFormat(); ///< Thousandths.

} // namespace KingCupLadder
