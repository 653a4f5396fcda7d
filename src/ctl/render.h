// Output formats: tables for people, JSON and YAML.
#pragma once

#include "client.h"

#include <ostream>
#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

enum class OutputFormat {
    Table,
    JsonText,
    Yaml,
};

/// Prints the objects in @p rows as a table. The members named in @p columns come first, the others follow in the order in which
/// they appear.
void printTable(std::ostream &out, const Json &rows, const std::vector<std::string> &columns);
/// Formats a value for a table cell: resources as "16 cores 65536 MiB", lists as comma-separated items.
[[nodiscard]] std::string cellText(const Json &value);
/// Prints @p value as JSON or YAML. @p format must not be OutputFormat::Table.
void printStructured(std::ostream &out, const Json &value, OutputFormat format);
/// Formats a duration, for example as "250 ms", "1.5 s", "3 min", "2.0 h" or "4.0 d".
[[nodiscard]] std::string durationText(double milliseconds);

} // namespace KingCupLadder::Ctl
