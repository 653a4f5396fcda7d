// Addresses of the daemons and the API key. Options take precedence over environment variables, and these over the config file.
#pragma once

#include "core/error.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// Returns the value of an environment variable, or nullopt if it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

struct ConnectOptions {
    std::vector<std::string> daemons; ///< --daemon.
    std::string key; ///< --key.
    std::string configFile; ///< --config.
};

struct ConnectSettings {
    std::vector<std::string> daemons; ///< "ip:port" in the order in which they are tried; at least one.
    std::string key; ///< May be empty.
};

/// Reads the connection settings. The environment variables are KINGCUPLADDER_DAEMONS (comma-separated), KINGCUPLADDER_KEY and
/// KINGCUPLADDER_CONFIG. The config file is YAML with the list "daemons" and the text "key"; its default path is
/// ~/.config/kingcupladder/ctl.yaml.
[[nodiscard]] Result<ConnectSettings> connectSettings(const ConnectOptions &options, const EnvironmentLookup &environment);

/// Returns the contents of the file at @p path.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

} // namespace KingCupLadder::Ctl
