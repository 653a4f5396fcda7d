// Parses durations and sizes with units as operators write them: "1500ms", "6s", "2m", "1h"; "512B", "64KiB", "8MiB", "1GiB".
#pragma once

#include "core/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace KingCupLadder {

/// Returns nullopt if the number or the unit is missing, or the duration is longer than a year.
[[nodiscard]] std::optional<Duration> parseDuration(const std::string &text);

/// Returns bytes, or nullopt if the number or the unit is missing or the size is above 1024 GiB.
[[nodiscard]] std::optional<std::uint64_t> parseSize(const std::string &text);

} // namespace KingCupLadder
