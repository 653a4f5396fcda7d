// How close each team comes to its due share.
#pragma once

#include "core/resources.h"

#include <vector>

namespace KingCupLadder {

class FairShareMeter
{
public:
    explicit FairShareMeter(std::vector<double> shares);

    /// One sample. What all teams use together is due to them by their shares, and no team is due more than it uses and wants.
    void add(const std::vector<Resources> &usage, const std::vector<Resources> &waiting, const Resources &total);
    /// Largest distance of a team's mean use from its mean due, as part of the due.
    [[nodiscard]] double maxDeviation() const;

private:
    [[nodiscard]] std::vector<double> maxMinShares(const std::vector<double> &demand, double used) const;

    std::vector<double> m_shares;
    std::vector<double> m_used; ///< Sums over the samples.
    std::vector<double> m_fairShares;
};

} // namespace KingCupLadder
