// Tests of the receiving side of ZMTP.
#include "daemon/zmtp.h"
#include "textmutation.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

namespace {

using namespace std::string_literals;
using Kind = ZmtpItem::Kind;

constexpr std::size_t maxMessageBytes = 1000;

/// What a DEALER socket of libzmq 4.3.4 sends before its first message.
std::string dealerOpening()
{
    const std::string greeting = "\xFF\0\0\0\0\0\0\0\x01\x7F\x03\x01NULL"s + std::string(48, '\0');
    return greeting + "\x04\x29\x05READY\x0BSocket-Type\0\0\0\x06"s + "DEALER\x08Identity\0\0\0\0"s;
}

std::string shortFrame(unsigned char flags, const std::string &body)
{
    return std::string{static_cast<char>(flags), static_cast<char>(body.size())} + body;
}

std::string longFrame(std::size_t length)
{
    std::string head = "\x02\0\0\0\0\0\0"s;
    head += static_cast<char>(length >> 8U);
    return head + static_cast<char>(length & 0xFFU);
}

} // namespace

TEST_GROUP(Zmtp)
{
    ZmtpReader reader{maxMessageBytes};

    /// Reads all items and returns what ended the reading. Appends the payloads of messages to @p messages.
    ZmtpItem readAll(std::string input, std::vector<std::string> & messages)
    {
        while (true) {
            const ZmtpItem item = reader.next(input);
            if (item.kind == Kind::Incomplete || item.kind == Kind::Malformed) {
                return item;
            }
            if (item.kind == Kind::Message) {
                messages.emplace_back(item.payload);
            }
            input.erase(0, item.length);
        }
    }

    ZmtpItem readAll(const std::string &input)
    {
        std::vector<std::string> messages;
        return readAll(input, messages);
    }

    void openReader()
    {
        CHECK_TRUE(readAll(dealerOpening()).kind == Kind::Incomplete);
    }
};

// Guards against messages that are lost or changed.
TEST(Zmtp, ReadsShortAndLongMessages)
{
    std::vector<std::string> messages;
    CHECK_TRUE(readAll(dealerOpening() + shortFrame(0, "one") + longFrame(300) + std::string(300, 'x'), messages).kind == Kind::Incomplete);
    LONGS_EQUAL(2, messages.size());
    STRCMP_EQUAL("one", messages.front().c_str());
    CHECK_TRUE(messages.back() == std::string(300, 'x'));
}

// Guards against input that is understood only if it arrives in certain pieces.
TEST(Zmtp, SaysHowMuchAnItemNeeds)
{
    const std::string input = dealerOpening() + longFrame(300) + std::string(300, 'x');
    std::size_t begin = 0;
    std::size_t items = 0;
    while (begin < input.size()) {
        std::size_t length = 0;
        ZmtpItem item = reader.next({});
        while (item.kind == Kind::Incomplete) {
            CHECK_TRUE(item.length > length);
            length = item.length;
            item = reader.next(std::string_view(input).substr(begin, length));
        }
        CHECK_TRUE(item.kind != Kind::Malformed && item.length == length);
        begin += length;
        ++items;
    }
    LONGS_EQUAL(3, items);
}

// Guards against memory for a message over the limit.
TEST(Zmtp, AMessageOverTheLimitIsMalformedBeforeItArrives)
{
    openReader();
    CHECK_TRUE(reader.next(longFrame(maxMessageBytes)).kind == Kind::Incomplete);
    CHECK_TRUE(reader.next(longFrame(maxMessageBytes + 1)).kind == Kind::Malformed);
    CHECK_TRUE(reader.next("\x02\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF").kind == Kind::Malformed);
}

// Guards against the largest allowed command being as long as a message, which would be kept before a handshake.
TEST(Zmtp, ALongCommandIsMalformed)
{
    CHECK_TRUE(readAll(dealerOpening().substr(0, 64) + "\x06\0\0\0\0\0\0\xFF\xFF"s).kind == Kind::Malformed);
}

// Guards against connections that a daemon takes for closed because pings are not answered.
TEST(Zmtp, APingIsAnsweredWithItsContext)
{
    openReader();
    const std::string ping = shortFrame(4, "\x04PING\0\0context"s);
    const ZmtpItem item = reader.next(ping);
    CHECK_TRUE(item.kind == Kind::Ping);
    CHECK_TRUE(zmtpPong(item.payload) == shortFrame(4, "\x04PONGcontext"));
}

// Guards against other protocols, encryption that is not set up, and messages before the handshake.
TEST(Zmtp, OtherOpeningsAreMalformed)
{
    const std::string curve = "\xFF\0\0\0\0\0\0\0\x01\x7F\x03\x01"s + "CURVE" + std::string(47, '\0');
    const std::string oldVersion = "\xFF\0\0\0\0\0\0\0\x01\x7F\x01"s;
    for (const std::string &input :
         {"GET / HTTP/1.1\r\n"s, curve, oldVersion, dealerOpening().substr(0, 64) + shortFrame(0, "message"), "\xFF"s + std::string(9, 'x')}) {
        reader = ZmtpReader(maxMessageBytes);
        CHECK_TRUE(readAll(input).kind == Kind::Malformed);
    }
}

// Guards against a reader that reads beyond the input or never ends.
TEST(Zmtp, MutatedInputIsReadOrMalformed)
{
    std::mt19937_64 random(40);
    const std::string input = dealerOpening() + shortFrame(0, "one") + shortFrame(4, "\x04PING\0\0context"s) + longFrame(300) + std::string(300, 'x');
    std::size_t malformed = 0;
    for (int i = 0; i < 20000; ++i) {
        reader = ZmtpReader(maxMessageBytes);
        const ZmtpItem last = readAll(mutated(input, random));
        malformed += last.kind == Kind::Malformed ? 1 : 0;
        CHECK_TRUE(last.kind == Kind::Malformed || last.length <= maxMessageBytes + 9);
    }
    CHECK_TRUE(malformed > 1000);
}
