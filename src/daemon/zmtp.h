// The receiving side of ZMTP 3.0, the protocol of ZeroMQ, with the mechanism NULL (RFC 23). No I/O: finds the items at the start of what was
// received. A frame is found before its end has arrived, so that the caller can bound what it waits for.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace KingCupLadder {

struct ZmtpItem {
    enum class Kind {
        Incomplete, ///< More bytes are needed.
        Handshake, ///< Nothing to do.
        Message,
        Ping, ///< To be answered with zmtpPong().
        Malformed, ///< Nothing that follows can be read.
    };
    Kind kind = Kind::Incomplete;
    /// Length of the item. Of an incomplete one: the smallest length that the input needs for the next call, at most a header more than the
    /// limit of a message.
    std::size_t length = 0;
    std::string_view payload; ///< Of a message, or the context of a ping. Points into the input.
};

class ZmtpReader
{
public:
    explicit ZmtpReader(std::size_t maxMessageBytes) : m_maxMessageBytes(maxMessageBytes) { }

    /// Reads the item at the start of @p input. The caller removes its bytes before the next call.
    [[nodiscard]] ZmtpItem next(std::string_view input);

private:
    [[nodiscard]] ZmtpItem readGreeting(std::string_view input);
    [[nodiscard]] ZmtpItem readCommand(std::string_view body, std::size_t length);

    std::size_t m_maxMessageBytes;
    bool m_hasGreeting = false;
    bool m_isReady = false; ///< Whether the sender's handshake is complete. Messages are malformed before that.
};

/// What the receiving side sends first: its greeting and its part of the handshake.
[[nodiscard]] std::string zmtpOpening();
[[nodiscard]] std::string zmtpPong(std::string_view context);

} // namespace KingCupLadder
