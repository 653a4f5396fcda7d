// How many workers a call to the policy service has to name, so that enough of them are allowed.
#pragma once

#include "cellids.h"

#include <cstddef>
#include <map>

namespace KingCupLadder {

/// Share of the named workers that the policy service allows, learned from its answers for each route.
class AllowedShares
{
public:
    /// Counts an answer to a question. Answers to renewals must not be counted, since they name allowed workers only.
    void onAnswer(const RouteName &route, std::size_t named, std::size_t allowed);
    [[nodiscard]] double share(const RouteName &route) const;
    void clear();

private:
    struct Answers {
        double named = 0;
        double allowed = 0;
    };
    std::map<RouteName, Answers> m_answers;
};

/// Returns how many task slots the workers named in a call need in total, so that the allowed ones probably have room for @p tasks tasks.
[[nodiscard]] int slotsToName(int tasks, bool isGang, double allowedShare);

/// Returns how many workers a call has to name, so that at least one of them is almost certainly allowed.
[[nodiscard]] std::size_t minWorkersToName(double allowedShare);

} // namespace KingCupLadder
