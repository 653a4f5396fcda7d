// Where the daemons are and which key is presented: options first, then environment variables, then the config file.
#pragma once

#include "core/error.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// The value of an environment variable; empty if it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

struct ConnectOptions {
    std::vector<std::string> daemons; ///< --daemon.
    std::string key; ///< --key.
    std::string configFile; ///< --config.
};

struct ConnectSettings {
    std::vector<std::string> daemons; ///< "ip:port", at least one, in the order in which they are tried.
    std::string key; ///< May be empty.
};

/// Variables: KINGCUPLADDER_DAEMONS (separated by commas), KINGCUPLADDER_KEY, KINGCUPLADDER_CONFIG. The file is YAML with
/// "daemons" (a list) and "key"; without a name it is ~/.config/kingcupladder/ctl.yaml.
[[nodiscard]] Result<ConnectSettings> connectSettings(const ConnectOptions &options, const EnvironmentLookup &environment);

/// The whole file.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

} // namespace KingCupLadder::Ctl
