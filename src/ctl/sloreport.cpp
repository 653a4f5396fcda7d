// Aggregation of service-level counts and computation of the error budget.
#include "sloreport.h"

#include "context.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace KingCupLadder::Ctl {

namespace {

std::string percent(double part)
{
    constexpr double hundred = 100.0;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f %%", part * hundred);
    return text.data();
}

std::string exhaustionText(const SloRoute &route)
{
    const double left = route.exhaustionMs();
    if (left < 0) {
        return "never at this rate";
    }
    return left == 0 ? "used up" : "in " + durationText(left);
}

} // namespace

double SloRoute::goodShare() const
{
    return total > 0 ? good / total : 1.0;
}

double SloRoute::budgetUsed() const
{
    const double allowed = total * (1.0 - targetShare);
    const double bad = total - good;
    if (bad <= 0) {
        return 0.0;
    }
    // A target share of 1 has no error budget, so one bad request exhausts it.
    return allowed > 0 ? bad / allowed : bad;
}

double SloRoute::exhaustionMs() const
{
    if (budgetUsed() >= 1.0) {
        return 0.0;
    }
    return burnLong > 0 ? windowMs * (1.0 - budgetUsed()) / burnLong : -1.0;
}

void SloReport::add(const std::string &daemon, const Json &response)
{
    answered.push_back(daemon);
    for (const Json &entry : listMember(response, "routes")) {
        const std::string name = textMember(entry, "route");
        const std::string team = textMember(entry, "team");
        auto found = std::find_if(routes.begin(), routes.end(), [&](const SloRoute &route) { return route.route == name && route.team == team; });
        if (found == routes.end()) {
            routes.push_back({name, team, numberMember(entry, "targetMs", 0), numberMember(entry, "share", 0), numberMember(entry, "windowMs", 0)});
            found = std::prev(routes.end());
        }
        const double total = numberMember(entry, "total", 0);
        const double sum = found->total + total;
        if (sum > 0) {
            found->burnShort = (found->burnShort * found->total + numberMember(entry, "burnShort", 0) * total) / sum;
            found->burnLong = (found->burnLong * found->total + numberMember(entry, "burnLong", 0) * total) / sum;
        }
        found->good += numberMember(entry, "good", 0);
        found->total = sum;
    }
}

void SloReport::sort()
{
    std::sort(routes.begin(), routes.end(), [](const SloRoute &a, const SloRoute &b) {
        return std::tuple(-a.budgetUsed(), a.route, a.team) < std::tuple(-b.budgetUsed(), b.route, b.team);
    });
}

Json SloReport::toJson() const
{
    Json list = Json::array();
    for (const SloRoute &route : routes) {
        list.push_back({{"route", route.route},
                        {"team", route.team},
                        {"targetMs", route.targetMs},
                        {"share", route.targetShare},
                        {"windowMs", route.windowMs},
                        {"good", route.good},
                        {"total", route.total},
                        {"goodShare", route.goodShare()},
                        {"budgetUsed", route.budgetUsed()},
                        {"burnShort", route.burnShort},
                        {"burnLong", route.burnLong},
                        {"exhaustionMs", route.exhaustionMs()}});
    }
    return {{"routes", list}, {"answered", answered}, {"silent", silent}};
}

Json SloReport::tableRows() const
{
    Json rows = Json::array();
    for (const SloRoute &route : routes) {
        rows.push_back({{"route", route.route},
                        {"team", route.team},
                        {"objective", percent(route.targetShare) + " within " + durationText(route.targetMs)},
                        {"window", durationText(route.windowMs)},
                        {"good", route.good},
                        {"total", route.total},
                        {"met", percent(route.goodShare())},
                        {"budget used", percent(route.budgetUsed())},
                        {"burn short", route.burnShort},
                        {"burn long", route.burnLong},
                        {"exhausted", exhaustionText(route)}});
    }
    return rows;
}

} // namespace KingCupLadder::Ctl
