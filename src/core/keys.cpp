// Digests, constant-time lookup and JSON format of the key list.
#include "keys.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace KingCupLadder {

namespace {

constexpr std::size_t digestBytes = 32;
constexpr std::size_t digestLength = 2 * digestBytes;
constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxListBytes = std::size_t{32} * 1024 * 1024; ///< Maximum size of the stored list; about 150,000 keys.

bool isDigest(const std::string &text)
{
    return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isName(const std::string &text)
{
    const bool printable = std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
    return !text.empty() && text.size() <= maxNameLength && printable;
}

Error malformed(const std::string &what)
{
    return Error{ErrorKind::InvalidInput, "the key list is malformed: " + what, "restore row config/keys from a daemon that has a good copy"};
}

TeamKey keyFromJson(const nlohmann::json &json)
{
    TeamKey key;
    key.id = KeyId(json.at("id").get<std::string>());
    key.team = TeamId(json.at("team").get<std::string>());
    key.digest = json.at("digest").get<std::string>();
    key.withdrawn = json.at("withdrawn").get<bool>();
    return key;
}

} // namespace

std::string keyDigest(const std::string &secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int length = 0;
    if (EVP_Digest(secret.data(), secret.size(), bytes.data(), &length, EVP_sha256(), nullptr) != 1 || length != digestBytes) {
        return {}; // Matches no key, so that requests are refused if the crypto library fails.
    }
    constexpr const char *hex = "0123456789abcdef";
    std::string text;
    for (std::size_t i = 0; i < digestBytes; ++i) {
        text += hex[bytes[i] >> 4U];
        text += hex[bytes[i] & 0xfU];
    }
    return text;
}

Result<KeyList> KeyList::fromJson(const std::string &text)
{
    if (text.size() > maxListBytes) {
        return malformed("it is larger than 32 MiB");
    }
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        const nlohmann::json &entries = json.at("keys");
        if (!entries.is_array()) {
            return malformed("\"keys\" is not a list");
        }
        KeyList list;
        for (const nlohmann::json &entry : entries) {
            const Result<bool> added = list.append(keyFromJson(entry));
            if (!added) {
                return malformed(added.reason().message);
            }
        }
        return list;
    } catch (const nlohmann::json::exception &e) {
        return malformed(e.what());
    }
}

std::string KeyList::toJson() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const TeamKey &key : m_keys) {
        entries.push_back({{"id", key.id.value()}, {"team", key.team.value()}, {"digest", key.digest}, {"withdrawn", key.withdrawn}});
    }
    return nlohmann::json{{"keys", entries}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<TeamKey> KeyList::find(const std::string &digest) const
{
    if (!isDigest(digest)) {
        return std::nullopt;
    }
    // Compares every key in constant time, so that the time reveals neither which key matches nor how many digits match.
    const TeamKey *found = nullptr;
    for (const TeamKey &key : m_keys) {
        if (CRYPTO_memcmp(key.digest.data(), digest.data(), digestLength) == 0) {
            found = &key;
        }
    }
    if (found == nullptr || found->withdrawn) {
        return std::nullopt;
    }
    return *found;
}

const std::vector<TeamKey> &KeyList::keys() const
{
    return m_keys;
}

Result<bool> KeyList::add(const TeamKey &key)
{
    return append(key);
}

Result<bool> KeyList::append(TeamKey key)
{
    if (!isName(key.id.value()) || !isName(key.team.value())) {
        return Error{ErrorKind::InvalidInput, "the id or team of a key is not a valid name", "use 1 to 128 printable characters without spaces"};
    }
    if (!isDigest(key.digest)) {
        return Error{ErrorKind::InvalidInput, "the digest of key " + key.id.value() + " is malformed", "write the SHA-256 as 64 lower-case hexadecimal digits"};
    }
    if (m_positions.count(key.id) > 0) {
        return Error{ErrorKind::Conflict, "key " + key.id.value() + " already exists", "choose another id"};
    }
    if (!m_digests.insert(key.digest).second) {
        return Error{ErrorKind::Conflict, "the secret of key " + key.id.value() + " is already used by another key", "generate a new secret"};
    }
    key.withdrawn = key.withdrawn || m_unknownWithdrawn.count(key.id) > 0;
    m_positions.emplace(key.id, m_keys.size());
    m_keys.push_back(std::move(key));
    return true;
}

Result<bool> KeyList::withdraw(const KeyId &id)
{
    const auto position = m_positions.find(id);
    if (position == m_positions.end()) {
        return Error{ErrorKind::NotFound, "there is no key " + id.value(), "list the keys and use an id of the list"};
    }
    m_keys[position->second].withdrawn = true;
    return true;
}

void KeyList::mergeWithdrawn(const std::vector<KeyId> &ids)
{
    for (const KeyId &id : ids) {
        const auto position = m_positions.find(id);
        if (position != m_positions.end()) {
            m_keys[position->second].withdrawn = true;
        } else if (m_unknownWithdrawn.size() < maxUnknownWithdrawn) {
            m_unknownWithdrawn.insert(id);
        }
    }
}

std::vector<KeyId> KeyList::withdrawn() const
{
    std::vector<KeyId> ids;
    for (const TeamKey &key : m_keys) {
        if (key.withdrawn) {
            ids.push_back(key.id);
        }
    }
    for (const KeyId &id : m_unknownWithdrawn) {
        if (m_positions.count(id) == 0) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace KingCupLadder
