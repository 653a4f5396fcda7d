// Differences between two pairs of tables, by entry and field, for review by operators.
#pragma once

#include "tables.h"

#include <string>
#include <vector>

namespace KingCupLadder {

struct TableChange {
    enum class Kind {
        Added, ///< The entry was added; field is empty.
        Removed, ///< The entry was removed; field is empty.
        Changed,
    };
    Kind kind = Kind::Changed;
    std::string entry; ///< The kind and name of the entry, such as "route booking".
    std::string field; ///< As in the YAML form, such as "demand.cpu" or "team parents".
    std::string before; ///< As in the YAML form; empty if not set.
    std::string after; ///< As in the YAML form; empty if not set.

    /// Formats the change as one line: "+ route booking", "- pool night" or "~ route booking: deadline 2s -> 3s".
    [[nodiscard]] std::string text() const;
};

/// Returns all changes: routes, pools, then teams, each sorted by name. An added entry is followed by its fields.
[[nodiscard]] std::vector<TableChange> diffTables(const Tables &before, const Tables &after);

/// Formats one line per change, or "no changes" if there are none.
[[nodiscard]] std::string diffText(const std::vector<TableChange> &changes);

} // namespace KingCupLadder
