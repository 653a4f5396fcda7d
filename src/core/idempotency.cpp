// Each pending claim() or finish() call is a small state machine (PendingOperation).
#include "idempotency.h"

#include "backoff.h"

#include <nlohmann/json.hpp>

#include <map>
#include <unordered_map>

namespace KingCupLadder {

namespace {

const char *const claimTable = "claims";

Error storeTimeout()
{
    return Error{ErrorKind::Unavailable, "the store did not confirm the idempotency key in time", "send the request again with the same key"};
}

Error keyConflict()
{
    return Error{ErrorKind::Conflict, "the idempotency key belongs to another request", "use a new key for a different request"};
}

Error claimNotHeld()
{
    return Error{ErrorKind::NotFound, "this daemon does not hold the claim of the idempotency key", "claim the key before recording its outcome"};
}

Error claimOverwritten()
{
    return Error{ErrorKind::Conflict, "another daemon changed the claim of the idempotency key", "read the claim to learn its outcome"};
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

class IdempotencyClaims::Private
{
public:
    Private(const ClaimSettings &claimSettings, NextOp next)
        : settings(claimSettings), nextOp(std::move(next)), backoff(BackoffSettings{claimSettings.initialBackoff, claimSettings.maxBackoff}, claimSettings.seed)
    {
    }

    /// The state of the row that an operation has to reach.
    enum class Goal {
        Claim, ///< The row has this nonce.
        Record, ///< The row has the outcome.
        Remove, ///< The row is absent.
    };

    struct PendingOperation {
        Goal goal = Goal::Claim;
        OpId caller;
        bool answered = false;
        std::string rowKey; ///< See claimRowKey().
        ClaimRow row; ///< The value to write, or the value before Remove.
        RowVersion version; ///< Version that Record and Remove require.
        TimePoint deadline{};
        TimePoint retryAt{};
        TimePoint sentAt{};
        OpId inFlight; ///< The store operation in flight; 0 if there is none.
        bool reading = false; ///< The current or next store operation reads the row back.
    };

    struct HeldClaim {
        ClaimRow row;
        RowVersion version;
        TimePoint since{};
    };

    void start(PendingOperation operation, TimePoint now)
    {
        const std::uint64_t id = ++lastOperationId;
        send(id, operations.emplace(id, std::move(operation)).first->second, now);
    }

    void send(std::uint64_t id, PendingOperation &operation, TimePoint now)
    {
        operation.inFlight = nextOp();
        operation.sentAt = now;
        operationByStoreOp[operation.inFlight] = id;
        if (operation.reading) {
            outputs.emplace_back(StoreRead{operation.inFlight, claimTable, {operation.rowKey}});
            return;
        }
        RowWrite write{RowWrite::Kind::Insert, claimTable, operation.rowKey, {}, operation.row.toJson()};
        if (operation.goal == Goal::Record) {
            write.kind = RowWrite::Kind::Update;
            write.version = operation.version;
        } else if (operation.goal == Goal::Remove) {
            write = RowWrite{RowWrite::Kind::Delete, claimTable, operation.rowKey, operation.version, {}};
        }
        outputs.emplace_back(StoreTransaction{operation.inFlight, {write}});
    }

    void answer(PendingOperation &operation, const Error &error, ExecutionStatus ran, CallerBody body)
    {
        if (!operation.answered) {
            const Duration retryAfter = error.kind == ErrorKind::Unavailable ? settings.retryAfter : Duration(0);
            outputs.emplace_back(CallerAnswer{operation.caller, error, ran, retryAfter, std::move(body)});
        }
        operation.answered = true;
    }

    void onReply(std::uint64_t id, const StoreReply &reply, TimePoint now)
    {
        PendingOperation &operation = operations.at(id);
        operationByStoreOp.erase(operation.inFlight);
        operation.inFlight = OpId();
        if (reply.status == StoreStatus::Ok && !operation.reading) {
            onWritten(id, operation, reply.rows.empty() ? RowVersion() : reply.rows.front().version, now);
        } else if (reply.status == StoreStatus::Unknown || reply.rows.empty()) {
            onReplyLost(id, operation, now);
        } else {
            backoff.reset();
            operation.reading = false;
            onRow(id, operation, reply.rows.front(), now);
        }
    }

    void onReplyLost(std::uint64_t id, PendingOperation &operation, TimePoint now)
    {
        if (!settings.readBackAfterLostReplies && operation.goal == Goal::Claim) {
            answer(operation, storeTimeout(), ExecutionStatus::NotRun, {});
            operations.erase(id);
            return;
        }
        operation.reading = true;
        operation.retryAt = now + backoff.next();
    }

    void onWritten(std::uint64_t id, PendingOperation &operation, RowVersion version, TimePoint now)
    {
        backoff.reset();
        if (operation.goal == Goal::Claim) {
            onClaimed(id, operation, version, now);
            return;
        }
        answer(operation, {}, ExecutionStatus::Ran, {});
        operations.erase(id);
    }

    /// Completes or repeats the operation according to the current row, which comes from a read or from a conflict reply.
    void onRow(std::uint64_t id, PendingOperation &operation, const Row &row, TimePoint now)
    {
        const bool absent = row.version == RowVersion();
        const auto current = ClaimRow::fromJson(row.value);
        const bool ownClaim = !absent && current && current->nonce == operation.row.nonce;
        if (operation.goal == Goal::Claim) {
            onRowForClaim(id, operation, row, current, now);
            return;
        }
        if (ownClaim && current->outcome.empty()) {
            // The nonce is unique, so this is the claimed row, whatever its version, and the write did not take effect.
            operation.version = row.version;
            send(id, operation, now);
            return;
        }
        const bool recorded = ownClaim && current->outcome == operation.row.outcome;
        const bool succeeded = operation.goal == Goal::Remove ? !ownClaim : recorded;
        // The execution status counts only if the answer is an error.
        answer(operation, succeeded ? Error{} : claimOverwritten(), operation.goal == Goal::Record ? ExecutionStatus::Ran : ExecutionStatus::NotRun, {});
        operations.erase(id);
    }

    void onRowForClaim(std::uint64_t id, PendingOperation &operation, const Row &row, const std::optional<ClaimRow> &current, TimePoint now)
    {
        if (row.version == RowVersion()) {
            if (operation.answered) { // The caller was refused, so no claim is needed any more.
                operations.erase(id);
                return;
            }
            // An earlier insert may still take effect. Inserting again with the same nonce determines the outcome:
            // only one of the two inserts can succeed.
            send(id, operation, now);
            return;
        }
        if (current && current->nonce == operation.row.nonce) {
            onClaimed(id, operation, row.version, now);
            return;
        }
        if (!current || current->fingerprint != operation.row.fingerprint) {
            answer(operation, keyConflict(), ExecutionStatus::NotRun, {});
        } else {
            answer(operation, {}, ExecutionStatus::NotRun, ClaimState{false, current->outcome});
        }
        operations.erase(id);
    }

    void onClaimed(std::uint64_t id, PendingOperation &operation, RowVersion version, TimePoint now)
    {
        if (operation.answered) {
            // The caller was told that the request was not sent, so the claim must not block the next attempt.
            operation.goal = Goal::Remove;
            operation.version = version;
            send(id, operation, now);
            return;
        }
        heldClaims[operation.rowKey] = HeldClaim{operation.row, version, now};
        answer(operation, {}, ExecutionStatus::NotRun, ClaimState{true, {}});
        operations.erase(id);
    }

    void processTimeouts(std::uint64_t id, TimePoint now)
    {
        PendingOperation &operation = operations.at(id);
        if (operation.inFlight != OpId() && now - operation.sentAt >= settings.operationTimeout) {
            onReply(id, StoreReply{operation.inFlight, StoreStatus::Unknown, {}}, now);
        }
        const auto found = operations.find(id);
        if (found == operations.end()) {
            return;
        }
        if (!found->second.answered && now >= found->second.deadline) {
            answer(found->second, storeTimeout(), found->second.goal == Goal::Record ? ExecutionStatus::Ran : ExecutionStatus::NotRun, {});
        }
        if (found->second.inFlight == OpId() && now >= found->second.retryAt) {
            send(id, found->second, now);
        }
    }

    void dropExpiredClaims(TimePoint now)
    {
        if (now < nextClaimCleanup) {
            return;
        }
        // Cleaning up visits all claims, so it is done only ten times per retention period.
        nextClaimCleanup = now + settings.claimRetention / 10;
        for (auto entry = heldClaims.begin(); entry != heldClaims.end();) {
            entry = now - entry->second.since >= settings.claimRetention ? heldClaims.erase(entry) : std::next(entry);
        }
    }

    ClaimSettings settings;
    NextOp nextOp;
    Backoff backoff;
    std::uint64_t lastOperationId = 0;
    std::map<std::uint64_t, PendingOperation> operations; ///< Ordered by arrival.
    std::unordered_map<OpId, std::uint64_t> operationByStoreOp; ///< Keyed by the store operation in flight.
    std::unordered_map<std::string, HeldClaim> heldClaims; ///< Claims that this daemon holds and has not finished, by row key.
    TimePoint nextClaimCleanup{};
    std::vector<ClaimsOutput> outputs;
};

IdempotencyClaims::IdempotencyClaims(const ClaimSettings &settings, NextOp nextOp) : d(std::make_unique<Private>(settings, std::move(nextOp))) { }

IdempotencyClaims::~IdempotencyClaims() = default;

void IdempotencyClaims::claim(OpId op, const TeamId &team, const std::string &key, const std::string &fingerprint, TimePoint now)
{
    const std::string nonce = d->settings.holder.value() + "/" + std::to_string(d->settings.incarnation.value()) + "/" + std::to_string(op.value());
    Private::PendingOperation operation;
    operation.caller = op;
    operation.rowKey = claimRowKey(team, key);
    operation.row = ClaimRow{fingerprint, d->settings.holder.value(), nonce, {}};
    operation.deadline = now + d->settings.claimTimeout;
    d->start(std::move(operation), now);
}

void IdempotencyClaims::finish(OpId op, const TeamId &team, const std::string &key, const std::string &outcome, TimePoint now)
{
    Private::PendingOperation operation;
    operation.caller = op;
    operation.rowKey = claimRowKey(team, key);
    operation.deadline = now + d->settings.claimTimeout;
    const auto found = d->heldClaims.find(operation.rowKey);
    if (found == d->heldClaims.end()) {
        d->answer(operation, claimNotHeld(), ExecutionStatus::Unknown, {});
        return;
    }
    operation.goal = outcome.empty() ? Private::Goal::Remove : Private::Goal::Record;
    operation.row = found->second.row;
    operation.row.outcome = outcome;
    operation.version = found->second.version;
    d->heldClaims.erase(found);
    d->start(std::move(operation), now);
}

bool IdempotencyClaims::onStoreReply(const StoreReply &reply, TimePoint now)
{
    const auto found = d->operationByStoreOp.find(reply.op);
    if (found == d->operationByStoreOp.end()) {
        return false;
    }
    d->onReply(found->second, reply, now);
    return true;
}

void IdempotencyClaims::tick(TimePoint now)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(d->operations.size());
    for (const auto &[id, operation] : d->operations) {
        ids.push_back(id);
    }
    for (std::uint64_t id : ids) {
        d->processTimeouts(id, now);
    }
    d->dropExpiredClaims(now);
}

std::vector<ClaimsOutput> IdempotencyClaims::takeOutputs()
{
    return std::exchange(d->outputs, {});
}

} // namespace KingCupLadder
