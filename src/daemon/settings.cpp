// The schema of the settings file, one entry per key, and the checks across keys.
#include "settings.h"

#include "httptypes.h"
#include "unitparsing.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxFileBytes = 1024UL * 1024;
constexpr std::size_t digestDigits = 64;
constexpr std::size_t curveKeyLength = 40; // Characters of a Z85 key.
constexpr std::size_t maxIdentifierLength = 64;
constexpr Duration leaseScanInterval{1000}; // Equals OwnershipSettings::scanInterval.

/// Problem with one value, without its line. An empty message means that the value is valid.
struct ValueProblem {
    std::string message;
    std::string remedy;
};

/// Checks the value of a key and stores it in the settings.
using Reader = std::function<ValueProblem(const YAML::Node &, DaemonSettings &)>;

/// A key of the settings file.
struct Field {
    std::string path; ///< The key and the sections that contain it, joined by dots.
    bool required = false;
    Reader read;
};

using TextReader = std::function<ValueProblem(const std::string &, DaemonSettings &)>;

Reader scalarReader(const TextReader &reader)
{
    return [reader](const YAML::Node &node, DaemonSettings &settings) -> ValueProblem {
        if (!node.IsScalar()) {
            return {"must be a single value", "write it on the line of its key"};
        }
        return reader(node.Scalar(), settings);
    };
}

Reader durationReader(Duration DaemonSettings::*member, Duration min, Duration max)
{
    return scalarReader([=](const std::string &text, DaemonSettings &settings) -> ValueProblem {
        const auto duration = parseDuration(text);
        if (!duration) {
            return {"'" + text + "' is not a duration", "write a whole number with ms, s, m or h, such as 1500ms"};
        }
        if (*duration < min || *duration > max) {
            return {"'" + text + "' is out of range", "choose " + std::to_string(min.count()) + "ms to " + std::to_string(max.count()) + "ms"};
        }
        settings.*member = *duration;
        return {};
    });
}

Reader sizeReader(std::uint64_t DaemonSettings::*member, std::uint64_t min, std::uint64_t max)
{
    return scalarReader([=](const std::string &text, DaemonSettings &settings) -> ValueProblem {
        const auto bytes = parseSize(text);
        if (!bytes) {
            return {"'" + text + "' is not a size", "write a whole number with B, KiB, MiB or GiB, such as 8MiB"};
        }
        if (*bytes < min || *bytes > max) {
            return {"'" + text + "' is out of range", "choose " + std::to_string(min) + "B to " + std::to_string(max) + "B"};
        }
        settings.*member = *bytes;
        return {};
    });
}

Reader countReader(std::uint64_t DaemonSettings::*member, std::uint64_t min, std::uint64_t max)
{
    return scalarReader([=](const std::string &text, DaemonSettings &settings) -> ValueProblem {
        // At most nine digits, so that std::stoull() can't throw std::out_of_range.
        const bool digits = !text.empty() && text.size() <= 9 && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
        const std::uint64_t value = digits ? std::stoull(text) : 0;
        if (!digits || value < min || value > max) {
            return {"'" + text + "' is not a whole number in range", "choose " + std::to_string(min) + " to " + std::to_string(max)};
        }
        settings.*member = value;
        return {};
    });
}

ValueProblem checkName(const std::string &text)
{
    const bool valid = !text.empty() && text.size() <= maxIdentifierLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    });
    return valid ? ValueProblem{} : ValueProblem{"'" + text + "' is not a name", "use 1 to 64 letters, digits, '-', '_' and '.'"};
}

template<typename IdType>
Reader nameReader(IdType DaemonSettings::*member)
{
    return scalarReader([=](const std::string &text, DaemonSettings &settings) -> ValueProblem {
        settings.*member = IdType(text);
        return checkName(text);
    });
}

ValueProblem checkAddress(const std::string &text)
{
    const auto address = parseSocketAddress(text);
    const bool valid = address && address->host.find_first_not_of("0123456789abcdefABCDEF.:") == std::string::npos;
    return valid ? ValueProblem{} : ValueProblem{"'" + text + "' is not an address", "write an IP address and a port, such as 10.1.0.11:8080"};
}

Reader addressReader(std::string DaemonSettings::*member)
{
    return scalarReader([=](const std::string &text, DaemonSettings &settings) -> ValueProblem {
        settings.*member = text;
        return checkAddress(text);
    });
}

