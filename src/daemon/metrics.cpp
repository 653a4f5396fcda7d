// Counters and summaries of wait times, written in the Prometheus text format.
#include "metrics.h"

#include <sstream> // extended_p_square_quantile.hpp uses it without including it.

// GCC 12 reports a member of Boost's quantile as uninitialized although it is set before every read.
#ifndef __clang__
#pragma GCC diagnostic push
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#endif
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
// The same GCC 12 warning, also reported where this header is inlined.
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#ifndef __clang__
#pragma GCC diagnostic pop
#endif

#include <sys/resource.h>

#include <array>
#include <fstream>
#include <map>

namespace KingCupLadder {

namespace {

namespace acc = boost::accumulators;

using WaitAccumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};
constexpr double millisecondsPerSecond = 1000.0;
constexpr double microsecondsPerSecond = 1e6;
constexpr std::size_t maxSeries = 4000; // About 1 KB each; requests and jobs of further series are counted under the route and team "other".
const char metricPrefix[] = "kingcupladder_";

using SeriesKey = std::pair<std::string, std::string>;

std::string routeTeamLabels(const SeriesKey &key)
{
    return "route=\"" + escapeLabelValue(key.first) + "\",team=\"" + escapeLabelValue(key.second) + "\"";
}

void writeSample(std::ostream &out, const std::string &name, const std::string &labels, double value)
{
    out << metricPrefix << name;
    if (!labels.empty()) {
        out << '{' << labels << '}';
    }
    out << ' ' << value << '\n';
}

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    constexpr double pageBytes = 4096; // /proc/self/statm counts pages.
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * pageBytes;
}

} // namespace

class Metrics::Private
{
public:
    SeriesKey seriesKey(const RouteName &route, const TeamId &team) const;
    WaitAccumulator &waitAccumulator(const SeriesKey &key);
    void writeWaits(std::ostream &out) const;

    std::map<SeriesKey, WaitAccumulator> waitAccumulators;
    std::map<SeriesKey, std::uint64_t> requestCounts;
    std::map<SeriesKey, std::uint64_t> acceptedJobCounts;
    std::map<ErrorKind, std::uint64_t> errorCounts;
};

SeriesKey Metrics::Private::seriesKey(const RouteName &route, const TeamId &team) const
{
    const SeriesKey key{route.value(), team.value()};
    // Once the limit is reached, only series that exist already keep their own key.
    return requestCounts.size() + acceptedJobCounts.size() < maxSeries || requestCounts.count(key) > 0 || acceptedJobCounts.count(key) > 0
        ? key
        : SeriesKey{"other", "other"};
}

WaitAccumulator &Metrics::Private::waitAccumulator(const SeriesKey &key)
{
    const auto found = waitAccumulators.find(key);
    if (found != waitAccumulators.end()) {
        return found->second;
    }
    return waitAccumulators.emplace(key, WaitAccumulator(acc::extended_p_square_probabilities = quantiles)).first->second;
}

void Metrics::Private::writeWaits(std::ostream &out) const
{
    out << "# TYPE " << metricPrefix << "request_wait_seconds summary\n";
    for (const auto &[key, series] : waitAccumulators) {
        const std::string labels = routeTeamLabels(key);
        for (const double quantile : quantiles) {
            std::ostringstream text;
            text << quantile;
            writeSample(out, "request_wait_seconds", labels + ",quantile=\"" + text.str() + "\"", acc::quantile(series, acc::quantile_probability = quantile));
        }
        writeSample(out, "request_wait_seconds_count", labels, static_cast<double>(acc::count(series)));
        writeSample(out, "request_wait_seconds_sum", labels, acc::sum(series));
        writeSample(out, "request_wait_seconds_max", labels, acc::max(series));
    }
}

Metrics::Metrics() : d(std::make_unique<Private>()) { }
Metrics::~Metrics() = default;

void Metrics::onRequest(const RequestReport &report)
{
    if (report.error != ErrorKind::None) {
        ++d->errorCounts[report.error];
    }
    if (report.team.isEmpty()) {
        return;
    }
    const SeriesKey key = d->seriesKey(report.route, report.team);
    ++d->requestCounts[key];
    if (report.waitTime) {
        d->waitAccumulator(key)(static_cast<double>(report.waitTime->count()) / millisecondsPerSecond);
    }
}

void Metrics::countJobSubmission(const RouteName &route, const TeamId &team, ErrorKind error, Duration /*total*/)
{
    if (error != ErrorKind::None) {
        ++d->errorCounts[error];
        return;
    }
    ++d->acceptedJobCounts[d->seriesKey(route, team)];
}

std::string Metrics::text(const std::vector<Metric> &core, const ControlPlaneUsage &usage) const
{
    std::ostringstream out;
    d->writeWaits(out);
    for (const auto &[key, count] : d->requestCounts) {
        writeSample(out, "requests_total", routeTeamLabels(key), static_cast<double>(count));
    }
    for (const auto &[key, count] : d->acceptedJobCounts) {
        writeSample(out, "jobs_accepted_total", routeTeamLabels(key), static_cast<double>(count));
    }
    for (const auto &[kind, count] : d->errorCounts) {
        writeSample(out, "refusals_total", std::string("reason=\"") + toString(kind) + "\"", static_cast<double>(count));
    }
    writeSample(out, "control_cpu_seconds_total", {}, cpuSeconds());
    writeSample(out, "control_resident_bytes", {}, residentBytes());
    writeSample(out, "control_bytes_total", "direction=\"sent\"", static_cast<double>(usage.bytesSent));
    writeSample(out, "control_bytes_total", "direction=\"received\"", static_cast<double>(usage.bytesReceived));
    writeSample(out, "control_store_operations_total", {}, static_cast<double>(usage.storeOperations));
    writeSample(out, "control_store_writes_total", {}, static_cast<double>(usage.storeWrites));
    writeSample(out, "control_worker_syncs_total", {}, static_cast<double>(usage.workerSyncs));
    writeSample(out, "control_peer_messages_dropped_total", {}, static_cast<double>(usage.peerMessagesDropped));
    writeSample(out, "requests_active", {}, static_cast<double>(usage.activeRequests));
    for (const Metric &metric : core) {
        writeSample(out, metric.name, metric.labels, metric.value);
    }
    return out.str();
}

std::string escapeLabelValue(const std::string &value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

} // namespace KingCupLadder
