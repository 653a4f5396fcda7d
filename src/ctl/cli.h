// The command line: parses it and runs the selected command.
#pragma once

#include "context.h"

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// @p arguments without the program's name. Returns the exit code of the process.
[[nodiscard]] int runCommandLine(const std::vector<std::string> &arguments, Dependencies &dependencies);

} // namespace KingCupLadder::Ctl
