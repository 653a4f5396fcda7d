// Connects CellScheduler to the store, the workers and the policy service.
#include "leadercontroller.h"

#include "daemon/log.h"
#include "rowcodec.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace KingCupLadder {

namespace {

constexpr Duration roundDelay{4}; // Batches events that arrive at about the same time into one scheduling round.
constexpr std::size_t maxProgressBatch = 60; // Jobs in one batch of progress writes.
constexpr int maxProgressInFlight = 120; // Jobs with a progress write in flight.
constexpr Duration storeTimeout{1000};
constexpr Duration leaseExpiryMargin{300}; // Added to the longest lease of an earlier leader, for timer inaccuracy and clock drift.
constexpr std::size_t minWorkersForRelays = 100; // Direct calls to fewer workers cost little CPU time, and relaying would only add delay.
constexpr std::size_t maxRelays = 4; // Enough for a few hundred workers; more relays would mean more and smaller messages.
constexpr double minRelayCpuRatio = 0.75; // Relative to the member with the most CPU.
constexpr Duration maxRelaySilence{700}; // Members answer five leader heartbeats a second, so at least three answers in a row are missing.
constexpr Duration statisticsLogInterval{1000};
constexpr std::uint64_t msPerSecond = 1000;
constexpr Duration adviceTimeoutMargin{1200}; // The daemon that makes the call may have to finish another one first.

void logDecision(const std::string &line)
{
    logLine(LogComponent::Scheduler, LogLevel::Info, line);
}

} // namespace

LeaderController::LeaderController(EventLoop &loop,
                                   const CellMember &self,
                                   const LeaderControllerSettings &settings,
                                   Leadership &leadership,
                                   CellStorage &storage,
                                   TableStore &store,
                                   const PlatformCodec &codec,
                                   RelayingWorkerGateway &workers,
                                   AdviceGateway &advice,
                                   PeerMessaging &peers,
                                   std::function<void()> onRenewalNeeded)
    : m_loop(loop)
    , m_self(self)
    , m_settings(settings)
    , m_leadership(leadership)
    , m_storage(storage)
    , m_store(store)
    , m_codec(codec)
    , m_workers(workers)
    , m_advice(advice)
    , m_peers(peers)
    , m_onRenewalNeeded(std::move(onRenewalNeeded))
    , m_scheduler(settings.scheduler, logDecision)
{
    m_roundTimer = EventWatch::timer(loop, [this] {
        m_roundScheduled = false;
        runSchedulingRound();
    });
}

CellTime LeaderController::time() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return CellTime{m_loop.now(), std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()};
}

void LeaderController::setConfig(const std::shared_ptr<const CellConfig> &config)
{
    m_scheduler.setConfig(config, m_loop.now());
    scheduleRound();
}

void LeaderController::setEvacuatedDomains(const std::set<FailureDomain> &domains)
{
    const TimePoint now = m_loop.now();
    m_scheduler.setEvacuatedDomains(domains, now);
    if (m_active) {
        logDecision("usable workers by failure domain: " + m_scheduler.workers().describeDomains(now));
    }
    scheduleRound();
}

bool LeaderController::isActive() const
{
    return m_active;
}

bool LeaderController::isLoaded() const
{
    return m_active && m_scheduler.isLoaded();
}

const CellScheduler &LeaderController::scheduler() const
{
    return m_scheduler;
}

void LeaderController::scheduleRound()
{
    if (m_active && !m_roundScheduled) {
        m_roundScheduled = true;
        m_roundTimer->start(roundDelay);
    }
}

void LeaderController::tick()
{
    if (m_active && (!m_leadership.isLeader() || m_leadership.epoch() != m_epoch)) {
        endLeadership();
    }
    if (!m_active && m_leadership.isLeader() && m_leadership.maySendOrders(m_loop.now())) {
        beginLeadership();
    }
    if (!m_active) {
        return;
    }
    const TimePoint now = m_loop.now();
    if (!m_scheduler.isLoaded() && !m_loading && m_nextLoadAttempt <= now) {
        load();
    }
    if (!m_registryReadPending && m_nextRegistryPoll <= now) {
        pollRegistry();
    }
    if (m_scheduler.isLoaded() && !m_changesReadPending && m_nextChangePoll <= now) {
        pollChanges();
    }
    chooseRelays();
    std::vector<DaemonId> adviceDaemons{m_self.id};
    for (const CellMember &member : m_leadership.liveMembers(now)) {
        adviceDaemons.push_back(member.id);
    }
    m_scheduler.setAdviceDaemons(adviceDaemons);
    runSchedulingRound();
    logStatistics();
}

