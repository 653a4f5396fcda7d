// Log lines with a fixed prefix per part. Request headers, bodies and keys are never passed to these functions.
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

enum class LogPart {
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

[[nodiscard]] const char *toString(LogPart part);
[[nodiscard]] std::optional<LogPart> logPartFromString(const std::string &text);
[[nodiscard]] std::optional<LogLevel> logLevelFromString(const std::string &text);

/// The lowest level that is written; parts without an entry use @p fallback. To be called once; earlier lines are
/// dropped.
void setUpLog(LogLevel fallback, const std::map<LogPart, LogLevel> &levels);

void logLine(LogPart part, LogLevel level, const std::string &text);

/// Like logLine(), at most once in ten seconds for each part and @p subject; the next line states how many were left out.
void logLimited(LogPart part, LogLevel level, const std::string &subject, const std::string &text);

} // namespace KingCupLadder
