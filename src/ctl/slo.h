// Service-level figures of the fleet: the counts of all daemons added up, and what follows from them.
#pragma once

#include "client.h"

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

struct SloRoute {
    std::string route;
    std::string team;
    double targetMs = 0; ///< Longest good waiting time.
    double share = 0; ///< Part of the work that must be good, between 0 and 1.
    double windowMs = 0;
    double good = 0; ///< Summed over the daemons, like total.
    double total = 0;
    double burnShort = 0; ///< Weighted by each daemon's total.
    double burnLong = 0;

    [[nodiscard]] double goodShare() const; ///< 1 without work.
    /// Part of the bad work allowed in the window that has happened; above 1: the objective is missed.
    [[nodiscard]] double budgetUsed() const;
    /// Until the budget is used up at the long burn rate; 0: it is used up; negative: it will not be.
    [[nodiscard]] double exhaustionMs() const;
};

struct SloReport {
    std::vector<SloRoute> routes; ///< By route and team; the worst first.
    std::vector<std::string> answered;
    std::vector<std::string> silent;

    /// Adds the answer of one daemon to GET /v1/slo.
    void add(const std::string &daemon, const Json &response);
    void sort();
    [[nodiscard]] Json toJson() const;
    /// Rows for a table for people.
    [[nodiscard]] Json tableRows() const;
};

/// One page without references to other files; @p title is shown as it is.
[[nodiscard]] std::string sloHtml(const SloReport &report, const std::string &title);

} // namespace KingCupLadder::Ctl
