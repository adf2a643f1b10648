#include "papayastep/limits/runtimes.h"

#include <algorithm>

namespace papayastep::limits {

namespace {

constexpr std::size_t runsInMean = 8; ///< Number of recent runs that a mean follows.
constexpr std::size_t maxRoutes = 64; ///< Largest number of routes for which run times are kept.

}

RunTimes::RunTimes(base::Duration initialEstimate)
    : m_initialEstimate(initialEstimate)
{
}

void RunTimes::record(const base::RouteId &route, base::Duration run)
{
    m_all.record(run);
    if (m_routes.size() >= maxRoutes && !m_routes.contains(route)) {
        m_routes.clear(); // The means of routes in use are restored after a few runs.
    }
    m_routes[route].record(run);
}

base::Duration RunTimes::mean() const
{
    return m_all.runs > 0 ? m_all.value : m_initialEstimate;
}

base::Duration RunTimes::mean(const base::RouteId &route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return mean();
    }
    // The mean over all routes counts as one additional run.
    const auto runs = static_cast<std::int64_t>(found->second.runs);
    return (found->second.value * runs + mean()) / (runs + 1);
}

std::size_t RunTimes::runs() const
{
    return m_all.runs;
}

std::size_t RunTimes::runs(const base::RouteId &route) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() ? found->second.runs : 0;
}

/// The first runs have equal weights. Otherwise an initial estimate that is far too short would affect the mean for
/// about a dozen runs.
void RunTimes::Mean::record(base::Duration run)
{
    ++runs;
    value += (run - value) / static_cast<std::int64_t>(std::min(runs, runsInMean));
}

}
