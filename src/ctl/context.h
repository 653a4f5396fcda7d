// What a command needs: the fleet, the output, time, and the outside world as hooks.
#pragma once

#include "client.h"
#include "connectsettings.h"
#include "render.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// One thing that is wrong with the tables.
struct TableIssue {
    std::string document; ///< "routes" or "pools".
    int line = 0; ///< 0: the whole document.
    std::string message;
    std::string remedy;
};

/// Everything outside the process.
struct Dependencies {
    std::function<Transport(Duration timeout, ProgressCallback progress)> transport;
    EnvironmentLookup environment;
    std::function<TimePoint()> now;
    std::function<void(Duration)> sleep;
    std::function<std::vector<TableIssue>(const std::string &routes, const std::string &pools)> checkTables;
    std::function<std::string()> generateId; ///< A name that no other call uses.
    std::ostream &out;
    std::ostream &err;
};

struct CommandContext {
    Dependencies &dependencies;
    Client &client;
    OutputFormat format = OutputFormat::Table;
    Duration wait{15000}; ///< For a change to be in force on every daemon.

    /// Prints the failure with its remedy and returns its exit code.
    [[nodiscard]] ExitCode fail(const Failure &failure) const;
    /// Prints a note that is not part of the output.
    void note(const std::string &text) const;
    /// Prints @p rows as a table, or @p whole in the structured formats.
    void print(const Json &structured, const Json &rows, const std::vector<std::string> &columns) const;
};

using Command = std::function<ExitCode(CommandContext &)>;

/// The member as text; empty if it is missing or no text.
[[nodiscard]] std::string textMember(const Json &object, const std::string &name);
/// The member as a number; @p fallback if it is missing or no number.
[[nodiscard]] double numberMember(const Json &object, const std::string &name, double fallback);
/// The member as a list; empty if it is missing or no list.
[[nodiscard]] Json listMember(const Json &object, const std::string &name);

} // namespace KingCupLadder::Ctl
