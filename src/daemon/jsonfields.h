// Type-checked access to the fields of a JSON object. No function throws; the first error is recorded.
#pragma once

#include "core/resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace KingCupLadder {

constexpr int maxJsonDepth = 64; ///< Far more than any message has.

/// Returns nullopt if the text is not JSON or is nested deeper than maxJsonDepth. Each level of a deep document takes far more memory than the one or
/// two characters that open it.
[[nodiscard]] std::optional<nlohmann::json> parseJson(const std::string &text);

/// Serializes a value; bytes that are not valid UTF-8 are replaced.
[[nodiscard]] std::string dumpJson(const nlohmann::json &value);

/// Reads the fields of one object. A missing optional field yields the fallback; a field of the wrong type is an error.
class JsonFields
{
public:
    /// @p parseError receives the first error; all JsonFields objects of one document share it.
    JsonFields(const nlohmann::json &value, std::string &parseError, std::string objectName);

    std::string text(const char *name);
    std::string textOr(const char *name, const std::string &fallback);
    /// Accepts values from 0 to the largest std::int64_t.
    std::int64_t number(const char *name);
    std::int64_t numberOr(const char *name, std::int64_t fallback);
    bool booleanOr(const char *name, bool fallback);
    /// Reads an object {milliCores, memoryMiB, accelerators, slots}; missing fields are zero.
    Resources resources(const char *name);
    /// Returns null if the field is missing or not an array; only the latter is an error.
    const nlohmann::json *array(const char *name);
    [[nodiscard]] bool has(const char *name) const;
    /// Records an error, unless there is one already.
    void fail(const std::string &reason);

private:
    const nlohmann::json *find(const char *name, bool required);

    const nlohmann::json &m_value;
    std::string &m_parseError;
    std::string m_objectName; ///< Used in error messages.
};

[[nodiscard]] nlohmann::json resourcesJson(const Resources &resources);

} // namespace KingCupLadder
