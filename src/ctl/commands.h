// Registration of the subcommands. Parsing the command line selects at most one command.
#pragma once

#include "context.h"

#include <CLI/CLI.hpp>

namespace KingCupLadder::Ctl {

/// Stores the command that the command line selects.
using CommandSelector = std::function<void(Command)>;

void addTablesCommands(CLI::App &app, const CommandSelector &select);
void addKeysCommands(CLI::App &app, const CommandSelector &select);
void addJobsCommands(CLI::App &app, const CommandSelector &select);
void addViewCommands(CLI::App &app, const CommandSelector &select);
void addSloCommands(CLI::App &app, const CommandSelector &select);

/// Adds a subcommand whose help text ends with an example.
[[nodiscard]] CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &description, const std::string &example);

} // namespace KingCupLadder::Ctl
