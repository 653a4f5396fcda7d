// Tries the shards in rounds for each waiting request.
#include "grantclient.h"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr int maxAttemptsPerTick = 2000; // Bounds the run time of tick() while many requests wait.

} // namespace

class GrantClient::Private
{
public:
    struct PendingRequest {
        OpId caller;
        GrantSpec spec;
        TimePoint received{};
        TimePoint deadline{};
        TimePoint nextRound{};
        /// Shards to try in this round, from the last element; the shard asked stays there until its owner has replied or timed out.
        std::vector<GrantCandidate> remaining;
        OpId inFlightOp; ///< The message in flight; 0: none.
        DaemonId inFlightOwner;
        TimePoint sentAt{};
        Error lastError;
    };

    /// A message in flight whose request was abandoned or timed out. If a grant still arrives, it is released. The entry is
    /// dropped after the term and the reply timeout; a grant that arrives later expires at the owner.
    struct AbandonedMessage {
        ShardId shard;
        TimePoint until{};
    };

    GrantSettings settings;
    GrantHooks hooks;
    std::mt19937_64 random;
    std::vector<GrantOutput> outputs;
    std::map<OpId, PendingRequest> requests; ///< By the caller's operation id, which is the order of arrival.
    std::unordered_map<OpId, OpId> callersByOp; ///< Message in flight -> the caller's operation id.
    std::unordered_map<OpId, AbandonedMessage> abandonedMessages;
    std::unordered_map<DaemonId, TimePoint> unresponsiveUntil; ///< Owners that did not reply recently.

    void beginRound(PendingRequest &request, TimePoint now);
    /// Returns whether the request has been answered.
    bool tryRemainingShards(PendingRequest &request, TimePoint now);
    void answerWithGrant(const PendingRequest &request, const Grant &grant, TimePoint now);
    void answerWithTimeout(const PendingRequest &request);
    void abandonRequest(PendingRequest &request, TimePoint now);
    /// Returns a random duration between half and one and a half times @p span.
    [[nodiscard]] Duration jittered(Duration span);
    [[nodiscard]] bool isUnresponsive(const DaemonId &owner, TimePoint now) const;
    void checkTimeouts(PendingRequest &request, TimePoint now);
};

Duration GrantClient::Private::jittered(Duration span)
{
    std::uniform_int_distribution<std::int64_t> spread(span.count() / 2, span.count() + span.count() / 2);
    return Duration(spread(random));
}

bool GrantClient::Private::isUnresponsive(const DaemonId &owner, TimePoint now) const
{
    const auto found = unresponsiveUntil.find(owner);
    return found != unresponsiveUntil.end() && now < found->second;
}

void GrantClient::Private::beginRound(PendingRequest &request, TimePoint now)
{
    request.remaining = hooks.findCandidates(request.spec.pool, now);
    std::stable_partition(request.remaining.begin(), request.remaining.end(), [&](const GrantCandidate &candidate) {
        return candidate.ownedLocally || !isUnresponsive(candidate.owner, now);
    });
    std::reverse(request.remaining.begin(), request.remaining.end());
    request.nextRound = now + jittered(settings.retryInterval);
}

void GrantClient::Private::answerWithGrant(const PendingRequest &request, const Grant &grant, TimePoint now)
{
    Grant shortened = grant;
    const Duration remainingTerm = std::chrono::duration_cast<Duration>(request.deadline - now);
    shortened.term = std::min(shortened.term, remainingTerm);
    CallerAnswer answer;
    answer.op = request.caller;
    answer.body = shortened;
    outputs.emplace_back(std::move(answer));
}

void GrantClient::Private::answerWithTimeout(const PendingRequest &request)
{
    CallerAnswer answer;
    answer.op = request.caller;
    answer.error = request.lastError;
    if (answer.error.kind == ErrorKind::None) {
        answer.error = Error{ErrorKind::Unavailable, "no shard owner of pool " + request.spec.pool.value() + " answered in time", "try again later"};
    }
    answer.ran = ExecutionStatus::NotRun;
    answer.retryAfter = Duration(1000);
    outputs.emplace_back(std::move(answer));
}

void GrantClient::Private::abandonRequest(PendingRequest &request, TimePoint now)
{
    if (request.inFlightOp.value() == 0) {
        return;
    }
    const ShardId shard = request.remaining.empty() ? ShardId() : request.remaining.back().shard;
    abandonedMessages[request.inFlightOp] = AbandonedMessage{shard, now + request.spec.term + settings.replyTimeout};
    callersByOp.erase(request.inFlightOp);
    request.inFlightOp = OpId();
}

