// Stand-in for a worker. It serves POST /v1/sync, GET /v1/log, POST /fault and, for any method, the application at /app/...; the
// delay and status of an application response are set by ?ms=200&status=500 or the headers X-Test-Ms and X-Test-Status.
// Options: --listen ip:port, --id, --domain, --rack, --cpu (millicores), --memory (MiB), --accelerators, --slots,
// --connections, --no-epochs (accepts sync requests with outdated epochs), --time-scale, --usage-lag-ms, --checkpoint-ms; see
// WorkerSettings.
#include "server.h"
#include "tasktable.h"

#include <cstdio>
#include <cstdlib>

using namespace KingCupLadder::StandIn;

namespace {

/// Returns the 64-bit FNV-1a hash as 16 hexadecimal digits.
std::string checksum(const std::string &text)
{
    std::uint64_t hash = 14695981039346656037U;
    for (unsigned char c : text) {
        hash = (hash ^ c) * 1099511628211U;
    }
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(hash));
    return digits.data();
}

/// Returns the value of @p name, or an empty string if there is none.
std::string valueOf(const std::map<std::string, std::string> &values, const std::string &name)
{
    const auto found = values.find(name);
    return found == values.end() ? "" : found->second;
}

int testParameter(const Request &request, const std::string &query, const std::string &header, int fallback)
{
    const std::string value = valueOf(request.query, query).empty() ? valueOf(request.headers, header) : valueOf(request.query, query);
    return value.empty() ? fallback : static_cast<int>(std::strtol(value.c_str(), nullptr, 10));
}

class Worker
{
public:
    Worker(const WorkerSettings &settings, std::string domain, std::string rack) : m_tasks(settings), m_domain(std::move(domain)), m_rack(std::move(rack)) { }

    Response handle(const Request &request, const Server &server)
    {
        const bool failAll = server.faultMode() == FaultMode::FailAll;
        if (request.path == "/v1/sync") {
            return jsonResponse(m_tasks.sync(nlohmann::json::parse(request.body), request.arrivedMs, nowMs(), failAll));
        }
        if (request.path == "/v1/log") {
            nlohmann::json log = m_tasks.log(nowMs());
            log["domain"] = m_domain;
            log["rack"] = m_rack;
            return jsonResponse(log);
        }
        if (request.path == "/app" || request.path.rfind("/app/", 0) == 0) {
            return serveApplication(request, failAll, server.connections());
        }
        return errorResponse(404, "not found", "no such path", "see section 5 of docs/design.md");
    }

private:
    Response serveApplication(const Request &request, bool failAll, std::size_t connections)
    {
        const std::string id = valueOf(request.headers, "x-request-id");
        const int status = failAll ? 500 : testParameter(request, "status", "x-test-status", 200);
        if (connections > static_cast<std::size_t>(m_tasks.settings().maxConnections)) {
            m_tasks.recordViolation("too many connections", std::to_string(connections), nowMs());
        }
        const auto number = m_tasks.beginRequest({{"requestId", id},
                                                  {"method", request.method},
                                                  {"path", request.path},
                                                  {"epoch", valueOf(request.headers, "x-ladder-epoch")},
                                                  {"checksum", checksum(request.body)},
                                                  {"status", status}},
                                                 nowMs());
        if (!number) {
            return errorResponse(503, "no room", "no slot is free", "send the request to another worker");
        }
        Response response = jsonResponse(
            {{"requestId", id}, {"worker", m_tasks.settings().id}, {"path", request.path}, {"checksum", checksum(request.body)}, {"body", request.body}},
            status);
        response.delayMs = testParameter(request, "ms", "x-test-ms", 0);
        response.onCompleted = [this, number] { m_tasks.endRequest(*number, nowMs()); };
        return response;
    }

    TaskTable m_tasks;
    std::string m_domain;
    std::string m_rack;
};

WorkerSettings settingsFrom(const CommandLineOptions &options)
{
    WorkerSettings settings;
    settings.id = options.text("--id", settings.id);
    settings.supportsEpochs = !options.has("--no-epochs");
    settings.timeScale = std::max(0.001, std::strtod(options.text("--time-scale", "1").c_str(), nullptr));
    settings.capacity = {options.number("--cpu", settings.capacity[0]),
                         options.number("--memory", settings.capacity[1]),
                         options.number("--accelerators", settings.capacity[2]),
                         options.number("--slots", settings.capacity[3])};
    settings.maxConnections = options.number("--connections", settings.maxConnections);
    settings.usageLagMs = options.number("--usage-lag-ms", settings.usageLagMs);
    settings.checkpointMs = options.number("--checkpoint-ms", settings.checkpointMs);
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLineOptions options(argc, argv);
    Worker worker(settingsFrom(options), options.text("--domain", "d1"), options.text("--rack", "r1"));
    event_base *base = event_base_new();
    std::vector<std::unique_ptr<Server>> servers;
    const auto handler = [&](const Request &request) { return worker.handle(request, *servers.front()); };
    const int code = runServers(base, {options.text("--listen", "127.0.0.1:0")}, handler, servers);
    servers.clear();
    event_base_free(base);
    return code;
}
