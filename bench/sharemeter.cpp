// Mean distance from the due share.
#include "sharemeter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace KingCupLadder {

ShareMeter::ShareMeter(std::vector<double> shares) : m_shares(std::move(shares)), m_used(m_shares.size()), m_due(m_shares.size()) { }

std::vector<double> ShareMeter::dueOf(const std::vector<double> &wanted, double used) const
{
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return wanted[a] / m_shares[a] < wanted[b] / m_shares[b]; });
    double left = used;
    double shares = std::accumulate(m_shares.begin(), m_shares.end(), 0.0);
    std::vector<double> due(wanted.size());
    for (const std::size_t team : order) {
        due[team] = std::min(wanted[team], left * m_shares[team] / shares);
        left -= due[team];
        shares -= m_shares[team];
    }
    return due;
}

void ShareMeter::add(const std::vector<Resources> &use, const std::vector<Resources> &waiting, const Resources &total)
{
    std::vector<double> wanted;
    double used = 0.0;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        const double share = use[i].dominantShareOf(total);
        wanted.push_back((use[i] + waiting[i]).dominantShareOf(total));
        m_used[i] += share;
        used += share;
    }
    const std::vector<double> due = dueOf(wanted, used);
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        m_due[i] += due[i];
    }
}

double ShareMeter::largestDistance() const
{
    double largest = 0.0;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        if (m_due[i] > 0.0) {
            largest = std::max(largest, std::abs(m_used[i] - m_due[i]) / m_due[i]);
        }
    }
    return largest;
}

} // namespace KingCupLadder