namespace {

/// Returns the time of the policy service by priority and purpose, and the waits for first answers, between two counts.
std::string describeAdvice(const AdviceUsage &before, const AdviceUsage &after)
{
    std::string text;
    for (const auto &[key, usage] : after.calls) {
        const auto former = before.calls.find(key);
        const Duration time = usage.serviceTime - (former == before.calls.end() ? Duration(0) : former->second.serviceTime);
        if (time > Duration(0)) {
            text += (text.empty() ? "" : ", ") + std::string("priority ") + std::to_string(key.first) + " " + toString(key.second) + " "
                + std::to_string(time.count()) + " ms";
        }
    }
    for (const auto &[priority, waits] : after.firstAnswers) {
        const auto found = before.firstAnswers.find(priority);
        const AdviceUsage::FirstAnswers former = found == before.firstAnswers.end() ? AdviceUsage::FirstAnswers{} : found->second;
        if (waits.answers > former.answers) {
            text += ", first answers of priority " + std::to_string(priority) + " after "
                + std::to_string((waits.totalWait - former.totalWait).count() / static_cast<std::int64_t>(waits.answers - former.answers)) + " ms";
        }
    }
    return text.empty() ? "unused" : text;
}

/// Returns the CPU time of the runs that have ended between two counts, in core-seconds.
std::string describeWork(const WorkUsage &before, const WorkUsage &after)
{
    std::string text;
    for (const auto &[key, coreMs] : after.coreMs) {
        const auto former = before.coreMs.find(key);
        const std::uint64_t added = coreMs - (former == before.coreMs.end() ? 0 : former->second);
        if (added >= msPerSecond) {
            text += (text.empty() ? "priority " : ", priority ") + std::to_string(key.priority) + " " + toString(key.timeliness)
                + (key.hasSucceeded ? " succeeded " : " unsuccessful ") + std::to_string(added / msPerSecond) + " core-s";
        }
    }
    return text.empty() ? "none" : text;
}

} // namespace

void LeaderController::logStatistics()
{
    const TimePoint now = m_loop.now();
    if (now < m_nextStatisticsLog || !m_scheduler.isLoaded()) {
        return;
    }
    m_nextStatisticsLog = now + statisticsLogInterval;
    const CellCounters counters = m_scheduler.counters();
    const CellCounters before = std::exchange(m_loggedCounters, counters);
    const auto meanDelay = m_adviceAnswers > 0 ? m_adviceExtraDelay.count() / static_cast<std::int64_t>(m_adviceAnswers) : 0;
    logLine(LogComponent::Leader,
            LogLevel::Info,
            "load: " + std::to_string(counters.starts - before.starts) + " starts, " + std::to_string(counters.succeeded - before.succeeded) + " successes, "
                + std::to_string(m_rounds) + " scheduling rounds, " + std::to_string(counters.holds - before.holds) + " lease renewals, "
                + std::to_string(counters.adviceCalls - before.adviceCalls) + " advice calls, mean extra delay " + std::to_string(meanDelay) + " ms, "
                + std::to_string(m_relays.size()) + " relays, policy service: " + describeAdvice(before.advice, counters.advice)
                + "; ended runs: " + describeWork(before.work, counters.work) + "; " + m_scheduler.describeLoad(now));
    m_rounds = 0;
    m_adviceAnswers = 0;
    m_adviceExtraDelay = Duration(0);
}

