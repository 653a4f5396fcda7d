// Claims of idempotency keys. The claim of a non-idempotent request is in the store before its first byte is sent, so that no
// other daemon sends the same request again; the recorded outcome answers repeated calls.
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
    Incarnation incarnation; ///< Makes the nonces of two runs of the same daemon differ.
    std::uint64_t seed = 1;
    Duration operationTimeout{1500}; ///< A store operation without an answer after this span counts as StoreStatus::Unknown.
    Duration claimTimeout{5000}; ///< A claim and a finish are answered within this span.
    Duration claimRetention{600000}; ///< A claim that is not finished after this span is forgotten here; its row stays, outcome unknown.
    Duration initialBackoff{50};
    Duration maxBackoff{2000};
    Duration retryAfter{1000};
    bool readBackLostAnswers = true; ///< Only tests switch this off: a lost answer then counts as "not written".
};

using ClaimsOutput = std::variant<StoreTransact, StoreRead, CallerAnswer>;

/// The value of a row "claims/<team>/<key>".
struct ClaimRow {
    std::string fingerprint;
    std::string holder;
    std::string nonce; ///< Unique for each claim() call.
    std::string outcome; ///< Empty while the request runs or its outcome is not known.

    [[nodiscard]] std::string toJson() const;
    [[nodiscard]] static std::optional<ClaimRow> fromJson(const std::string &text);
};

class Claims
{
public:
    using NextOp = std::function<OpId()>;

    Claims(const ClaimSettings &settings, NextOp nextOp);
    ~Claims();
    Claims(const Claims &) = delete;
    Claims &operator=(const Claims &) = delete;

    /// Answered by ClaimState. ErrorKind::Conflict: the key belongs to a request with another fingerprint. On any error the
    /// request must not be sent; it has not run because of this call.
    void claim(OpId op, const TeamId &team, const std::string &key, const std::string &fingerprint, TimePoint now);
    /// Records the outcome of a claim that was answered as "mine"; an empty outcome removes the claim. Answered without a body
    /// once durable. After the timeout the answer is an error with ExecutionStatus::Ran, and recording goes on until it is durable.
    void finish(OpId op, const TeamId &team, const std::string &key, const std::string &outcome, TimePoint now);
    /// True if the operation was one of this object's.
    bool onStoreReply(const StoreReply &reply, TimePoint now);
    void tick(TimePoint now);
    [[nodiscard]] std::vector<ClaimsOutput> takeOutputs();

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// The key of a claim's row. A slash in the team is escaped, so that two teams can't share a row.
[[nodiscard]] std::string claimRowKey(const TeamId &team, const std::string &key);

} // namespace KingCupLadder
