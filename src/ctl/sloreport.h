// Service-level report of the fleet, aggregated over all daemons.
#pragma once

#include "client.h"

#include <string>
#include <vector>

namespace KingCupLadder::Ctl {

/// Service level of one route for one team.
struct SloRoute {
    std::string route;
    std::string team;
    double targetMs = 0; ///< Wait time up to which a request counts as good, unless it failed.
    double targetShare = 0; ///< Target fraction of good requests, between 0 and 1.
    double windowMs = 0; ///< Period over which the objective holds.
    double good = 0; ///< Good requests in the window, summed over the daemons.
    double total = 0; ///< All requests in the window, summed over the daemons.
    /// Burn rate over the last twelfth of the window; a rate of 1 exhausts the error budget exactly at the end of the window. Mean
    /// over the daemons, weighted by their totals, like burnLong.
    double burnShort = 0;
    double burnLong = 0; ///< Burn rate over the whole window.

    [[nodiscard]] double goodShare() const; ///< Fraction of good requests; 1 if there are none.
    /// Fraction of the error budget of the window that is used; above 1 the objective is missed.
    [[nodiscard]] double budgetUsed() const;
    /// Time until the error budget is exhausted at the long burn rate; 0 if it is exhausted, negative if it never will be.
    [[nodiscard]] double exhaustionMs() const;
};

struct SloReport {
    std::vector<SloRoute> routes; ///< One entry per route and team; after sort() in descending order of the used budget.
    std::vector<std::string> answered; ///< Daemons whose counts are included.
    std::vector<std::string> silent; ///< Daemons that did not answer.

    /// Adds one daemon's response to GET /v1/slo.
    void add(const std::string &daemon, const Json &response);
    void sort();
    [[nodiscard]] Json toJson() const;
    /// Returns formatted rows for printTable() and the HTML page.
    [[nodiscard]] Json tableRows() const;
};

/// Renders the report as a self-contained HTML page.
[[nodiscard]] std::string sloHtml(const SloReport &report, const std::string &title);

} // namespace KingCupLadder::Ctl
