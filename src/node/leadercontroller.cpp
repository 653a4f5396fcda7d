// The leader's I/O around CellScheduler.
#include "leadercontroller.h"

#include "daemon/log.h"
#include "rowcodec.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace KingCupLadder {

namespace {

constexpr Duration wakeDelay{4}; // Events that come together are decided on together.
constexpr std::size_t mostProgress = 60; // Jobs in one round of writes.
constexpr int mostProgressOpen = 120; // Jobs whose progress is being written.
constexpr Duration storeTimeout{1000};
constexpr Duration lapseMargin{300}; // Beyond the longest lease of an earlier leader, for timers and drift.
constexpr std::size_t carriedFrom = 100; // Workers; the calls to fewer take less of a processor than messages about them would add delay.
constexpr std::size_t mostCarriers = 4; // Enough for a few hundred workers; more would make the messages smaller and more.
constexpr double carrierPower = 0.75; // Of the strongest member's processor.
constexpr Duration carrierSilence{700}; // Members answer five beats a second.
constexpr Duration loadLineInterval{1000};
constexpr Duration adviceSlack{1200}; // A lane may handle another call first.

void logDecision(const std::string &line)
{
    logLine(LogPart::Scheduler, LogLevel::Info, line);
}

} // namespace

LeaderController::LeaderController(EventLoop &loop,
                                   const CellMember &self,
                                   const LeaderControllerSettings &settings,
                                   Leadership &leadership,
                                   CellStorage &rows,
                                   TableStore &store,
                                   const PlatformCodec &translation,
                                   RelayingWorkerGateway &workers,
                                   AdviceGateway &advice,
                                   PeerMessaging &peers,
                                   std::function<void()> onRenewalWanted)
    : m_loop(loop)
    , m_self(self)
    , m_settings(settings)
    , m_leadership(leadership)
    , m_rows(rows)
    , m_store(store)
    , m_translation(translation)
    , m_workers(workers)
    , m_advice(advice)
    , m_peers(peers)
    , m_onRenewalWanted(std::move(onRenewalWanted))
    , m_scheduler(settings.scheduler, logDecision)
{
    m_wake = EventWatch::timer(loop, [this] {
        m_wakeSet = false;
        decide();
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
    wake();
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

void LeaderController::wake()
{
    if (m_active && !m_wakeSet) {
        m_wakeSet = true;
        m_wake->start(wakeDelay);
    }
}

void LeaderController::tick()
{
    if (m_active && (!m_leadership.isLeader() || m_leadership.epoch() != m_epoch)) {
        end();
    }
    if (!m_active && m_leadership.isLeader() && m_leadership.maySendOrders(m_loop.now())) {
        begin();
    }
    if (!m_active) {
        return;
    }
    const TimePoint now = m_loop.now();
    if (!m_scheduler.isLoaded() && !m_loading && m_nextLoad <= now) {
        load();
    }
    if (!m_registryOpen && m_nextRegistry <= now) {
        pollRegistry();
    }
    if (m_scheduler.isLoaded() && !m_changesOpen && m_nextChanges <= now) {
        pollChanges();
    }
    chooseCarriers();
    std::vector<DaemonId> lanes{m_self.id};
    for (const CellMember &member : m_leadership.liveMembers(now)) {
        lanes.push_back(member.id);
    }
    m_scheduler.setAdviceDaemons(lanes);
    decide();
    logLoad();
}

void LeaderController::logLoad()
{
    const TimePoint now = m_loop.now();
    if (now < m_nextLoadLine || !m_scheduler.isLoaded()) {
        return;
    }
    m_nextLoadLine = now + loadLineInterval;
    const CellCounters counters = m_scheduler.counters();
    const CellCounters before = std::exchange(m_loggedCounters, counters);
    const auto meanDelay = m_adviceAnswers > 0 ? m_adviceDelay.count() / static_cast<std::int64_t>(m_adviceAnswers) : 0;
    logLine(LogPart::Leader,
            LogLevel::Info,
            "load: " + std::to_string(counters.starts - before.starts) + " starts, " + std::to_string(counters.succeeded - before.succeeded) + " successes, "
                + std::to_string(m_decisions) + " rounds, " + std::to_string(counters.holds - before.holds) + " renewals, "
                + std::to_string(counters.adviceCalls - before.adviceCalls) + " advice calls, mean delay " + std::to_string(meanDelay) + " ms, "
                + std::to_string(m_carriers.size()) + " carriers; " + m_scheduler.describeLoad(now));
    m_decisions = 0;
    m_adviceAnswers = 0;
    m_adviceDelay = Duration(0);
}

void LeaderController::chooseCarriers()
{
    std::vector<CellMember> chosen;
    if (m_scheduler.workers().all().size() >= carriedFrom) {
        std::vector<CellMember> candidates = m_leadership.membersHeardWithin(carrierSilence, m_loop.now());
        std::int64_t strongest = 0;
        for (const CellMember &member : candidates) {
            strongest = std::max(strongest, member.power.value());
        }
        const auto isWeak = [strongest](const CellMember &member) {
            return static_cast<double>(member.power.value()) < carrierPower * static_cast<double>(strongest);
        };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isWeak), candidates.end());
        // Those that carry calls now go on, so that connections to workers last.
        const auto isCarrier = [this](const CellMember &member) {
            return std::any_of(
                m_carriers.begin(), m_carriers.end(), [&member](const CellMember &carrier) { return carrier.peerAddress == member.peerAddress; });
        };
        std::sort(candidates.begin(), candidates.end(), [&isCarrier](const CellMember &a, const CellMember &b) {
            return std::make_tuple(!isCarrier(a), a.id) < std::make_tuple(!isCarrier(b), b.id);
        });
        candidates.resize(std::min(candidates.size(), mostCarriers));
        chosen = std::move(candidates);
    }
    m_carriers = std::move(chosen);
    m_workers.setRelays(m_carriers);
}

void LeaderController::begin()
{
    ++m_term;
    m_active = true;
    m_epoch = m_leadership.epoch();
    m_registryOpen = false;
    m_changesOpen = false;
    m_loading = false;
    m_progressOpen = 0;
    m_nextRegistry = TimePoint();
    m_nextChanges = TimePoint();
    m_nextProgress = TimePoint();
    m_nextFinals = TimePoint();
    m_nextLoad = TimePoint();
    const WorkerTableSettings &limits = m_settings.scheduler.workers;
    const auto longestLease = Duration(static_cast<std::int64_t>(static_cast<double>(limits.maxLease.count()) / (1 - limits.clockDrift)));
    m_scheduler.beginTerm(m_epoch, m_loop.now() + longestLease + lapseMargin);
    m_rows.resetVersions();
    logLine(LogPart::Leader, LogLevel::Info, "leads the cell in epoch " + std::to_string(m_epoch.value()));
}

void LeaderController::end()
{
    ++m_term;
    m_active = false;
    m_carriers.clear();
    m_workers.abandon();
    logLine(LogPart::Leader, LogLevel::Info, "no longer leads the cell; its epoch was " + std::to_string(m_epoch.value()));
}

void LeaderController::load()
{
    m_loading = true;
    m_rows.readWorkers(whileLeading([this](bool known, const std::vector<WorkerId> &ids) {
        if (!known) {
            m_loading = false;
            m_nextLoad = m_loop.now() + m_settings.loadRetryInterval;
            return;
        }
        m_scheduler.addPreviousWorkers(ids);
        m_rows.loadAll(whileLeading([this](const std::optional<StoredJobs> &stored) {
            m_loading = false;
            if (!stored) {
                m_nextLoad = m_loop.now() + m_settings.loadRetryInterval;
                return;
            }
            const CellTime now = time();
            std::size_t open = 0;
            std::size_t former = 0;
            for (const auto &[id, entry] : stored->jobs) {
                if (entry.progress && isFinal(entry.progress->finalState)) {
                    m_scheduler.loadFinal(id, *entry.progress, now.now);
                } else if (entry.job) {
                    ++open;
                    const bool mayRun = entry.admitted < m_leadership.replacedVersion();
                    former += mayRun ? 1 : 0;
                    m_scheduler.load(*entry.job, entry.progress ? &*entry.progress : nullptr, entry.cancelled, mayRun, now);
                }
            }
            m_changesSeen = stored->version;
            m_scheduler.finishLoading(now.now);
            logLine(LogPart::Leader,
                    LogLevel::Info,
                    "loaded " + std::to_string(open) + " open jobs of " + std::to_string(stored->jobs.size()) + "; earlier leaders may have started "
                        + std::to_string(former));
            wake();
        }));
    }));
}

void LeaderController::pollRegistry()
{
    m_registryOpen = true;
    m_nextRegistry = m_loop.now() + m_settings.registryPollInterval;
    auto listed = std::make_shared<std::vector<WorkerInfo>>();
    auto readPage = std::make_shared<std::function<void(const std::string &)>>();
    *readPage = [this, listed, weak = std::weak_ptr<std::function<void(const std::string &)>>(readPage)](const std::string &from) {
        const auto self = weak.lock();
        m_store.read(RangeRead{m_translation.workerTable, {}, from, {}, 500}, storeTimeout, whileLeading([this, listed, self](const StoreAnswer &answer) {
                         if (answer.outcome != StoreOutcome::Done) {
                             m_registryOpen = false;
                             return;
                         }
                         for (const TableRow &row : answer.rows) {
                             if (auto info = m_translation.decodeWorker(row.key.key, row.value)) {
                                 listed->push_back(std::move(*info));
                             }
                         }
                         if (answer.truncated && !answer.rows.empty()) {
                             (*self)(answer.rows.back().key.key + '\0');
                             return;
                         }
                         m_registryOpen = false;
                         m_scheduler.onRegistry(*listed, time());
                         wake();
                     }));
    };
    (*readPage)(std::string());
}

void LeaderController::pollChanges()
{
    m_changesOpen = true;
    m_nextChanges = m_loop.now() + m_settings.changePollInterval;
    m_rows.readChanges(m_changesSeen, whileLeading([this](bool historyGone, const std::vector<JobChange> &changes, RowVersion version) {
                           m_changesOpen = false;
                           if (historyGone) {
                               // The rows themselves are complete; whatever is known already is left as it is.
                               m_changesOpen = true;
                               m_rows.loadAll(whileLeading([this](const std::optional<StoredJobs> &stored) {
                                   m_changesOpen = false;
                                   if (!stored) {
                                       return;
                                   }
                                   m_changesSeen = stored->version;
                                   for (const auto &[id, entry] : stored->jobs) {
                                       const bool ended = entry.progress && isFinal(entry.progress->finalState);
                                       if (entry.job && !ended) {
                                           m_scheduler.onJobStored(*entry.job, time());
                                       }
                                       if (entry.cancelled && !ended) {
                                           m_scheduler.onCancelStored(id, m_loop.now());
                                       }
                                   }
                                   wake();
                               }));
                               return;
                           }
                           m_changesSeen = version;
                           for (const JobChange &change : changes) {
                               if (change.admitted) {
                                   m_scheduler.onJobStored(*change.admitted, time());
                               }
                               if (change.cancelled) {
                                   m_scheduler.onCancelStored(*change.cancelled, m_loop.now());
                               }
                           }
                           if (!changes.empty()) {
                               wake();
                           }
                       }));
}

void LeaderController::decide()
{
    if (!m_active || !m_leadership.maySendOrders(m_loop.now())) {
        return;
    }
    m_scheduler.onLeaseRenewed(m_leadership.renewedAt());
    ++m_decisions;
    carryOut(m_scheduler.tick(time()));
    storeProgress();
    if (m_scheduler.wantsRenewal()) {
        m_leadership.requestRenewal();
        m_onRenewalWanted();
    }
}

void LeaderController::carryOut(const CellOrders &orders)
{
    for (const StartOrder &order : orders.starts) {
        m_workers.start(order, m_epoch, whileLeading([this, order](const OrderAnswer &answer) {
                            m_scheduler.onStartAnswer(order, answer, time());
                            wake();
                        }));
    }
    for (const StopOrder &order : orders.stops) {
        m_workers.stop(order, m_epoch, whileLeading([this, order](const OrderAnswer &answer) {
                           m_scheduler.onStopAnswer(order, answer, time());
                           wake();
                       }));
    }
    for (const HoldOrder &order : orders.holds) {
        const TimePoint sent = m_loop.now();
        m_workers.hold(order, m_epoch, whileLeading([this, order, sent](const std::optional<HoldReply> &view) {
                           m_scheduler.onHoldAnswer(order, view ? &*view : nullptr, sent, time());
                           wake();
                       }));
    }
    for (const AdviceCall &call : orders.advice) {
        sendAdvice(call);
    }
    if (!orders.workersToStore.empty()) {
        m_rows.writeWorkers(m_epoch, orders.workersToStore, whileLeading([this, ids = orders.workersToStore](bool stored) {
                                m_scheduler.onWorkersStored(stored ? ids : std::vector<WorkerId>{});
                                wake();
                            }));
    }
}

void LeaderController::sendAdvice(const AdviceCall &call)
{
    const TimePoint sent = m_loop.now();
    const auto done = whileLeading([this, id = call.id, sent, expected = call.duration](const AdviceAnswer &answer) {
        ++m_adviceAnswers;
        m_adviceDelay += m_loop.now() - sent - expected;
        m_scheduler.onAdvice(id, answer, sent, m_loop.now());
        wake();
    });
    const Duration timeout = call.duration + adviceSlack;
    if (call.lane == m_self.id) {
        m_advice.ask(call.step, call.workers, timeout, done);
        return;
    }
    const auto &members = m_leadership.knownMembers();
    const auto lane = members.find(call.lane);
    if (lane == members.end()) {
        m_loop.defer([done] { done(AdviceAnswer{}); });
        return;
    }
    PeerMessaging::Envelope question;
    CellWire::AdviceOrder *order = question.mutable_advice_order();
    order->set_epoch(m_epoch.value());
    order->set_job(call.step.job.value());
    order->set_occurrence(static_cast<std::uint32_t>(call.step.occurrence));
    order->set_step(static_cast<std::uint32_t>(call.step.step));
    order->set_timeout_ms(timeout.count());
    for (const WorkerId &worker : call.workers) {
        order->add_workers(worker.value());
    }
    m_peers.ask(lane->second.peerAddress, std::move(question), timeout, [done](const PeerMessaging::Envelope *reply) {
        AdviceAnswer answer;
        if (reply != nullptr && reply->has_advice_result()) {
            const CellWire::AdviceResult &result = reply->advice_result();
            answer.answered = result.answered();
            answer.busy = result.busy();
            answer.validity = Duration(result.validity_ms());
            for (const CellWire::AdvisedWorker &worker : result.good()) {
                answer.good.emplace_back(WorkerId(worker.id()), worker.ticket());
            }
        }
        done(answer);
    });
}

void LeaderController::storeProgress()
{
    const TimePoint now = m_loop.now();
    if (m_progressOpen >= mostProgressOpen || !m_scheduler.isLoaded() || now < m_nextFinals) {
        return;
    }
    const bool all = now >= m_nextProgress;
    std::set<std::string> parts;
    if (!all) {
        for (const JobId &id : m_scheduler.finalProgress()) {
            parts.insert(m_rows.partitionOf(id));
        }
        if (parts.empty()) {
            return;
        }
    }
    // A transaction for final states takes along the other progress of its part.
    const std::vector<ProgressWrite> writes =
        m_scheduler.takeProgress(mostProgress, [&](const JobId &id) { return all || parts.count(m_rows.partitionOf(id)) > 0; });
    m_nextFinals = now + m_settings.finalStateInterval;
    m_nextProgress = all ? now + m_settings.progressInterval : m_nextProgress;
    if (writes.empty()) {
        return;
    }
    m_progressOpen += static_cast<int>(writes.size());
    m_rows.writeProgress(writes, time().unixMs, whileLeading([this](const ProgressWrite &write, bool stored, CellJobState foundFinal) {
                             --m_progressOpen;
                             if (isFinal(foundFinal)) {
                                 m_scheduler.onAlreadyFinal(write.job, foundFinal, m_loop.now());
                             } else if (stored) {
                                 m_scheduler.onProgressStored(write.job, write.revision);
                             } else {
                                 m_scheduler.onProgressFailed(write.job);
                             }
                             wake();
                         }));
}

PeerMessaging::Envelope LeaderController::answer(const PeerMessaging::Envelope &question)
{
    PeerMessaging::Envelope reply;
    const bool loaded = isLoaded();
    if (question.has_submit_job()) {
        const auto job = fromWire(question.submit_job().job());
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
    } else if (question.has_state_query()) {
        const JobId id(question.state_query().job());
        const CellJobState state = loaded ? m_scheduler.state(id) : CellJobState::Unknown;
        reply.mutable_state_reply()->set_state(toWire(state));
        reply.mutable_state_reply()->set_workspace(state == CellJobState::Unknown ? std::string() : m_scheduler.workspaceOf(id).value());
    } else if (question.has_job_stored()) {
        const CellWire::JobRow &row = question.job_stored().job();
        const auto job = row.steps_size() > 0 ? fromWire(row) : std::nullopt;
        if (loaded && job) {
            m_scheduler.onJobStored(*job, time());
            reply.mutable_acknowledgement();
        } else if (loaded && m_scheduler.onKnownJobStored(JobId(row.id()), m_loop.now())) {
            reply.mutable_acknowledgement();
        }
    } else if (question.has_cancel_notice()) {
        if (loaded) {
            m_scheduler.onCancelStored(JobId(question.cancel_notice().job()), m_loop.now());
            reply.mutable_acknowledgement();
        }
    } else if (question.has_job_dropped()) {
        m_scheduler.onJobDropped(JobId(question.job_dropped().id()));
        reply.mutable_acknowledgement();
    }
    wake();
    return reply;
}

} // namespace KingCupLadder
