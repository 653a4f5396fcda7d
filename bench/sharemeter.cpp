// Weighted max-min fair shares and the deviation of the teams' usage from them.
#include "sharemeter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace KingCupLadder {

ShareMeter::ShareMeter(std::vector<double> shares) : m_shares(std::move(shares)), m_used(m_shares.size()), m_fairShares(m_shares.size()) { }

std::vector<double> ShareMeter::maxMinShares(const std::vector<double> &demand, double used) const
{
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return demand[a] / m_shares[a] < demand[b] / m_shares[b]; });
    double remaining = used;
    double shares = std::accumulate(m_shares.begin(), m_shares.end(), 0.0);
    std::vector<double> fairShare(demand.size());
    for (const std::size_t team : order) {
        fairShare[team] = std::min(demand[team], remaining * m_shares[team] / shares);
        remaining -= fairShare[team];
        shares -= m_shares[team];
    }
    return fairShare;
}

void ShareMeter::add(const std::vector<Resources> &usage, const std::vector<Resources> &waiting, const Resources &total)
{
    std::vector<double> demand;
    double used = 0.0;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        const double share = usage[i].dominantShareOf(total);
        demand.push_back((usage[i] + waiting[i]).dominantShareOf(total));
        m_used[i] += share;
        used += share;
    }
    const std::vector<double> fairShare = maxMinShares(demand, used);
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        m_fairShares[i] += fairShare[i];
    }
}

double ShareMeter::maxDeviation() const
{
    double largest = 0.0;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        if (m_fairShares[i] > 0.0) {
            largest = std::max(largest, std::abs(m_used[i] - m_fairShares[i]) / m_fairShares[i]);
        }
    }
    return largest;
}

} // namespace KingCupLadder
