// Parsing and formatting of amounts in configuration: durations, memory, CPU, counts, percentages and weights. All results are
// exact.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace KingCupLadder {

/// A unit suffix and its size in base units.
struct QuantityUnit {
    const char *suffix;
    std::int64_t factor;
};

/// Parses and formats amounts of one kind. Parsed amounts are in base units, between 0 and the given maximum.
class QuantityFormat
{
public:
    /// @p units must have static storage duration and be sorted by ascending factor.
    template<std::size_t count>
    constexpr QuantityFormat(const QuantityUnit (&units)[count], const char *example) // NOLINT(modernize-avoid-c-arrays)
        : m_begin(units), m_end(units + count), m_example(example)
    {
    }

    /// Returns the amount. Returns an empty optional and sets @p reason if the text is malformed, negative, above @p maximum, or not a
    /// whole number of base units. @p maximum is in base units and at most 10^14, so that a thousand times its value does not overflow.
    [[nodiscard]] std::optional<std::int64_t> parse(const std::string &text, std::int64_t maximum, std::string &reason) const;
    /// Formats the amount in the largest unit that needs no decimals.
    [[nodiscard]] std::string format(std::int64_t amount) const;
    /// Returns a description with examples of valid amounts, for error messages.
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
