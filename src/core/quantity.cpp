// Exact parsing and formatting of amounts with units.
#include "quantity.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr std::int64_t thousandthsPerUnit = 1000;
constexpr QuantityUnit durationUnits[] = {{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}, {"d", 86400000}};
constexpr QuantityUnit memoryUnits[] = {{"MiB", 1}, {"GiB", 1024}};
constexpr QuantityUnit cpuUnits[] = {{"m", 1}, {"", 1000}};
constexpr QuantityUnit countUnits[] = {{"", 1}};
constexpr QuantityUnit percentUnits[] = {{"%", 1000}};
constexpr QuantityUnit weightUnits[] = {{"", 1000}};

constexpr std::size_t maxDigits = 14; ///< Digits of the integer part; with three more digits the value stays below 2^63.
constexpr std::size_t maxFractionDigits = 3;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

std::size_t countDigits(const std::string &text, std::size_t start)
{
    std::size_t end = start;
    while (end < text.size() && isDigit(text[end])) {
        ++end;
    }
    return end - start;
}

/// Parses the leading decimal number, in thousandths, and sets @p end to its end. Returns an empty optional if there is no number with
/// at most three decimal places.
std::optional<std::int64_t> parseThousandths(const std::string &text, std::size_t &end)
{
    const std::size_t whole = countDigits(text, 0);
    if (whole == 0 || whole > maxDigits) {
        return std::nullopt;
    }
    std::string digits = text.substr(0, whole);
    std::size_t fraction = 0;
    end = whole;
    if (end < text.size() && text[end] == '.') {
        fraction = countDigits(text, whole + 1);
        if (fraction == 0 || fraction > maxFractionDigits) {
            return std::nullopt;
        }
        digits += text.substr(whole + 1, fraction);
        end = whole + 1 + fraction;
    }
    digits.append(maxFractionDigits - fraction, '0');
    std::int64_t value = 0;
    for (char c : digits) {
        value = value * 10 + (c - '0');
    }
    return value;
}

} // namespace

std::optional<std::int64_t> QuantityFormat::parse(const std::string &text, std::int64_t maximum, std::string &reason) const
{
    if (!text.empty() && text[0] == '-') {
        reason = "is negative";
        return std::nullopt;
    }
    std::size_t end = 0;
    const auto thousandths = parseThousandths(text, end);
    if (!thousandths) {
        reason = countDigits(text, 0) > maxDigits ? "is too large" : "is not an amount";
        return std::nullopt;
    }
    const std::string suffix = text.substr(end);
    const auto unit = std::find_if(m_begin, m_end, [&](const QuantityUnit &u) { return suffix == u.suffix; });
    if (unit == m_end) {
        reason = suffix.empty() ? "has no unit" : "has an unknown unit";
        return std::nullopt;
    }
    if (*thousandths > maximum * thousandthsPerUnit / unit->factor) {
        reason = "is too large";
        return std::nullopt;
    }
    const std::int64_t scaled = *thousandths * unit->factor;
    if (scaled % thousandthsPerUnit != 0) {
        reason = "is more precise than supported";
        return std::nullopt;
    }
    return scaled / thousandthsPerUnit;
}

std::string QuantityFormat::format(std::int64_t amount) const
{
    // The largest unit of which the amount is a multiple. Zero is a multiple of all units and is written in the smallest one.
    const auto reverseEnd = std::make_reverse_iterator(m_begin);
    const auto exact = std::find_if(std::make_reverse_iterator(m_end), reverseEnd, [&](const QuantityUnit &unit) { return amount % unit.factor == 0; });
    if (amount != 0 && exact != reverseEnd) {
        return std::to_string(amount / exact->factor) + exact->suffix;
    }
    const QuantityUnit &smallest = *m_begin;
    std::string text = std::to_string(amount / smallest.factor);
    const std::int64_t remainder = amount % smallest.factor * thousandthsPerUnit / smallest.factor;
    if (remainder != 0) {
        const std::string digits = std::to_string(remainder);
        text += "." + std::string(maxFractionDigits - digits.size(), '0') + digits;
        text.erase(text.find_last_not_of('0') + 1);
    }
    return text + smallest.suffix;
}

const char *QuantityFormat::example() const
{
    return m_example;
}

const QuantityFormat &durationFormat()
{
    static constexpr QuantityFormat format(durationUnits, "a duration with unit, such as 200ms, 2s, 5m, 1h or 30d");
    return format;
}

const QuantityFormat &memoryFormat()
{
    static constexpr QuantityFormat format(memoryUnits, "a size with unit, such as 256MiB or 4GiB");
    return format;
}

const QuantityFormat &cpuFormat()
{
    static constexpr QuantityFormat format(cpuUnits, "cores or millicores, such as 2, 1.5 or 500m");
    return format;
}

const QuantityFormat &countFormat()
{
    static constexpr QuantityFormat format(countUnits, "a whole number, such as 1");
    return format;
}

const QuantityFormat &percentFormat()
{
    static constexpr QuantityFormat format(percentUnits, "a percentage, such as 99.9%");
    return format;
}

const QuantityFormat &weightFormat()
{
    static constexpr QuantityFormat format(weightUnits, "a weight above 0, such as 3 or 0.5");
    return format;
}

} // namespace KingCupLadder
