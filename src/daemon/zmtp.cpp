// Parses the greeting, commands and messages of ZMTP.
#include "zmtp.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

constexpr std::size_t greetingLength = 64;
constexpr std::size_t signatureLength = 10;
constexpr std::size_t mechanismOffset = 12;
constexpr std::size_t mechanismLength = 20;
constexpr unsigned char minMajorVersion = 3;

// Flags of a frame.
constexpr unsigned moreFlag = 0x01;
constexpr unsigned longFlag = 0x02;
constexpr unsigned commandFlag = 0x04;

constexpr std::size_t shortHeader = 2; // Flags and a length of one byte.
constexpr std::size_t longHeader = 9; // Flags and a length of eight bytes.
constexpr std::size_t maxCommandBytes = 1024; // Commands of a handshake without metadata of applications are far shorter.
constexpr std::size_t pingTtlBytes = 2;
constexpr std::size_t maxPingContext = 16;

unsigned byteAt(std::string_view text, std::size_t index)
{
    return static_cast<unsigned char>(text[index]);
}

std::string command(const std::string &name, const std::string &data)
{
    const std::string body = static_cast<char>(name.size()) + name + data;
    return std::string{static_cast<char>(commandFlag), static_cast<char>(body.size())} + body;
}

std::string property(const std::string &name, const std::string &value)
{
    const std::string valueLength{0, 0, 0, static_cast<char>(value.size())};
    return static_cast<char>(name.size()) + name + valueLength + value;
}

ZmtpItem incomplete(std::size_t needed)
{
    return ZmtpItem{ZmtpItem::Kind::Incomplete, needed, {}};
}

ZmtpItem malformed()
{
    return ZmtpItem{ZmtpItem::Kind::Malformed, 0, {}};
}

std::string paddedMechanism()
{
    std::string mechanism = "NULL";
    mechanism.resize(mechanismLength, '\0');
    return mechanism;
}

} // namespace

ZmtpItem ZmtpReader::next(std::string_view input)
{
    if (!m_hasGreeting) {
        return readGreeting(input);
    }
    if (input.empty()) {
        return incomplete(shortHeader);
    }
    const unsigned flags = byteAt(input, 0);
    const bool isLong = (flags & longFlag) != 0;
    const bool isCommand = (flags & commandFlag) != 0;
    const std::size_t header = isLong ? longHeader : shortHeader;
    if (flags > (moreFlag | longFlag | commandFlag) || (!isCommand && !m_isReady)) {
        return malformed();
    }
    if (input.size() < header) {
        return incomplete(header);
    }
    std::size_t size = 0;
    for (std::size_t i = 1; i < header; ++i) {
        size = (size << 8U) | byteAt(input, i);
    }
    if (size > (isCommand ? maxCommandBytes : m_maxMessageBytes)) {
        return malformed();
    }
    if (input.size() < header + size) {
        return incomplete(header + size);
    }
    const std::string_view body = input.substr(header, size);
    if (isCommand) {
        return readCommand(body, header + size);
    }
    // Daemons send messages of one frame.
    return (flags & moreFlag) != 0 ? malformed() : ZmtpItem{ZmtpItem::Kind::Message, header + size, body};
}

ZmtpItem ZmtpReader::readGreeting(std::string_view input)
{
    const bool isSignatureRight = (input.empty() || byteAt(input, 0) == 0xFF) && (input.size() < signatureLength || byteAt(input, signatureLength - 1) == 0x7F);
    const bool isVersionRight = input.size() <= signatureLength || byteAt(input, signatureLength) >= minMajorVersion;
    if (!isSignatureRight || !isVersionRight) {
        return malformed();
    }
    if (input.size() < greetingLength) {
        return incomplete(greetingLength);
    }
    if (input.substr(mechanismOffset, mechanismLength) != paddedMechanism()) {
        return malformed();
    }
    m_hasGreeting = true;
    return ZmtpItem{ZmtpItem::Kind::Handshake, greetingLength, {}};
}

ZmtpItem ZmtpReader::readCommand(std::string_view body, std::size_t length)
{
    const std::size_t nameLength = body.empty() ? 0 : byteAt(body, 0);
    if (nameLength == 0 || body.size() < 1 + nameLength) {
        return malformed();
    }
    const std::string_view name = body.substr(1, nameLength);
    const std::string_view data = body.substr(1 + nameLength);
    if (name == "PING" && m_isReady && data.size() >= pingTtlBytes) {
        const std::string_view context = data.substr(pingTtlBytes);
        return ZmtpItem{ZmtpItem::Kind::Ping, length, context.substr(0, std::min(context.size(), maxPingContext))};
    }
    if (name == "ERROR" || (!m_isReady && name != "READY")) {
        return malformed();
    }
    m_isReady = true;
    return ZmtpItem{ZmtpItem::Kind::Handshake, length, {}};
}

std::string zmtpOpening()
{
    std::string signature(signatureLength, '\0');
    signature.front() = static_cast<char>(0xFF);
    signature.back() = static_cast<char>(0x7F);
    std::string greeting = signature + static_cast<char>(minMajorVersion) + '\0' + paddedMechanism();
    greeting.resize(greetingLength, '\0');
    return greeting + command("READY", property("Socket-Type", "ROUTER") + property("Identity", ""));
}

std::string zmtpPong(std::string_view context)
{
    return command("PONG", std::string(context));
}

} // namespace KingCupLadder