void LeaderController::chooseRelays()
{
    std::vector<CellMember> chosen;
    if (m_scheduler.workers().all().size() >= minWorkersForRelays) {
        std::vector<CellMember> candidates = m_leadership.membersHeardWithin(maxRelaySilence, m_loop.now());
        std::int64_t maxCpu = 0;
        for (const CellMember &member : candidates) {
            maxCpu = std::max(maxCpu, member.cpu.value());
        }
        const auto hasTooLittleCpu = [maxCpu](const CellMember &member) {
            return static_cast<double>(member.cpu.value()) < minRelayCpuRatio * static_cast<double>(maxCpu);
        };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), hasTooLittleCpu), candidates.end());
        // Prefers the current relays, so that connections to workers are kept.
        const auto isRelay = [this](const CellMember &member) {
            return std::any_of(m_relays.begin(), m_relays.end(), [&member](const CellMember &relay) { return relay.peerAddress == member.peerAddress; });
        };
        std::sort(candidates.begin(), candidates.end(), [&isRelay](const CellMember &a, const CellMember &b) {
            return std::make_tuple(!isRelay(a), a.id) < std::make_tuple(!isRelay(b), b.id);
        });
        candidates.resize(std::min(candidates.size(), maxRelays));
        chosen = std::move(candidates);
    }
    m_relays = std::move(chosen);
    m_workers.setRelays(m_relays);
}

void LeaderController::beginLeadership()
{
    ++m_leadershipGeneration;
    m_active = true;
    m_epoch = m_leadership.epoch();
    m_leadingSince = m_loop.now();
    m_hasStartedTasks = false;
    m_registryReadPending = false;
    m_changesReadPending = false;
    m_loading = false;
    m_progressInFlight = 0;
    m_nextRegistryPoll = TimePoint();
    m_nextChangePoll = TimePoint();
    m_nextProgressWrite = TimePoint();
    m_nextFinalStateWrite = TimePoint();
    m_nextLoadAttempt = TimePoint();
    const LeaseSettings &limits = m_settings.scheduler.workers.leases;
    // A worker's clock may run slower than real time by maxClockDrift, which lengthens its lease.
    const auto longestLease = Duration(static_cast<std::int64_t>(static_cast<double>(limits.maxLease.count()) / (1 - limits.maxClockDrift)));
    m_scheduler.beginEpoch(m_epoch, m_loop.now() + longestLease + leaseExpiryMargin);
    m_storage.clearProgressVersions();
    logLine(LogComponent::Leader, LogLevel::Info, "leads the cell in epoch " + std::to_string(m_epoch.value()));
}

void LeaderController::endLeadership()
{
    ++m_leadershipGeneration;
    m_active = false;
    m_relays.clear();
    m_workers.dropPendingCalls();
    logLine(LogComponent::Leader, LogLevel::Info, "no longer leads the cell; its epoch was " + std::to_string(m_epoch.value()));
}

void LeaderController::load()
{
    m_loading = true;
    m_storage.readWorkers(whileLeading([this](bool wasRead, const std::vector<WorkerRecord> &records) {
        if (!wasRead) {
            m_loading = false;
            m_nextLoadAttempt = m_loop.now() + m_settings.loadRetryInterval;
            return;
        }
        m_scheduler.addPreviousWorkers(records);
        m_storage.loadAll(whileLeading([this](const std::optional<StoredJobs> &stored) {
            m_loading = false;
            if (!stored) {
                m_nextLoadAttempt = m_loop.now() + m_settings.loadRetryInterval;
                return;
            }
            const CellTime now = time();
            std::size_t openJobs = 0;
            std::size_t mayBeRunningJobs = 0;
            for (const auto &[id, entry] : stored->jobs) {
                if (entry.progress && isFinal(entry.progress->finalState)) {
                    m_scheduler.loadFinal(id, *entry.progress, now.now);
                } else if (entry.job) {
                    ++openJobs;
                    // A leader starts a job only after it has renewed the leader row while the job was already stored. So a job row that is newer
                    // than the previous leader's last renewal belongs to a job that was not started.
                    const bool mayBeRunning = entry.jobRowVersion < m_leadership.replacedVersion();
                    mayBeRunningJobs += mayBeRunning ? 1 : 0;
                    m_scheduler.load(*entry.job, entry.progress ? &*entry.progress : nullptr, entry.cancelled, mayBeRunning, now);
                }
            }
            m_changesReadUpTo = stored->version;
            m_scheduler.finishLoading(now.now);
            logLine(LogComponent::Leader,
                    LogLevel::Info,
                    "loaded " + std::to_string(openJobs) + " open jobs of " + std::to_string(stored->jobs.size()) + "; earlier leaders may have started "
                        + std::to_string(mayBeRunningJobs));
            scheduleRound();
        }));
    }));
}

