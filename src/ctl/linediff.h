// Difference of two texts by lines.
#pragma once

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

struct DiffLine {
    char mark = ' '; ///< '-' only in the old text, '+' only in the new one.
    int line = 0; ///< In the text that has it, from 1.
    std::string text;
};

/// The lines that differ, in order; a longest common subsequence stays out. Texts whose differing middle parts are larger than
/// 4,000 lines each are shown as replaced whole there, which bounds the memory.
[[nodiscard]] std::vector<DiffLine> lineDiff(const std::string &before, const std::string &after);

} // namespace KingCupLadder::Ctl
