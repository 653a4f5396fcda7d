#include "standins/server.h"

#include <CppUTest/TestHarness.h>
#include <event2/buffer.h>
#include <event2/event.h>

using namespace KingCupLadder::StandIn;

namespace {

constexpr int clientTimeoutSeconds = 1;

/// HTTP client with one keep-alive connection to the server under test.
class Client
{
public:
    Client(event_base *base, int port) : m_base(base), m_connection(evhttp_connection_base_new(base, nullptr, "127.0.0.1", static_cast<std::uint16_t>(port)))
    {
        evhttp_connection_set_timeout(m_connection, clientTimeoutSeconds);
        evhttp_connection_set_retries(m_connection, 0);
    }
    ~Client()
    {
        evhttp_connection_free(m_connection);
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends a POST request. Returns the status, or 0 if there is no response.
    int send(const char *path, const std::string &body = {})
    {
        m_status = 0;
        evhttp_request *request = evhttp_request_new(
            [](evhttp_request *response, void *self) {
                auto *client = static_cast<Client *>(self);
                client->m_status = response == nullptr ? 0 : evhttp_request_get_response_code(response);
                event_base_loopbreak(client->m_base);
            },
            this);
        evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "127.0.0.1");
        evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
        evhttp_make_request(m_connection, request, EVHTTP_REQ_POST, path);
        event_base_dispatch(m_base);
        return m_status;
    }

private:
    event_base *m_base;
    evhttp_connection *m_connection;
    int m_status = 0;
};

} // namespace

TEST_GROUP(StandInServer)
{
    event_base *base = nullptr;
    std::unique_ptr<Server> server;
    int handled = 0;
    void setup() override
    {
        base = event_base_new();
        server = Server::create(base, "127.0.0.1:0", [this](const Request &) {
            ++handled;
            return jsonResponse({{"ok", true}});
        });
    }
    void teardown() override
    {
        server.reset();
        event_base_free(base);
    }
    void setFaultMode(const char *mode)
    {
        Client client(base, server->port());
        CHECK_EQUAL(200, client.send("/fault", std::string("{\"mode\":\"") + mode + "\"}"));
    }
};

// Guards against a DropResponses mode that drops the request as well. Tests of lost responses would then only see requests that had
// no effect.
TEST(StandInServer, ExecutesARequestWhoseResponseIsDropped)
{
    setFaultMode("loseanswers");
    Client client(base, server->port());
    CHECK_EQUAL(0, client.send("/x"));
    CHECK_EQUAL(1, handled);
}

// Guards against an Unresponsive mode that also affects new connections. Tests could then not show that a daemon reconnects after the
// connections of its pool stop responding.
TEST(StandInServer, MakesOnlyOpenConnectionsUnresponsive)
{
    Client before(base, server->port());
    CHECK_EQUAL(200, before.send("/x"));
    setFaultMode("silent");
    Client after(base, server->port());
    CHECK_EQUAL(200, after.send("/x"));
    CHECK_EQUAL(0, before.send("/x"));
}

// Guards against a Frozen mode that drops the queued requests. Tests would then not see the late effects of commands that a paused
// process executes after it continues.
TEST(StandInServer, ExecutesQueuedRequestsWhenFrozenModeEnds)
{
    setFaultMode("frozen");
    Client client(base, server->port());
    CHECK_EQUAL(0, client.send("/x"));
    CHECK_EQUAL(0, handled);
    setFaultMode("none");
    CHECK_EQUAL(1, handled);
}
