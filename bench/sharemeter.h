// Measures how far the usage of each team deviates from its fair share.
#pragma once

#include "core/resources.h"

#include <vector>

namespace KingCupLadder {

class ShareMeter
{
public:
    explicit ShareMeter(std::vector<double> weights);

    /// Adds a sample. The fair shares divide the total usage of all teams by weighted max-min fairness, with a team's demand being
    /// its usage and its waiting tasks.
    void add(const std::vector<Resources> &usage, const std::vector<Resources> &waiting, const Resources &total);
    /// Returns the largest relative deviation of a team's mean usage from its mean fair share.
    [[nodiscard]] double maxDeviation() const;

private:
    /// Divides @p used among the teams by weighted max-min fairness; @p demand and the result are dominant shares.
    [[nodiscard]] std::vector<double> maxMinShares(const std::vector<double> &demand, double used) const;

    std::vector<double> m_weights; ///< Weight of each team.
    std::vector<double> m_used; ///< Sums of the dominant shares in use over the samples.
    std::vector<double> m_fairShares; ///< Sums over the samples.
};

} // namespace KingCupLadder
