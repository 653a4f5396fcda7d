// Creates the components and connects them through callbacks.
#include "daemon.h"

#include "apihandlers.h"
#include "corerunner.h"
#include "forwarder.h"
#include "httpfrontend.h"
#include "metrics.h"
#include "peersocket.h"
#include "platformclient.h"
#include "requestfilters.h"
#include "shutdown.h"
#include "slo.h"
#include "workerclient.h"

#include <sys/random.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>

namespace KingCupLadder {

namespace {

constexpr Duration shutdownTickInterval{20};
constexpr std::size_t requestIdBytes = 12;

std::optional<std::string> randomHex(std::size_t count)
{
    static const char digits[] = "0123456789abcdef";
    std::string bytes(count, '\0');
    if (getrandom(bytes.data(), bytes.size(), 0) != static_cast<ssize_t>(count)) {
        return std::nullopt;
    }
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    if (getrandom(&number, sizeof(number), 0) != static_cast<ssize_t>(sizeof(number))) {
        number = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    }
    return number;
}

DaemonCoreSettings coreSettings(const DaemonSettings &settings)
{
    DaemonCoreSettings core;
    core.self.id = settings.daemon;
    // The incarnation must grow with every start of the daemon. A VM without a disk can't store a counter, so the wall clock
    // provides the value; if the clock was set back, Ownership raises the incarnation above the stored one.
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    core.self.incarnation = Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()));
    core.self.domain = settings.domain;
    core.self.peerAddress = settings.peerAddress;
    core.self.httpAddress = settings.httpAddress;
    core.seed = randomNumber();
    core.peerAddresses = settings.seeds;
    core.leaseTerm = settings.leaseTerm;
    core.leaseMargin = settings.leaseMargin;
    core.heartbeatInterval = settings.heartbeatInterval;
    core.peerTimeout = settings.peerTimeout;
    core.storeTimeout = settings.storeTimeout;
    core.workerTimeout = settings.workerTimeout;
    core.syncInterval = settings.syncInterval;
    core.taskTerm = settings.taskTerm;
    core.keyBound = settings.keyBound;
    core.admissionTimeout = settings.admissionTimeout;
    return core;
}

ProcessResources resourcesOf(const DaemonSettings &settings)
{
    ProcessResources resources;
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    if (settings.memoryLimit > 0) {
        resources.memoryBytes = settings.memoryLimit;
    } else if (pages > 0 && pageBytes > 0) {
        resources.memoryBytes = static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(pageBytes);
    }
    rlimit descriptors{};
    if (settings.descriptorLimit > 0) {
        resources.descriptors = settings.descriptorLimit;
    } else if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
        resources.descriptors = descriptors.rlim_cur;
    }
    return resources;
}

std::shared_ptr<CallerConnections> makeCallerConnections(const DaemonSettings &settings)
{
    CallerLimits limits;
    limits.maxHeaderBytes = settings.maxHeaders;
    limits.maxBodyBytes = settings.maxBody;
    limits.headerTimeout = Duration(0); // A slow caller is closed only if connections run out.
    limits.idleTimeout = settings.clientIdle;
    return std::make_shared<CallerConnections>(ConnectionBudget::forCallers(resourcesOf(settings)), limits);
}

ConnectionPoolSettings applicationPoolSettings(const DaemonSettings &settings)
{
    ConnectionPoolSettings pool;
    pool.maxConnections = settings.workerConnections;
    return pool;
}

} // namespace

class Daemon::Private
{
public:
    explicit Private(const DaemonSettings &value) : settings(value), callerConnections(makeCallerConnections(value)) { }

    std::optional<Error> open();

