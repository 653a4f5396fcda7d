// Execution context of a command, with the external dependencies as hooks that tests replace.
#pragma once

#include "client.h"
#include "connectsettings.h"
#include "render.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// A validation error in the routes or pools table.
struct TableIssue {
    std::string document; ///< "routes" or "pools".
    int line = 0; ///< From 1; 0 if the issue concerns the whole document.
    std::string message;
    std::string remedy;
};

/// Network, environment, clock, table validation and output streams.
struct Dependencies {
    std::function<Transport(Duration timeout, ProgressCallback progress)> transport;
    EnvironmentLookup environment;
    std::function<TimePoint()> now;
    std::function<void(Duration)> sleep;
    std::function<std::vector<TableIssue>(const std::string &routes, const std::string &pools)> checkTables;
    std::function<std::string()> generateId; ///< Returns a unique id.
    std::ostream &out;
    std::ostream &err;
};

/// State shared by all commands of one invocation.
struct CommandContext {
    Dependencies &dependencies;
    Client &client;
    OutputFormat format = OutputFormat::Table;
    Duration rolloutWait{15000}; ///< How long to wait until a change is in force on every daemon.

    /// Prints the failure and its remedy to the error stream and returns its exit code.
    [[nodiscard]] ExitCode fail(const Failure &failure) const;
    /// Prints a message to the error stream, apart from the command's output.
    void note(const std::string &text) const;
    /// Prints @p rows as a table, or @p structured in the structured formats.
    void print(const Json &structured, const Json &rows, const std::vector<std::string> &columns) const;
};

using Command = std::function<ExitCode(CommandContext &)>;

/// Returns the string member @p name, or an empty string if it is missing or of another type.
[[nodiscard]] std::string textMember(const Json &object, const std::string &name);
/// Returns the numeric member @p name, or @p fallback if it is missing or of another type.
[[nodiscard]] double numberMember(const Json &object, const std::string &name, double fallback);
/// Returns the array member @p name, or an empty array if it is missing or of another type.
[[nodiscard]] Json listMember(const Json &object, const std::string &name);

} // namespace KingCupLadder::Ctl
