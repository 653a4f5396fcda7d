// Type-checked access to JSON objects.
#include "jsonfields.h"

#include <limits>

namespace KingCupLadder {

namespace {

/// Whether arrays and objects are nested deeper than maxJsonDepth. The text need not be valid JSON.
bool isNestedTooDeep(const std::string &text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            i += c == '\\' ? 1 : 0; // Skips the escaped character.
            isInString = c != '"';
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxJsonDepth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

} // namespace

std::optional<nlohmann::json> parseJson(const std::string &text)
{
    if (isNestedTooDeep(text)) {
        return std::nullopt;
    }
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string dumpJson(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

JsonFields::JsonFields(const nlohmann::json &value, std::string &parseError, std::string objectName)
    : m_value(value), m_parseError(parseError), m_objectName(std::move(objectName))
{
    if (!m_value.is_object()) {
        fail("must be an object");
    }
}

void JsonFields::fail(const std::string &reason)
{
    if (m_parseError.empty()) {
        m_parseError = m_objectName + ": " + reason;
    }
}

const nlohmann::json *JsonFields::find(const char *name, bool required)
{
    if (m_value.is_object()) {
        const auto found = m_value.find(name);
        if (found != m_value.end()) {
            return &*found;
        }
    }
    if (required) {
        fail(std::string("field '") + name + "' is missing");
    }
    return nullptr;
}

bool JsonFields::has(const char *name) const
{
    return m_value.is_object() && m_value.contains(name);
}

std::string JsonFields::text(const char *name)
{
    const nlohmann::json *value = find(name, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        fail(std::string("field '") + name + "' must be a string");
        return {};
    }
    return value->get<std::string>();
}

std::string JsonFields::textOr(const char *name, const std::string &fallback)
{
    return has(name) ? text(name) : fallback;
}

std::int64_t JsonFields::number(const char *name)
{
    const nlohmann::json *value = find(name, true);
    if (value == nullptr) {
        return 0;
    }
    const bool fits = value->is_number_integer()
        && (!value->is_number_unsigned() || value->get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    if (!fits || value->get<std::int64_t>() < 0) {
        fail(std::string("field '") + name + "' must be a non-negative integer");
        return 0;
    }
    return value->get<std::int64_t>();
}

std::int64_t JsonFields::numberOr(const char *name, std::int64_t fallback)
{
    return has(name) ? number(name) : fallback;
}

bool JsonFields::booleanOr(const char *name, bool fallback)
{
    const nlohmann::json *value = find(name, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fail(std::string("field '") + name + "' must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

Resources JsonFields::resources(const char *name)
{
    const nlohmann::json *value = find(name, false);
    if (value == nullptr) {
        return {};
    }
    JsonFields fields(*value, m_parseError, m_objectName + "." + name);
    return Resources{MilliCores(fields.numberOr("milliCores", 0)),
                     MebiBytes(fields.numberOr("memoryMiB", 0)),
                     Accelerators(fields.numberOr("accelerators", 0)),
                     Slots(fields.numberOr("slots", 0))};
}

const nlohmann::json *JsonFields::array(const char *name)
{
    const nlohmann::json *value = find(name, false);
    if (value != nullptr && !value->is_array()) {
        fail(std::string("field '") + name + "' must be an array");
        return nullptr;
    }
    return value;
}

nlohmann::json resourcesJson(const Resources &resources)
{
    return {{"milliCores", resources.cpu.value()},
            {"memoryMiB", resources.memory.value()},
            {"accelerators", resources.accelerators.value()},
            {"slots", resources.slots.value()}};
}

} // namespace KingCupLadder
