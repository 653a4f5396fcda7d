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
constexpr std::size_t rateLimitEntryCount = 1024; // Fixed, so that subjects from external input can't exhaust the memory.

constexpr std::array<const char *, 12> componentNames{
    "daemon", "settings", "http", "requests", "api", "peers", "platform", "workers", "shutdown", "leader", "scheduler", "caller"};
constexpr std::array<const char *, 4> levelNames{"debug", "info", "warning", "error"};

/// State of the rate limit for one subject.
struct RateLimitEntry {
    std::size_t subject = 0; ///< Hash of component and subject; a line with another hash and the same index replaces the entry.
    std::chrono::steady_clock::time_point nextLineAt;
    std::uint64_t suppressed = 0;
};

struct LogState {
    bool isInitialized = false; ///< Lines are dropped until then, since easylogging++ would write them to a file.
    LogLevel defaultLevel = LogLevel::Info;
    std::map<LogComponent, LogLevel> levels;
    std::array<RateLimitEntry, rateLimitEntryCount> rateLimitEntries;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

bool isWritten(LogComponent component, LogLevel level)
{
    const auto found = state().levels.find(component);
    const LogLevel minLevel = found == state().levels.end() ? state().defaultLevel : found->second;
    return state().isInitialized && level >= minLevel;
}

/// Replaces control characters by spaces, so that external input can't forge log lines with line breaks.
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

const char *toString(LogComponent component)
{
    return componentNames.at(static_cast<std::size_t>(component));
}

std::optional<LogComponent> logComponentFromString(const std::string &text)
{
    for (std::size_t i = 0; i < componentNames.size(); ++i) {
        if (text == componentNames.at(i)) {
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

void initializeLogging(LogLevel defaultLevel, const std::map<LogComponent, LogLevel> &levels)
{
    state().defaultLevel = defaultLevel;
    state().levels = levels;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false"); // The VMs have no disk.
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    // Unlike in strftime(), %M is the month and %m the minute.
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    state().isInitialized = true;
}

void logLine(LogComponent component, LogLevel level, const std::string &text)
{
    if (!isWritten(component, level)) {
        return;
    }
    const std::string line = "[" + std::string(toString(component)) + "] " + printable(text);
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

void logRateLimited(LogComponent component, LogLevel level, const std::string &subject, const std::string &text)
{
    if (!isWritten(component, level)) {
        return;
    }
    const std::size_t hash = std::hash<std::string>()(std::string(toString(component)) + "/" + subject);
    RateLimitEntry &entry = state().rateLimitEntries.at(hash % rateLimitEntryCount);
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
    logLine(component, level, text + suffix);
}

} // namespace KingCupLadder
