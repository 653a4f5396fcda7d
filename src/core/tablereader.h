// Reads YAML mappings field by field and collects all problems with their line numbers.
#pragma once

#include "quantity.h"
#include "tables.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder {

/// Collects the problems of one document in the order found.
class TableProblemCollector
{
public:
    TableProblemCollector(std::string document, std::vector<TableProblem> &problems);

    void add(int line, const std::string &message, const std::string &remedy);
    [[nodiscard]] std::size_t count() const;

private:
    std::string m_document;
    std::vector<TableProblem> &m_problems;
};

/// Returns the line of a node, counted from 1.
[[nodiscard]] int lineOf(const YAML::Node &node);
/// Quotes a text for a message: shortens it and replaces control characters.
[[nodiscard]] std::string quoted(const std::string &text);
/// Parses a text that must contain exactly one YAML document. Adds a problem and returns an empty optional if it does not, or if the
/// document exceeds the limits of size, nesting or alias expansion.
[[nodiscard]] std::optional<YAML::Node> loadDocument(const std::string &text, TableProblemCollector &problems);

/// Reads the fields of one mapping. finish() reports fields that were never read as unknown.
class FieldReader
{
public:
    /// @p description names the mapping in messages, such as "route".
    FieldReader(const YAML::Node &node, std::string description, TableProblemCollector &problems);

    /// Replaces the description of the mapping, once its name is known.
    void setDescription(std::string description);
    [[nodiscard]] bool isMapping() const;
    [[nodiscard]] int line() const;
    /// Returns the line of a field, or the line of the mapping if the field is absent.
    [[nodiscard]] int lineOfField(const std::string &field) const;
    [[nodiscard]] bool has(const std::string &field) const;
    /// Returns the node of a field, or an empty optional if the field is absent.
    [[nodiscard]] std::optional<YAML::Node> node(const std::string &field);
    /// Returns the sequence of a field, or an empty optional if it is absent or not a list. Adds a problem if it is required and absent,
    /// or not a list.
    [[nodiscard]] std::optional<YAML::Node> list(const std::string &field, bool required);
    /// Returns the text of a field, or an empty optional if it is absent or not a scalar. Adds a problem if it is not a scalar.
    [[nodiscard]] std::optional<std::string> text(const std::string &field);
    /// Returns a name of letters, digits, '.', '_' and '-', or an empty string if it is absent or malformed.
    [[nodiscard]] std::string name(const std::string &field, bool required);
    [[nodiscard]] bool flag(const std::string &field);
    /// Returns an amount in base units of the format, or @p fallback if the field is absent or invalid.
    [[nodiscard]] std::int64_t
    amount(const std::string &field, const QuantityFormat &format, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);
    /// Returns the value that belongs to the word in the field, or an empty optional if it is absent or not one of the words.
    template<typename T>
    [[nodiscard]] std::optional<T> choice(const std::string &field, const std::vector<std::pair<const char *, T>> &words);
    /// Adds a problem with the line of the field.
    void addProblem(const std::string &field, const std::string &message, const std::string &remedy);
    /// Adds a problem for each unknown field.
    void finish();

private:
    void readFields(const YAML::Node &node);

    struct Field {
        YAML::Node node;
        int line = 0;
    };
    std::string m_description;
    TableProblemCollector &m_problems;
    int m_line = 0;
    bool m_isMapping = false;
    std::map<std::string, Field> m_fields;
    std::map<std::string, bool> m_knownFields; ///< The fields that were asked for so far. finish() reports all other fields as unknown.
};

/// Returns whether the text is a valid name: 1 to 64 letters, digits, '.', '_' and '-'.
[[nodiscard]] bool isTableName(const std::string &text);

template<typename T>
std::optional<T> FieldReader::choice(const std::string &field, const std::vector<std::pair<const char *, T>> &words)
{
    const auto value = text(field);
    if (!value) {
        return std::nullopt;
    }
    std::string expectedWords;
    for (const auto &[word, meaning] : words) {
        if (*value == word) {
            return meaning;
        }
        expectedWords += (expectedWords.empty() ? "" : ", ") + std::string(word);
    }
    addProblem(field, field + " " + quoted(*value) + " is unknown", "write one of " + expectedWords);
    return std::nullopt;
}

} // namespace KingCupLadder
