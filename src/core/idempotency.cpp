// Claims as small state machines: one per claim() or finish() call that is not settled.
#include "idempotency.h"

#include "backoff.h"

#include <nlohmann/json.hpp>

#include <map>
#include <unordered_map>

namespace KingCupLadder {

namespace {

const char *const claimTable = "claims";

Error unavailable()
{
    return Error{ErrorKind::Unavailable, "the store did not confirm the idempotency key in time", "send the request again with the same key"};
}

Error keyConflict()
{
    return Error{ErrorKind::Conflict, "the idempotency key belongs to another request", "use a new key for a different request"};
}

Error notHeld()
{
    return Error{ErrorKind::NotFound, "this daemon does not hold the claim", "claim the key before finishing it"};
}

Error overwritten()
{
    return Error{ErrorKind::Conflict, "the claim was changed by another daemon", "read the claim to learn its outcome"};
}

} // namespace

std::string ClaimRow::toJson() const
{
    const nlohmann::json json{{"fingerprint", fingerprint}, {"holder", holder}, {"nonce", nonce}, {"outcome", outcome}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<ClaimRow> ClaimRow::fromJson(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        return ClaimRow{json.at("fingerprint").get<std::string>(),
                        json.at("holder").get<std::string>(),
                        json.at("nonce").get<std::string>(),
                        json.at("outcome").get<std::string>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string claimRowKey(const TeamId &team, const std::string &key)
{
    std::string escaped;
    for (char c : team.value()) {
        if (c == '/') {
            escaped += "%2F";
        } else if (c == '%') {
            escaped += "%25";
        } else {
            escaped += c;
        }
    }
    return escaped + "/" + key;
}

class Claims::Private
{
public:
    Private(const ClaimSettings &claimSettings, NextOp next)
        : settings(claimSettings), nextOp(std::move(next)), pause(BackoffSettings{claimSettings.initialBackoff, claimSettings.maxBackoff}, claimSettings.seed)
    {
    }

    enum class Goal {
        Claim, ///< The row should carry this nonce.
        Record, ///< The row should carry the outcome.
        Remove, ///< The row should be absent.
    };

    struct Work {
        Goal goal = Goal::Claim;
        OpId caller;
        bool answered = false;
        std::string key; ///< Row key.
        ClaimRow row; ///< As it should be, or as it is before Remove.
        RowVersion version; ///< Of the row that Record and Remove change.
        TimePoint deadline{};
        TimePoint retryAt{};
        TimePoint sentAt{};
        OpId inFlight; ///< 0: none.
        bool reading = false; ///< The operation in flight, or the next one, is a read-back.
    };

    struct Held {
        ClaimRow row;
        RowVersion version;
        TimePoint since{};
    };

    void add(Work work, TimePoint now)
    {
        const std::uint64_t id = ++lastWork;
        send(id, works.emplace(id, std::move(work)).first->second, now);
    }

    void send(std::uint64_t id, Work &work, TimePoint now)
    {
        work.inFlight = nextOp();
        work.sentAt = now;
        byOp[work.inFlight] = id;
        if (work.reading) {
            outputs.emplace_back(StoreRead{work.inFlight, claimTable, {work.key}});
            return;
        }
        RowWrite write{RowWrite::Kind::Insert, claimTable, work.key, {}, work.row.toJson()};
        if (work.goal == Goal::Record) {
            write.kind = RowWrite::Kind::Update;
            write.version = work.version;
        } else if (work.goal == Goal::Remove) {
            write = RowWrite{RowWrite::Kind::Delete, claimTable, work.key, work.version, {}};
        }
        outputs.emplace_back(StoreTransact{work.inFlight, {write}});
    }

    void answer(Work &work, const Error &error, ExecutionStatus ran, CallerBody body)
    {
        if (!work.answered) {
            const Duration retryAfter = error.kind == ErrorKind::Unavailable ? settings.retryAfter : Duration(0);
            outputs.emplace_back(CallerAnswer{work.caller, error, ran, retryAfter, std::move(body)});
        }
        work.answered = true;
    }

    void handle(std::uint64_t id, const StoreReply &reply, TimePoint now)
    {
        Work &work = works.at(id);
        byOp.erase(work.inFlight);
        work.inFlight = OpId();
        if (reply.status == StoreStatus::Ok && !work.reading) {
            onWritten(id, work, reply.rows.empty() ? RowVersion() : reply.rows.front().version, now);
        } else if (reply.status == StoreStatus::Unknown || reply.rows.empty()) {
            onLost(id, work, now);
        } else {
            pause.reset();
            work.reading = false;
            onRow(id, work, reply.rows.front(), now);
        }
    }

    void onLost(std::uint64_t id, Work &work, TimePoint now)
    {
        if (!settings.readBackLostAnswers && work.goal == Goal::Claim) {
            answer(work, unavailable(), ExecutionStatus::NotRun, {});
            works.erase(id);
            return;
        }
        work.reading = true;
        work.retryAt = now + pause.next();
    }

    void onWritten(std::uint64_t id, Work &work, RowVersion version, TimePoint now)
    {
        pause.reset();
        if (work.goal == Goal::Claim) {
            claimed(id, work, version, now);
            return;
        }
        answer(work, {}, ExecutionStatus::Ran, {});
        works.erase(id);
    }

    /// The row in the store is known, by a read or because a condition failed.
    void onRow(std::uint64_t id, Work &work, const Row &row, TimePoint now)
    {
        const bool absent = row.version == RowVersion();
        const auto current = ClaimRow::fromJson(row.value);
        const bool ours = !absent && current && current->nonce == work.row.nonce;
        if (work.goal == Goal::Claim) {
            onRowForClaim(id, work, row, current, now);
            return;
        }
        if (ours && current->outcome.empty()) {
            // The nonce is unique, so this is the claimed row at whatever version; the write did not take effect.
            work.version = row.version;
            send(id, work, now);
            return;
        }
        const bool recorded = ours && current->outcome == work.row.outcome;
        const bool reached = work.goal == Goal::Remove ? !ours : recorded;
        answer(work, reached ? Error{} : overwritten(), work.goal == Goal::Record ? ExecutionStatus::Ran : ExecutionStatus::NotRun, {});
        works.erase(id);
    }

    void onRowForClaim(std::uint64_t id, Work &work, const Row &row, const std::optional<ClaimRow> &current, TimePoint now)
    {
        if (row.version == RowVersion()) {
            if (work.answered) {
                works.erase(id);
                return;
            }
            // An earlier insert may still arrive. Sending it again with the same nonce settles both: only one can succeed.
            send(id, work, now);
            return;
        }
        if (current && current->nonce == work.row.nonce) {
            claimed(id, work, row.version, now);
            return;
        }
        if (!current || current->fingerprint != work.row.fingerprint) {
            answer(work, keyConflict(), ExecutionStatus::NotRun, {});
        } else {
            answer(work, {}, ExecutionStatus::NotRun, ClaimState{false, current->outcome});
        }
        works.erase(id);
    }

    void claimed(std::uint64_t id, Work &work, RowVersion version, TimePoint now)
    {
        if (work.answered) {
            // The caller was told that the request is not sent, so the claim must not block the next try.
            work.goal = Goal::Remove;
            work.version = version;
            send(id, work, now);
            return;
        }
        held[work.key] = Held{work.row, version, now};
        answer(work, {}, ExecutionStatus::NotRun, ClaimState{true, {}});
        works.erase(id);
    }

    void expire(std::uint64_t id, TimePoint now)
    {
        Work &work = works.at(id);
        if (work.inFlight != OpId() && now - work.sentAt >= settings.operationTimeout) {
            handle(id, StoreReply{work.inFlight, StoreStatus::Unknown, {}}, now);
        }
        const auto found = works.find(id);
        if (found == works.end()) {
            return;
        }
        if (!found->second.answered && now >= found->second.deadline) {
            answer(found->second, unavailable(), found->second.goal == Goal::Record ? ExecutionStatus::Ran : ExecutionStatus::NotRun, {});
        }
        if (found->second.inFlight == OpId() && now >= found->second.retryAt) {
            send(id, found->second, now);
        }
    }

    void forgetHeld(TimePoint now)
    {
        if (now < nextForget) {
            return;
        }
        nextForget = now + settings.claimRetention / 10;
        for (auto entry = held.begin(); entry != held.end();) {
            entry = now - entry->second.since >= settings.claimRetention ? held.erase(entry) : std::next(entry);
        }
    }

    ClaimSettings settings;
    NextOp nextOp;
    Backoff pause;
    std::uint64_t lastWork = 0;
    std::map<std::uint64_t, Work> works; ///< In order of arrival.
    std::unordered_map<OpId, std::uint64_t> byOp; ///< Store operations in flight.
    std::unordered_map<std::string, Held> held; ///< Claims answered as "mine" and not finished, by row key.
    TimePoint nextForget{};
    std::vector<ClaimsOutput> outputs;
};

Claims::Claims(const ClaimSettings &settings, NextOp nextOp) : d(std::make_unique<Private>(settings, std::move(nextOp))) { }

Claims::~Claims() = default;

void Claims::claim(OpId op, const TeamId &team, const std::string &key, const std::string &fingerprint, TimePoint now)
{
    const std::string nonce = d->settings.holder.value() + "/" + std::to_string(d->settings.incarnation.value()) + "/" + std::to_string(op.value());
    Private::Work work;
    work.caller = op;
    work.key = claimRowKey(team, key);
    work.row = ClaimRow{fingerprint, d->settings.holder.value(), nonce, {}};
    work.deadline = now + d->settings.claimTimeout;
    d->add(std::move(work), now);
}

void Claims::finish(OpId op, const TeamId &team, const std::string &key, const std::string &outcome, TimePoint now)
{
    Private::Work work;
    work.caller = op;
    work.key = claimRowKey(team, key);
    work.deadline = now + d->settings.claimTimeout;
    const auto found = d->held.find(work.key);
    if (found == d->held.end()) {
        d->answer(work, notHeld(), ExecutionStatus::Unknown, {});
        return;
    }
    work.goal = outcome.empty() ? Private::Goal::Remove : Private::Goal::Record;
    work.row = found->second.row;
    work.row.outcome = outcome;
    work.version = found->second.version;
    d->held.erase(found);
    d->add(std::move(work), now);
}

bool Claims::onStoreReply(const StoreReply &reply, TimePoint now)
{
    const auto found = d->byOp.find(reply.op);
    if (found == d->byOp.end()) {
        return false;
    }
    d->handle(found->second, reply, now);
    return true;
}

void Claims::tick(TimePoint now)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(d->works.size());
    for (const auto &[id, work] : d->works) {
        ids.push_back(id);
    }
    for (std::uint64_t id : ids) {
        d->expire(id, now);
    }
    d->forgetHeld(now);
}

std::vector<ClaimsOutput> Claims::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

} // namespace KingCupLadder
