// Reads mappings of a YAML table field by field and collects every problem with its line.
#pragma once

#include "quantity.h"
#include "tables.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace KingCupLadder {

/// The problems of one document, in the order found.
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

/// The line of a node, from 1.
[[nodiscard]] int lineOf(const YAML::Node &node);
/// The text in quotes for a message: shortened, without control characters.
[[nodiscard]] std::string quoted(const std::string &text);
/// The only document of the text, if it is within the limits of size, nesting and alias expansion; otherwise a problem is added.
[[nodiscard]] std::optional<YAML::Node> loadDocument(const std::string &text, TableProblemCollector &problems);

/// The fields of one mapping. Each field is asked for once; finish() reports those that were never asked for.
class FieldReader
{
public:
    /// @p what names the mapping in messages, such as "route".
    FieldReader(const YAML::Node &node, std::string what, TableProblemCollector &problems);

    /// Names the mapping more closely once its name is known.
    void setDescription(std::string what);
    [[nodiscard]] bool isMapping() const;
    [[nodiscard]] int line() const;
    /// The line of a field, or of the mapping if the field is absent.
    [[nodiscard]] int lineOfField(const std::string &field) const;
    [[nodiscard]] bool has(const std::string &field) const;
    /// The node of a field; empty if the field is absent.
    [[nodiscard]] std::optional<YAML::Node> node(const std::string &field);
    /// The sequence of a field; empty if it is absent, with a problem if it is required or not a list.
    [[nodiscard]] std::optional<YAML::Node> list(const std::string &field, bool required);
    /// The text of a field; empty if it is absent, with a problem if it is not a plain value.
    [[nodiscard]] std::optional<std::string> text(const std::string &field);
    /// A name of letters, digits, '.', '_' and '-'; empty text if it is absent or malformed.
    [[nodiscard]] std::string name(const std::string &field, bool required);
    [[nodiscard]] bool flag(const std::string &field);
    /// An amount in base units of the format; @p fallback if the field is absent or wrong.
    [[nodiscard]] std::int64_t
    amount(const std::string &field, const QuantityFormat &format, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);
    /// One of several words.
    template<typename T>
    [[nodiscard]] std::optional<T> choice(const std::string &field, const std::vector<std::pair<const char *, T>> &words);
    void problem(const std::string &field, const std::string &message, const std::string &remedy);
    /// Reports fields that are unknown.
    void finish();

private:
    void readFields(const YAML::Node &node);

    struct Field {
        YAML::Node node;
        int line = 0;
    };
    std::string m_what;
    TableProblemCollector &m_problems;
    int m_line = 0;
    bool m_isMapping = false;
    std::map<std::string, Field> m_fields;
    std::map<std::string, bool> m_asked; ///< Every field that the mapping may have.
};

/// Whether the text may be a name: 1 to 64 letters, digits, '.', '_' and '-'.
[[nodiscard]] bool isTableName(const std::string &text);

template<typename T>
std::optional<T> FieldReader::choice(const std::string &field, const std::vector<std::pair<const char *, T>> &words)
{
    const auto value = text(field);
    if (!value) {
        return std::nullopt;
    }
    std::string all;
    for (const auto &[word, meaning] : words) {
        if (*value == word) {
            return meaning;
        }
        all += (all.empty() ? "" : ", ") + std::string(word);
    }
    problem(field, field + " " + quoted(*value) + " is unknown", "write one of " + all);
    return std::nullopt;
}

} // namespace KingCupLadder
