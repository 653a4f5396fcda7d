// easylogging++ behind the log functions. The only file of the daemon that includes it: the header is slow to compile.
#include "log.h"

#include "core/units.h"

#include <easylogging++.h>

#include <array>
#include <unordered_map>

INITIALIZE_EASYLOGGINGPP

namespace KingCupLadder {

namespace {

constexpr Duration repeatInterval{10000};
constexpr std::size_t maxSubjects = 10000; // Bounds the memory of the rate limit when subjects are ids.

constexpr std::array<const char *, 9> partNames{"daemon", "settings", "http", "requests", "api", "peers", "platform", "workers", "shutdown"};
constexpr std::array<const char *, 4> levelNames{"debug", "info", "warning", "error"};

struct Repeats {
    std::chrono::steady_clock::time_point nextLine;
    std::uint64_t leftOut = 0;
};

struct LogState {
    LogLevel fallback = LogLevel::Info;
    std::map<LogPart, LogLevel> levels;
    std::unordered_map<std::string, Repeats> repeats;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

bool isWritten(LogPart part, LogLevel level)
{
    const auto found = state().levels.find(part);
    const LogLevel lowest = found == state().levels.end() ? state().fallback : found->second;
    return level >= lowest;
}

/// Control characters from outside could forge log lines.
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

const char *toString(LogPart part)
{
    return partNames.at(static_cast<std::size_t>(part));
}

std::optional<LogPart> logPartFromString(const std::string &text)
{
    for (std::size_t i = 0; i < partNames.size(); ++i) {
        if (text == partNames.at(i)) {
            return static_cast<LogPart>(i);
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

void setUpLog(LogLevel fallback, const std::map<LogPart, LogLevel> &levels)
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
}

void logLine(LogPart part, LogLevel level, const std::string &text)
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

void logLimited(LogPart part, LogLevel level, const std::string &subject, const std::string &text)
{
    if (!isWritten(part, level)) {
        return;
    }
    auto &repeats = state().repeats;
    if (repeats.size() >= maxSubjects) {
        repeats.clear();
    }
    const auto now = std::chrono::steady_clock::now();
    Repeats &entry = repeats[std::string(toString(part)) + "/" + subject];
    if (now < entry.nextLine) {
        ++entry.leftOut;
        return;
    }
    const std::string suffix = entry.leftOut > 0 ? " (" + std::to_string(entry.leftOut) + " similar lines left out)" : "";
    entry = Repeats{now + repeatInterval, 0};
    logLine(part, level, text + suffix);
}

} // namespace KingCupLadder
