// Freshness of the key list (design document, section 3.9).
#include "freshness.h"

#include <algorithm>

namespace KingCupLadder {

namespace {

/// Whether no daemon of the domain can have accepted a withdrawal that this daemon does not know.
bool allWithdrawalsKnown(const FreshnessSettings &settings, const DomainView &view)
{
    // A withdrawal is accepted only with a store reply, and heartbeats report accepted withdrawals. So a daemon that was heard after its
    // last store reply has reported every withdrawal that it accepted.
    const bool heardAfterStoreReply = view.heardAge <= settings.withdrawalBound && view.heardAge < view.storeAge;
    return heardAfterStoreReply && view.storeAge >= settings.storeUnreachableAfter;
}

} // namespace

Freshness keyFreshness(const FreshnessSettings &settings, const FreshnessInput &input)
{
    if (input.keysAge <= settings.withdrawalBound) {
        return Freshness::Confirmed;
    }
    const auto viewOf = [&](const FailureDomain &domain) {
        return std::find_if(input.domains.begin(), input.domains.end(), [&](const DomainView &view) { return view.domain == domain; });
    };
    // A daemon that still reaches the store can accept a withdrawal at any time.
    for (const DomainView &view : input.domains) {
        if (view.storeAge < settings.storeUnreachableAfter) {
            return Freshness::Stale;
        }
    }
    for (const FailureDomain &domain : input.daemonDomains) {
        const auto view = viewOf(domain);
        const bool isOtherDomain = domain != input.ownDomain;
        if (isOtherDomain && (view == input.domains.end() || !allWithdrawalsKnown(settings, *view))) {
            return Freshness::Stale;
        }
    }
    return Freshness::NoWithdrawalPossible;
}

} // namespace KingCupLadder
