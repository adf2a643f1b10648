#include "remoteserver.h"

#include <utility>

namespace papayastep::health {

namespace {

constexpr std::size_t maxRoutes = 256; ///< A sibling that sends ever new routes must not fill the memory.

}

void RemoteServer::setState(std::uint8_t told, base::TimePoint now)
{
    // A newer node may know more states than this one; what can't be understood is not believed.
    if (told >= serverStateCount || static_cast<ServerState>(told) == state) {
        return;
    }
    state = static_cast<ServerState>(told);
    stateSince = now;
}

void RemoteServer::update(const ServerStatus &claim, base::TimePoint now)
{
    setState(claim.state, now);
    unhealthy = claim.unhealthy;
    severity = claim.severity;
    slotsInUse = claim.slotsInUse;
    queueLength = claim.queueLength;
    latencySteps = claim.latencySteps;
    failureShare = claim.failurePermille / 1000.0;
    accepting = claim.accepting;
    receivedAt = now;
    for (const RouteLatency &route : claim.routes) {
        if (routes.contains(route.route) || routes.size() < maxRoutes) {
            routes[route.route] = route.steps;
        }
    }
    LatencyDistribution told{};
    if (decodeDistribution(claim.distribution, told)) {
        distribution = told;
    }
}

void RemoteServer::absorb(const ServerReport &report, base::TimePoint now)
{
    setState(report.state, now);
    unhealthy = state == ServerState::Ejected || state == ServerState::Trial;
    slotsInUse = report.slotsInUse;
    queueLength = report.queueLength;
    latencySteps = report.latencySteps;
    receivedAt = now;
}

void RemoteServer::invalidate()
{
    RemoteServer fresh;
    fresh.routes = std::move(routes);
    fresh.distribution = distribution;
    *this = std::move(fresh);
}

bool RemoteServer::takesWork() const
{
    return !unhealthy
        && (state == ServerState::Healthy || state == ServerState::Warming || state == ServerState::Suspect);
}

}
