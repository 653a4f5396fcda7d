// Tests of PeerListener over the loopback interface, with libzmq as the sender.
#include "daemon/peerlistener.h"
#include "looptest.h"

#include <zmq.hpp>

using namespace KingCupLadder;

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;

} // namespace

TEST_GROUP(PeerListener)
{
    std::unique_ptr<EventLoop> loop = makeLoop();
    std::string address = freeAddress();
    std::vector<std::string> received;
    std::unique_ptr<PeerListener> listener = makeListener(ConnectionBudget{4, mebibyte, 16UL * 1024});
    zmq::context_t context{1};

    std::unique_ptr<PeerListener> makeListener(const ConnectionBudget &budget)
    {
        PeerListenerSettings settings;
        settings.address = address;
        settings.maxMessageBytes = mebibyte;
        settings.maxSilence = Duration(60000);
        settings.budget = budget;
        auto created = PeerListener::create(*loop, settings, [this](std::string_view message) {
            received.emplace_back(message);
            return message != "malformed";
        });
        CHECK_TRUE(created.hasValue());
        return std::move(created).value();
    }

    zmq::socket_t connectPeer()
    {
        zmq::socket_t peer(context, zmq::socket_type::dealer);
        peer.set(zmq::sockopt::linger, 0);
        peer.set(zmq::sockopt::heartbeat_ivl, 50);
        peer.set(zmq::sockopt::heartbeat_timeout, 300);
        peer.set(zmq::sockopt::reconnect_ivl, 20);
        peer.connect("tcp://" + address);
        return peer;
    }

    static void send(zmq::socket_t & peer, const std::string &message)
    {
        (void)peer.send(zmq::buffer(message), zmq::send_flags::dontwait);
    }

    void teardown() override
    {
        listener.reset();
        loop.reset();
    }
};

// Guards against messages of libzmq that are lost, changed or reordered.
TEST(PeerListener, ReceivesMessagesOfAllSizesInOrder)
{
    auto peer = connectPeer();
    std::vector<std::string> sent;
    for (const std::size_t size : {std::size_t(0), std::size_t(1), std::size_t(255), std::size_t(256), std::size_t(70000), mebibyte}) {
        sent.emplace_back(size, static_cast<char>('a' + sent.size()));
        send(peer, sent.back());
    }
    CHECK_TRUE(runUntil(*loop, [&] { return received.size() == sent.size(); }));
    CHECK_TRUE(received == sent);
}

// Guards against pings without an answer, after which libzmq replaces the connection.
TEST(PeerListener, AnIdlePeerKeepsItsConnection)
{
    auto peer = connectPeer();
    send(peer, "first");
    CHECK_TRUE(runUntil(*loop, [&] { return received.size() == 1; }));
    CHECK_FALSE(runUntil(
        *loop, [&] { return listener->connections().count() != 1; }, Duration(1000)));
    send(peer, "second");
    CHECK_TRUE(runUntil(*loop, [&] { return received.size() == 2; }));
    CHECK_TRUE(listener->connections().closed().empty());
}

// Guards against a peer that sends what no daemon understands and is read again and again.
TEST(PeerListener, AMalformedMessageClosesItsConnectionOnly)
{
    auto good = connectPeer();
    auto bad = connectPeer();
    send(good, "good");
    send(bad, "malformed");
    CHECK_TRUE(runUntil(*loop, [&] { return received.size() == 2; }));
    send(good, "again");
    CHECK_TRUE(runUntil(*loop, [&] { return received.size() == 3; }));
}

// Guards against connections of others that keep a peer from connecting.
TEST(PeerListener, APeerReplacesConnectionsThatSendNothing)
{
    std::vector<int> silent;
    const auto parsed = parseSocketAddress(address);
    for (int i = 0; i < 20; ++i) {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(parsed->port);
        inet_pton(AF_INET, parsed->host.c_str(), &target.sin_addr);
        silent.push_back(socket(AF_INET, SOCK_STREAM, 0));
        CHECK_EQUAL(0, connect(silent.back(), reinterpret_cast<const sockaddr *>(&target), sizeof(target)));
        (void)runUntil(
            *loop, [] { return false; }, Duration(5));
    }
    LONGS_EQUAL(4, listener->connections().count());
    auto peer = connectPeer();
    send(peer, "message");
    CHECK_TRUE(runUntil(*loop, [&] { return received.size() == 1; }));
    for (const int descriptor : silent) {
        close(descriptor);
    }
}

// Guards against connections that stay counted after their peer has ended.
TEST(PeerListener, ConnectionsThatEndAreReleased)
{
    {
        auto peer = connectPeer();
        send(peer, "message");
        CHECK_TRUE(runUntil(*loop, [&] { return received.size() == 1; }));
    }
    CHECK_TRUE(runUntil(*loop, [&] { return listener->connections().count() == 0; }));
}

// Guards against a daemon that starts although another process has its port.
TEST(PeerListener, AnAddressInUseIsAnError)
{
    PeerListenerSettings settings;
    settings.address = address;
    CHECK_FALSE(PeerListener::create(*loop, settings, [](std::string_view) { return true; }).hasValue());
}
