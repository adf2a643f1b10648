#include "remoteserver.h"

#include <utility>

namespace papayastep::health {

namespace {

constexpr std::size_t maxRoutes = 256; ///< Bounds the memory if a sibling keeps sending new routes.

}

void RemoteServer::setState(std::uint8_t reported, base::TimePoint now)
{
    // A newer node may have more states than this one. Unknown states are ignored.
    if (reported >= serverStateCount || static_cast<ServerState>(reported) == state) {
        return;
    }
    state = static_cast<ServerState>(reported);
    stateSince = now;
}

void RemoteServer::update(const ServerStatus &status, base::TimePoint now)
{
    setState(status.state, now);
    unhealthy = status.unhealthy;
    severity = status.severity;
    slotsInUse = status.slotsInUse;
    queueLength = status.queueLength;
    latencySteps = status.latencySteps;
    failureShare = status.failurePermille / 1000.0;
    accepting = status.accepting;
    receivedAt = now;
    for (const RouteLatency &route : status.routes) {
        if (routes.contains(route.route) || routes.size() < maxRoutes) {
            routes[route.route] = route.steps;
        }
    }
    LatencyDistribution decoded{};
    if (decodeDistribution(status.distribution, decoded)) {
        distribution = decoded;
    }
}

void RemoteServer::update(const ServerReport &report, base::TimePoint now)
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
