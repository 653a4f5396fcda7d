// Wires the components of a daemon together.
#include "node.h"

#include "daemon/log.h"
#include "rowcodec.h"

#include <algorithm>
#include <cstdio>

namespace KingCupLadder {

namespace {

constexpr Duration heartbeatInterval{200};
constexpr Duration memberListInterval{1000}; // New daemons learn their peers from heartbeats with a member list.
constexpr Duration memberDiscoveryInterval{1500}; // How often the leader looks in the store for daemons that started after it.
constexpr Duration registrationRetryInterval{500};
constexpr Duration storeTimeout{1000};
// A daemon with an older configuration is not ready, since it can't check API keys. Lower than the default of
// ConfigWatcherSettings::maxConfigAge, which the platform's settings can change, while this limit is fixed.
constexpr Duration maxReadyConfigAge{4000};
constexpr std::size_t maxProbeBodyBytes = 4096;
constexpr int httpGatewayTimeout = 504;
constexpr Duration responseFlushTime{200}; // Before a daemon ends: the last responses are passed to the kernel.
const char memberTable[] = "daemons";
constexpr Duration minLoggedLoopDelay{250}; // About a heartbeat: other daemons may notice it.

} // namespace

Node::Node(EventLoop &loop, const NodeSettings &settings, PlatformCodec codec, TableStore &store, WorkerGateway &workers, AdviceGateway &advice)
    : m_loop(loop)
    , m_settings(settings)
    , m_codec(std::move(codec))
    , m_directStore(store)
    , m_directWorkers(workers)
    , m_advice(advice)
    , m_leadership(settings.self, settings.leadership)
{
}

Node::~Node() = default;

Result<std::unique_ptr<Node>>
Node::create(EventLoop &loop, const NodeSettings &settings, PlatformCodec codec, TableStore &store, WorkerGateway &workers, AdviceGateway &advice)
{
    std::unique_ptr<Node> node(new Node(loop, settings, std::move(codec), store, workers, advice));
    const auto opened = node->open();
    if (!opened) {
        return opened.reason();
    }
    return node;
}

Result<bool> Node::open()
{
    auto peers = PeerMessaging::create(
        m_loop, m_settings.self, [this](const PeerMessaging::Envelope &message) { onPeerMessage(message); }, m_settings.peerBudget);
    if (!peers) {
        return peers.reason();
    }
    m_peers = std::move(peers).value();
    m_store = std::make_unique<RelayingTableStore>(m_loop, m_directStore, *m_peers, [this] { return storeRelays(); });
    m_storage = std::make_unique<CellStorage>(m_loop, *m_store, m_settings.jobPartitions);
    m_workerGateway = std::make_unique<RelayingWorkerGateway>(m_loop, m_directWorkers, *m_peers);
    m_leaderController = std::make_unique<LeaderController>(
        m_loop, m_settings.self, m_settings.leaderController, m_leadership, *m_storage, *m_store, m_codec, *m_workerGateway, m_advice, *m_peers, [this] {
            updateLeadership();
        });
    m_configWatcher = std::make_unique<ConfigWatcher>(
        m_loop,
        *m_store,
        m_codec,
        m_settings.config,
        [this](const std::shared_ptr<const CellConfig> &config) {
            applyCallerLimits(config->callerLimits);
            m_leaderController->setConfig(config);
        },
        [this](const std::set<FailureDomain> &domains) { m_leaderController->setEvacuatedDomains(domains); });
    LeaderAccess access;
    access.sendRequest = [this](PeerMessaging::Envelope peerRequest, Duration timeout, const PeerMessaging::ReplyCallback &callback) {
        sendRequestToLeader(std::move(peerRequest), timeout, callback);
    };
    access.isStoreDown = [this] { return m_store->isDown(m_loop.now()); };
    access.queued = [this](Duration maxAge) -> const std::map<RouteName, int> * {
        if (m_leaderController->isLoaded()) {
            m_queued = m_leaderController->scheduler().queuedByRoute();
            return &m_queued;
        }
        return m_loop.now() - m_queuedReceivedAt <= maxAge && m_queuedReceivedAt != TimePoint() ? &m_queued : nullptr;
    };
    // Half for one workspace leaves the other half to the others.
    m_settings.jobApi.workspaceShare = WorkspaceShareLimits{m_settings.callerBudget.maxConnections / 2, m_settings.callerBudget.maxBytes / 2};
    m_jobApi = std::make_unique<JobApi>(m_loop, m_settings.jobApi, m_codec, *m_configWatcher, *m_storage, std::move(access));

    m_callerConnections = std::make_shared<CallerConnections>(m_settings.callerBudget);
    HttpFrontendSettings callerFrontend;
    callerFrontend.address = m_settings.callerAddress;
    callerFrontend.connections = m_callerConnections;
    // The rest of the connections is for callers whose requests can be answered at once, and for probes.
    callerFrontend.maxActive = std::max<std::size_t>(m_settings.callerBudget.maxConnections - m_settings.callerBudget.maxConnections / 8, 1);
    auto frontend = HttpFrontend::create(m_loop, callerFrontend, [this](const HttpCallPtr &call) { m_jobApi->handle(call); });
    if (!frontend) {
        return frontend.reason();
    }
    m_callerServer = std::move(frontend).value();
    HttpFrontendSettings readinessFrontend;
    readinessFrontend.address = m_settings.readyAddress;
    readinessFrontend.connections = m_callerConnections;
    auto probe = HttpFrontend::create(m_loop, readinessFrontend, [this](const HttpCallPtr &call) {
        HttpResponse response;
        response.status = call->request().path == m_settings.readyPath ? (isReady() ? httpOk : httpUnavailable) : httpNotFound;
        call->respond(response);
    });
    if (!probe) {
        return probe.reason();
    }
    m_readinessServer = std::move(probe).value();
    if (!m_settings.metricsAddress.empty()) {
        HttpFrontendSettings metricsFrontend;
        metricsFrontend.address = m_settings.metricsAddress;
        metricsFrontend.connections = m_callerConnections;
        auto server = HttpFrontend::create(m_loop, metricsFrontend, [this](const HttpCallPtr &call) {
            HttpResponse response;
            response.body = metrics();
            response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
            call->respond(response);
        });
        if (!server) {
            return server.reason();
        }
        m_metricsServer = std::move(server).value();
    }
    applyCallerLimits(CallerLimits());
    m_storage->resolvePartitions([this] {
        m_isLayoutKnown = true;
        m_configWatcher->start(); // Requests are rejected until the configuration is known.
        tick();
    });
    m_tickTimer = EventWatch::repeating(m_loop, tickInterval, [this] {
        const Duration delay = m_loopMonitor.observe(m_loop.now());
        if (delay >= minLoggedLoopDelay) {
            logRateLimited(LogComponent::Platform,
                           LogLevel::Warning,
                           "event loop",
                           "the event loop was late by " + std::to_string(delay.count()) + " ms: a turn took long, or the VM was suspended");
        }
        tick();
    });
    logLine(LogComponent::Daemon,
            LogLevel::Info,
            "started as " + m_settings.self.id.value() + " in " + m_settings.self.domain.value() + ", incarnation "
                + std::to_string(m_settings.self.incarnation.value()));
    tick();
    return true;
}

void Node::applyCallerLimits(const CallerLimits &limits)
{
    m_callerConnections->setLimits(limits);
    m_callerServer->setLimits(limits.maxHeaderBytes, limits.maxBodyBytes, limits.idleTimeout);
    // Probes and requests for metrics have no bodies.
    const std::size_t maxProbeBody = std::min(limits.maxBodyBytes, maxProbeBodyBytes);
    m_readinessServer->setLimits(limits.maxHeaderBytes, maxProbeBody, limits.idleTimeout);
    if (m_metricsServer) {
        m_metricsServer->setLimits(limits.maxHeaderBytes, maxProbeBody, limits.idleTimeout);
    }
}

bool Node::isReady() const
{
    return !m_stopping && m_configWatcher->config() != nullptr && m_configWatcher->age(m_loop.now()) < maxReadyConfigAge;
}

void Node::tick()
{
    const TimePoint now = m_loop.now();
    m_peers->expire(now);
    if (m_isLayoutKnown) {
        updateLeadership();
        m_leaderController->tick();
        m_jobApi->tick();
    }
    if (!m_registered && !m_registering && m_nextRegistration <= now) {
        registerSelf();
    }
    if (m_leadership.isLeader() && m_nextMemberDiscovery <= now) {
        m_nextMemberDiscovery = now + memberDiscoveryInterval;
        discoverMembers();
    }
    if (m_leadership.isLeader() && m_nextHeartbeat <= now) {
        sendLeaderHeartbeat();
    }
    if (m_stopping && m_onStopped) {
        continueStop(now);
    }
}

void Node::continueStop(TimePoint now)
{
    const Duration passed = now - m_stopStarted;
    // The load balancer sends requests until two probes have failed. A caller whose connection is refused later tries another daemon.
    if (passed >= m_settings.minDrainTime && !m_isListenerClosed) {
        m_isListenerClosed = true;
        m_callerServer->stopListening();
        logLine(LogComponent::Shutdown,
                LogLevel::Info,
                "listener closed " + std::to_string(passed.count()) + " ms after the stop request, " + std::to_string(m_callerServer->activeCalls())
                    + " requests in progress");
    }
    // A request from before the stop may have a later deadline.
    if (passed >= m_settings.maxDrainTime - responseFlushTime) {
        HttpResponse response;
        response.status = httpGatewayTimeout;
        response.headers.emplace_back("Content-Type", "application/json");
        response.body = m_codec.encodeError({ErrorKind::OutcomeUnknown, "the daemon stops", "send the request again to another daemon, with the same id"});
        m_callerServer->respondToAll(response);
    }
    // No caller waits for a response, the leader has acknowledged all notices, and this daemon no longer leads.
    const bool idle = m_callerServer->activeCalls() == 0 && m_jobApi->pendingNotices() == 0 && !m_leadership.isLeader();
    if ((idle && passed >= m_settings.minDrainTime) || passed >= m_settings.maxDrainTime) {
        logLine(LogComponent::Shutdown,
                LogLevel::Info,
                "stopped after " + std::to_string(passed.count()) + " ms, " + std::to_string(m_callerServer->activeCalls()) + " requests without an answer");
        std::exchange(m_onStopped, nullptr)();
    }
}

void Node::registerSelf()
{
    m_registering = true;
    Transaction transaction;
    transaction.writes.push_back(TableWrite{RowKey{memberTable, {}, m_settings.self.id.value()}, encodeRow(toWire(m_settings.self))});
    m_store->transact(transaction, storeTimeout, [this](const StoreAnswer &answer) {
        m_registering = false;
        m_registered = answer.outcome == StoreOutcome::Done;
        m_nextRegistration = m_loop.now() + registrationRetryInterval;
        if (m_registered) {
            discoverMembers();
        }
    });
}

void Node::discoverMembers()
{
    if (m_discoveringMembers) {
        return;
    }
    m_discoveringMembers = true;
    m_store->read(RangeRead{memberTable, {}, {}, {}, 500}, storeTimeout, [this](const StoreAnswer &answer) {
        m_discoveringMembers = false;
        for (const TableRow &row : answer.rows) {
            if (const auto member = decodeRow<CellWire::Member>(row.value)) {
                m_leadership.learnMember(fromWire(*member));
            }
        }
    });
}

void Node::updateLeadership()
{
    if (!m_isLayoutKnown) {
        return;
    }
    const LeaderAction action = m_leadership.nextAction(m_loop.now());
    if (action == LeaderAction::ReadRow) {
        m_storage->readLeader([this](bool wasRead, const std::optional<LeaderRecord> &record, RowVersion version) {
            wasRead ? m_leadership.onRow(record, version, m_loop.now()) : m_leadership.onReadFailed(m_loop.now());
            updateLeadership();
        });
    } else if (action == LeaderAction::WriteRow) {
        const LeaderRecord record = m_leadership.recordToWrite();
        m_storage->writeLeader(
            record, m_leadership.expectedVersion(), [this, record](StoreOutcome outcome, const std::optional<LeaderRecord> &current, RowVersion version) {
                const TimePoint now = m_loop.now();
                if (outcome == StoreOutcome::Done) {
                    m_leadership.onWritten(version, now);
                } else if (outcome == StoreOutcome::Conflict) {
                    m_leadership.onConflict(current, version, now);
                } else {
                    m_leadership.onWriteFailed(now);
                }
                // A record without a holder gives up the leadership.
                if (m_wasLeader && record.holder.isEmpty() && outcome == StoreOutcome::Done) {
                    logLine(LogComponent::Leader, LogLevel::Info, "resigned in favour of " + record.successor.value());
                    PeerMessaging::Envelope message;
                    message.mutable_resigned()->set_epoch(record.epoch.value());
                    for (const auto &[id, member] : m_leadership.knownMembers()) {
                        m_peers->send(member.peerAddress, message);
                    }
                }
                m_leaderController->tick();
            });
    }
    if (m_leadership.isLeader() && !m_wasLeader) {
        m_nextHeartbeat = TimePoint();
        m_nextMemberList = TimePoint();
        m_nextMemberDiscovery = TimePoint();
    }
    m_wasLeader = m_leadership.isLeader();
}

void Node::sendLeaderHeartbeat()
{
    const TimePoint now = m_loop.now();
    m_nextHeartbeat = now + heartbeatInterval;
    PeerMessaging::Envelope message;
    CellWire::LeaderBeat *heartbeat = message.mutable_leader_beat();
    heartbeat->set_epoch(m_leadership.epoch().value());
    heartbeat->set_incarnation(m_settings.self.incarnation.value());
    heartbeat->set_stamp(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    heartbeat->set_peer_address(m_settings.self.peerAddress);
    heartbeat->set_acting(m_leadership.maySendOrders(now));
    heartbeat->set_ready(m_leaderController->isLoaded());
    heartbeat->set_row_version(m_leadership.expectedVersion().value());
    if (m_leaderController->isLoaded()) {
        for (const auto &[route, queued] : m_leaderController->scheduler().queuedByRoute()) {
            CellWire::QueueCount *count = heartbeat->add_queued();
            count->set_route(route.value());
            count->set_queued(static_cast<std::uint32_t>(queued));
        }
    }
    if (m_nextMemberList <= now) {
        m_nextMemberList = now + memberListInterval;
        *heartbeat->add_members() = toWire(m_settings.self);
        for (const CellMember &member : m_leadership.liveMembers(now)) {
            *heartbeat->add_members() = toWire(member);
        }
    }
    for (const auto &[id, member] : m_leadership.knownMembers()) {
        m_peers->send(member.peerAddress, message);
    }
}

void Node::onPeerMessage(const PeerMessaging::Envelope &message)
{
    const TimePoint now = m_loop.now();
    if (message.has_leader_beat()) {
        handleLeaderHeartbeat(message);
    } else if (message.has_member_beat()) {
        const CellWire::MemberBeat &heartbeat = message.member_beat();
        const CellMember member = fromWire(heartbeat.self());
        if (heartbeat.epoch() == m_leadership.epoch().value() && m_leadership.isLeader()) {
            // The member returns the stamp of the heartbeat that it answers, which is the time on this daemon's clock when it was sent.
            m_leadership.onPromise(member, heartbeat.leaving(), TimePoint(Duration(static_cast<std::int64_t>(heartbeat.stamp()))), now);
        }
        m_storeReachableAt[member.id] = heartbeat.store_reachable() ? now : TimePoint();
    } else if (message.has_resigned()) {
        m_leadership.onResigned(DaemonId(message.from()), Epoch(message.resigned().epoch()));
        updateLeadership();
    } else if (message.has_store_call()) {
        m_store->serve(message);
    } else if (message.has_worker_order()) {
        m_workerGateway->serve(message);
    } else if (message.has_advice_order()) {
        onAdviceOrder(message);
    } else if (message.call() != 0) {
        // A daemon that does not lead sends no reply; the request times out.
        if (m_leaderController->isActive()) {
            m_peers->sendReply(PeerMessaging::returnAddressOf(message), m_leaderController->handleRequest(message));
        }
    }
}

void Node::handleLeaderHeartbeat(const PeerMessaging::Envelope &message)
{
    const CellWire::LeaderBeat &heartbeat = message.leader_beat();
    const TimePoint now = m_loop.now();
    const CellMember leader{DaemonId(message.from()), Incarnation(heartbeat.incarnation()), heartbeat.peer_address(), {}, {}};
    if (!m_leadership.onLeaderHeartbeat(leader, Epoch(heartbeat.epoch()), RowVersion(heartbeat.row_version()), now)) {
        return;
    }
    for (const CellWire::Member &member : heartbeat.members()) {
        m_leadership.learnMember(fromWire(member));
    }
    if (heartbeat.ready()) {
        m_queued.clear();
        for (const CellWire::QueueCount &count : heartbeat.queued()) {
            m_queued[RouteName(count.route())] = static_cast<int>(count.queued());
        }
        m_queuedReceivedAt = now;
    }
    PeerMessaging::Envelope reply;
    CellWire::MemberBeat *answer = reply.mutable_member_beat();
    answer->set_epoch(heartbeat.epoch());
    answer->set_stamp(heartbeat.stamp());
    answer->set_store_reachable(m_store->isReachable());
    answer->set_leaving(m_stopping);
    *answer->mutable_self() = toWire(m_settings.self);
    m_peers->send(heartbeat.peer_address(), reply);
}

void Node::onAdviceOrder(const PeerMessaging::Envelope &message)
{
    const CellWire::AdviceOrder &order = message.advice_order();
    std::vector<WorkerId> workers;
    for (const std::string &id : order.workers()) {
        workers.emplace_back(id);
    }
    const PeerMessaging::ReturnAddress returnAddress = PeerMessaging::returnAddressOf(message);
    const StepRef step{JobId(order.job()), static_cast<int>(order.occurrence()), static_cast<int>(order.step())};
    m_advice.ask(step, workers, Duration(order.timeout_ms()), [this, returnAddress](const AdviceAnswer &answer) {
        PeerMessaging::Envelope reply;
        CellWire::AdviceResult *result = reply.mutable_advice_result();
        result->set_answered(answer.answered);
        result->set_busy(answer.busy);
        result->set_validity_ms(answer.validity.count());
        for (const auto &[worker, ticket] : answer.allowed) {
            CellWire::AdvisedWorker *advised = result->add_good();
            advised->set_id(worker.value());
            advised->set_ticket(ticket);
        }
        m_peers->sendReply(returnAddress, std::move(reply));
    });
}

void Node::sendRequestToLeader(PeerMessaging::Envelope peerRequest, Duration timeout, const PeerMessaging::ReplyCallback &callback)
{
    if (m_leaderController->isActive()) {
        // Deferred, so that the callback always runs after this call returns, as with a remote leader.
        m_loop.defer([this, peerRequest = std::move(peerRequest), callback] {
            const PeerMessaging::Envelope reply = m_leaderController->handleRequest(peerRequest);
            callback(&reply);
        });
        return;
    }
    const auto leader = m_leadership.leader();
    if (!leader || leader->id == m_settings.self.id) {
        m_loop.defer([callback] { callback(nullptr); });
        return;
    }
    m_peers->sendRequest(leader->peerAddress, std::move(peerRequest), timeout, callback);
}

std::vector<std::string> Node::storeRelays() const
{
    std::vector<std::string> relays;
    const auto leader = m_leadership.leader();
    if (leader && leader->id != m_settings.self.id) {
        relays.push_back(leader->peerAddress);
    }
    std::vector<std::pair<TimePoint, std::string>> others;
    for (const auto &[id, member] : m_leadership.knownMembers()) {
        const auto reachable = m_storeReachableAt.find(id);
        others.emplace_back(reachable == m_storeReachableAt.end() ? TimePoint() : reachable->second, member.peerAddress);
    }
    std::sort(others.rbegin(), others.rend()); // Descending: the most recent report first.
    for (const auto &[at, address] : others) {
        if (relays.empty() || address != relays.front()) {
            relays.push_back(address);
        }
    }
    return relays;
}

void Node::beginStop(std::function<void()> done)
{
    if (m_stopping) {
        return;
    }
    logLine(LogComponent::Shutdown, LogLevel::Info, "stop requested: " + std::to_string(m_callerServer->activeCalls()) + " requests in progress");
    m_stopping = true;
    m_stopStarted = m_loop.now();
    m_onStopped = std::move(done);
    m_callerServer->setClosing(true);
    m_jobApi->setStopTime(m_stopStarted, m_stopStarted + std::max(m_settings.maxDrainTime - responseFlushTime, Duration(0)));
    m_leadership.resign(m_loop.now());
    tick();
}

std::string Node::metrics() const
{
    std::string text;
    const auto add = [&text](const std::string &name, const std::string &labels, std::uint64_t value) {
        text += "kingcupladder_" + name + (labels.empty() ? "" : "{" + labels + "}") + " " + std::to_string(value) + "\n";
    };
    for (const auto &[answer, number] : m_jobApi->counters().answers) {
        const std::size_t blank = answer.find(' ');
        add("answers_total", "operation=\"" + answer.substr(0, blank) + "\",status=\"" + answer.substr(blank + 1) + "\"", number);
    }
    const CellCounters &cell = m_leaderController->scheduler().counters();
    add("task_starts_total", "", cell.starts);
    add("task_ends_total", "end=\"succeeded\"", cell.succeeded);
    add("task_ends_total", "end=\"failed\"", cell.failed);
    add("task_ends_total", "end=\"lost\"", cell.lost);
    add("task_ends_total", "end=\"never ran\"", cell.neverRan);
    add("task_ends_total", "end=\"other\"", cell.otherEnds);
    add("crash_suspicions_total", "", cell.crashSuspicions);
    add("jobs_given_up_total", "", cell.givenUp);
    add("speed_observations_total", "", cell.speedObservations);
    add("speed_class_changes_total", "", cell.speedClassChanges);
    add("task_starts_on_slow_workers_total", "", cell.startsOnSlowWorkers);
    const SpeedClassCounts speedClasses = m_leaderController->scheduler().speedClassCounts();
    for (std::size_t i = 0; i < speedClassCount; ++i) {
        add("workers_by_speed", std::string("class=\"") + toString(static_cast<SpeedClass>(i)) + "\"", m_leaderController->isActive() ? speedClasses.at(i) : 0);
    }
    add("worker_stops_total", "", cell.stops);
    add("preemptions_total", "", cell.preemptions);
    add("preemptions_lapsed_total", "", cell.preemptionsLapsed);
    add("preempted_runs_total", "", cell.preempted);
    add("preempted_core_ms_total", "", cell.preemptedCoreMs);
    add("worker_holds_total", "", cell.holds);
    add("advice_calls_total", "", cell.adviceCalls);
    for (const auto &[key, usage] : cell.advice.calls) {
        const std::string labels = "priority=\"" + std::to_string(key.first) + "\",purpose=\"" + toString(key.second) + "\"";
        add("advice_service_ms_total", labels, static_cast<std::uint64_t>(usage.serviceTime.count()));
        add("advice_workers_named_total", labels, usage.named);
    }
    for (const auto &[priority, waits] : cell.advice.firstAnswers) {
        const std::string labels = "priority=\"" + std::to_string(priority) + "\"";
        add("advice_first_answers_total", labels, waits.answers);
        add("advice_first_answer_wait_ms_total", labels, static_cast<std::uint64_t>(waits.totalWait.count()));
        add("advice_first_answer_wait_ms_max", labels, static_cast<std::uint64_t>(waits.longestWait.count()));
    }
    for (const auto &[key, coreMs] : cell.work.coreMs) {
        add("run_core_ms_total",
            "priority=\"" + std::to_string(key.priority) + "\",at_start=\"" + toString(key.timeliness) + "\",end=\""
                + (key.hasSucceeded ? "succeeded" : "unsuccessful") + "\"",
            coreMs);
    }
    add("advice_faulty_answers_total", "", cell.advice.faultyAnswers);
    add("jobs_admitted_total", "", cell.admitted);
    add("jobs_refused_total", "", cell.refused);
    add("evacuations_total", "change=\"begun\"", cell.evacuationsBegun);
    add("evacuations_total", "change=\"ended\"", cell.evacuationsEnded);
    add("evacuation_starts_stopped_total", "", cell.startsStoppedInEvacuation);
    add("locality_waits_total", "", cell.localityWaits);
    add("evacuated_domains", "", m_leaderController->scheduler().workers().evacuations().domains().size());
    add("jobs_unfinished", "", m_leaderController->isActive() ? m_leaderController->scheduler().unfinishedJobs() : 0);
    add("leader", "", m_leaderController->isActive() ? 1 : 0);
    add("worker_calls_total", "way=\"direct\"", m_workerGateway->counters().direct);
    add("worker_calls_total", "way=\"carried by a peer\"", m_workerGateway->counters().relayed);
    add("worker_calls_for_peers_total", "", m_workerGateway->counters().forPeers);
    add("store_calls_total", "", m_store->counters().calls);
    add("store_calls_relayed_total", "", m_store->counters().relayed);
    add("store_calls_for_peers_total", "", m_store->counters().forPeers);
    add("store_calls_failed_total", "", m_store->counters().failed);
    add("peer_messages_dropped_total", "", m_peers->counters().dropped);
    add("event_loop_longest_delay_ms", "", static_cast<std::uint64_t>(m_loopMonitor.longest().count()));
    add("caller_connections", "", m_callerConnections->count());
    add("caller_bytes_held", "", m_callerConnections->heldBytes());
    for (const auto &[reason, number] : m_callerConnections->closed()) {
        add("caller_connections_closed_total", std::string("reason=\"") + toString(reason) + "\"", number);
    }
    for (const auto &[reason, number] : m_callerConnections->rejected()) {
        add("caller_requests_rejected_total", std::string("reason=\"") + toString(reason) + "\"", number);
    }
    add("members_live", "", m_leadership.isLeader() ? m_leadership.liveMembers(m_loop.now()).size() : 0);
    add("config_age_ms", "", static_cast<std::uint64_t>(std::max<std::int64_t>(m_configWatcher->age(m_loop.now()).count(), 0)));
    return text;
}

} // namespace KingCupLadder
