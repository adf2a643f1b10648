#include "papayastep/limits/runtimes.h"

#include <algorithm>

namespace papayastep::limits {

namespace {

constexpr std::size_t runMemory = 8; ///< A mean follows about this many runs.
constexpr std::size_t mostRoutes = 64; ///< Of which run times are kept.

}

RunTimes::RunTimes(base::Duration firstGuess)
    : m_initialEstimate(firstGuess)
{
}

void RunTimes::record(const base::RouteId &route, base::Duration run)
{
    m_all.record(run);
    if (m_routes.size() >= mostRoutes && !m_routes.contains(route)) {
        m_routes.clear(); // Routes in use are known again after a few runs.
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
    // The mean over all routes counts as one run more.
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

/// The first runs weigh alike: a guess that is far too short would else stay in the mean for a dozen of them.
void RunTimes::Mean::record(base::Duration run)
{
    ++runs;
    value += (run - value) / static_cast<std::int64_t>(std::min(runs, runMemory));
}

}
