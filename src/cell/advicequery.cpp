// Shares of allowed workers, and the sizes of calls that follow from them.
#include "advicequery.h"

#include <algorithm>
#include <cmath>

namespace KingCupLadder {

namespace {

constexpr double initialShare = 1.0 / 3; // Assumed while there are few answers.
constexpr double initialWeight = 48; // Named workers that the assumed share stands for: about two calls.
constexpr double maxWeight = 2000; // The share follows a change of the policy within a few times this number of named workers.
constexpr double minShare = 0.05; // Bounds the length of calls if a policy allows almost nothing.
constexpr double gangSlotMargin = 4.0 / 3; // Other steps take some of the slots before the answer, and the number of allowed workers varies.
constexpr double singleSlotMargin = 1.8; // A second call has a fixed cost as high as that of about 70 named workers, so a first one names more.
constexpr double noWorkerProbability = 0.001; // Accepted probability that none of the named workers is allowed.
constexpr std::size_t minWorkers = 16; // With fewer, urgent steps have to ask again during a burst, when the first workers are full.

} // namespace

void AllowedShares::onAnswer(const RouteName &route, std::size_t named, std::size_t allowed)
{
    Answers &answers = m_answers[route];
    answers.named += static_cast<double>(named);
    answers.allowed += static_cast<double>(std::min(allowed, named));
    if (answers.named > maxWeight) {
        answers.allowed *= maxWeight / answers.named;
        answers.named = maxWeight;
    }
}

double AllowedShares::share(const RouteName &route) const
{
    const auto found = m_answers.find(route);
    const Answers answers = found == m_answers.end() ? Answers{} : found->second;
    return std::max((answers.allowed + initialShare * initialWeight) / (answers.named + initialWeight), minShare);
}

void AllowedShares::clear()
{
    m_answers.clear();
}

int slotsToName(int tasks, bool isGang, double allowedShare)
{
    return static_cast<int>(std::ceil(tasks * (isGang ? gangSlotMargin : singleSlotMargin) / std::max(allowedShare, minShare)));
}

std::size_t minWorkersToName(double allowedShare)
{
    const double refused = 1 - std::clamp(allowedShare, minShare, 0.99);
    return std::max(static_cast<std::size_t>(std::ceil(std::log(noWorkerProbability) / std::log(refused))), minWorkers);
}

} // namespace KingCupLadder
