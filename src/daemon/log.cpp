// Implements the log functions on easylogging++. No other file of the daemon includes its header, which is slow to compile.
#include "log.h"

#include "core/units.h"

#include <easylogging++.h>

#include <array>
#include <chrono>
#include <functional>

INITIALIZE_EASYLOGGINGPP

namespace KingCupLadder {

namespace {

constexpr Duration rateLimitInterval{10000};
constexpr std::size_t rateLimitSlots = 1024; // Fixed, so that subjects from external input can't exhaust the memory.

constexpr std::array<const char *, 12> partNames{
    "daemon", "settings", "http", "requests", "api", "peers", "platform", "workers", "shutdown", "leader", "scheduler", "caller"};
constexpr std::array<const char *, 4> levelNames{"debug", "info", "warning", "error"};

/// Rate limit of the lines about one subject.
struct RateLimitEntry {
    std::size_t subject = 0; ///< Hash of component and subject; a line with another hash takes over the slot.
    std::chrono::steady_clock::time_point nextLineAt;
    std::uint64_t suppressed = 0;
};

struct LogState {
    bool isSetUp = false; ///< Lines are dropped until then, since easylogging++ would write them to a file.
    LogLevel fallback = LogLevel::Info;
    std::map<LogComponent, LogLevel> levels;
    std::array<RateLimitEntry, rateLimitSlots> rateLimitEntries;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

bool isWritten(LogComponent part, LogLevel level)
{
    const auto found = state().levels.find(part);
    const LogLevel lowest = found == state().levels.end() ? state().fallback : found->second;
    return state().isSetUp && level >= lowest;
}

/// Replaces control characters, with which external input could forge log lines.
std::string printable(std::string text)
{
    for (char &c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20 || byte == 0x7f) {
            c = ' ';
        }
    }
    return text;
}

} // namespace

const char *toString(LogComponent part)
{
    return partNames.at(static_cast<std::size_t>(part));
}

std::optional<LogComponent> logComponentFromString(const std::string &text)
{
    for (std::size_t i = 0; i < partNames.size(); ++i) {
        if (text == partNames.at(i)) {
            return static_cast<LogComponent>(i);
        }
    }
    return std::nullopt;
}

std::optional<LogLevel> logLevelFromString(const std::string &text)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (text == levelNames.at(i)) {
            return static_cast<LogLevel>(i);
        }
    }
    return std::nullopt;
}

void initializeLogging(LogLevel fallback, const std::map<LogComponent, LogLevel> &levels)
{
    state().fallback = fallback;
    state().levels = levels;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false"); // The VMs have no disk.
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    state().isSetUp = true;
}

void logLine(LogComponent part, LogLevel level, const std::string &text)
{
    if (!isWritten(part, level)) {
        return;
    }
    const std::string line = "[" + std::string(toString(part)) + "] " + printable(text);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

void logRateLimited(LogComponent part, LogLevel level, const std::string &subject, const std::string &text)
{
    if (!isWritten(part, level)) {
        return;
    }
    const std::size_t hash = std::hash<std::string>()(std::string(toString(part)) + "/" + subject);
    RateLimitEntry &entry = state().rateLimitEntries.at(hash % rateLimitSlots);
    const auto now = std::chrono::steady_clock::now();
    if (entry.subject == hash && now < entry.nextLineAt) {
        ++entry.suppressed;
        return;
    }
    if (entry.subject != hash) {
        entry.suppressed = 0;
    }
    const std::string suffix = entry.suppressed > 0 ? " (" + std::to_string(entry.suppressed) + " similar lines suppressed)" : "";
    entry = RateLimitEntry{hash, now + rateLimitInterval, 0};
    logLine(part, level, text + suffix);
}

} // namespace KingCupLadder
