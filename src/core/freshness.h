// Decides whether keyed work may be taken although the store may be unreachable: a withdrawal must not have been accepted
// anywhere without this daemon hearing of it within the bound.
#pragma once

#include "messages.h"
#include "units.h"

#include <vector>

namespace KingCupLadder {

struct FreshnessSettings {
    Duration bound{5000}; ///< A withdrawn key stops working within this span.
    /// A daemon without a store answer for this span counts as cut off from it. Shorter than the bound, so that keyed work is
    /// not refused in the time between the last confirmation and the last store answer at the start of an outage.
    Duration storeUnreachableAfter{3000};
};

struct FreshnessInput {
    Duration keysAge{0}; ///< Since the key list was confirmed as the newest, by the store or through a peer.
    FailureDomain ownDomain;
    std::vector<FailureDomain> daemonDomains; ///< All failure domains that have daemons.
    std::vector<DomainView> domains; ///< The view of each domain that was heard of.
};

enum class Freshness {
    Confirmed, ///< The list was confirmed within the bound.
    NoWithdrawalPossible, ///< Every other domain is heard and none has the store, so none can have accepted a withdrawal.
    Stale, ///< A withdrawal may have been accepted out of hearing; keyed work is refused.
};

[[nodiscard]] Freshness keyFreshness(const FreshnessSettings &settings, const FreshnessInput &input);

} // namespace KingCupLadder
