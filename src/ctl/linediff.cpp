// Line diff by longest common subsequence (LCS), after the common prefix and suffix are removed.
#include "linediff.h"

#include <cstdint>
#include <sstream>

namespace KingCupLadder::Ctl {

namespace {

constexpr std::size_t maxDiffLines = 4000;

using Lines = std::vector<std::string>;

Lines split(const std::string &text)
{
    Lines lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Returns the table of LCS lengths of all pairs of suffixes of @p a and @p b, (a.size() + 1) by (b.size() + 1) in row-major order.
std::vector<std::uint16_t> lcsLengths(const Lines &a, const Lines &b)
{
    const std::size_t width = b.size() + 1;
    std::vector<std::uint16_t> lengths((a.size() + 1) * width, 0);
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;) {
            const std::uint16_t longer = std::max(lengths[(i + 1) * width + j], lengths[i * width + j + 1]);
            lengths[i * width + j] = a[i] == b[j] ? static_cast<std::uint16_t>(lengths[(i + 1) * width + j + 1] + 1) : longer;
        }
    }
    return lengths;
}

} // namespace

std::vector<DiffLine> lineDiff(const std::string &before, const std::string &after)
{
    Lines a = split(before);
    Lines b = split(after);
    std::size_t start = 0;
    while (start < a.size() && start < b.size() && a[start] == b[start]) {
        ++start;
    }
    while (a.size() > start && b.size() > start && a.back() == b.back()) {
        a.pop_back();
        b.pop_back();
    }
    a.erase(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(start));
    b.erase(b.begin(), b.begin() + static_cast<std::ptrdiff_t>(start));
    const bool small = a.size() <= maxDiffLines && b.size() <= maxDiffLines;
    const std::vector<std::uint16_t> lengths = small ? lcsLengths(a, b) : std::vector<std::uint16_t>();
    const auto length = [&](std::size_t i, std::size_t j) { return small ? lengths[i * (b.size() + 1) + j] : std::uint16_t{0}; };
    std::vector<DiffLine> lines;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (small && i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (i < a.size() && (j == b.size() || length(i + 1, j) >= length(i, j + 1))) {
            lines.push_back({'-', static_cast<int>(start + i + 1), a[i]});
            ++i;
        } else {
            lines.push_back({'+', static_cast<int>(start + j + 1), b[j]});
            ++j;
        }
    }
    return lines;
}

} // namespace KingCupLadder::Ctl
