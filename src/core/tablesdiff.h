// The differences of two pairs of tables by entry and field, for operators to read before and after a change.
#pragma once

#include "tables.h"

#include <string>
#include <vector>

namespace KingCupLadder {

struct TableChange {
    enum class Kind {
        Added, ///< The entry is new; the change has no field.
        Removed, ///< The entry is gone; the change has no field.
        Changed,
    };
    Kind kind = Kind::Changed;
    std::string entry; ///< Kind and name, such as "route booking".
    std::string field; ///< As in the YAML form, such as "demand.cpu" or "team parents".
    std::string before; ///< As in the YAML form; empty: not set.
    std::string after; ///< As in the YAML form; empty: not set.

    /// One line: "+ route booking", "- pool night" or "~ route booking: deadline 2s -> 3s".
    [[nodiscard]] std::string text() const;
};

/// All changes: routes, pools, then teams, each by name. The fields of an added entry follow its line.
[[nodiscard]] std::vector<TableChange> diffTables(const Tables &before, const Tables &after);

/// One line for each change; "no changes" if there are none.
[[nodiscard]] std::string diffText(const std::vector<TableChange> &changes);

} // namespace KingCupLadder
