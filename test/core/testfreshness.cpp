#include "core/freshness.h"

#include <CppUTest/TestHarness.h>

using namespace KingCupLadder;

TEST_GROUP(Freshness)
{
    FreshnessInput input;

    void setup() override
    {
        input.keysAge = Duration(60000);
        input.ownDomain = FailureDomain("a");
        input.daemonDomains = {FailureDomain("a"), FailureDomain("b"), FailureDomain("c")};
        input.domains = {view("a", 0, 60000), view("b", 400, 60000), view("c", 900, 60000)};
    }

    static DomainView view(const char *domain, int heardMs, int storeMs)
    {
        return DomainView{FailureDomain(domain), Duration(heardMs), Duration(storeMs)};
    }

    void checkIs(Freshness expected)
    {
        LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(keyFreshness(FreshnessSettings(), input)));
    }
};

// Guards against refusing requests with a key although the key list was confirmed within the bound.
TEST(Freshness, ListConfirmedWithinTheBoundIsConfirmed)
{
    input.keysAge = Duration(5000);
    checkIs(Freshness::Confirmed);
}

// Guards against refusing all requests with a key during a long store outage.
TEST(Freshness, StoreOutageWithAllDomainsHeardKeepsTheListUsable)
{
    checkIs(Freshness::NoWithdrawalPossible);
}

// Guards against accepting a key that was withdrawn in an unreachable domain.
TEST(Freshness, DomainThatWasNeverHeardMakesTheListStale)
{
    input.domains.pop_back();
    checkIs(Freshness::Stale);
}

// Guards against accepting a withdrawn key after the daemons of a domain were lost or partitioned during the outage.
TEST(Freshness, DomainThatWasNotHeardWithinTheBoundMakesTheListStale)
{
    input.domains[2] = view("c", 5001, 60000);
    checkIs(Freshness::Stale);
}

// Guards against missing a withdrawal accepted by a daemon that can still reach the store.
TEST(Freshness, DomainThatReachesTheStoreMakesTheListStale)
{
    input.domains[1] = view("b", 100, 1000);
    checkIs(Freshness::Stale);
}

// Guards against missing a withdrawal accepted after the domain was last heard.
TEST(Freshness, DomainHeardBeforeItsLastStoreReplyMakesTheListStale)
{
    input.domains[1] = view("b", 4500, 4000);
    checkIs(Freshness::Stale);
}
