// Output: readable tables, JSON or YAML.
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

/// Rows are objects; @p columns name the members shown first. Other members follow in their own order.
void printTable(std::ostream &out, const Json &rows, const std::vector<std::string> &columns);
/// The value as text for people: resources as "16 cores 65536 MiB", lists separated by commas.
[[nodiscard]] std::string cellText(const Json &value);
/// The whole value as JSON or YAML; must not be called for OutputFormat::Table.
void printStructured(std::ostream &out, const Json &value, OutputFormat format);
/// "250 ms", "1.5 s", "3 min", "2.0 h" or "4.0 d".
[[nodiscard]] std::string durationText(double milliseconds);

} // namespace KingCupLadder::Ctl