void LeaderController::pollRegistry()
{
    m_registryReadPending = true;
    m_nextRegistryPoll = m_loop.now() + m_settings.registryPollInterval;
    auto registeredWorkers = std::make_shared<std::vector<WorkerInfo>>();
    auto readPage = std::make_shared<std::function<void(const std::string &)>>();
    *readPage = [this, registeredWorkers, weak = std::weak_ptr<std::function<void(const std::string &)>>(readPage)](const std::string &from) {
        // The pending read keeps the function alive. If it captured a shared pointer to itself, it would never be freed.
        const auto self = weak.lock();
        m_store.read(RangeRead{m_codec.workerTable, {}, from, {}, 500}, storeTimeout, whileLeading([this, registeredWorkers, self](const StoreAnswer &answer) {
                         if (answer.outcome != StoreOutcome::Done) {
                             m_registryReadPending = false;
                             return;
                         }
                         for (const TableRow &row : answer.rows) {
                             if (auto info = m_codec.decodeWorker(row.key.key, row.value)) {
                                 registeredWorkers->push_back(std::move(*info));
                             } else {
                                 logRateLimited(LogComponent::Platform,
                                                LogLevel::Warning,
                                                "worker entry",
                                                "registry entry " + row.key.key + " describes no usable worker");
                             }
                         }
                         if (answer.truncated && !answer.rows.empty()) {
                             (*self)(answer.rows.back().key.key + '\0'); // Continues at the smallest key after the last one.
                             return;
                         }
                         m_registryReadPending = false;
                         m_scheduler.onRegistry(*registeredWorkers, time());
                         scheduleRound();
                     }));
    };
    (*readPage)(std::string());
}

void LeaderController::pollChanges()
{
    m_changesReadPending = true;
    m_nextChangePoll = m_loop.now() + m_settings.changePollInterval;
    m_storage.readChanges(m_changesReadUpTo, whileLeading([this](bool historyTruncated, const std::vector<JobChange> &changes, RowVersion version) {
                              m_changesReadPending = false;
                              if (historyTruncated) {
                                  // The rows themselves are complete, so they are read in full; jobs that are already known are not changed.
                                  m_changesReadPending = true;
                                  m_storage.loadAll(whileLeading([this](const std::optional<StoredJobs> &stored) {
                                      m_changesReadPending = false;
                                      if (!stored) {
                                          return;
                                      }
                                      m_changesReadUpTo = stored->version;
                                      for (const auto &[id, entry] : stored->jobs) {
                                          const bool ended = entry.progress && isFinal(entry.progress->finalState);
                                          if (entry.job && !ended) {
                                              m_scheduler.onJobStored(*entry.job, time());
                                          }
                                          if (entry.cancelled && !ended) {
                                              m_scheduler.onCancelStored(id, m_loop.now());
                                          }
                                      }
                                      scheduleRound();
                                  }));
                                  return;
                              }
                              m_changesReadUpTo = version;
                              for (const JobChange &change : changes) {
                                  if (change.admitted) {
                                      m_scheduler.onJobStored(*change.admitted, time());
                                  }
                                  if (change.cancelled) {
                                      m_scheduler.onCancelStored(*change.cancelled, m_loop.now());
                                  }
                              }
                              if (!changes.empty()) {
                                  scheduleRound();
                              }
                          }));
}

void LeaderController::runSchedulingRound()
{
    if (!m_active || !m_leadership.maySendOrders(m_loop.now())) {
        return;
    }
    m_scheduler.onLeadershipRenewed(m_leadership.renewedAt());
    ++m_rounds;
    executeOrders(m_scheduler.tick(time()));
    storeProgress();
    if (m_scheduler.needsLeadershipRenewal()) {
        m_leadership.requestRenewal();
        m_onRenewalNeeded();
    }
}