ValueProblem readSeeds(const YAML::Node &node, DaemonSettings &settings)
{
    if (!node.IsSequence()) {
        return {"must be a list of addresses", "write [10.1.0.11:7070, 10.1.0.12:7070]"};
    }
    for (const YAML::Node &item : node) {
        ValueProblem valueProblem =
            item.IsScalar() ? checkAddress(item.Scalar()) : ValueProblem{"holds an entry that is not an address", "write IP addresses with ports"};
        if (!valueProblem.message.empty()) {
            return valueProblem;
        }
        settings.seeds.push_back(item.Scalar());
    }
    return {};
}

ValueProblem readDigest(const std::string &text, DaemonSettings &settings)
{
    settings.operatorKeyDigest = text;
    if (text.size() == digestDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos) {
        return {};
    }
    // The message does not quote the value, which may be the operator key itself, written by mistake.
    return {"is not a SHA-256 digest", "write the output of: printf %s KEY | sha256sum"};
}

Reader curveKeyReader(std::string CurveKeys::*member)
{
    return scalarReader([=](const std::string &text, DaemonSettings &settings) -> ValueProblem {
        if (!settings.curve) {
            settings.curve = CurveKeys{};
        }
        (*settings.curve).*member = text;
        return text.size() == curveKeyLength ? ValueProblem{} : ValueProblem{"is not a CURVE key", "write the 40 characters of a Z85 key in quotes"};
    });
}

Reader logLevelReader(std::optional<LogComponent> component)
{
    return scalarReader([=](const std::string &text, DaemonSettings &settings) -> ValueProblem {
        const auto level = logLevelFromString(text);
        if (!level) {
            return {"'" + text + "' is not a log level", "choose debug, info, warning or error"};
        }
        if (component) {
            settings.logLevels[*component] = *level;
        } else {
            settings.logLevel = *level;
        }
        return {};
    });
}

std::vector<Field> durationFields()
{
    using S = DaemonSettings;
    constexpr Duration hour{3600000};
    return {
        {"timeouts.store", false, durationReader(&S::storeTimeout, Duration(50), Duration(10000))},
        {"timeouts.worker", false, durationReader(&S::workerTimeout, Duration(50), Duration(10000))},
        {"timeouts.leaseTerm", false, durationReader(&S::leaseTerm, Duration(1000), Duration(60000))},
        {"timeouts.leaseMargin", false, durationReader(&S::leaseMargin, Duration(100), Duration(10000))},
        {"timeouts.heartbeat", false, durationReader(&S::heartbeatInterval, Duration(50), Duration(5000))},
        {"timeouts.peer", false, durationReader(&S::peerTimeout, Duration(100), Duration(30000))},
        {"timeouts.keyBound", false, durationReader(&S::keyBound, Duration(1000), Duration(30000))},
        {"timeouts.admission", false, durationReader(&S::admissionTimeout, Duration(100), Duration(60000))},
        {"timeouts.syncInterval", false, durationReader(&S::syncInterval, Duration(20), Duration(5000))},
        {"timeouts.taskTerm", false, durationReader(&S::taskTerm, Duration(1000), Duration(600000))},
        {"timeouts.requestDeadline", false, durationReader(&S::requestDeadline, Duration(100), hour)},
        {"timeouts.clientIdle", false, durationReader(&S::clientIdle, Duration(1000), hour)},
        {"timeouts.drainWait", false, durationReader(&S::drainWait, Duration(0), hour)},
        {"timeouts.finishWait", false, durationReader(&S::finishWait, Duration(0), hour)},
    };
}

