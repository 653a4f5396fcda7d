// Formats rows as aligned columns and values as JSON or, with yaml-cpp, as YAML.
#include "render.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace KingCupLadder::Ctl {

namespace {

std::string formatted(const char *format, double value)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), format, value);
    return text.data();
}

std::string numberText(double value)
{
    return formatted("%.6g", value);
}

std::string resourcesText(const Json &value)
{
    std::string text = numberText(value.value("milliCores", 0.0) / 1000.0) + " cores " + numberText(value.value("memoryMiB", 0.0)) + " MiB";
    for (const char *name : {"accelerators", "slots"}) {
        if (value.value(name, 0.0) != 0.0) {
            text += " " + numberText(value.value(name, 0.0)) + " " + name;
        }
    }
    return text;
}

std::string listText(const Json &value)
{
    std::string text;
    for (const auto &[name, item] : value.items()) {
        text += (text.empty() ? "" : ", ") + (value.is_object() ? name + "=" : "") + cellText(item);
    }
    return text;
}

std::vector<std::string> columnsOf(const Json &rows, const std::vector<std::string> &first)
{
    std::vector<std::string> present;
    for (const Json &row : rows) {
        for (const auto &[name, value] : row.items()) {
            if (std::find(present.begin(), present.end(), name) == present.end()) {
                present.push_back(name);
            }
        }
    }
    const auto rank = [&](const std::string &name) { return std::find(first.begin(), first.end(), name) - first.begin(); };
    std::stable_sort(present.begin(), present.end(), [&](const std::string &a, const std::string &b) { return rank(a) < rank(b); });
    return present;
}

void emitYaml(YAML::Emitter &emitter, const Json &value)
{
    if (value.is_object()) {
        emitter << YAML::BeginMap;
        for (const auto &[name, item] : value.items()) {
            emitter << YAML::Key << name << YAML::Value;
            emitYaml(emitter, item);
        }
        emitter << YAML::EndMap;
    } else if (value.is_array()) {
        emitter << YAML::BeginSeq;
        for (const Json &item : value) {
            emitYaml(emitter, item);
        }
        emitter << YAML::EndSeq;
    } else if (value.is_string()) {
        // Quotes keep strings such as "1" or "no" from being read back as another type.
        emitter << YAML::DoubleQuoted << value.get<std::string>();
    } else {
        emitter << (value.is_null() ? "~" : value.dump());
    }
}

} // namespace

std::string cellText(const Json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return value.get<std::string>().empty() ? "-" : value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_number_float()) {
        return numberText(value.get<double>());
    }
    if (value.is_object() && value.contains("milliCores")) {
        return resourcesText(value);
    }
    return value.is_structured() ? listText(value) : value.dump();
}

void printTable(std::ostream &out, const Json &rows, const std::vector<std::string> &columns)
{
    if (rows.empty()) {
        out << "none\n";
        return;
    }
    const std::vector<std::string> names = columnsOf(rows, columns);
    std::vector<std::vector<std::string>> lines{names};
    for (const Json &row : rows) {
        lines.emplace_back();
        for (const std::string &name : names) {
            lines.back().push_back(row.contains(name) ? cellText(row.at(name)) : "-");
        }
    }
    std::vector<std::size_t> widths(names.size());
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            const bool last = i + 1 == line.size();
            out << line[i] << (last ? "\n" : std::string(widths[i] - line[i].size() + 2, ' '));
        }
    }
}

void printStructured(std::ostream &out, const Json &value, OutputFormat format)
{
    if (format == OutputFormat::JsonText) {
        out << value.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
        return;
    }
    YAML::Emitter emitter;
    emitYaml(emitter, value);
    out << emitter.c_str() << "\n";
}

std::string durationText(double milliseconds)
{
    constexpr double second = 1000.0;
    constexpr double minute = 60 * second;
    constexpr double hour = 60 * minute;
    constexpr double day = 24 * hour;
    if (milliseconds < second) {
        return formatted("%.0f ms", milliseconds);
    }
    if (milliseconds < 2 * minute) {
        return formatted("%.1f s", milliseconds / second);
    }
    if (milliseconds < 2 * hour) {
        return formatted("%.0f min", milliseconds / minute);
    }
    return milliseconds < 2 * day ? formatted("%.1f h", milliseconds / hour) : formatted("%.1f d", milliseconds / day);
}

} // namespace KingCupLadder::Ctl
