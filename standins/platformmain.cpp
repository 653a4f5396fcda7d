// Stand-in for the platform. It serves POST /v1/tx, GET /v1/rows, GET and PUT /v1/vms, GET and PUT /v1/objects/<name> and
// GET /v1/stats.
// Options: --listen ip:port (repeatable; with one address per failure domain, each with its own fault mode, a domain can be
// partitioned from the platform), --vm-lag-ms N (delay before an updated VM list becomes visible).
#include "server.h"
#include "tableservice.h"

#include <cstdlib>

using namespace KingCupLadder::StandIn;

namespace {

constexpr std::size_t defaultPageRows = 1000;

class Platform
{
public:
    explicit Platform(std::int64_t lagMs) : m_vms(lagMs) { }

    Response handle(const Request &request)
    {
        if (request.path == "/v1/tx" && request.method == "POST") {
            return transact(request);
        }
        if (request.path == "/v1/rows") {
            ++m_reads;
            return jsonResponse(m_tables.rows(query(request, "table"), query(request, "prefix"), query(request, "after"), limit(request)));
        }
        if (request.path == "/v1/vms") {
            return handleVms(request);
        }
        if (request.path.rfind("/v1/objects/", 0) == 0) {
            return handleObject(request);
        }
        if (request.path == "/v1/stats") {
            return jsonResponse({{"transactions", m_transactions}, {"rowsWritten", m_rowsWritten}, {"conflicts", m_conflicts}, {"reads", m_reads}});
        }
        return errorResponse(404, "not found", "no such path", "see section 5 of docs/design.md");
    }

private:
    static std::string query(const Request &request, const std::string &name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

    static std::size_t limit(const Request &request)
    {
        const std::string text = query(request, "limit");
        return text.empty() ? defaultPageRows : std::strtoul(text.c_str(), nullptr, 10);
    }

    Response transact(const Request &request)
    {
        const nlohmann::json response = m_tables.transact(nlohmann::json::parse(request.body));
        const bool ok = response.at("ok");
        ++m_transactions;
        m_conflicts += ok ? 0 : 1;
        m_rowsWritten += ok ? response.at("rows").size() : 0;
        return jsonResponse(response, ok ? 200 : 409);
    }

    Response handleVms(const Request &request)
    {
        if (request.method == "PUT") {
            m_vms.put(nlohmann::json::parse(request.body), nowMs());
            return jsonResponse({{"ok", true}});
        }
        ++m_reads;
        return jsonResponse(m_vms.visible(nowMs()));
    }

    Response handleObject(const Request &request)
    {
        if (request.method == "PUT") {
            m_objects[request.path] = request.body;
            return jsonResponse({{"ok", true}});
        }
        const auto found = m_objects.find(request.path);
        return found == m_objects.end() ? errorResponse(404, "not found", "no such object", "store it with PUT first") : Response{200, found->second, 0, {}};
    }

    TableService m_tables;
    VmList m_vms;
    std::map<std::string, std::string> m_objects; ///< Keyed by request path.
    std::uint64_t m_transactions = 0;
    std::uint64_t m_rowsWritten = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_reads = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const CommandLineOptions options(argc, argv);
    Platform platform(options.number("--vm-lag-ms", 0));
    std::vector<std::string> addresses = options.all("--listen");
    if (addresses.empty()) {
        addresses.emplace_back("127.0.0.1:0");
    }
    event_base *base = event_base_new();
    std::vector<std::unique_ptr<Server>> servers;
    const int code = runServers(
        base, addresses, [&](const Request &request) { return platform.handle(request); }, servers);
    servers.clear();
    event_base_free(base);
    return code;
}
