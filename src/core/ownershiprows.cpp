// Conversion of lease rows and shard rows to and from JSON.
#include "ownershiprows.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace KingCupLadder {

namespace {

std::string serialize(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Reads an unsigned integer field; throws if the value is negative or fractional.
std::uint64_t readCounter(const nlohmann::json &json, const char *field)
{
    const nlohmann::json &value = json.at(field);
    if (!value.is_number_unsigned()) {
        // All callers catch json::exception and ignore the id 501.
        throw nlohmann::json::other_error::create(501, std::string(field) + " is not an unsigned integer", &value);
    }
    return value.get<std::uint64_t>();
}

} // namespace

std::string LeaseRow::toJson() const
{
    return serialize({{"owner", owner.id.value()},
                      {"incarnation", owner.incarnation.value()},
                      {"domain", owner.domain.value()},
                      {"peerAddress", owner.peerAddress},
                      {"httpAddress", owner.httpAddress},
                      {"expired", expired},
                      {"nonce", nonce}});
}

std::optional<LeaseRow> LeaseRow::fromJson(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        LeaseRow row;
        row.owner.id = DaemonId(json.at("owner").get<std::string>());
        row.owner.incarnation = Incarnation(readCounter(json, "incarnation"));
        row.owner.domain = FailureDomain(json.at("domain").get<std::string>());
        row.owner.peerAddress = json.at("peerAddress").get<std::string>();
        row.owner.httpAddress = json.at("httpAddress").get<std::string>();
        row.expired = json.at("expired").get<bool>();
        row.nonce = json.at("nonce").get<std::string>();
        return row;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string ShardRow::toJson() const
{
    return serialize({{"owner", owner.value()}, {"incarnation", incarnation.value()}, {"epoch", epoch.value()}, {"nonce", nonce}});
}

std::optional<ShardRow> ShardRow::fromJson(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        ShardRow row;
        row.owner = DaemonId(json.at("owner").get<std::string>());
        row.incarnation = Incarnation(readCounter(json, "incarnation"));
        row.epoch = Epoch(readCounter(json, "epoch"));
        row.nonce = json.at("nonce").get<std::string>();
        return row;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

NonceSource::NonceSource(std::uint64_t seed, const DaemonId &self)
{
    std::ostringstream prefix;
    prefix << self << ':' << std::hex << deriveSeed(seed, self.value().c_str()) << ':';
    m_prefix = prefix.str();
}

std::string NonceSource::next()
{
    return m_prefix + std::to_string(++m_count);
}

bool NonceSource::isOwn(const std::string &nonce) const
{
    return nonce.rfind(m_prefix, 0) == 0;
}

} // namespace KingCupLadder