bool GrantClient::Private::tryRemainingShards(PendingRequest &request, TimePoint now)
{
    while (!request.remaining.empty()) {
        const GrantCandidate candidate = request.remaining.back();
        GrantSpec remainingSpec = request.spec;
        remainingSpec.term = std::chrono::duration_cast<Duration>(request.deadline - now);
        if (!candidate.ownedLocally) {
            request.inFlightOp = hooks.nextOp();
            request.inFlightOwner = candidate.owner;
            request.sentAt = now;
            callersByOp[request.inFlightOp] = request.caller;
            outputs.emplace_back(SendGrantRequest{candidate.owner, GrantRequest{request.inFlightOp, candidate.shard, remainingSpec}});
            return false;
        }
        request.remaining.pop_back();
        const Result<Grant> grant = hooks.grantLocally(candidate.shard, remainingSpec, now);
        if (grant) {
            answerWithGrant(request, grant.value(), now);
            return true;
        }
        request.lastError = grant.reason();
    }
    return false;
}

void GrantClient::Private::checkTimeouts(PendingRequest &request, TimePoint now)
{
    if (request.inFlightOp.value() != 0 && now - request.sentAt >= settings.replyTimeout) {
        unresponsiveUntil[request.inFlightOwner] = now + settings.unresponsiveOwnerBackoff;
        abandonRequest(request, now);
        request.remaining.pop_back();
    }
}

GrantClient::GrantClient(const GrantSettings &settings, GrantHooks hooks) : d(std::make_unique<Private>())
{
    d->settings = settings;
    d->hooks = std::move(hooks);
    d->random.seed(settings.seed);
}

GrantClient::~GrantClient() = default;

void GrantClient::acquire(OpId caller, const GrantSpec &spec, TimePoint now)
{
    if (d->requests.size() >= d->settings.maxWaiting) {
        CallerAnswer answer;
        answer.op = caller;
        answer.error = Error{ErrorKind::LimitReached, "too many requests are waiting at this daemon", "try again later or add workers to the pool"};
        answer.retryAfter = Duration(1000);
        d->outputs.emplace_back(std::move(answer));
        return;
    }
    Private::PendingRequest entry;
    entry.caller = caller;
    entry.spec = spec;
    entry.received = now;
    entry.deadline = now + spec.term;
    d->beginRound(entry, now);
    if (!d->tryRemainingShards(entry, now)) {
        d->requests.emplace(caller, std::move(entry));
    }
}

void GrantClient::abandon(OpId caller, TimePoint now)
{
    const auto found = d->requests.find(caller);
    if (found == d->requests.end()) {
        return;
    }
    d->abandonRequest(found->second, now);
    d->requests.erase(found);
}

void GrantClient::onReply(const DaemonId &from, const GrantReply &reply, TimePoint now)
{
    const auto inFlight = d->callersByOp.find(reply.op);
    if (inFlight == d->callersByOp.end()) {
        const bool wasAbandoned = d->abandonedMessages.erase(reply.op) > 0;
        if (wasAbandoned && reply.grant) {
            d->outputs.emplace_back(SendGrantRelease{from, GrantRelease{reply.grant->shard, reply.grant->id, GrantOutcome::Unused}});
        }
        return;
    }
    const auto found = d->requests.find(inFlight->second);
    d->callersByOp.erase(inFlight);
    Private::PendingRequest &request = found->second;
    request.inFlightOp = OpId();
    request.remaining.pop_back();
    if (reply.grant) {
        // The term began when the message was sent, so the time until the reply is subtracted.
        Grant grant = *reply.grant;
        grant.term -= std::chrono::duration_cast<Duration>(now - request.sentAt);
        d->answerWithGrant(request, grant, now);
        d->requests.erase(found);
        return;
    }
    request.lastError = reply.error;
    if (d->tryRemainingShards(request, now)) {
        d->requests.erase(found);
    }
}

void GrantClient::tick(TimePoint now)
{
    int attempts = 0;
    for (auto it = d->requests.begin(); it != d->requests.end() && attempts < maxAttemptsPerTick;) {
        Private::PendingRequest &request = it->second;
        if (now >= request.deadline) {
            d->abandonRequest(request, now);
            d->answerWithTimeout(request);
            it = d->requests.erase(it);
            continue;
        }
        d->checkTimeouts(request, now);
        if (request.inFlightOp.value() != 0 || (request.remaining.empty() && now < request.nextRound)) {
            ++it;
            continue;
        }
        if (request.remaining.empty()) {
            d->beginRound(request, now);
        }
        ++attempts;
        it = d->tryRemainingShards(request, now) ? d->requests.erase(it) : std::next(it);
    }
    for (auto it = d->abandonedMessages.begin(); it != d->abandonedMessages.end();) {
        it = now >= it->second.until ? d->abandonedMessages.erase(it) : std::next(it);
    }
}

std::vector<GrantOutput> GrantClient::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

std::size_t GrantClient::waiting() const
{
    return d->requests.size();
}

Resources GrantClient::waitingDemand(const TeamId &team, const PoolName &pool) const
{
    Resources sum;
    for (const auto &[caller, request] : d->requests) {
        if (request.spec.team == team && request.spec.pool == pool) {
            sum += request.spec.demand;
        }
    }
    return sum;
}

} // namespace KingCupLadder
