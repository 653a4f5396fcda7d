// kingcupladderd: reads the settings and runs the daemon.
#include "daemon.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace KingCupLadder;

namespace {

constexpr int exitInvalidSettings = 2;
constexpr int exitCannotStart = 1;

/// Reads the settings file and prints its problems. Returns nullopt if there are any.
std::optional<DaemonSettings> loadSettings(const std::string &path)
{
    SettingsResult result = readSettings(path);
    for (const SettingsProblem &problem : result.problems) {
        std::cerr << problem.text(path) << '\n';
    }
    return result.settings;
}

int runDaemon(const DaemonSettings &settings)
{
    initializeLogging(settings.logLevel, settings.logLevels);
    const auto daemon = Daemon::create(settings);
    if (!daemon) {
        logLine(LogComponent::Daemon, LogLevel::Error, daemon.reason().text());
        return exitCannotStart;
    }
    daemon.value()->run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("The daemon of the kingcupladder cluster scheduler");
    std::string settingsPath;
    std::string checkPath;
    auto *settingsOption = app.add_option("--settings", settingsPath, "Run with this settings file");
    auto *checkOption = app.add_option("--check-settings", checkPath, "Check this settings file and exit");
    settingsOption->excludes(checkOption);
    CLI11_PARSE(app, argc, argv);
    if (settingsPath.empty() && checkPath.empty()) {
        std::cerr << "kingcupladderd: no settings; use --settings FILE\n";
        return exitInvalidSettings;
    }
    const auto settings = loadSettings(checkPath.empty() ? settingsPath : checkPath);
    if (!settings) {
        return exitInvalidSettings;
    }
    if (!checkPath.empty()) {
        std::cout << checkPath << ": no problems\n";
        return 0;
    }
    return runDaemon(*settings);
}
