// Logging with a fixed prefix per component. Callers must never pass request headers, bodies or keys.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace KingCupLadder {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Components of the daemon and of the node. Leader, Scheduler and Caller are used by the node only.
enum class LogComponent {
    Daemon,
    Settings,
    Http,
    Requests,
    Api,
    Peers,
    Platform,
    Workers,
    Shutdown,
    Leader,
    Scheduler,
    Caller,
};

[[nodiscard]] const char *toString(LogComponent component);
[[nodiscard]] std::optional<LogComponent> logComponentFromString(const std::string &text);
[[nodiscard]] std::optional<LogLevel> logLevelFromString(const std::string &text);

/// Sets the lowest level that is written per component; components without an entry use @p defaultLevel. Must be called once,
/// before the first line: lines that are logged earlier are dropped.
void initializeLogging(LogLevel defaultLevel, const std::map<LogComponent, LogLevel> &levels);

void logLine(LogComponent component, LogLevel level, const std::string &text);

/// Like logLine(), but at most once in ten seconds per component and @p subject; the next line states how many lines were
/// suppressed.
void logRateLimited(LogComponent component, LogLevel level, const std::string &subject, const std::string &text);

} // namespace KingCupLadder
