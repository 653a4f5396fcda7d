// Rounds over the shards for each waiting wish.
#include "grantclient.h"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace KingCupLadder {

namespace {

constexpr int attemptsPerTick = 2000; // Bounds the work of one tick while many wishes wait.

} // namespace

class GrantClient::Private
{
public:
    struct Wish {
        OpId caller;
        GrantWish wish;
        TimePoint received{};
        TimePoint deadline{};
        TimePoint nextRound{};
        std::vector<GrantCandidate> remaining; ///< Shards not tried in this round, the next one last.
        OpId asked; ///< Request in flight; 0: none.
        DaemonId askedOwner;
        TimePoint askedAt{};
        Error lastError;
    };

    /// A request whose wish has ended; its grant is returned if it still comes.
    struct Orphan {
        ShardId shard;
        TimePoint until{};
    };

    GrantSettings settings;
    GrantHooks hooks;
    std::mt19937_64 random;
    std::vector<GrantOutput> outputs;
    std::map<OpId, Wish> wishes; ///< By the caller's number, so in the order of arrival.
    std::unordered_map<OpId, OpId> asked; ///< Request in flight -> caller's number.
    std::unordered_map<OpId, Orphan> orphans;
    std::unordered_map<DaemonId, TimePoint> silentUntil; ///< Owners that did not answer lately.

    void beginRound(Wish &wish, TimePoint now);
    /// True if the wish has ended.
    bool proceed(Wish &wish, TimePoint now);
    void answerGrant(const Wish &wish, const Grant &grant, TimePoint now);
    void answerTimeout(const Wish &wish);
    void dropRequest(Wish &wish, TimePoint now);
    [[nodiscard]] Duration jittered(Duration span);
    [[nodiscard]] bool isSilent(const DaemonId &owner, TimePoint now) const;
    void checkTimeouts(Wish &wish, TimePoint now);
};

Duration GrantClient::Private::jittered(Duration span)
{
    std::uniform_int_distribution<std::int64_t> spread(span.count() / 2, span.count() + span.count() / 2);
    return Duration(spread(random));
}

bool GrantClient::Private::isSilent(const DaemonId &owner, TimePoint now) const
{
    const auto found = silentUntil.find(owner);
    return found != silentUntil.end() && now < found->second;
}

void GrantClient::Private::beginRound(Wish &wish, TimePoint now)
{
    wish.remaining = hooks.sources(wish.wish.pool, now);
    std::stable_partition(
        wish.remaining.begin(), wish.remaining.end(), [&](const GrantCandidate &source) { return source.ownedLocally || !isSilent(source.owner, now); });
    std::reverse(wish.remaining.begin(), wish.remaining.end());
    wish.nextRound = now + jittered(settings.retryInterval);
}

void GrantClient::Private::answerGrant(const Wish &wish, const Grant &grant, TimePoint now)
{
    Grant given = grant;
    const Duration left = std::chrono::duration_cast<Duration>(wish.deadline - now);
    given.term = std::min(given.term, left);
    CallerAnswer answer;
    answer.op = wish.caller;
    answer.body = given;
    outputs.emplace_back(std::move(answer));
}

void GrantClient::Private::answerTimeout(const Wish &wish)
{
    CallerAnswer answer;
    answer.op = wish.caller;
    answer.error = wish.lastError;
    if (answer.error.kind == ErrorKind::None) {
        answer.error = Error{ErrorKind::Unavailable, "no owner of a shard of pool " + wish.wish.pool.value() + " answered in time", "try again later"};
    }
    answer.ran = ExecutionStatus::NotRun;
    answer.retryAfter = Duration(1000);
    outputs.emplace_back(std::move(answer));
}

void GrantClient::Private::dropRequest(Wish &wish, TimePoint now)
{
    if (wish.asked.value() == 0) {
        return;
    }
    const ShardId shard = wish.remaining.empty() ? ShardId() : wish.remaining.back().shard;
    orphans[wish.asked] = Orphan{shard, now + wish.wish.term + settings.answerTimeout};
    asked.erase(wish.asked);
    wish.asked = OpId();
}

bool GrantClient::Private::proceed(Wish &wish, TimePoint now)
{
    while (!wish.remaining.empty()) {
        const GrantCandidate source = wish.remaining.back();
        GrantWish offered = wish.wish;
        offered.term = std::chrono::duration_cast<Duration>(wish.deadline - now);
        if (!source.ownedLocally) {
            wish.asked = hooks.nextOp();
            wish.askedOwner = source.owner;
            wish.askedAt = now;
            asked[wish.asked] = wish.caller;
            outputs.emplace_back(SendGrantRequest{source.owner, GrantRequest{wish.asked, source.shard, offered}});
            return false;
        }
        wish.remaining.pop_back();
        const Result<Grant> grant = hooks.grantLocally(source.shard, offered, now);
        if (grant) {
            answerGrant(wish, grant.value(), now);
            return true;
        }
        wish.lastError = grant.reason();
    }
    return false;
}

