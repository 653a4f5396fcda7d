// Reads fields of a JSON object with their type checked. No function throws; the first fault is remembered.
#pragma once

#include "core/resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace KingCupLadder {

/// Null if the text is not JSON.
[[nodiscard]] std::optional<nlohmann::json> parseJson(const std::string &text);

/// The text of a value; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string dumpJson(const nlohmann::json &value);

/// Checked access to one object. A missing optional field gives the fallback, a mistyped one is a fault.
class JsonFields
{
public:
    /// @p fault receives the first fault; it is shared by the readers of one document.
    JsonFields(const nlohmann::json &value, std::string &parseError, std::string objectName);

    std::string text(const char *name);
    std::string textOr(const char *name, const std::string &fallback);
    /// From 0 to the largest std::int64_t.
    std::int64_t number(const char *name);
    std::int64_t numberOr(const char *name, std::int64_t fallback);
    bool flagOr(const char *name, bool fallback);
    /// {milliCores, memoryMiB, accelerators, slots}; missing components are zero.
    Resources resources(const char *name);
    /// Null if the field is missing or not an array; only the latter is a fault.
    const nlohmann::json *array(const char *name);
    [[nodiscard]] bool has(const char *name) const;
    void fail(const std::string &reason);

private:
    const nlohmann::json *find(const char *name, bool required);

    const nlohmann::json &m_value;
    std::string &m_parseError;
    std::string m_objectName; ///< Names the object in faults.
};

[[nodiscard]] nlohmann::json resourcesJson(const Resources &resources);

} // namespace KingCupLadder
