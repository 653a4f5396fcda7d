// Renders the service-level report as an HTML page with an inline SVG bar chart.
#include "sloreport.h"

#include "render.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace KingCupLadder::Ctl {

namespace {

constexpr int rowHeight = 26;
constexpr int labelWidth = 240;
constexpr int plotWidth = 520;
constexpr int rightMargin = 110;
constexpr int axisHeight = 30;
constexpr double maxPlottedUsage = 1.5; ///< Used budget at the right edge of the chart; longer bars are clipped.
constexpr double warningThreshold = 0.75;

std::string escaped(const std::string &text)
{
    std::string safe;
    for (char c : text) {
        switch (c) {
        case '&':
            safe += "&amp;";
            break;
        case '<':
            safe += "&lt;";
            break;
        case '>':
            safe += "&gt;";
            break;
        case '"':
            safe += "&quot;";
            break;
        default:
            safe += c;
        }
    }
    return safe;
}

const char *barColor(double used)
{
    if (used >= 1.0) {
        return "#b3261e";
    }
    return used >= warningThreshold ? "#b26a00" : "#2e7d32";
}

int barWidth(double used)
{
    return static_cast<int>(std::min(used, maxPlottedUsage) / maxPlottedUsage * plotWidth);
}

void appendBar(std::ostream &page, const SloRoute &route, int top)
{
    const double used = route.budgetUsed();
    const std::string label = escaped(route.route + " (" + route.team + ")");
    const long percent = std::lround(used * 100);
    page << "<text x=\"" << labelWidth - 8 << "\" y=\"" << top + 17 << "\" text-anchor=\"end\">" << label << "</text>\n"
         << "<rect x=\"" << labelWidth << "\" y=\"" << top + 4 << "\" width=\"" << std::max(1, barWidth(used)) << "\" height=\"" << rowHeight - 8
         << "\" fill=\"" << barColor(used) << "\"><title>" << label << "</title></rect>\n"
         << "<text x=\"" << labelWidth + barWidth(used) + 6 << "\" y=\"" << top + 17 << "\">" << percent << " %</text>\n";
}

void appendPlot(std::ostream &page, const SloReport &report)
{
    const int height = static_cast<int>(report.routes.size()) * rowHeight;
    const int fullBudgetX = labelWidth + barWidth(1.0);
    page << "<svg xmlns=\"http://www.w3.org/2000/svg\" role=\"img\" aria-label=\"Error budget used by each route\" width=\""
         << labelWidth + plotWidth + rightMargin << "\" height=\"" << height + axisHeight << "\" font-family=\"sans-serif\" font-size=\"13\">\n";
    int top = 0;
    for (const SloRoute &route : report.routes) {
        appendBar(page, route, top);
        top += rowHeight;
    }
    page << "<line x1=\"" << fullBudgetX << "\" y1=\"0\" x2=\"" << fullBudgetX << "\" y2=\"" << height << "\" stroke=\"#444\" stroke-dasharray=\"4 3\"/>\n"
         << "<text x=\"" << fullBudgetX << "\" y=\"" << height + 18 << "\" text-anchor=\"middle\">budget used up (100 %)</text>\n</svg>\n";
}

void appendTable(std::ostream &page, const Json &rows)
{
    if (rows.empty()) {
        page << "<p>No route has an objective.</p>\n";
        return;
    }
    page << "<table>\n<tr>";
    for (const auto &[name, value] : rows.front().items()) {
        page << "<th>" << escaped(name) << "</th>";
    }
    page << "</tr>\n";
    for (const Json &row : rows) {
        page << "<tr>";
        for (const Json &value : row) {
            page << "<td>" << escaped(cellText(value)) << "</td>";
        }
        page << "</tr>\n";
    }
    page << "</table>\n";
}

} // namespace

std::string sloHtml(const SloReport &report, const std::string &title)
{
    std::ostringstream page;
    page << "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"><title>" << escaped(title) << "</title>\n<style>"
         << "body{font-family:sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin-top:1em}"
         << "th,td{border:1px solid #bbb;padding:.3em .6em;text-align:left}th{background:#eee}.silent{color:#b3261e}</style></head>\n<body>\n<h1>"
         << escaped(title) << "</h1>\n<p>" << report.answered.size() << " daemons answered.</p>\n";
    for (const std::string &daemon : report.silent) {
        page << "<p class=\"silent\">No answer from " << escaped(daemon) << "; its counts are not included.</p>\n";
    }
    if (!report.routes.empty()) {
        page << "<h2>Error budget used</h2>\n";
        appendPlot(page, report);
    }
    page << "<h2>Routes</h2>\n";
    appendTable(page, report.tableRows());
    page << "</body>\n</html>\n";
    return page.str();
}

} // namespace KingCupLadder::Ctl