void GrantClient::Private::checkTimeouts(Wish &wish, TimePoint now)
{
    if (wish.asked.value() != 0 && now - wish.askedAt >= settings.answerTimeout) {
        silentUntil[wish.askedOwner] = now + settings.unresponsiveOwnerBackoff;
        dropRequest(wish, now);
        wish.remaining.pop_back();
    }
}

GrantClient::GrantClient(const GrantSettings &settings, GrantHooks hooks) : d(std::make_unique<Private>())
{
    d->settings = settings;
    d->hooks = std::move(hooks);
    d->random.seed(settings.seed);
}

GrantClient::~GrantClient() = default;

void GrantClient::acquire(OpId caller, const GrantWish &wish, TimePoint now)
{
    if (d->wishes.size() >= d->settings.maxWaiting) {
        CallerAnswer answer;
        answer.op = caller;
        answer.error = Error{ErrorKind::LimitReached, "too many requests wait at this daemon", "try again later or add workers to the pool"};
        answer.retryAfter = Duration(1000);
        d->outputs.emplace_back(std::move(answer));
        return;
    }
    Private::Wish entry;
    entry.caller = caller;
    entry.wish = wish;
    entry.received = now;
    entry.deadline = now + wish.term;
    d->beginRound(entry, now);
    if (!d->proceed(entry, now)) {
        d->wishes.emplace(caller, std::move(entry));
    }
}

void GrantClient::abandon(OpId caller, TimePoint now)
{
    const auto found = d->wishes.find(caller);
    if (found == d->wishes.end()) {
        return;
    }
    d->dropRequest(found->second, now);
    d->wishes.erase(found);
}

void GrantClient::onReply(const DaemonId &from, const GrantReply &reply, TimePoint now)
{
    const auto inFlight = d->asked.find(reply.op);
    if (inFlight == d->asked.end()) {
        const bool orphaned = d->orphans.erase(reply.op) > 0;
        if (orphaned && reply.grant) {
            d->outputs.emplace_back(ReturnGrant{from, GrantRelease{reply.grant->shard, reply.grant->id, GrantOutcome::Unused}});
        }
        return;
    }
    const auto found = d->wishes.find(inFlight->second);
    d->asked.erase(inFlight);
    Private::Wish &wish = found->second;
    wish.asked = OpId();
    wish.remaining.pop_back();
    if (reply.grant) {
        // The term counts from the sending of the wish, so the time that the answer took is taken off.
        Grant grant = *reply.grant;
        grant.term -= std::chrono::duration_cast<Duration>(now - wish.askedAt);
        d->answerGrant(wish, grant, now);
        d->wishes.erase(found);
        return;
    }
    wish.lastError = reply.error;
    if (d->proceed(wish, now)) {
        d->wishes.erase(found);
    }
}

void GrantClient::tick(TimePoint now)
{
    int attempts = 0;
    for (auto it = d->wishes.begin(); it != d->wishes.end() && attempts < attemptsPerTick;) {
        Private::Wish &wish = it->second;
        if (now >= wish.deadline) {
            d->dropRequest(wish, now);
            d->answerTimeout(wish);
            it = d->wishes.erase(it);
            continue;
        }
        d->checkTimeouts(wish, now);
        if (wish.asked.value() != 0 || (wish.remaining.empty() && now < wish.nextRound)) {
            ++it;
            continue;
        }
        if (wish.remaining.empty()) {
            d->beginRound(wish, now);
        }
        ++attempts;
        it = d->proceed(wish, now) ? d->wishes.erase(it) : std::next(it);
    }
    for (auto it = d->orphans.begin(); it != d->orphans.end();) {
        it = now >= it->second.until ? d->orphans.erase(it) : std::next(it);
    }
}

std::vector<GrantOutput> GrantClient::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

std::size_t GrantClient::waiting() const
{
    return d->wishes.size();
}

Resources GrantClient::waitingDemand(const TeamId &team, const PoolName &pool) const
{
    Resources sum;
    for (const auto &[caller, wish] : d->wishes) {
        if (wish.wish.team == team && wish.wish.pool == pool) {
            sum += wish.wish.demand;
        }
    }
    return sum;
}

} // namespace KingCupLadder
