// Decides whether this daemon may accept requests with a key while the store is unreachable. It may as long as no daemon can have
// accepted the withdrawal of a key without this daemon learning of it within FreshnessSettings::withdrawalBound.
#pragma once

#include "messages.h"
#include "units.h"

#include <vector>

namespace KingCupLadder {

struct FreshnessSettings {
    Duration withdrawalBound{5000}; ///< A withdrawn key stops working within this time.
    /// A daemon without a store reply for this long counts as disconnected from the store. Shorter than the bound, so that at the
    /// start of an outage requests are not refused between the expiry of the last confirmation and this time.
    Duration storeUnreachableAfter{3000};
};

struct FreshnessInput {
    Duration keysAge{0}; ///< Time since the key list was confirmed to be the newest, by the store or through a peer.
    FailureDomain ownDomain;
    std::vector<FailureDomain> daemonDomains; ///< All failure domains that have daemons.
    std::vector<DomainView> domains; ///< One view for each domain that is known.
};

enum class Freshness {
    Confirmed, ///< The key list was confirmed within the bound.
    NoWithdrawalPossible, ///< All other domains are heard and none reaches the store, so none can have accepted a withdrawal.
    Stale, ///< An unknown withdrawal may have been accepted; requests with a key are refused.
};

[[nodiscard]] Freshness keyFreshness(const FreshnessSettings &settings, const FreshnessInput &input);

} // namespace KingCupLadder