    DaemonSettings settings;
    std::shared_ptr<CallerConnections> callerConnections;
    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<CoreRunner> runner;
    std::unique_ptr<PlatformClient> platform;
    std::unique_ptr<WorkerClient> workers;
    std::unique_ptr<PeerSocket> peers;
    std::unique_ptr<Forwarder> forwarder;
    Metrics metrics;
    SloTracker slo;
    std::unique_ptr<Shutdown> shutdown;
    std::unique_ptr<ApiHandlers> api;
    std::unique_ptr<RequestChain> requests;
    std::unique_ptr<HttpFrontend> frontend;
    std::vector<std::unique_ptr<EventWatch>> watches;

private:
    std::optional<Error> openCore();
    std::optional<Error> openSockets();
    void makeClients();
    void makeHandlers();
    void makeShutdown();
    void startCore();
    void handle(const HttpCallPtr &call);
    void onReport(const RequestReport &report);
    [[nodiscard]] RequestServices requestServices();
    void addClaimServices(RequestServices &services);
    [[nodiscard]] ApiServices apiServices();
    [[nodiscard]] bool mayUse(const TeamId &team, const PoolName &pool) const;
    [[nodiscard]] ControlPlaneUsage controlPlaneUsage() const;
};

std::optional<Error> Daemon::Private::open()
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler): a write to a closed socket must return an error instead of ending the process.
    if (auto error = openCore()) {
        return error;
    }
    makeClients();
    makeShutdown();
    makeHandlers();
    if (auto error = openSockets()) {
        return error;
    }
    startCore();
    return std::nullopt;
}

std::optional<Error> Daemon::Private::openCore()
{
    auto created = EventLoop::create();
    if (!created) {
        return created.reason();
    }
    loop = std::move(created).value();
    auto core = DaemonCore::create(coreSettings(settings), loop->now());
    if (!core) {
        return core.reason();
    }
    runner = std::make_unique<CoreRunner>(*loop, std::move(core).value());
    return std::nullopt;
}

void Daemon::Private::makeClients()
{
    PlatformClientSettings platformSettings;
    platformSettings.address = settings.platformAddress;
    platformSettings.timeout = settings.storeTimeout;
    platformSettings.maxConnections = settings.platformConnections;
    platform = std::make_unique<PlatformClient>(
        *loop,
        platformSettings,
        [this](const StoreReply &reply) { runner->onStoreReply(reply); },
        [this](const VmListReply &reply) { runner->onVmList(reply); });
    workers = std::make_unique<WorkerClient>(*loop, settings.workerTimeout, [this](const WorkerReply &reply) { runner->onWorkerReply(reply); });
    forwarder = std::make_unique<Forwarder>(*loop, applicationPoolSettings(settings));
}

std::optional<Error> Daemon::Private::openSockets()
{
    const PeerSocketSettings peerSettings{settings.daemon, settings.peerAddress, settings.curve, ConnectionBudget::forPeers(resourcesOf(settings))};
    auto socket = PeerSocket::create(*loop, peerSettings, [this](const DaemonId &from, const PeerMessage &message) { runner->onPeerMessage(from, message); });
    if (!socket) {
        return socket.reason();
    }
    peers = std::move(socket).value();
    HttpFrontendSettings http;
    http.address = settings.httpAddress;
    http.maxBody = settings.maxBody;
    http.maxHeaders = settings.maxHeaders;
    // The rest of the connections is for callers whose requests can be answered at once, and for health checks.
    const std::size_t maxConnections = callerConnections->budget().maxConnections;
    http.maxActive = std::min<std::size_t>(settings.maxActiveRequests, std::max<std::size_t>(maxConnections - maxConnections / 8, 1));
    http.clientIdle = settings.clientIdle;
    http.connections = callerConnections;
    auto server = HttpFrontend::create(*loop, http, [this](const HttpCallPtr &call) { handle(call); });
    if (!server) {
        return server.reason();
    }
    frontend = std::move(server).value();
    return std::nullopt;
}

void Daemon::Private::startCore()
{
    CoreExecutors executors;
    executors.transact = [this](const StoreTransaction &command) { platform->transact(command); };
    executors.scan = [this](const StoreScan &command) { platform->scan(command); };
    executors.read = [this](const StoreRead &command) { platform->read(command); };
    executors.readVms = [this](const VmListRead &command) { platform->readVms(command); };
    executors.sync = [this](const SyncWorker &command) { workers->sync(command); };
    executors.sendPeer = [this](const SendPeerMessage &command) { peers->send(command); };
    runner->start(std::move(executors));
}

