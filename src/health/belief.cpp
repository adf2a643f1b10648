#include "belief.h"

#include <utility>

namespace papayastep::health {

namespace {

constexpr std::size_t maxRoutes = 256; ///< A sibling that sends ever new routes must not fill the memory.

}

void Belief::setState(std::uint8_t told, base::TimePoint now)
{
    // A newer node may know more states than this one; what can't be understood is not believed.
    if (told >= serverStateCount || static_cast<ServerState>(told) == state) {
        return;
    }
    state = static_cast<ServerState>(told);
    stateSince = now;
}

void Belief::absorb(const ServerClaim &claim, base::TimePoint now)
{
    setState(claim.state, now);
    sick = claim.sick;
    severity = claim.severity;
    slotsInUse = claim.slotsInUse;
    queueLength = claim.queueLength;
    latencySteps = claim.latencySteps;
    failureShare = claim.failurePermille / 1000.0;
    accepting = claim.accepting;
    heardAt = now;
    for (const RouteLatency &route : claim.routes) {
        if (routes.contains(route.route) || routes.size() < maxRoutes) {
            routes[route.route] = route.steps;
        }
    }
    LatencyShape told{};
    if (decodeShape(claim.shape, told)) {
        shape = told;
    }
}

void Belief::absorb(const ServerReport &report, base::TimePoint now)
{
    setState(report.state, now);
    sick = state == ServerState::Ejected || state == ServerState::Trial;
    slotsInUse = report.slotsInUse;
    queueLength = report.queueLength;
    latencySteps = report.latencySteps;
    heardAt = now;
}

void Belief::distrust()
{
    Belief fresh;
    fresh.routes = std::move(routes);
    fresh.shape = shape;
    *this = std::move(fresh);
}

bool Belief::working() const
{
    return !sick && (state == ServerState::Healthy || state == ServerState::Warming || state == ServerState::Suspect);
}

}
