// Claims of idempotency keys. A non-idempotent request is sent only after its claim is in the store, so no other daemon sends the
// same request. Repeated calls are answered with the recorded outcome.
#pragma once

#include "messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace KingCupLadder {

struct ClaimSettings {
    DaemonId holder;
    Incarnation incarnation; ///< Part of the nonce, so that two runs of a daemon never share one.
    std::uint64_t seed = 1;
    Duration operationTimeout{1500}; ///< A store operation without a reply for this long counts as StoreStatus::Unknown.
    Duration claimTimeout{5000}; ///< claim() and finish() are answered within this time.
    Duration claimRetention{600000}; ///< A claim not finished within this time is dropped from memory; its row stays, with an unknown outcome.
    Duration initialBackoff{50};
    Duration maxBackoff{2000};
    Duration retryAfter{1000}; ///< Delay that callers are told to wait if the store does not answer.
    bool readBackAfterLostReplies = true; ///< Disabled only in tests; a lost reply then counts as "not written".
};

using ClaimsOutput = std::variant<StoreTransaction, StoreRead, CallerAnswer>;

/// The value of the row "claims/<team>/<key>".
struct ClaimRow {
    std::string fingerprint;
    std::string holder;
    std::string nonce; ///< Unique to each claim() call.
    std::string outcome; ///< Empty while the request runs or its outcome is unknown.

    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] static std::optional<ClaimRow> fromJson(const std::string &text);
};

class IdempotencyClaims
{
public:
    using NextOp = std::function<OpId()>;

    IdempotencyClaims(const ClaimSettings &settings, NextOp nextOp);
    ~IdempotencyClaims();
    IdempotencyClaims(const IdempotencyClaims &) = delete;
    IdempotencyClaims &operator=(const IdempotencyClaims &) = delete;

    /// Answered with ClaimState, or with ErrorKind::Conflict if a request with another fingerprint uses the key. After any error
    /// the request must not be sent; this call has not caused the request to run.
    void claim(OpId op, const TeamId &team, const std::string &key, const std::string &fingerprint, TimePoint now);
    /// Records the outcome of a claim that was answered with ClaimState::acquired; an empty outcome removes the claim. Answered
    /// without a body once durable. After the timeout the answer is an error, with ExecutionStatus::Ran for an outcome, and the write is
    /// retried until it is durable.
    void finish(OpId op, const TeamId &team, const std::string &key, const std::string &outcome, TimePoint now);
    /// Returns true if the reply belongs to an operation of this object.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<ClaimsOutput> takeOutputs();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// The key of the row of a claim. Slashes in the team are escaped, so that two teams can't share a row.
[[nodiscard]] std::string claimRowKey(const TeamId &team, const std::string &key);

} // namespace KingCupLadder