std::vector<Field> schema()
{
    using S = DaemonSettings;
    constexpr std::uint64_t kibibyte = 1024;
    constexpr std::uint64_t mebibyte = 1024 * kibibyte;
    constexpr std::uint64_t gibibyte = 1024 * mebibyte;
    std::vector<Field> fields{
        {"daemon", true, nameReader(&S::daemon)},
        {"failureDomain", true, nameReader(&S::domain)},
        {"http.address", true, addressReader(&S::httpAddress)},
        {"http.maxBody", false, sizeReader(&S::maxBody, kibibyte, 64 * mebibyte)},
        {"http.maxHeaders", false, sizeReader(&S::maxHeaders, kibibyte, mebibyte)},
        {"http.maxActive", false, countReader(&S::maxActiveRequests, 1, 1000000)},
        {"http.maxActivePerTeam", false, countReader(&S::maxActivePerTeam, 1, 1000000)},
        {"limits.memory", false, sizeReader(&S::memoryLimit, 16 * mebibyte, 1024 * gibibyte)},
        {"limits.descriptors", false, countReader(&S::descriptorLimit, 64, 10000000)},
        {"peers.address", true, addressReader(&S::peerAddress)},
        {"peers.seeds", true, readSeeds},
        {"peers.curve.publicKey", false, curveKeyReader(&CurveKeys::publicKey)},
        {"peers.curve.secretKey", false, curveKeyReader(&CurveKeys::secretKey)},
        {"platform.address", true, addressReader(&S::platformAddress)},
        {"platform.connections", false, countReader(&S::platformConnections, 2, 64)},
        {"workers.connections", false, countReader(&S::workerConnections, 1, 60)},
        {"operator.keyDigest", true, scalarReader(readDigest)},
        {"log.default", false, logLevelReader(std::nullopt)},
    };
    // The daemon doesn't log for Leader, Scheduler and Caller, which are components of the node.
    for (const LogComponent component : {LogComponent::Daemon,
                                         LogComponent::Settings,
                                         LogComponent::Http,
                                         LogComponent::Requests,
                                         LogComponent::Api,
                                         LogComponent::Peers,
                                         LogComponent::Platform,
                                         LogComponent::Workers,
                                         LogComponent::Shutdown}) {
        fields.push_back({std::string("log.") + toString(component), false, logLevelReader(component)});
    }
    std::vector<Field> durations = durationFields();
    std::move(durations.begin(), durations.end(), std::back_inserter(fields));
    return fields;
}

/// Parses a document according to the schema.
class SettingsParser
{
public:
    SettingsResult parse(const std::string &yaml);

private:
    void parseSection(const YAML::Node &node, const std::string &prefix);
    void parseEntry(const YAML::Node &key, const YAML::Node &value, const std::string &prefix);
    void reportUnknownKey(const YAML::Node &key, const std::string &path, const std::string &prefix);
    void checkMissing();
    void checkConsistency();
    void addProblem(int line, const std::string &message, const std::string &remedy);
    [[nodiscard]] int lineOf(const std::string &path) const;
    [[nodiscard]] bool isSection(const std::string &path) const;

    std::vector<Field> m_fields = schema();
    std::map<std::string, int> m_lines; ///< Line of every key that was read.
    DaemonSettings m_settings;
    std::vector<SettingsProblem> m_problems;
};

void SettingsParser::addProblem(int line, const std::string &message, const std::string &remedy)
{
    m_problems.push_back(SettingsProblem{line, message, remedy});
}

int SettingsParser::lineOf(const std::string &path) const
{
    const auto found = m_lines.find(path);
    return found == m_lines.end() ? 0 : found->second;
}

bool SettingsParser::isSection(const std::string &path) const
{
    const std::string start = path + ".";
    return std::any_of(m_fields.begin(), m_fields.end(), [&](const Field &field) { return field.path.compare(0, start.size(), start) == 0; });
}

void SettingsParser::parseSection(const YAML::Node &node, const std::string &prefix)
{
    if (!node.IsMap()) {
        addProblem(
            node.Mark().line + 1, prefix.empty() ? "the file is not a map of settings" : "'" + prefix + "' is not a section", "write 'key: value' lines");
        return;
    }
    for (const auto &pair : node) {
        parseEntry(pair.first, pair.second, prefix);
    }
}

void SettingsParser::parseEntry(const YAML::Node &key, const YAML::Node &value, const std::string &prefix)
{
    const int line = key.Mark().line + 1;
    if (!key.IsScalar()) {
        addProblem(line, "a key is not a name", "write 'key: value' lines");
        return;
    }
    const std::string path = prefix.empty() ? key.Scalar() : prefix + "." + key.Scalar();
    if (!m_lines.emplace(path, line).second) {
        addProblem(line, "'" + path + "' is set twice", "remove one of the lines");
        return;
    }
    if (isSection(path)) {
        parseSection(value, path);
        return;
    }
    const auto field = std::find_if(m_fields.begin(), m_fields.end(), [&](const Field &candidate) { return candidate.path == path; });
    if (field == m_fields.end()) {
        reportUnknownKey(key, path, prefix);
        return;
    }
    const ValueProblem valueProblem = field->read(value, m_settings);
    if (!valueProblem.message.empty()) {
        addProblem(line, "'" + path + "': " + valueProblem.message, valueProblem.remedy);
    }
}

