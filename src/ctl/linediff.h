// Line-by-line diff of two texts.
#pragma once

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

struct DiffLine {
    char mark = ' '; ///< '-': removed from the old text; '+': added in the new text.
    int line = 0; ///< Line number, from 1, in the text that contains the line.
    std::string text;
};

/// Returns the removed and added lines in order. To bound the memory of the comparison, the differing middle part is reported as
/// replaced as a whole if it has more than 4,000 lines in either text.
[[nodiscard]] std::vector<DiffLine> lineDiff(const std::string &before, const std::string &after);

} // namespace KingCupLadder::Ctl
