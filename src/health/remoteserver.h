#pragma once

#include "latencydistribution.h"

#include "papayastep/base/clock.h"
#include "papayastep/health/messages.h"
#include "papayastep/health/serverstate.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace papayastep::health {

/// State of a backend server on another VM, as the node beside it has reported.
struct RemoteServer
{
    ServerState state = ServerState::Healthy;
    base::TimePoint stateSince; ///< When this node received the first report of the state.
    bool unhealthy = false;
    int severity = 0;
    int slotsInUse = 0;
    int queueLength = 0;
    std::uint8_t latencySteps = 0;
    double failureShare = 0;
    bool accepting = true;
    std::optional<base::TimePoint> receivedAt;
    std::unordered_map<std::uint32_t, std::uint8_t> routes; ///< Latency steps by route hash. Siblings only.
    std::optional<LatencyDistribution> distribution; ///< Siblings only.

    void setState(std::uint8_t reported, base::TimePoint now);
    void update(const ServerStatus &status, base::TimePoint now);
    void update(const ServerReport &report, base::TimePoint now);

    /// Discards everything but the usual latencies, which change slowly.
    void invalidate();

    /// Whether the server takes a share of ordinary work, so that its figures count in the medians of its service.
    bool takesWork() const;
};

}