void Daemon::Private::handle(const HttpCallPtr &call)
{
    const std::string &path = call->request().path;
    // Health checks and metrics are served until the exit.
    const bool isMonitoringPath = path == "/healthz" || path == "/readyz" || path == "/metrics";
    if (shutdown->refusesNewWork() && !isMonitoringPath) {
        HttpResponse response = errorResponse({ErrorKind::Stopping, "this daemon is shutting down", "send the request to another daemon"});
        response.headers.emplace_back("Connection", "close");
        call->respond(response);
        return;
    }
    if (!api->handle(call)) {
        requests->handle(call);
    }
}

void Daemon::Private::onReport(const RequestReport &report)
{
    metrics.onRequest(report);
    if (!report.objective || report.team.isEmpty()) {
        return;
    }
    constexpr int firstServerErrorStatus = 500;
    const bool meetsObjective =
        report.error == ErrorKind::None && report.status < firstServerErrorStatus && report.waitTime && *report.waitTime <= report.objective->targetWait;
    slo.countRequest(report.route, report.team, *report.objective, meetsObjective, loop->now());
}

bool Daemon::Private::mayUse(const TeamId &team, const PoolName &pool) const
{
    const auto tables = runner->core().tables();
    return tables && tables->mayUse(team, pool);
}

RequestServices Daemon::Private::requestServices()
{
    RequestServices services;
    services.now = [this] { return loop->now(); };
    services.routeForPath = [this](const std::string &path) {
        const auto tables = runner->core().tables();
        const Route *route = tables ? tables->routeForPath(path) : nullptr;
        return route != nullptr ? std::optional<Route>(*route) : std::nullopt;
    };
    services.identify = [this](const std::string &secret) { return runner->core().identify(secret, loop->now()); };
    services.mayUse = [this](const TeamId &team, const PoolName &pool) { return mayUse(team, pool); };
    services.acquireGrant = [this](const GrantSpec &spec, RequestServices::AnswerHandler handler) {
        return runner->call([spec](DaemonCore &core, TimePoint now) { return core.acquireGrant(spec, now); }, std::move(handler));
    };
    services.cancelGrantRequest = [this](OpId op) { runner->cancelGrantRequest(op); };
    services.releaseGrant = [this](const Grant &grant, GrantOutcome grantOutcome) { runner->releaseGrant(grant, grantOutcome); };
    services.forward = [this](const ForwardRequest &request, ForwardCallback callback) { return forwarder->forward(request, std::move(callback)); };
    services.digest = keyDigest;
    services.newRequestId = [] { return randomHex(requestIdBytes).value_or(std::to_string(randomNumber())); };
    services.report = [this](const RequestReport &report) { onReport(report); };
    addClaimServices(services);
    return services;
}

void Daemon::Private::addClaimServices(RequestServices &services)
{
    services.claim = [this](const TeamId &team, const std::string &key, const std::string &fingerprint, RequestServices::AnswerHandler handler) {
        runner->call([=](DaemonCore &core, TimePoint now) { return core.claim(team, key, fingerprint, now); }, std::move(handler));
    };
    services.finishClaim = [this](const TeamId &team, const std::string &key, const std::string &outcome) {
        runner->call([=](DaemonCore &core, TimePoint now) { return core.finishClaim(team, key, outcome, now); },
                     [](const CallerAnswer &answer) {
                         if (answer.error.kind != ErrorKind::None) {
                             logRateLimited(LogComponent::Requests,
                                            LogLevel::Warning,
                                            "finishClaim",
                                            "the outcome of a request with an idempotency key was not confirmed as stored: " + answer.error.text());
                         }
                     });
    };
}