void LeaderController::executeOrders(const CellOrders &orders)
{
    if (!orders.starts.empty() && !m_hasStartedTasks) {
        m_hasStartedTasks = true;
        logLine(LogComponent::Leader,
                LogLevel::Info,
                "starts its first task " + std::to_string((m_loop.now() - m_leadingSince).count()) + " ms after it began to lead");
    }
    for (const StartOrder &order : orders.starts) {
        m_workers.start(order, m_epoch, whileLeading([this, order](const OrderAnswer &answer) {
                            m_scheduler.onStartAnswer(order, answer, time());
                            scheduleRound();
                        }));
    }
    for (const StopOrder &order : orders.stops) {
        m_workers.stop(order, m_epoch, whileLeading([this, order](const OrderAnswer &answer) {
                           m_scheduler.onStopAnswer(order, answer, time());
                           scheduleRound();
                       }));
    }
    for (const HoldOrder &order : orders.holds) {
        const TimePoint sent = m_loop.now();
        m_workers.hold(order, m_epoch, whileLeading([this, order, sent](const std::optional<HoldReply> &holdReply) {
                           m_scheduler.onHoldAnswer(order, holdReply ? &*holdReply : nullptr, sent, time());
                           scheduleRound();
                       }));
    }
    for (const AdviceCall &call : orders.advice) {
        requestAdvice(call);
    }
    if (!orders.workersToStore.empty()) {
        m_storage.writeWorkers(m_epoch, orders.workersToStore, whileLeading([this, records = orders.workersToStore](bool stored) {
                                   m_scheduler.onWorkersStored(records, stored);
                                   scheduleRound();
                               }));
    }
}

void LeaderController::requestAdvice(const AdviceCall &call)
{
    const TimePoint sent = m_loop.now();
    const auto onAnswer = whileLeading([this, id = call.id, sent, expected = call.duration](const AdviceAnswer &answer) {
        ++m_adviceAnswers;
        m_adviceExtraDelay += m_loop.now() - sent - expected;
        m_scheduler.onAdvice(id, answer, sent, m_loop.now());
        scheduleRound();
    });
    const Duration timeout = call.duration + adviceTimeoutMargin;
    if (call.daemon == m_self.id) {
        m_advice.ask(call.step, call.workers, timeout, onAnswer);
        return;
    }
    const auto &members = m_leadership.knownMembers();
    const auto daemon = members.find(call.daemon);
    if (daemon == members.end()) {
        m_loop.defer([onAnswer] { onAnswer(AdviceAnswer{}); });
        return;
    }
    PeerMessaging::Envelope peerRequest;
    CellWire::AdviceOrder *order = peerRequest.mutable_advice_order();
    order->set_epoch(m_epoch.value());
    order->set_job(call.step.job.value());
    order->set_occurrence(static_cast<std::uint32_t>(call.step.occurrence));
    order->set_step(static_cast<std::uint32_t>(call.step.step));
    order->set_timeout_ms(timeout.count());
    for (const WorkerId &worker : call.workers) {
        order->add_workers(worker.value());
    }
    m_peers.sendRequest(daemon->second.peerAddress, std::move(peerRequest), timeout, [onAnswer](const PeerMessaging::Envelope *reply) {
        AdviceAnswer answer;
        if (reply != nullptr && reply->has_advice_result()) {
            const CellWire::AdviceResult &result = reply->advice_result();
            answer.answered = result.answered();
            answer.busy = result.busy();
            answer.validity = Duration(result.validity_ms());
            for (const CellWire::AdvisedWorker &worker : result.good()) {
                answer.allowed.emplace_back(WorkerId(worker.id()), worker.ticket());
            }
        }
        onAnswer(answer);
    });
}

