// Field-by-field reading of YAML mappings.
#include "tablereader.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::size_t maxQuotedBytes = 60;
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxNodes = 200000; ///< Per document, with aliases expanded.
constexpr int maxDepth = 16; ///< Valid tables need 5.

/// Counts the nodes of a tree with aliases expanded. Returns false once a limit is exceeded.
bool withinLimits(const YAML::Node &node, int depth, std::size_t &nodes)
{
    if (++nodes > maxNodes || depth > maxDepth) {
        return false;
    }
    if (!node.IsMap() && !node.IsSequence()) {
        return true;
    }
    for (auto child = node.begin(); child != node.end(); ++child) {
        const bool within = node.IsMap() ? withinLimits(child->first, depth + 1, nodes) && withinLimits(child->second, depth + 1, nodes)
                                         : withinLimits(*child, depth + 1, nodes);
        if (!within) {
            return false;
        }
    }
    return true;
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

} // namespace

TableProblemCollector::TableProblemCollector(std::string document, std::vector<TableProblem> &problems) : m_document(std::move(document)), m_problems(problems)
{
}

void TableProblemCollector::add(int line, const std::string &message, const std::string &remedy)
{
    m_problems.push_back(TableProblem{m_document, line, message, remedy});
}

std::size_t TableProblemCollector::count() const
{
    return m_problems.size();
}

int lineOf(const YAML::Node &node)
{
    return std::max(node.Mark().line + 1, 0);
}

std::string quoted(const std::string &text)
{
    std::size_t length = std::min(text.size(), maxQuotedBytes);
    while (length > 0 && length < text.size() && (static_cast<unsigned char>(text[length]) & 0xc0U) == 0x80U) {
        --length; // Do not cut a UTF-8 sequence.
    }
    std::string shown = text.substr(0, length);
    std::replace_if(
        shown.begin(), shown.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
    return "\"" + shown + (text.size() > length ? "...\"" : "\"");
}

bool isTableName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::optional<YAML::Node> loadDocument(const std::string &text, TableProblemCollector &problems)
{
    if (text.size() > Tables::maxDocumentBytes) {
        problems.add(0, "the document is larger than 1 MiB", "remove entries that are not needed");
        return std::nullopt;
    }
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(text);
        if (documents.size() != 1) {
            problems.add(0, "the text has " + std::to_string(documents.size()) + " YAML documents", "write exactly one document");
            return std::nullopt;
        }
        std::size_t nodes = 0;
        if (!withinLimits(documents[0], 0, nodes)) {
            problems.add(0, "the document is too large or too deep after its aliases are expanded", "write the entries out without aliases");
            return std::nullopt;
        }
        return documents[0];
    } catch (const YAML::Exception &e) {
        // yaml-cpp reports nesting beyond its own limit as BAD_FILE.
        const std::string reason = e.msg == YAML::ErrorMsg::BAD_FILE ? "it is nested too deeply" : e.msg;
        problems.add(std::max(e.mark.line + 1, 0), "the document is not valid YAML: " + reason, "correct the syntax at this line");
    }
    return std::nullopt;
}

FieldReader::FieldReader(const YAML::Node &node, std::string description, TableProblemCollector &problems)
    : m_description(std::move(description)), m_problems(problems), m_line(lineOf(node)), m_isMapping(node.IsMap())
{
    if (!m_isMapping) {
        m_problems.add(m_line, m_description + " is not a mapping", "write its fields as \"name: value\"");
        return;
    }
    readFields(node);
}

void FieldReader::readFields(const YAML::Node &node)
{
    for (const auto &pair : node) {
        const int line = lineOf(pair.first);
        if (!pair.first.IsScalar()) {
            m_problems.add(line, m_description + " has a key that is not a name", "write fields as \"name: value\"");
        } else if (!m_fields.emplace(pair.first.Scalar(), Field{pair.second, line}).second) {
            m_problems.add(line, m_description + " has the key " + quoted(pair.first.Scalar()) + " twice", "remove one of them");
        }
    }
}

void FieldReader::setDescription(std::string description)
{
    m_description = std::move(description);
}

bool FieldReader::isMapping() const
{
    return m_isMapping;
}

int FieldReader::line() const
{
    return m_line;
}

int FieldReader::lineOfField(const std::string &field) const
{
    const auto found = m_fields.find(field);
    return found == m_fields.end() ? m_line : found->second.line;
}

bool FieldReader::has(const std::string &field) const
{
    return m_fields.count(field) > 0;
}

std::optional<YAML::Node> FieldReader::node(const std::string &field)
{
    m_knownFields[field] = true;
    const auto found = m_fields.find(field);
    if (found == m_fields.end()) {
        return std::nullopt;
    }
    return found->second.node;
}

std::optional<YAML::Node> FieldReader::list(const std::string &field, bool required)
{
    auto value = node(field);
    if (!value) {
        if (required && m_isMapping) {
            addProblem(field, m_description + " has no " + field, "add \"" + field + ":\" with a list");
        }
        return std::nullopt;
    }
    if (!value->IsSequence()) {
        addProblem(field, field + " of " + m_description + " is not a list", "write a list, or [] for none");
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> FieldReader::text(const std::string &field)
{
    const auto value = node(field);
    if (!value) {
        return std::nullopt;
    }
    if (!value->IsScalar()) {
        addProblem(field, field + " of " + m_description + " is not a plain value", "write one value after \"" + field + ":\" or remove the field");
        return std::nullopt;
    }
    return value->Scalar();
}

std::string FieldReader::name(const std::string &field, bool required)
{
    const auto value = text(field);
    if (!value) {
        if (required && m_isMapping && !has(field)) {
            addProblem(field, m_description + " has no " + field, "add \"" + field + ":\" with a name");
        }
        return {};
    }
    if (!isTableName(*value)) {
        addProblem(field, field + " " + quoted(*value) + " of " + m_description + " is not a name", "use 1 to 64 letters, digits, '.', '_' and '-'");
        return {};
    }
    return *value;
}

bool FieldReader::flag(const std::string &field)
{
    return choice<bool>(field, {{"true", true}, {"false", false}}).value_or(false);
}

std::int64_t FieldReader::amount(const std::string &field, const QuantityFormat &format, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    const auto value = text(field);
    if (!value) {
        return fallback;
    }
    std::string parseError;
    const auto amount = format.parse(*value, maximum, parseError);
    if (amount && *amount >= minimum) {
        return *amount;
    }
    if (amount) {
        parseError = *amount == 0 ? "is zero" : "is too small";
    }
    addProblem(field, field + " " + quoted(*value) + " of " + m_description + " " + parseError, std::string("write ") + format.example());
    return fallback;
}

void FieldReader::addProblem(const std::string &field, const std::string &message, const std::string &remedy)
{
    m_problems.add(lineOfField(field), message, remedy);
}

void FieldReader::finish()
{
    std::string known;
    for (const auto &[field, read] : m_knownFields) {
        known += (known.empty() ? "" : ", ") + field;
    }
    for (const auto &[name, field] : m_fields) {
        if (m_knownFields.count(name) == 0) {
            m_problems.add(field.line, m_description + " has an unknown key " + quoted(name), "use one of " + known);
        }
    }
}

} // namespace KingCupLadder
