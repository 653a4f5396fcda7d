// Parsing of numbers with units.
#include "unitparsing.h"

#include "core/quantity.h"

#include <array>
#include <charconv>
#include <utility>

namespace KingCupLadder {

namespace {

using Unit = std::pair<const char *, std::uint64_t>;

constexpr std::array<Unit, 4> sizeUnits{{{"B", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}, {"GiB", 1024 * 1024 * 1024}}};
constexpr std::int64_t maxDurationMs = 366LL * 24 * 3600 * 1000;
constexpr std::uint64_t maxSizeBytes = 1024ULL * 1024 * 1024 * 1024;

template<std::size_t N>
std::optional<std::uint64_t> parseWithUnit(const std::string &text, const std::array<Unit, N> &units, std::uint64_t max)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    const std::string unit(parsed.ptr, static_cast<std::size_t>(text.data() + text.size() - parsed.ptr));
    for (const auto &[name, factor] : units) {
        if (unit == name) {
            return number <= max / factor ? std::optional<std::uint64_t>(number * factor) : std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Duration> parseDuration(const std::string &text)
{
    std::string parseError;
    const auto span = durationFormat().parse(text, maxDurationMs, parseError);
    return span ? std::optional<Duration>(Duration(*span)) : std::nullopt;
}

std::optional<std::uint64_t> parseSize(const std::string &text)
{
    return parseWithUnit(text, sizeUnits, maxSizeBytes);
}

} // namespace KingCupLadder