void LeaderController::storeProgress()
{
    const TimePoint now = m_loop.now();
    if (m_progressInFlight >= maxProgressInFlight || !m_scheduler.isLoaded() || now < m_nextFinalStateWrite) {
        return;
    }
    // Final states are written every finalStateInterval, other progress only every progressInterval.
    const bool includeNonFinal = now >= m_nextProgressWrite;
    std::set<std::string> partitions;
    if (!includeNonFinal) {
        for (const JobId &id : m_scheduler.jobsWithUnstoredFinalState()) {
            partitions.insert(m_storage.partitionOf(id));
        }
        if (partitions.empty()) {
            return;
        }
    }
    // A transaction for final states also includes other progress of the same partition.
    const std::vector<ProgressWrite> writes =
        m_scheduler.takeProgress(maxProgressBatch, [&](const JobId &id) { return includeNonFinal || partitions.count(m_storage.partitionOf(id)) > 0; });
    m_nextFinalStateWrite = now + m_settings.finalStateInterval;
    m_nextProgressWrite = includeNonFinal ? now + m_settings.progressInterval : m_nextProgressWrite;
    if (writes.empty()) {
        return;
    }
    m_progressInFlight += static_cast<int>(writes.size());
    m_storage.writeProgress(writes, time().unixMs, whileLeading([this](const ProgressWrite &write, bool stored, CellJobState existingFinalState) {
                                --m_progressInFlight;
                                if (isFinal(existingFinalState)) {
                                    m_scheduler.onAlreadyFinal(write.job, existingFinalState, m_loop.now());
                                } else if (stored) {
                                    m_scheduler.onProgressStored(write.job, write.revision);
                                } else {
                                    m_scheduler.onProgressFailed(write.job);
                                }
                                scheduleRound();
                            }));
}

PeerMessaging::Envelope LeaderController::handleRequest(const PeerMessaging::Envelope &peerRequest)
{
    PeerMessaging::Envelope reply;
    const bool loaded = isLoaded();
    if (peerRequest.has_submit_job()) {
        const auto job = fromWire(peerRequest.submit_job().job());
        CellWire::SubmitReply *submit = reply.mutable_submit_reply();
        if (loaded && job) {
            const AdmissionDecision decision = m_scheduler.submit(*job, time());
            submit->set_retry_after_ms(decision.retryAfter.count());
            switch (decision.verdict) {
            case AdmissionVerdict::Admitted:
                submit->set_admission(CellWire::ADMITTED);
                break;
            case AdmissionVerdict::Known:
                submit->set_admission(decision.stored ? CellWire::ALREADY_STORED : CellWire::ADMITTED);
                break;
            case AdmissionVerdict::Busy:
                submit->set_admission(CellWire::REFUSED_BUSY);
                break;
            case AdmissionVerdict::OverRate:
                submit->set_admission(CellWire::REFUSED_LIMIT);
                break;
            }
        }
    } else if (peerRequest.has_state_query()) {
        const JobId id(peerRequest.state_query().job());
        const CellJobState state = loaded ? m_scheduler.state(id) : CellJobState::Unknown;
        reply.mutable_state_reply()->set_state(toWire(state));
        reply.mutable_state_reply()->set_workspace(state == CellJobState::Unknown ? std::string() : m_scheduler.workspaceOf(id).value());
    } else if (peerRequest.has_job_stored()) {
        const CellWire::JobRow &row = peerRequest.job_stored().job();
        // A notice contains only the job's ID at first, and the whole job when it is resent.
        const auto job = row.steps_size() > 0 ? fromWire(row) : std::nullopt;
        if (loaded && job) {
            m_scheduler.onJobStored(*job, time());
            reply.mutable_acknowledgement();
        } else if (loaded && m_scheduler.onKnownJobStored(JobId(row.id()), m_loop.now())) {
            reply.mutable_acknowledgement();
        }
    } else if (peerRequest.has_cancel_notice()) {
        if (loaded) {
            m_scheduler.onCancelStored(JobId(peerRequest.cancel_notice().job()), m_loop.now());
            reply.mutable_acknowledgement();
        }
    } else if (peerRequest.has_job_dropped()) {
        m_scheduler.onJobDropped(JobId(peerRequest.job_dropped().id()));
        reply.mutable_acknowledgement();
    }
    scheduleRound();
    return reply;
}

} // namespace KingCupLadder
