// Merges the connection settings from the command line, the environment and the config file.
#include "connectsettings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <sstream>

namespace KingCupLadder::Ctl {

namespace {

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

Result<ConnectSettings> parseConfigFile(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        return text.reason();
    }
    try {
        const YAML::Node root = YAML::Load(text.value());
        ConnectSettings settings;
        for (const YAML::Node &daemon : root["daemons"]) {
            settings.daemons.push_back(daemon.as<std::string>());
        }
        settings.key = root["key"].as<std::string>("");
        return settings;
    } catch (const YAML::Exception &error) {
        return Error{ErrorKind::InvalidInput, path + ": " + error.what(), "write \"daemons: [ip:port, ...]\" and \"key: ...\""};
    }
}

Result<ConnectSettings> loadConfigFile(const ConnectOptions &options, const EnvironmentLookup &environment)
{
    const std::string explicitPath = options.configFile.empty() ? environment("KINGCUPLADDER_CONFIG").value_or("") : options.configFile;
    if (!explicitPath.empty()) {
        return parseConfigFile(explicitPath);
    }
    const std::string defaultPath = environment("HOME").value_or("") + "/.config/kingcupladder/ctl.yaml";
    // The default config file is optional; a file that is named explicitly has to exist.
    return std::ifstream(defaultPath) ? parseConfigFile(defaultPath) : ConnectSettings{};
}

} // namespace

Result<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return Error{ErrorKind::InvalidInput, "cannot read " + path, "check that the file exists, is readable and is not empty"};
    }
    return text.str();
}

Result<ConnectSettings> connectSettings(const ConnectOptions &options, const EnvironmentLookup &environment)
{
    const auto file = loadConfigFile(options, environment);
    if (!file) {
        return file.reason();
    }
    ConnectSettings settings = file.value();
    if (const auto daemons = environment("KINGCUPLADDER_DAEMONS")) {
        settings.daemons = splitList(*daemons);
    }
    if (const auto key = environment("KINGCUPLADDER_KEY")) {
        settings.key = *key;
    }
    if (!options.daemons.empty()) {
        settings.daemons = options.daemons;
    }
    if (!options.key.empty()) {
        settings.key = options.key;
    }
    if (settings.daemons.empty()) {
        return Error{ErrorKind::InvalidInput, "no daemon address is configured", "pass --daemon ip:port or set KINGCUPLADDER_DAEMONS"};
    }
    return settings;
}

} // namespace KingCupLadder::Ctl
