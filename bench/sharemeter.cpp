// Weighted max-min fair shares and the deviation of the teams' usage from them.
#include "sharemeter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace KingCupLadder {

ShareMeter::ShareMeter(std::vector<double> weights) : m_weights(std::move(weights)), m_used(m_weights.size()), m_fairShares(m_weights.size()) { }

std::vector<double> ShareMeter::maxMinShares(const std::vector<double> &demand, double used) const
{
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demand[a] / m_weights[a] < demand[b] / m_weights[b]; });
    double remaining = used;
    double remainingWeight = std::accumulate(m_weights.begin(), m_weights.end(), 0.0);
    std::vector<double> fairShare(demand.size());
    for (const std::size_t team : order) {
        fairShare[team] = std::min(demand[team], remaining * m_weights[team] / remainingWeight);
        remaining -= fairShare[team];
        remainingWeight -= m_weights[team];
    }
    return fairShare;
}

void ShareMeter::add(const std::vector<Resources> &usage, const std::vector<Resources> &waiting, const Resources &total)
{
    std::vector<double> demand;
    double used = 0.0;
    for (std::size_t i = 0; i < m_weights.size(); ++i) {
        const double dominantShare = usage[i].dominantShareOf(total);
        demand.push_back((usage[i] + waiting[i]).dominantShareOf(total));
        m_used[i] += dominantShare;
        used += dominantShare;
    }
    const std::vector<double> fairShare = maxMinShares(demand, used);
    for (std::size_t i = 0; i < m_weights.size(); ++i) {
        m_fairShares[i] += fairShare[i];
    }
}

double ShareMeter::maxDeviation() const
{
    double largest = 0.0;
    for (std::size_t i = 0; i < m_weights.size(); ++i) {
        if (m_fairShares[i] > 0.0) {
            largest = std::max(largest, std::abs(m_used[i] - m_fairShares[i]) / m_fairShares[i]);
        }
    }
    return largest;
}

} // namespace KingCupLadder