void SettingsParser::reportUnknownKey(const YAML::Node &key, const std::string &path, const std::string &prefix)
{
    std::set<std::string> known;
    for (const Field &field : m_fields) {
        const std::size_t start = prefix.empty() ? 0 : prefix.size() + 1;
        if (prefix.empty() || field.path.compare(0, start, prefix + ".") == 0) {
            // The last key of a path has no dot after it: npos - start then selects the rest of the path.
            known.insert(field.path.substr(start, field.path.find('.', start) - start));
        }
    }
    std::string list;
    for (const std::string &candidate : known) {
        list += (list.empty() ? "" : ", ") + candidate;
    }
    addProblem(key.Mark().line + 1, "'" + path + "' is not a setting", "use one of: " + list);
}

void SettingsParser::checkMissing()
{
    for (const Field &field : m_fields) {
        if (field.required && m_lines.count(field.path) == 0) {
            addProblem(0, "'" + field.path + "' is missing", "add it");
        }
    }
    const bool publicKey = m_lines.count("peers.curve.publicKey") > 0;
    const bool secretKey = m_lines.count("peers.curve.secretKey") > 0;
    if (publicKey != secretKey) {
        addProblem(lineOf("peers.curve"), "'peers.curve' has only one of publicKey and secretKey", "set both or remove the section");
    }
}

void SettingsParser::checkConsistency()
{
    const DaemonSettings &s = m_settings;
    if (s.leaseMargin * 3 > s.leaseTerm) {
        addProblem(
            lineOf("timeouts.leaseMargin"), "the lease margin is above a third of the lease term", "lower timeouts.leaseMargin or raise timeouts.leaseTerm");
    }
    if (s.storeTimeout * 2 > s.leaseTerm - s.leaseMargin) {
        addProblem(lineOf("timeouts.store"),
                   "a lease would end before a lost renewal can be repeated",
                   "keep timeouts.store below half of leaseTerm minus leaseMargin");
    }
    // The core scans the lease rows every second; if a scan takes too long, the expiry of a lease is missed.
    if ((s.storeTimeout + leaseScanInterval) * 2 > s.leaseTerm) {
        addProblem(lineOf("timeouts.leaseTerm"),
                   "the lease rows would be read too rarely to notice an expired lease",
                   "set timeouts.leaseTerm to at least twice the sum of timeouts.store and 1s");
    }
    if (s.heartbeatInterval * 3 > s.peerTimeout) {
        addProblem(lineOf("timeouts.peer"),
                   "a peer would be considered down after two lost heartbeats",
                   "set timeouts.peer to at least three times timeouts.heartbeat");
    }
    if (s.keyBound < s.storeTimeout * 2) {
        addProblem(lineOf("timeouts.keyBound"), "the key list can't be confirmed within its bound", "set timeouts.keyBound to at least twice timeouts.store");
    }
    if (s.maxActivePerTeam > s.maxActiveRequests) {
        addProblem(
            lineOf("http.maxActivePerTeam"), "the limit for one team is above the limit for all teams", "lower http.maxActivePerTeam or raise http.maxActive");
    }
    if (!s.httpAddress.empty() && s.httpAddress == s.peerAddress) {
        addProblem(lineOf("peers.address"), "callers and peers have the same address", "choose another port for peers.address");
    }
}

SettingsResult SettingsParser::parse(const std::string &yaml)
{
    if (yaml.size() > maxFileBytes) {
        addProblem(0, "the file is larger than 1 MiB", "check that it is a settings file");
        return SettingsResult{std::nullopt, m_problems};
    }
    try {
        parseSection(YAML::Load(yaml), {});
    } catch (const YAML::ParserException &exception) {
        addProblem(exception.mark.line + 1, "not YAML: " + exception.msg, "correct the syntax at this line");
        return SettingsResult{std::nullopt, m_problems};
    } catch (const YAML::Exception &exception) {
        addProblem(exception.mark.line + 1, "unreadable: " + exception.msg, "correct this line");
        return SettingsResult{std::nullopt, m_problems};
    }
    checkMissing();
    checkConsistency();
    std::stable_sort(m_problems.begin(), m_problems.end(), [](const SettingsProblem &a, const SettingsProblem &b) { return a.line < b.line; });
    return SettingsResult{m_problems.empty() ? std::optional<DaemonSettings>(m_settings) : std::nullopt, m_problems};
}

} // namespace

std::string SettingsProblem::text(const std::string &file) const
{
    return file + (line > 0 ? ":" + std::to_string(line) : "") + ": " + message + "; " + remedy;
}

SettingsResult parseSettings(const std::string &yaml)
{
    return SettingsParser().parse(yaml);
}

SettingsResult readSettings(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return SettingsResult{std::nullopt, {SettingsProblem{0, "the file can't be read", "check its path and permissions"}}};
    }
    return parseSettings(text.str());
}

} // namespace KingCupLadder
