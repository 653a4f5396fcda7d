// Entry point of the command-line client.
#pragma once

#include "context.h"

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// Parses @p arguments, which exclude the program name, and runs the selected command. Returns the exit code of the process.
[[nodiscard]] int runCommandLine(const std::vector<std::string> &arguments, Dependencies &dependencies);

} // namespace KingCupLadder::Ctl
