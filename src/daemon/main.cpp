// kingcupladderd: reads the settings and runs the daemon.
#include "daemon.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace KingCupLadder;

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 1;

/// Reads settings and prints all problems. Returns nullopt if there are any.
std::optional<DaemonSettings> load(const std::string &path)
{
    SettingsCheck check = readSettings(path);
    for (const SettingsProblem &problem : check.problems) {
        std::cerr << problem.text(path) << '\n';
    }
    return check.settings;
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
        return exitBadSettings;
    }
    const auto settings = load(checkPath.empty() ? settingsPath : checkPath);
    if (!settings) {
        return exitBadSettings;
    }
    if (!checkPath.empty()) {
        std::cout << checkPath << ": no problems\n";
        return 0;
    }
    return runDaemon(*settings);
}