ApiServices Daemon::Private::apiServices()
{
    ApiServices services;
    services.digest = keyDigest;
    services.randomHex = randomHex;
    services.route = [this](const RouteName &name) {
        const auto tables = runner->core().tables();
        const Route *route = tables ? tables->route(name) : nullptr;
        return route != nullptr ? std::optional<Route>(*route) : std::nullopt;
    };
    services.team = [this](const TeamId &id) {
        const auto tables = runner->core().tables();
        const Team *team = tables ? tables->team(id) : nullptr;
        return team != nullptr ? std::optional<Team>(*team) : std::nullopt;
    };
    services.mayUse = [this](const TeamId &team, const PoolName &pool) { return mayUse(team, pool); };
    services.checkTables = [](const std::string &routes, const std::string &pools) { return Tables::parse(routes, pools).problems; };
    services.ready = [this] { return shutdown->isReady(); };
    services.metricsText = [this] { return metrics.text(runner->core().metrics(loop->now()), controlPlaneUsage()); };
    services.sloJson = [this] { return slo.toJson(settings.daemon, loop->now()); };
    services.reportJobSubmission = [this](const RouteName &route, const TeamId &team, ErrorKind error, Duration total) {
        metrics.countJobSubmission(route, team, error, total);
    };
    return services;
}

void Daemon::Private::makeHandlers()
{
    api = std::make_unique<ApiHandlers>(*runner, ApiSettings{settings.daemon, settings.operatorKeyDigest}, apiServices());
    RequestSettings requestSettings;
    // Half for one team leaves the other half to the others.
    const std::size_t halfOfConnections = std::max<std::size_t>(callerConnections->budget().maxConnections / 2, 1);
    requestSettings.maxActivePerTeam = std::min<std::size_t>(settings.maxActivePerTeam, halfOfConnections);
    requestSettings.defaultDeadline = settings.requestDeadline;
    requests = std::make_unique<RequestChain>(requestServices(), requestSettings);
}

void Daemon::Private::makeShutdown()
{
    ShutdownSettings shutdownSettings;
    shutdownSettings.drainWait = settings.drainWait;
    shutdownSettings.finishWait = settings.finishWait;
    ShutdownHooks hooks;
    hooks.activeRequests = [this] { return frontend->activeCalls(); };
    hooks.beginCoreStop = [this] { runner->core().beginStop(loop->now()); };
    hooks.isCoreStopped = [this] { return runner->core().stopped(); };
    hooks.exit = [this] { loop->stop(); };
    hooks.onPhaseEntered = [](const char *phase) { logLine(LogComponent::Shutdown, LogLevel::Info, phase); };
    shutdown = std::make_unique<Shutdown>(shutdownSettings, hooks);
}

ControlPlaneUsage Daemon::Private::controlPlaneUsage() const
{
    const TrafficCounters toPlatform = platform->traffic();
    const TrafficCounters toWorkers = workers->traffic();
    const PeerCounters &toPeers = peers->counters();
    ControlPlaneUsage usage;
    usage.bytesSent = toPlatform.bytesSent + toWorkers.bytesSent + toPeers.bytesSent;
    usage.bytesReceived = toPlatform.bytesReceived + toWorkers.bytesReceived + toPeers.bytesReceived;
    usage.storeOperations = platform->operations();
    usage.storeWrites = platform->writes();
    usage.peerMessagesDropped = toPeers.dropped;
    usage.workerSyncs = workers->syncs();
    usage.activeRequests = frontend->activeCalls();
    return usage;
}

Daemon::Daemon() = default;
Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::create(const DaemonSettings &settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon);
    daemon->d = std::make_unique<Private>(settings);
    if (const auto error = daemon->d->open()) {
        return *error;
    }
    return daemon;
}

void Daemon::run()
{
    d->watches.push_back(EventWatch::signal(*d->loop, SIGTERM, [this] { stop(); }));
    d->watches.push_back(EventWatch::signal(*d->loop, SIGINT, [this] { stop(); }));
    d->watches.push_back(EventWatch::repeating(*d->loop, shutdownTickInterval, [this] { d->shutdown->tick(d->loop->now()); }));
    logLine(LogComponent::Daemon, LogLevel::Info, "daemon " + d->settings.daemon.value() + " serves on " + d->settings.httpAddress);
    d->loop->run();
}

void Daemon::stop()
{
    d->frontend->setClosing(true);
    d->shutdown->begin(d->loop->now());
}

} // namespace KingCupLadder
