// Amounts as operators write them: durations, memory, processor time, counts and percentages, always with exact results.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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
    /// @p units in ascending order of their factors.
    QuantityFormat(std::vector<QuantityUnit> units, const char *example);

    /// @p maximum is in base units and at most 10^14, so that its thousandths do not overflow.
    /// The amount; empty if the text is malformed, negative, above @p maximum or finer than a base unit. @p fault then says what.
    [[nodiscard]] std::optional<std::int64_t> parse(const std::string &text, std::int64_t maximum, std::string &fault) const;
    /// The amount as operators write it, in the largest unit that needs no decimals.
    [[nodiscard]] std::string format(std::int64_t amount) const;
    /// How to write such an amount, for remedies.
    [[nodiscard]] const char *example() const;

private:
    std::vector<QuantityUnit> m_units;
    const char *m_example;
};

[[nodiscard]] const QuantityFormat &durationFormat(); ///< Milliseconds.
[[nodiscard]] const QuantityFormat &memoryFormat(); ///< MiB.
[[nodiscard]] const QuantityFormat &cpuFormat(); ///< Thousandths of a core.
[[nodiscard]] const QuantityFormat &countFormat(); ///< Whole units.
[[nodiscard]] const QuantityFormat &percentFormat(); ///< Thousandths of a percent.
[[nodiscard]] const QuantityFormat &weightFormat(); ///< Thousandths.

} // namespace KingCupLadder
